"""Limits the memory of connections, requests and messages, and decides who gets some and who waits.

A node over its memory limit is killed by the platform, and all requests in progress are lost. What a node may
use beyond its start is therefore divided beforehand (`plan_memory`): into a number of connections, a number
of requests in progress, and a budget in bytes for what messages hold beyond that. A message reserves memory
before its bytes are read. If none is left, it waits in the order of arrival; its connection is not read
meanwhile, so its sender is held back by the network.

`docs/memory.md` lists what each state of a connection holds. There is no I/O here: the event loop's side is
coraldeal/net/memory.py.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB
# Bytes that an open connection holds: its socket, parser, timers and a small head.
CONNECTION_BYTES = 6 * KIB
# Bytes that a request in progress holds beyond its connections: its tasks, its head, and what is buffered of
# its answer before memory is reserved.
REQUEST_BYTES = 12 * KIB
# Bytes that the forwarding of one large message at full speed takes at most: what has been read and not been
# written yet, the piece being written, and the beginning that is kept.
TRANSFER_BYTES = 256 * KIB
# The same for a message that is forwarded in small pieces because memory is short.
SMALL_TRANSFER_BYTES = 20 * KIB
# A body and an answer of up to this many bytes need no reservation.
SMALL_BODY_BYTES = 2 * KIB
SMALL_ANSWER_BYTES = 4 * KIB
# A buffered body is held once for further attempts and once as the message being written.
BUFFERED_BODY_COPIES = 2
# Bytes that a head holds, raw and parsed: for each of its bytes, for each of its lines, and besides.
HEAD_BYTE_COPIES = 3
HEAD_LINE_BYTES = 240
HEAD_BASE_BYTES = 600
# What the heads of a connection may hold without a reservation.
SMALL_HEAD_BYTES = 6 * KIB
# The fraction of the budget of messages that each kind may take; together they may take all of it.
HEAD_FRACTION = 1 / 4
BODY_FRACTION = 3 / 4
ANSWER_FRACTION = 3 / 4
# While no more than this fraction of the budget is reserved, messages are forwarded at full speed.
SPARE_FRACTION = 1 / 4
# The fraction of the memory limit that is set aside for fragmentation and everything else.
HEADROOM_FRACTION = 1 / 20
# The fractions of what is available that connections and requests in progress may take.
CONNECTIONS_FRACTION = 1 / 2
REQUESTS_FRACTION = 1 / 4
# Where file pages leave no more than this fraction of the memory limit, they are not counted: the system can
# drop them.
FILE_PAGES_FRACTION = 3 / 16
# The least fraction of the memory limit that is planned with, whatever the process holds.
MIN_AVAILABLE_FRACTION = 1 / 16


@dataclass(frozen=True, slots=True)
class ProcessSize:
    """What a process holds, in bytes: all of it, and without the pages of files."""

    resident: int
    private: int


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How many connections and requests in progress fit, and the bytes that messages may hold beyond them."""

    connections: int
    requests: int
    message_bytes: int


