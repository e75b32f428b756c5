"""Notes between nodes as datagrams, one a note. Loaded only where the configuration names `peers`.

They may be lost, come twice or late: the decisions allow for that. What cannot be read and what comes from an
address that is no node's is counted and passed over; the first of each is logged.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
from collections.abc import Callable

from coraldeal.interface import PeerMessage
from coraldeal.notes import pack, unpack

log = logging.getLogger("coraldeal.carrier")

# Seconds between two tries to bind.
AGAIN = 0.5


class Carrier(asyncio.DatagramProtocol):
    """One socket, bound to this node's own place among `nodes` (address and port by number)."""

    def __init__(
        self, nodes: tuple[tuple[str, int], ...], me: int, came: Callable[[int, PeerMessage], None]
    ) -> None:
        self.nodes = nodes
        self.me = me
        self.came = came
        self.numbers = {address: number for number, address in enumerate(nodes)}
        self.transport: asyncio.DatagramTransport | None = None
        # Whether the socket takes no more for now.
        self.full = False
        self.binding: asyncio.Task[None] | None = None
        # Datagrams that were no note, came from nobody known, could not be sent.
        self.unreadable = 0
        self.unknown = 0
        self.unsent = 0

    async def open(self) -> None:
        """Bind; OSError where the address can't be bound here. One in use is tried again until it is free:
        the process before may still have it, and the node works without notes too.
        """
        try:
            await self._bind()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            log.warning("the address for notes is in use; it is tried again", extra={"pairs": {"why": error}})
            self.binding = asyncio.get_running_loop().create_task(self._bind_later())

    async def _bind(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.nodes[self.me])

    async def _bind_later(self) -> None:
        while self.transport is None:
            await asyncio.sleep(AGAIN)
            with contextlib.suppress(OSError):
                await self._bind()

    def close(self) -> None:
        if self.binding is not None:
            self.binding.cancel()
        if self.transport is not None:
            self.transport.close()

    def tell(self, peer: int, note: PeerMessage) -> None:
        """Send, or drop where the socket takes no more: a later note tells the same anew."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.full:
            self.unsent += 1
            return
        transport.sendto(pack(note), self.nodes[peer])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self.numbers.get(addr[:2])
        if number is None or number == self.me:
            self.unknown += 1
            if self.unknown == 1:
                log.warning("a note from no known node is passed over", extra={"pairs": {"from": addr[0]}})
            return
        note = unpack(data)
        if note is None:
            self.unreadable += 1
            if self.unreadable == 1:
                log.warning("a note that cannot be read is passed over", extra={"pairs": {"node": number}})
            return
        self.came(number, note)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False

    def error_received(self, exc: Exception) -> None:
        """A node that is not there refuses what is sent to it: it may come back."""
        self.unsent += 1
