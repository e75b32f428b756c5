"""The node's listener for callers: their connections, requests and answers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpVersion10, HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from coraldeal.logs import LogThrottle
from coraldeal.memory import TRANSFER_BYTES, MemoryBudget, body_reservation
from coraldeal.net.accepting import Acceptor
from coraldeal.net.arrival import ARRIVAL_CHECK_INTERVAL, BodyArrival
from coraldeal.net.bodies import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY,
    MAX_BUFFERED_TOTAL,
    MAX_UNWRITTEN_BYTES,
    MAX_WAITING_BYTES,
    MIN_READ_BYTES,
    READ_AHEAD_ANSWER_BYTES,
    READ_AHEAD_BODY_BYTES,
    RECEIVER_GRACE_SECONDS,
    AnswerDeadline,
    Progress,
    StreamedBody,
    allow_read_ahead,
    limit_read_size,
    read_piece,
    set_reset_on_close,
)
from coraldeal.net.counters import Counters
from coraldeal.net.listening import open_listening_socket
from coraldeal.net.memory import Reservation
from coraldeal.net.servers import AnswerStream, MalformedAnswerError
from coraldeal.net.unread import has_disconnected, has_unread, is_readable, seconds_since_last_byte
from coraldeal.net.wire import (
    READY_PATH,
    STREAMING_THRESHOLD,
    Answer,
    CallerRequest,
    InvalidRequestError,
    parse_request,
    rejection,
    request_class_of,
)

log = logging.getLogger(__name__)

# For how many seconds a connection may be idle, before its first request or after an answer, and how many
# seconds a request's head may take from its first byte on. Without these limits idle and stalled callers
# would hold file descriptors. Bodies must keep a minimum rate instead, see coraldeal.net.bodies.
IDLE_TIMEOUT = 2.5
HEAD_TIMEOUT = 3.0
# After how many seconds an idle timeout is checked again if it expired while something was unread.
UNREAD_RECHECK_INTERVAL = 0.1
# For how many seconds the body that a caller still sends is read after an early answer.
LINGER_SECONDS = 5.0
# The maximum of connections accepted in one turn of the event loop. A node with a small descriptor reserve
# sets a lower one, so that a rush of callers fits into the reserve.
MAX_ACCEPTS_PER_TURN = 16
# How many connections the system holds until they are accepted.
BACKLOG = 1024
# After how many seconds a connection without any request may be closed if descriptors are short.
UNUSED_TIMEOUT = 0.5
# Seconds for which a body that has not arrived whole waits for memory; then its request is rejected.
MAX_MEMORY_WAIT = 10.0
# The fraction of its time for which a request that has arrived whole waits for memory.
MEMORY_WAIT_FRACTION = 0.5
# Headers that may appear only once in a request: a server that reads another copy than the node would see
# another request.
UNIQUE_HEADERS = ("Host", "Req-Id", "Req-Deadline", "Idempotency-Key", "Req-Retry", "Req-Owner")


class MemoryShortageError(Exception):
    """No memory was left for a request's body while the request could wait."""