def plan_memory(memory_bytes: int, process: ProcessSize, descriptors: int) -> MemoryPlan:
    """Divide what the memory limit leaves to connections, requests and messages.

    `memory_bytes` is the limit of the process, `process` what the process held before the first request, and
    `descriptors` how many it may use.
    """
    headroom = int(memory_bytes * HEADROOM_FRACTION)
    without_file_pages = min(
        memory_bytes - process.private - headroom, int(memory_bytes * FILE_PAGES_FRACTION)
    )
    available = max(
        memory_bytes - process.resident - headroom,
        without_file_pages,
        int(memory_bytes * MIN_AVAILABLE_FRACTION),
    )
    connections = min(descriptors, int(available * CONNECTIONS_FRACTION) // CONNECTION_BYTES)
    # A request takes two connections.
    requests = min(connections // 2, int(available * REQUESTS_FRACTION) // REQUEST_BYTES)
    return MemoryPlan(
        connections, requests, available - connections * CONNECTION_BYTES - requests * REQUEST_BYTES
    )


def body_reservation(length: int | None, largest_buffered: int) -> int:
    """Return how many bytes to reserve for a request body of this length (None: unknown).

    Bodies longer than `largest_buffered` are forwarded as they arrive.
    """
    if length is None or length > largest_buffered:
        return TRANSFER_BYTES
    return BUFFERED_BODY_COPIES * length if length > SMALL_BODY_BYTES else 0


def head_bytes(size: int, lines: int) -> int:
    """Return how many bytes of memory a head of this size and number of lines holds."""
    return HEAD_BASE_BYTES + HEAD_BYTE_COPIES * size + HEAD_LINE_BYTES * lines


class MessageKind(enum.IntEnum):
    """The kinds of messages that share the budget; the value is the index in lists by kind."""

    HEAD = 0
    BODY = 1
    ANSWER = 2


# By kind.
KIND_FRACTIONS = (HEAD_FRACTION, BODY_FRACTION, ANSWER_FRACTION)


class Claim:
    """A request for memory that waits until enough of it is released."""

    __slots__ = ("grant", "kind", "size")

    def __init__(self, kind: MessageKind, size: int, grant: Callable[[], None]) -> None:
        self.kind = kind
        self.size = size
        # Called when the memory has been reserved.
        self.grant = grant


class MemoryBudget:
    """The memory of messages in transit: a limit in bytes, what is reserved, and who waits for some."""

    def __init__(self, limit: int | None = None) -> None:
        # None: there is no limit.
        self.limit = limit
        self.reserved_by_kind = [0] * len(KIND_FRACTIONS)
        # Claims of each kind in the order in which they were made.
        self.queues: list[OrderedDict[Claim, None]] = [OrderedDict() for _ in KIND_FRACTIONS]

    @property
    def reserved(self) -> int:
        """The bytes reserved by all messages."""
        return sum(self.reserved_by_kind)

    @property
    def waiting(self) -> list[Claim]:
        """The claims that wait, by kind and then in their order."""
        return [claim for queue in self.queues for claim in queue]

    def is_exhausted(self, kind: MessageKind) -> bool:
        """Return whether no memory is left for another large message of this kind."""
        return bool(self.queues[kind]) or not self._fits(kind, SMALL_TRANSFER_BYTES)

    def set_limit(self, limit: int | None) -> None:
        """Replace the limit. What is reserved stays so, even if it is more."""
        self.limit = limit
        self._grant_waiting()

    def try_reserve(self, size: int, kind: MessageKind = MessageKind.BODY) -> bool:
        """Reserve `size` bytes if they are free and no earlier claim waits; return whether so."""
        if self.queues[kind] or not self._fits(kind, size):
            return False
        self.reserved_by_kind[kind] += size
        return True

    def reserve(self, size: int, kind: MessageKind) -> None:
        """Reserve `size` bytes that are held already, even over the limit."""
        self.reserved_by_kind[kind] += size

    def try_reserve_spare(self, size: int, kind: MessageKind = MessageKind.BODY) -> bool:
        """Reserve `size` bytes that a transfer can do without; return whether so much memory is left."""
        if self.limit is not None and (
            any(self.queues) or self.reserved + size > self.limit * SPARE_FRACTION
        ):
            return False
        self.reserved_by_kind[kind] += size
        return True

    def release(self, size: int, kind: MessageKind = MessageKind.BODY) -> None:
        """Return `size` reserved bytes, and grant waiting claims that fit now."""
        self.reserved_by_kind[kind] -= size
        self._grant_waiting()

    def claim(self, size: int, grant: Callable[[], None], kind: MessageKind = MessageKind.BODY) -> Claim:
        """Wait for `size` bytes; `grant` is called once they are reserved."""
        claim = Claim(kind, size, grant)
        self.queues[kind][claim] = None
        return claim

    def withdraw(self, claim: Claim) -> None:
        """Withdraw a claim that still waits; a claim that was granted is not affected."""
        queue = self.queues[claim.kind]
        if claim in queue:
            del queue[claim]
            # Smaller claims may have waited behind it.
            self._grant_waiting()

    def _fits(self, kind: MessageKind, size: int) -> bool:
        reserved = self.reserved_by_kind[kind]
        # With nothing reserved even a claim over the limit is granted, or it would never be.
        if self.limit is None or reserved == 0:
            return True
        return reserved + size <= self.limit * KIND_FRACTIONS[kind] and self.reserved + size <= self.limit

    def _grant_waiting(self) -> None:
        for queue in self.queues:
            while queue:
                claim = next(iter(queue))
                if not self._fits(claim.kind, claim.size):
                    break
                del queue[claim]
                self.reserved_by_kind[claim.kind] += claim.size
                claim.grant()
