"""The node's listener for callers: their connections, requests and answers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace

from aiohttp import web
from aiohttp.http import HttpVersion10, HttpVersion11
from multidict import CIMultiDict

from coraldeal.limits import MAX_BUFFERED_TOTAL
from coraldeal.logs import LogThrottle
from coraldeal.memory import (
    SMALL_TRANSFER_BYTES,
    TRANSFER_BYTES,
    MemoryBudget,
    MessageKind,
    body_reservation,
)
from coraldeal.net.accepting import Acceptor
from coraldeal.net.answers import AnswerStream, MalformedAnswerError
from coraldeal.net.arrival import BodyArrival
from coraldeal.net.bodies import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY,
    MAX_UNWRITTEN_BYTES,
    MAX_WAITING_BYTES,
    MIN_UNWRITTEN_BYTES,
    READ_AHEAD_BODY_BYTES,
    RECEIVER_GRACE_SECONDS,
    SMALL_BEGINNING_BYTES,
    SMALL_SEND_BUFFER_BYTES,
    AnswerDeadline,
    Progress,
    StreamedBody,
    limit_read_ahead,
    limit_read_size,
    limit_send_buffer,
    read_piece,
    set_reset_on_close,
)
from coraldeal.net.caller_connection import (
    MAX_LEFT_UNWRITTEN_BYTES,
    CallerConnection,
    CallerServer,
)
from coraldeal.net.counters import Counters
from coraldeal.net.listening import open_listening_socket
from coraldeal.net.memory import MemoryWaits, Reservation
from coraldeal.net.unread import has_disconnected, is_readable, seconds_since_last_byte
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

# For how many seconds the body that a caller still sends is read after an early answer.
LINGER_SECONDS = 5.0
# The maximum of connections accepted in one turn of the event loop. A node with a small descriptor reserve
# sets a lower one, so that a rush of callers fits into the reserve.
MAX_ACCEPTS_PER_TURN = 16
# How many connections the system holds until they are accepted.
BACKLOG = 1024
# Seconds for which a body that has not arrived whole waits for memory; then its request is rejected.
MAX_MEMORY_WAIT = 10.0
# The fraction of its time for which a request that has arrived whole waits for memory.
MEMORY_WAIT_FRACTION = 0.5
# From which fraction of large answers on a request class counts as one with large answers, the step of that
# fraction with each answer, and how many requests are rejected between two that are sent in any case: without
# answers nothing would be learned.
MOSTLY_LARGE = 0.5
LARGE_FRACTION_STEP = 0.2
REJECTIONS_BETWEEN_TRIALS = 1
# Headers that may appear only once in a request: a server that reads another copy than the node would see
# another request.
UNIQUE_HEADERS = ("Host", "Req-Id", "Req-Deadline", "Idempotency-Key", "Req-Retry", "Req-Owner")


class MemoryShortageError(Exception):
    """No memory was left for a request's body while the request could wait."""


