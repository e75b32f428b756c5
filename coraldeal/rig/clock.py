"""The rig's clock, and an event loop whose timers are not rounded up to milliseconds."""

from __future__ import annotations

import asyncio
import gc
import resource
import select
import selectors
import time
from collections.abc import Coroutine
from typing import Any


def now_us() -> int:
    """Return the monotonic time in whole microseconds; all processes of the machine share this clock."""
    return time.monotonic_ns() // 1000


async def sleep_until(at_us: int) -> None:
    """Sleep until this time of the rig's clock; return at once if the time has passed."""
    while (now := now_us()) < at_us:
        await asyncio.sleep((at_us - now) / 1e6)


def own_cpu_s() -> float:
    """Return the CPU seconds, user and system, that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class _PreciseSelector(selectors.EpollSelector):
    """An epoll selector with time-outs in microseconds.

    epoll waits in whole milliseconds, rounded up: an answer scheduled for 5.0 ms would go out after 5.6 ms.
    This class waits for the epoll descriptor with select, whose time-out is in microseconds.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine as asyncio.run does, with precise timers where the system has epoll.

    The garbage collector is switched off: a run keeps millions of records, and collector pauses of 0.3 s were
    mistaken for delays of the program under test. A process of the rig ends with its run, so the memory that
    reference cycles keep until then is small.
    """
    gc.disable()
    if not hasattr(select, "epoll"):
        return asyncio.run(main)
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(_PreciseSelector())) as runner:
        return runner.run(main)
