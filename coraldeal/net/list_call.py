"""One call to discovery, from its connection to its end: an answer that becomes a watch, or a failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import aiohttp
from yarl import URL

from coraldeal.net.unread import has_unread
from coraldeal.net.wire import JsonObjectStream, ServerList

log = logging.getLogger(__name__)

T = TypeVar("T")

# The size in bytes from which a piece of an incomplete object counts as a sign of life, since a long list
# takes a while to arrive.
LIVENESS_PIECE_BYTES = 16 * 1024
# Seconds until the liveness timeout is checked again if unread bytes lay in the socket when it expired.
UNREAD_RECHECK = 0.1


@dataclass(frozen=True, slots=True)
class CallTimeouts:
    """Time limits of a call, in seconds."""

    # To establish the connection.
    connect: float
    # From the start of the call to the first object.
    first_object: float
    # Between two signs of life of a watch.
    liveness: float
    # From the start of the call to the head of the answer.
    answer: float


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call or watch ended that the node didn't cancel."""

    reason: str
    liveness_expired: bool
    # Whether discovery answered with an error status.
    refused: bool


def _describe_error(error: Exception) -> str:
    """Return a short description of an error for a log line, which names the address beside it."""
    match error:
        case aiohttp.ClientResponseError():
            return f"status {error.status}"
        case aiohttp.ClientPayloadError() if error.__cause__ is not None:
            return f"cut off, {type(error.__cause__).__name__}"
        case _:
            return f"{type(error).__name__}: {error}"


class CallHost(Protocol):
    """The owner of a call, which is notified of what the call receives."""

    @property
    def parse(self) -> Callable[[bytes], ServerList]:
        """The parser of a list; raises ValueError, KeyError, TypeError or AttributeError for other bytes."""

    def list_received(self, call: ListCall, update: ServerList, is_older: bool) -> None:
        """Handle a snapshot or delta; `is_older`: its version is older than the previous one's."""

    def answer_received(self, call: ListCall) -> None:
        """Handle a sign that the call has been answered, though perhaps without a list yet."""

    def invalid_received(self, call: ListCall) -> None:
        """Handle data that can't be parsed."""

    def call_ended(self, call: ListCall, end: CallEnd) -> None:
        """Handle the end of the call."""


class _LivenessTimer:
    """Ends a call that has received nothing for too long."""

    def __init__(self, seconds: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout(None)
        self.timer = self.loop.call_later(seconds, self._on_timeout)
        # Where unread bytes may lie; None until the head of the answer has been received.
        self.transport: asyncio.BaseTransport | None = None

    def extend(self, seconds: float) -> None:
        """Restart the timeout."""
        self.timer.cancel()
        self.timeout.reschedule(None)
        self.timer = self.loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        """End the call, unless unread bytes lie in the socket: a loop that runs late reads them next."""
        if self.transport is not None and has_unread(self.transport):
            self.extend(UNREAD_RECHECK)
        else:
            self.timeout.reschedule(self.loop.time())


class ListCall:
    """One GET request for the server list, kept open as a watch."""

    def __init__(
        self, number: int, address: str, url: URL, version: int, timeouts: CallTimeouts, host: CallHost
    ) -> None:
        self.number = number
        self.address = address
        self.url = url
        # The version in the request, and the version last received.
        self.requested_version = self.version = version
        self.timeouts = timeouts
        self.host = host
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.has_answer = False
        self.has_list = False
        # The list that the call continues, if another one is in use by now; None: the list in use.
        self.base: ServerList | None = None
        # Whether changes can't be applied, since the call continues a version of another origin.
        self.requires_snapshot = False
        self.is_invalid = False
        self.task: asyncio.Task[None]

    def start(self) -> None:
        """Start the call's task."""
        self.task = self.loop.create_task(self._run())

    def cancel(self) -> None:
        """Cancel the call; its host isn't notified."""
        self.task.cancel()

    async def _run(self) -> None:
        liveness = _LivenessTimer(self.timeouts.answer)
        refused = False
        try:
            reason = await self._follow(liveness)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            reason = "it fell silent" if liveness.timeout.expired() else _describe_error(error)
            refused = isinstance(error, aiohttp.ClientResponseError)
        except Exception:
            # A bug in handling a list must not stop the node from following the list for good.
            log.exception("watch failed")
            reason = "internal error"
        finally:
            liveness.timer.cancel()
        self.host.call_ended(self, CallEnd(reason, liveness.timeout.expired(), refused))

    async def _follow(self, liveness: _LivenessTimer) -> str:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.timeouts.connect)
        connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
        async with (
            liveness.timeout,
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            session.get(self.url, allow_redirects=False) as response,
        ):
            response.raise_for_status()
            self.has_answer = True
            if response.connection is not None:
                liveness.transport = response.connection.transport
            first_object_at = self.started_at + self.timeouts.first_object
            liveness.extend(max(self.timeouts.liveness, first_object_at - self.loop.time()))
            objects = JsonObjectStream()
            async for piece in response.content.iter_any():
                # Only complete objects, long pieces and white space between objects are signs of life. An
                # object that arrives in small pieces, or is followed by white space before its end, must not
                # keep a dead watch open.
                if (
                    self._deliver_objects(objects, piece)
                    or not objects.has_started
                    or len(piece) >= LIVENESS_PIECE_BYTES
                ):
                    self.host.answer_received(self)
                    liveness.extend(self.timeouts.liveness)
        return "it ended"

    def _deliver_objects(self, objects: JsonObjectStream, piece: bytes) -> int:
        """Handle each object that this piece completes before the next one is parsed; return their number.

        Invalid data doesn't undo the objects before it, since discovery counts those as received.
        """
        completed_objects = objects.feed(piece)
        count = 0
        while text := self._parse(lambda _: next(completed_objects, b""), piece):
            count += 1
            update = self._parse(self.host.parse, text)
            if self.requires_snapshot and not update.is_snapshot:
                self.host.invalid_received(self)
                raise aiohttp.ClientPayloadError("changes to the list of another origin")
            self.requires_snapshot = False
            is_older = not update.is_snapshot and update.version < self.version
            self.version = update.version
            self.host.list_received(self, update, is_older)
            if is_older:
                # Discovery went back to an older version: its changes don't continue the list that the node
                # has, and the changes in between would never arrive.
                raise aiohttp.ClientPayloadError(f"its versions went back to {update.version}")
        return count

    def _parse(self, parse: Callable[[bytes], T], text: bytes) -> T:
        try:
            return parse(text)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.is_invalid = True
            self.host.invalid_received(self)
            reason = f"unreadable, {type(error).__name__}: {error}, in {text[:60]!r}"
            raise aiohttp.ClientPayloadError(reason) from None