class _Connection(RequestHandler):
    """A caller's connection. A malformed request gets a short answer, and its connection is closed."""

    def __init__(self, manager: _Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self.on_refused = manager.on_refused
        self.connected_at = self._loop.time()
        # The number of requests before the head that is being received; -1: none is being received.
        self.requests_before_head = -1
        # Bytes of the current request's body that are buffered for further attempts.
        self.buffered_bytes = 0
        # The memory of the current request and its answer.
        self.memory = Reservation(manager.memory)
        # The last four bytes that were read.
        self.last_read = b""

    def close_idle(self, reason: str) -> None:
        """Close the connection; no request on it may be waiting for an answer."""
        log.debug("connection closed", extra={"pairs": {"why": reason, "requests": self._request_count}})
        self.force_close()

    def is_unused(self) -> bool:
        """Return whether the connection is older than `UNUSED_TIMEOUT` and has had no request."""
        return not self._request_count and self._loop.time() - self.connected_at > UNUSED_TIMEOUT

    def data_received(self, data: bytes) -> None:
        """Start the head timeout at the first byte of a head.

        A head that starts late in the idle timeout has its full time.
        """
        if data and _is_idle(self) and self.requests_before_head != self._request_count:
            self.requests_before_head = self._request_count
            self._next_keepalive_close_time = self._loop.time() + HEAD_TIMEOUT
        self.last_read = (self.last_read + data[-4:])[-4:]
        super().data_received(data)

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless a request has arrived and was not read yet.

        If the event loop is late, a close would reset the connection with its request unanswered. A head that
        was being received had its own timeout.
        """
        if self.requests_before_head != self._request_count and has_unread(self.transport):
            self._next_keepalive_close_time = self._loop.time() + UNREAD_RECHECK_INTERVAL
        super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request without the traceback that aiohttp logs, which would amplify a flood."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self.on_refused(status)
        response = web.Response(status=status)
        response.force_close()
        return response


class _Server(web.Server):
    """aiohttp's low-level server, with callbacks for new connections and for requests refused unread."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[], None],
        on_refused: Callable[[int], None],
        memory: MemoryBudget,
    ) -> None:
        super().__init__(handler, request_factory=self._request, handler_cancellation=True)
        self.on_connection = on_connection
        self.on_refused = on_refused
        self.memory = memory

    def __call__(self) -> RequestHandler:
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT,
            # A body that is refused because of its length is not read.
            lingering_time=0,
            # aiohttp holds twice this size.
            read_bufsize=MAX_WAITING_BYTES // 2,
        )

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Register a new connection and make room for it if necessary."""
        super().connection_made(handler, transport)
        limit_read_size(transport, MIN_READ_BYTES)
        self.on_connection()

    def _request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._loop, client_max_size=STREAMING_THRESHOLD
        )


class Callers:
    """The node's side towards its callers: accepts connections, reads requests and writes answers."""

    def __init__(
        self,
        deadlines_us: dict[str, int],
        handle_inquiry: Callable[[CallerRequest, int, int, Callable[[], bool]], Awaitable[Answer]],
        is_ready: Callable[[], bool],
        is_at_limit: Callable[[], bool],
        make_room: Callable[[], None],
        counters: Counters,
        memory: MemoryBudget,
        memory_retry_after_us: Callable[[], int],
    ) -> None:
        self.counters = counters
        # The memory of messages in transit, and the Retry-After, in microseconds, where none is left.
        self.memory = memory
        self.memory_retry_after_us = memory_retry_after_us
        # How many bytes of request bodies may be buffered beyond the size that is always buffered.
        self.max_buffered_bytes = MAX_BUFFERED_TOTAL
        # The request classes that have had large answers. Their requests are rejected while no memory is left
        # for such an answer: after the attempt it would be too late.
        self.large_answer_classes: dict[str, None] = {}
        # Closes idle connections if the node has more descriptors open than it should.
        self.make_room = make_room
        # The deadline of each request class, for requests without one of their own.
        self.deadlines_us = deadlines_us
        self.handle_inquiry = handle_inquiry
        self.is_ready = is_ready
        self.is_at_limit = is_at_limit
        # Set when the node is to stop: each answer then closes its connection.
        self.is_closing = False
        # How many requests were refused unread since the last log line about them, by status.
        self.refused_unread: dict[int, int] = {}
        # Bytes of request bodies that are buffered, and the number of answers that are being streamed.
        self.buffered_bytes = 0
        self.streaming_answers = 0
        self.throttle = LogThrottle()
        self.memory_throttle = LogThrottle()
        self.server = _Server(self._handle, make_room, self._count_refused, memory)
        self.accepts_per_turn = MAX_ACCEPTS_PER_TURN
        # The listening socket, kept open while another process of the node accepts.
        self.listening_socket: socket.socket | None = None
        self.listener: Acceptor | None = None

    async def listen(
        self, host: str, port: int, listening_socket: socket.socket | None = None, shared: bool = False
    ) -> None:
        """Start to accept connections, on the predecessor's listening socket if one was handed over.

        `shared`: a successor may bind the same address, even without being handed this socket. Raises OSError
        if the address can't be opened.
        """
        if listening_socket is None:
            listening_socket = await open_listening_socket(host, port, shared)
        self.listening_socket = listening_socket
        self.set_accepting(True)

    def listening_descriptor(self) -> int:
        """Return the descriptor with which another process can accept from the same backlog.

        Raises OSError if the listening socket is closed.
        """
        if self.listening_socket is None:
            raise OSError("the listening socket is closed")
        return self.listening_socket.fileno()

    def set_accepting(self, enabled: bool) -> None:
        """Accept new connections, or leave those in the backlog to another process that shares it."""
        if not enabled:
            if self.listener is not None:
                self.listener.close()
                self.listener = None
        elif self.listening_socket is not None and self.listener is None:
            self.listening_socket.listen(BACKLOG)
            # The acceptor closes only its duplicate: the backlog stays open through the other descriptor.
            self.listener = Acceptor(
                self.listening_socket.dup(), self.server, self.accepts_per_turn, self.make_room
            )
            self.listener.start()

    async def stop_listening(self) -> None:
        """Close the listening socket, and connections that have had no request for long.

        Connections in the backlog are accepted first, since closing the socket would reset them.
        """
        # Limited by turns of the event loop, not by time: after a stall no time would be left to empty a full
        # backlog.
        listener = self.listener
        for _ in range(BACKLOG // self.accepts_per_turn):
            if listener is None or not is_readable(self.listening_socket):
                break
            # Also while the acceptor backs off because of a shortage.
            listener.accept_pending()
            await asyncio.sleep(0)
        self.set_accepting(False)
        while listener is not None and listener.pending:
            # Accepted connections get their transports in the next turns.
            await asyncio.sleep(0)
        if self.listening_socket is not None:
            self.listening_socket.close()
            self.listening_socket = None
        self._close_idle(include_used=False)

    def begin_closing(self) -> None:
        """Close idle connections now, and each other connection with its next answer."""
        self.is_closing = True
        self._close_idle(include_used=True)

    def _close_idle(self, include_used: bool) -> None:
        for connection in self.server.connections:
            assert isinstance(connection, _Connection)
            if _may_close(connection) and (include_used or connection.is_unused()):
                connection.close_idle("the node is shutting down")

    async def close(self) -> None:
        """Close all connections; handlers that are still running get 0.05 s."""
        await self.server.shutdown(0.05)

    @property
    def connection_count(self) -> int:
        """The number of open connections of callers."""
        return len(self.server._connections)

    def close_one_idle(self, urgent: bool) -> bool:
        """Close an unused connection, or else one that is idle after a request; return whether one closed.

        A new connection's first request may be on its way. Such a connection counts as accepted: its request
        is read, and refused if necessary. Only if `urgent` is the oldest new connection closed, because it
        would be worse to have no descriptor left for accepting.
        """
        new = used = None
        for connection in self.server._connections:
            assert isinstance(connection, _Connection)
            is_unused = connection.is_unused()
            candidate = used if connection._request_count else new
            if (candidate is not None and not is_unused) or not _may_close(connection):
                continue
            if is_unused:
                # Before connections of ordinary callers, which send a request as soon as they have connected.
                connection.close_idle("descriptors are short, no request so far")
                return True
            if connection._request_count:
                used = connection
            else:
                new = connection
        chosen = used or (new if urgent else None)
        if chosen is not None:
            chosen.close_idle("descriptors are short")
        return chosen is not None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _Connection)
        try:
            return await self._answer(request, connection)
        finally:
            self.buffered_bytes -= connection.buffered_bytes
            connection.buffered_bytes = 0
            connection.memory.release()
            if request.transport is not None:
                limit_read_size(request.transport, MIN_READ_BYTES)

    async def _answer(self, request: web.BaseRequest, connection: _Connection) -> web.StreamResponse:
        """Read the request and return its answer."""
        if request.raw_path == READY_PATH:
            return self._response(Answer(200 if self.is_ready() else 503))
        try:
            call = await self._read_call(request, connection)
        except InvalidRequestError as error:
            pairs = {
                "request": request.headers.get("Req-Id", ""),
                "status": error.status,
                "why": str(error),
            }
            log.debug("request refused", extra={"pairs": pairs})
            self._count_refused(error.status)
            class_name = request_class_of(request.raw_path)
            if class_name in self.deadlines_us:
                self.counters.count_answer(class_name, error.status)
            headers = (("Content-Type", "text/plain"),)
            return self._response(Answer(error.status, f"{error}\n".encode(), headers), close=True)
        except MemoryShortageError:
            return self._refuse_for_memory(request, connection)
        if call.body_stream is not None:
            # At an early answer the caller may still be sending: an immediate close would discard the answer.
            connection._lingering_time = LINGER_SECONDS
        if self.is_at_limit():
            # Protects the limit on descriptors. Nothing was sent to a server, so a retry is harmless.
            pairs = {"request": call.request_id, "status": 503, "why": "descriptors are short"}
            log.debug("request refused", extra={"pairs": pairs})
            self.counters.count_answer(call.request_class, 503)
            return self._response(Answer(503), close=True)
        if call.request_class in self.large_answer_classes and self.memory.is_exhausted:
            return self._refuse_for_memory(request, connection)
        time_left_us = self._time_left_us(call)
        # The caller's deadline counts from sending: a node that was stalled must not answer later for it.
        loop = asyncio.get_running_loop()
        arrived_at = (
            loop.time() - seconds_since_last_byte(request.transport)
            if call.body_stream is None
            else call.body_stream.arrival.arrived_at() or loop.time()
        )
        unread_us = int((loop.time() - arrived_at) * 1e6)
        deadline = arrived_at + time_left_us / 1e6
        answer = await self.handle_inquiry(
            call, time_left_us, unread_us, lambda: not has_disconnected(request.transport)
        )
        if answer.body_stream is not None:
            if call.body_stream is not None:
                # The time starts at the last byte, which may have arrived after `deadline` was set.
                deadline = min(call.body_stream.answer_by(), loop.time() + time_left_us / 1e6)
            return await self._stream_answer(request, call, answer, answer.body_stream, deadline)
        self.counters.count_answer(call.request_class, answer.status)
        # Pipelined requests of a client that has disconnected are dropped: each would cost a connection to a
        # server, for an answer that nobody receives.
        client_left = answer.status == 499 and has_disconnected(request.transport)
        return self._response(
            answer, close=client_left or (call.body_stream is not None and not request.content.is_eof())
        )

    async def _stream_answer(
        self,
        request: web.BaseRequest,
        call: CallerRequest,
        answer: Answer,
        rest: AnswerStream,
        deadline_at: float,
    ) -> web.StreamResponse:
        """Stream an answer to its caller. If it breaks off, its connection is cut, so that this shows."""
        response = web.StreamResponse(status=answer.status, headers=CIMultiDict(answer.headers))
        if rest.length is not None:
            response.content_length = rest.length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            # Only the close ends this answer. Until it is complete every other close, such as one at the
            # node's end, has to be a reset.
            response.force_close()
            set_reset_on_close(request.transport, True)
        if self.is_closing:
            response.force_close()
        self.streaming_answers += 1
        connection = request.protocol
        assert isinstance(connection, _Connection)
        self.large_answer_classes[call.request_class] = None
        # The body of the request needs no memory any more.
        connection.memory.release()
        connection.memory.add(TRANSFER_BYTES)
        if connection.memory.try_add_spare(READ_AHEAD_ANSWER_BYTES):
            allow_read_ahead(rest.payload, READ_AHEAD_ANSWER_BYTES)
        is_complete = False
        progress = Progress(RECEIVER_GRACE_SECONDS)
        deadline = AnswerDeadline(deadline_at, rest.length, len(rest.beginning))
        try:
            await response.prepare(request)
            if request.transport is not None:
                request.transport.set_write_buffer_limits(high=MAX_UNWRITTEN_BYTES)
            piece = rest.take_beginning() or await deadline.wait_for(rest.read)
            while piece:
                await progress.wait_for(response.write(piece), len(piece))
                piece = await deadline.wait_for(rest.read)
            await progress.wait_for(response.write_eof())
            is_complete = True
            set_reset_on_close(request.transport, False)
        except (MalformedAnswerError, TimeoutError) as error:
            # The server broke off or does not finish, or the caller no longer reads.
            log.info("answer broken off", extra={"pairs": {"why": str(error) or "its caller is too slow"}})
        except ConnectionError:
            # The caller has disconnected and needs no answer.
            pass
        finally:
            self.streaming_answers -= 1
            rest.close()
            if not is_complete and request.transport is not None:
                request.transport.abort()
            self.counters.count_answer(call.request_class, answer.status, is_complete)
        return response

    def _time_left_us(self, call: CallerRequest) -> int:
        """Return how long the caller will wait, from its last byte, in microseconds."""
        return self.deadlines_us[call.request_class] if call.time_left_us is None else call.time_left_us

    def _refuse_for_memory(self, request: web.BaseRequest, connection: _Connection) -> web.Response:
        """Reject a request for which no memory is left. Nothing was sent to a server."""
        request_class = request_class_of(request.raw_path)
        self.counters.memory_refusals += 1
        self.counters.count_answer(request_class, 503)
        if self.memory_throttle.should_log(asyncio.get_running_loop().time()):
            pairs = {
                "refused": self.counters.memory_refusals,
                "reserved_kb": self.memory.reserved // 1024,
                "limit_kb": (self.memory.limit or 0) // 1024,
                "waiting": len(self.memory.waiting),
            }
            log.warning("memory for messages is used up", extra={"pairs": pairs})
        if request.can_read_body:
            # The caller may still be sending: an immediate close would discard the answer.
            connection._lingering_time = LINGER_SECONDS
        return self._response(rejection(self.memory_retry_after_us()), close=True)

    async def _reserve_body_memory(
        self, request: web.BaseRequest, connection: _Connection, arrival: BodyArrival
    ) -> None:
        """Wait until the request's body may be read. The connection is not read meanwhile.

        Raises MemoryShortageError if that takes too long, InvalidRequestError if the request is malformed.
        """
        size = body_reservation(request.content_length, STREAMING_THRESHOLD)
        if not size:
            return
        # Checked before the wait, which depends on the request's time.
        call = parse_request(
            request.method, request.raw_path, request.headers, request.raw_headers, b"", self.deadlines_us
        )
        time_left_us = self._time_left_us(call)
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def may_wait() -> bool:
            if self.is_closing or has_disconnected(request.transport):
                # The event loop does not see the close of a connection that is not read.
                return False
            arrived_at = arrival.arrived_at()
            if arrived_at is None:
                return loop.time() < started_at + MAX_MEMORY_WAIT
            return loop.time() < arrived_at + MEMORY_WAIT_FRACTION * time_left_us / 1e6

        if not await connection.memory.wait_for(size, ARRIVAL_CHECK_INTERVAL, may_wait):
            raise MemoryShortageError
        if request.transport is not None:
            limit_read_size(request.transport)
        if size == TRANSFER_BYTES and connection.memory.try_add_spare(READ_AHEAD_BODY_BYTES):
            allow_read_ahead(request.content, READ_AHEAD_BODY_BYTES)

    async def _read_call(self, request: web.BaseRequest, connection: _Connection) -> CallerRequest:
        """Return the request with its body, or with the buffered start of a large one.

        Raises InvalidRequestError if the request is malformed, too large or too slow, MemoryShortageError if
        no memory is left for it. Its framing must be unambiguous, or a server could see other requests than
        the node does.
        """
        message, headers = request._message, request.headers
        if message.version not in (HttpVersion10, HttpVersion11) or message.upgrade:
            raise InvalidRequestError(400, "this is HTTP/1.1 without upgrades")
        if any(len(headers.getall(name, ())) > 1 for name in UNIQUE_HEADERS):
            raise InvalidRequestError(400, "a field stands twice that may stand once")
        if headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
            raise InvalidRequestError(400, "Transfer-Encoding is not chunked")
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise InvalidRequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")
        body, rest = bytearray(), None
        if request.can_read_body:
            arrival = BodyArrival(
                request.content, request.transport, request.content_length, lambda: connection.last_read
            )
            await self._reserve_body_memory(request, connection, arrival)
            if headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
                request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            progress = Progress()
            while piece := await read_piece(request.content, progress):
                body += piece
                connection.buffered_bytes += len(piece)
                self.buffered_bytes += len(piece)
                if len(body) > (
                    MAX_BUFFERED_BODY
                    if self.buffered_bytes <= self.max_buffered_bytes
                    else STREAMING_THRESHOLD
                ):
                    rest = StreamedBody(request.content, bytes(body), progress, arrival)
                    body.clear()
                    break
        raw = request.raw_headers
        # Under the current settings: a request whose body was still being received when they changed was not
        # accepted before.
        call = parse_request(request.method, request.raw_path, headers, raw, bytes(body), self.deadlines_us)
        return call if rest is None else replace(call, body_stream=rest, length=request.content_length)

    def _count_refused(self, status: int) -> None:
        """Count a request that was refused unread, and log the counts from time to time."""
        self.refused_unread[status] = self.refused_unread.get(status, 0) + 1
        if self.throttle.should_log(asyncio.get_running_loop().time()):
            pairs = {str(code): count for code, count in sorted(self.refused_unread.items())}
            log.warning("requests turned away unread", extra={"pairs": pairs})
            self.refused_unread.clear()

    def _response(self, answer: Answer, close: bool = False) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers))
        if close or self.is_closing:
            response.force_close()
        return response


def _is_idle(connection: RequestHandler) -> bool:
    """Return whether the connection waits for a request and has none that was read or partly answered.

    Only the wait itself shows this: nothing else does between the reading of a request and the start of its
    handler, and a close at that time would lose the request.
    """
    return connection._waiter is not None and not connection._waiter.done()


def _may_close(connection: RequestHandler) -> bool:
    """Return whether a close loses no request: the connection is idle and has no unread bytes.

    A close with unread bytes is a reset, and their request is lost unanswered.
    """
    return _is_idle(connection) and not has_unread(connection.transport)
