"""Slow start at a real process whose wall clock is stepped, before its start or while it runs.

The server list gives the start of a server in Unix time. Guards against a node that takes a new server for
warm, or for one that starts only in the future, because its own wall clock is an hour off.
"""

from __future__ import annotations

import asyncio
import json
import math
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tests.processes import ROOT, NodeProcess
from tests.standins import CHUNKED_HEAD, Caller, Message, StandIn, answer, chunked, entry, server_list, until

HOUR = 3600.0
# Requests per second, and the rules for a server in slow start.
RATE = 200
MULTIPLE, COLD_CAPACITY, WARM_UP = 2.0, 0.25, 8.0
RULES = {
    "ask_every_ns": 10**9,
    "cold_from": COLD_CAPACITY,
    "fall_multiple": MULTIPLE,
    "fall_ns": 10**9,
    "warm_after_ns": int(WARM_UP * 1e9),
}
# The number of servers once the new one has joined.
SERVERS = 3


def max_first_second() -> float:
    """Return how many requests a server in slow start may get in its first second.

    Its limit at an even load of all servers, plus two standard deviations and two requests for chance.
    """
    requests = MULTIPLE * COLD_CAPACITY * RATE / SERVERS
    return requests + 2 * math.sqrt(requests) + 2


class JoinRun:
    """A run of one node with two servers and a third that joins.

    `at_start` and `later` are the steps of the node's wall clock in seconds, before and from the join on.
    """

    def __init__(self, test: unittest.IsolatedAsyncioTestCase, at_start: float, later: float) -> None:
        self.test = test
        self.steps = at_start, later
        # When each request arrived at the joining server, and at any server, in seconds since the list with
        # the joining server was sent.
        self.joined_times: list[float] = []
        self.all_times: list[float] = []

    async def run(self, joins_after: float, seconds: float) -> None:
        test, watches = self.test, []

        async def serve_list(seen: Message, reader: Any, writer: Any) -> None:
            writer.write(CHUNKED_HEAD + chunked(json.dumps(server_list(1, False)).encode() + b"\n"))
            watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(chunked(b"\n"))

        async def record(seen: Message, reader: Any, writer: Any) -> None:
            self.all_times.append(time.monotonic() - listed_at)
            writer.write(answer())

        async def record_joined(seen: Message, reader: Any, writer: Any) -> None:
            self.joined_times.append(time.monotonic() - listed_at)
            await record(seen, reader, writer)

        listed_at = math.inf
        stand_ins = [StandIn(record), StandIn(record), StandIn(record_joined), StandIn(serve_list)]
        for stand_in in stand_ins:
            await stand_in.start()
            test.addCleanup(stand_in.stop)
        *old, new, discovery = stand_ins
        folder = test.enterContext(tempfile.TemporaryDirectory())
        step = Path(folder) / "step"
        step.write_text(str(self.steps[0]))
        shim = {"PYTHONPATH": str(ROOT / "tests" / "shims"), "CORALDEAL_CLOCK_STEP": str(step)}
        known = server_list(1, True, *[entry(f"s{i}", one.address) for i, one in enumerate(old)])
        process = NodeProcess(known, discovery.address, rules=RULES, environment=shim)
        node = await test.enterAsyncContext(process)
        requests = asyncio.create_task(self.send_requests(node))
        test.addCleanup(requests.cancel)
        await until(lambda: len(watches) == 1, 10.0)
        await asyncio.sleep(joins_after)
        step.write_text(str(self.steps[1]))
        joins = {**entry("new", new.address), "startedAtMs": time.time_ns() // 1_000_000}
        listed_at = time.monotonic()
        watches[0].write(chunked(json.dumps(server_list(2, False, joins)).encode() + b"\n"))
        await asyncio.sleep(seconds)

    async def send_requests(self, node: NodeProcess) -> None:
        callers = [await node.caller() for _ in range(20)]
        await asyncio.gather(*(self.send_on(caller) for caller in callers))

    async def send_on(self, caller: Caller) -> None:
        while True:
            await caller.ask("read")
            await asyncio.sleep(20 / RATE)


class SteppedClockCase(unittest.IsolatedAsyncioTestCase):
    async def test_joining_server_gets_slow_start_and_then_its_share_whatever_the_wall_clock(self) -> None:
        cases = {
            "right": (0.0, 0.0),
            "behind from the start": (-HOUR, -HOUR),
            "ahead from the start": (HOUR, HOUR),
            "stepped back as it joins": (0.0, -HOUR),
            "stepped ahead as it joins": (0.0, HOUR),
        }
        runs = [JoinRun(self, *steps) for steps in cases.values()]
        await asyncio.gather(*(run.run(2.0, WARM_UP + 3.0) for run in runs))
        for name, run in zip(cases, runs, strict=True):
            with self.subTest(name):
                self.assertLessEqual(sum(at < 1.0 for at in run.joined_times), max_first_second())
                # Once warm, it gets its share: at least half of an even one.
                joined = sum(at > WARM_UP + 1.0 for at in run.joined_times)
                total = sum(at > WARM_UP + 1.0 for at in run.all_times)
                self.assertGreater(joined, total / SERVERS / 2)
