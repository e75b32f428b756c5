"""The relay on sockets: followers, who are told from `ListState`, and the phases from start to end."""

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
from coraldeal.net.listening import open_listening
from coraldeal.net.wire import LIST_PATH, READY_PATH
from coraldeal.operator import RelayTable
from coraldeal.relay.link import Link, monotonic_us
from coraldeal.relay.route import MIN_HEARTBEAT_INTERVAL_US, SECOND_US, SourceSelector
from coraldeal.relay.state import Cursor, ListState

log = logging.getLogger(__name__)

# Descriptors kept for the sources, for logs and for telling those beyond the limit so: so many, or a quarter
# of a small limit.
RESERVE = 64
# For how many seconds a connection may bring no whole request.
HEAD_WAIT = 3.0
# After how many seconds who was turned away, for now, may ask again.
RETRY_AFTER = "1"
# What the system holds for one follower on its way, in bytes, and after how many milliseconds one that takes
# none of it is given up.
SEND_BUFFER = 256 * 1024
TAKES_NOTHING = 10_000
# How long a line of a request may be: a watch names its services there.
LINE_MOST = 64 * 1024
# How long changes from before the first list may take to come, in seconds; then followers are served anyway.
BACKFILL_WAIT = 1.0
# How often the source is asked about followers that are ahead.
ASK_EVERY = 1.0
# Over how many seconds the watches are ended at SIGTERM, so that not all followers turn elsewhere at once.
END_SPREAD = 1.0
END_STEPS = 20
# How often a line tells how things stand, and refused followers are told of, in seconds.
TELL_EVERY = 60.0
REFUSED_EVERY = 10.0
ACCEPT_AT_ONCE = 16
BACKLOG = 1024
# What `TCP_USER_TIMEOUT` is where Python does not know it by name.
USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class BadRequest(Exception):
    """A request that can't be answered; its words go to who asked."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_query(path: str) -> tuple[bool, int, tuple[str, ...]]:
    """Whether a watch is asked for, after which generation (-1: from nothing), and for which services."""
    watch, after = False, -1
    services: tuple[str, ...] = ()
    for part in path.partition("?")[2].split("&"):
        key, _, value = part.partition("=")
        if key == "watch":
            watch = value == "1"
        elif key == "after":
            if not (value.isascii() and value.isdigit() and len(value) < 19):
                raise BadRequest(400, f"after is no generation: {value[:40]!r}")
            after = int(value)
        elif key == "services" and value:
            # Names are encoded one by one, so the commas that stand here are those between them.
            services = tuple(unquote(name) for name in value.split(",") if name)
    return watch, after, services


class Follower:
    """One open watch."""

    __slots__ = ("cursor", "ended", "told_us", "transport", "wake")

    def __init__(self, cursor: Cursor, transport: asyncio.Transport) -> None:
        self.cursor = cursor
        self.transport = transport
        # Set when what it was told last should be looked at: it has taken it, or the watch is to end.
        self.wake = asyncio.Event()
        self.ended = False
        self.told_us = monotonic_us()

    def is_free(self) -> bool:
        """Whether all that was written is with the system: only one write is ever out."""
        return not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def write(self, text: bytes) -> None:
        self.told_us = monotonic_us()
        self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))


class _Server(web.Server):
    """aiohttp's low-level server, telling of each new connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[RequestHandler, asyncio.Transport], None],
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=HEAD_WAIT,
            lingering_time=0,
            max_line_size=LINE_MOST,
        )
        self.on_connection = on_connection

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.on_connection(handler, transport)


