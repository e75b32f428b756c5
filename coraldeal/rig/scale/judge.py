"""The verdict of a scale run, from the books alone. No I/O, no clock.

A change is in force at a node once its module holds that state of the server, or a newer one, or has taken a
whole list of the change's generation or a later one. For the nodes of a region that was cut off, a change
made meanwhile counts from the region's return. Every entry carries how often its server has changed, so a
word that is older than one before is seen as such whatever lies between.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import msgspec

from coraldeal.rig.scale.books import ArrivalRow, ListedRow, NodeBook, Standing, ToldRow
from coraldeal.rig.scale.journal import Change, generation

# After a drain was told a request may still begin, as the rig's rules have it, with 50 ms of the rig's own.
GRACE_US = 1_550_000
# A node that sent to a server so lately would again.
LATELY_US = 5_000_000
ALL = "all"
# Faults of one kind that are told one by one.
TOLD_MOST = 10


class Fault(msgspec.Struct, array_like=True):
    """What is wrong, and where."""

    kind: str
    text: str


class Spread(msgspec.Struct):
    """Times from made to in force, in milliseconds."""

    count: int
    p50: float
    p99: float
    worst: float


class Verdict(msgspec.Struct):
    """What the books say."""

    faults: list[Fault]
    # By kind, also those that are not told one by one.
    counts: dict[str, int]
    # By the trouble that a change belongs to; `all` for every one.
    in_force: dict[str, Spread]
    # Pairs of a node and a change that it should have had; how many of these it never had.
    pairs: int
    never: int
    # Nodes that lack a change at the end of the run.
    nodes_without: int
    # Drains and ends told to a real node that had sent to that server just before.
    drains_tested: int = 0
    # The worst of all, in words.
    worst: str = ""

    @property
    def good(self) -> bool:
        return not self.counts


class Cut(msgspec.Struct, array_like=True):
    """A region was out of reach between these two moments of the machine's clock."""

    region: int
    from_us: int
    to_us: int


def spread(times_us: Sequence[int]) -> Spread:
    """Nearest rank."""
    ordered = sorted(times_us)
    count = len(ordered)

    def at(part: float) -> float:
        return ordered[min(count - 1, int(part * count))] / 1000

    return Spread(count, at(0.5), at(0.99), ordered[-1] / 1000) if ordered else Spread(0, 0.0, 0.0, 0.0)


class Journal:
    """The source's history: which state each server had, by sequence, and what stands at the end."""

    def __init__(
        self, standing: Sequence[Standing], changes: Sequence[Change], made_us: Sequence[int]
    ) -> None:
        self.changes = changes
        self.made_us = made_us
        service_of = {server.place: server.service for server in standing}
        self.service = [service_of[change.place] for change in changes]
        self.by_service: dict[str, list[int]] = defaultdict(list)
        # What a server was said to be, by its sequence.
        self.states: dict[str, dict[int, str]] = {server.server: {0: "Ready"} for server in standing}
        self.held: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        for server in standing:
            self.held[server.service][server.server] = ("Ready", 0)
        # Changes of one server, by their place, in order.
        self.of_server: dict[str, list[int]] = defaultdict(list)
        for index, change in enumerate(changes[: len(made_us)]):
            service = self.service[index]
            self.by_service[service].append(index)
            self.of_server[change.server].append(index)
            self.states.setdefault(change.server, {})[change.sequence] = change.condition
            self.held[service][change.server] = (change.condition, change.sequence)
            if change.condition == "Gone":
                del self.held[service][change.server]

    def expected(self, services: Sequence[str]) -> dict[str, tuple[str, int]]:
        """What a node that follows these services holds at the end."""
        return {name: state for service in services for name, state in self.held[service].items()}


