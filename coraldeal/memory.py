"""Limits the memory of messages in transit: who gets some, who waits, and how much a message takes.

A node over its memory limit is killed by the platform, and all requests in progress are lost. A message that
is forwarded as it arrives needs a bounded amount of memory, so a node can hold only so many of them. Each
request reserves memory before its body is read. If none is left, the request waits in the order of arrival;
its connection is not read meanwhile, so its sender is held back by the network.

There is no I/O here: the event loop's side is coraldeal/net/memory.py.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

MIB = 1024 * 1024
# Bytes that the forwarding of one large message takes at most: what has been read and not been written yet,
# the piece being written, and the objects of its two connections.
TRANSFER_BYTES = 224 * 1024
# A body of up to this many bytes needs no reservation; the headroom covers it.
SMALL_BODY_BYTES = 16 * 1024
# A buffered body is held once for further attempts and once as the message being written.
BUFFERED_BODY_COPIES = 2
# Bytes set aside for each descriptor that the node may use: connections, their parsers and small messages.
BYTES_PER_DESCRIPTOR = 16 * 1024
# The fraction of the budget that request bodies may take; the rest is kept for answers.
BODY_FRACTION = 3 / 4
# While no more than this fraction of the budget is reserved, a transfer may read ahead of its receiver.
SPARE_FRACTION = 1 / 4
# The fraction of the memory limit that is set aside for everything else.
HEADROOM_FRACTION = 1 / 16
# The least fraction of the memory limit that is available to messages in transit.
MIN_BUDGET_FRACTION = 1 / 16


def message_budget(memory_bytes: int, process_bytes: int, descriptors: int) -> int:
    """Return how many bytes of memory messages in transit may take.

    `memory_bytes` is the limit of the process, `process_bytes` what the process held before the first
    request, and `descriptors` how many it may use.
    """
    headroom = int(memory_bytes * HEADROOM_FRACTION) + descriptors * BYTES_PER_DESCRIPTOR
    return max(memory_bytes - process_bytes - headroom, int(memory_bytes * MIN_BUDGET_FRACTION))


def body_reservation(length: int | None, largest_buffered: int) -> int:
    """Return how many bytes to reserve for a request body of this length (None: unknown).

    Bodies longer than `largest_buffered` are forwarded as they arrive.
    """
    if length is None or length > largest_buffered:
        return TRANSFER_BYTES
    return BUFFERED_BODY_COPIES * length if length > SMALL_BODY_BYTES else 0


class Claim:
    """A request for memory that waits until enough of it is released."""

    __slots__ = ("grant", "size")

    def __init__(self, size: int, grant: Callable[[], None]) -> None:
        self.size = size
        # Called when the memory has been reserved.
        self.grant = grant


class MemoryBudget:
    """The memory of messages in transit: a limit in bytes, what is reserved, and who waits for some."""

    def __init__(self, limit: int | None = None) -> None:
        # None: there is no limit.
        self.limit = limit
        self.reserved = 0
        # Claims in the order in which they were made.
        self.waiting: OrderedDict[Claim, None] = OrderedDict()

    @property
    def is_exhausted(self) -> bool:
        """Whether no memory is left for another large answer."""
        return self.limit is not None and self.reserved + TRANSFER_BYTES > self.limit and self.reserved > 0

    def set_limit(self, limit: int | None) -> None:
        """Replace the limit. What is reserved stays so, even if it is more."""
        self.limit = limit
        self._grant_waiting()

    def try_reserve(self, size: int) -> bool:
        """Reserve `size` bytes for a body if they are free and no earlier claim waits; return whether so."""
        if self.waiting or not self._fits(size):
            return False
        self.reserved += size
        return True

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes for an answer, which can't wait: even over the limit."""
        self.reserved += size

    def try_reserve_spare(self, size: int) -> bool:
        """Reserve `size` bytes that a transfer can do without; return whether so much memory is left."""
        if self.waiting or (self.limit is not None and self.reserved + size > self.limit * SPARE_FRACTION):
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes, and grant waiting claims that fit now."""
        self.reserved -= size
        self._grant_waiting()

    def claim(self, size: int, grant: Callable[[], None]) -> Claim:
        """Wait for `size` bytes for a body; `grant` is called once they are reserved."""
        claim = Claim(size, grant)
        self.waiting[claim] = None
        return claim

    def withdraw(self, claim: Claim) -> None:
        """Withdraw a claim that still waits; a claim that was granted is not affected."""
        if claim in self.waiting:
            del self.waiting[claim]
            # Smaller claims may have waited behind it.
            self._grant_waiting()

    def _fits(self, size: int) -> bool:
        # With nothing reserved even a claim over the limit is granted, or it would never be.
        if self.limit is None or self.reserved == 0:
            return True
        return self.reserved + size <= self.limit * BODY_FRACTION

    def _grant_waiting(self) -> None:
        while self.waiting:
            claim = next(iter(self.waiting))
            if not self._fits(claim.size):
                return
            del self.waiting[claim]
            self.reserved += claim.size
            claim.grant()
