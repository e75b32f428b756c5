"""The event loop's side of the memory budget: waits for memory, and the process's own size."""

from __future__ import annotations

import asyncio
import os
from collections import OrderedDict
from collections.abc import Callable

from coraldeal.memory import MemoryBudget, MessageKind, ProcessSize

MESSAGE_KINDS = tuple(MessageKind)
# Seconds between two checks of those that wait, and how many are checked in one turn of the event loop.
WAIT_CHECK_INTERVAL = 0.1
MAX_CHECKS_PER_TURN = 200


def process_size() -> ProcessSize:
    """Return the memory that this process holds now; nothing where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            _, resident, shared, *_ = (int(field) for field in file.read().split())
        page_bytes = os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return ProcessSize(0, 0)
    return ProcessSize(resident * page_bytes, (resident - shared) * page_bytes)


class MemoryWaits:
    """Those that wait for memory. One timer checks whether they may still wait, some of them in each turn."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        # The result of each wait, and whether it may go on; the one checked longest ago comes first.
        self.waiting: OrderedDict[asyncio.Future[bool], Callable[[], bool]] = OrderedDict()
        self.timer: asyncio.TimerHandle | None = None

    async def wait(
        self, size: int, kind: MessageKind, may_wait: Callable[[], bool], on_grant: Callable[[], None]
    ) -> bool:
        """Wait until `size` bytes are reserved; return False if they were not free while `may_wait` was true.

        `on_grant` is called as soon as they are reserved, also if the waiting task is cancelled meanwhile.
        """
        if not may_wait():
            return False
        loop = asyncio.get_running_loop()
        result: asyncio.Future[bool] = loop.create_future()

        def grant() -> None:
            on_grant()
            if not result.done():
                result.set_result(True)

        claim = self.budget.claim(size, grant, kind)
        self.waiting[result] = may_wait
        if self.timer is None:
            self.timer = loop.call_later(WAIT_CHECK_INTERVAL, self._check)
        try:
            return await result
        finally:
            self.waiting.pop(result, None)
            self.budget.withdraw(claim)

    def _check(self) -> None:
        self.timer = None
        for _ in range(min(MAX_CHECKS_PER_TURN, len(self.waiting))):
            result, may_wait = self.waiting.popitem(last=False)
            if result.done() or may_wait():
                self.waiting[result] = may_wait
            else:
                result.set_result(False)
        if self.waiting:
            self.timer = asyncio.get_running_loop().call_later(WAIT_CHECK_INTERVAL, self._check)


class Reservation:
    """The memory that one request has reserved for its body and its answer."""

    __slots__ = ("is_closed", "sizes", "waits")

    def __init__(self, waits: MemoryWaits) -> None:
        self.waits = waits
        # The bytes reserved, by kind.
        self.sizes = [0] * len(MESSAGE_KINDS)
        # Set at the request's end. An attempt that outlives its request reserves nothing more.
        self.is_closed = False

    def try_add(self, size: int, kind: MessageKind) -> bool:
        """Reserve `size` further bytes if they are free; return whether so."""
        if self.is_closed or not self.waits.budget.try_reserve(size, kind):
            return False
        self.sizes[kind] += size
        return True

    def try_add_spare(self, size: int, kind: MessageKind) -> bool:
        """Reserve `size` further bytes if memory is plentiful; return whether it is."""
        if self.is_closed or not self.waits.budget.try_reserve_spare(size, kind):
            return False
        self.sizes[kind] += size
        return True

    async def wait_for(self, size: int, kind: MessageKind, may_wait: Callable[[], bool]) -> bool:
        """Reserve `size` further bytes; return False if they were not free while `may_wait` was true."""
        if self.is_closed:
            return False
        if self.try_add(size, kind):
            return True

        def count() -> None:
            if self.is_closed:
                self.waits.budget.release(size, kind)
            else:
                self.sizes[kind] += size

        return await self.waits.wait(size, kind, may_wait, count)

    def reduce_to(self, size: int, kind: MessageKind) -> None:
        """Return what was reserved for messages of this kind beyond `size` bytes."""
        surplus = self.sizes[kind] - size
        if surplus > 0:
            self.sizes[kind] = size
            self.waits.budget.release(surplus, kind)

    def release(self, kind: MessageKind) -> None:
        """Return what was reserved for messages of this kind."""
        size, self.sizes[kind] = self.sizes[kind], 0
        if size:
            self.waits.budget.release(size, kind)

    def close(self) -> None:
        """Return all that was reserved; nothing can be reserved from now on."""
        self.is_closed = True
        if any(self.sizes):
            for kind in MESSAGE_KINDS:
                self.release(kind)
