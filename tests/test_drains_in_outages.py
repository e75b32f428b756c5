"""A draining server gets no new requests however discovery fails, with real node processes.

A change of the list counts as received when it is written to a watch, or else 6 s after discovery has it and
is reachable. A draining server gets no new requests after the grace period that begins then.
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

# Seconds after which a change counts as received, from the time at which discovery had it and was reachable.
MAX_CHANGE_DELAY = 6.0
# The same, from a new configuration.
MAX_DELAY_AFTER_SIGHUP = 4.0
# The grace period of a draining server in seconds, from the time at which the change counts as received.
GRACE = 1.5
# Seconds after which discovery fails a call that it hasn't answered.
CALL_TIMEOUT = 3.0
# Seconds after which discovery answers a slow call.
SLOW_ANSWER = 2.9
# Seconds for which a node may be held up, here while it reads its configuration.
HELD_UP = 0.15
# Requests per second of each caller.
REQUEST_RATE = 25

CallPlay = Callable[["ListService", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def fail_late(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Fail the call after its timeout, even if discovery has recovered in the meantime."""
    await asyncio.sleep(CALL_TIMEOUT)
    writer.write(answer(503))


async def hang(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Send nothing until the node closes the connection."""
    await reader.read()
    raise ConnectionError


async def refuse(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    writer.write(answer(503))


async def reset(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    writer.transport.abort()


async def answer_watch(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Answer with a watch: a snapshot, and then a blank line every 2 s."""
    writer.write(CHUNKED_HEAD + chunked(json.dumps(service.snapshot).encode() + b"\n"))
    service.watches.append(writer)
    while not writer.is_closing():
        await asyncio.sleep(2.0)
        writer.write(chunked(b"\n"))


async def end_at_once(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    """Answer with a watch that ends before its first list."""
    writer.write(CHUNKED_HEAD)
    await writer.drain()
    writer.close()


async def answer_slowly(service: ListService, seen: Message, reader: Any, writer: Any) -> None:
    await asyncio.sleep(SLOW_ANSWER)
    await answer_watch(service, seen, reader, writer)


class ListService(StandIn):
    """Discovery for one node: handles each call with the next function of `plays`, and repeats the last."""

    def __init__(self, *plays: CallPlay) -> None:
        super().__init__(self._play_next)
        self.plays = list(plays)
        self.called_at: list[float] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.snapshot: dict[str, Any] = {}

    async def _play_next(self, seen: Message, reader: Any, writer: asyncio.StreamWriter) -> None:
        self.called_at.append(time.monotonic())
        play = self.plays.pop(0) if len(self.plays) > 1 else self.plays[0]
        await play(self, seen, reader, writer)


class Fleet:
    """A node process with two servers, one of which drains, and a caller that sends at a steady rate."""

    def __init__(self, test: unittest.IsolatedAsyncioTestCase, *plays: CallPlay) -> None:
        self.test = test
        self.service = ListService(*plays)
        self.sent_at: list[float] = []

    async def start(self, seed: int, pull_interval: float) -> Fleet:
        async def record(seen: Message, reader: Any, writer: Any) -> None:
            self.sent_at.append(time.monotonic())
            writer.write(answer())

        self.stays, self.drains = await StandIn().start(), await StandIn(record).start()
        await self.service.start()
        for stand_in in (self.stays, self.drains, self.service):
            self.test.addCleanup(stand_in.stop)
        known_list = server_list(1, True, *self.entries("Ready"))
        # Discovery has this list when it recovers.
        self.service.snapshot = server_list(2, True, *self.entries("Terminating"))
        rules = {"ask_every_ns": int(pull_interval * 1e9)}
        process = NodeProcess(known_list, self.service.address, seed=seed, rules=rules)
        self.node = await self.test.enterAsyncContext(process)
        sending = asyncio.create_task(self._send_requests())
        self.test.addCleanup(sending.cancel)
        return self

    def entries(self, lifecycle: str) -> list[dict[str, Any]]:
        return [entry("stays", self.stays.address), entry("drains", self.drains.address, lifecycle)]

    async def _send_requests(self) -> None:
        caller = await self.node.caller()
        while True:
            await caller.ask("read")
            await asyncio.sleep(1 / REQUEST_RATE)

    def sent_after(self, at: float) -> list[float]:
        """Return how many seconds after this time each later request reached the draining server."""
        return [round(sent - at, 2) for sent in self.sent_at if sent > at]


class NewConfigurations(unittest.IsolatedAsyncioTestCase):
    """A change that discovery has when the configuration changes counts as received 4 s later."""

    async def late(self, seed: int, addresses: list[list[CallPlay]]) -> list[float]:
        """Name another discovery in a new configuration every 0.4 s; return the late requests."""
        fleet = await Fleet(self, answer_watch).start(seed=seed, pull_interval=10.0)
        fleet.service.snapshot = server_list(2, True, *fleet.entries("Ready"))
        await until(lambda: "list answered" in fleet.node.log_text(), 20.0)
        services = [ListService(*plays) for plays in addresses]
        for service in services:
            await service.start()
            self.addCleanup(service.stop)
            service.snapshot = server_list(3, True, *fleet.entries("Terminating"))
        first_reload_at = time.monotonic()
        for number, service in enumerate(services):
            await asyncio.sleep(first_reload_at + 0.4 * number - time.monotonic())
            fleet.node.reload(service.address)
        await asyncio.sleep(first_reload_at + MAX_DELAY_AFTER_SIGHUP + GRACE + 2.0 - time.monotonic())
        self.assertTrue(fleet.sent_at, "the draining server was never in use")
        return fleet.sent_after(first_reload_at + MAX_DELAY_AFTER_SIGHUP + GRACE)

    async def test_failing_calls_after_a_new_configuration_delay_a_drain_by_at_most_four_seconds(
        self,
    ) -> None:
        # By name: how discovery at each of the new addresses handles its calls.
        cases: dict[str, list[list[CallPlay]]] = {
            "answered": [[answer_watch]],
            "slowly": [[answer_slowly]],
            "hangs": [[hang, answer_watch]],
            "late": [[fail_late, answer_watch]],
            "ends": [[end_at_once, end_at_once, answer_watch]],
            "refused, then slowly": [[refuse, refuse, refuse, answer_slowly]],
            "several": [[answer_watch], [answer_watch], [answer_watch], [answer_watch]],
            "several that hang, the last answers slowly": [[hang], [hang], [hang], [answer_slowly]],
        }
        plays = {
            (name, seed): self.late(seed, addresses) for name, addresses in cases.items() for seed in range(2)
        }
        late = dict(zip(plays, await asyncio.gather(*plays.values()), strict=True))
        self.assertEqual(late, {play: [] for play in plays})


class DrainsInOutages(unittest.IsolatedAsyncioTestCase):
    async def test_list_calls_failing_in_a_row_keep_no_draining_server_in_use(self) -> None:
        """Discovery has recovered, but the first three calls after that fail: late, at once, late."""

        async def play(number: int) -> list[float]:
            plays = [fail_late, fail_late, fail_late, reset, fail_late, answer_watch]
            fleet = await Fleet(self, *plays).start(seed=number, pull_interval=2.0)
            # The second call has just started; discovery won't answer it although it has recovered.
            await until(lambda: len(fleet.service.called_at) >= 2, 20.0)
            received_at = fleet.service.called_at[1] + MAX_CHANGE_DELAY
            await asyncio.sleep(received_at + GRACE + 4.0 - time.monotonic())
            self.assertTrue(fleet.sent_at, "the draining server was never in use")
            return fleet.sent_after(received_at + GRACE)

        late = await asyncio.gather(*(play(number) for number in range(4)))
        self.assertEqual(late, [[]] * 4)

    async def test_change_written_while_the_configuration_changes_takes_effect(self) -> None:
        """While the node reads its file, a change is written to its watch; then the watch moves elsewhere."""
        fleet = await Fleet(self, answer_watch).start(seed=1, pull_interval=1.0)
        elsewhere = await ListService(fail_late).start()
        self.addCleanup(elsewhere.stop)
        fleet.service.snapshot = server_list(2, True, *fleet.entries("Ready"))
        await until(lambda: "list answered" in fleet.node.log_text(), 20.0)
        received_at = 0.0

        async def change() -> None:
            nonlocal received_at
            drains = json.dumps(server_list(3, False, *fleet.entries("Terminating")[1:])).encode()
            fleet.service.watches[0].write(chunked(drains + b"\n"))
            await fleet.service.watches[0].drain()
            received_at = time.monotonic()
            await asyncio.sleep(HELD_UP / 2)

        await fleet.node.reload_held_up(elsewhere.address, change)
        await asyncio.sleep(GRACE + 3.0)
        self.assertIn("configuration read anew", fleet.node.log_text())
        self.assertEqual(fleet.sent_after(received_at + GRACE), [])

    async def test_new_configurations_in_a_row_leave_one_series_of_list_calls(self) -> None:
        """Refused calls are at least 0.4 s apart, however often the address of discovery has changed."""
        min_wait, observed_for = 0.4, 4.0
        fleet = await Fleet(self, refuse).start(seed=1, pull_interval=1.0)
        await until(lambda: len(fleet.service.called_at) >= 1, 20.0)
        port = fleet.service.address.rpartition(":")[2]
        for name in ("localhost", "127.0.0.1") * 3:
            fleet.node.reload(f"{name}:{port}")
            await asyncio.sleep(0.15)
        calls_before = len(fleet.service.called_at)
        await asyncio.sleep(observed_for)
        calls = len(fleet.service.called_at) - calls_before
        self.assertGreater(calls, 0)
        self.assertLessEqual(calls, observed_for / min_wait + 1)

    async def test_node_without_a_watch_receives_a_change_within_the_pull_interval(self) -> None:
        """Calls are refused, a server drains, and discovery answers again a second later."""
        pull_interval, failed_call_factor = 1.0, 4
        fleet = await Fleet(self, refuse).start(seed=3, pull_interval=pull_interval)
        await until(lambda: len(fleet.service.called_at) >= 4, 20.0)
        last_call = fleet.service.called_at[-1]
        await asyncio.sleep(1.0)
        fleet.service.plays = [answer_watch]
        received_at = last_call + failed_call_factor * pull_interval
        await asyncio.sleep(received_at + GRACE + 2.0 - time.monotonic())
        self.assertTrue(fleet.sent_at, "the draining server was never in use")
        self.assertEqual(fleet.sent_after(received_at + GRACE), [])

    async def test_call_waiting_at_a_former_address_is_closed_soon(self) -> None:
        """The configuration changes while a call waits, and the next call waits too: the first is closed."""
        fleet = await Fleet(self, hang).start(seed=1, pull_interval=1.0)
        await until(lambda: len(fleet.service.called_at) == 1, 20.0)
        elsewhere = ListService(hang)
        await elsewhere.start()
        self.addCleanup(elsewhere.stop)
        fleet.node.reload(elsewhere.address)
        await until(lambda: len(elsewhere.called_at) == 1)
        await until(lambda: fleet.service.closed == 1, 0.5)

    async def test_first_list_call_failing_late_leaves_time_for_a_second(self) -> None:
        """A server drains just after the start of nodes whose seeds delay their first call."""
        late_seeds = [seed for seed in range(1000) if crc32(f"{seed} 1".encode()) / 2**32 > 0.97][:3]

        async def play(seed: int) -> list[float]:
            fleet = await Fleet(self, fail_late, answer_watch).start(seed=seed, pull_interval=60.0)
            received_at = time.monotonic() + MAX_CHANGE_DELAY
            await asyncio.sleep(MAX_CHANGE_DELAY + GRACE + 4.0)
            self.assertTrue(fleet.sent_at, "the draining server was never in use")
            return fleet.sent_after(received_at + GRACE)

        late = await asyncio.gather(*(play(seed) for seed in late_seeds))
        self.assertEqual(late, [[]] * 3)
