"""The event loop's side of the memory budget: waits for memory, and the process's own size."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from coraldeal.memory import MemoryBudget


def resident_bytes() -> int:
    """Return the memory that this process holds now; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


class Reservation:
    """The memory that one connection has reserved for its current request."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def add(self, size: int) -> None:
        """Reserve `size` further bytes, even over the limit."""
        self.budget.reserve(size)
        self.size += size

    def try_add_spare(self, size: int) -> bool:
        """Reserve `size` further bytes if memory is plentiful; return whether it is."""
        if not self.budget.try_reserve_spare(size):
            return False
        self.size += size
        return True

    async def wait_for(self, size: int, check_interval: float, may_wait: Callable[[], bool]) -> bool:
        """Reserve `size` further bytes; return False if they were not free while `may_wait` was true.

        `may_wait` is called every `check_interval` seconds.
        """
        if self.budget.try_reserve(size):
            self.size += size
            return True
        granted = asyncio.Event()

        def grant() -> None:
            # Counted here: a waiting task that is cancelled must not leak what it was granted.
            self.size += size
            granted.set()

        claim = self.budget.claim(size, grant)
        try:
            while not granted.is_set() and may_wait():
                try:
                    async with asyncio.timeout(check_interval):
                        await granted.wait()
                except TimeoutError:
                    continue
        finally:
            self.budget.withdraw(claim)
        return granted.is_set()

    def release(self) -> None:
        """Return all that was reserved."""
        size, self.size = self.size, 0
        if size:
            self.budget.release(size)
