"""When a node calls discovery, how many calls it keeps out at once, and which gives way. No I/O, no clock.

A change of the list has to be known 6 s after discovery has it and can be reached, whatever calls failed
before. Calls are therefore not made one after another, each with a bounded wait of its own: once a call has
hung, a further one is made beside it at even distances, so that one that is lost holds back none that is not.

A further call is work for a discovery that all nodes share, and where that is crowded it makes the crowd. It
is made no sooner than twice the time that answers have taken of late, not for a new configuration alone, and
not at all where discovery ends the calls of one node together: there it can only spoil the one that waits.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

# A further call is made after so many times what answers have taken of late.
ANSWER_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class CallLimits:
    """The distances of calls, in seconds, and how many may be out."""

    # From when on a call without an answer has hung. Discovery fails by itself what it can't answer in 3 s.
    hung_after: float
    # The distance of a further call beside calls that hang.
    further_after: float
    # How many calls may wait for their answers at once.
    most_out: int
    # Whether a further call is made so soon although no call has hung yet.
    always_further: bool = False
    # The shortest wait behind a call that failed at once while others are out or the list has just moved, and
    # how far it is spread.
    least_wait: float = 0.4
    spread: float = 0.4
    # How far calls made again at once are spread: many nodes may have been failed in one moment.
    spread_at_once: float = 0.3
    # A call that failed after so long has spared discovery as much as a wait would have, as has a watch that
    # lived so long.
    waited_long: float = 1.5
    lived_long: float = 1.0
    # New configurations closer than this are a row: the last of them gets the call, when none has come for as
    # long. But no later than the place left first closes what is open there.
    moves_apart: float = 1.0
    longest_fold: float = 1.5
    # What discovery has to tell counts as told so long after a new configuration.
    told_after_move: float = 4.0
    # Calls refused within so short a time of one another ended together; for how long that is believed.
    together_within: float = 0.02
    together_for: float = 600.0


@dataclass(frozen=True, slots=True)
class _End:
    """When a call that was refused had begun and ended."""

    began: float
    ended: float


class CallPlan:
    """The calls of one node that wait for their answers, by the numbers that their maker gave them."""

    def __init__(self, limits: CallLimits, seed: str) -> None:
        self.limits = limits
        self.seed = seed
        self.draws = 0
        # When each call that is out began, the oldest first.
        self.out: dict[int, float] = {}
        self.last_begun = 0.0
        # Whether a call has hung since the last answer: an answer may be long in coming.
        self.suspects = False
        # How long answers have taken of late; older ones count half with each that follows.
        self.answer_time = 0.0
        self.last_refusal: _End | None = None
        # Until when calls of this node are taken to end together.
        self.together_until = 0.0
        # When the list last moved, and first since the last call.
        self.moved_at: float | None = None
        self.first_move: float | None = None

    def begun(self, call: int, now: float) -> None:
        self.out[call] = self.last_begun = now
        self.first_move = None

    def moved(self, now: float) -> float:
        """When the call at the new place is due. Calls made before were for another: none is waited for."""
        self.out.clear()
        limits = self.limits
        is_in_a_row = self.moved_at is not None and now - self.moved_at < limits.moves_apart
        self.moved_at = now
        if self.first_move is None:
            self.first_move = now
        if not is_in_a_row:
            return now
        return min(now + limits.moves_apart, self.first_move + limits.longest_fold)

    def answered(self, call: int, now: float) -> None:
        """A list has come: whatever else is out is not needed."""
        self.answer_time = max(now - self.out[call], self.answer_time / 2)
        self.out.clear()
        self.suspects = False

    def further_at(self) -> float | None:
        """When one more call is due beside those that are out; None: none is out."""
        if not self.out:
            return None
        limits = self.limits
        if self._ends_together(self.last_begun):
            return self.last_begun + limits.hung_after
        soon = self.suspects or limits.always_further
        distance = max(limits.further_after, ANSWER_TIMES * self.answer_time)
        at = self.last_begun + (min(distance, limits.hung_after) if soon else limits.hung_after)
        if len(self.out) >= limits.most_out:
            at = max(at, next(iter(self.out.values())) + limits.hung_after)
        return at

    def make_room(self, now: float) -> int | None:
        """A further call is about to be made: which call gives way to it; None: there is room."""
        # Not a call behind a watch's end or a move: that one is made alone.
        self.suspects = self.suspects or bool(self.out)
        most_out = 1 if self._ends_together(now) else self.limits.most_out
        oldest = next(iter(self.out), None)
        if oldest is None or len(self.out) < most_out:
            return None
        del self.out[oldest]
        return oldest

    def failed(self, call: int, now: float, refused: bool = False) -> float | None:
        """A call ended without an answer: when the next one is due; None: after its caller's own wait.

        `refused`: discovery itself said so, as against a connection that broke.
        """
        began = self.out.pop(call)
        if refused:
            self._note_refusal(_End(began, now))
        limits = self.limits
        has_hung = now - began > limits.waited_long
        self.suspects = self.suspects or has_hung
        if has_hung:
            soon = now + limits.spread_at_once * self._chance()
            return max(soon, self.last_begun + limits.further_after) if self.out else soon
        if self.out or self._has_moved_lately(now):
            return now + limits.least_wait + limits.spread * self._chance()
        return None

    def _has_moved_lately(self, now: float) -> bool:
        """What discovery has to tell counts as told soon after a new configuration: no long waits then."""
        return self.moved_at is not None and now - self.moved_at < self.limits.told_after_move

    def _note_refusal(self, end: _End) -> None:
        """Calls that were out at one time and refused at one are not independent."""
        before, self.last_refusal = self.last_refusal, end
        if before is None or end.began >= before.ended:
            return
        if end.ended - before.ended < self.limits.together_within:
            self.together_until = end.ended + self.limits.together_for

    def _ends_together(self, now: float) -> bool:
        return now < self.together_until

    def watch_ended(self, opened: float, now: float, fell_silent: bool) -> float | None:
        """When the next call is due behind a watch's end; None: after its caller's own wait.

        Discovery may end a watch instead of telling a change, and the call that follows may be slow: a wait
        before it would come on top.
        """
        if fell_silent:
            self.suspects = True
            return now
        if now - opened < self.limits.lived_long:
            return None
        return now + self.limits.spread_at_once * self._chance()

    def _chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.seed} call {self.draws}".encode()) / 2**32
