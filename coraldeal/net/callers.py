"""The listener: callers' connections, their requests and the answers."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
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
from coraldeal.net.accepting import Acceptor
from coraldeal.net.bodies import (
    BODY_LARGEST,
    KEPT_ALL,
    KEPT_MOST,
    TAKER_GRACE,
    Body,
    Due,
    Progress,
    end_by_reset,
    next_piece,
    read_little,
)
from coraldeal.net.figures import Figures
from coraldeal.net.listening import open_listening
from coraldeal.net.servers import AnswerStream, MalformedAnswerError
from coraldeal.net.unread import has_left, has_unread, is_readable
from coraldeal.net.wire import (
    MAX_BUFFERED_BODY,
    READY_PATH,
    Answer,
    CallerRequest,
    InvalidRequestError,
    parse_request,
    request_class_of,
)

log = logging.getLogger(__name__)

# For how many seconds a connection may bring nothing, and a head may keep coming from its first byte on:
# neither who says nothing nor who stops half-way, nor one who has asked and stays, may hold a descriptor
# for long. Bodies go by the rule of progress.
QUIET_LONG = 2.5
HEAD_LONG = 3.0
# After how many seconds a silence is looked at again at whose end something lay unread.
UNREAD_AGAIN = 0.1
# For how many seconds what a caller still sends is read behind an early answer.
LINGER = 5.0
# Connections taken in one turn of the loop at the most, fewer where the reserve of descriptors must cover a
# rush, and how many the system holds ready meanwhile.
ACCEPT_AT_ONCE = 16
BACKLOG = 1024
# After how many seconds a connection that never brought a request may be given up where room is short.
SILENT_LONG = 0.5
# What may stand once in a head: readers that pick another copy would see another request.
ONCE = ("Host", "Req-Id", "Req-Deadline", "Idempotency-Key", "Req-Retry", "Req-Owner")


class _Connection(RequestHandler):
    """A caller's connection, on which what can't be read is answered shortly and closed."""

    def __init__(self, manager: _Server, **told: Any) -> None:
        super().__init__(manager, **told)
        self.turned_away = manager.turned_away
        self.made_at = self._loop.time()
        # How many requests had come when the head now coming began; -1: none is coming.
        self.head_of = -1
        # Bytes of a body that are kept for further attempts.
        self.kept = 0

    def end(self, why: str) -> None:
        """Close it, with nothing owed on it."""
        log.debug("connection closed", extra={"pairs": {"why": why, "requests": self._request_count}})
        self.force_close()

    def is_silent(self) -> bool:
        """Whether it never brought a request, though it was there for long."""
        return not self._request_count and self._loop.time() - self.made_at > SILENT_LONG

    def data_received(self, data: bytes) -> None:
        """A head that begins late in a silence still has its own time."""
        if data and _is_idle(self) and self.head_of != self._request_count:
            self.head_of = self._request_count
            self._next_keepalive_close_time = self._loop.time() + HEAD_LONG
        super().data_received(data)

    def _process_keepalive(self) -> None:
        """The end of a silence; what has come and was not read yet is none.

        Guards against a loop that is late: closing over a request resets it unanswered. A head that has begun
        had its time.
        """
        if self.head_of != self._request_count and has_unread(self.transport):
            self._next_keepalive_close_time = self._loop.time() + UNREAD_AGAIN
        super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """aiohttp would log a trace for each, which is what a flood is after."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self.turned_away(status)
        response = web.Response(status=status)
        response.force_close()
        return response


