"""When a node calls discovery, and how many of its calls are in flight at once. No I/O, no clock.

A node has to know a change of the server list 6 s after discovery has it and can be reached, whatever calls
failed before. Calls with a bounded wait, made one after another, would take longer. So once a call has hung,
extra calls are made beside it at even intervals, and a call that is lost does not delay the others.

An extra call is work for a discovery service that all nodes share, and it adds to an overload there. It is
made no sooner than twice the time that recent answers took, and not because of a new configuration alone.
Where discovery ends the calls of one node together, none is made: it could only end the one that waits.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

# An extra call is made after this multiple of the time that recent answers took.
ANSWER_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Intervals between calls, in seconds, and how many calls may be in flight."""

    # A call without an answer has hung after this time. Discovery fails a call itself that it can't answer
    # within 3 s.
    hung_after: float
    # The interval between extra calls.
    extra_call_after: float
    # How many calls may be in flight at once.
    max_in_flight: int
    # Whether extra calls are made at this interval even before a call has hung.
    always_extra: bool = False
    # The shortest wait after a call that failed at once, while others are in flight or soon after the address
    # of discovery has changed; and the random time added to it.
    min_wait: float = 0.4
    wait_jitter: float = 0.4
    # The random wait of a call that is repeated at once: many nodes may have failed in the same moment.
    immediate_jitter: float = 0.3
    # A call that failed after this time, or a watch that lasted this long, has spared discovery as much as a
    # wait would have: the next call is made at once.
    long_call: float = 1.5
    min_watch_life: float = 1.0
    # Address changes closer than this form a series, and one call is made for the last of them, once this
    # time has passed without another. But no later than this delay after the first, when the former address
    # closes its connections.
    change_gap: float = 1.0
    max_change_delay: float = 1.5
    # A node has to know the list this long after a new configuration.
    known_after_change: float = 4.0
    # Calls refused within this time of each other ended together, and for how long that is assumed to go on.
    same_end_within: float = 0.02
    same_end_memory: float = 600.0


@dataclass(frozen=True, slots=True)
class _Refusal:
    """When a call that was refused started and ended."""

    started_at: float
    ended_at: float


class CallPlan:
    """The calls of one node that wait for an answer, by numbers that the user of the plan assigns.

    Times are seconds of one monotonic clock.
    """

    def __init__(self, limits: CallLimits, seed: str) -> None:
        self.limits = limits
        self.seed = seed
        self.draws = 0
        # When each call in flight started, the oldest first.
        self.in_flight: dict[int, float] = {}
        self.last_started_at = 0.0
        # Whether a call has hung since the last answer, so that the next answer may take long.
        self.suspects_hang = False
        # How long recent answers took. With each answer the earlier value counts half.
        self.answer_time = 0.0
        self.last_refusal: _Refusal | None = None
        # Until when calls of this node are assumed to end together.
        self.same_end_until = 0.0
        # When the address last changed, and when it first did since the last call.
        self.changed_at: float | None = None
        self.first_change_at: float | None = None

    def call_started(self, call: int, now: float) -> None:
        """Record a call that was made."""
        self.in_flight[call] = self.last_started_at = now
        self.first_change_at = None

    def address_changed(self, now: float) -> float:
        """Drop the calls at the former address, and return when to call the new one."""
        self.in_flight.clear()
        limits = self.limits
        is_in_a_series = self.changed_at is not None and now - self.changed_at < limits.change_gap
        self.changed_at = now
        if self.first_change_at is None:
            self.first_change_at = now
        if not is_in_a_series:
            return now
        return min(now + limits.change_gap, self.first_change_at + limits.max_change_delay)

    def call_answered(self, call: int, now: float) -> None:
        """Record an answer; the other calls in flight are no longer needed."""
        self.answer_time = max(now - self.in_flight[call], self.answer_time / 2)
        self.in_flight.clear()
        self.suspects_hang = False

    def extra_call_at(self) -> float | None:
        """Return when to make an extra call beside those in flight; None if none is in flight."""
        if not self.in_flight:
            return None
        limits = self.limits
        if self._ends_together(self.last_started_at):
            return self.last_started_at + limits.hung_after
        soon = self.suspects_hang or limits.always_extra
        interval = max(limits.extra_call_after, ANSWER_TIMES * self.answer_time)
        at = self.last_started_at + (min(interval, limits.hung_after) if soon else limits.hung_after)
        if len(self.in_flight) >= limits.max_in_flight:
            at = max(at, next(iter(self.in_flight.values())) + limits.hung_after)
        return at

    def make_room(self, now: float) -> int | None:
        """Prepare an extra call: return the call to cancel for it, or None if there is room."""
        # Only an extra call beside others is a sign of a hang. One after the end of a watch or after a change
        # of address is made alone.
        self.suspects_hang = self.suspects_hang or bool(self.in_flight)
        max_in_flight = 1 if self._ends_together(now) else self.limits.max_in_flight
        oldest = next(iter(self.in_flight), None)
        if oldest is None or len(self.in_flight) < max_in_flight:
            return None
        del self.in_flight[oldest]
        return oldest

    def call_failed(self, call: int, now: float, refused: bool = False) -> float | None:
        """Record a call that ended without an answer, and return when to make the next one.

        None: after the wait that the user of the plan has for failures. `refused` means that discovery
        answered with an error, as opposed to a broken connection.
        """
        started_at = self.in_flight.pop(call)
        if refused:
            self._record_refusal(_Refusal(started_at, now))
        limits = self.limits
        was_long = now - started_at > limits.long_call
        self.suspects_hang = self.suspects_hang or was_long
        if was_long:
            soon = now + limits.immediate_jitter * self._random()
            return max(soon, self.last_started_at + limits.extra_call_after) if self.in_flight else soon
        if self.in_flight or self._has_changed_recently(now):
            return now + limits.min_wait + limits.wait_jitter * self._random()
        return None

    def _has_changed_recently(self, now: float) -> bool:
        """Return whether long waits would make the node miss the time limit after a change of address."""
        return self.changed_at is not None and now - self.changed_at < self.limits.known_after_change

    def _record_refusal(self, refusal: _Refusal) -> None:
        """Detect calls that were in flight together and refused together: extra calls are useless then."""
        previous, self.last_refusal = self.last_refusal, refusal
        if previous is None or refusal.started_at >= previous.ended_at:
            return
        if refusal.ended_at - previous.ended_at < self.limits.same_end_within:
            self.same_end_until = refusal.ended_at + self.limits.same_end_memory

    def _ends_together(self, now: float) -> bool:
        return now < self.same_end_until

    def watch_ended(self, opened: float, now: float, fell_silent: bool) -> float | None:
        """Return when to make the next call after the end of a watch.

        None: after the wait that the user of the plan has for failures. Discovery may end a watch instead of
        sending a change, and the next call may be slow: a wait before it would add to that.
        """
        if fell_silent:
            self.suspects_hang = True
            return now
        if now - opened < self.limits.min_watch_life:
            return None
        return now + self.limits.immediate_jitter * self._random()

    def _random(self) -> float:
        """Draw a number from 0 up to 1, reproducible by the seed and the number of draws."""
        self.draws += 1
        return crc32(f"{self.seed} call {self.draws}".encode()) / 2**32
