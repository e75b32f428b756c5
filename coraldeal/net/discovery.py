"""The list of servers, followed by a watch at discovery."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import aiohttp

from coraldeal.net.wire import LIST_PATH, ServerList

log = logging.getLogger(__name__)

# Discovery sends a line every 2 s; this much silence is a dead watch.
SILENCE = 5.0
CONNECT_WAIT = 2.0


class Discovery:
    """At most one watch at a time; each that ends is told once."""

    def __init__(
        self,
        address: str | None,
        read: Callable[[Any], ServerList],
        on_list: Callable[[ServerList], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.address = address
        self.read = read
        self.on_list = on_list
        self.on_failure = on_failure
        self.version = -1
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
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_WAIT, sock_read=SILENCE)
        url = f"http://{self.address}{LIST_PATH}?watch=1"
        if self.version >= 0:
            url += f"&after={self.version}"
        why = "it ended"
        try:
            connector = aiohttp.TCPConnector(force_close=True, happy_eyeballs_delay=None)
            async with (
                aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
                session.get(url, allow_redirects=False) as answer,
            ):
                answer.raise_for_status()
                left = b""
                async for chunk in answer.content.iter_any():
                    *lines, left = (left + chunk).split(b"\n")
                    for line in lines:
                        if line.strip():
                            self._told(line)
        except (OSError, TimeoutError, aiohttp.ClientError) as error:
            why = f"{type(error).__name__}: {error}"
        except Exception:
            # A bug on the way to the module must not end the watching for good.
            log.exception("watch failed")
            why = "a bug"
        log.info("watch over", extra={"pairs": {"why": why, "version": self.version}})
        # From the loop, when this watch is done, so that the next one may begin at once.
        asyncio.get_running_loop().call_soon(self.on_failure)

    def _told(self, line: bytes) -> None:
        try:
            told = self.read(line)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # The list held stays, and the whole of it is asked for next: changes may have been missed.
            self.version = -1
            raise aiohttp.ClientPayloadError(f"unreadable, {type(error).__name__}: {error}") from None
        self.version = told.version
        self.on_list(told)
