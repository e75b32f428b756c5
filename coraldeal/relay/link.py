"""The relay's own watch at its source.

This module only does the I/O: `SourceSelector` selects the source, and `ListState` applies what it sends.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from coraldeal.net.wire import MAX_OBJECT_BYTES, JsonObjectStream, list_url
from coraldeal.relay.route import LIVENESS_TIMEOUT_US, SourceSelector
from coraldeal.relay.state import (
    BACKFILL_GENERATIONS,
    InvalidUpdate,
    ListState,
    OutOfOrderUpdate,
    parse_update,
)

log = logging.getLogger(__name__)

# Timeouts in seconds: for a connection to be established, for a snapshot to be received whole, and for the
# answer to a question about the source's generation.
CONNECT_TIMEOUT_S = 0.6
SNAPSHOT_TIMEOUT_S = 5.0
GENERATION_QUERY_TIMEOUT_S = 2.0


def monotonic_us() -> int:
    """The monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000


def _parse_age_us(response: aiohttp.ClientResponse) -> int:
    """The age of the data by the `Age` header; 0 without one, since discovery itself sends none."""
    text = response.headers.get("Age", "0")
    return int(text[:9]) * 1_000_000 if text.isascii() and text.isdigit() else 0


def _feed_objects(objects: JsonObjectStream, piece: bytes) -> Iterator[bytes]:
    """Yields each object that the piece completes; raises InvalidUpdate at unreadable bytes behind them."""
    try:
        yield from objects.feed(piece)
    except ValueError as error:
        raise InvalidUpdate(f"unreadable, {error}") from None


@asynccontextmanager
async def _open_response(url: URL) -> AsyncIterator[aiohttp.ClientResponse]:
    connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        session.get(url, allow_redirects=False) as response,
    ):
        response.raise_for_status()
        yield response


