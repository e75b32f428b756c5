"""Code common to the processes of a scale run: a job in a file, orders on stdin, ready messages on stdout."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

import msgspec

from coraldeal.rig.clock import now_us, own_cpu_s, sleep_until
from coraldeal.rig.scale.records import Order, ReadyMessage

# The interval at which the delay of the event loop is measured, in seconds.
LATENESS_INTERVAL = 0.05


class Process:
    """The side of a process that talks to the run.

    Orders arrive as lines. The end of the input counts as an order to stop, so that no process outlives its
    run.
    """

    def __init__(self, orders: asyncio.StreamReader) -> None:
        self.orders = orders
        # Processor time of this process at the start of the timeline, in seconds.
        self.cpu_s_at_start = 0.0
        # The longest delay of the event loop since then.
        self.late_us = 0
        self.lateness_task: asyncio.Task[None] | None = None

    async def read_order(self) -> Order:
        """Wait for the next order and return it."""
        line = await self.orders.readline()
        return msgspec.json.decode(line, type=Order) if line.strip() else Order(stop=True)

    def send_ready(self, message: ReadyMessage) -> None:
        """Report to the run that this process is ready."""
        sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
        sys.stdout.buffer.flush()

    async def wait_for_start(self, order: Order) -> None:
        """Wait for the order's start time; processor time and delays are counted from there."""
        await sleep_until(order.begin_us)
        self.cpu_s_at_start = own_cpu_s()
        self.lateness_task = asyncio.create_task(self._watch_lateness())

    def cpu_s(self) -> float:
        """Processor time since the start, in seconds."""
        return own_cpu_s() - self.cpu_s_at_start

    async def _watch_lateness(self) -> None:
        while True:
            scheduled_us = now_us() + int(LATENESS_INTERVAL * 1e6)
            await asyncio.sleep(LATENESS_INTERVAL)
            self.late_us = max(self.late_us, now_us() - scheduled_us)


def start(main: Coroutine[Any, Any, None]) -> None:
    """Run the main coroutine of a process."""
    asyncio.run(main)


async def open_orders() -> asyncio.StreamReader:
    """Open stdin as a stream of orders."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader
