"""How long connections live at rest, learned from rests that ended, and for what one may still be used.

No I/O and no clock: it is told of each rest that ended and when. Ages are in microseconds. It counts survival
and not a mean: of all rests that reached an age, how many the server ended there. So closes at one fixed age,
at random ones between two, and a limit that changes are all the same to it.
"""

from __future__ import annotations

from bisect import bisect_right

MILLISECOND = 1_000
SECOND = 1_000_000
# Ages are told apart in steps of a fifth, from 10 ms to 10 min.
EDGES = [0] + [round(10 * MILLISECOND * 1.2**step) for step in range(61)]
# In how long half of what was seen is forgotten: limits change with a deploy.
HALF_LIFE = 60 * SECOND
# A close that crosses a request is on its way for so long: the network, and a late turn of both loops.
CROSSING = 10 * MILLISECOND
# How many closes say something, and how many rests that reached an age prove it, with none that ended before.
SIGN = 0.1
PROOF = 10.0
# Of what was proven, and of the least age at which a close was seen, the part that is safe beyond doubt.
SURE_PART = 0.5
# Of the limit that the server names, the part that is safe beyond doubt before anything was seen.
SURE_FIRST = 0.1


class Rests:
    """Rests at one server, or at all of a tier, by the age that they reached."""

    __slots__ = ("closed", "lived", "seen_at")

    def __init__(self) -> None:
        # By step of age: rests that lived through it, and those that the server ended within it.
        self.lived = [0.0] * len(EDGES)
        self.closed = [0.0] * len(EDGES)
        self.seen_at = 0

    def ended(self, age: int, closed: bool, now: int) -> None:
        """A rest ended at this age, by the server's close or because it was used again or given up."""
        self._fade(now)
        last = bisect_right(EDGES, age) - 1
        for step in range(last):
            self.lived[step] += 1
        if closed:
            self.closed[last] += 1

    def _fade(self, now: int) -> None:
        # In steps of a twentieth of the half-life: once a rest would be work for nothing.
        if now - self.seen_at < HALF_LIFE // 20:
            return
        part = 0.5 ** ((now - self.seen_at) / HALF_LIFE) if self.seen_at else 1.0
        self.seen_at = now
        self.lived = [count * part for count in self.lived]
        self.closed = [count * part for count in self.closed]

    def known(self) -> float:
        """How many rests tell something."""
        return self.lived[0] + self.closed[0]

    def least_closed(self) -> int:
        """The least age at which the server was seen to close; -1: none was."""
        return next((EDGES[step] for step, count in enumerate(self.closed) if count > SIGN), -1)

    def proven(self) -> int:
        """Up to which age enough rests have lived."""
        return next((EDGES[step] for step, count in enumerate(self.lived) if count < PROOF), EDGES[-1])

    def risk(self, step: int) -> float:
        """The chance that a request written at an age of this step crosses the server's close."""
        width = EDGES[min(step + 1, len(EDGES) - 1)] - EDGES[step] or EDGES[-1]
        # Those that ended within it have lived through half of it.
        lived = self.lived[step] + self.closed[step] / 2
        return self.closed[step] / lived * min(1.0, CROSSING / width) if lived else 0.0


class Ages:
    """Of one tier: what each server's rests have shown, and what all of them have."""

    __slots__ = ("limit", "risk", "tier")

    def __init__(self, limit: int, risk: float) -> None:
        # After how long the server closes at the latest, and the chance of a crossing that is worth taking.
        self.limit = limit
        self.risk = risk
        self.tier = Rests()

    def server(self) -> Rests:
        """For one server more."""
        return Rests()

    def ended(self, server: Rests, age: int, closed: bool, now: int) -> None:
        """A rest at a server ended."""
        server.ended(age, closed, now)
        self.tier.ended(age, closed, now)

    def sure(self, server: Rests) -> int:
        """Up to which age a connection may carry what must not run twice."""
        told = self._telling(server)
        least = told.least_closed()
        proven = max(int(SURE_FIRST * self.limit), int(SURE_PART * told.proven()))
        return min(proven, self.usable(server), int(SURE_PART * least) if least >= 0 else proven)

    def usable(self, server: Rests) -> int:
        """Up to which age a connection may carry what may run again, and is worth keeping."""
        told = self._telling(server)
        for step, closed in enumerate(told.closed):
            if EDGES[step] >= self.limit:
                break
            if closed > SIGN and told.risk(step) > self.risk:
                return EDGES[step]
        return self.limit

    def _telling(self, server: Rests) -> Rests:
        """A server's own rests, or while these are few all of the tier's."""
        return server if server.known() >= PROOF else self.tier
