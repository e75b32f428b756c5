"""The relay's own watch at its source. I/O alone: `ListState` and `SourceSelector` decide."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from coraldeal.net.wire import OBJECT_MOST, Objects, list_url
from coraldeal.relay.route import LIVENESS_TIMEOUT_US, SourceSelector
from coraldeal.relay.state import (
    BACKFILL_GENERATIONS,
    InvalidUpdate,
    ListState,
    OutOfOrderUpdate,
    parse_update,
)

log = logging.getLogger(__name__)

# How long a connection may take to come up, a whole list to be there, and a question about a generation to be
# answered, in seconds.
CONNECT_WAIT = 0.6
LIST_WAIT = 5.0
ASK_WAIT = 2.0


def clock() -> int:
    """Monotonic, in whole microseconds."""
    return time.monotonic_ns() // 1000


def _age_us(answer: aiohttp.ClientResponse) -> int:
    """How old the source's word is, by the answer's own head; today's discovery is the source itself."""
    text = answer.headers.get("Age", "0")
    return int(text[:9]) * 1_000_000 if text.isascii() and text.isdigit() else 0


def _readable(objects: Objects, piece: bytes) -> Iterator[bytes]:
    """What is whole with this piece; what stands before something that can't be read is handed out first."""
    try:
        yield from objects.feed(piece)
    except ValueError as error:
        raise InvalidUpdate(f"unreadable, {error}") from None


@asynccontextmanager
async def _asked(url: URL) -> AsyncIterator[aiohttp.ClientResponse]:
    connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_WAIT)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        session.get(url, allow_redirects=False) as answer,
    ):
        answer.raise_for_status()
        yield answer


class Link:
    """One watch at a time, for good."""

    def __init__(
        self,
        state: ListState,
        selector: SourceSelector,
        services: Sequence[str],
        on_news: Callable[[], None],
        on_life: Callable[[], None],
    ) -> None:
        self.state = state
        self.selector = selector
        self.services = services
        # Something was taken; the source has shown that it lives.
        self.on_news = on_news
        self.on_life = on_life
        # Whether what changed before the first list is known as far as the source tells it.
        self.backfilled = False
        # The source has told older words on a fresh link: its whole list must say whether it stands by them.
        self.asks_whole = False
        # Why the last link ended, as told in the log; empty once something whole has come since.
        self.told_why = ""
        self.task: asyncio.Task[None] | None = None
        self.watching: asyncio.Task[bool] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def renew(self) -> None:
        """Set the link anew: the source has a history that goes less far than what is held."""
        if self.watching is not None:
            self.watching.cancel()

    async def ask(self, after: int, services: Sequence[str]) -> int | None:
        """The first generation that the source tells to who has heard up to `after`; None: none."""
        objects = Objects()
        try:
            async with (
                asyncio.timeout(ASK_WAIT),
                _asked(list_url(self.selector.address, services, after)) as answer,
            ):
                async for piece in answer.content.iter_any():
                    for text in objects.feed(piece):
                        return parse_update(text).generation
        except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
            # It will be asked again.
            pass
        return None

    async def _run(self) -> None:
        while True:
            self.watching = asyncio.get_running_loop().create_task(self._one())
            try:
                silent = await self.watching
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # Renewed, at the same source.
                continue
            await asyncio.sleep(self.selector.record_end(silent, stay=self.asks_whole) / 1e6)

    async def _one(self) -> bool:
        """One link, to its end; whether that was silence."""
        address = self.selector.address
        silence = asyncio.timeout(None)
        why = "it ended"
        try:
            after = self.state.generation
            if after < 0:
                # Here and now alone: another relay may be behind this one.
                after = max(0, await self._whole(address) - BACKFILL_GENERATIONS)
            elif self.asks_whole:
                after = await self._whole(address)
            await self._watch(address, silence, after)
        except InvalidUpdate as error:
            why = str(error)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            why = "it fell silent" if silence.expired() else f"{type(error).__name__}: {error}"
        except Exception:
            # A bug here must not end the relaying for good.
            log.exception("link failed")
            why = "a bug"
        # The same end once more says nothing new, and a line for each would hide what does.
        level = logging.DEBUG if why == self.told_why else logging.WARNING
        self.told_why = why
        pairs = {"source": address, "why": why, "version": self.state.generation}
        log.log(level, "source lost", extra={"pairs": pairs})
        return silence.expired()

    async def _whole(self, address: str) -> int:
        """The whole list, where nothing is held or the source must stand by an older word; its generation."""
        self.asks_whole = False
        async with asyncio.timeout(LIST_WAIT), _asked(list_url(address, self.services)) as answer:
            text = bytearray()
            async for piece in answer.content.iter_any():
                text += piece
                if len(text) > OBJECT_MOST:
                    raise InvalidUpdate(f"an object of more than {OBJECT_MOST} bytes")
            self._take(bytes(text), True, -1, _age_us(answer))
        return self.state.generation

    async def _watch(self, address: str, silence: asyncio.Timeout, after: int) -> None:
        loop = asyncio.get_running_loop()
        objects = Objects()
        fresh = True
        async with silence:
            silence.reschedule(loop.time() + LIVENESS_TIMEOUT_US / 1e6)
            async with _asked(list_url(address, self.services, after)) as answer:
                age_us = _age_us(answer)
                async for piece in answer.content.iter_any():
                    whole = 0
                    for text in _readable(objects, piece):
                        whole += 1
                        self._take(text, fresh, after, age_us if fresh else 0)
                        fresh = False
                    if not whole and not objects.begun:
                        # A blank line. It comes while nothing changes, so nothing was left to tell.
                        fresh = False
                        self._heard(0)
                    if whole or not objects.begun:
                        self.backfilled = True
                        silence.reschedule(loop.time() + LIVENESS_TIMEOUT_US / 1e6)

    def _take(self, text: bytes, fresh: bool, after: int, age_us: int) -> None:
        told = parse_update(text)
        try:
            set_back = self.state.apply_update(told, fresh, after)
        except OutOfOrderUpdate:
            self.asks_whole = fresh and after >= self.state.generation
            raise
        if set_back:
            pairs = {"source": self.selector.address, "version": told.generation, "epoch": self.state.epoch}
            log.warning("source set back, another history", extra={"pairs": pairs})
        self.told_why = ""
        self.on_news()
        self._heard(age_us)

    def _heard(self, age_us: int) -> None:
        self.told_why = ""
        if self.selector.record_contact(clock(), age_us):
            self.on_life()
