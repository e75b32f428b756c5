"""Accepting connections on one address, with a backoff while the system is short of descriptors or memory.

After such a failure asyncio's own listener accepts nothing for a second. The backoff here starts at a few
milliseconds, so that a brief shortage hardly delays the connections in the backlog, and doubles, so that a
lasting one does not keep the event loop busy.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from coraldeal.logs import LogThrottle
from coraldeal.net.listening import SHORTAGE_ERRNOS

log = logging.getLogger(__name__)

# The pause after a shortage, in seconds. It doubles from the first value up to the second while the shortage
# lasts.
MIN_BACKOFF, MAX_BACKOFF = 0.002, 0.1


class Acceptor:
    """Accepts connections from a listening socket, which it owns, and creates a protocol for each.

    At most `max_per_turn` connections are accepted in one turn of the event loop. `on_shortage` is called
    before each backoff, so that connections that are not needed can be closed. While `may_accept` returns
    False, connections wait in the backlog.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        max_per_turn: int,
        on_shortage: Callable[[], None] = lambda: None,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        self.listening_socket = listening_socket
        self.protocol_factory = protocol_factory
        self.max_per_turn = max_per_turn
        self.on_shortage = on_shortage
        self.may_accept = may_accept
        self.loop = asyncio.get_running_loop()
        # Accepted connections that have no transport yet.
        self.pending: set[asyncio.Task[None]] = set()
        self.backoff = MIN_BACKOFF
        self.resume_timer: asyncio.TimerHandle | None = None
        # How many accepts failed because of a shortage; `throttle` limits the log lines about them.
        self.shortages = 0
        self.throttle = LogThrottle()
        listening_socket.setblocking(False)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket, as asyncio.Server returns it."""
        return (self.listening_socket,)

    def start(self) -> None:
        """Start to accept connections; the socket must already listen."""
        self.loop.add_reader(self.listening_socket.fileno(), self.accept_pending)

    def close(self) -> None:
        """Accept no more connections and close the listening socket; accepted connections continue."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        if self.listening_socket.fileno() >= 0:
            self.loop.remove_reader(self.listening_socket.fileno())
            self.listening_socket.close()

    def accept_pending(self) -> None:
        """Accept connections from the backlog, at most `max_per_turn`."""
        for _ in range(self.max_per_turn):
            if not self.may_accept():
                self._pause()
                return
            try:
                accepted, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in SHORTAGE_ERRNOS:
                    self._back_off(error)
                    return
                # A connection that failed while it was in the backlog; the next one may be intact.
                log.debug("accept failed", extra={"pairs": {"why": error}})
                continue
            self.backoff = MIN_BACKOFF
            self._start_connection(accepted)

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = self.loop.create_task(self._create_transport(accepted))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def _create_transport(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError as error:
            log.debug("accepted connection failed before it had a transport", extra={"pairs": {"why": error}})
            accepted.close()

    def _back_off(self, error: OSError) -> None:
        self.shortages += 1
        if self.throttle.should_log(self.loop.time()):
            pairs = {"why": error, "times": self.shortages, "pause_ms": int(self.backoff * 1000)}
            log.warning("no connection can be accepted", extra={"pairs": pairs})
        self.on_shortage()
        self._pause()

    def _pause(self) -> None:
        """Accept nothing for the backoff, which doubles up to its maximum."""
        if self.resume_timer is None:
            self.loop.remove_reader(self.listening_socket.fileno())
            self.resume_timer = self.loop.call_later(self.backoff, self._resume)
            self.backoff = min(2 * self.backoff, MAX_BACKOFF)

    def _resume(self) -> None:
        self.resume_timer = None
        self.start()
        self.accept_pending()
