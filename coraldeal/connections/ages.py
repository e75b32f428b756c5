"""Learns how long idle connections live, and up to which idle age one may be reused for what.

An idle age is how long a connection has been idle since its last answer, in microseconds. No I/O and no
clock: the end of each idle period is reported from outside. The estimate counts survival instead of a mean:
of all idle periods that reached an age, how many the server ended there. It therefore works for closes at
one fixed age, at random ages between two, and for a limit that changes.
"""

from __future__ import annotations

from bisect import bisect_right

MILLISECOND = 1_000
SECOND = 1_000_000
# The lower edges of the age steps, each a fifth above the one before, from 10 ms to 10 min.
AGE_EDGES = [0] + [round(10 * MILLISECOND * 1.2**step) for step in range(61)]
# After this time earlier counts weigh half: the limits of servers change with a deployment.
HALF_LIFE = 60 * SECOND
# How long a close is under way while it may cross a request: the network, and a delayed turn of both event
# loops.
CROSSING_TIME = 10 * MILLISECOND
# A count of closes above this is evidence, and this many idle periods that reached an age without an earlier
# close prove it.
MIN_CLOSES = 0.1
MIN_PROOF = 10.0
# The fraction of the proven age, and of the lowest age at which a close was seen, that is safe.
SAFE_FRACTION = 0.5
# The fraction of the server's stated limit that is safe before anything was seen.
INITIAL_SAFE_FRACTION = 0.1


class IdlePeriods:
    """Counts of idle periods by the age they reached, at one server or at all servers of a layer."""

    __slots__ = ("closed", "decayed_at", "survived")

    def __init__(self) -> None:
        # By age step: idle periods that lived through it, and those that the server ended within it.
        self.survived = [0.0] * len(AGE_EDGES)
        self.closed = [0.0] * len(AGE_EDGES)
        self.decayed_at = 0

    def record(self, age: int, closed: bool, now: int) -> None:
        """Record an idle period that ended at this age, by the server if `closed`, else by the node."""
        self._decay(now)
        last = bisect_right(AGE_EDGES, age) - 1
        for step in range(last):
            self.survived[step] += 1
        if closed:
            self.closed[last] += 1

    def _decay(self, now: int) -> None:
        """Reduce earlier counts by their age."""
        # Only every twentieth of the half-life: doing it for each idle period would be needless work.
        if now - self.decayed_at < HALF_LIFE // 20:
            return
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE) if self.decayed_at else 1.0
        self.decayed_at = now
        self.survived = [count * factor for count in self.survived]
        self.closed = [count * factor for count in self.closed]

    def count(self) -> float:
        """Return the number of idle periods seen, weighted by age."""
        return self.survived[0] + self.closed[0]

    def min_closed_age(self) -> int:
        """Return the lowest age at which the server was seen to close; -1 if it was not."""
        return next((AGE_EDGES[step] for step, count in enumerate(self.closed) if count > MIN_CLOSES), -1)

    def proven_age(self) -> int:
        """Return the age that enough idle periods have survived."""
        return next(
            (AGE_EDGES[step] for step, count in enumerate(self.survived) if count < MIN_PROOF), AGE_EDGES[-1]
        )

    def crossing_risk(self, step: int) -> float:
        """Return the probability that a request written at an age of this step crosses the server's close."""
        width = AGE_EDGES[min(step + 1, len(AGE_EDGES) - 1)] - AGE_EDGES[step] or AGE_EDGES[-1]
        # Idle periods that ended within the step have lived through half of it on average.
        survived = self.survived[step] + self.closed[step] / 2
        return self.closed[step] / survived * min(1.0, CROSSING_TIME / width) if survived else 0.0


class ConnectionAges:
    """The idle periods at all servers of a layer. Each server's own counts are stored with the server."""

    __slots__ = ("all_servers", "limit", "max_risk")

    def __init__(self, limit: int, max_risk: float) -> None:
        # The idle age at which the server closes at the latest, and the accepted probability of a crossing.
        self.limit = limit
        self.max_risk = max_risk
        self.all_servers = IdlePeriods()

    def new_server(self) -> IdlePeriods:
        """Return empty counts for another server."""
        return IdlePeriods()

    def record(self, server: IdlePeriods, age: int, closed: bool, now: int) -> None:
        """Record the end of an idle period at a server."""
        server.record(age, closed, now)
        self.all_servers.record(age, closed, now)

    def safe_age(self, server: IdlePeriods) -> int:
        """Return the age up to which a connection may carry a request that must not be executed twice."""
        evidence = self._evidence(server)
        min_closed = evidence.min_closed_age()
        proven = max(int(INITIAL_SAFE_FRACTION * self.limit), int(SAFE_FRACTION * evidence.proven_age()))
        return min(
            proven, self.usable_age(server), int(SAFE_FRACTION * min_closed) if min_closed >= 0 else proven
        )

    def usable_age(self, server: IdlePeriods) -> int:
        """Return the age up to which a connection is kept and may carry a request that may be retried."""
        evidence = self._evidence(server)
        for step, closed in enumerate(evidence.closed):
            if AGE_EDGES[step] >= self.limit:
                break
            if closed > MIN_CLOSES and evidence.crossing_risk(step) > self.max_risk:
                return AGE_EDGES[step]
        return self.limit

    def _evidence(self, server: IdlePeriods) -> IdlePeriods:
        """Return the server's own counts, or those of all servers while the server has too few."""
        return server if server.count() >= MIN_PROOF else self.all_servers
