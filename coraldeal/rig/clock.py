"""The rig's clock and an event loop whose timers are not rounded up to milliseconds."""

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
    """Monotonic, whole microseconds, one clock for all processes of the machine."""
    return time.monotonic_ns() // 1000


async def sleep_until(at_us: int) -> None:
    """Until this time of the rig's clock; not at all where it has gone by."""
    while (now := now_us()) < at_us:
        await asyncio.sleep((at_us - now) / 1e6)


def own_cpu_s() -> float:
    """CPU seconds that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


class _Precise(selectors.EpollSelector):
    """epoll waits in whole milliseconds, rounded up: an answer due in 5.0 ms would go out after 5.6.

    The epoll descriptor is waited for with select, whose time-out is in microseconds.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            select.select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """As asyncio.run, with precise timers where the system has epoll.

    The collector is off: books hold millions of rows, and its pauses of 0.3 s were taken for the program's. A
    process of the rig ends with its run; what cycles hold until then is little.
    """
    gc.disable()
    if not hasattr(select, "epoll"):
        return asyncio.run(main)
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(_Precise())) as runner:
        return runner.run(main)
