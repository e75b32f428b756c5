"""Bodies that are too large to buffer, and the minimum transfer rate of callers and servers."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.streams import StreamReader

from coraldeal.net.arrival import BodyArrival
from coraldeal.net.unread import has_disconnected
from coraldeal.net.wire import STREAMING_THRESHOLD, InvalidRequestError

# A sender or receiver may pause for this many seconds, and must transfer this many bytes a second beyond
# that allowance.
GRACE_SECONDS = 2.0
MIN_BYTES_PER_SECOND = 32_000
# The same for an answer once its caller's deadline has passed: its server may be slower than any caller.
MIN_ANSWER_BYTES_PER_SECOND = 8_000
# The grace, in seconds, of an answer that is not known to be large, once its caller's deadline has passed.
LATE_GRACE_SECONDS = 0.45
# The grace, in seconds, of a receiver. The system buffers up to some MB for a slow receiver and reports space
# only when a third of that is free again: a receiver at twice the minimum rate then seems to pause for more
# than ten seconds.
RECEIVER_GRACE_SECONDS = 30.0
# The largest body, in bytes: a request with a larger one gets 413, an answer that declares a larger one is
# malformed.
MAX_BODY_BYTES = 64 * 1024 * 1024
# How many bytes of one body are buffered so that a further attempt can send it again. A larger body is
# streamed to the server. While all buffered bodies together hold more than the limits allow, a body is
# streamed as soon as it exceeds the size that is always buffered (see wire.py).
MAX_BUFFERED_BODY = 1024 * 1024

# Bytes read from a connection in one turn of the event loop; the loop's default is 256 KiB.
MAX_READ_BYTES = 64 * 1024
# The same for a connection for which no memory is reserved, or little.
MIN_READ_BYTES = 4 * 1024
# From how many unconsumed bytes of a body or an answer on its connection is not read any more; the read that
# exceeds them is the last. aiohttp's default for a caller's connection is 512 KiB. The first is for a
# connection for which no memory is reserved, or little.
MIN_WAITING_BYTES = 8 * 1024
MAX_WAITING_BYTES = 64 * 1024
# How many unconsumed bytes of a body and of an answer are read ahead where memory is plentiful. The more of a
# body is read, the sooner its caller's close behind it is seen.
READ_AHEAD_BODY_BYTES = 640 * 1024
READ_AHEAD_ANSWER_BYTES = 128 * 1024
# How many bytes of an answer wait to be written before its receiver counts as slower than its server, where
# memory is plentiful and where it is short.
MAX_UNWRITTEN_BYTES = 16 * 1024
MIN_UNWRITTEN_BYTES = 4 * 1024
# What the system buffers of an answer for a caller where memory is short.
SMALL_SEND_BUFFER_BYTES = 64 * 1024
# How many bytes of a body are kept for further attempts where memory is short.
SMALL_BEGINNING_BYTES = 4 * 1024

# The fraction of a request's time, counted from the arrival of its last byte, by which its body has to be
# forwarded: the caller gets its answer while it still waits.
FORWARDING_FRACTION = 0.9
# Seconds before the node's last answer by which a body has to be forwarded.
FORWARDING_END_MARGIN = 0.1

T = TypeVar("T")


class Progress:
    """Checks that one side of a transfer keeps the minimum rate. Waits for others don't count."""

    __slots__ = ("bytes_done", "grace", "last_step_at", "min_rate", "started_at")

    def __init__(self, grace: float | None = None, min_rate: float = MIN_BYTES_PER_SECOND) -> None:
        self.grace = GRACE_SECONDS if grace is None else grace
        # In bytes a second.
        self.min_rate = min_rate
        # The start is moved forward by all waits for others. Both times are the event loop's, in seconds.
        self.started_at = self.last_step_at = asyncio.get_running_loop().time()
        self.bytes_done = 0

    async def wait_for(self, step: Awaitable[T], size: int = 0) -> T:
        """Return the result of the next step, which transfers `size` bytes if that is known beforehand.

        Raises TimeoutError if the step, or the transfer so far, is below the minimum rate.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.started_at += now - self.last_step_at
        self.bytes_done += size
        step_deadline = now + self.grace + size / self.min_rate
        async with asyncio.timeout_at(
            min(step_deadline, self.started_at + self.grace + self.bytes_done / self.min_rate)
        ):
            result = await step
        self.last_step_at = loop.time()
        return result


class AnswerDeadline:
    """The time limit of an answer that is streamed to its caller.

    The caller's deadline is the limit, or an answer that trickles would never end. An answer that is still
    being received at the deadline is not cut off, but has to keep the minimum rate. Until it is seen to be
    large its grace is short, so that an endless answer ends within the half second that a late answer has.
    """

    __slots__ = ("bytes_received", "content_length", "deadline", "late_progress")

    def __init__(self, deadline: float, content_length: int | None, bytes_received: int) -> None:
        # The caller's deadline, in seconds of the event loop's clock.
        self.deadline = deadline
        # The declared length of the body (0: unknown) and the bytes of it received so far.
        self.content_length = content_length or 0
        self.bytes_received = bytes_received
        # The progress since the deadline; None before the deadline.
        self.late_progress: Progress | None = None

    async def wait_for(self, read: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return the next piece; raises TimeoutError if it does not arrive in time."""
        if self.late_progress is None:
            try:
                async with asyncio.timeout_at(self.deadline):
                    piece = await read()
                self.bytes_received += len(piece)
                return piece
            except TimeoutError:
                self.late_progress = Progress(min_rate=MIN_ANSWER_BYTES_PER_SECOND)
        self.late_progress.grace = (
            GRACE_SECONDS
            if max(self.content_length, self.bytes_received) > STREAMING_THRESHOLD
            else LATE_GRACE_SECONDS
        )
        try:
            piece = await self.late_progress.wait_for(read())
        except TimeoutError:
            raise TimeoutError("it was not whole in its caller's time, and its server is too slow") from None
        self.late_progress.bytes_done += len(piece)
        self.bytes_received += len(piece)
        return piece


def set_reset_on_close(transport: asyncio.BaseTransport | None, enabled: bool) -> None:
    """Set whether closing this connection sends a reset, which no client takes for the end of an answer."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0))


def limit_read_ahead(content: StreamReader, max_bytes: int) -> None:
    """Have a connection read on until `max_bytes` of this body or answer wait to be consumed."""
    content._low_water, content._high_water = max_bytes // 2, max_bytes


def limit_send_buffer(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Limit what the system buffers for the receiver of a connection, which by default grows to some MB."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes)


def limit_read_size(transport: asyncio.BaseTransport, max_bytes: int = MAX_READ_BYTES) -> None:
    """Limit what the event loop reads from this connection at once to `max_bytes`."""
    # An attribute of the selector event loop's transports; those of other loops may lack it.
    if hasattr(transport, "max_size"):
        transport.max_size = max_bytes


class StreamedBody:
    """A caller's body that is streamed to the server: its buffered beginning, and the rest."""

    __slots__ = (
        "answer_at_latest",
        "arrival",
        "beginning",
        "bytes_read",
        "caller_error",
        "content",
        "is_sent",
        "is_started",
        "progress",
        "time_left",
    )

    def __init__(
        self, content: StreamReader, beginning: bytes, progress: Progress, arrival: BodyArrival
    ) -> None:
        self.content = content
        self.progress = progress
        self.arrival = arrival
        # How many seconds after its last byte arrived the request has to be answered, and by when, in seconds
        # of the event loop's clock, in any case.
        self.time_left = math.inf
        self.answer_at_latest = math.inf
        # Kept for further attempts until some of the rest was read.
        self.beginning = beginning
        self.bytes_read = len(beginning)
        # Whether some of the rest was read for a server: no further attempt can send the complete body then.
        self.is_started = False
        # Whether the last byte was passed to a server's connection.
        self.is_sent = False
        # Why the body ended early, if the caller caused that.
        self.caller_error: InvalidRequestError | None = None

    def answer_by(self) -> float:
        """Return by when the request has to be answered, in seconds of the event loop's clock.

        Infinite as long as its last byte has not arrived, unless the node ends.
        """
        arrived_at = self.arrival.arrived_at()
        return min(self.answer_at_latest, math.inf if arrived_at is None else arrived_at + self.time_left)

    def forward_by(self) -> float:
        """Return by when the body has to be forwarded, by the same clock, or is given up."""
        arrived_at = self.arrival.arrived_at()
        by_arrival = math.inf if arrived_at is None else arrived_at + FORWARDING_FRACTION * self.time_left
        return min(self.answer_at_latest - FORWARDING_END_MARGIN, by_arrival)

    async def read(self) -> bytes:
        """Return the next piece, empty at the end.

        Raises InvalidRequestError if the caller is too slow, sends too much or disconnects.
        """
        self.is_started = True
        self.beginning = b""
        try:
            piece = await read_piece(self.content, self.progress)
        except InvalidRequestError as error:
            self.caller_error = error
            raise
        except ConnectionError:
            # As a ConnectionError it would be counted as a failure of the server.
            self.caller_error = InvalidRequestError(400, "its caller has gone")
            raise self.caller_error from None
        self.bytes_read += len(piece)
        if has_disconnected(self.arrival.transport):
            # Seen by the system only: the close lies behind bytes that were not read. A server must not get
            # the last byte of a request that nobody waits for.
            self.caller_error = InvalidRequestError(400, "its caller has gone")
            raise self.caller_error
        if self.bytes_read > MAX_BODY_BYTES:
            self.caller_error = InvalidRequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")
            raise self.caller_error
        return piece


async def read_some(content: StreamReader) -> bytes:
    """Return the next bytes of a body or an answer, empty at its end.

    They are at most what may wait to be consumed: aiohttp raises that to the number of bytes asked for.
    """
    low_water, _ = content.get_read_buffer_limits()
    return await content.read(min(MAX_READ_BYTES, low_water))


async def read_piece(content: StreamReader, progress: Progress) -> bytes:
    """Return the next piece of a body, empty at its end.

    Raises InvalidRequestError if it is too slow or malformed.
    """
    try:
        piece = await progress.wait_for(read_some(content))
    except TimeoutError:
        raise InvalidRequestError(408, "the body did not come in time") from None
    except (web.RequestPayloadError, HttpProcessingError):
        raise InvalidRequestError(400, "the body can't be read") from None
    progress.bytes_done += len(piece)
    return piece
