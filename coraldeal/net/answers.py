"""Reads the answers of servers: whole, or as a stream that is passed on to the caller as it arrives."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from coraldeal.memory import SMALL_ANSWER_BYTES, SMALL_TRANSFER_BYTES, TRANSFER_BYTES, MessageKind
from coraldeal.net.bodies import (
    MAX_BODY_BYTES,
    MAX_WAITING_BYTES,
    MIN_READ_BYTES,
    MIN_WAITING_BYTES,
    READ_AHEAD_ANSWER_BYTES,
    limit_read_ahead,
    limit_read_size,
    read_some,
)
from coraldeal.net.wire import STREAMING_THRESHOLD, RawHeaders

if TYPE_CHECKING:
    from coraldeal.net.memory import Reservation
    from coraldeal.net.server_connection import Connection
    from coraldeal.net.servers import ServerPool

# Seconds for which an answer that may be large is buffered: from its head if it states a large length, else
# from the first bytes of its body until the first piece after this time. If it turns out to be malformed
# within it, the inquiry can be retried. Then it is streamed to the caller, which rules a retry out.
COMMIT_DELAY = 0.1
# Seconds before the end of an attempt's time from which on an answer that may be large is streamed: its
# caller has to get its beginning in time.
COMMIT_MARGIN = 0.05
# Seconds for which the body of an error is awaited, so that its connection can be reused.
DISCARD_SECONDS = 0.1
# A buffered answer is held once as it was read and once as it is written.
BUFFERED_ANSWER_COPIES = 2


class RawAnswer(NamedTuple):
    """A server's answer as it was read, with its body whole or as a stream."""

    status: int
    fields: Mapping[str, str]
    raw_fields: RawHeaders
    body: bytes = b""
    body_stream: AnswerStream | None = None


class MalformedAnswerError(Exception):
    """A server's answer can't be parsed, stalled, or was cut off."""


class AnswerStream:
    """An answer's body that is streamed to its caller; its receiver must close it.

    While memory is plentiful it is read in large pieces, ahead of its receiver; otherwise in small ones.
    """

    __slots__ = (
        "beginning",
        "connection",
        "has_read_ahead",
        "is_fast",
        "is_reserved",
        "length",
        "memory",
        "payload",
        "servers",
    )

    def __init__(
        self,
        servers: ServerPool,
        connection: Connection,
        beginning: bytes,
        payload: Any,
        length: int | None,
        memory: Reservation | None,
        is_reserved: bool,
        is_fast: bool,
    ) -> None:
        # What was read of the body before it was streamed.
        self.beginning = beginning
        self.servers = servers
        self.connection = connection
        self.payload = payload
        # The length of the answer's whole body in bytes; None: unknown.
        self.length = length
        self.memory = memory
        # Whether memory is reserved for the rest; it is not read before.
        self.is_reserved = is_reserved
        self.is_fast = is_fast
        self.has_read_ahead = False

    def take_beginning(self) -> bytes:
        """Return what was read of the body before it was streamed, and hold it no longer."""
        beginning, self.beginning = self.beginning, b""
        return beginning

    async def read(self) -> bytes:
        """Return the next piece behind the beginning, empty at the end; waits for memory before the first.

        Raises MalformedAnswerError if the server breaks off, or if the request has ended.
        """
        if not self.is_reserved:
            assert self.memory is not None
            size = SMALL_TRANSFER_BYTES
            self.is_reserved = await self.memory.wait_for(size, MessageKind.ANSWER, lambda: True)
            if not self.is_reserved:
                raise MalformedAnswerError("nobody waits for the answer any more")
        try:
            return await read_some(self.payload)
        except (OSError, aiohttp.ClientError, aiohttp.http.HttpProcessingError) as error:
            raise MalformedAnswerError(f"broken off: {error}") from None

    def adapt_to_memory(self) -> None:
        """Read in large pieces while memory is plentiful, in small ones while other answers wait for it."""
        if self.memory is None or self.memory.is_closed or not self.is_reserved:
            return
        budget = self.memory.waits.budget
        if not self.is_fast:
            self.is_fast = self.memory.try_add_spare(
                TRANSFER_BYTES - SMALL_TRANSFER_BYTES, MessageKind.ANSWER
            )
            if self.is_fast:
                read_fast(self.connection, self.payload)
        elif budget.queues[MessageKind.ANSWER]:
            self.is_fast = self.has_read_ahead = False
            read_slowly(self.connection, self.payload)
            self.memory.reduce_to(SMALL_TRANSFER_BYTES, MessageKind.ANSWER)
        elif not self.has_read_ahead:
            self.has_read_ahead = self.memory.try_add_spare(READ_AHEAD_ANSWER_BYTES, MessageKind.ANSWER)
            if self.has_read_ahead:
                limit_read_ahead(self.payload, READ_AHEAD_ANSWER_BYTES)

    def close(self) -> None:
        """Release the connection: it is reused if the answer was read to its end, otherwise closed."""
        self.servers.release(self.connection, has_answer=self.payload.is_eof())


def read_fast(connection: Connection, payload: Any) -> None:
    """Read an answer in large pieces."""
    limit_read_ahead(payload, MAX_WAITING_BYTES)
    if connection.transport is not None:
        limit_read_size(connection.transport)


