"""Drains are kept however discovery fails: node processes, servers that drain, calls that fail on purpose.

A change of the list counts as told 6 s after discovery had it and could be reached, or when it was written;
a server that drains gets nothing new later than the grace after that.
"""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from zlib import crc32

from tests.processes import NodeProcess
from tests.standins import CHUNKED_HEAD, Message, StandIn, answer, chunked, entry, server_list, until

# Seconds: when a change counts as told at the latest, and after a new configuration; how long a server that
# drains may still be sent to; how long discovery keeps a call that it does not answer, and a slow one.
TOLD_AT_THE_LATEST = 6.0
TOLD_AFTER_SIGHUP = 4.0
GRACE = 1.5
CALL_TIMEOUT = 3.0
SLOW_ANSWER = 2.9
# How long a node may be held up, in seconds.
HELD_UP = 0.15
# Requests of each caller, a second.
REQUEST_RATE = 25

CallPlay = Callable[["ListService", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def fail_late(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Kept waiting until it fails, also when discovery is back meanwhile."""
    await asyncio.sleep(CALL_TIMEOUT)
    writer.write(answer(503))


async def hang(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Nothing, until the node ends the connection."""
    await reader.read()
    raise ConnectionError


async def refuse(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    writer.write(answer(503))


async def reset(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    writer.transport.abort()


async def tell(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """A watch, with the whole list first and then whatever `changes` brings."""
    writer.write(CHUNKED_HEAD + chunked(json.dumps(service.whole).encode() + b"\n"))
    service.watches.append(writer)
    while not writer.is_closing():
        await asyncio.sleep(2.0)
        writer.write(chunked(b"\n"))


async def end_at_once(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """A watch that ends before it has told anything."""
    writer.write(CHUNKED_HEAD)
    await writer.drain()
    writer.close()


async def tell_slowly(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    await asyncio.sleep(SLOW_ANSWER)
    await tell(service, seen, reader, writer)


class ListService(StandIn):
    """Discovery for one node: plays one outcome after another, and the last one from then on."""

    def __init__(self, *plays: CallPlay) -> None:
        super().__init__(self._play_next)
        self.plays = list(plays)
        self.called_at: list[float] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.whole: dict[str, Any] = {}

    async def _play_next(self, seen: Message, reader: Any, writer: asyncio.StreamWriter) -> None:
        self.called_at.append(time.monotonic())
        play = self.plays.pop(0) if len(self.plays) > 1 else self.plays[0]
        await play(self, seen, reader, writer)


class Fleet:
    """A node process with two servers of its own, one of which drains, and a steady caller."""

    def __init__(self, test: unittest.IsolatedAsyncioTestCase, *plays: CallPlay) -> None:
        self.test = test
        self.service = ListService(*plays)
        self.sent_at: list[float] = []

    async def start(self, seed: int, ask_every: float) -> Fleet:
        async def note(seen: Message, reader: Any, writer: Any) -> None:
            self.sent_at.append(time.monotonic())
            writer.write(answer())

        self.stays, self.drains = await StandIn().start(), await StandIn(note).start()
        await self.service.start()
        for stand_in in (self.stays, self.drains, self.service):
            self.test.addCleanup(stand_in.stop)
        known = server_list(1, True, *self.entries("Ready"))
        # Discovery is back with this list.
        self.service.whole = server_list(2, True, *self.entries("Terminating"))
        rules = {"ask_every_ns": int(ask_every * 1e9)}
        process = NodeProcess(known, self.service.address, seed=seed, rules=rules)
        self.node = await self.test.enterAsyncContext(process)
        asking = asyncio.create_task(self._ask())
        self.test.addCleanup(asking.cancel)
        return self

    def entries(self, lifecycle: str) -> list[dict[str, Any]]:
        return [entry("stays", self.stays.address), entry("drains", self.drains.address, lifecycle)]

    async def _ask(self) -> None:
        caller = await self.node.caller()
        while True:
            await caller.ask("read")
            await asyncio.sleep(1 / REQUEST_RATE)

    def sent_after(self, at: float) -> list[float]:
        """Seconds past this time of each request that the draining server got later."""
        return [round(sent - at, 2) for sent in self.sent_at if sent > at]


class NewConfigurations(unittest.IsolatedAsyncioTestCase):
    """What discovery has to tell as a new configuration comes counts 4 s later."""

    async def late(self, seed: int, moves: list[list[CallPlay]]) -> list[float]:
        """Requests past the grace after new configurations 0.4 s apart; each place plays its own calls."""
        fleet = await Fleet(self, tell).start(seed=seed, ask_every=10.0)
        fleet.service.whole = server_list(2, True, *fleet.entries("Ready"))
        await until(lambda: "list answered" in fleet.node.log_text(), 20.0)
        places = [ListService(*plays) for plays in moves]
        for place in places:
            await place.start()
            self.addCleanup(place.stop)
            place.whole = server_list(3, True, *fleet.entries("Terminating"))
        first = time.monotonic()
        for number, place in enumerate(places):
            await asyncio.sleep(first + 0.4 * number - time.monotonic())
            fleet.node.reload(place.address)
        await asyncio.sleep(first + TOLD_AFTER_SIGHUP + GRACE + 2.0 - time.monotonic())
        self.assertTrue(fleet.sent_at, "the server that drains was never in use")
        return fleet.sent_after(first + TOLD_AFTER_SIGHUP + GRACE)

    async def test_a_drain_is_kept_four_seconds_after_a_new_configuration_however_its_calls_fail(
        self,
    ) -> None:
        cases: dict[str, list[list[CallPlay]]] = {
            "answered": [[tell]],
            "slowly": [[tell_slowly]],
            "hangs": [[hang, tell]],
            "late": [[fail_late, tell]],
            "ends": [[end_at_once, end_at_once, tell]],
            "refused, then slowly": [[refuse, refuse, refuse, tell_slowly]],
            "several": [[tell], [tell], [tell], [tell]],
            "several that hang, the last answers slowly": [[hang], [hang], [hang], [tell_slowly]],
        }
        plays = {(name, seed): self.late(seed, moves) for name, moves in cases.items() for seed in range(2)}
        late = dict(zip(plays, await asyncio.gather(*plays.values()), strict=True))
        self.assertEqual(late, {play: [] for play in plays})


class DrainsInOutages(unittest.IsolatedAsyncioTestCase):
    async def test_list_calls_that_fail_one_after_another_keep_no_drained_server_in_use(self) -> None:
        """Discovery is back, and of the calls made from then on the first three fail: late, at once, late."""

        async def play(number: int) -> list[float]:
            plays = [fail_late, fail_late, fail_late, reset, fail_late, tell]
            fleet = await Fleet(self, *plays).start(seed=number, ask_every=2.0)
            # The second call has just begun, and discovery won't answer it though it is back.
            await until(lambda: len(fleet.service.called_at) >= 2, 20.0)
            told_at = fleet.service.called_at[1] + TOLD_AT_THE_LATEST
            await asyncio.sleep(told_at + GRACE + 4.0 - time.monotonic())
            self.assertTrue(fleet.sent_at, "the server that drains was never in use")
            return fleet.sent_after(told_at + GRACE)

        late = await asyncio.gather(*(play(number) for number in range(4)))
        self.assertEqual(late, [[]] * 4)

    async def test_a_change_written_as_a_new_configuration_comes_is_not_lost(self) -> None:
        """The node reads its file; meanwhile a change is written to its watch, which then moves elsewhere."""
        fleet = await Fleet(self, tell).start(seed=1, ask_every=1.0)
        elsewhere = await ListService(fail_late).start()
        self.addCleanup(elsewhere.stop)
        fleet.service.whole = server_list(2, True, *fleet.entries("Ready"))
        await until(lambda: "list answered" in fleet.node.log_text(), 20.0)
        told_at = 0.0

        async def change() -> None:
            nonlocal told_at
            drains = json.dumps(server_list(3, False, *fleet.entries("Terminating")[1:])).encode()
            fleet.service.watches[0].write(chunked(drains + b"\n"))
            await fleet.service.watches[0].drain()
            told_at = time.monotonic()
            await asyncio.sleep(HELD_UP / 2)

        await fleet.node.reload_held_up(elsewhere.address, change)
        await asyncio.sleep(GRACE + 3.0)
        self.assertIn("configuration read anew", fleet.node.log_text())
        self.assertEqual(fleet.sent_after(told_at + GRACE), [])

    async def test_new_configurations_in_a_row_leave_one_series_of_list_calls(self) -> None:
        """Calls at a discovery that refuses them are at least 0.4 s apart, however often it has moved."""
        least_wait, watched_for = 0.4, 4.0
        fleet = await Fleet(self, refuse).start(seed=1, ask_every=1.0)
        await until(lambda: len(fleet.service.called_at) >= 1, 20.0)
        port = fleet.service.address.rpartition(":")[2]
        for name in ("localhost", "127.0.0.1") * 3:
            fleet.node.reload(f"{name}:{port}")
            await asyncio.sleep(0.15)
        began = len(fleet.service.called_at)
        await asyncio.sleep(watched_for)
        calls = len(fleet.service.called_at) - began
        self.assertGreater(calls, 0)
        self.assertLessEqual(calls, watched_for / least_wait + 1)

    async def test_a_node_without_a_watch_is_told_within_the_time_of_asking(self) -> None:
        """Calls are refused; a server drains, and discovery answers again a second later."""
        ask_every, failed_call_times = 1.0, 4
        fleet = await Fleet(self, refuse).start(seed=3, ask_every=ask_every)
        await until(lambda: len(fleet.service.called_at) >= 4, 20.0)
        last_call = fleet.service.called_at[-1]
        await asyncio.sleep(1.0)
        fleet.service.plays = [tell]
        told_at = last_call + failed_call_times * ask_every
        await asyncio.sleep(told_at + GRACE + 2.0 - time.monotonic())
        self.assertTrue(fleet.sent_at, "the server that drains was never in use")
        self.assertEqual(fleet.sent_after(told_at + GRACE), [])

    async def test_a_call_that_waits_at_a_former_place_is_no_work_for_long(self) -> None:
        """A new configuration comes while a call waits, and the next one waits too: the first is closed."""
        fleet = await Fleet(self, hang).start(seed=1, ask_every=1.0)
        await until(lambda: len(fleet.service.called_at) == 1, 20.0)
        elsewhere = ListService(hang)
        await elsewhere.start()
        self.addCleanup(elsewhere.stop)
        fleet.node.reload(elsewhere.address)
        await until(lambda: len(elsewhere.called_at) == 1)
        await until(lambda: fleet.service.closed == 1, 0.5)

    async def test_a_first_list_call_that_fails_late_leaves_time_for_a_second(self) -> None:
        """A server drains just after the start of nodes that by their seeds make their first call late."""
        latest = [seed for seed in range(1000) if crc32(f"{seed} 1".encode()) / 2**32 > 0.97][:3]

        async def play(seed: int) -> list[float]:
            fleet = await Fleet(self, fail_late, tell).start(seed=seed, ask_every=60.0)
            told_at = time.monotonic() + TOLD_AT_THE_LATEST
            await asyncio.sleep(TOLD_AT_THE_LATEST + GRACE + 4.0)
            self.assertTrue(fleet.sent_at, "the server that drains was never in use")
            return fleet.sent_after(told_at + GRACE)

        late = await asyncio.gather(*(play(seed) for seed in latest))
        self.assertEqual(late, [[]] * 3)
