"""Slow start on a real process whose wall clock is stepped: before the start, and while it runs."""

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
from tests.standins import CHUNKED_HEAD, Caller, Seen, StandIn, answer, chunked, entry, server_list, until

HOUR = 3600.0
# Requests a second, and the rules that say what a server in slow start bears.
RATE = 200
MULTIPLE, COLD_FROM, WARM_AFTER = 2.0, 0.25, 8.0
RULES = {
    "ask_every_ns": 10**9,
    "cold_from": COLD_FROM,
    "fall_multiple": MULTIPLE,
    "fall_ns": 10**9,
    "warm_after_ns": int(WARM_AFTER * 1e9),
}
# Servers once the new one has joined.
SERVERS = 3


def budget() -> float:
    """Calls that a server in slow start bears in its first second, when the others carry the usual."""
    calls = MULTIPLE * COLD_FROM * RATE / SERVERS
    return calls + 2 * math.sqrt(calls) + 2


class Joined:
    """One node, two servers, and a third that joins."""

    def __init__(self, test: unittest.IsolatedAsyncioTestCase, at_start: float, later: float) -> None:
        self.test = test
        self.steps = at_start, later
        # When each request came to the server that joins, and to any; from the list's telling on.
        self.got: list[float] = []
        self.all: list[float] = []

    async def play(self, joins_after: float, seconds: float) -> None:
        test, watches = self.test, []

        async def list_of_servers(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(CHUNKED_HEAD + chunked(json.dumps(server_list(1, False)).encode() + b"\n"))
            watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(chunked(b"\n"))

        async def note(seen: Seen, reader: Any, writer: Any) -> None:
            self.all.append(time.monotonic() - told_at)
            writer.write(answer())

        async def note_new(seen: Seen, reader: Any, writer: Any) -> None:
            self.got.append(time.monotonic() - told_at)
            await note(seen, reader, writer)

        told_at = math.inf
        stand_ins = [StandIn(note), StandIn(note), StandIn(note_new), StandIn(list_of_servers)]
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
        asking = asyncio.create_task(self.ask(node))
        test.addCleanup(asking.cancel)
        await until(lambda: len(watches) == 1, 10.0)
        await asyncio.sleep(joins_after)
        step.write_text(str(self.steps[1]))
        joins = {**entry("new", new.address), "startedAtMs": time.time_ns() // 1_000_000}
        told_at = time.monotonic()
        watches[0].write(chunked(json.dumps(server_list(2, False, joins)).encode() + b"\n"))
        await asyncio.sleep(seconds)

    async def ask(self, node: NodeProcess) -> None:
        callers = [await node.caller() for _ in range(20)]
        await asyncio.gather(*(self.ask_on(caller) for caller in callers))

    async def ask_on(self, caller: Caller) -> None:
        while True:
            await caller.ask("read")
            await asyncio.sleep(20 / RATE)


class SteppedClocks(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_joins_is_neither_warm_early_nor_unused(self) -> None:
        cases = {
            "right": (0.0, 0.0),
            "behind from the start": (-HOUR, -HOUR),
            "ahead from the start": (HOUR, HOUR),
            "stepped back as it joins": (0.0, -HOUR),
            "stepped ahead as it joins": (0.0, HOUR),
        }
        plays = [Joined(self, *steps) for steps in cases.values()]
        await asyncio.gather(*(play.play(2.0, WARM_AFTER + 3.0) for play in plays))
        for name, play in zip(cases, plays, strict=True):
            with self.subTest(name):
                self.assertLessEqual(sum(at < 1.0 for at in play.got), budget())
                # Warm, it carries its part: half of an even one at the least.
                warm = sum(at > WARM_AFTER + 1.0 for at in play.got)
                everything = sum(at > WARM_AFTER + 1.0 for at in play.all)
                self.assertGreater(warm, everything / SERVERS / 2)