def read_slowly(connection: Connection, payload: Any) -> None:
    """Read an answer in small pieces."""
    limit_read_ahead(payload, MIN_WAITING_BYTES)
    if connection.transport is not None:
        limit_read_size(connection.transport, MIN_READ_BYTES)


async def _read_any(payload: Any, until: float) -> bytes:
    """Return the next bytes of a body, empty at its end; raises TimeoutError if none come until then."""
    if until == math.inf:
        return bytes(await payload.readany())
    async with asyncio.timeout_at(until):
        return bytes(await payload.readany())


class AnswerReader:
    """Reads one answer, and reserves memory for it before more than a small beginning is read.

    Where no memory is left, the beginning is streamed to the caller, and the rest waits for memory: the
    attempt does not keep the server's place meanwhile. A pause within an answer is no fault: the caller's
    time limits it.
    """

    def __init__(
        self,
        servers: ServerPool,
        connection: Connection,
        memory: Reservation | None,
        commit_by: Callable[[], float] = lambda: math.inf,
        on_head: Callable[[], None] = lambda: None,
    ) -> None:
        self.servers = servers
        self.connection = connection
        # The memory of the request; None: the answer is read without a reservation.
        self.memory = memory
        # Returns by when an answer that may be large is streamed, in seconds of the event loop's clock.
        self.commit_by = commit_by
        # Called when the head of a 200 has arrived.
        self.on_head = on_head
        self.is_reserved = memory is None
        # Whether memory was plentiful when it was reserved.
        self.is_fast = memory is None

    async def read(self) -> RawAnswer:
        """Read a whole answer, or the beginning of one that will be streamed."""
        message, payload = await self.connection.read()
        while message.code < 200:
            message, payload = await self.connection.read()
        head = message.code, message.headers, message.raw_headers
        length = message.headers.get("Content-Length")
        if payload.is_eof() or length is None or message.chunked:
            length = None
        announced_length = None if length is None else int(length)
        if (announced_length or 0) > MAX_BODY_BYTES:
            raise MalformedAnswerError("Content-Length exceeds the largest permitted body")
        if message.code != 200:
            await self._discard(payload)
            return RawAnswer(*head)
        if payload.is_eof():
            return RawAnswer(*head, payload.read_nowait())
        # Before the attempt's time is extended.
        commit_by = self.commit_by()
        self.on_head()
        body, is_whole = await self._read_beginning(payload, announced_length, commit_by)
        if is_whole:
            return RawAnswer(*head, body)
        if not self.is_reserved:
            self._reserve(announced_length, payload)
        stream = AnswerStream(
            self.servers,
            self.connection,
            body,
            payload,
            announced_length,
            self.memory,
            self.is_reserved,
            self.is_fast,
        )
        return RawAnswer(*head, body_stream=stream)

    async def _read_beginning(self, payload: Any, length: int | None, commit_by: float) -> tuple[bytes, bool]:
        """Read until a body is whole or has to be streamed; return what was read and whether it is whole."""
        loop = asyncio.get_running_loop()
        may_be_large = length is None or length > STREAMING_THRESHOLD
        # When the wait for the next piece ends, and from when on the next piece is the last.
        wait_until = commit_by
        if length is not None:
            wait_until = min(wait_until, loop.time() + COMMIT_DELAY)
        last_piece_at = math.inf
        body = bytearray()
        while True:
            try:
                chunk = await _read_any(payload, wait_until if may_be_large else math.inf)
            except TimeoutError:
                return bytes(body), False
            if not chunk:
                return bytes(body), True
            body += chunk
            if max(len(body), length or 0) > SMALL_ANSWER_BYTES and not self.is_reserved:
                self._reserve(length, payload)
                # What is reserved for small pieces does not hold the whole body.
                may_be_large = may_be_large or not self.is_fast
            now = loop.time()
            most_buffered = STREAMING_THRESHOLD if self.is_fast else SMALL_ANSWER_BYTES
            if may_be_large and (len(body) > most_buffered or now >= last_piece_at):
                return bytes(body), False
            last_piece_at = min(last_piece_at, now + COMMIT_DELAY)

    async def _discard(self, payload: Any) -> None:
        """Read the body of an error, which is not passed on; the connection of a long one is closed."""
        size = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_SECONDS):
                while size <= STREAMING_THRESHOLD and (chunk := await payload.readany()):
                    size += len(chunk)

    def _reserve(self, length: int | None, payload: Any) -> None:
        """Reserve memory for a body that is not small, if any is left."""
        assert self.memory is not None
        if length is not None and length <= STREAMING_THRESHOLD:
            self.is_fast = self.memory.try_add(BUFFERED_ANSWER_COPIES * length, MessageKind.ANSWER)
        else:
            self.is_fast = self.memory.try_add_spare(TRANSFER_BYTES, MessageKind.ANSWER)
        self.is_reserved = self.is_fast or self.memory.try_add(SMALL_TRANSFER_BYTES, MessageKind.ANSWER)
        if self.is_fast:
            read_fast(self.connection, payload)
