"""The list of servers, followed by watches at discovery. `list_calls` decides when a call is made."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any
from zlib import crc32

from coraldeal.list_calls import CallLimits, CallPlan
from coraldeal.net.list_call import CallEnd, CallTimes, ListCall
from coraldeal.net.wire import ServerList, list_url

log = logging.getLogger(__name__)

# What a watch that fell silent has missed counts as told 6 s after it fell silent, and any change 6 s after
# discovery had it and could be reached, whatever failed before: the sums stand in docs/endings.md.
# Discovery sends a line every 2 s; when one is missing the watch is dead.
SILENCE = 2.5
# How long a call may wait for its answer before it has hung: discovery works through calls in turn, and fails
# by itself what waited for 2 to 3 s.
ANSWER_WAIT = 3.05
# A call that hangs is left open, since an answer that was written counts as told, but no longer than this.
LONGEST_CALL = 10.0
# How long a connection may take to come up.
CONNECT_WAIT = 0.6
# The distance of calls beside such as hang, and how many may be out: at discovery, which all nodes share, and
# at a node's own agent, whose word counts at once when it is back.
FURTHER_AFTER, MOST_OUT = 1.5, 2
FURTHER_AFTER_AT_AGENT, MOST_OUT_AT_AGENT = 0.75, 5
# A call that failed after so long is made again at once.
WAITED_LONG = 1.5
# From the call at a new place until calls at former ones are closed, in seconds: what came in the moment of a
# new configuration is read by then.
SUPERSEDED_WAIT = 0.1
# How many calls and watches at places where the list was before are left open until the new one has told.
MOST_SUPERSEDED = 4
# How many calls that fail in a row have a log line each, and how often one has a line after that, in seconds.
FAILURES_LOGGED = 20
FAILURE_LOGGED_EVERY = 5.0
# All followers of a relay lose it in one moment; each goes on at another after a part of this, by chance.
GO_ON_WITHIN = 0.5


def _in_own_order(sources: Sequence[str], seed: str) -> list[str]:
    # Off where no sources are named, and not imported then.
    from coraldeal.relay.route import seeded_shuffle

    return seeded_shuffle(sources, seed)


def call_limits(has_agent: bool, has_sources: bool) -> CallLimits:
    """By where the list comes from; of several sources one is asked at a time."""
    further, most = (FURTHER_AFTER_AT_AGENT, MOST_OUT_AT_AGENT) if has_agent else (FURTHER_AFTER, MOST_OUT)
    return CallLimits(
        hung_after=ANSWER_WAIT,
        extra_call_after=further,
        max_in_flight=1 if has_sources else most,
        always_extra=has_agent,
        long_call=WAITED_LONG,
    )


class Discovery:
    """Keeps one watch open; each end of a watch or of a series of calls is told once."""

    def __init__(
        self,
        address: str | None,
        read: Callable[[Any], ServerList],
        on_list: Callable[[ServerList], None],
        on_failure: Callable[[], None],
        services: Sequence[str] = (),
        sources: Sequence[str] = (),
        seed: str = "",
        has_agent: bool = False,
    ) -> None:
        # Several sources of the same list, in an order of this node's own: a watch that ends goes on at the
        # next one, from the version held. None: there is the one address.
        self.sources = _in_own_order(sources, seed) if sources else []
        self.seed = seed
        self.address = self.sources[0] if self.sources else address
        # The services whose servers are asked for; none named: all that the source tells at this address.
        self.services = services
        self.read = read
        self.on_list = on_list
        self.on_failure = on_failure
        # Of the list held, as the place counts that it is asked for now; -1: the whole list is asked for.
        self.version = -1
        self.plan = CallPlan(call_limits(has_agent, bool(sources)), seed)
        # Calls and the watch at the present address, by number, and what is left open at former ones.
        self.calls: dict[int, ListCall] = {}
        self.superseded: dict[int, ListCall] = {}
        self.watch: ListCall | None = None
        self.made = 0
        # The one next call that is due.
        self.due: asyncio.TimerHandle | None = None
        # How many sources in a row have failed.
        self.failed_sources = 0
        # How many calls have failed since a list last came, and since when; when the last of them was logged.
        self.failed_calls = 0
        self.failing_since = 0.0
        self.failure_logged_at = 0.0
        # What could not be read last: the same once more says nothing new.
        self.unreadable_why = ""
        # Of this process, for the operators.
        self.failed_in_all = 0

    def follow(self) -> None:
        """Watch the list from the version held, unless that is done or a call for it is out or due."""
        if self.address is not None and not self.calls and self.due is None:
            self._call()

    def move(self, address: str | None) -> None:
        """Watch another address from now on; what the old one still tells holds until the new one has told.

        Its versions need not count on from those of the old one, so the whole list is asked for.
        """
        self.address = address
        self.version = -1
        self.watch = None
        self.superseded |= self.calls
        self.calls = {}
        most = 0 if address is None else MOST_SUPERSEDED
        for number in list(self.superseded)[: max(0, len(self.superseded) - most)]:
            self.superseded.pop(number).cancel()
        self._schedule(None)
        loop = asyncio.get_running_loop()
        due = self.plan.address_changed(loop.time())
        if address is None:
            return
        if due <= loop.time():
            self._call()
        else:
            self._schedule(due)

    async def close(self) -> None:
        if self.due is not None:
            self.due.cancel()
        open_calls = [*self.calls.values(), *self.superseded.values()]
        for call in open_calls:
            call.cancel()
        await asyncio.gather(*(call.task for call in open_calls), return_exceptions=True)

    # Making calls.

    def _call(self) -> None:
        assert self.address is not None
        now = asyncio.get_running_loop().time()
        self.made += 1
        url = list_url(self.address, self.services, self.version)
        answer_wait = ANSWER_WAIT if self.sources else LONGEST_CALL
        times = CallTimes(CONNECT_WAIT, ANSWER_WAIT, SILENCE, answer_wait)
        call = ListCall(self.made, self.address, url, self.version, times, self)
        self.calls[call.number] = call
        self.plan.call_started(call.number, now)
        self._schedule(self.plan.extra_call_at())
        if self.superseded:
            asyncio.get_running_loop().call_later(SUPERSEDED_WAIT, self._close_superseded)
        call.start()

    def _close_superseded(self) -> None:
        """Calls at former places that still wait are work for discovery, and nobody needs their answers.

        Watches there stay open until the new place has told.
        """
        for number, call in list(self.superseded.items()):
            if not call.has_answer:
                self.superseded.pop(number).cancel()

    def _schedule(self, at: float | None) -> None:
        """At most one next call is due: another time takes the place of the one before."""
        if self.due is not None:
            self.due.cancel()
            self.due = None
        if at is not None and not self.sources:
            self.due = asyncio.get_running_loop().call_at(at, self._further)

    def _further(self) -> None:
        """One more call, beside those that hang."""
        self.due = None
        gives_way = self.plan.make_room(asyncio.get_running_loop().time())
        if gives_way is not None:
            self._count_failure(self.calls[gives_way], "it hung")
            self.calls.pop(gives_way).cancel()
        self._call()

    # What calls tell.

    def told(self, call: ListCall, told: ServerList, is_back: bool) -> None:
        """A list, or changes of it, from the watch, from a call, or from where the list was before."""
        if call.number in self.calls:
            self.version = -1 if is_back else told.version
            self.alive(call)
            self._log_answer(call, told)
            self.unreadable_why = ""
        elif call.number not in self.superseded:
            return
        self.on_list(told)

    def alive(self, call: ListCall) -> None:
        """The first answer at the present address: that call is the watch, and no other is needed."""
        if self.watch is not None or call.number not in self.calls:
            return
        self.watch = call
        self.plan.call_answered(call.number, asyncio.get_running_loop().time())
        self._schedule(None)
        del self.calls[call.number]
        for other in [*self.calls.values(), *self.superseded.values()]:
            other.cancel()
        self.calls, self.superseded = {call.number: call}, {}

    def unreadable(self, call: ListCall) -> None:
        """The list held stays, and the whole of it is asked for next: changes may have been missed.

        Where another source may be behind this one, only what changed since: its whole list may be older.
        """
        if not self.sources and call.number in self.calls:
            self.version = -1

    def ended(self, call: ListCall, end: CallEnd) -> None:
        """A call or watch is over, not by this node's own doing."""
        if self.superseded.pop(call.number, None) is not None:
            self._log("superseded call over", call, end.why)
            return
        if call.number not in self.calls:
            # It ended in the moment in which it was cancelled.
            return
        self._log_end(call, end)
        del self.calls[call.number]
        now = asyncio.get_running_loop().time()
        if self.watch is call:
            self.watch = None
            next_at = self.plan.watch_ended(call.began_at, now, end.fell_silent)
        else:
            next_at = self.plan.call_failed(call.number, now, end.refused)
        if self.sources:
            self._go_on(call, end)
        elif next_at is None:
            self._schedule(None)
            self.on_failure()
        else:
            self._schedule(next_at)

    def _go_on(self, call: ListCall, end: CallEnd) -> None:
        """To the next source, spread by chance: whoever followed the one before goes on too.

        When each of them has failed in turn, that is told.
        """
        assert self.address is not None
        has_told = call.version != call.asked_version
        self.failed_sources = 0 if end.fell_silent or has_told else self.failed_sources + 1
        chance = crc32(f"{self.seed} {self.address} {self.version}".encode()) / 2**32
        self.address = self.sources[(self.sources.index(self.address) + 1) % len(self.sources)]
        if self.failed_sources < len(self.sources):
            wait = GO_ON_WITHIN * chance
            asyncio.get_running_loop().call_later(wait, self.follow)
        else:
            self.failed_sources = 0
            self.on_failure()

    # Log.

    def _count_failure(self, call: ListCall, why: str) -> None:
        """Each call that failed is told, up to a number in a row; then one in a while."""
        now = asyncio.get_running_loop().time()
        if not self.failed_calls:
            self.failing_since = call.began_at
        self.failed_calls += 1
        self.failed_in_all += 1
        is_known = call.was_unreadable and why == self.unreadable_why
        is_due = self.failed_calls <= FAILURES_LOGGED or now - self.failure_logged_at >= FAILURE_LOGGED_EVERY
        if is_due and not is_known:
            self.failure_logged_at = now
        level = logging.INFO if is_due and not is_known else logging.DEBUG
        self.unreadable_why = why if call.was_unreadable else ""
        self._log("list call failed", call, why, level)

    def _log_end(self, call: ListCall, end: CallEnd) -> None:
        if self.watch is call:
            self._log("watch over", call, end.why)
        else:
            self._count_failure(call, end.why)

    def _log(self, event: str, call: ListCall, why: str, level: int = logging.INFO) -> None:
        log.log(level, event, extra={"pairs": {"why": why, **self._call_pairs(call)}})

    def _call_pairs(self, call: ListCall) -> dict[str, object]:
        """What tells one call from the others: its number, place and age, and how many more are out."""
        lasted = asyncio.get_running_loop().time() - call.began_at
        others = len(self.calls) + len(self.superseded) - (call.number in self.calls)
        return {
            "call": call.number,
            "address": call.address,
            "version": call.version,
            "call_ms": int(lasted * 1000),
            "others_out": others,
            "failed_calls": self.failed_calls,
        }

    def _log_answer(self, call: ListCall, told: ServerList) -> None:
        """One line for the first list of a call, with what came before it."""
        if call.has_told:
            return
        call.has_told = True
        pairs = {**self._call_pairs(call), "whole": told.whole, "servers": len(told.servers)}
        if self.failed_calls:
            now = asyncio.get_running_loop().time()
            pairs["without_list_ms"] = int((now - self.failing_since) * 1000)
        self.failed_calls = 0
        log.info("list answered", extra={"pairs": pairs})
