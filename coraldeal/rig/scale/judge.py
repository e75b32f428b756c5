"""Checks the records of a scale run and computes its verdict. No I/O, no clock.

A change is in force at a node once its module holds that state of the server or a newer one, or has applied a
full list of the change's generation or a later one. For the nodes of a partitioned region, a change made
during the partition counts from the end of the partition. Every entry carries the sequence number of its
server's changes, so a state that is older than one applied before is detected, whatever lies between source
and node.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import msgspec

from coraldeal.rig.scale.journal import Change, generation
from coraldeal.rig.scale.records import (
    AppliedRecord,
    ArrivalRecord,
    InitialServer,
    NodeRecords,
    NotificationRecord,
)

# How long after the notification of a drain a request may still begin: 1.5 s by the rig's rules, and 50 ms
# for delays of the rig itself.
DRAIN_GRACE_US = 1_550_000
# A node that sent to a server within this time is expected to send there again.
RECENTLY_US = 5_000_000
ALL_LABELS = "all"
# Violations of one kind that are reported in full; all are counted.
MAX_REPORTED_PER_KIND = 10


class Violation(msgspec.Struct, array_like=True):
    """A violated rule: its kind, and a text that says what is wrong at which node."""

    kind: str
    text: str


class Spread(msgspec.Struct):
    """The times from the making of changes until they are in force, in milliseconds."""

    count: int
    p50: float
    p99: float
    worst: float


class Verdict(msgspec.Struct):
    """The result of a run's checks."""

    # The reported violations.
    faults: list[Violation]
    # The number of violations by kind, including those not reported in full.
    counts: dict[str, int]
    # By the label of a change; `all` for all changes.
    in_force: dict[str, Spread]
    # Pairs of a node and a change that it should have received; how many of these never took effect.
    pairs: int
    never: int
    # Nodes that lack a change at the end of the run.
    nodes_without: int
    # Drains and removals of which a real node was notified that had sent to that server recently.
    drains_tested: int = 0
    # A description of the longest time until a change was in force.
    worst: str = ""

    @property
    def good(self) -> bool:
        """Whether no rule was violated."""
        return not self.counts


class Partition(msgspec.Struct, array_like=True):
    """The time span, on the monotonic clock, in which a region could not reach the source."""

    region: int
    from_us: int
    to_us: int


def spread(times_us: Sequence[int]) -> Spread:
    """Summarise times; percentiles are computed by nearest rank."""
    ordered = sorted(times_us)
    count = len(ordered)

    def at(fraction: float) -> float:
        return ordered[min(count - 1, int(fraction * count))] / 1000

    return Spread(count, at(0.5), at(0.99), ordered[-1] / 1000) if ordered else Spread(0, 0.0, 0.0, 0.0)


class SourceHistory:
    """The history of the source: the state of each server by sequence number, and the list at the end."""

    def __init__(
        self,
        initial_servers: Sequence[InitialServer],
        changes: Sequence[Change],
        change_times_us: Sequence[int],
    ) -> None:
        self.changes = changes
        self.change_times_us = change_times_us
        service_of = {server.place: server.service for server in initial_servers}
        self.service = [service_of[change.place] for change in changes]
        # Indices of changes by service.
        self.changes_of_service: dict[str, list[int]] = defaultdict(list)
        # The condition of each server by sequence number.
        self.conditions: dict[str, dict[int, str]] = {
            server.server: {0: "Ready"} for server in initial_servers
        }
        # The list at the end: condition and sequence number by service and server.
        self.final_servers: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        for server in initial_servers:
            self.final_servers[server.service][server.server] = ("Ready", 0)
        # Indices of changes by server, in order.
        self.changes_of_server: dict[str, list[int]] = defaultdict(list)
        for index, change in enumerate(changes[: len(change_times_us)]):
            service = self.service[index]
            self.changes_of_service[service].append(index)
            self.changes_of_server[change.server].append(index)
            self.conditions.setdefault(change.server, {})[change.sequence] = change.condition
            self.final_servers[service][change.server] = (change.condition, change.sequence)
            if change.condition == "Gone":
                del self.final_servers[service][change.server]

    def expected_servers(self, services: Sequence[str]) -> dict[str, tuple[str, int]]:
        """The servers that a node that follows these services must hold at the end."""
        return {name: state for service in services for name, state in self.final_servers[service].items()}


