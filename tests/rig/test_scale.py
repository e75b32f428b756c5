"""Tests of the scale run.

They cover the drawing of fleet and timeline, the checks on records written by hand, the source on sockets,
and complete runs: one with all injected faults, one with relays, and one for each planted fault.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from coraldeal.config import parse_node_config
from coraldeal.rig import clock
from coraldeal.rig.experiment import ExperimentError
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.scale.fleet import RACK_SIZE, WEIGHTS, draw_fleet
from coraldeal.rig.scale.hollow import HollowNode, node_settings
from coraldeal.rig.scale.journal import SOURCE_FAULTS, Change, Timeline, decode_sequence, encode_weight
from coraldeal.rig.scale.judge import Judge, Partition, SourceHistory, Verdict, spread
from coraldeal.rig.scale.records import (
    AppliedRecord,
    ArrivalRecord,
    EndpointJob,
    HollowNodeJob,
    InitialServer,
    NodeRecords,
    NotificationRecord,
    SourceJob,
)
from coraldeal.rig.scale.run import Options, play
from coraldeal.rig.scale.source import Source
from coraldeal.rig.scale.timeline import INJECTED_FAULTS, MAX_LOST_US, PLANTED_FAULTS, draw_timeline
from coraldeal.rig.scale.topology import Direct, Relays

SECOND = 1_000_000


class DrawnRuns(unittest.TestCase):
    """The fleet and the timeline that a seed gives, and the bounds of the options."""

    def test_same_seed_draws_same_fleet_and_timeline(self) -> None:
        first, again, other = draw_fleet(300, 1, 8), draw_fleet(300, 1, 8), draw_fleet(300, 2, 8)
        self.assertEqual(first, again)
        self.assertNotEqual(first.places, other.places)
        self.assertEqual(draw_timeline(first, 24, 0.66), draw_timeline(again, 24, 0.66))
        self.assertNotEqual(draw_timeline(first, 24, 0.66), draw_timeline(other, 24, 0.66))

    def test_target_size_draws_all_services_zones_and_regions(self) -> None:
        fleet = draw_fleet(21_000, 1, 8)
        self.assertEqual((len(fleet.services), fleet.zones, fleet.regions), (670, 41, 11))
        self.assertEqual(len(fleet.places), 21_000)
        self.assertEqual(len(fleet.followers), 21_008)
        sizes = [0] * 670
        for place in fleet.places:
            sizes[place.service] += 1
        self.assertGreaterEqual(min(sizes), 1)
        # The sizes are skewed: the largest is many times the mean of 31, the median is below the mean.
        self.assertGreater(max(sizes), 10 * 31)
        self.assertLess(sorted(sizes)[335], 31)
        for follower in fleet.followers:
            self.assertTrue(1 <= len(follower.services) <= 3)

    def test_smaller_fleet_has_services_in_proportion_and_zones_of_a_rack_or_more(self) -> None:
        for servers, services in ((200, 8), (1000, 32), (5000, 160)):
            fleet = draw_fleet(servers, 3, 0)
            self.assertEqual(len(fleet.services), services)
            self.assertEqual(len(fleet.places), servers)
            in_zones = [0] * fleet.zones
            for place in fleet.places:
                in_zones[place.zone] += 1
            self.assertGreaterEqual(min(in_zones), RACK_SIZE)

    def test_encoded_weight_decodes_to_its_sequence(self) -> None:
        for base in WEIGHTS:
            for sequence in (0, 1, 999, 99_999):
                weight = float(repr(encode_weight(base, sequence)))
                self.assertEqual(decode_sequence(weight), sequence)

    def test_timeline_holds_every_injected_fault(self) -> None:
        fleet = draw_fleet(1000, 1, 8)
        timeline = draw_timeline(fleet, 30, 0.66)
        labels = [change.label for change in timeline.changes]
        rack = [
            change for change in timeline.changes if change.label == "rack" and change.condition == "Gone"
        ]
        self.assertEqual(len(rack), RACK_SIZE)
        self.assertEqual(len({change.at_us for change in rack}), 1)
        self.assertEqual(len({fleet.places[change.place].zone for change in rack}), 1)
        gone = [
            change for change in timeline.changes if change.label == "zone" and change.condition == "Gone"
        ]
        self.assertEqual(len({fleet.places[change.place].zone for change in gone}), 1)
        self.assertGreaterEqual(len(gone), 40)
        back = [
            change for change in timeline.changes if change.label in ("rack", "zone") and change.restarted
        ]
        self.assertEqual(len(back), len(rack) + len(gone))
        for name in INJECTED_FAULTS:
            self.assertIn(name, labels)
        regions = {window.name: window.region for window in timeline.windows}
        self.assertNotEqual(regions["silent"], regions["apart"])
        # While a region is partitioned, the changes of an hour are made, scaled to this fleet.
        self.assertAlmostEqual(labels.count("apart"), 2376 * 1000 / 21_000, delta=40)

    def test_each_fault_of_the_source_is_followed_by_changes_at_once(self) -> None:
        timeline = draw_timeline(draw_fleet(300, 4, 8), 14, 0.05)
        for window in timeline.windows:
            if window.name in SOURCE_FAULTS:
                early = [c for c in timeline.changes if 0 < c.at_us - window.from_us <= SECOND // 20]
                self.assertEqual(len(early), 3, window.name)

    def test_changes_of_a_server_are_numbered_and_after_its_removal_it_only_restarts(self) -> None:
        timeline = draw_timeline(draw_fleet(200, 5, 8), 60, 6.6)
        last: dict[str, Change] = {}
        at_us = 0
        for change in timeline.changes:
            self.assertGreaterEqual(change.at_us, at_us)
            at_us = change.at_us
            before = last.get(change.server)
            self.assertEqual(change.sequence, 1 if before is None else before.sequence + 1)
            self.assertEqual(decode_sequence(change.weight), change.sequence)
            if before is not None and before.condition == "Gone":
                self.assertTrue(change.restarted)
            last[change.server] = change
        # A replacement has the place of another server and an id of its own.
        places = {change.server: change.place for change in timeline.changes}
        self.assertLess(len(set(places.values())), len(places))

    def test_base_changes_come_at_the_rate_and_at_ten_times_it_in_the_tenfold_window(self) -> None:
        fleet = draw_fleet(5000, 1, 0)
        timeline = draw_timeline(fleet, 600, 0.66, ("tenfold", "lost"))
        (tenfold, lost) = timeline.windows
        self.assertLessEqual(lost.to_us - lost.from_us, MAX_LOST_US)
        in_window = sum(tenfold.from_us <= change.at_us < tenfold.to_us for change in timeline.changes)
        self.assertAlmostEqual(in_window / ((tenfold.to_us - tenfold.from_us) / SECOND), 6.6, delta=1.5)
        base = sum(change.label == "base" for change in timeline.changes)
        self.assertAlmostEqual(base / (600 * 0.88), 0.66, delta=0.15)

    def test_planted_fault_has_a_server_without_other_changes(self) -> None:
        for kind in PLANTED_FAULTS:
            fleet = draw_fleet(40, 2, 2)
            timeline = draw_timeline(fleet, 6, 20, INJECTED_FAULTS, kind)
            plant = timeline.plant
            assert plant is not None
            changes = [change for change in timeline.changes if change.server == plant.server]
            self.assertEqual(len(changes), 2, kind)
            follower = fleet.followers[plant.follower]
            self.assertIn(fleet.places[changes[0].place].service, follower.services)

    def test_options_beyond_their_bounds_or_the_machine_are_refused(self) -> None:
        cases: list[tuple[dict[str, Any], str]] = [
            ({"nodes": 30_000}, "--nodes"),
            ({"seconds": 601}, "--seconds"),
            ({"settle": 61}, "--settle"),
            ({"processes": 195}, "--processes"),
            ({"real": 65}, "--real"),
            ({"rate": 0}, "--rate"),
        ]
        for options, flag in cases:
            with self.assertRaisesRegex(ExperimentError, flag):
                Options(**options).check(100_000, 200_000, 100_000)
        Options(nodes=5000).check(10_000, 20_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, r"need about \d+ MB, and 1000 MB may be used"):
            Options(nodes=5000).check(10_000, 2_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, r"and 900 MB may be used"):
            Options(nodes=5000).check(900, 20_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, "needs a descriptor for each node"):
            Options(nodes=5000).check(10_000, 20_000, 5000)


def change(at_s: float, server: str, condition: str, sequence: int, label: str = "base") -> Change:
    """A change of a server whose place is the number in its name."""
    place, weight = int(server.split(".")[0][1:]), encode_weight(1.0, sequence)
    return Change(int(at_s * SECOND), place, server, condition, sequence, weight, False, label)


class HollowNodeChecks(unittest.TestCase):
    """Checks on the records of one hollow node. Service `a` has the servers s0 and s1, service `b` has s2."""

    INITIAL_SERVERS: ClassVar = [
        InitialServer("s0", 0, "a", "z", 0, "127.0.0.1:1", 1.0),
        InitialServer("s1", 1, "a", "z", 0, "127.0.0.1:2", 1.0),
        InitialServer("s2", 2, "b", "z", 0, "127.0.0.1:3", 1.0),
    ]
    CHANGES: ClassVar = [
        change(1, "s0", "Terminating", 1),
        change(2, "s0", "Gone", 2, "rack"),
        change(3, "s1", "Ready", 1),
        change(4, "s2", "Ready", 1),
    ]
    # The records of a node that follows `a` and applied everything after 10 or 20 ms.
    APPLIED: ClassVar = [
        AppliedRecord(1_010_000, "s0", "Terminating", 1),
        AppliedRecord(2_010_000, "s0", "Gone", 2),
        AppliedRecord(3_020_000, "s1", "Ready", 1),
    ]
    FINAL_SERVERS: ClassVar = {"s1": ("Ready", 1)}

    def check(
        self,
        applied: list[AppliedRecord],
        final_servers: dict[str, tuple[str, int]] | None = None,
        full_lists: list[tuple[int, int]] | None = None,
        partition: Partition | None = None,
        limit_us: int = 0,
    ) -> Verdict:
        """The verdict on a node with these records."""
        made = [change.at_us for change in self.CHANGES]
        judge = Judge(SourceHistory(self.INITIAL_SERVERS, self.CHANGES, made), partition, limit_us)
        judge.check_node(
            NodeRecords(
                7,
                3,
                ["a"],
                applied,
                full_lists or [],
                self.FINAL_SERVERS if final_servers is None else final_servers,
            )
        )
        return judge.verdict()

    def test_all_changes_applied_gives_a_good_verdict(self) -> None:
        verdict = self.check(self.APPLIED)
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual((verdict.pairs, verdict.never, verdict.nodes_without), (3, 0, 0))
        self.assertEqual(verdict.in_force["all"].worst, 20.0)
        self.assertEqual(verdict.in_force["rack"].count, 1)
        self.assertIn("node 7, region 3: s1 Ready, generation 4", verdict.worst)

    def test_newer_state_counts_for_an_older_change(self) -> None:
        verdict = self.check(self.APPLIED[1:])
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual(verdict.in_force["all"].worst, 1010.0)

    def test_full_list_without_a_gone_server_counts_for_its_removal(self) -> None:
        verdict = self.check(self.APPLIED[2:], full_lists=[(500_000, 1), (2_500_000, 3)])
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual(verdict.in_force["rack"].worst, 500.0)
        # A full list of an older generation does not.
        self.assertEqual(self.check(self.APPLIED[2:], full_lists=[(2_500_000, 2)]).counts["never"], 2)

    def test_full_list_does_not_count_for_a_later_change(self) -> None:
        changes = [change(1, "s0", "Gone", 1), change(2, "s0", "Ready", 2)]
        judge = Judge(SourceHistory(self.INITIAL_SERVERS, changes, [SECOND, 2 * SECOND]))
        final_servers = {"s0": ("Ready", 2), "s1": ("Ready", 0)}
        judge.check_node(NodeRecords(7, 3, ["a"], [], [(1_500_000, 2)], final_servers))
        verdict = judge.verdict()
        self.assertEqual(verdict.counts, {"never": 1})
        self.assertIn("never had s0 Ready, generation 3", verdict.faults[0].text)

    def test_dropped_change_is_reported_as_never_and_differs(self) -> None:
        verdict = self.check(self.APPLIED[:2], final_servers={"s1": ("Ready", 0)})
        self.assertEqual(verdict.counts, {"never": 1, "differs": 1})
        self.assertEqual((verdict.never, verdict.nodes_without), (1, 1))
        self.assertIn("node 7, region 3: never had s1 Ready, generation 4", verdict.faults[0].text)

    def test_swapped_changes_are_reported_as_backwards_and_keeps(self) -> None:
        applied = [self.APPLIED[1], self.APPLIED[0], self.APPLIED[2]]
        verdict = self.check(applied, final_servers={**self.FINAL_SERVERS, "s0": ("Terminating", 1)})
        self.assertEqual(verdict.counts, {"backwards": 1, "keeps": 1})
        self.assertIn("s0 went back from its change 2 to 1 (Terminating)", verdict.faults[0].text)

    def test_swapped_changes_are_reported_even_when_repaired_later(self) -> None:
        applied = [
            self.APPLIED[1],
            self.APPLIED[0],
            AppliedRecord(2_500_000, "s0", "Gone", 2),
            self.APPLIED[2],
        ]
        self.assertEqual(self.check(applied).counts, {"backwards": 1})

    def test_stale_state_is_reported_as_never_and_differs(self) -> None:
        applied = [*self.APPLIED[:2], AppliedRecord(3_020_000, "s1", "Ready", 0)]
        verdict = self.check(applied, final_servers={"s1": ("Ready", 0)})
        self.assertEqual(verdict.counts, {"never": 1, "differs": 1})

    def test_retained_server_is_reported_as_keeps(self) -> None:
        verdict = self.check(self.APPLIED, final_servers={**self.FINAL_SERVERS, "s0": ("Terminating", 1)})
        self.assertEqual(verdict.counts, {"keeps": 1})
        self.assertIn("keeps s0 as Terminating", verdict.faults[0].text)

    def test_server_of_another_service_is_reported_as_keeps(self) -> None:
        self.assertEqual(
            self.check(self.APPLIED, final_servers={**self.FINAL_SERVERS, "s2": ("Ready", 1)}).counts,
            {"keeps": 1},
        )

    def test_missing_server_is_reported_as_lacks(self) -> None:
        self.assertEqual(self.check(self.APPLIED, final_servers={}).counts, {"lacks": 1})

    def test_state_that_the_source_never_sent_is_reported_as_invented(self) -> None:
        applied = [*self.APPLIED, AppliedRecord(3_500_000, "s1", "Terminating", 1)]
        self.assertEqual(self.check(applied).counts, {"invented": 1})
        self.assertEqual(
            self.check([*self.APPLIED, AppliedRecord(1, "x", "Ready", 0)]).counts, {"invented": 1}
        )

    def test_change_for_a_partitioned_region_counts_from_the_end_of_the_partition(self) -> None:
        late = [record for record in self.APPLIED if record.server != "s1"] + [
            AppliedRecord(9_100_000, "s1", "Ready", 1)
        ]
        inside = self.check(late, partition=Partition(3, 2_500_000, 9_000_000))
        self.assertEqual(inside.in_force["apart, cut region from its return"].worst, 100.0)
        self.assertEqual(inside.in_force["all"].worst, 100.0)
        outside = self.check(late, partition=Partition(4, 2_500_000, 9_000_000))
        self.assertEqual(outside.in_force["all"].worst, 6100.0)

    def test_change_in_force_after_the_limit_is_reported_as_late(self) -> None:
        self.assertEqual(self.check(self.APPLIED, limit_us=19_000).counts, {"late": 1})
        self.assertTrue(self.check(self.APPLIED, limit_us=20_000).good)

    def test_spread_gives_percentiles_in_milliseconds(self) -> None:
        times = spread([1000 * number for number in range(1, 101)])
        self.assertEqual((times.count, times.p50, times.p99, times.worst), (100, 51.0, 100.0, 100.0))
        self.assertEqual(spread([]).count, 0)

    def test_many_violations_of_one_kind_are_all_counted_and_ten_reported(self) -> None:
        applied = [AppliedRecord(number, f"x{number}", "Ready", 0) for number in range(50)]
        verdict = self.check(self.APPLIED + applied)
        self.assertEqual(verdict.counts, {"invented": 50})
        self.assertEqual(len(verdict.faults), 10)

    def test_real_node_with_missing_or_extra_servers_is_reported(self) -> None:
        for known, unknown, kinds in ((5, [], {}), (6, [], {"keeps": 1}), (4, ["s9"], {"lacks": 1}),
                                      (5, ["s9"], {"lacks": 1, "keeps": 1})):  # fmt: skip
            judge = Judge(SourceHistory(self.INITIAL_SERVERS, self.CHANGES, []))
            judge.check_real_node(1, 0, known, unknown, 5)
            self.assertEqual(judge.verdict().counts, kinds)


class DrainChecks(unittest.TestCase):
    """Checks of drains at one real node and one address."""

    drains_tested = 0

    def check(
        self, notifications: list[tuple[float, str, str]], *arrivals: float, node: int = 0
    ) -> dict[str, int]:
        """The violations for notifications (time, server, condition) and arrival times, in seconds."""
        judge = Judge(SourceHistory(HollowNodeChecks.INITIAL_SERVERS, [], []))
        notification_records = [
            NotificationRecord(0, int(at * SECOND), server, "127.0.0.1:1", condition)
            for at, server, condition in notifications
        ]
        arrival_records = [ArrivalRecord(node, int(at * SECOND), "127.0.0.1:1") for at in arrivals]
        judge.check_drains(notification_records, arrival_records)
        self.drains_tested = judge.verdict().drains_tested
        return judge.verdict().counts

    def test_request_after_the_grace_is_a_violation_and_within_it_is_none(self) -> None:
        notifications = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating")]
        self.assertEqual(self.check(notifications, 1.0, 10.0, 11.5), {})
        self.assertEqual(self.check(notifications, 1.0, 11.6, 12.0), {"drain": 2})
        self.assertEqual(self.check(notifications, 12.0, node=1), {})

    def test_grace_counts_from_the_first_notification(self) -> None:
        notifications = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating"), (12.0, "s0", "Gone")]
        self.assertEqual(self.check(notifications, 12.1), {"drain": 1})

    def test_restarted_or_replaced_server_opens_the_address_again(self) -> None:
        for server in ("s0", "s0.1"):
            notifications = [(0.0, "s0", "Ready"), (10.0, "s0", "Gone"), (12.0, server, "Ready")]
            self.assertEqual(self.check(notifications, 12.5, 99.0), {})
            self.assertEqual(self.check(notifications, 11.9), {"drain": 1})

    def test_drain_of_a_replacement_closes_the_address_again(self) -> None:
        notifications = [
            (0.0, "s0", "Ready"),
            (1.0, "s0", "Gone"),
            (2.0, "s0.1", "Ready"),
            (3.0, "s0.1", "Terminating"),
        ]
        self.assertEqual(self.check(notifications, 4.5, 4.6), {"drain": 1})

    def test_drain_counts_as_tested_when_the_node_sent_to_the_server_recently(self) -> None:
        notifications = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating"), (12.0, "s0", "Gone")]
        for arrivals, drains_tested in (((6.0, 9.0), 1), ((4.0,), 0), ((10.5,), 0), ((), 0)):
            self.check(notifications, *arrivals)
            self.assertEqual(self.drains_tested, drains_tested, arrivals)

    def test_request_without_any_notification_is_no_violation(self) -> None:
        self.assertEqual(self.check([], 5.0), {})


class SourceOnSockets(unittest.IsolatedAsyncioTestCase):
    """The source alone, asked over sockets."""

    async def asyncSetUp(self) -> None:
        initial_servers = [
            *HollowNodeChecks.INITIAL_SERVERS[:2],
            InitialServer("s2", 2, "b, c", "z", 0, "127.0.0.1:3", 1.0),
        ]
        timeline = Timeline(HollowNodeChecks.CHANGES, [])
        self.source = Source(
            SourceJob("", initial_servers, timeline, [EndpointJob(0), EndpointJob(1, 9, ["a"])])
        )
        self.writers: list[asyncio.StreamWriter] = []
        for endpoint in self.source.endpoints:
            await endpoint.listen()

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        for endpoint in self.source.endpoints:
            endpoint.stop_listening()
            for opened in [endpoint.port_holder, *endpoint.queue_fillers]:
                opened.close()
        await asyncio.sleep(0)

    async def request(self, query: str, endpoint: int = 0) -> asyncio.StreamReader:
        """Send a request to an endpoint, read the response's head, and return the reader of its body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.source.endpoints[endpoint].port)
        self.writers.append(writer)
        writer.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        self.assertTrue(head.startswith(b"HTTP/1.1 200 OK"))
        return reader

    async def read_line(self, reader: asyncio.StreamReader) -> tuple[int, bool, list[tuple[str, str]]]:
        """Read one line of a watch: its generation, whether it is a full list, and its servers."""
        async with asyncio.timeout(2):
            length = int(await reader.readline(), 16)
            message = json.loads(await reader.readexactly(length + 2))
        servers = [(entry["instanceId"], entry["lifecycle"]) for entry in message["instances"]]
        return message["generation"], message["reset"], servers

    async def test_watch_gets_the_services_that_it_names_or_its_endpoint_fixes_or_all(self) -> None:
        both = await self.request("?watch=1")
        named = await self.request("?watch=1&services=a")
        quoted = await self.request("?watch=1&services=b%2C%20c,unknown")
        fixed = await self.request("?watch=1", endpoint=1)
        ready = [(name, "Ready") for name in ("s0", "s1", "s2")]
        self.assertEqual(await self.read_line(both), (1, True, ready))
        self.assertEqual(await self.read_line(named), (1, True, ready[:2]))
        self.assertEqual(await self.read_line(quoted), (1, True, ready[2:]))
        self.assertEqual(await self.read_line(fixed), (1, True, ready[:2]))
        self.source.make_changes([0])
        self.source.make_changes([1, 2, 3])
        for reader in (named, fixed):
            self.assertEqual(await self.read_line(reader), (2, False, [("s0", "Terminating")]))
            self.assertEqual(await self.read_line(reader), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        # Generations count all changes of the source: the only change for this watch is the fourth.
        self.assertEqual(await self.read_line(quoted), (5, False, [("s2", "Ready")]))
        self.assertEqual((await self.read_line(both))[0], 2)
        # What was written to a real node is recorded.
        self.assertEqual(
            [record.condition for record in self.source.notifications][-3:], ["Terminating", "Gone", "Ready"]
        )

    async def test_watch_continues_from_its_generation(self) -> None:
        self.source.make_changes([0])
        self.source.make_changes([1, 2, 3])
        since = await self.request("?watch=1&after=2&services=a")
        self.assertEqual(await self.read_line(since), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        # Of several changes of a server only the newest is sent.
        since = await self.request("?watch=1&after=1&services=a")
        self.assertEqual(await self.read_line(since), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        self.assertEqual(await self.read_line(await self.request("?watch=1&after=5")), (5, False, []))
        # A generation that the source never had gets the full list.
        full_list = [("s1", "Ready"), ("s2", "Ready")]
        self.assertEqual(await self.read_line(await self.request("?watch=1&after=99")), (5, True, full_list))

    async def test_muted_closed_and_partitioned_endpoint_fails_watches_as_a_network_does(self) -> None:
        endpoint = self.source.endpoints[0]
        silent = await self.request("?watch=1&services=a")
        await self.read_line(silent)
        endpoint.mute()
        second = await self.request("?watch=1&services=a")
        await self.read_line(second)
        self.source.make_changes([0])
        self.assertEqual((await self.read_line(second))[0], 2)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(silent.read(1), 0.05)
        endpoint.stop_listening()
        endpoint.reset()
        with self.assertRaises(ConnectionError):
            await second.read(1)
        with self.assertRaises(ConnectionError):
            await self.request("?watch=1")
        await endpoint.listen()
        third = await self.request("?watch=1&after=2&services=a")
        self.assertEqual(await self.read_line(third), (2, False, []))
        endpoint.partition()
        with self.assertRaises(TimeoutError):
            # A connect gets no answer.
            await asyncio.wait_for(asyncio.open_connection("127.0.0.1", endpoint.port), 0.2)
        await endpoint.end_partition()
        with self.assertRaises(ConnectionError):
            await third.read(1)
        self.assertEqual((await self.read_line(await self.request("?watch=1&after=2")))[0], 2)

    async def test_hollow_node_applies_and_records_changes_and_of_a_full_list_what_is_new(self) -> None:
        address = f"127.0.0.1:{self.source.endpoints[0].port}"
        config = parse_node_config(node_settings("hollow", "z", 0, 1, address), {})
        has_list = asyncio.Event()
        node = HollowNode(HollowNodeJob(0, 0, "z", [address], ["a", "b, c"]), config, 0, "", has_list.set)
        node.discovery.follow()
        await asyncio.wait_for(has_list.wait(), 2)
        self.source.make_changes([0])
        self.source.make_changes([1, 2])
        await self.wait_until(lambda: len(node.records.applied) == 3)
        # The node misses the next change. Its new watch names a generation that the source never had, so it
        # gets the full list.
        self.source.endpoints[0].mute()
        self.source.make_changes([3])
        node.discovery.version = 99
        self.source.endpoints[0].reset()
        await self.wait_until(lambda: len(node.records.full_lists) == 2)
        records = node.finish_records()
        applied = [(record.server, record.condition, record.sequence) for record in records.applied]
        self.assertEqual(applied, [(c.server, c.condition, c.sequence) for c in HollowNodeChecks.CHANGES])
        self.assertEqual([number for _, number in records.full_lists], [1, 5])
        self.assertEqual(
            (records.final_servers, records.failures), ({"s1": ("Ready", 1), "s2": ("Ready", 1)}, 1)
        )
        judge = Judge(
            SourceHistory(self.source.job.servers, HollowNodeChecks.CHANGES, self.source.change_times_us)
        )
        judge.check_node(records)
        self.assertTrue(judge.verdict().good, judge.verdict().faults)
        await node.discovery.close()
        await node.servers.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; raises TimeoutError after 3 s."""
        async with asyncio.timeout(3):
            while not condition():
                await asyncio.sleep(0.01)

    def test_nodes_are_spread_evenly_over_relays_and_those_of_a_lost_relay_too(self) -> None:
        direct = Direct({0: "x:1", 1: "x:2"})
        self.assertEqual(direct.addresses(1, 7), ["x:2"])
        relays = Relays({0: ["x:1", "x:2", "x:3"]})
        first = [relays.addresses(0, number)[0] for number in range(3000)]
        for address in ("x:1", "x:2", "x:3"):
            self.assertAlmostEqual(first.count(address), 1000, delta=150)
        # The nodes of a lost relay go to the other relays evenly.
        second = [relays.addresses(0, number)[1] for number in range(3000) if first[number] == "x:1"]
        self.assertAlmostEqual(second.count("x:2"), 500, delta=100)
        self.assertEqual(sorted(relays.addresses(0, 5)), ["x:1", "x:2", "x:3"])


class CompleteRuns(unittest.TestCase):
    """Complete runs on loopback."""

    def test_run_with_all_faults_loses_no_change_and_keeps_drains(self) -> None:
        """Plays 200 hollow and 8 real nodes; CI runs the scale run in this form."""
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "coraldeal", "rig", "scale", "run"]
            flags = ["--nodes", "200", "--real", "8", "--seconds", "14", "--out", folder]
            completed = subprocess.run(
                [*command, *flags],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                capture_output=True,
                text=True,
                timeout=120,
                check=False,
            )
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        self.assertIn("verdict: good", completed.stdout)
        for name in INJECTED_FAULTS:
            self.assertRegex(completed.stdout, rf"(?m)^  {name}\b")
        # The check of drains has something to test: nodes were notified of drains and removals of servers
        # that they were sending to.
        self.assertRegex(
            completed.stdout,
            r"[1-9]\d+ of \d+ inquiries served, [1-9]\d* notifications of drains and removals",
        )
        self.assertRegex(completed.stdout, r"[1-9]\d* of them for servers recently sent to")

    def test_followers_of_a_killed_relay_continue_at_another_without_losing_a_change(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            options = Options(
                nodes=60,
                real=0,
                seconds=6,
                settle=4,
                injected_faults=("tenfold",),
                relays=2,
                out=Path(folder),
            )
            summary = clock.run(play(options))
        self.assertTrue(summary["good"], summary["verdict"])
        self.assertEqual(summary["topology"], "relays")
        self.assertEqual((summary["relays"]["count"], summary["relays"]["killed"]), (6, 1))
        self.assertEqual(summary["verdict"]["never"], 0)
        self.assertGreater(summary["verdict"]["in_force"]["tenfold"]["count"], 0)

    def test_each_planted_fault_is_reported(self) -> None:
        kinds = {
            "drop": {"never": 1, "differs": 1},
            "swap": {"backwards": 1, "differs": 1},
            "stale": {"never": 2, "differs": 1},
            "keep-gone": {"never": 1, "keeps": 1},
        }
        self.assertEqual(list(kinds), list(PLANTED_FAULTS))

        async def play_all() -> list[dict[str, Any]]:
            with tempfile.TemporaryDirectory() as folder:
                options = [
                    Options(
                        nodes=30,
                        real=0,
                        seconds=2,
                        settle=2,
                        injected_faults=(),
                        plant=plant,
                        out=Path(folder) / plant,
                    )
                    for plant in kinds
                ]
                return await asyncio.gather(*(play(one) for one in options))

        for (plant, expected), summary in zip(kinds.items(), clock.run(play_all()), strict=True):
            with self.subTest(plant):
                self.assertEqual(summary["verdict"]["counts"], expected)
                self.assertFalse(summary["good"])


if __name__ == "__main__":
    unittest.main()
