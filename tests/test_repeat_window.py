"""A request whose repeats servers know is sent again only within the time that they remember it."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tests.standins import SETTINGS, LateConnects, Message, NodeCase, answer, hang_up, until

SECOND_NS = 10**9
# For how many seconds servers remember a request.
WINDOW = 0.8
KEYED = {
    "name": "keyed",
    "effect": "dedup",
    "group": "all",
    "window_ns": int(WINDOW * SECOND_NS),
    "payoff": 5.0,
    "expected_time_ns": 3 * SECOND_NS,
    "patience_ns": 3 * SECOND_NS,
}
BOUNDS = {**SETTINGS["bounds"], "connect_timeout_ns": 2 * SECOND_NS}


class RepeatWindow(NodeCase):
    async def played(self, connects_after: float) -> tuple[int, list[float]]:
        """The first attempt is reset, the second one's connection comes up so late: the answer, and when the
        attempts came, in seconds after the first.
        """
        came: list[float] = []

        async def play(seen: Message, reader: Any, writer: Any) -> None:
            came.append(time.monotonic())
            if len(came) == 1:
                late.__enter__()
                await hang_up(seen, reader, writer)
            else:
                writer.write(answer())

        servers = [await self.stand_in(play), await self.stand_in(play)]
        late = LateConnects(*servers)
        node = await self.node(*servers, tracks=[KEYED], bounds=BOUNDS)
        caller = await node.caller()
        caller.send("keyed", b"x", "2900m")
        await until(lambda: late.point.reached.is_set())
        await asyncio.sleep(connects_after)
        late.point.go.set()
        status, _ = await caller.answer()
        late.__exit__()
        return status, [at - came[0] for at in came]

    async def test_not_behind_a_connection_that_comes_up_after_it(self) -> None:
        status, came = await self.played(WINDOW + 0.1)
        self.assertEqual(len(came), 1, came)
        self.assertNotEqual(status, 200)

    async def test_but_behind_one_that_comes_up_within_it(self) -> None:
        status, came = await self.played(WINDOW / 4)
        self.assertEqual((status, len(came)), (200, 2))
        self.assertLess(came[1], WINDOW)
