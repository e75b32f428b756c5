"""The scale run: its drawing, its judge on books written by hand, its source, the form for CI, its faults."""

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
from coraldeal.rig.scale.books import (
    ArrivalRow,
    DoorJob,
    HollowNode,
    ListedRow,
    NodeBook,
    SourceJob,
    Standing,
    ToldRow,
)
from coraldeal.rig.scale.fleet import RACK, WEIGHTS, draw_fleet
from coraldeal.rig.scale.hollow import Hollow, settings
from coraldeal.rig.scale.journal import OF_SOURCE, Change, Timeline, sequence_of, weight_of
from coraldeal.rig.scale.judge import Cut, Journal, Judge, Verdict, spread
from coraldeal.rig.scale.run import Options, play
from coraldeal.rig.scale.source import Source
from coraldeal.rig.scale.timeline import LOST_MOST, PLANTS, TROUBLES, draw_timeline
from coraldeal.rig.scale.topology import Direct, Relays

SECOND = 1_000_000


class Drawing(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, again, other = draw_fleet(300, 1, 8), draw_fleet(300, 1, 8), draw_fleet(300, 2, 8)
        self.assertEqual(first, again)
        self.assertNotEqual(first.places, other.places)
        self.assertEqual(draw_timeline(first, 24, 0.66), draw_timeline(again, 24, 0.66))
        self.assertNotEqual(draw_timeline(first, 24, 0.66), draw_timeline(other, 24, 0.66))

    def test_the_target_s_fleet(self) -> None:
        fleet = draw_fleet(21_000, 1, 8)
        self.assertEqual((len(fleet.services), fleet.zones, fleet.regions), (670, 41, 11))
        self.assertEqual(len(fleet.places), 21_000)
        self.assertEqual(len(fleet.followers), 21_008)
        sizes = [0] * 670
        for place in fleet.places:
            sizes[place.service] += 1
        self.assertGreaterEqual(min(sizes), 1)
        # Skewed: the largest is many times the mean of 31, the middle one under it.
        self.assertGreater(max(sizes), 10 * 31)
        self.assertLess(sorted(sizes)[335], 31)
        for follower in fleet.followers:
            self.assertTrue(1 <= len(follower.services) <= 3)

    def test_smaller_fleets_are_in_proportion(self) -> None:
        for servers, services in ((200, 8), (1000, 32), (5000, 160)):
            fleet = draw_fleet(servers, 3, 0)
            self.assertEqual(len(fleet.services), services)
            self.assertEqual(len(fleet.places), servers)
            in_zones = [0] * fleet.zones
            for place in fleet.places:
                in_zones[place.zone] += 1
            self.assertGreaterEqual(min(in_zones), RACK)

    def test_a_weight_tells_its_sequence(self) -> None:
        for base in WEIGHTS:
            for sequence in (0, 1, 999, 99_999):
                told = float(repr(weight_of(base, sequence)))
                self.assertEqual(sequence_of(told), sequence)

    def test_the_journal_holds_every_trouble(self) -> None:
        fleet = draw_fleet(1000, 1, 8)
        timeline = draw_timeline(fleet, 30, 0.66)
        labels = [change.label for change in timeline.changes]
        rack = [
            change for change in timeline.changes if change.label == "rack" and change.condition == "Gone"
        ]
        self.assertEqual(len(rack), RACK)
        self.assertEqual(len({change.at_us for change in rack}), 1)
        self.assertEqual(len({fleet.places[change.place].zone for change in rack}), 1)
        gone = [
            change for change in timeline.changes if change.label == "zone" and change.condition == "Gone"
        ]
        self.assertEqual(len({fleet.places[change.place].zone for change in gone}), 1)
        self.assertGreaterEqual(len(gone), 40)
        back = [change for change in timeline.changes if change.label in ("rack", "zone") and change.born]
        self.assertEqual(len(back), len(rack) + len(gone))
        for name in TROUBLES:
            self.assertIn(name, labels)
        regions = {window.name: window.region for window in timeline.windows}
        self.assertNotEqual(regions["silent"], regions["apart"])
        # An hour's changes come while a region is cut, as many as fall to this fleet.
        self.assertAlmostEqual(labels.count("apart"), 2376 * 1000 / 21_000, delta=40)

    def test_a_trouble_of_the_source_meets_a_change_at_once(self) -> None:
        timeline = draw_timeline(draw_fleet(300, 4, 8), 14, 0.05)
        for window in timeline.windows:
            if window.name in OF_SOURCE:
                early = [c for c in timeline.changes if 0 < c.at_us - window.from_us <= SECOND // 20]
                self.assertEqual(len(early), 3, window.name)

    def test_the_journal_is_one_history(self) -> None:
        """A server's changes count up, and nothing comes to one that is gone but its return."""
        timeline = draw_timeline(draw_fleet(200, 5, 8), 60, 6.6)
        last: dict[str, Change] = {}
        at_us = 0
        for change in timeline.changes:
            self.assertGreaterEqual(change.at_us, at_us)
            at_us = change.at_us
            before = last.get(change.server)
            self.assertEqual(change.sequence, 1 if before is None else before.sequence + 1)
            self.assertEqual(sequence_of(change.weight), change.sequence)
            if before is not None and before.condition == "Gone":
                self.assertTrue(change.born)
            last[change.server] = change
        # Replacements stand at the address of another under an id of their own.
        places = {change.server: change.place for change in timeline.changes}
        self.assertLess(len(set(places.values())), len(places))

    def test_the_rate_is_kept_and_ten_times_that(self) -> None:
        fleet = draw_fleet(5000, 1, 0)
        timeline = draw_timeline(fleet, 600, 0.66, ("tenfold", "lost"))
        (tenfold, lost) = timeline.windows
        self.assertLessEqual(lost.to_us - lost.from_us, LOST_MOST)
        there = sum(tenfold.from_us <= change.at_us < tenfold.to_us for change in timeline.changes)
        self.assertAlmostEqual(there / ((tenfold.to_us - tenfold.from_us) / SECOND), 6.6, delta=1.5)
        base = sum(change.label == "base" for change in timeline.changes)
        self.assertAlmostEqual(base / (600 * 0.88), 0.66, delta=0.15)

    def test_a_plant_has_a_server_of_its_own(self) -> None:
        for kind in PLANTS:
            fleet = draw_fleet(40, 2, 2)
            timeline = draw_timeline(fleet, 6, 20, TROUBLES, kind)
            plant = timeline.plant
            assert plant is not None
            changes = [change for change in timeline.changes if change.server == plant.server]
            self.assertEqual(len(changes), 2, kind)
            follower = fleet.followers[plant.follower]
            self.assertIn(fleet.places[changes[0].place].service, follower.services)

    def test_bounds_and_the_machine_s_memory(self) -> None:
        cases: list[tuple[dict[str, Any], str]] = [
            ({"nodes": 30_000}, "--nodes"),
            ({"seconds": 601}, "--seconds"),
            ({"settle": 61}, "--settle"),
            ({"processes": 195}, "--processes"),
            ({"real": 65}, "--real"),
            ({"rate": 0}, "--rate"),
        ]
        for given, named in cases:
            with self.assertRaisesRegex(ExperimentError, named):
                Options(**given).check(100_000, 200_000, 100_000)
        Options(nodes=5000).check(10_000, 20_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, r"needs some \d+ MB, and 1000 MB may be used"):
            Options(nodes=5000).check(10_000, 2_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, r"and 900 MB may be used"):
            Options(nodes=5000).check(900, 20_000, 20_000)
        with self.assertRaisesRegex(ExperimentError, "descriptors"):
            Options(nodes=5000).check(10_000, 20_000, 5000)


def change(at_s: float, server: str, condition: str, sequence: int, label: str = "base") -> Change:
    place, weight = int(server.split(".")[0][1:]), weight_of(1.0, sequence)
    return Change(int(at_s * SECOND), place, server, condition, sequence, weight, False, label)


class OfBooks(unittest.TestCase):
    """Service `a` has the servers s0 and s1, `b` has s2."""

    STANDING: ClassVar = [
        Standing("s0", 0, "a", "z", 0, "127.0.0.1:1", 1.0),
        Standing("s1", 1, "a", "z", 0, "127.0.0.1:2", 1.0),
        Standing("s2", 2, "b", "z", 0, "127.0.0.1:3", 1.0),
    ]
    CHANGES: ClassVar = [
        change(1, "s0", "Terminating", 1),
        change(2, "s0", "Gone", 2, "rack"),
        change(3, "s1", "Ready", 1),
        change(4, "s2", "Ready", 1),
    ]
    # A node that follows `a` and was told of everything after 10 ms.
    ROWS: ClassVar = [
        ListedRow(1_010_000, "s0", "Terminating", 1),
        ListedRow(2_010_000, "s0", "Gone", 2),
        ListedRow(3_020_000, "s1", "Ready", 1),
    ]
    HELD: ClassVar = {"s1": ("Ready", 1)}

    def judged(
        self,
        rows: list[ListedRow],
        held: dict[str, tuple[str, int]] | None = None,
        wholes: list[tuple[int, int]] | None = None,
        cut: Cut | None = None,
        limit_us: int = 0,
    ) -> Verdict:
        made = [change.at_us for change in self.CHANGES]
        judge = Judge(Journal(self.STANDING, self.CHANGES, made), cut, limit_us)
        judge.node(NodeBook(7, 3, ["a"], rows, wholes or [], self.HELD if held is None else held))
        return judge.verdict()

    def test_all_in_force(self) -> None:
        verdict = self.judged(self.ROWS)
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual((verdict.pairs, verdict.never, verdict.nodes_without), (3, 0, 0))
        self.assertEqual(verdict.in_force["all"].worst, 20.0)
        self.assertEqual(verdict.in_force["rack"].count, 1)
        self.assertIn("node 7, region 3: s1 Ready, generation 4", verdict.worst)

    def test_a_newer_state_stands_for_an_older_one(self) -> None:
        verdict = self.judged(self.ROWS[1:])
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual(verdict.in_force["all"].worst, 1010.0)

    def test_a_whole_list_brings_what_is_gone(self) -> None:
        verdict = self.judged(self.ROWS[2:], wholes=[(500_000, 1), (2_500_000, 3)])
        self.assertTrue(verdict.good, verdict.faults)
        self.assertEqual(verdict.in_force["rack"].worst, 500.0)
        # One of an older generation does not.
        self.assertEqual(self.judged(self.ROWS[2:], wholes=[(2_500_000, 2)]).counts["never"], 2)

    def test_a_whole_list_stands_for_no_later_change(self) -> None:
        changes = [change(1, "s0", "Gone", 1), change(2, "s0", "Ready", 2)]
        judge = Judge(Journal(self.STANDING, changes, [SECOND, 2 * SECOND]))
        held = {"s0": ("Ready", 2), "s1": ("Ready", 0)}
        judge.node(NodeBook(7, 3, ["a"], [], [(1_500_000, 2)], held))
        verdict = judge.verdict()
        self.assertEqual(verdict.counts, {"never": 1})
        self.assertIn("never had s0 Ready, generation 3", verdict.faults[0].text)

    def test_a_dropped_change(self) -> None:
        verdict = self.judged(self.ROWS[:2], held={"s1": ("Ready", 0)})
        self.assertEqual(verdict.counts, {"never": 1, "differs": 1})
        self.assertEqual((verdict.never, verdict.nodes_without), (1, 1))
        self.assertIn("node 7, region 3: never had s1 Ready, generation 4", verdict.faults[0].text)

    def test_swapped_changes(self) -> None:
        rows = [self.ROWS[1], self.ROWS[0], self.ROWS[2]]
        verdict = self.judged(rows, held={**self.HELD, "s0": ("Terminating", 1)})
        self.assertEqual(verdict.counts, {"backwards": 1, "keeps": 1})
        self.assertIn("s0 went back from change 2 of it to 1 (Terminating)", verdict.faults[0].text)

    def test_a_swap_that_was_mended_is_still_told(self) -> None:
        rows = [self.ROWS[1], self.ROWS[0], ListedRow(2_500_000, "s0", "Gone", 2), self.ROWS[2]]
        self.assertEqual(self.judged(rows).counts, {"backwards": 1})

    def test_a_stale_state(self) -> None:
        rows = [*self.ROWS[:2], ListedRow(3_020_000, "s1", "Ready", 0)]
        verdict = self.judged(rows, held={"s1": ("Ready", 0)})
        self.assertEqual(verdict.counts, {"never": 1, "differs": 1})

    def test_a_kept_server(self) -> None:
        verdict = self.judged(self.ROWS, held={**self.HELD, "s0": ("Terminating", 1)})
        self.assertEqual(verdict.counts, {"keeps": 1})
        self.assertIn("keeps s0 as Terminating", verdict.faults[0].text)

    def test_a_server_of_another_service(self) -> None:
        self.assertEqual(self.judged(self.ROWS, held={**self.HELD, "s2": ("Ready", 1)}).counts, {"keeps": 1})

    def test_a_server_that_is_lacking(self) -> None:
        self.assertEqual(self.judged(self.ROWS, held={}).counts, {"lacks": 1})

    def test_what_the_source_never_said(self) -> None:
        rows = [*self.ROWS, ListedRow(3_500_000, "s1", "Terminating", 1)]
        self.assertEqual(self.judged(rows).counts, {"invented": 1})
        self.assertEqual(self.judged([*self.ROWS, ListedRow(1, "x", "Ready", 0)]).counts, {"invented": 1})

    def test_a_cut_region_counts_from_its_return(self) -> None:
        late = [row for row in self.ROWS if row.server != "s1"] + [ListedRow(9_100_000, "s1", "Ready", 1)]
        here = self.judged(late, cut=Cut(3, 2_500_000, 9_000_000))
        self.assertEqual(here.in_force["apart, cut region from its return"].worst, 100.0)
        self.assertEqual(here.in_force["all"].worst, 100.0)
        elsewhere = self.judged(late, cut=Cut(4, 2_500_000, 9_000_000))
        self.assertEqual(elsewhere.in_force["all"].worst, 6100.0)

    def test_a_limit(self) -> None:
        self.assertEqual(self.judged(self.ROWS, limit_us=19_000).counts, {"late": 1})
        self.assertTrue(self.judged(self.ROWS, limit_us=20_000).good)

    def test_spread(self) -> None:
        times = spread([1000 * number for number in range(1, 101)])
        self.assertEqual((times.count, times.p50, times.p99, times.worst), (100, 51.0, 100.0, 100.0))
        self.assertEqual(spread([]).count, 0)

    def test_many_faults_of_one_kind_are_counted_and_not_all_told(self) -> None:
        rows = [ListedRow(number, f"x{number}", "Ready", 0) for number in range(50)]
        verdict = self.judged(self.ROWS + rows)
        self.assertEqual(verdict.counts, {"invented": 50})
        self.assertEqual(len(verdict.faults), 10)

    def test_a_real_node_s_door(self) -> None:
        for known, unknown, kinds in ((5, [], {}), (6, [], {"keeps": 1}), (4, ["s9"], {"lacks": 1}),
                                      (5, ["s9"], {"lacks": 1, "keeps": 1})):  # fmt: skip
            judge = Judge(Journal(self.STANDING, self.CHANGES, []))
            judge.real_node(1, 0, known, unknown, 5)
            self.assertEqual(judge.verdict().counts, kinds)


class Drains(unittest.TestCase):
    """One real node, one address."""

    tested = 0

    def judged(self, told: list[tuple[float, str, str]], *arrivals: float, node: int = 0) -> dict[str, int]:
        judge = Judge(Journal(OfBooks.STANDING, [], []))
        rows = [ToldRow(0, int(at * SECOND), server, "127.0.0.1:1", said) for at, server, said in told]
        came = [ArrivalRow(node, int(at * SECOND), "127.0.0.1:1") for at in arrivals]
        judge.drains(rows, came)
        self.tested = judge.verdict().drains_tested
        return judge.verdict().counts

    def test_within_the_grace_and_beyond(self) -> None:
        told = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating")]
        self.assertEqual(self.judged(told, 1.0, 10.0, 11.5), {})
        self.assertEqual(self.judged(told, 1.0, 11.6, 12.0), {"drain": 2})
        self.assertEqual(self.judged(told, 12.0, node=1), {})

    def test_the_first_word_counts(self) -> None:
        told = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating"), (12.0, "s0", "Gone")]
        self.assertEqual(self.judged(told, 12.1), {"drain": 1})

    def test_ready_again_or_another_at_its_address(self) -> None:
        for server in ("s0", "s0.1"):
            told = [(0.0, "s0", "Ready"), (10.0, "s0", "Gone"), (12.0, server, "Ready")]
            self.assertEqual(self.judged(told, 12.5, 99.0), {})
            self.assertEqual(self.judged(told, 11.9), {"drain": 1})

    def test_the_replacement_drains_too(self) -> None:
        told = [
            (0.0, "s0", "Ready"),
            (1.0, "s0", "Gone"),
            (2.0, "s0.1", "Ready"),
            (3.0, "s0.1", "Terminating"),
        ]
        self.assertEqual(self.judged(told, 4.5, 4.6), {"drain": 1})

    def test_what_tests_it(self) -> None:
        """An end told to a node that had sent there lately."""
        told = [(0.0, "s0", "Ready"), (10.0, "s0", "Terminating"), (12.0, "s0", "Gone")]
        for arrivals, tested in (((6.0, 9.0), 1), ((4.0,), 0), ((10.5,), 0), ((), 0)):
            self.judged(told, *arrivals)
            self.assertEqual(self.tested, tested, arrivals)

    def test_nobody_told_of_it(self) -> None:
        self.assertEqual(self.judged([], 5.0), {})


class AtTheSource(unittest.IsolatedAsyncioTestCase):
    """The stand-in of the source alone, on sockets."""

    async def asyncSetUp(self) -> None:
        standing = [
            *OfBooks.STANDING[:2],
            Standing("s2", 2, "b, c", "z", 0, "127.0.0.1:3", 1.0),
        ]
        timeline = Timeline(OfBooks.CHANGES, [])
        self.source = Source(SourceJob("", standing, timeline, [DoorJob(0), DoorJob(1, 9, ["a"])]))
        self.writers: list[asyncio.StreamWriter] = []
        for door in self.source.doors:
            await door.open()

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        for door in self.source.doors:
            door.shut()
            for made in [door.keeper, *door.plugs]:
                made.close()
        await asyncio.sleep(0)

    async def ask(self, query: str, door: int = 0) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.source.doors[door].port)
        self.writers.append(writer)
        writer.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        self.assertTrue(head.startswith(b"HTTP/1.1 200 OK"))
        return reader

    async def line(self, reader: asyncio.StreamReader) -> tuple[int, bool, list[tuple[str, str]]]:
        async with asyncio.timeout(2):
            length = int(await reader.readline(), 16)
            told = json.loads(await reader.readexactly(length + 2))
        servers = [(entry["instanceId"], entry["lifecycle"]) for entry in told["instances"]]
        return told["generation"], told["reset"], servers

    async def test_services_named_and_not(self) -> None:
        both = await self.ask("?watch=1")
        named = await self.ask("?watch=1&services=a")
        quoted = await self.ask("?watch=1&services=b%2C%20c,unknown")
        fixed = await self.ask("?watch=1", door=1)
        ready = [(name, "Ready") for name in ("s0", "s1", "s2")]
        self.assertEqual(await self.line(both), (1, True, ready))
        self.assertEqual(await self.line(named), (1, True, ready[:2]))
        self.assertEqual(await self.line(quoted), (1, True, ready[2:]))
        self.assertEqual(await self.line(fixed), (1, True, ready[:2]))
        self.source.make([0])
        self.source.make([1, 2, 3])
        for reader in (named, fixed):
            self.assertEqual(await self.line(reader), (2, False, [("s0", "Terminating")]))
            self.assertEqual(await self.line(reader), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        # Generations are the source's own: of its first four changes this one is of the last alone.
        self.assertEqual(await self.line(quoted), (5, False, [("s2", "Ready")]))
        self.assertEqual((await self.line(both))[0], 2)
        # What was written to a real node is in the book.
        self.assertEqual([row.condition for row in self.source.told][-3:], ["Terminating", "Gone", "Ready"])

    async def test_a_watch_goes_on_from_its_version(self) -> None:
        self.source.make([0])
        self.source.make([1, 2, 3])
        since = await self.ask("?watch=1&after=2&services=a")
        self.assertEqual(await self.line(since), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        # Of several changes of a server only the newest is told.
        since = await self.ask("?watch=1&after=1&services=a")
        self.assertEqual(await self.line(since), (5, False, [("s0", "Gone"), ("s1", "Ready")]))
        self.assertEqual(await self.line(await self.ask("?watch=1&after=5")), (5, False, []))
        # A version that never was: the whole list.
        whole = [("s1", "Ready"), ("s2", "Ready")]
        self.assertEqual(await self.line(await self.ask("?watch=1&after=99")), (5, True, whole))

    async def test_silent_shut_and_cut(self) -> None:
        door = self.source.doors[0]
        silent = await self.ask("?watch=1&services=a")
        await self.line(silent)
        door.mute()
        anew = await self.ask("?watch=1&services=a")
        await self.line(anew)
        self.source.make([0])
        self.assertEqual((await self.line(anew))[0], 2)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(silent.read(1), 0.05)
        door.shut()
        door.reset()
        with self.assertRaises(ConnectionError):
            await anew.read(1)
        with self.assertRaises(ConnectionError):
            await self.ask("?watch=1")
        await door.open()
        held = await self.ask("?watch=1&after=2&services=a")
        self.assertEqual(await self.line(held), (2, False, []))
        door.cut()
        with self.assertRaises(TimeoutError):
            # Not even a connection comes up.
            await asyncio.wait_for(asyncio.open_connection("127.0.0.1", door.port), 0.2)
        await door.mend()
        with self.assertRaises(ConnectionError):
            await held.read(1)
        self.assertEqual((await self.line(await self.ask("?watch=1&after=2")))[0], 2)

    async def test_a_hollow_node(self) -> None:
        """What is told is in its module and its book; of a whole list only what it did not hold so."""
        address = f"127.0.0.1:{self.source.doors[0].port}"
        config = parse_node_config(settings("hollow", "z", 0, 1, address), {})
        there = asyncio.Event()
        node = Hollow(HollowNode(0, 0, "z", [address], ["a", "b, c"]), config, 0, "", there.set)
        node.discovery.follow()
        await asyncio.wait_for(there.wait(), 2)
        self.source.make([0])
        self.source.make([1, 2])
        await self.until(lambda: len(node.book.rows) == 3)
        # It misses what comes now, and takes up again from a version that the source never had.
        self.source.doors[0].mute()
        self.source.make([3])
        node.discovery.version = 99
        self.source.doors[0].reset()
        await self.until(lambda: len(node.book.wholes) == 2)
        book = node.close_book()
        told = [(row.server, row.condition, row.sequence) for row in book.rows]
        self.assertEqual(told, [(c.server, c.condition, c.sequence) for c in OfBooks.CHANGES])
        self.assertEqual([number for _, number in book.wholes], [1, 5])
        self.assertEqual((book.held, book.failures), ({"s1": ("Ready", 1), "s2": ("Ready", 1)}, 1))
        judge = Judge(Journal(self.source.job.servers, OfBooks.CHANGES, self.source.made_us))
        judge.node(book)
        self.assertTrue(judge.verdict().good, judge.verdict().faults)
        await node.discovery.close()
        await node.servers.close()

    async def until(self, true: Callable[[], bool]) -> None:
        async with asyncio.timeout(3):
            while not true():
                await asyncio.sleep(0.01)

    def test_whom_a_node_asks(self) -> None:
        direct = Direct({0: "x:1", 1: "x:2"})
        self.assertEqual(direct.addresses(1, 7), ["x:2"])
        relays = Relays({0: ["x:1", "x:2", "x:3"]})
        first = [relays.addresses(0, number)[0] for number in range(3000)]
        for address in ("x:1", "x:2", "x:3"):
            self.assertAlmostEqual(first.count(address), 1000, delta=150)
        # Those of one that is lost go to the others evenly.
        second = [relays.addresses(0, number)[1] for number in range(3000) if first[number] == "x:1"]
        self.assertAlmostEqual(second.count("x:2"), 500, delta=100)
        self.assertEqual(sorted(relays.addresses(0, 5)), ["x:1", "x:2", "x:3"])


class Played(unittest.TestCase):
    """Whole runs on loopback."""

    def test_the_form_for_ci(self) -> None:
        """All troubles, 200 hollow nodes, 8 real ones: nothing lost, nothing backwards, drains kept."""
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "coraldeal", "rig", "scale", "run"]
            asked = ["--nodes", "200", "--real", "8", "--seconds", "14", "--out", folder]
            ran = subprocess.run(
                [*command, *asked],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                capture_output=True,
                text=True,
                timeout=120,
                check=False,
            )
        self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)
        self.assertIn("verdict: good", ran.stdout)
        for name in TROUBLES:
            self.assertRegex(ran.stdout, rf"(?m)^  {name}\b")
        # Drains are judged by something: nodes were told of the ends of servers that they were sending to.
        self.assertRegex(ran.stdout, r"[1-9]\d+ of \d+ inquiries served, [1-9]\d* drains and ends told")
        self.assertRegex(ran.stdout, r"[1-9]\d* of them of servers just sent to")

    def test_behind_relays_of_which_one_is_killed(self) -> None:
        """Followers of the killed one go on at the other of its region, from where they were."""
        with tempfile.TemporaryDirectory() as folder:
            options = Options(
                nodes=60, real=0, seconds=6, settle=4, troubles=("tenfold",), relays=2, out=Path(folder)
            )
            summary = clock.run(play(options))
        self.assertTrue(summary["good"], summary["verdict"])
        self.assertEqual(summary["topology"], "relays")
        self.assertEqual((summary["relays"]["count"], summary["relays"]["killed"]), (6, 1))
        self.assertEqual(summary["verdict"]["never"], 0)
        self.assertGreater(summary["verdict"]["in_force"]["tenfold"]["count"], 0)

    def test_planted_faults_are_found(self) -> None:
        kinds = {
            "drop": {"never": 1, "differs": 1},
            "swap": {"backwards": 1, "differs": 1},
            "stale": {"never": 2, "differs": 1},
            "keep-gone": {"never": 1, "keeps": 1},
        }
        self.assertEqual(list(kinds), list(PLANTS))

        async def together() -> list[dict[str, Any]]:
            with tempfile.TemporaryDirectory() as folder:
                options = [
                    Options(
                        nodes=30,
                        real=0,
                        seconds=2,
                        settle=2,
                        troubles=(),
                        plant=plant,
                        out=Path(folder) / plant,
                    )
                    for plant in kinds
                ]
                return await asyncio.gather(*(play(one) for one in options))

        for (plant, expected), summary in zip(kinds.items(), clock.run(together()), strict=True):
            with self.subTest(plant):
                self.assertEqual(summary["verdict"]["counts"], expected)
                self.assertFalse(summary["good"])


if __name__ == "__main__":
    unittest.main()
