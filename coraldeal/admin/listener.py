"""The sockets of the admin listener.

Clients that send nothing, half a line or too much can't keep other clients waiting or use up descriptors.
"""

from __future__ import annotations

import asyncio

from coraldeal.admin.commands import AdminInterface, answer_line
from coraldeal.net.accepting import Acceptor
from coraldeal.net.listening import open_listening_socket
from coraldeal.net.unread import has_unread

# The longest line, in bytes.
MAX_LINE = 1024
# How long a client may take to send its line, in seconds.
LINE_TIMEOUT = 6.0
# How many clients may be connected at once before the oldest silent one is disconnected.
MAX_CLIENTS = 24
BACKLOG = 64
# Connections accepted in one turn of the event loop, at most.
ACCEPT_AT_ONCE = 16


class _Client(asyncio.Protocol):
    """One client connection, from its first byte to its only answer."""

    def __init__(self, listener: AdminListener) -> None:
        self.listener = listener
        self.line = b""
        self.answered = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.client_connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.listener.client_disconnected(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if end:
            self._answer(answer_line(line, self.listener.interface))
        elif len(self.line) > MAX_LINE:
            self._answer(b"ERR the line is too long\n")

    def eof_received(self) -> bool:
        """Answer a client that closed its sending side after a line without a line end."""
        if not self.answered and self.line:
            self._answer(answer_line(self.line, self.listener.interface))
        return False

    def _answer(self, text: bytes) -> None:
        self.answered = True
        self.line = b""
        self.transport.write(text)
        self.transport.close()


class AdminListener:
    """Listens on the admin address and keeps at most `MAX_CLIENTS` connections open."""

    def __init__(self, interface: AdminInterface) -> None:
        self.interface = interface
        self.acceptor: Acceptor | None = None
        # Connected clients, the oldest first, each with the timer that disconnects it.
        self.clients: dict[_Client, asyncio.TimerHandle] = {}

    async def open(self, host: str, port: int) -> None:
        """Start listening; raises OSError when the address is in use."""
        listening = await open_listening_socket(host, port)
        listening.listen(BACKLOG)
        self.acceptor = Acceptor(listening, lambda: _Client(self), ACCEPT_AT_ONCE)
        self.acceptor.start()

    def client_connected(self, client: _Client) -> None:
        """Start the client's timer, and disconnect another client if there are too many."""
        loop = asyncio.get_running_loop()
        self.clients[client] = loop.call_later(LINE_TIMEOUT, client.transport.abort)
        if len(self.clients) > MAX_CLIENTS:
            # The client that has sent nothing for longest is disconnected, so that idle clients can't use up
            # the descriptors. A client with unread bytes is spared: it is answered in the loop's next turn.
            silent = (one for one in self.clients if not has_unread(one.transport))
            if (oldest := next(silent, None)) is not None:
                oldest.transport.abort()

    def client_disconnected(self, client: _Client) -> None:
        """Stop the client's timer."""
        timer = self.clients.pop(client, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Stop listening and disconnect all clients."""
        if self.acceptor is not None:
            self.acceptor.close()
        for client in list(self.clients):
            client.transport.abort()
