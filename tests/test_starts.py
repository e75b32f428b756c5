"""Slow start while wall clocks are stepped: a start that the node saw counts from when it saw it."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any
from unittest import mock

from coraldeal.interface import Condition, Entry
from coraldeal.net.host import clock
from coraldeal.starts import MAX_REMEMBERED, Starts
from tests.standins import NodeCase, entry, server_list, until, watch

SECOND = 1_000_000
HOUR = 3600 * SECOND
# The node's clock at the start of a test, and the Unix time of that moment in milliseconds.
NOW, UNIX_MS = 1_000 * SECOND, 1_700_000_000_000


class Lists:
    """Lists whose start times are read with a wall clock that may be wrong."""

    def __init__(self) -> None:
        self.starts = Starts()
        self.now = NOW
        self.wrong_by = 0

    def receive(self, **started_at: int | None) -> dict[str, int]:
        """Resolve a list with these starts, in microseconds of the node's clock (None: long ago)."""
        listed_ms = {
            name: 0 if at is None else UNIX_MS + (at - NOW) // 1000 for name, at in started_at.items()
        }
        entries = [
            Entry(name, "z", 0, Condition.READY, 0 if at is None else max(1, at - self.wrong_by))
            for name, at in started_at.items()
        ]
        return {
            entry.server: entry.started_at_us for entry in self.starts.resolve(entries, listed_ms, self.now)
        }


class SeenStarts(unittest.TestCase):
    def test_seen_start_counts_from_then_whatever_the_wall_clock_says(self) -> None:
        for wrong_by in (-HOUR, -4 * SECOND, 0, 4 * SECOND, HOUR):
            with self.subTest(wrong_by=wrong_by):
                lists = Lists()
                lists.wrong_by = wrong_by
                lists.receive(old=None)
                lists.now += 4 * SECOND
                self.assertEqual(lists.receive(new=lists.now - SECOND // 2), {"new": lists.now})

    def test_clock_step_while_the_node_runs_moves_no_start(self) -> None:
        lists = Lists()
        lists.receive(old=NOW - 2 * SECOND)
        new = lists.receive(new=NOW - SECOND)
        for wrong_by in (HOUR, -HOUR):
            lists.wrong_by = wrong_by
            lists.now += SECOND
            resolved = lists.receive(old=NOW - 2 * SECOND, new=NOW - SECOND)
            self.assertEqual(resolved, {"old": NOW - 2 * SECOND, **new})

    def test_restarted_server_is_cold_from_when_its_restart_was_listed(self) -> None:
        lists = Lists()
        lists.wrong_by = HOUR
        lists.receive(s=NOW - 60 * SECOND)
        lists.now += 4 * SECOND
        self.assertEqual(lists.receive(s=lists.now - SECOND), {"s": lists.now})

    def test_old_server_that_restarts_is_cold(self) -> None:
        lists = Lists()
        lists.receive(s=None)
        lists.now += 4 * SECOND
        self.assertEqual(lists.receive(s=lists.now - SECOND), {"s": lists.now})

    def test_server_that_is_listed_again_keeps_its_start(self) -> None:
        lists = Lists()
        lists.receive(s=NOW - 60 * SECOND, other=None)
        lists.now += 4 * SECOND
        lists.receive(other=None)
        self.assertEqual(lists.receive(s=NOW - 60 * SECOND), {"s": NOW - 60 * SECOND})

    def test_unknown_start_stays_unknown(self) -> None:
        lists = Lists()
        self.assertEqual(lists.receive(s=None), {"s": 0})
        self.assertEqual(lists.receive(s=None, t=None), {"s": 0, "t": 0})

    def test_future_start_in_the_first_list_counts_as_now_and_others_relative_to_it(self) -> None:
        lists = Lists()
        lists.wrong_by = -HOUR
        resolved = lists.receive(newest=NOW - SECOND, older=NOW - 21 * SECOND)
        self.assertEqual(resolved, {"newest": NOW, "older": NOW - 20 * SECOND})

    def test_starts_known_to_the_predecessor_are_kept(self) -> None:
        starts = Starts()
        started_at = NOW - 3 * SECOND
        starts.resolve([Entry("s", "z", 0, Condition.READY, started_at)], {}, NOW)
        again = [Entry("s", "z", 0, Condition.READY, NOW - HOUR)]
        self.assertEqual(starts.resolve(again, {"s": UNIX_MS}, NOW)[0].started_at_us, started_at)

    def test_number_of_remembered_servers_is_limited(self) -> None:
        lists = Lists()
        for number in range(MAX_REMEMBERED + 100):
            lists.receive(**{f"s{number}": None})
        self.assertLessEqual(len(lists.starts.starts), MAX_REMEMBERED + 1)


class StartsAtANode(NodeCase):
    async def test_joining_server_is_cold_for_its_warm_up_though_the_wall_clock_is_stepped(self) -> None:
        real = time.time_ns
        rules: dict[str, Any] = {"ask_every_ns": 10**9, "warm_after_ns": 8 * 10**9, "cold_from": 0.3}
        for step in (-3600, -5, 5, 3600):
            with self.subTest(step=step):
                new = {**entry("new", "127.0.0.1:9"), "startedAtMs": real() // 1_000_000 - 500}
                discovery = await self.stand_in(watch(json.dumps(server_list(2, False, new)).encode()))
                node = await self.node(await self.stand_in(), discovery=discovery.address, rules=rules)
                with mock.patch("time.time_ns", lambda step=step: real() + step * 10**9):
                    started_at = clock()
                    node.node.discovery.follow()
                    await until(lambda n=node: "new" in n.node.balancer.servers)  # type: ignore[misc]
                warm_at = node.node.balancer.servers["new"].warm_at
                self.assertGreaterEqual(warm_at, started_at + 8 * SECOND)
                self.assertLessEqual(warm_at, clock() + 8 * SECOND)