class Judge:
    """Checks the records of nodes, one node after another, and collects the violations."""

    def __init__(self, history: SourceHistory, partition: Partition | None = None, limit_us: int = 0) -> None:
        self.history = history
        self.partition = partition
        self.limit_us = limit_us
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        # The times until changes were in force, by label, in microseconds.
        self.times: dict[str, list[int]] = defaultdict(list)
        self.pairs = self.never = self.nodes_without = 0
        self.drains_tested = 0
        self.worst_us = -1
        self.worst = ""

    def add_violation(self, kind: str, text: str) -> None:
        """Count a violation, and report it unless there are many of its kind."""
        self.counts[kind] += 1
        if self.counts[kind] <= MAX_REPORTED_PER_KIND:
            self.violations.append(Violation(kind, text))

    # Hollow nodes.

    def check_node(self, records: NodeRecords) -> None:
        """Check the records of a hollow node."""
        where = f"node {records.number}, region {records.region}"
        applied: dict[str, list[AppliedRecord]] = defaultdict(list)
        for record in records.applied:
            applied[record.server].append(record)
        self._check_order(where, applied)
        self._check_in_force(where, records, applied)
        self._check_final_servers(
            where, records.final_servers, self.history.expected_servers(records.services)
        )

    def _check_order(self, where: str, applied: Mapping[str, list[AppliedRecord]]) -> None:
        """Check that the source reported each applied state, and that none is older than the one before."""
        for server, records in applied.items():
            conditions = self.history.conditions.get(server, {})
            last = -1
            for record in records:
                reported = conditions.get(record.sequence)
                if reported != record.condition:
                    state = f"{record.condition} at its change {record.sequence}; the source sent {reported}"
                    self.add_violation("invented", f"{where}: {server} was {state}")
                if record.sequence < last:
                    text = (
                        f"{server} went back from its change {last} to {record.sequence} ({record.condition})"
                    )
                    self.add_violation("backwards", f"{where}: {text}")
                last = max(last, record.sequence)

    def _check_in_force(
        self, where: str, records: NodeRecords, applied: Mapping[str, list[AppliedRecord]]
    ) -> None:
        history, partition = self.history, self.partition
        lacks = False
        for service in records.services:
            for index in history.changes_of_service[service]:
                change, made = history.changes[index], history.change_times_us[index]
                label = change.label
                if (
                    partition is not None
                    and partition.region == records.region
                    and partition.from_us <= made < partition.to_us
                ):
                    made, label = partition.to_us, "apart, cut region from its return"
                self.pairs += 1
                at = self._in_force_at(change, index, applied.get(change.server, ()), records.full_lists)
                if at is None:
                    lacks = True
                    self.never += 1
                    text = f"{change.server} {change.condition}, generation {generation(index)}"
                    self.add_violation("never", f"{where}: never had {text} ({label})")
                    continue
                took = max(0, at - made)
                self.times[label].append(took)
                self.times[ALL_LABELS].append(took)
                if took > self.worst_us:
                    self.worst_us = took
                    self.worst = (
                        f"{took / 1000:.1f} ms at {where}: {change.server} {change.condition}, "
                        f"generation {generation(index)} ({label})"
                    )
        self.nodes_without += lacks

    def _in_force_at(
        self,
        change: Change,
        index: int,
        applied: Sequence[AppliedRecord],
        full_lists: Sequence[tuple[int, int]],
    ) -> int | None:
        """The time at which the change took effect; None: it never did."""
        times_us = [record.at_us for record in applied if record.sequence >= change.sequence][:1]
        # A full list removes a server by leaving it out, for which the node has no record of the server.
        for at_us, number in full_lists:
            if number < generation(index):
                continue
            newest = [i for i in self.history.changes_of_server[change.server] if generation(i) <= number][-1]
            if self.history.changes[newest].condition == "Gone":
                times_us.append(at_us)
        return min(times_us, default=None)

    def _check_final_servers(
        self, where: str, held: Mapping[str, tuple[str, int]], expected: Mapping[str, tuple[str, int]]
    ) -> None:
        for server, (condition, sequence) in expected.items():
            state = held.get(server)
            if state is None:
                self.add_violation("lacks", f"{where}: lacks {server}, {condition} at the source")
            elif state != (condition, sequence):
                text = (
                    f"{server} as {state[0]}, its change {state[1]}; the source has {condition}, {sequence}"
                )
                self.add_violation("differs", f"{where}: holds {text}")
        for server, (condition, sequence) in held.items():
            if server not in expected:
                conditions = self.history.conditions.get(server)
                reason = "was never listed" if conditions is None else "is gone or of another service"
                text = f"{server} as {condition}, its change {sequence}, which {reason} at the source"
                self.add_violation("keeps", f"{where}: keeps {text}")

    # Real nodes.

    def check_real_node(
        self, number: int, region: int, known: int, unknown: Sequence[str], expected: int
    ) -> None:
        """Check what a real node's admin listener answered at the end.

        `known` is its number of servers, `unknown` names those of the source that it lacks, and `expected` is
        the number of servers that the source has.
        """
        where = f"real node {number}, region {region}"
        for server in unknown:
            self.add_violation("lacks", f"{where}: lacks {server}")
        if known != expected - len(unknown):
            self.add_violation("keeps", f"{where}: holds {known} servers, the source {expected}")

    def check_drains(
        self,
        notifications: Sequence[NotificationRecord],
        arrivals: Sequence[ArrivalRecord],
        grace_us: int = DRAIN_GRACE_US,
    ) -> None:
        """Check that no request begins at an address after its server's drain or removal and the grace.

        Counts the drains and removals that test this: those of which a node was notified that had sent to the
        address recently.
        """
        # For each node and address: the time of a notification, the time since when the address is closed (0:
        # it is open), and the server.
        states: dict[tuple[int, str], list[tuple[int, int, str]]] = defaultdict(list)
        servers_at: dict[tuple[int, str], dict[str, int]] = defaultdict(dict)
        for record in sorted(notifications, key=lambda record: record.at_us):
            key = (record.node, record.address)
            closed_since = servers_at[key]
            if record.condition == "Ready":
                closed_since.clear()
                closed_since[record.server] = 0
            else:
                closed_since[record.server] = closed_since.get(record.server) or record.at_us
            # The first notification counts; a replacement at the same address opens the address again.
            closed = 0 if any(not since for since in closed_since.values()) else min(closed_since.values())
            states[key].append((record.at_us, closed, record.server))
        arrivals_at: dict[tuple[int, str], list[int]] = defaultdict(list)
        for arrival in arrivals:
            arrivals_at[arrival.node, arrival.address].append(arrival.at_us)
        for key, address_states in states.items():
            for since in {closed: None for _, closed, _ in address_states if closed}:
                self.drains_tested += any(since - RECENTLY_US <= at <= since for at in arrivals_at[key])
        for arrival in arrivals:
            latest = (0, 0, "")
            for state in states.get((arrival.node, arrival.address), ()):
                if state[0] > arrival.at_us:
                    break
                latest = state
            _, closed, server = latest
            if closed and arrival.at_us > closed + grace_us:
                late = (arrival.at_us - closed) // 1000
                text = (
                    f"a request reached {server} at {arrival.address} {late} ms after its drain was notified"
                )
                self.add_violation("drain", f"real node {arrival.node}: {text}")

    def verdict(self) -> Verdict:
        """The verdict on all records checked so far."""
        if self.limit_us and self.worst_us > self.limit_us:
            self.add_violation("late", f"in force later than {self.limit_us / 1000:g} ms: {self.worst}")
        in_force = {label: spread(times) for label, times in sorted(self.times.items())}
        return Verdict(
            self.violations,
            dict(self.counts),
            in_force,
            self.pairs,
            self.never,
            self.nodes_without,
            self.drains_tested,
            self.worst,
        )
