"""Tests that the Req-Deadline of an attempt is at most the time its client has left, with 0.15 s of slack.

They guard against a deadline that is computed before a delay, such as the wait for a connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tests.standins import SETTINGS, Caller, LateConnects, Message, NodeCase, Point, answer, hang_up, until

SLACK = 0.15
# The client's deadline and the delay before the attempt, in seconds.
DEADLINE, DELAY = 1.0, 0.6

# The connect timeout has to be longer than the delay.
BOUNDS = {**SETTINGS["bounds"], "connect_timeout_ns": 10**9}


class DeadlineTest(NodeCase):
    def check(self, seen: Message, sent_at: float, seen_at: float) -> None:
        """Check the deadline in a request; the server had received it by `seen_at`."""
        text = seen.fields["req-deadline"]
        self.assertTrue(text.endswith("u"))
        deadline = int(text[:-1]) / 1e6
        self.assertGreater(deadline, 0)
        self.assertLessEqual(deadline, DEADLINE - (seen_at - sent_at) + SLACK)

    async def check_delayed_connect(self, release: Callable[[Point], Awaitable[None]]) -> Caller:
        """Check a request whose connection to the server is established only when `release` allows it."""
        server = await self.stand_in()
        node = await self.node(server, bounds=BOUNDS)
        caller = await node.caller()
        with LateConnects(server) as point:
            sent_at = time.monotonic()
            caller.send("write", b"x", f"{DEADLINE * 1000:.0f}m")
            await point.reached.wait()
            await release(point)
            await until(lambda: len(server.seen) == 1)
            seen_at = time.monotonic()
        self.check(server.seen[0], sent_at, seen_at)
        return caller

    async def test_slow_connect_reduces_the_deadline(self) -> None:
        async def release_late(point: Point) -> None:
            await asyncio.sleep(DELAY)
            point.go.set()

        caller = await self.check_delayed_connect(release_late)
        self.assertEqual((await caller.answer())[0], 200)

    async def test_retry_has_a_reduced_deadline(self) -> None:
        attempts: list[tuple[float, Message]] = []

        async def respond(seen: Message, reader: Any, writer: Any) -> None:
            attempts.append((time.monotonic(), seen))
            if len(attempts) == 1:
                await asyncio.sleep(DELAY)
                await hang_up(seen, reader, writer)
            else:
                writer.write(answer())

        node = await self.node(await self.stand_in(respond), await self.stand_in(respond))
        caller = await node.caller()
        sent_at = time.monotonic()
        self.assertEqual((await caller.ask("read", b"", f"{DEADLINE * 1000:.0f}m"))[0], 200)
        self.assertEqual(len(attempts), 2)
        seen_at, seen = attempts[1]
        self.check(seen, sent_at, seen_at)

    async def test_stall_of_the_node_reduces_the_deadline(self) -> None:
        """The node stalls between the choice of a server and the first byte."""

        async def stall(point: Point) -> None:
            point.go.set()
            time.sleep(DELAY)

        await self.check_delayed_connect(stall)
