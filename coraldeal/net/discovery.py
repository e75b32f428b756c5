"""The list of servers, followed by a watch at discovery."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote
from zlib import crc32

import aiohttp
from yarl import URL

from coraldeal.net.wire import LIST_PATH, Objects, ServerList

log = logging.getLogger(__name__)

T = TypeVar("T")

# What a watch that fell silent has missed counts as told 6 s after it fell silent, and any change 6 s after
# discovery had it and could be reached, whatever failed before: the sums stand in docs/endings.md.
# Discovery sends a line every 2 s; when one is missing the watch is dead.
SILENCE = 2.5
# How long a call may wait for its answer: discovery works through calls in turn, and fails by itself what
# waited for 2 to 3 s. A call that failed so late has spared discovery as much as a silence.
ANSWER_WAIT = 3.05
WAITED_LONG = 1.5
# A piece of an object, in bytes, that is a sign of life by its length: a long list may take its time.
LONG_PIECE = 16 * 1024
# How long a connection may take to come up: one that does not must leave time for a further try within
# these 6 s, and where lists are pushed within the grace of a drain that is told as the list is back.
CONNECT_WAIT = 0.6
# All followers of a relay lose it in one moment; each goes on at another after a part of this, by chance.
GO_ON_WITHIN = 0.5


def _in_own_order(sources: Sequence[str], seed: str) -> list[str]:
    # Off where no sources are named, and not imported then.
    from coraldeal.relay.route import in_own_order

    return in_own_order(sources, seed)


class _Silence:
    """Ends a watch that has brought nothing for its time."""

    def __init__(self, seconds: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout(None)
        self.timer = self.loop.call_later(seconds, self._over)

    def put_off(self, seconds: float) -> None:
        self.timer.cancel()
        self.timeout.reschedule(None)
        self.timer = self.loop.call_later(seconds, self._over)

    def _over(self) -> None:
        """A turn later: in a loop that was late, what has come meanwhile is read in this very turn."""
        self.timeout.reschedule(self.loop.time())


class Discovery:
    """At most one watch at a time; each that ends is told once."""

    def __init__(
        self,
        address: str | None,
        read: Callable[[Any], ServerList],
        on_list: Callable[[ServerList], None],
        on_failure: Callable[[], None],
        services: Sequence[str] = (),
        sources: Sequence[str] = (),
        seed: str = "",
    ) -> None:
        # Several sources of the same list, in an order of this node's own: a watch that ends goes on at the
        # next one, from the version held. None: there is the one address.
        self.sources = _in_own_order(sources, seed) if sources else []
        self.seed = seed
        self.address = self.sources[0] if self.sources else address
        # The services whose servers are asked for; none named: all that the source tells at this address.
        self.services = services
        self.read = read
        self.on_list = on_list
        self.on_failure = on_failure
        self.version = -1
        # Whether a watch fell silent and no call was answered since.
        self.silent = False
        # Why the last watch ended, as it was told in the log; empty once a list has come since.
        self.told_why = ""
        # How many calls have failed since a list last came, and since when.
        self.failed_calls = 0
        self.failing_since = 0.0
        # When the last call was made, and whether a list has come of it.
        self.called_at = 0.0
        self.is_answered = False
        self.task: asyncio.Task[None] | None = None

    def follow(self) -> None:
        """Watch the list from the version held, unless a watch is on."""
        if self.address is not None and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self._watch())

    def move(self, address: str | None) -> None:
        """Watch another address from now on; the list held stays until that one has told its own.

        Its versions need not count on from those of the old one, so the whole list is asked for.
        """
        self.address = address
        self.version = -1
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.follow()

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _watch(self) -> None:
        # A watch that fell silent is opened anew at once, each time: it took `SILENCE`, which spares
        # discovery enough, and with a wait on top the changes that it missed came too late. So is, once, a
        # call that waited long behind a silence and failed. Any other end is told; where there are several
        # sources, when each of them has failed.
        loop = asyncio.get_running_loop()
        again, failed = True, 0
        while again:
            began, version = loop.time(), self.version
            fell_silent = await self._fell_silent()
            again = fell_silent or (self.silent and loop.time() - began > WAITED_LONG)
            self.silent = fell_silent
            if self.sources:
                failed = 0 if fell_silent or self.version != version else failed + 1
                again = failed < len(self.sources)
                await self._go_on()
        # From the loop, when this watch is done, so that the next one may begin at once.
        loop.call_soon(self.on_failure)

    async def _go_on(self) -> None:
        """To the next source, spread by chance: whoever followed the one before goes on too."""
        assert self.address is not None
        chance = crc32(f"{self.seed} {self.address} {self.version}".encode()) / 2**32
        self.address = self.sources[(self.sources.index(self.address) + 1) % len(self.sources)]
        await asyncio.sleep(GO_ON_WITHIN * chance)

    async def _fell_silent(self) -> bool:
        """One watch, to its end; whether that was silence."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_WAIT)
        url = f"http://{self.address}{LIST_PATH}?watch=1"
        if self.version >= 0:
            url += f"&after={self.version}"
        if self.services:
            url += "&services=" + ",".join(quote(name, safe="") for name in self.services)
        why = "it ended"
        loop = asyncio.get_running_loop()
        self.called_at = loop.time()
        self.is_answered = False
        due = self.called_at + ANSWER_WAIT
        silence = _Silence(ANSWER_WAIT)
        try:
            connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
            async with (
                silence.timeout,
                aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
                # As it stands: a comma within a name must not become one between two.
                session.get(URL(url, encoded=True), allow_redirects=False) as answer,
            ):
                answer.raise_for_status()
                self.silent = False
                silence.put_off(max(SILENCE, due - loop.time()))
                objects = Objects()
                async for piece in answer.content.iter_any():
                    # Only what is whole or long is a sign of life: an object that dribbles, or stops half-way
                    # behind blanks of its own, must not keep a dead watch.
                    if self._told(objects, piece) or not objects.begun or len(piece) >= LONG_PIECE:
                        silence.put_off(SILENCE)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            why = "it fell silent" if silence.timeout.expired() else f"{type(error).__name__}: {error}"
        except Exception:
            # A bug on the way to the module must not end the watching for good.
            log.exception("watch failed")
            why = "a bug"
        finally:
            silence.timer.cancel()
        self._log_end(why)
        return silence.timeout.expired()

    def _log_end(self, why: str) -> None:
        """One line for the end of a watch or call.

        The same end once more says nothing new, and a line for each would hide what does; a call that waited
        long is told each time, for waits add up to changes that come too late.
        """
        now = asyncio.get_running_loop().time()
        waited = now - self.called_at
        pairs = {"why": why, "version": self.version, "address": self.address}
        has_waited_long = not self.is_answered and waited > WAITED_LONG
        if not self.is_answered:
            self.failing_since = self.failing_since if self.failed_calls else self.called_at
            self.failed_calls += 1
            pairs |= {"call_ms": int(waited * 1000), "failed_calls": self.failed_calls}
        level = logging.DEBUG if why == self.told_why and not has_waited_long else logging.INFO
        self.told_why = why
        log.log(level, "watch over", extra={"pairs": pairs})

    def _log_answer(self, told: ServerList) -> None:
        """One line for the first list of each call, with what came before it."""
        if self.is_answered:
            return
        self.is_answered = True
        now = asyncio.get_running_loop().time()
        pairs = {"version": told.version, "whole": told.whole, "servers": len(told.servers)}
        pairs |= {"call_ms": int((now - self.called_at) * 1000), "failed_calls": self.failed_calls}
        if self.failed_calls:
            pairs["without_list_ms"] = int((now - self.failing_since) * 1000)
        self.failed_calls = 0
        log.info("list answered", extra={"pairs": pairs})

    def _told(self, objects: Objects, piece: bytes) -> int:
        """How many objects are whole with this piece, each told before the next one is looked at.

        What can't be read takes nothing back of what stands before it: that counts as told.
        """
        whole = objects.feed(piece)
        count = 0
        while text := self._readable(lambda _: next(whole, b""), piece):
            count += 1
            told = self._readable(self.read, text)
            is_back = not told.whole and told.version < self.version
            self.version = -1 if is_back else told.version
            self.told_why = ""
            self._log_answer(told)
            self.on_list(told)
            if is_back:
                # Discovery was set back: these are not the changes since the list held, and the rest of them
                # would never come.
                raise aiohttp.ClientPayloadError(f"its versions went back to {told.version}")
        return count

    def _readable(self, read: Callable[[bytes], T], text: bytes) -> T:
        try:
            return read(text)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # The list held stays, and the whole of it is asked for next: changes may have been missed. Where
            # another source may be behind this one, only what changed since: its whole list may be older.
            if not self.sources:
                self.version = -1
            why = f"unreadable, {type(error).__name__}: {error}, in {text[:60]!r}"
            raise aiohttp.ClientPayloadError(why) from None
