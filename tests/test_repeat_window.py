"""A request that is idempotent by its key is retried only while servers remember the key.

Guards against a retry that waits for its connection until the deduplication window is over: the request would
run twice.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tests.standins import SETTINGS, LateConnects, Message, NodeCase, answer, hang_up, until

SECOND_NS = 10**9
# Seconds for which servers remember a request's key.
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
    async def play(self, connects_after: float) -> tuple[int, list[float]]:
        """Reset the first attempt, and establish the second one's connection after `connects_after` seconds.

        Returns the status of the answer, and when each attempt arrived, in seconds after the first.
        """
        arrivals: list[float] = []

        async def answer_second(seen: Message, reader: Any, writer: Any) -> None:
            arrivals.append(time.monotonic())
            if len(arrivals) == 1:
                late_connects.__enter__()
                await hang_up(seen, reader, writer)
            else:
                writer.write(answer())

        servers = [await self.stand_in(answer_second), await self.stand_in(answer_second)]
        late_connects = LateConnects(*servers)
        node = await self.node(*servers, tracks=[KEYED], bounds=BOUNDS)
        caller = await node.caller()
        caller.send("keyed", b"x", "2900m")
        await until(lambda: late_connects.point.reached.is_set())
        await asyncio.sleep(connects_after)
        late_connects.point.go.set()
        status, _ = await caller.answer()
        late_connects.__exit__()
        return status, [arrived_at - arrivals[0] for arrived_at in arrivals]

    async def test_connection_established_after_the_window_carries_no_retry(self) -> None:
        status, arrivals = await self.play(WINDOW + 0.1)
        self.assertEqual(len(arrivals), 1, arrivals)
        self.assertNotEqual(status, 200)

    async def test_connection_established_within_the_window_carries_the_retry(self) -> None:
        status, arrivals = await self.play(WINDOW / 4)
        self.assertEqual((status, len(arrivals)), (200, 2))
        self.assertLess(arrivals[1], WINDOW)