class Judge:
    """Takes the books of nodes in, one by one."""

    def __init__(self, journal: Journal, cut: Cut | None = None, limit_us: int = 0) -> None:
        self.journal = journal
        self.cut = cut
        self.limit_us = limit_us
        self.faults: list[Fault] = []
        self.counts: Counter[str] = Counter()
        self.times: dict[str, list[int]] = defaultdict(list)
        self.pairs = self.never = self.nodes_without = 0
        self.tested = 0
        self.worst_us = -1
        self.worst = ""

    def fault(self, kind: str, text: str) -> None:
        self.counts[kind] += 1
        if self.counts[kind] <= TOLD_MOST:
            self.faults.append(Fault(kind, text))

    # Hollow nodes.

    def node(self, book: NodeBook) -> None:
        where = f"node {book.number}, region {book.region}"
        rows: dict[str, list[ListedRow]] = defaultdict(list)
        for row in book.rows:
            rows[row.server].append(row)
        self._order(where, rows)
        self._in_force(where, book, rows)
        self._holds(where, book.held, self.journal.expected(book.services))

    def _order(self, where: str, rows: Mapping[str, list[ListedRow]]) -> None:
        """Nothing that the source never said, and no word older than one before."""
        for server, told in rows.items():
            states = self.journal.states.get(server, {})
            last = -1
            for row in told:
                said = states.get(row.sequence)
                if said != row.condition:
                    was = f"{row.condition} as change {row.sequence} of it, the source said {said}"
                    self.fault("invented", f"{where}: {server} was {was}")
                if row.sequence < last:
                    text = f"{server} went back from change {last} of it to {row.sequence} ({row.condition})"
                    self.fault("backwards", f"{where}: {text}")
                last = max(last, row.sequence)

    def _in_force(self, where: str, book: NodeBook, rows: Mapping[str, list[ListedRow]]) -> None:
        journal, cut = self.journal, self.cut
        lacks = False
        for service in book.services:
            for index in journal.by_service[service]:
                change, made = journal.changes[index], journal.made_us[index]
                label = change.label
                if cut is not None and cut.region == book.region and cut.from_us <= made < cut.to_us:
                    made, label = cut.to_us, "apart, cut region from its return"
                self.pairs += 1
                at = self._when(change, index, rows.get(change.server, ()), book.wholes)
                if at is None:
                    lacks = True
                    self.never += 1
                    text = f"{change.server} {change.condition}, generation {generation(index)}"
                    self.fault("never", f"{where}: never had {text} ({label})")
                    continue
                took = max(0, at - made)
                self.times[label].append(took)
                self.times[ALL].append(took)
                if took > self.worst_us:
                    self.worst_us = took
                    self.worst = (
                        f"{took / 1000:.1f} ms at {where}: {change.server} {change.condition}, "
                        f"generation {generation(index)} ({label})"
                    )
        self.nodes_without += lacks

    def _when(
        self, change: Change, index: int, rows: Sequence[ListedRow], wholes: Sequence[tuple[int, int]]
    ) -> int | None:
        """When the change came into force; None: it never did."""
        found = [row.at_us for row in rows if row.sequence >= change.sequence][:1]
        # A whole list brings a server that has gone by leaving it out.
        for at_us, number in wholes:
            if number < generation(index):
                continue
            newest = [i for i in self.journal.of_server[change.server] if generation(i) <= number][-1]
            if self.journal.changes[newest].condition == "Gone":
                found.append(at_us)
        return min(found, default=None)

    def _holds(
        self, where: str, held: Mapping[str, tuple[str, int]], expected: Mapping[str, tuple[str, int]]
    ) -> None:
        for server, (condition, sequence) in expected.items():
            has = held.get(server)
            if has is None:
                self.fault("lacks", f"{where}: lacks {server}, {condition} at the source")
            elif has != (condition, sequence):
                text = f"{server} as {has[0]}, change {has[1]} of it; the source has {condition}, {sequence}"
                self.fault("differs", f"{where}: holds {text}")
        for server, (condition, sequence) in held.items():
            if server not in expected:
                states = self.journal.states.get(server)
                gone = "never was" if states is None else "is gone or not asked for"
                text = f"{server} as {condition}, change {sequence} of it, which {gone} at the source"
                self.fault("keeps", f"{where}: keeps {text}")

    # Real nodes.

    def real_node(self, number: int, region: int, known: int, unknown: Sequence[str], expected: int) -> None:
        """What a real node's door said at the end: how many servers, and which of the source's it lacks."""
        where = f"real node {number}, region {region}"
        for server in unknown:
            self.fault("lacks", f"{where}: lacks {server}")
        if known != expected - len(unknown):
            self.fault("keeps", f"{where}: holds {known} servers, the source {expected}")

    def drains(
        self, told: Sequence[ToldRow], arrivals: Sequence[ArrivalRow], grace_us: int = GRACE_US
    ) -> None:
        """No request begins at an address later than the grace after its server was told to drain or gone.

        How many ends were told to a node that had sent there just before is counted: they test it.
        """
        # For each node and address: since when it is closed; 0: open.
        states: dict[tuple[int, str], list[tuple[int, int, str]]] = defaultdict(list)
        standing: dict[tuple[int, str], dict[str, int]] = defaultdict(dict)
        for row in sorted(told, key=lambda row: row.at_us):
            key = (row.node, row.address)
            here = standing[key]
            if row.condition == "Ready":
                here.clear()
                here[row.server] = 0
            else:
                here[row.server] = here.get(row.server) or row.at_us
            # What was told first counts; a replacement at the same address opens it again.
            closed = 0 if any(not since for since in here.values()) else min(here.values())
            states[key].append((row.at_us, closed, row.server))
        came: dict[tuple[int, str], list[int]] = defaultdict(list)
        for arrival in arrivals:
            came[arrival.node, arrival.address].append(arrival.at_us)
        for key, here_told in states.items():
            for since in {closed: None for _, closed, _ in here_told if closed}:
                self.tested += any(since - LATELY_US <= at <= since for at in came[key])
        for arrival in arrivals:
            latest = (0, 0, "")
            for state in states.get((arrival.node, arrival.address), ()):
                if state[0] > arrival.at_us:
                    break
                latest = state
            _, closed, server = latest
            if closed and arrival.at_us > closed + grace_us:
                late = (arrival.at_us - closed) // 1000
                text = f"a request reached {server} at {arrival.address} {late} ms after its drain was told"
                self.fault("drain", f"real node {arrival.node}: {text}")

    def verdict(self) -> Verdict:
        if self.limit_us and self.worst_us > self.limit_us:
            self.fault("late", f"in force later than {self.limit_us / 1000:g} ms: {self.worst}")
        in_force = {label: spread(times) for label, times in sorted(self.times.items())}
        return Verdict(
            self.faults,
            dict(self.counts),
            in_force,
            self.pairs,
            self.never,
            self.nodes_without,
            self.tested,
            self.worst,
        )
