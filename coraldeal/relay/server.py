"""The relay's server: answers followers from `ListState`, and runs from the start to SIGTERM.

A follower is a client that watches the list: a node or another relay.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import signal
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.web_protocol import RequestHandler

from coraldeal.config import SettingsError
from coraldeal.net.accepting import Acceptor
from coraldeal.net.listening import open_listening_socket
from coraldeal.net.wire import LIST_PATH, READY_PATH
from coraldeal.operator import RelayTable
from coraldeal.relay.link import Link, monotonic_us
from coraldeal.relay.route import MIN_HEARTBEAT_INTERVAL_US, SECOND_US, SourceSelector
from coraldeal.relay.state import Cursor, ListState

log = logging.getLogger(__name__)

# Descriptors that followers can't take: they are for the sources, for logs and for answering clients beyond
# the limit. A quarter of the process's limit where that is less.
RESERVED_DESCRIPTORS = 64
# The seconds that a connection may stay open without a complete request.
REQUEST_TIMEOUT_S = 3.0
# The seconds in the Retry-After header of a 503, as text.
RETRY_AFTER = "1"
# The size of the kernel's send buffer for one follower in bytes, and the milliseconds after which the kernel
# closes the connection of a follower that acknowledges none of it.
SEND_BUFFER_BYTES = 256 * 1024
USER_TIMEOUT_MS = 10_000
# The limit of a request line in bytes. It is large since a watch names its services there.
MAX_REQUEST_LINE_BYTES = 64 * 1024
# The seconds that the changes before the first snapshot may take to arrive; after that followers are served
# without them.
BACKFILL_TIMEOUT_S = 1.0
# The seconds between queries to the source about followers that are ahead of the relay.
GENERATION_QUERY_INTERVAL_S = 1.0
# The seconds and the number of steps over which the watches are ended at SIGTERM, so that not all followers
# connect elsewhere at once.
SHUTDOWN_SPREAD_S = 1.0
SHUTDOWN_STEPS = 20
# The seconds between two status lines of the log, and the least between two warnings of refused followers.
STATUS_LOG_INTERVAL_S = 60.0
REFUSAL_LOG_INTERVAL_S = 10.0
# How many connections are accepted in one turn of the event loop.
MAX_ACCEPTS_PER_TURN = 16
LISTEN_BACKLOG = 1024
# 18 is Linux's value, for a Python build whose `socket` module lacks the name.
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class BadRequest(Exception):
    """A request is answered with this status; the text is the body of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_query(path: str) -> tuple[bool, int, tuple[str, ...]]:
    """Parses whether a watch is asked for, the generation it starts after (-1: none) and the services.

    No services named means all services. Raises BadRequest if the generation is not a number of at most 18
    digits.
    """
    watch, after = False, -1
    services: tuple[str, ...] = ()
    for parameter in path.partition("?")[2].split("&"):
        key, _, value = parameter.partition("=")
        if key == "watch":
            watch = value == "1"
        elif key == "after":
            if not (value.isascii() and value.isdigit() and len(value) < 19):
                raise BadRequest(400, f"after is no generation: {value[:40]!r}")
            after = int(value)
        elif key == "services" and value:
            # Each name is percent-encoded by itself, so a literal comma always separates two names.
            services = tuple(unquote(name) for name in value.split(",") if name)
    return watch, after, services


class Follower:
    """One open watch of a client."""

    __slots__ = ("cursor", "is_ending", "last_write_us", "transport", "wake")

    def __init__(self, cursor: Cursor, transport: asyncio.Transport) -> None:
        self.cursor = cursor
        self.transport = transport
        # Wakes the task of the watch, which sends the next update once all was written, or ends the watch.
        self.wake = asyncio.Event()
        self.is_ending = False
        self.last_write_us = monotonic_us()

    def is_writable(self) -> bool:
        """Whether the kernel has taken all that was written; at most one write waits in the process."""
        return not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def write_chunk(self, text: bytes) -> None:
        """Writes the text as one HTTP chunk."""
        self.last_write_us = monotonic_us()
        self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))


