"""Exchanges peer messages as datagrams, one message each. Imported only if the configuration names `peers`.

Datagrams may be lost, duplicated or late; the decisions tolerate that. Invalid datagrams, and those from an
address that isn't a node's, are counted and ignored; the first of each kind is logged.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
from collections.abc import Callable

from coraldeal.interface import PeerMessage
from coraldeal.peer_messages import decode_message, encode_message

log = logging.getLogger("coraldeal.carrier")

# Seconds between two attempts to bind the socket.
BIND_RETRY_INTERVAL = 0.5


class PeerTransport(asyncio.DatagramProtocol):
    """The datagram socket of this node; `nodes` holds the address and port of each node by its number."""

    def __init__(
        self,
        nodes: tuple[tuple[str, int], ...],
        own_index: int,
        on_message: Callable[[int, PeerMessage], None],
    ) -> None:
        self.nodes = nodes
        self.own_index = own_index
        self.on_message = on_message
        self.index_by_address = {address: index for index, address in enumerate(nodes)}
        self.transport: asyncio.DatagramTransport | None = None
        # Whether the send buffer is full.
        self.is_paused = False
        self.binding: asyncio.Task[None] | None = None
        # Datagrams that were invalid, came from an unknown address, or could not be sent.
        self.invalid = 0
        self.unknown = 0
        self.unsent = 0

    async def open(self) -> None:
        """Bind the socket; raises OSError if the address can't be bound here.

        An address in use is tried again until it is free: the predecessor process may still have it, and the
        node also works without peer messages.
        """
        try:
            await self._bind()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            log.warning("address for peer messages is in use, trying again", extra={"pairs": {"why": error}})
            self.binding = asyncio.get_running_loop().create_task(self._bind_later())

    async def _bind(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.nodes[self.own_index]
        )

    async def _bind_later(self) -> None:
        while self.transport is None:
            await asyncio.sleep(BIND_RETRY_INTERVAL)
            with contextlib.suppress(OSError):
                await self._bind()

    def close(self) -> None:
        """Close the socket, or stop trying to bind it."""
        if self.binding is not None:
            self.binding.cancel()
        if self.transport is not None:
            self.transport.close()

    def send(self, peer: int, message: PeerMessage) -> None:
        """Send a message to a node, or count it as unsent if the socket isn't bound or its buffer is full.

        An unsent message isn't kept, since later messages replace it.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_paused:
            self.unsent += 1
            return
        transport.sendto(encode_message(message), self.nodes[peer])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a valid message from another node; count and ignore anything else."""
        index = self.index_by_address.get(addr[:2])
        if index is None or index == self.own_index:
            self.unknown += 1
            if self.unknown == 1:
                log.warning(
                    "ignored a peer message from an unknown address", extra={"pairs": {"from": addr[0]}}
                )
            return
        message = decode_message(data)
        if message is None:
            self.invalid += 1
            if self.invalid == 1:
                log.warning("ignored an invalid peer message", extra={"pairs": {"node": index}})
            return
        self.on_message(index, message)

    def pause_writing(self) -> None:
        """Stop sending, since the send buffer is full: messages are dropped."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Resume sending messages."""
        self.is_paused = False

    def error_received(self, exc: Exception) -> None:
        """Count a refused datagram: its node is not running now, but may come back."""
        self.unsent += 1