class Relay:
    """One list, from its source to the followers."""

    def __init__(self, table: RelayTable, seed: str, sockets: int | None = None) -> None:
        if not table.listen or not table.sources:
            raise SettingsError("relay.listen and relay.sources: a relay needs both")
        self.table = table
        self.state = ListState()
        self.selector = SourceSelector(table.sources, seed)
        self.link = Link(self.state, self.selector, table.services, self._news, self._life)
        self.followers: dict[Follower, None] = {}
        if sockets is None:
            sockets = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.reserve = min(RESERVE, sockets // 4)
        self.limit = min(table.followers, sockets - self.reserve)
        self.ending = asyncio.Event()
        # When followers may be answered though what changed before the first list is not known; 0: no list.
        self.listed_at = 0.0
        self.is_told_ready = False
        self.refused = 0
        self.refused_at = -REFUSED_EVERY
        self.asking: asyncio.Task[None] | None = None
        # Bytes and objects told, for the line that tells how things stand.
        self.bytes_told = self.objects_told = 0
        self.server: _Server | None = None
        self.listener: Acceptor | None = None

    # From start to end.

    async def run(self) -> None:
        """The relay's whole life, to SIGTERM."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM,))
        await self.listen()
        telling = loop.call_later(TELL_EVERY, self._tell)
        try:
            await self.ending.wait()
        finally:
            telling.cancel()
            await self.close()

    async def listen(self) -> None:
        host, _, port = self.table.listen.rpartition(":")
        near = await open_listening(host.strip("[]"), int(port))
        self.server = _Server(self._handle, self._connected)
        near.listen(BACKLOG)
        self.listener = Acceptor(near, self.server, ACCEPT_AT_ONCE)
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
        """Where it listens, also where the system chose the port."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """End the watches in order, those who came first before the others, and leave."""
        assert self.listener is not None and self.server is not None
        log.info("relay ends", extra={"pairs": {"followers": len(self.followers)}})
        self.listener.close()
        step = max(1, len(self.followers) // END_STEPS)
        for count, follower in enumerate(list(self.followers), 1):
            follower.ended = True
            follower.wake.set()
            if not count % step:
                await asyncio.sleep(END_SPREAD / END_STEPS)
        await self.link.close()
        if self.asking is not None:
            self.asking.cancel()
            await asyncio.gather(self.asking, return_exceptions=True)
        # Who has not taken all by then is cut.
        await self.server.shutdown(0.2)
        log.info("relay ended")

    def _tell(self) -> None:
        """How things stand, now and then."""
        asyncio.get_running_loop().call_later(TELL_EVERY, self._tell)
        pairs = {
            "followers": len(self.followers),
            "version": self.state.generation,
            "entries": len(self.state.entries),
            "tombstones": len(self.state.tombstones),
            "age_ms": self.selector.age_us(monotonic_us()) // 1000
            if self.selector.last_contact_us >= 0
            else "never",
            "objects": self.objects_told,
            "bytes": self.bytes_told,
        }
        log.info("relay", extra={"pairs": pairs})

    # What the source says goes on.

    def _news(self) -> None:
        """The list has changed: who follows what changed is told, or will be once it is free."""
        loop = asyncio.get_running_loop()
        if not self.listed_at:
            self.listed_at = loop.time() + BACKFILL_WAIT
        self._look_ready()
        for follower in self.followers:
            if self.state.has_update(follower.cursor):
                self._push(follower)

    def _life(self) -> None:
        """The source lives, and who was not told so just now is."""
        self._look_ready()
        now = monotonic_us()
        for follower in self.followers:
            if now - follower.told_us < MIN_HEARTBEAT_INTERVAL_US or not follower.is_free():
                continue
            if self.state.has_update(follower.cursor):
                self._push(follower)
            elif text := self.state.encode_heartbeat(follower.cursor):
                follower.write(text)

    def _push(self, follower: Follower) -> None:
        """What it has not been told, unless the last is still on its way: then this waits and is folded."""
        if not follower.is_free():
            follower.wake.set()
            return
        text = self.state.encode_update(follower.cursor)
        self.objects_told += 1
        self.bytes_told += len(text)
        follower.write(text)

    def _is_ready(self) -> bool:
        """Whether followers can be answered rightly: there is a list, and what changed before it is known."""
        if not self.listed_at:
            return False
        return self.link.is_backfilled or asyncio.get_running_loop().time() >= self.listed_at

    def _look_ready(self) -> None:
        if not self.is_told_ready and self._is_ready():
            self.is_told_ready = True
            state = self.state
            pairs = {"version": state.generation, "entries": len(state.entries), "from": state.delta_floor}
            log.info("relay ready", extra={"pairs": pairs})

    # Followers.

    def _connected(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        assert self.server is not None
        if len(self.server._connections) > self.limit + self.reserve // 2:
            # Beyond the words too: those who are served keep their descriptors.
            self._refuse()
            transport.abort()
            return
        near = transport.get_extra_info("socket")
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        near.setsockopt(socket.IPPROTO_TCP, USER_TIMEOUT, TAKES_NOTHING)
        asyncio.get_running_loop().call_later(HEAD_WAIT, self._close_silent, handler)

    def _close_silent(self, handler: RequestHandler) -> None:
        """Who has brought no request by now is let go."""
        if not handler._request_count:
            handler.force_close()

    def _refuse(self) -> None:
        """One more than may be served; told now and then."""
        self.refused += 1
        now = asyncio.get_running_loop().time()
        if now - self.refused_at >= REFUSED_EVERY:
            self.refused_at = now
            pairs = {"refused": self.refused, "followers": len(self.followers), "limit": self.limit}
            log.warning("followers at their limit", extra={"pairs": pairs})

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._answer(request)
        except BadRequest as bad:
            response = web.Response(status=bad.status, text=f"{bad}\n")
            if bad.status == 503:
                response.headers["Retry-After"] = RETRY_AFTER
            response.force_close()
            return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.raw_path.partition("?")[0]
        if request.version < HttpVersion11:
            raise BadRequest(505, "this is HTTP/1.1")
        if request.method != "GET":
            raise BadRequest(405, "the method is not GET")
        if path == READY_PATH:
            return web.Response(status=200 if self._is_ready() else 503)
        if path != LIST_PATH:
            raise BadRequest(404, f"there is {LIST_PATH} and {READY_PATH}")
        watch, after, services = read_query(request.raw_path)
        for name in services:
            if self.table.services and name not in self.table.services:
                raise BadRequest(404, f"service {name} is not followed here")
        if not self._is_ready():
            raise BadRequest(503, "no list yet")
        if len(self.followers) >= self.limit:
            self._refuse()
            raise BadRequest(503, "followers at their limit")
        cursor = self.state.add_follower(services, after if watch else -1)
        try:
            if watch:
                return await self._watch(request, cursor)
            text = self.state.encode_update(cursor)
            return web.Response(body=text, headers=self._head())
        finally:
            self.state.remove_follower(cursor)

    def _head(self) -> dict[str, str]:
        return {
            "Content-Type": "application/json",
            "Age": str(self.selector.age_us(monotonic_us()) // SECOND_US),
        }

    async def _watch(self, request: web.BaseRequest, cursor: Cursor) -> web.StreamResponse:
        """One watch, until it is left or the relay ends."""
        response = web.StreamResponse(headers=self._head())
        response.enable_chunked_encoding()
        response.force_close()
        await response.prepare(request)
        protocol, transport = request.protocol, request.transport
        if transport is None:
            return response
        # Told to wait exactly while bytes are not yet the system's.
        transport.set_write_buffer_limits(high=0)
        follower = Follower(cursor, transport)
        self.followers[follower] = None
        try:
            follower.wake.set()
            while True:
                await follower.wake.wait()
                follower.wake.clear()
                await protocol._drain_helper()
                if follower.ended:
                    return response
                if self.state.has_update(cursor):
                    self._push(follower)
                elif self.state.is_ahead(cursor):
                    self._ask_ahead()
        except ConnectionError:
            return response
        finally:
            self.followers.pop(follower, None)

    # Followers that are ahead.

    def _ask_ahead(self) -> None:
        if self.asking is None or self.asking.done():
            self.asking = asyncio.get_running_loop().create_task(self._clear_up())

    async def _clear_up(self) -> None:
        """Ask the source whether what followers have heard elsewhere is of its history.

        It may only be that this relay is behind; but where the source itself, asked since they came, is at a
        lower generation, it was set back.
        """
        while ahead := [each for each in self.followers if self.state.is_ahead(each.cursor)]:
            first = max(ahead, key=lambda each: each.cursor.generation)
            version = await self.link.query_generation(first.cursor.generation, first.cursor.subscription.key)
            if version is not None and version < self.state.generation:
                # What is held here is of another history itself: once that is clear all are told.
                self.link.reconnect()
            elif version is not None:
                for follower in ahead:
                    self.state.invalidate_if_ahead(follower.cursor, version)
                    if follower in self.followers and self.state.has_update(follower.cursor):
                        self._push(follower)
            await asyncio.sleep(ASK_EVERY)