class _Server(web.Server):
    """aiohttp's low-level server, telling of each new connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[], None],
        turned_away: Callable[[int], None],
    ) -> None:
        super().__init__(handler, request_factory=self._request, handler_cancellation=True)
        self.on_connection = on_connection
        self.turned_away = turned_away

    def __call__(self) -> RequestHandler:
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=QUIET_LONG,
            # What is refused by its length is not read.
            lingering_time=0,
        )

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        read_little(transport)
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
            message, payload, protocol, writer, task, self._loop, client_max_size=MAX_BUFFERED_BODY
        )


class Callers:
    """Everything that callers see of a node."""

    def __init__(
        self,
        tracks: dict[str, int],
        live: Callable[[CallerRequest, int, int, Callable[[], bool]], Awaitable[Answer]],
        is_ready: Callable[[], bool],
        is_crowded: Callable[[], bool],
        make_room: Callable[[], None],
        figures: Figures,
    ) -> None:
        self.figures = figures
        self.make_room = make_room
        # The patience of each track.
        self.tracks = tracks
        self.live = live
        self.is_ready = is_ready
        self.is_crowded = is_crowded
        # Set when the node is to stop: each answer then closes its connection.
        self.closing = False
        # How many were turned away unread since that was last told of, by status.
        self.away: dict[int, int] = {}
        # Bytes kept of large bodies, and answers being passed on.
        self.kept = 0
        self.passing = 0
        self.throttle = LogThrottle()
        self.server = _Server(self._handle, make_room, self._turned_away)
        self.at_once = ACCEPT_AT_ONCE
        # The listening socket, kept open while another process of the node accepts.
        self.listening: socket.socket | None = None
        self.listener: Acceptor | None = None

    async def listen(
        self, host: str, port: int, listening: socket.socket | None = None, shared: bool = False
    ) -> None:
        """Take callers, on the socket of the process before where there is one.

        `shared`: a process started later may listen on the same address even if it was not handed the socket.
        """
        if listening is None:
            listening = await open_listening(host, port, shared)
        self.listening = listening
        self.accept(True)

    def descriptor(self) -> int:
        """What another process needs to accept from the same queue; OSError if it is closed."""
        if self.listening is None:
            raise OSError("not listening")
        return self.listening.fileno()

    def accept(self, on: bool) -> None:
        """Take new connections, or leave those in the queue to another process that has it."""
        if not on:
            if self.listener is not None:
                self.listener.close()
                self.listener = None
        elif self.listening is not None and self.listener is None:
            self.listening.listen(BACKLOG)
            # What the acceptor closes is a copy: the queue lives on with the other.
            self.listener = Acceptor(self.listening.dup(), self.server, self.at_once, self.make_room)
            self.listener.start()

    async def stop_listening(self) -> None:
        """No new connections; those that have brought no request for long are closed.

        Those that the system has already taken into its queue are taken first: closing would reset them.
        """
        # By turns of the loop, not by time: a process that stood still would take none of a full queue.
        listener = self.listener
        for _ in range(BACKLOG // self.at_once):
            if listener is None or not is_readable(self.listening):
                break
            # Also while it rests for a shortage.
            listener.take()
            await asyncio.sleep(0)
        self.accept(False)
        while listener is not None and listener.coming:
            # They are taken, and become connections in the next turns.
            await asyncio.sleep(0)
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        self._close_idle(asked_too=False)

    def begin_closing(self) -> None:
        """Each answer now closes its connection; those between two requests are closed at once."""
        self.closing = True
        self._close_idle(asked_too=True)

    def _close_idle(self, asked_too: bool) -> None:
        for connection in self.server.connections:
            assert isinstance(connection, _Connection)
            if _may_close(connection) and (asked_too or connection.is_silent()):
                connection.end("the node ends")

    async def close(self) -> None:
        await self.server.shutdown(0.05)

    @property
    def held(self) -> int:
        return len(self.server._connections)

    def close_one_idle(self, pressed: bool) -> bool:
        """Give up a connection that has brought no request for long, or else one between two requests.

        What a new connection brings may be on its way and counts as taken: it is read, refused if need be.
        Only when pressed is the oldest of these given up: no descriptor left for accepting would cost more.
        """
        newer = used = None
        for connection in self.server._connections:
            assert isinstance(connection, _Connection)
            silent = connection.is_silent()
            known = used if connection._request_count else newer
            if (known is not None and not silent) or not _may_close(connection):
                continue
            if silent:
                # Before those of usual callers, who ask as soon as they have connected.
                connection.end("room for others, never asked")
                return True
            if connection._request_count:
                used = connection
            else:
                newer = connection
        chosen = used or (newer if pressed else None)
        if chosen is not None:
            chosen.end("room for others")
        return chosen is not None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _Connection)
        try:
            return await self._answer(request, connection)
        finally:
            self.kept -= connection.kept
            connection.kept = 0

    async def _answer(self, request: web.BaseRequest, connection: _Connection) -> web.StreamResponse:
        """From a request's first byte to the last of its answer."""
        if request.raw_path == READY_PATH:
            return self._response(Answer(200 if self.is_ready() else 503))
        try:
            call = await self._read(request, connection)
        except InvalidRequestError as bad:
            pairs = {"request": request.headers.get("Req-Id", ""), "status": bad.status, "why": str(bad)}
            log.debug("request refused", extra={"pairs": pairs})
            self._turned_away(bad.status)
            track = request_class_of(request.raw_path)
            if track in self.tracks:
                self.figures.ended(track, bad.status)
            plain = (("Content-Type", "text/plain"),)
            return self._response(Answer(bad.status, f"{bad}\n".encode(), plain), close=True)
        if call.body_stream is not None:
            # An early answer may find its caller still sending: closing at once would take it back.
            connection._lingering_time = LINGER
        if self.is_crowded():
            # Guards the limit on descriptors: nothing was sent, so trying again is harmless.
            pairs = {"request": call.request_id, "status": 503, "why": "descriptors are short"}
            log.debug("request refused", extra={"pairs": pairs})
            self.figures.ended(call.request_class, 503)
            return self._response(Answer(503), close=True)
        patience = self.tracks[call.request_class] if call.time_left_us is None else call.time_left_us
        unread_us = 0 if call.body_stream else _unread_us(request)
        loop = asyncio.get_running_loop()
        due = loop.time() + (patience - unread_us) / 1e6
        answer = await self.live(call, patience, unread_us, lambda: not has_left(request.transport))
        if answer.body_stream is not None:
            # Behind a body that was passed on, the time runs from its last byte: that was later.
            due = due if call.body_stream is None else loop.time() + patience / 1e6
            return await self._pass_on(request, call, answer, answer.body_stream, due)
        self.figures.ended(call.request_class, answer.status)
        # Nobody hears what else stands in the line of a client that has gone: each would cost a connection.
        gone = answer.status == 499 and has_left(request.transport)
        return self._response(
            answer, close=gone or (call.body_stream is not None and not request.content.is_eof())
        )

    async def _pass_on(
        self, request: web.BaseRequest, call: CallerRequest, answer: Answer, rest: AnswerStream, due_at: float
    ) -> web.StreamResponse:
        """An answer as it comes; one that breaks off cuts its connection, so that the caller can tell."""
        response = web.StreamResponse(status=answer.status, headers=CIMultiDict(answer.headers))
        if rest.length is not None:
            response.content_length = rest.length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            # Its close alone ends it: until it is whole, whatever else closes it, as the node's own end, is
            # a reset.
            response.force_close()
            end_by_reset(request.transport, True)
        if self.closing:
            response.force_close()
        self.passing += 1
        whole = False
        progress = Progress(TAKER_GRACE)
        due = Due(due_at, rest.length, len(answer.body))
        try:
            await response.prepare(request)
            piece = answer.body or await due.within(rest.read)
            while piece:
                await progress.within(response.write(piece), len(piece))
                piece = await due.within(rest.read)
            await progress.within(response.write_eof())
            whole = True
            end_by_reset(request.transport, False)
        except (MalformedAnswerError, TimeoutError) as error:
            # The server broke off or never comes to an end, or the caller takes nothing more.
            log.info("answer broken off", extra={"pairs": {"why": str(error) or "its caller is too slow"}})
        except ConnectionError:
            # The caller has gone: nothing is owed.
            pass
        finally:
            self.passing -= 1
            rest.close()
            if not whole and request.transport is not None:
                request.transport.abort()
            self.figures.ended(call.request_class, answer.status, whole)
        return response

    async def _read(self, request: web.BaseRequest, connection: _Connection) -> CallerRequest:
        """A request with its body, or as much of a large one as is kept; it may end in one way only."""
        message, fields = request._message, request.headers
        if message.version not in (HttpVersion10, HttpVersion11) or message.upgrade:
            raise InvalidRequestError(400, "this is HTTP/1.1 without upgrades")
        if any(len(fields.getall(name, ())) > 1 for name in ONCE):
            raise InvalidRequestError(400, "a field stands twice that may stand once")
        if fields.get("Transfer-Encoding", "chunked").lower() != "chunked":
            raise InvalidRequestError(400, "Transfer-Encoding is not chunked")
        if (request.content_length or 0) > BODY_LARGEST:
            raise InvalidRequestError(413, f"the body is longer than {BODY_LARGEST} bytes")
        if fields.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, rest = bytearray(), None
        if request.can_read_body:
            progress = Progress()
            while piece := await next_piece(request.content, progress):
                body += piece
                connection.kept += len(piece)
                self.kept += len(piece)
                if len(body) > (KEPT_MOST if self.kept <= KEPT_ALL else MAX_BUFFERED_BODY):
                    rest = Body(request.content, len(body), progress)
                    break
        raw = request.raw_headers
        # By the settings of now: a request whose body was still coming when they changed was not taken yet.
        call = parse_request(request.method, request.raw_path, fields, raw, bytes(body), self.tracks)
        return call if rest is None else replace(call, body_stream=rest, length=request.content_length)

    def _turned_away(self, status: int) -> None:
        """Count, and tell of it now and then."""
        self.away[status] = self.away.get(status, 0) + 1
        if self.throttle.is_due(asyncio.get_running_loop().time()):
            pairs = {str(known): count for known, count in sorted(self.away.items())}
            log.warning("requests turned away unread", extra={"pairs": pairs})
            self.away.clear()

    def _response(self, answer: Answer, close: bool = False) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers))
        if close or self.closing:
            response.force_close()
        return response


def _unread_us(request: web.BaseRequest) -> int:
    """How long the request's last byte lay here unread.

    Patience runs from the sending: a node that was held up for a while must not answer as much too late.
    """
    transport = request.transport
    if transport is None or not hasattr(socket, "TCP_INFO"):
        return 0
    connection = transport.get_extra_info("socket")
    # struct tcp_info: tcpi_last_data_recv, milliseconds since data last came, is at byte 52.
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    return int.from_bytes(info[52:56], sys.byteorder) * 1000


def _is_idle(connection: RequestHandler) -> bool:
    """Whether the connection waits for a request and has none, read or half answered.

    Only the waiting itself tells: between a request's reading and the start of its handler nothing else does,
    and closing it then would lose the request.
    """
    return connection._waiter is not None and not connection._waiter.done()


def _may_close(connection: RequestHandler) -> bool:
    """Whether nothing is owed on it: it is idle, and nothing lies there that the loop has not read yet.

    A close over unread bytes is a reset, and their request is lost unanswered.
    """
    return _is_idle(connection) and not has_unread(connection.transport)
