"""What the processes of a scale run have in common: a job in a file, orders on stdin, lines on stdout."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

import msgspec

from coraldeal.rig.clock import now_us, own_cpu_s, sleep_until
from coraldeal.rig.scale.books import Order, Told

LOOK_EVERY = 0.05


class Process:
    """Orders come as lines; the end of the input is an order to stop, so that none outlives its run."""

    def __init__(self, orders: asyncio.StreamReader) -> None:
        self.orders = orders
        self.used = 0.0
        self.late_us = 0
        self.lateness: asyncio.Task[None] | None = None

    async def order(self) -> Order:
        line = await self.orders.readline()
        return msgspec.json.decode(line, type=Order) if line.strip() else Order(stop=True)

    def tell(self, told: Told) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
        sys.stdout.buffer.flush()

    async def begun(self, order: Order) -> None:
        """Wait for the begin; what is used of the processor counts from there."""
        await sleep_until(order.begin_us)
        self.used = own_cpu_s()
        self.lateness = asyncio.create_task(self._watch_lateness())

    def cpu_s(self) -> float:
        return own_cpu_s() - self.used

    async def _watch_lateness(self) -> None:
        while True:
            due = now_us() + int(LOOK_EVERY * 1e6)
            await asyncio.sleep(LOOK_EVERY)
            self.late_us = max(self.late_us, now_us() - due)


def start(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(main)


async def orders() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader
