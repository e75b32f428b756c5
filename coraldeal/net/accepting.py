"""Accepting connections at one address, also while the system is short of descriptors or memory.

The event loop's own listener leaves its queue alone for a second after such a failure. Here the pause is a
few milliseconds at first: a failure that lasts a moment costs the queue no more than that, and one that stays
does not keep the loop busy.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from coraldeal.logs import LogThrottle
from coraldeal.net.listening import SHORTAGES

log = logging.getLogger(__name__)

# The pause behind a shortage, in seconds, doubled while it lasts.
PAUSE_LEAST, PAUSE_MOST = 0.002, 0.1


class Acceptor:
    """Takes connections from a listening socket, which it owns, and gives each a protocol.

    `at_once`: how many in one turn of the loop. `on_shortage` is called before each pause, to close what is
    not needed.
    """

    def __init__(
        self,
        listening: socket.socket,
        protocol: Callable[[], asyncio.Protocol],
        at_once: int,
        on_shortage: Callable[[], None] = lambda: None,
    ) -> None:
        self.listening = listening
        self.protocol = protocol
        self.at_once = at_once
        self.on_shortage = on_shortage
        self.loop = asyncio.get_running_loop()
        # Connections taken that have no transport yet.
        self.coming: set[asyncio.Task[None]] = set()
        self.pause = PAUSE_LEAST
        self.resume: asyncio.TimerHandle | None = None
        # How many tries met a shortage, and when that was last told.
        self.shortages = 0
        self.throttle = LogThrottle()
        listening.setblocking(False)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        return (self.listening,)

    def start(self) -> None:
        self.loop.add_reader(self.listening.fileno(), self.take)

    def close(self) -> None:
        """Take no more; what was taken goes on."""
        if self.resume is not None:
            self.resume.cancel()
            self.resume = None
        if self.listening.fileno() >= 0:
            self.loop.remove_reader(self.listening.fileno())
            self.listening.close()

    def take(self) -> None:
        """Some of what lies in the queue."""
        for _ in range(self.at_once):
            try:
                near, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in SHORTAGES:
                    self._rest(error)
                    return
                # A connection that broke while it lay in the queue: the next one may be sound.
                log.debug("accept failed", extra={"pairs": {"why": error}})
                continue
            self.pause = PAUSE_LEAST
            self._begin(near)

    def _begin(self, near: socket.socket) -> None:
        near.setblocking(False)
        task = self.loop.create_task(self._connect(near))
        self.coming.add(task)
        task.add_done_callback(self.coming.discard)

    async def _connect(self, near: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol, near)
        except OSError as error:
            log.debug("connection lost as it came", extra={"pairs": {"why": error}})
            near.close()

    def _rest(self, error: OSError) -> None:
        self.shortages += 1
        if self.throttle.should_log(self.loop.time()):
            pairs = {"why": error, "times": self.shortages, "pause_ms": int(self.pause * 1000)}
            log.warning("no connection can be accepted", extra={"pairs": pairs})
        self.on_shortage()
        if self.resume is None:
            self.loop.remove_reader(self.listening.fileno())
            self.resume = self.loop.call_later(self.pause, self._go_on)
            self.pause = min(2 * self.pause, PAUSE_MOST)

    def _go_on(self) -> None:
        self.resume = None
        self.start()
        self.take()
