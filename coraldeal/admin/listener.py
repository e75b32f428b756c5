"""The door's sockets: callers that say nothing, half a line or too much cost no one else anything."""

from __future__ import annotations

import asyncio

from coraldeal.admin.commands import Desk, answer
from coraldeal.net.accepting import Acceptor
from coraldeal.net.listening import open_listening_socket
from coraldeal.net.unread import has_unread

# The longest line, in bytes; how many seconds a caller may take for one; how many callers are kept at once.
LINE_MOST = 1024
LINE_WAIT = 6.0
CALLERS_MOST = 24
BACKLOG = 64
# Connections taken in one turn of the loop at the most.
ACCEPT_AT_ONCE = 16


class _Caller(asyncio.Protocol):
    """One connection, from its first byte to its one answer."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.line = b""
        self.answered = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.door.came(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.door.gone(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if end:
            self._answer(answer(line, self.door.desk))
        elif len(self.line) > LINE_MOST:
            self._answer(b"ERR the line is too long\n")

    def eof_received(self) -> bool:
        """A caller that ends its sending after the call still gets its answer."""
        if not self.answered and self.line:
            self._answer(answer(self.line, self.door.desk))
        return False

    def _answer(self, text: bytes) -> None:
        self.answered = True
        self.line = b""
        self.transport.write(text)
        self.transport.close()


class Door:
    """The second address: at most so many callers, the oldest gives way."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.listener: Acceptor | None = None
        # Those who have no answer yet, the oldest first, with the end of their time.
        self.callers: dict[_Caller, asyncio.TimerHandle] = {}

    async def open(self, host: str, port: int) -> None:
        """Listen; OSError where the address is taken."""
        listening = await open_listening_socket(host, port)
        listening.listen(BACKLOG)
        self.listener = Acceptor(listening, lambda: _Caller(self), ACCEPT_AT_ONCE)
        self.listener.start()

    def came(self, caller: _Caller) -> None:
        loop = asyncio.get_running_loop()
        self.callers[caller] = loop.call_later(LINE_WAIT, caller.transport.abort)
        if len(self.callers) > CALLERS_MOST:
            # Guards the descriptors: those who have said nothing for longest go first. Whose call has come
            # and was not read yet is no such caller: it is answered in the loop's next turn.
            silent = (one for one in self.callers if not has_unread(one.transport))
            if (oldest := next(silent, None)) is not None:
                oldest.transport.abort()

    def gone(self, caller: _Caller) -> None:
        timer = self.callers.pop(caller, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.transport.abort()