class Callers:
    """The node's side towards its callers: accepts connections, reads requests and writes answers."""

    def __init__(
        self,
        deadlines_us: dict[str, int],
        handle_inquiry: Callable[[CallerRequest, int, int, Callable[[], bool]], Awaitable[Answer]],
        is_ready: Callable[[], bool],
        is_at_limit: Callable[[bool], bool],
        make_room: Callable[[], None],
        counters: Counters,
        memory: MemoryBudget,
        memory_retry_after_us: Callable[[], int],
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        self.counters = counters
        # The memory of messages in transit, and the Retry-After, in microseconds, where none is left.
        self.memory = memory
        self.memory_waits = MemoryWaits(memory)
        self.memory_retry_after_us = memory_retry_after_us
        # How many bytes of request bodies may be buffered beyond the size that is always buffered.
        self.max_buffered_bytes = MAX_BUFFERED_TOTAL
        # By request class: the recent fraction of large answers, and the rejections since the last trial.
        # Requests of a class with mostly large answers are rejected while no memory is left for one: after
        # the attempt it would be too late.
        self.large_answer_fractions: dict[str, float] = {}
        self.rejections: dict[str, int] = {}
        # Closes idle connections if the node has more descriptors open than it should.
        self.make_room = make_room
        # Returns whether a further connection fits; it then waits in the backlog.
        self.may_accept = may_accept
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
        self.server = CallerServer(
            self._handle, make_room, self._count_refused, self._reject_for_memory, self.memory_waits
        )
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
                self.listening_socket.dup(),
                self.server,
                self.accepts_per_turn,
                self.make_room,
                self.may_accept,
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
            assert isinstance(connection, CallerConnection)
            if connection.may_close() and (include_used or connection.is_unused()):
                connection.close_idle("the node is shutting down")

    async def close(self) -> None:
        """Close all connections; handlers that are still running get 0.05 s."""
        await self.server.shutdown(0.05)

    @property
    def connection_count(self) -> int:
        """The number of open connections of callers."""
        return len(self.server._connections)

    def has_idle(self) -> bool:
        """Return whether any connection waits for a request and could be closed."""
        return any(
            isinstance(connection, CallerConnection) and connection.may_close()
            for connection in self.server._connections
        )

    def close_one_idle(self, urgent: bool, min_idle_seconds: float = 0.0) -> bool:
        """Close an unused connection, or else one that is idle after a request; return whether one closed.

        A new connection's first request may be on its way. Such a connection counts as accepted: its request
        is read, and refused if necessary. Only if `urgent` is the oldest new connection closed, because it
        would be worse to have no descriptor left for accepting. Connections that had a request are closed
        only if they have been idle for `min_idle_seconds`.
        """
        new = used = None
        for connection in self.server._connections:
            assert isinstance(connection, CallerConnection)
            is_unused = connection.is_unused()
            candidate = used if connection._request_count else new
            if (candidate is not None and not is_unused) or not connection.may_close():
                continue
            if is_unused:
                # Before connections of ordinary callers, which send a request as soon as they have connected.
                connection.close_idle("descriptors are short, no request so far")
                return True
            if connection._request_count:
                used = connection if connection.idle_seconds() >= min_idle_seconds else used
            else:
                new = connection
        chosen = used or (new if urgent else None)
        if chosen is not None:
            chosen.close_idle("descriptors are short")
        return chosen is not None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.memory = Reservation(self.memory_waits)
        try:
            response = await self._answer(request, connection)
            if isinstance(response, web.Response):
                await self._write_answer(request, response)
            return response
        finally:
            self.buffered_bytes -= connection.buffered_bytes
            connection.buffered_bytes = 0
            connection.memory.close()
            connection.request_ended()

    async def _write_answer(self, request: web.BaseRequest, response: web.Response) -> None:
        """Write a buffered answer until little of it is left unwritten: its memory is reserved until then.

        A caller that does not read it, or the answers before it, is disconnected.
        """
        size = response.content_length or 0
        transport = request.transport
        if size <= MAX_LEFT_UNWRITTEN_BYTES and not (transport and transport.get_write_buffer_size()):
            return
        progress = Progress(RECEIVER_GRACE_SECONDS)
        try:
            await response.prepare(request)
            await progress.wait_for(response.write_eof(), size)
        except TimeoutError:
            log.info("answer broken off", extra={"pairs": {"why": "its caller is too slow"}})
            if request.transport is not None:
                request.transport.abort()

    async def _answer(self, request: web.BaseRequest, connection: CallerConnection) -> web.StreamResponse:
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
        is_large = call.body_stream is not None or self._expects_large_answer(connection, call.request_class)
        if self.is_at_limit(is_large):
            # Protects the limits on descriptors and memory. Nothing was sent, so a retry is harmless.
            pairs = {"request": call.request_id, "status": 503, "why": "too many requests"}
            log.debug("request refused", extra={"pairs": pairs})
            self.counters.count_answer(call.request_class, 503)
            return self._response(Answer(503), close=True)
        if (
            self.memory.is_exhausted(MessageKind.ANSWER)
            and self._expects_large_answer(connection, call.request_class)
            and not self._is_trial(call.request_class)
        ):
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
        if answer.status == 200:
            connection.had_small_answer = True
            self._learn_answer_size(call.request_class, is_large=False)
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
        assert isinstance(connection, CallerConnection)
        connection.had_small_answer = False
        self._learn_answer_size(call.request_class, is_large=True)
        # The body of the request needs no memory any more.
        connection.memory.release(MessageKind.BODY)
        is_complete = False
        progress = Progress(RECEIVER_GRACE_SECONDS)
        deadline = AnswerDeadline(deadline_at, rest.length, len(rest.beginning))
        try:
            await response.prepare(request)
            piece = rest.take_beginning() or await deadline.wait_for(rest.read)
            while piece:
                rest.adapt_to_memory()
                if request.transport is not None:
                    _limit_unwritten(request.transport, rest.is_fast)
                    connection.has_default_limits = False
                await progress.wait_for(_write_piece(response, connection, piece), len(piece))
                # The transport has it; a second copy would stay until the next piece has come.
                del piece
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

    def _expects_large_answer(self, connection: CallerConnection, request_class: str) -> bool:
        """Return whether a large answer is likely, judged by the last ones."""
        return (
            not connection.had_small_answer
            and self.large_answer_fractions.get(request_class, 0.0) > MOSTLY_LARGE
        )

    def _is_trial(self, request_class: str) -> bool:
        """Return whether a request is sent although a large answer is likely."""
        rejections = self.rejections.get(request_class, 0)
        self.rejections[request_class] = (rejections + 1) % (REJECTIONS_BETWEEN_TRIALS + 1)
        return rejections == REJECTIONS_BETWEEN_TRIALS

    def _learn_answer_size(self, request_class: str, is_large: bool) -> None:
        """Move the fraction of large answers of a request class towards the size of its latest answer."""
        fraction = self.large_answer_fractions.get(request_class, float(is_large))
        self.large_answer_fractions[request_class] = fraction + LARGE_FRACTION_STEP * (is_large - fraction)

    def _time_left_us(self, call: CallerRequest) -> int:
        """Return how long the caller will wait, from its last byte, in microseconds."""
        return self.deadlines_us[call.request_class] if call.time_left_us is None else call.time_left_us

    def _refuse_for_memory(self, request: web.BaseRequest, connection: CallerConnection) -> web.Response:
        """Reject a request for which no memory is left. Nothing was sent to a server."""
        self.counters.count_answer(request_class_of(request.raw_path), 503)
        if request.can_read_body:
            # The caller may still be sending: an immediate close would discard the answer.
            connection._lingering_time = LINGER_SECONDS
        return self._reject_for_memory()

    def _reject_for_memory(self) -> web.Response:
        """Count a request for which no memory is left, and return its answer."""
        self.counters.memory_refusals += 1
        if self.memory_throttle.should_log(asyncio.get_running_loop().time()):
            pairs = {
                "refused": self.counters.memory_refusals,
                "reserved_kb": self.memory.reserved // 1024,
                **{
                    f"{kind.name.lower()}_kb": self.memory.reserved_by_kind[kind] // 1024
                    for kind in MessageKind
                },
                "limit_kb": (self.memory.limit or 0) // 1024,
                "waiting": len(self.memory.waiting),
            }
            log.warning("memory for messages is used up", extra={"pairs": pairs})
        return self._response(rejection(self.memory_retry_after_us()), close=True)

    async def _reserve_body_memory(
        self, request: web.BaseRequest, connection: CallerConnection, arrival: BodyArrival
    ) -> bool:
        """Wait until the request's body may be read; return whether memory is plentiful.

        The connection is not read meanwhile. Raises MemoryShortageError if that takes too long,
        InvalidRequestError if the request is malformed.
        """
        size = body_reservation(request.content_length, STREAMING_THRESHOLD)
        if not size:
            return True
        # Checked before the wait, which depends on the request's time.
        call = parse_request(
            request.method, request.raw_path, request.headers, request.raw_headers, b"", self.deadlines_us
        )
        if connection.memory.try_add_spare(size, MessageKind.BODY):
            if request.transport is not None:
                limit_read_size(request.transport)
                connection.has_default_limits = False
            limit_read_ahead(request.content, MAX_WAITING_BYTES)
            if size == TRANSFER_BYTES and connection.memory.try_add_spare(
                READ_AHEAD_BODY_BYTES, MessageKind.BODY
            ):
                limit_read_ahead(request.content, READ_AHEAD_BODY_BYTES)
            return True
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

        size = min(size, SMALL_TRANSFER_BYTES)
        if not await connection.memory.wait_for(size, MessageKind.BODY, may_wait):
            raise MemoryShortageError
        return False

    async def _read_call(self, request: web.BaseRequest, connection: CallerConnection) -> CallerRequest:
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
            is_plentiful = await self._reserve_body_memory(request, connection, arrival)
            if headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
                request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            progress = Progress()
            while piece := await read_piece(request.content, progress):
                body += piece
                connection.buffered_bytes += len(piece)
                self.buffered_bytes += len(piece)
                if len(body) > self._most_buffered(is_plentiful):
                    rest = StreamedBody(request.content, bytes(body), progress, arrival)
                    body.clear()
                    break
        raw = request.raw_headers
        # Under the current settings: a request whose body was still being received when they changed was not
        # accepted before.
        call = parse_request(request.method, request.raw_path, headers, raw, bytes(body), self.deadlines_us)
        if rest is None:
            return replace(call, memory=connection.memory)
        return replace(call, memory=connection.memory, body_stream=rest, length=request.content_length)

    def _most_buffered(self, is_plentiful: bool) -> int:
        """Return how many bytes of one body are buffered, so that a further attempt can send it again."""
        if not is_plentiful:
            return SMALL_BEGINNING_BYTES
        return MAX_BUFFERED_BODY if self.buffered_bytes <= self.max_buffered_bytes else STREAMING_THRESHOLD

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


async def _write_piece(response: web.StreamResponse, connection: CallerConnection, piece: bytes) -> None:
    """Write a piece of an answer, and wait until little of it is left unwritten; aiohttp waits at 64 KiB."""
    await response.write(piece)
    await connection._drain_helper()


def _limit_unwritten(transport: asyncio.Transport, is_fast: bool) -> None:
    """Limit what of an answer waits to be written and in the system's buffer."""
    transport.set_write_buffer_limits(high=MAX_UNWRITTEN_BYTES if is_fast else MIN_UNWRITTEN_BYTES)
    if not is_fast:
        limit_send_buffer(transport, SMALL_SEND_BUFFER_BYTES)