class Link:
    """Keeps one watch open at a source, and opens the next one whenever it ends."""

    def __init__(
        self,
        state: ListState,
        selector: SourceSelector,
        services: Sequence[str],
        on_update: Callable[[], None],
        on_alive: Callable[[], None],
    ) -> None:
        self.state = state
        self.selector = selector
        self.services = services
        # Called after an update was applied, and after an update or heartbeat showed that the source is
        # alive.
        self.on_update = on_update
        self.on_alive = on_alive
        # Whether the source has sent what it knows of the changes before the first snapshot.
        self.is_backfilled = False
        # Set when a new watch began with an older or conflicting delta. The source's snapshot then shows
        # whether the source was really reset to an earlier generation.
        self.must_fetch_snapshot = False
        # The last logged reason for the end of a watch; empty once something was received after it.
        self.last_logged_reason = ""
        self.task: asyncio.Task[None] | None = None
        self.watch_task: asyncio.Task[bool] | None = None

    def start(self) -> None:
        """Starts the task that watches the sources."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Ends the task and its watch, and waits until both have ended."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def reconnect(self) -> None:
        """Opens a new watch at the same source, whose generation turned out to be below the one held."""
        if self.watch_task is not None:
            self.watch_task.cancel()

    async def query_generation(self, after: int, services: Sequence[str]) -> int | None:
        """Opens a watch after the given generation and returns the generation of the source's first object.

        None means that no readable object came within `GENERATION_QUERY_TIMEOUT_S`.
        """
        objects = JsonObjectStream()
        try:
            async with (
                asyncio.timeout(GENERATION_QUERY_TIMEOUT_S),
                _open_response(list_url(self.selector.address, services, after)) as response,
            ):
                async for piece in response.content.iter_any():
                    for text in objects.feed(piece):
                        return parse_update(text).generation
        except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
            # The relay repeats the query.
            pass
        return None

    async def _run(self) -> None:
        while True:
            self.watch_task = asyncio.get_running_loop().create_task(self._follow_source())
            try:
                timed_out = await self.watch_task
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # `reconnect` cancelled the watch alone: the next one is opened at the same source.
                continue
            await asyncio.sleep(self.selector.record_end(timed_out, stay=self.must_fetch_snapshot) / 1e6)

    async def _follow_source(self) -> bool:
        """Follows the current source until the watch ends; true if it ended by the liveness timeout."""
        address = self.selector.address
        liveness_timeout = asyncio.timeout(None)
        reason = "the source ended the watch"
        try:
            after = self.state.generation
            if after < 0:
                # Backfill is requested only now, from the source that has just sent the snapshot: another
                # source may be a relay that lags behind this one.
                after = max(0, await self._fetch_snapshot(address) - BACKFILL_GENERATIONS)
            elif self.must_fetch_snapshot:
                after = await self._fetch_snapshot(address)
            await self._watch(address, liveness_timeout, after)
        except InvalidUpdate as error:
            reason = str(error)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            reason = "it fell silent" if liveness_timeout.expired() else f"{type(error).__name__}: {error}"
        except Exception:
            # A bug in this code ends one watch and not the relay's service.
            log.exception("watch failed")
            reason = "unexpected exception"
        # A repeated reason is logged at debug level, so that repetitions don't hide other warnings.
        level = logging.DEBUG if reason == self.last_logged_reason else logging.WARNING
        self.last_logged_reason = reason
        pairs = {"source": address, "why": reason, "version": self.state.generation}
        log.log(level, "source lost", extra={"pairs": pairs})
        return liveness_timeout.expired()

    async def _fetch_snapshot(self, address: str) -> int:
        """Fetches and applies the snapshot and returns its generation.

        This is needed where no list is held, or where the source must confirm that it was reset.
        """
        self.must_fetch_snapshot = False
        async with (
            asyncio.timeout(SNAPSHOT_TIMEOUT_S),
            _open_response(list_url(address, self.services)) as response,
        ):
            text = bytearray()
            async for piece in response.content.iter_any():
                text += piece
                if len(text) > MAX_OBJECT_BYTES:
                    raise InvalidUpdate(f"an object of more than {MAX_OBJECT_BYTES} bytes")
            self._apply(bytes(text), True, -1, _parse_age_us(response))
        return self.state.generation

    async def _watch(self, address: str, liveness_timeout: asyncio.Timeout, after: int) -> None:
        loop = asyncio.get_running_loop()
        objects = JsonObjectStream()
        is_first = True
        async with liveness_timeout:
            liveness_timeout.reschedule(loop.time() + LIVENESS_TIMEOUT_US / 1e6)
            async with _open_response(list_url(address, self.services, after)) as response:
                age_us = _parse_age_us(response)
                async for piece in response.content.iter_any():
                    completed = 0
                    for text in _feed_objects(objects, piece):
                        completed += 1
                        self._apply(text, is_first, after, age_us if is_first else 0)
                        is_first = False
                    if not completed and not objects.has_started:
                        # The piece is a heartbeat, a blank line. The source sends one only when it has no
                        # changes left to send.
                        is_first = False
                        self._record_contact(0)
                    if completed or not objects.has_started:
                        self.is_backfilled = True
                        liveness_timeout.reschedule(loop.time() + LIVENESS_TIMEOUT_US / 1e6)

    def _apply(self, text: bytes, is_first: bool, after: int, age_us: int) -> None:
        update = parse_update(text)
        try:
            begins_epoch = self.state.apply_update(update, is_first, after)
        except OutOfOrderUpdate:
            self.must_fetch_snapshot = is_first and after >= self.state.generation
            raise
        if begins_epoch:
            pairs = {
                "source": self.selector.address,
                "version": update.generation,
                "epoch": self.state.epoch,
            }
            log.warning("source set back, another history", extra={"pairs": pairs})
        self.last_logged_reason = ""
        self.on_update()
        self._record_contact(age_us)

    def _record_contact(self, age_us: int) -> None:
        self.last_logged_reason = ""
        if self.selector.record_contact(monotonic_us(), age_us):
            self.on_alive()
