"""The rig's clock and an event loop whose timers are not rounded up to milliseconds."""

from __future__ import annotations

import asyncio
import gc
import select
import selectors
import time
from collections.abc import Coroutine
from typing import Any


def now_us() -> int:
    """Monotonic, whole microseconds, one clock for all processes of the machine."""
    return time.monotonic_ns() // 1000


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

    The collector is frozen and run seldom: its pauses would be taken for the program's.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 1000)
    if not hasattr(select, "epoll"):
        return asyncio.run(main)
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(_Precise())) as runner:
        return runner.run(main)
