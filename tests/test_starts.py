"""Slow start beside wall clocks that are stepped: a start that was seen counts from then."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any
from unittest import mock

from coraldeal.interface import Condition, Entry
from coraldeal.net.host import clock
from coraldeal.starts import REMEMBERED_MOST, Starts
from tests.standins import NodeCase, entry, server_list, until, watch

SECOND = 1_000_000
HOUR = 3600 * SECOND
# The own clock at the test's begin, and the Unix time of that moment in milliseconds.
NOW, UNIX_MS = 1_000 * SECOND, 1_700_000_000_000


class Wall:
    """A list read by a wall clock that may be wrong by some time."""

    def __init__(self) -> None:
        self.starts = Starts()
        self.now = NOW
        self.wrong_by = 0

    def tell(self, **started_at: int | None) -> dict[str, int]:
        """Servers with their real starts, in microseconds of the own clock (None: long ago); as placed."""
        told_ms = {name: 0 if at is None else UNIX_MS + (at - NOW) // 1000 for name, at in started_at.items()}
        entries = [
            Entry(name, "z", 0, Condition.READY, 0 if at is None else max(1, at - self.wrong_by))
            for name, at in started_at.items()
        ]
        return {entry.server: entry.started_at_us for entry in self.starts.place(entries, told_ms, self.now)}


class SeenStarts(unittest.TestCase):
    def test_a_start_that_was_seen_counts_from_then_whatever_the_wall_clock_says(self) -> None:
        for wrong_by in (-HOUR, -4 * SECOND, 0, 4 * SECOND, HOUR):
            with self.subTest(wrong_by=wrong_by):
                wall = Wall()
                wall.wrong_by = wrong_by
                wall.tell(old=None)
                wall.now += 4 * SECOND
                self.assertEqual(wall.tell(new=wall.now - SECOND // 2), {"new": wall.now})

    def test_a_step_while_the_node_runs_moves_no_start(self) -> None:
        wall = Wall()
        wall.tell(old=NOW - 2 * SECOND)
        born = wall.tell(new=NOW - SECOND)
        for wrong_by in (HOUR, -HOUR):
            wall.wrong_by = wrong_by
            wall.now += SECOND
            told = wall.tell(old=NOW - 2 * SECOND, new=NOW - SECOND)
            self.assertEqual(told, {"old": NOW - 2 * SECOND, **born})

    def test_a_restart_in_place_is_cold_from_when_it_was_told(self) -> None:
        wall = Wall()
        wall.wrong_by = HOUR
        wall.tell(s=NOW - 60 * SECOND)
        wall.now += 4 * SECOND
        self.assertEqual(wall.tell(s=wall.now - SECOND), {"s": wall.now})

    def test_a_server_of_long_ago_that_restarts_is_cold(self) -> None:
        wall = Wall()
        wall.tell(s=None)
        wall.now += 4 * SECOND
        self.assertEqual(wall.tell(s=wall.now - SECOND), {"s": wall.now})

    def test_a_server_that_is_listed_again_was_not_started_for_that(self) -> None:
        wall = Wall()
        wall.tell(s=NOW - 60 * SECOND, other=None)
        wall.now += 4 * SECOND
        wall.tell(other=None)
        self.assertEqual(wall.tell(s=NOW - 60 * SECOND), {"s": NOW - 60 * SECOND})

    def test_long_ago_stays_long_ago(self) -> None:
        wall = Wall()
        self.assertEqual(wall.tell(s=None), {"s": 0})
        self.assertEqual(wall.tell(s=None, t=None), {"s": 0, "t": 0})

    def test_in_the_first_list_a_start_ahead_counts_as_now_and_the_others_by_their_distance(self) -> None:
        wall = Wall()
        wall.wrong_by = -HOUR
        told = wall.tell(newest=NOW - SECOND, older=NOW - 21 * SECOND)
        self.assertEqual(told, {"newest": NOW, "older": NOW - 20 * SECOND})

    def test_what_another_process_told_of_starts_holds(self) -> None:
        starts = Starts()
        born = NOW - 3 * SECOND
        starts.place([Entry("s", "z", 0, Condition.READY, born)], {}, NOW)
        again = [Entry("s", "z", 0, Condition.READY, NOW - HOUR)]
        self.assertEqual(starts.place(again, {"s": UNIX_MS}, NOW)[0].started_at_us, born)

    def test_servers_that_left_are_not_kept_for_good(self) -> None:
        wall = Wall()
        for number in range(REMEMBERED_MOST + 100):
            wall.tell(**{f"s{number}": None})
        self.assertLessEqual(len(wall.starts.known), REMEMBERED_MOST + 1)


class StartsAtANode(NodeCase):
    async def test_a_server_that_joins_is_cold_for_its_warm_up_though_the_wall_clock_is_stepped(self) -> None:
        real = time.time_ns
        rules: dict[str, Any] = {"ask_every_ns": 10**9, "warm_after_ns": 8 * 10**9, "cold_from": 0.3}
        for step in (-3600, -5, 5, 3600):
            with self.subTest(step=step):
                new = {**entry("new", "127.0.0.1:9"), "startedAtMs": real() // 1_000_000 - 500}
                discovery = await self.stand_in(watch(json.dumps(server_list(2, False, new)).encode()))
                node = await self.node(await self.stand_in(), discovery=discovery.address, rules=rules)
                with mock.patch("time.time_ns", lambda step=step: real() + step * 10**9):
                    began = clock()
                    node.node.discovery.follow()
                    await until(lambda n=node: "new" in n.node.balancer.servers)  # type: ignore[misc]
                warm_at = node.node.balancer.servers["new"].warm_at
                self.assertGreaterEqual(warm_at, began + 8 * SECOND)
                self.assertLessEqual(warm_at, clock() + 8 * SECOND)
