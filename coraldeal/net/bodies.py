"""Bodies too large to be kept whole: the rest of a caller's, and one rule for all who are slow."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.streams import StreamReader

from coraldeal.net.wire import MAX_BUFFERED_BODY, InvalidRequestError

# Whoever sends or takes may be silent for so many seconds, and must keep up so many bytes a second on top.
GRACE = 2.0
SLOWEST = 32_000
# The same grace for an answer that is not known to be large, once its caller's time is over.
LATE_GRACE = 0.4
# The same for those who take. The system keeps up to some MB for a slow taker and tells only when a third of
# that is free again: at twice the pace above that is a silence of more than ten seconds.
TAKER_GRACE = 30.0
# What a body may hold in all, and what is kept of one so that a further attempt is possible: so much, or the
# lesser figure where all that is kept together has reached its bound. A larger one is passed on as it comes.
BODY_LARGEST = 64 * 1024 * 1024
KEPT_MOST = 1024 * 1024
KEPT_ALL = 4 * 1024 * 1024

# Bytes taken from a connection in one turn of the loop: the loop's own 256 KiB, several times over for each
# transfer, would make fifty of them hold 60 MB, and turns long.
AT_ONCE = 64 * 1024

T = TypeVar("T")


class Progress:
    """How far one side has come, and until when it must have come further; waits for others don't count."""

    __slots__ = ("began", "done", "grace", "last")

    def __init__(self, grace: float | None = None) -> None:
        self.grace = GRACE if grace is None else grace
        self.began = self.last = asyncio.get_running_loop().time()
        self.done = 0

    async def within(self, step: Awaitable[T], size: int = 0) -> T:
        """The next step, of so many bytes where that is known; TimeoutError where it is too slow."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.began += now - self.last
        self.done += size
        silent = now + self.grace + size / SLOWEST
        async with asyncio.timeout_at(min(silent, self.began + self.grace + self.done / SLOWEST)):
            result = await step
        self.last = loop.time()
        return result


class Due:
    """Until when an answer that is passed on as it comes must be whole.

    Its caller's time bounds it, or one that dribbles would never end. One that still goes on then is not cut
    off, but has to keep up the pace of all who are slow; until it is seen to be large its grace is short, so
    that what never ends is ended within the half second that a late answer has.
    """

    __slots__ = ("at", "late", "passed", "told")

    def __init__(self, at: float, told: int | None, passed: int) -> None:
        # By the loop's clock.
        self.at = at
        # Bytes of its body: as many as it says that it has, and as have come.
        self.told = told or 0
        self.passed = passed
        # How it has come on since its caller's time was over; None: that is not over.
        self.late: Progress | None = None

    async def within(self, read: Callable[[], Awaitable[bytes]]) -> bytes:
        """The next piece; TimeoutError where it is too late for it."""
        if self.late is None:
            try:
                async with asyncio.timeout_at(self.at):
                    piece = await read()
                self.passed += len(piece)
                return piece
            except TimeoutError:
                self.late = Progress()
        self.late.grace = GRACE if max(self.told, self.passed) > MAX_BUFFERED_BODY else LATE_GRACE
        try:
            piece = await self.late.within(read())
        except TimeoutError:
            raise TimeoutError("it was not whole in its caller's time, and its server is too slow") from None
        self.late.done += len(piece)
        self.passed += len(piece)
        return piece


def end_by_reset(transport: asyncio.BaseTransport | None, on: bool) -> None:
    """Whether a close of this connection is a reset, which nobody takes for the end of a whole answer."""
    near = None if transport is None else transport.get_extra_info("socket")
    if near is not None and near.fileno() >= 0:
        near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", on, 0))


def read_little(transport: asyncio.BaseTransport) -> None:
    """Have the loop take no more at once from this connection than `AT_ONCE`."""
    # The selector loop's own attribute; another loop's transport may be without it.
    if hasattr(transport, "max_size"):
        transport.max_size = AT_ONCE


class Body:
    """What is still to come of a caller's body, behind the part that was kept."""

    __slots__ = ("begun", "content", "fault", "passed", "progress", "read_in_all")

    def __init__(self, content: StreamReader, kept: int, progress: Progress) -> None:
        self.content = content
        self.progress = progress
        self.read_in_all = kept
        # Whether some of it was passed on: then no further attempt can carry the whole.
        self.begun = False
        # Whether its last byte was handed to a server's connection.
        self.passed = False
        # Why it ended early, where that is the caller's doing.
        self.fault: InvalidRequestError | None = None

    async def read(self) -> bytes:
        """The next piece, empty at the end; InvalidRequestError: the caller is too slow or breaks off."""
        self.begun = True
        try:
            piece = await next_piece(self.content, self.progress)
        except InvalidRequestError as bad:
            self.fault = bad
            raise
        except ConnectionError:
            # Taken for a server's end of the connection, this would be held against that server.
            self.fault = InvalidRequestError(400, "its caller has gone")
            raise self.fault from None
        self.read_in_all += len(piece)
        if self.read_in_all > BODY_LARGEST:
            self.fault = InvalidRequestError(413, f"the body is longer than {BODY_LARGEST} bytes")
            raise self.fault
        return piece


async def next_piece(content: StreamReader, progress: Progress) -> bytes:
    """What came next of a body, empty at its end; InvalidRequestError: too slow or unreadable."""
    try:
        piece = await progress.within(content.readany())
    except TimeoutError:
        raise InvalidRequestError(408, "the body did not come in time") from None
    except (web.RequestPayloadError, HttpProcessingError):
        raise InvalidRequestError(400, "the body can't be read") from None
    progress.done += len(piece)
    return piece
