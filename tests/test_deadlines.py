"""The deadline that an attempt tells its server is at most what its client has left, with 0.15 s of slack."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tests.standins import SETTINGS, Caller, LateConnects, NodeCase, Point, Seen, answer, hang_up, until

SLACK = 0.15
# Seconds that the client waits, and that something before the attempt takes.
PATIENCE, DELAY = 1.0, 0.6


# A connection may take longer than what the test lets it wait for.
BOUNDS = {**SETTINGS["bounds"], "connect_timeout_ns": 10**9}


class Deadlines(NodeCase):
    def check(self, seen: Seen, sent_at: float, seen_at: float) -> None:
        """`seen_at`: no sooner than the server had the attempt."""
        text = seen.fields["req-deadline"]
        self.assertTrue(text.endswith("u"))
        told = int(text[:-1]) / 1e6
        self.assertGreater(told, 0)
        self.assertLessEqual(told, PATIENCE - (seen_at - sent_at) + SLACK)

    async def check_held_up(self, let_go: Callable[[Point], Awaitable[None]]) -> Caller:
        """One request whose connection comes up only behind what `let_go` does."""
        server = await self.stand_in()
        node = await self.node(server, bounds=BOUNDS)
        caller = await node.caller()
        with LateConnects(server) as point:
            sent_at = time.monotonic()
            caller.send("write", b"x", f"{PATIENCE * 1000:.0f}m")
            await point.reached.wait()
            await let_go(point)
            await until(lambda: len(server.seen) == 1)
            seen_at = time.monotonic()
        self.check(server.seen[0], sent_at, seen_at)
        return caller

    async def test_behind_a_wait_for_a_connection(self) -> None:
        async def late(point: Point) -> None:
            await asyncio.sleep(DELAY)
            point.go.set()

        caller = await self.check_held_up(late)
        self.assertEqual((await caller.answer())[0], 200)

    async def test_of_a_further_attempt(self) -> None:
        attempts: list[tuple[float, Seen]] = []

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            attempts.append((time.monotonic(), seen))
            if len(attempts) == 1:
                await asyncio.sleep(DELAY)
                await hang_up(seen, reader, writer)
            else:
                writer.write(answer())

        node = await self.node(await self.stand_in(play), await self.stand_in(play))
        caller = await node.caller()
        sent_at = time.monotonic()
        self.assertEqual((await caller.ask("read", b"", f"{PATIENCE * 1000:.0f}m"))[0], 200)
        self.assertEqual(len(attempts), 2)
        seen_at, seen = attempts[1]
        self.check(seen, sent_at, seen_at)

    async def test_behind_a_stand_still_of_the_node(self) -> None:
        """Held up between the choice of a server and the first byte."""

        async def stand_still(point: Point) -> None:
            point.go.set()
            time.sleep(DELAY)

        await self.check_held_up(stand_still)
