"""Computes when a node counts as notified of a change of the server list: one function for each rule. No I/O.

A change takes effect for a node at the earliest time that any rule gives; from then on the node must act on
it. Times are seconds of one clock. A rule that does not apply to a node and a change gives infinity.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

# The longest delay, in seconds: after discovery has a change and is reachable, after a watch falls silent,
# after a watch ends, and after SIGHUP.
MAX_DELAY = 6.0
MAX_DELAY_AFTER_SILENCE = 6.0
MAX_DELAY_AFTER_WATCH_END = 2.0
MAX_DELAY_AFTER_SIGHUP = 4.0
# A node without a watch may use its list longer by this factor if its last call failed.
FAILED_CALL_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the list, and when discovery had it."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Outage:
    """A time span, from `began` to `ended`, in which discovery could not be reached."""

    began: float
    ended: float = inf


@dataclass(slots=True)
class Watch:
    """A watch as discovery saw it; from `silent_at` on nothing was sent any more, though it stayed open."""

    opened: float
    ended: float = inf
    silent_at: float = inf
    # Whether the node closed the watch.
    closed_by_node: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A call for the list, or the call that opened a watch; `failed`: it got no answer."""

    at: float
    failed: bool


@dataclass(slots=True)
class NodeHistory:
    """What discovery and one node sent each other, in order of time."""

    # The interval at which the node's settings let it ask for the list.
    ask_every: float
    # Whether an agent beside the node pushes lists to it.
    is_pushed: bool = False
    # Each version written to the node, and when.
    written: list[Change] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    sighups: list[float] = field(default_factory=list)


Rule = Callable[[NodeHistory, Change, list[Outage]], float]


def reachable_at(at: float, outages: list[Outage]) -> float:
    """The first time, from `at` on, at which discovery can be reached."""
    for outage in sorted(outages, key=lambda outage: outage.began):
        if outage.began <= at < outage.ended:
            at = outage.ended
    return at


def when_written(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change takes effect when it is written to a watch or into an answer."""
    return min((wrote.at for wrote in history.written if wrote.version >= change.version), default=inf)


def after_longest_delay(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change takes effect 6 s after discovery had it and could be reached, whatever failed."""
    return reachable_at(change.at, outages) + MAX_DELAY


def after_silence(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change that a silent watch misses takes effect 6 s after the watch fell silent."""
    return min(
        (
            max(change.at, watch.silent_at + MAX_DELAY_AFTER_SILENCE)
            for watch in history.watches
            if watch.silent_at <= change.at < watch.ended
        ),
        default=inf,
    )


def after_watch_end(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change that a watch did not send before it ended takes effect 2 s after that end.

    The page states the 2 s for a long poll whose wait is over. That the end of a watch counts as one is
    inferred from a single play (docs/incidents/incident-10321.md) and not stated; this is the stricter
    reading.
    """
    return min(
        (
            reachable_at(watch.ended, outages) + MAX_DELAY_AFTER_WATCH_END
            for watch in history.watches
            if watch.opened <= change.at <= watch.ended < inf and not watch.closed_by_node
        ),
        default=inf,
    )


def after_sighup(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change that discovery has when a new configuration is loaded takes effect 4 s later."""
    if history.is_pushed:
        return inf
    return min((at + MAX_DELAY_AFTER_SIGHUP for at in history.sighups if at >= change.at), default=inf)


def by_push(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A change of a pushed list takes effect when the agent has it, from the first moment of a process.

    During the 4 s after SIGHUP it takes effect at their end.
    """
    if not history.is_pushed:
        return inf
    at = reachable_at(change.at, outages)
    moved = [sighup for sighup in history.sighups if sighup <= at < sighup + MAX_DELAY_AFTER_SIGHUP]
    return moved[-1] + MAX_DELAY_AFTER_SIGHUP if moved else at


def by_asking(history: NodeHistory, change: Change, outages: list[Outage]) -> float:
    """A node without a watch may use its list for one interval of asking, and one more after each change."""
    if any(watch.opened <= change.at < watch.ended for watch in history.watches):
        return inf
    before = [call for call in history.calls if call.at <= change.at]
    if not before:
        return inf
    last = before[-1]
    valid_for = history.ask_every * (FAILED_CALL_FACTOR if last.failed else 1.0)
    valid_until = reachable_at(last.at, outages) + valid_for
    return valid_until if change.at < valid_until else change.at + history.ask_every


RULES: tuple[Rule, ...] = (
    when_written,
    after_longest_delay,
    after_silence,
    after_watch_end,
    after_sighup,
    by_push,
    by_asking,
)


def notified_at(
    history: NodeHistory,
    change: Change,
    outages: list[Outage],
    rules: tuple[Rule, ...] = RULES,
) -> tuple[float, str]:
    """The earliest time at which any of these rules gives effect to the change, and the rule's name."""
    return min((rule(history, change, outages), rule.__name__) for rule in rules)
