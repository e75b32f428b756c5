"""The listener: callers' connections, their requests and the answers."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from coraldeal.net.wire import READY_PATH, Answer, BadCall, Call, read_call

BODY_MOST = 64 * 1024
# For how many seconds a body may keep coming: one that stops half-way must not hold a descriptor for good.
BODY_WAIT = 10.0
# Connections taken in one turn of the loop, so that the reserve of descriptors covers a rush, and how many
# the system holds ready meanwhile.
ACCEPT_AT_ONCE = 16
BACKLOG = 1024
# After how many seconds a connection that never brought a request may be given up.
SILENT_LONG = 5.0


class _Server(web.Server):
    """aiohttp's low-level server, telling of each new connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[], None],
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=0.5,
        )
        self.on_connection = on_connection

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
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
            message, payload, protocol, writer, task, self._loop, client_max_size=BODY_MOST
        )


class Callers:
    """Everything that callers see of a node."""

    def __init__(
        self,
        tracks: dict[str, int],
        live: Callable[[Call, int, int], Awaitable[Answer]],
        is_ready: Callable[[], bool],
        is_crowded: Callable[[], bool],
        make_room: Callable[[], None],
    ) -> None:
        # The patience of each track.
        self.tracks = tracks
        self.live = live
        self.is_ready = is_ready
        self.is_crowded = is_crowded
        # Set when the node is to stop: each answer then closes its connection.
        self.closing = False
        self.server = _Server(self._answer, make_room)
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, sock=listening, backlog=ACCEPT_AT_ONCE)
        listening.listen(BACKLOG)

    def begin_closing(self) -> None:
        """Each answer now closes its connection; those between two requests are closed at once.

        While the node still listens: a caller whose request crosses the close sends it again on a new one.
        """
        self.closing = True
        self._close_idle(silent_too=False)

    def stop_listening(self) -> None:
        """No new connections; those that never brought a request are closed, the rest after their answer."""
        if self.listener is not None:
            self.listener.close()
        self._close_idle(silent_too=True)

    def _close_idle(self, silent_too: bool) -> None:
        for connection in self.server.connections:
            if _is_idle(connection) and (silent_too or connection._request_count):
                connection.force_close()

    async def close(self) -> None:
        await self.server.shutdown(0.05)

    @property
    def held(self) -> int:
        return len(self.server._connections)

    def close_one_idle(self, pressed: bool) -> bool:
        """Give up a connection between two requests, or else one that has brought none for long.

        What a new connection brings may be on its way and counts as taken: it is read, refused if need be.
        Only when pressed is the oldest of these given up: no descriptor left for accepting would cost more.
        """
        now = asyncio.get_running_loop().time()
        silent = None
        for connection in self.server._connections:
            if _is_idle(connection):
                if connection._request_count:
                    connection.force_close()
                    return True
                opened = connection._next_keepalive_close_time - connection.keepalive_timeout
                if pressed or now - opened > SILENT_LONG:
                    silent = silent or connection
        if silent is not None:
            silent.force_close()
        return silent is not None

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        """From a request's first byte to the last of its answer."""
        if request.raw_path == READY_PATH:
            return self._response(Answer(200 if self.is_ready() else 503))
        if self.is_crowded():
            # Guards the limit on descriptors: nothing was sent, so trying again is harmless.
            return self._response(Answer(503), close=True)
        try:
            async with asyncio.timeout(BODY_WAIT):
                body = await request.read()
            raw = request.raw_headers
            call = read_call(request.method, request.raw_path, request.headers, raw, body, self.tracks)
        except web.HTTPRequestEntityTooLarge:
            return self._response(Answer(413), close=True)
        except TimeoutError:
            return self._response(Answer(408), close=True)
        except (web.RequestPayloadError, HttpProcessingError):
            return self._response(Answer(400), close=True)
        except BadCall as bad:
            plain = (("Content-Type", "text/plain"),)
            return self._response(Answer(bad.status, f"{bad}\n".encode(), plain))
        patience = self.tracks[call.track] if call.left_us is None else call.left_us
        return self._response(await self.live(call, patience, _unread_us(request)))

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
