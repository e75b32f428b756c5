"""Endpoints of servers and the connections to them, on the response protocol of aiohttp's client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from coraldeal.framing import ChunkedBody
from coraldeal.heads import HEAD_END
from coraldeal.net.bodies import MIN_READ_BYTES, limit_read_size

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
        self.start_answer()

    def start_answer(self) -> None:
        """Take the connection out of the pool and reset its state for the next answer."""
        self._leave_idle(closed=False)
        self.head_seen = False
        # Bytes of the body still expected; None: no length is stated.
        self.body_left: int | None = None
        # Finds the end of a chunked body. Without it and a length, the connection's end is the body's.
        self.chunked_body: ChunkedBody | None = None
        # The end of what was received of an incomplete head: HEAD_END may have begun there.
        self.last_bytes = b""
        self.is_complete = False
        # Whether bytes arrived behind the answer, which make the connection unusable.
        self.has_surplus = False
        if self.transport is not None:
            limit_read_size(self.transport, MIN_READ_BYTES)

    def has_begun_answer(self) -> bool:
        """Return whether bytes of the awaited answer have arrived, beside interim responses."""
        return self.head_seen or bool(self.last_bytes)

    def set_idle(self) -> None:
        """Return the connection to the pool, for the next attempt."""
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
        super().feed_data(data, size)
        if message.code < 200:
            # After an interim response, the final one may take its time: the stall timeout applies only
            # within an answer.
            self._drop_timeout()
        else:
            self.head_seen = True
            length = message.headers.get("Content-Length")
            if payload.is_eof():
                self.body_left = 0
            elif message.chunked:
                self.chunked_body = ChunkedBody()
            elif length is not None:
                self.body_left = int(length)

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
        # A byte of an idle connection belongs to no answer: nothing was asked for.
        while data and not self.is_complete and not self.idle_since:
            if self.chunked_body is not None:
                end = self.chunked_body.measure(data)
            elif self.head_seen:
                end = len(data) if self.body_left is None else self.body_left
            else:
                # Pass on one head at a time: interim responses may precede the final one.
                position = (self.last_bytes + data).find(HEAD_END)
                end = len(data) if position < 0 else position + len(HEAD_END) - len(self.last_bytes)
                self.last_bytes = (self.last_bytes + data)[-3:] if position < 0 else b""
            was_body = self.head_seen
            piece, data = data[:end], data[end:]
            super().data_received(piece)
            if was_body and self.body_left is not None:
                self.body_left -= len(piece)
            has_end = self.chunked_body is not None and self.chunked_body.is_complete
            self.is_complete = self.body_left == 0 or has_end
        if data:
            self._handle_surplus(len(data))

    def _handle_surplus(self, size: int) -> None:
        """Rule out another use of the connection: its server sent bytes that no request asked for."""
        if not self.has_surplus:
            self.has_surplus = True
            self.servers.record_surplus(self, size)
        if self.idle_since:
            self.drop()


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
