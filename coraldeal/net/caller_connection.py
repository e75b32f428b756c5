"""The connections of callers, on aiohttp's low-level server: their heads, their timeouts and their memory."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from coraldeal.heads import MAX_HEAD_BYTES, MAX_HEAD_FIELDS, HeadMeter
from coraldeal.memory import Claim, MessageKind
from coraldeal.net.bodies import MIN_READ_BYTES, MIN_WAITING_BYTES, limit_read_size
from coraldeal.net.memory import MemoryWaits, Reservation
from coraldeal.net.unread import has_unread
from coraldeal.net.wire import STREAMING_THRESHOLD

log = logging.getLogger(__name__)

# For how many seconds a connection may be idle, before its first request or after an answer, and how many
# seconds a request's head may take from its first byte on. Without these limits idle and stalled callers
# would hold file descriptors. Bodies must keep a minimum rate instead, see coraldeal.net.bodies.
IDLE_TIMEOUT = 2.5
HEAD_TIMEOUT = 3.0
# After how many seconds an idle timeout is checked again if it expired while something was unread.
UNREAD_RECHECK_INTERVAL = 0.1
# After how many seconds a connection without any request may be closed if descriptors are short.
UNUSED_TIMEOUT = 0.5
# Seconds for which a head waits for memory before its request is rejected.
HEAD_MEMORY_WAIT = 0.5
# Bytes of an answer that may wait in a connection's transport after the answer was written.
MAX_LEFT_UNWRITTEN_BYTES = 4 * 1024


class CallerConnection(RequestHandler):
    """A caller's connection. A malformed request gets a short answer, and its connection is closed.

    Bytes of a head reach the parser only once memory is reserved for what it makes of them. Until then they
    are held, and the connection is not read.
    """

    def __init__(self, manager: CallerServer, **options: Any) -> None:
        super().__init__(manager, **options)
        self.server = manager
        self.connected_at = self._loop.time()
        # The number of requests before the head that is being received; -1: none is being received.
        self.requests_before_head = -1
        # Bytes of the current request's body that are buffered for further attempts.
        self.buffered_bytes = 0
        # The memory of the current request and its answer, and that of heads.
        self.memory = Reservation(manager.waits)
        # Whether the transport's limits are those for a connection without reserved memory.
        self.has_default_limits = True
        # Whether the last answer on the connection was served and small.
        self.had_small_answer = False
        self.heads = HeadMeter()
        self.head_memory = 0
        # The body of the last request that was parsed.
        self.last_payload: StreamReader = EMPTY_PAYLOAD
        # Bytes that wait for memory for a head, further bytes that were read meanwhile, the claim that they
        # wait for, and when that is given up.
        self.held = b""
        self.held_unmeasured = b""
        self.claim: Claim | None = None
        self.claim_timer: asyncio.TimerHandle | None = None
        # Whether the connection was refused: what it sends from then on is discarded.
        self.is_refused = False
        # The last four bytes that were read.
        self.last_read = b""

    def close_idle(self, reason: str) -> None:
        """Close the connection; no request on it may be waiting for an answer."""
        log.debug("connection closed", extra={"pairs": {"why": reason, "requests": self._request_count}})
        self.force_close()

    def is_idle(self) -> bool:
        """Return whether the connection waits for a request and has none that was read or partly answered.

        Only the wait itself shows this: nothing else does between the reading of a request and the start of
        its handler, and a close at that time would lose the request.
        """
        return self._waiter is not None and not self._waiter.done()

    def may_close(self) -> bool:
        """Return whether a close loses no request: the connection is idle and has no unread bytes.

        A close with unread bytes is a reset, and their request is lost unanswered.
        """
        return self.is_idle() and not self.held and not has_unread(self.transport)

    def is_unused(self) -> bool:
        """Return whether the connection is older than `UNUSED_TIMEOUT` and has had no request."""
        return not self._request_count and self._loop.time() - self.connected_at > UNUSED_TIMEOUT

    def idle_seconds(self) -> float:
        """Return for how many seconds the connection has been idle, if it is idle."""
        return self._loop.time() + IDLE_TIMEOUT - self._next_keepalive_close_time

    def data_received(self, data: bytes) -> None:
        """Start the head timeout at the first byte of a head, and pass bytes to the parser.

        A head that starts late in the idle timeout has its full time.
        """
        if self.is_refused:
            return
        if not data:
            # An empty call makes the parser continue with the data that it held back.
            self._parse(data)
            return
        if self.is_idle() and self.requests_before_head != self._request_count:
            self.requests_before_head = self._request_count
            self._next_keepalive_close_time = self._loop.time() + HEAD_TIMEOUT
        self.last_read = (self.last_read + data[-4:])[-4:]
        if self.held:
            # Reading was resumed for another reason.
            self.held_unmeasured += data
            self._pause_transport_reading()
        elif self.last_payload.is_eof():
            self._receive_head(data)
        else:
            self._receive_body(data)

    def _receive_head(self, data: bytes) -> None:
        """Pass bytes of a head to the parser, or hold them until memory is reserved for them."""
        self.heads.add(data)
        if self.heads.is_too_large:
            self._refuse(431, f"a head has over {MAX_HEAD_BYTES} bytes or {MAX_HEAD_FIELDS} fields")
            return
        missing = self.heads.reservation - self.head_memory
        if missing <= 0 or self.server.waits.budget.try_reserve(missing, MessageKind.HEAD):
            self.head_memory += max(0, missing)
            self._parse(data)
            return
        self.held = data
        self.claim = self.server.waits.budget.claim(
            missing, lambda: self._continue_head(missing), MessageKind.HEAD
        )
        self.claim_timer = self._loop.call_later(HEAD_MEMORY_WAIT, self._give_up_head)
        self._pause_transport_reading()

    def _continue_head(self, granted: int) -> None:
        """Parse the bytes that were held in the next turn; called when their memory was reserved."""
        self.head_memory += granted
        self._stop_waiting()
        self._loop.call_soon(self._parse_held)

    def _parse_held(self) -> None:
        held, self.held = self.held, b""
        unmeasured, self.held_unmeasured = self.held_unmeasured, b""
        if self.transport is None or not held:
            return
        self._parse(held)
        if unmeasured:
            self.data_received(unmeasured)
        if not (self.held or self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def _give_up_head(self) -> None:
        self._refuse(503, "no memory for its head")

    def _stop_waiting(self) -> None:
        if self.claim_timer is not None:
            self.claim_timer.cancel()
            self.claim_timer = None
        if self.claim is not None:
            self.server.waits.budget.withdraw(self.claim)
            self.claim = None

    def _receive_body(self, data: bytes) -> None:
        """Pass bytes of a body to the parser; heads behind it in the same read are charged afterwards."""
        count = self._request_count
        self._parse(data)
        if self._request_count != count:
            self.heads.add(data)
            missing = max(0, self.heads.reservation - self.head_memory)
            self.server.waits.budget.reserve(missing, MessageKind.HEAD)
            self.head_memory += missing

    def _parse(self, data: bytes) -> None:
        count = self._request_count
        super().data_received(data)
        if self._request_count != count and self._messages:
            self.last_payload = self._messages[-1][1]
            if self.last_payload is not EMPTY_PAYLOAD:
                self.heads.expect_body()

    def _refuse(self, status: int, reason: str) -> None:
        """Answer with an error behind the answers to earlier requests, and discard what still arrives."""
        self._stop_waiting()
        self.held = self.held_unmeasured = b""
        self.is_refused = True
        self._resume_transport_reading()
        self._request_count += 1
        self._messages.append((_ErrInfo(status, ValueError(reason), reason), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def set_default_limits(self) -> None:
        """Limit reads and unwritten bytes to what a connection holds without reserved memory."""
        if self.transport is not None:
            limit_read_size(self.transport, MIN_READ_BYTES)
            self.transport.set_write_buffer_limits(high=MAX_LEFT_UNWRITTEN_BYTES)
        self.has_default_limits = True

    def request_ended(self) -> None:
        """Release the memory of heads, unless further requests of the connection wait for their turn."""
        if not self.has_default_limits:
            self.set_default_limits()
        if self._messages:
            return
        # What is held for want of memory is covered by its claim.
        self.heads.requests_ended(self.claim.size if self.claim is not None else 0)
        needed = 0 if self.held else self.heads.reservation
        surplus = self.head_memory - needed
        if surplus > 0:
            self.head_memory = needed
            self.server.waits.budget.release(surplus, MessageKind.HEAD)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the memory of heads that were being received."""
        self._stop_waiting()
        size, self.head_memory = self.head_memory, 0
        if size:
            self.server.waits.budget.release(size, MessageKind.HEAD)
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        """Close the connection at its idle timeout, unless a request has arrived and was not read yet.

        If the event loop is late, a close would reset the connection with its request unanswered. A head that
        was being received had its own timeout.
        """
        if self.held or (self.requests_before_head != self._request_count and has_unread(self.transport)):
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
        if status == 503:
            response = self.server.reject_for_memory()
        elif status >= 500:
            return super().handle_error(request, status, exc, message)
        else:
            self.server.on_refused(status)
            response = web.Response(status=status)
        response.force_close()
        return response


class CallerServer(web.Server):
    """aiohttp's low-level server, with callbacks for new connections and for requests refused unread."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        on_connection: Callable[[], None],
        on_refused: Callable[[int], None],
        reject_for_memory: Callable[[], web.Response],
        waits: MemoryWaits,
    ) -> None:
        super().__init__(handler, request_factory=self._request, handler_cancellation=True)
        self.on_connection = on_connection
        # Called with the status of a request that was refused unread.
        self.on_refused = on_refused
        # Returns the answer to a request that was rejected because no memory was left for its head.
        self.reject_for_memory = reject_for_memory
        self.waits = waits

    def __call__(self) -> RequestHandler:
        return CallerConnection(
            self,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT,
            max_headers=MAX_HEAD_FIELDS,
            # A body that is refused because of its length is not read.
            lingering_time=0,
            # aiohttp holds twice this size.
            read_bufsize=MIN_WAITING_BYTES // 2,
        )

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Register a new connection and make room for it if necessary."""
        super().connection_made(handler, transport)
        assert isinstance(handler, CallerConnection)
        handler.set_default_limits()
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