class _HttpServer(web.Server):
    """aiohttp's low-level server with a callback for each new connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[RequestHandler, asyncio.Transport], None],
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=REQUEST_TIMEOUT_S,
            lingering_time=0,
            max_line_size=MAX_REQUEST_LINE_BYTES,
        )
        self.on_connection = on_connection

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.on_connection(handler, transport)


class Relay:
    """Serves one list, received from its source, to the followers.

    Raises SettingsError where the table names no address to listen at or no source. `max_descriptors` is the
    process's limit of open files unless given.
    """

    def __init__(self, table: RelayTable, seed: str, max_descriptors: int | None = None) -> None:
        if not table.listen or not table.sources:
            raise SettingsError("relay.listen and relay.sources: a relay needs both")
        self.table = table
        self.state = ListState()
        self.selector = SourceSelector(table.sources, seed)
        self.link = Link(self.state, self.selector, table.services, self._handle_update, self._handle_alive)
        self.followers: dict[Follower, None] = {}
        if max_descriptors is None:
            max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.reserve = min(RESERVED_DESCRIPTORS, max_descriptors // 4)
        self.limit = min(table.followers, max_descriptors - self.reserve)
        self.stop_requested = asyncio.Event()
        # The event loop's time from which followers are served without a backfill; 0: no list yet.
        self.backfill_deadline = 0.0
        self.is_ready_logged = False
        # Refused followers since the start, and the event loop's time of the last warning about them.
        self.refused = 0
        self.refusal_logged_at = -REFUSAL_LOG_INTERVAL_S
        self.query_task: asyncio.Task[None] | None = None
        # Bytes and objects sent to followers since the start, for the status line of the log.
        self.bytes_sent = self.objects_sent = 0
        self.server: _HttpServer | None = None
        self.listener: Acceptor | None = None

    # Start and shutdown.

    async def run(self) -> None:
        """Serves from now until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM,))
        await self.listen()
        status_timer = loop.call_later(STATUS_LOG_INTERVAL_S, self._log_status)
        try:
            await self.stop_requested.wait()
        finally:
            status_timer.cancel()
            await self.close()

    async def listen(self) -> None:
        """Opens the listening socket and starts to follow the sources."""
        host, _, port = self.table.listen.rpartition(":")
        listening_socket = await open_listening_socket(host.strip("[]"), int(port))
        self.server = _HttpServer(self._handle_request, self._handle_connection)
        listening_socket.listen(LISTEN_BACKLOG)
        self.listener = Acceptor(listening_socket, self.server, MAX_ACCEPTS_PER_TURN)
        self.listener.start()
        pairs = {
            "listen": self.address,
            "sources": ",".join(self.selector.addresses),
            "followers": self.limit,
        }
        log.info("relay up, no list yet", extra={"pairs": pairs})
        self.link.start()

    @property
    def address(self) -> str:
        """The address of the listening socket, with the kernel's choice where port 0 is configured."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Ends the watches over `SHUTDOWN_SPREAD_S`, the oldest first, and closes the relay."""
        assert self.listener is not None and self.server is not None
        log.info("relay ends", extra={"pairs": {"followers": len(self.followers)}})
        self.listener.close()
        step = max(1, len(self.followers) // SHUTDOWN_STEPS)
        for count, follower in enumerate(list(self.followers), 1):
            follower.is_ending = True
            follower.wake.set()
            if not count % step:
                await asyncio.sleep(SHUTDOWN_SPREAD_S / SHUTDOWN_STEPS)
        await self.link.close()
        if self.query_task is not None:
            self.query_task.cancel()
            await asyncio.gather(self.query_task, return_exceptions=True)
        # Closes the connections of followers that have not taken everything within 0.2 s.
        await self.server.shutdown(0.2)
        log.info("relay ended")

    def _log_status(self) -> None:
        asyncio.get_running_loop().call_later(STATUS_LOG_INTERVAL_S, self._log_status)
        pairs = {
            "followers": len(self.followers),
            "version": self.state.generation,
            "entries": len(self.state.entries),
            "tombstones": len(self.state.tombstones),
            "age_ms": self.selector.age_us(monotonic_us()) // 1000
            if self.selector.last_contact_us >= 0
            else "never",
            "objects": self.objects_sent,
            "bytes": self.bytes_sent,
        }
        log.info("relay", extra={"pairs": pairs})

    # Updates and heartbeats from the source.

    def _handle_update(self) -> None:
        """Sends an applied update to the followers that it concerns, at once or when they are writable."""
        loop = asyncio.get_running_loop()
        if not self.backfill_deadline:
            self.backfill_deadline = loop.time() + BACKFILL_TIMEOUT_S
        self._log_if_ready()
        for follower in self.followers:
            if self.state.has_update(follower.cursor):
                self._send_update(follower)

    def _handle_alive(self) -> None:
        """Passes on that the source is alive, to followers that were sent nothing in the last 200 ms."""
        self._log_if_ready()
        now_us = monotonic_us()
        for follower in self.followers:
            if now_us - follower.last_write_us < MIN_HEARTBEAT_INTERVAL_US or not follower.is_writable():
                continue
            if self.state.has_update(follower.cursor):
                self._send_update(follower)
            elif text := self.state.encode_heartbeat(follower.cursor):
                follower.write_chunk(text)

    def _send_update(self, follower: Follower) -> None:
        """Sends a follower what it has not received.

        While the last write is still buffered, nothing is sent: the changes are coalesced until the follower
        is writable.
        """
        if not follower.is_writable():
            follower.wake.set()
            return
        text = self.state.encode_update(follower.cursor)
        self.objects_sent += 1
        self.bytes_sent += len(text)
        follower.write_chunk(text)

    def _is_ready(self) -> bool:
        """Whether followers can be served: there is a list, backfilled as far as that came in time."""
        if not self.backfill_deadline:
            return False
        return self.link.is_backfilled or asyncio.get_running_loop().time() >= self.backfill_deadline

    def _log_if_ready(self) -> None:
        if not self.is_ready_logged and self._is_ready():
            self.is_ready_logged = True
            state = self.state
            pairs = {"version": state.generation, "entries": len(state.entries), "from": state.delta_floor}
            log.info("relay ready", extra={"pairs": pairs})

    # Requests of followers.

    def _handle_connection(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        assert self.server is not None
        if len(self.server._connections) > self.limit + self.reserve // 2:
            # Beyond half the reserve not even a 503 is sent, so that the followers served keep their
            # descriptors.
            self._record_refusal()
            transport.abort()
            return
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._close_without_request, handler)

    def _close_without_request(self, handler: RequestHandler) -> None:
        """Closes a connection that has brought no request so far."""
        if not handler._request_count:
            handler.force_close()

    def _record_refusal(self) -> None:
        """Counts a follower beyond the limit, and logs a warning if the last one is long enough ago."""
        self.refused += 1
        now = asyncio.get_running_loop().time()
        if now - self.refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self.refusal_logged_at = now
            pairs = {"refused": self.refused, "followers": len(self.followers), "limit": self.limit}
            log.warning("followers at their limit", extra={"pairs": pairs})

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._respond(request)
        except BadRequest as error:
            response = web.Response(status=error.status, text=f"{error}\n")
            if error.status == 503:
                response.headers["Retry-After"] = RETRY_AFTER
            response.force_close()
            return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.raw_path.partition("?")[0]
        if request.version < HttpVersion11:
            raise BadRequest(505, "this is HTTP/1.1")
        if request.method != "GET":
            raise BadRequest(405, "the method is not GET")
        if path == READY_PATH:
            return web.Response(status=200 if self._is_ready() else 503)
        if path != LIST_PATH:
            raise BadRequest(404, f"there is {LIST_PATH} and {READY_PATH}")
        watch, after, services = parse_query(request.raw_path)
        for name in services:
            if self.table.services and name not in self.table.services:
                raise BadRequest(404, f"service {name} is not followed here")
        if not self._is_ready():
            raise BadRequest(503, "no list yet")
        if len(self.followers) >= self.limit:
            self._record_refusal()
            raise BadRequest(503, "followers at their limit")
        cursor = self.state.add_follower(services, after if watch else -1)
        try:
            if watch:
                return await self._serve_watch(request, cursor)
            text = self.state.encode_update(cursor)
            return web.Response(body=text, headers=self._response_headers())
        finally:
            self.state.remove_follower(cursor)

    def _response_headers(self) -> dict[str, str]:
        return {
            "Content-Type": "application/json",
            "Age": str(self.selector.age_us(monotonic_us()) // SECOND_US),
        }

    async def _serve_watch(self, request: web.BaseRequest, cursor: Cursor) -> web.StreamResponse:
        """Serves one watch until the client closes it or the relay shuts down."""
        response = web.StreamResponse(headers=self._response_headers())
        response.enable_chunked_encoding()
        response.force_close()
        await response.prepare(request)
        protocol, transport = request.protocol, request.transport
        if transport is None:
            return response
        # With a high-water mark of 0, draining waits exactly while the kernel has not taken all bytes.
        transport.set_write_buffer_limits(high=0)
        follower = Follower(cursor, transport)
        self.followers[follower] = None
        try:
            follower.wake.set()
            while True:
                await follower.wake.wait()
                follower.wake.clear()
                await protocol._drain_helper()
                if follower.is_ending:
                    return response
                if self.state.has_update(cursor):
                    self._send_update(follower)
                elif self.state.is_ahead(cursor):
                    self._start_generation_query()
        except ConnectionError:
            return response
        finally:
            self.followers.pop(follower, None)

    # Followers that have received a newer generation elsewhere.

    def _start_generation_query(self) -> None:
        if self.query_task is None or self.query_task.done():
            self.query_task = asyncio.get_running_loop().create_task(self._resolve_ahead_followers())

    async def _resolve_ahead_followers(self) -> None:
        """Queries the source until no follower is ahead, to find out whether their generations are its own.

        Usually this relay only lags behind. But if the source itself, asked after the followers came, is at a
        lower generation, it was reset, and the followers' generations are of an earlier epoch.
        """
        while ahead := [each for each in self.followers if self.state.is_ahead(each.cursor)]:
            farthest = max(ahead, key=lambda each: each.cursor.generation)
            generation = await self.link.query_generation(
                farthest.cursor.generation, farthest.cursor.subscription.key
            )
            if generation is not None and generation < self.state.generation:
                # The list held here is of an earlier epoch too. The new watch shows that, and then all
                # followers get a snapshot.
                self.link.reconnect()
            elif generation is not None:
                for follower in ahead:
                    self.state.invalidate_if_ahead(follower.cursor, generation)
                    if follower in self.followers and self.state.has_update(follower.cursor):
                        self._send_update(follower)
            await asyncio.sleep(GENERATION_QUERY_INTERVAL_S)
