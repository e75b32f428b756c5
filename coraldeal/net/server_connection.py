"""Endpoints of servers and the connections to them, on the response protocol of aiohttp's client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from coraldeal.framing import LINE_END, ChunkedBody, FixedBody, Head, UnlimitedBody
from coraldeal.net.bodies import MIN_READ_BYTES, MIN_WAITING_BYTES, limit_read_size

if TYPE_CHECKING:
    from coraldeal.connections.ages import IdlePeriods
    from coraldeal.net.servers import ServerPool


class Connection(ResponseHandler):
    """A connection to a server, which passes to the parser only the bytes of the awaited answer.

    aiohttp's parser would discard a valid answer if garbage followed it in the same read.
    """

    def __init__(self, servers: ServerPool, endpoint: Endpoint) -> None:
        super().__init__(servers.loop)
        self.servers = servers
        self.endpoint = endpoint
        # When the connection became idle, by the loop's clock; 0: in use.
        self.idle_since = 0.0
        # Seconds for which the connection was idle before its current attempt; 0: it is new.
        self.idle_time = 0.0
        self.created_at = servers.loop.time()
        # Whether the head of the awaited answer has arrived, interim responses aside.
        self.head_seen = False
        # The part of the awaited answer that the next byte belongs to; None: no answer is awaited.
        self.part: Head | FixedBody | ChunkedBody | UnlimitedBody | None = None
        # Whether bytes arrived that no request asked for, which make the connection unusable.
        self.has_surplus = False

    def take_from_pool(self) -> None:
        """Take the idle connection out of the pool, for an attempt."""
        self._leave_idle(closed=False)

    def start_answer(self, has_body: bool) -> None:
        """Await an answer to the request that is written next; `has_body`: unless the request is a HEAD."""
        self.head_seen = False
        self.part = Head()
        self.set_response_params(
            auto_decompress=False,
            read_until_eof=True,
            # aiohttp holds twice this size.
            read_bufsize=MIN_WAITING_BYTES // 2,
            skip_payload=not has_body,
        )
        if self.transport is not None:
            limit_read_size(self.transport, MIN_READ_BYTES)

    def has_begun_answer(self) -> bool:
        """Return whether bytes of the awaited answer have arrived, beside interim responses."""
        return self.head_seen or (isinstance(self.part, Head) and self.part.has_begun)

    @property
    def is_complete(self) -> bool:
        """Whether the last byte of the awaited answer has arrived."""
        return self.part is not None and self.part.is_complete

    def set_idle(self) -> None:
        """Return the connection to the pool, for the next attempt."""
        self.part = None
        self.idle_since = self.servers.loop.time()
        self.endpoint.idle.append(self)
        self.servers.idle_connections[self] = None

    def _leave_idle(self, closed: bool) -> None:
        if self.idle_since:
            self.endpoint.idle.remove(self)
            del self.servers.idle_connections[self]
            self.idle_time = self.servers.loop.time() - self.idle_since
            self.idle_since = 0.0
            self.servers.record_idle_period(self.endpoint, self.idle_time, closed)

    def drop(self) -> None:
        """Close the connection and remove it from the pool at once."""
        self._leave_idle(closed=False)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of one read and count the connection."""
        super().connection_made(transport)
        limit_read_size(transport, MIN_READ_BYTES)
        self.servers.open_connections += 1

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that is still being read, and remove the connection from the pool."""
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            # A body that is delimited by the connection's end is incomplete when that end is a reset.
            self._payload.set_exception(aiohttp.ClientPayloadError(f"broken off: {exc}"))
        super().connection_lost(exc)
        self.servers.open_connections -= 1
        self._leave_idle(closed=True)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Handle a parsed response head; called by the parser."""
        message, payload = data
        if self.head_seen:
            # The framing of a malformed answer has no end, but the parser found one.
            self.handle_surplus(0)
            return
        super().feed_data(data, size)
        if isinstance(self.part, Head) and self.part.has_empty_line_ahead:
            self.handle_surplus(len(LINE_END))
        if message.code < 200:
            # After an interim response, the final one may take its time: the stall timeout applies only
            # within an answer.
            self._drop_timeout()
            self.part = Head()
        else:
            self.head_seen = True
            self.part = _start_body(message, payload)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Report an error also to the reader of a body: aiohttp reports it only to the reader of a head."""
        super().set_exception(exc, *cause)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(exc, *cause)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser up to the end of the awaited answer, and discard those behind it."""
        if not data:
            # An empty call makes the parser continue with the data it held back while reading was paused.
            super().data_received(data)
        while data and self.part is not None and not self.part.is_complete:
            # One head at a time, since interim responses may precede the final one.
            size = self.part.measure(data)
            piece, data = data[:size], data[size:]
            super().data_received(piece)
        if data:
            self.handle_surplus(len(data))

    def handle_surplus(self, size: int) -> None:
        """Rule out another use of the connection: its server sent bytes that no request asked for."""
        if not self.has_surplus:
            self.has_surplus = True
            self.servers.record_surplus(self, size)
        if self.idle_since:
            self.drop()


def _start_body(message: Any, payload: Any) -> FixedBody | ChunkedBody | UnlimitedBody:
    """Return where the body behind a final head ends, given the parser's reading of that head."""
    if payload.is_eof():
        return FixedBody(0)
    if message.chunked:
        return ChunkedBody()
    length = message.headers.get("Content-Length")
    return UnlimitedBody() if length is None else FixedBody(int(length))


class Endpoint:
    """One process of a server: its address, its start, and the idle connections to it."""

    __slots__ = ("address", "host", "idle", "idle_periods", "is_listed", "port", "started_at_us")

    def __init__(self, address: str, started_at_us: int = 0) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.host = host.strip("[]")
        self.port = int(port)
        # When the process started, by the node's clock in microseconds; 0: long ago.
        self.started_at_us = started_at_us
        # False once the list has removed the server, or told of another address or a new start.
        self.is_listed = True
        # The idle connections, with the one used last at the end.
        self.idle: list[Connection] = []
        # How long idle connections to this server have lasted, if the operator has enabled learning it.
        self.idle_periods: IdlePeriods | None = None

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.drop()
