"""One call at discovery, from its connection to its end: an answer that becomes a watch, or a failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import aiohttp
from yarl import URL

from coraldeal.net.unread import has_unread
from coraldeal.net.wire import Objects, ServerList

log = logging.getLogger(__name__)

T = TypeVar("T")

# A piece of an object, in bytes, that is a sign of life by its length: a long list may take its time.
LONG_PIECE = 16 * 1024
# After how many seconds a silence is looked at again at whose end something lay unread.
UNREAD_AGAIN = 0.1


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Bounds of a call, in seconds: its connection, first object, between objects, the answer's head."""

    connect: float
    first_object: float
    silence: float
    answer: float


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call or watch ended that the node did not end itself."""

    why: str
    fell_silent: bool
    # Whether discovery answered with an error status.
    refused: bool


def _reason(error: Exception) -> str:
    """An error in the few words that a log line has room for; the address stands beside it there."""
    match error:
        case aiohttp.ClientResponseError():
            return f"status {error.status}"
        case aiohttp.ClientPayloadError() if error.__cause__ is not None:
            return f"cut off, {type(error.__cause__).__name__}"
        case _:
            return f"{type(error).__name__}: {error}"


class CallHost(Protocol):
    """Who made the call."""

    @property
    def read(self) -> Callable[[bytes], ServerList]:
        """The list in an object; ValueError, KeyError, TypeError or AttributeError where it is none."""

    def told(self, call: ListCall, told: ServerList, is_back: bool) -> None:
        """A list, or changes of it; `is_back`: of an older version than was told before."""

    def alive(self, call: ListCall) -> None:
        """It has an answer, though perhaps no list yet."""

    def unreadable(self, call: ListCall) -> None:
        """Something came that can't be read."""

    def ended(self, call: ListCall, end: CallEnd) -> None:
        """It is over."""


class _Silence:
    """Ends a call that has brought nothing for its time."""

    def __init__(self, seconds: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout(None)
        self.timer = self.loop.call_later(seconds, self._over)
        # Where bytes may lie unread, once there is an answer.
        self.transport: asyncio.BaseTransport | None = None

    def put_off(self, seconds: float) -> None:
        self.timer.cancel()
        self.timeout.reschedule(None)
        self.timer = self.loop.call_later(seconds, self._over)

    def _over(self) -> None:
        """What has come and was not read is no silence; in a loop that was late it is read a turn later."""
        if self.transport is not None and has_unread(self.transport):
            self.put_off(UNREAD_AGAIN)
        else:
            self.timeout.reschedule(self.loop.time())


class ListCall:
    """One GET of the list, kept open as a watch."""

    def __init__(
        self, number: int, address: str, url: URL, version: int, times: CallTimes, host: CallHost
    ) -> None:
        self.number = number
        self.address = address
        self.url = url
        # The version asked for, and the last one told.
        self.asked_version = self.version = version
        self.times = times
        self.host = host
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        self.has_answer = False
        self.has_told = False
        self.was_unreadable = False
        self.task: asyncio.Task[None]

    def start(self) -> None:
        self.task = self.loop.create_task(self._run())

    def cancel(self) -> None:
        """End it; its host is told nothing."""
        self.task.cancel()

    async def _run(self) -> None:
        silence = _Silence(self.times.answer)
        refused = False
        try:
            why = await self._follow(silence)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            why = "it fell silent" if silence.timeout.expired() else _reason(error)
            refused = isinstance(error, aiohttp.ClientResponseError)
        except Exception:
            # A bug on the way to the module must not end the following for good.
            log.exception("watch failed")
            why = "a bug"
        finally:
            silence.timer.cancel()
        self.host.ended(self, CallEnd(why, silence.timeout.expired(), refused))

    async def _follow(self, silence: _Silence) -> str:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.times.connect)
        connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
        async with (
            silence.timeout,
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            session.get(self.url, allow_redirects=False) as answer,
        ):
            answer.raise_for_status()
            self.has_answer = True
            if answer.connection is not None:
                silence.transport = answer.connection.transport
            due = self.began_at + self.times.first_object
            silence.put_off(max(self.times.silence, due - self.loop.time()))
            objects = Objects()
            async for piece in answer.content.iter_any():
                # Only what is whole or long is a sign of life: an object that dribbles, or stops half-way
                # behind blanks of its own, must not keep a dead watch.
                if self._tell(objects, piece) or not objects.begun or len(piece) >= LONG_PIECE:
                    self.host.alive(self)
                    silence.put_off(self.times.silence)
        return "it ended"

    def _tell(self, objects: Objects, piece: bytes) -> int:
        """How many objects are whole with this piece, each told before the next one is looked at.

        What can't be read takes nothing back of what stands before it: that counts as told.
        """
        whole = objects.feed(piece)
        count = 0
        while text := self._readable(lambda _: next(whole, b""), piece):
            count += 1
            told = self._readable(self.host.read, text)
            is_back = not told.whole and told.version < self.version
            self.version = told.version
            self.host.told(self, told, is_back)
            if is_back:
                # Discovery was set back: these are not the changes since the list held, and the rest of them
                # would never come.
                raise aiohttp.ClientPayloadError(f"its versions went back to {told.version}")
        return count

    def _readable(self, read: Callable[[bytes], T], text: bytes) -> T:
        try:
            return read(text)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.was_unreadable = True
            self.host.unreadable(self)
            why = f"unreadable, {type(error).__name__}: {error}, in {text[:60]!r}"
            raise aiohttp.ClientPayloadError(why) from None
