"""The Unix socket through which a process of a node takes over from its predecessor, and its messages.

The predecessor sends one byte with its listening descriptor, then one line with the state that the successor
starts from. After that each side sends lines of its own: JSON objects whose `call` names the message.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Protocol
from zlib import crc32

from coraldeal.handover.ownership import Host, Ownership

log = logging.getLogger(__name__)

# The version of the state's format. A state of any other version is ignored.
FORMAT = 1
# How long a successor waits for each answer of its predecessor, in seconds.
PREDECESSOR_TIMEOUT = 1.5
# The longest line, in bytes.
MAX_LINE = 16 * 1024 * 1024
# The longest path, in bytes, that is passed as the address of a Unix socket.
MAX_SOCKET_PATH = 100


class HandoverHost(Host, Protocol):
    """This process, as the handover link calls it."""

    def export_state(self) -> dict[str, Any]:
        """Return the state that a successor starts from."""

    def descriptor(self) -> int:
        """Return the listening descriptor that a successor receives."""

    def request_started(self, digest: str) -> None:
        """Called when the other process has sent a request to a server that must not run twice."""

    def maintenance_started(self, server: str) -> None:
        """Called when an operator has started the maintenance of a server at the other process."""

    def maintenance_ended(self, server: str) -> None:
        """Called when an operator has ended the maintenance of a server at the other process."""


class HandoverLink:
    """This process's connections to its predecessor and its successors."""

    def __init__(self, host: HandoverHost, folder: str, node: str) -> None:
        self.host = host
        self.ownership = Ownership(host)
        self.path = Path(folder) / f"coraldeal-{crc32(node.encode()):08x}.sock"
        # The socket at `path` that successors connect to.
        self.listening: socket.socket | None = None
        self.predecessor: asyncio.StreamWriter | None = None
        # By connection: whether that successor has reported that it serves.
        self.successors: dict[asyncio.StreamWriter, bool] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}

    # As the successor.

    async def connect_to_predecessor(self) -> tuple[socket.socket | None, dict[str, Any]]:
        """Return the predecessor's listening socket and state.

        The socket is None if no predecessor answers within PREDECESSOR_TIMEOUT. The state is empty if it
        doesn't arrive or can't be used.
        """
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT):
                connection, listening = await self._receive_listening()
        except (OSError, TimeoutError):
            return None, {}
        state: dict[str, Any] = {}
        try:
            reader, writer = await asyncio.open_unix_connection(sock=connection, limit=MAX_LINE)
            # Stored before anything else can fail, so that the connection is closed in any case.
            self.predecessor = writer
            line = await asyncio.wait_for(reader.readline(), PREDECESSOR_TIMEOUT)
            message = json.loads(line)
            if message.get("format") == FORMAT:
                state = message["state"]
            else:
                pairs = {"format": message.get("format")}
                log.warning("the elder's state is of another format", extra={"pairs": pairs})
        except (OSError, TimeoutError, ValueError, KeyError, AttributeError) as error:
            # The listening socket is still usable: this process starts on it without learned state.
            log.warning("the elder's state can't be read", extra={"pairs": {"why": repr(error)}})
            self._disconnect_predecessor()
            return listening, {}
        self.ownership.predecessor_answered()
        self._start_task(self._read_from_predecessor(reader))
        return listening, state

    async def _receive_listening(self) -> tuple[socket.socket, socket.socket]:
        """Connect to the predecessor and return the connection and the listening socket it passes."""
        loop = asyncio.get_running_loop()
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection.setblocking(False)
        readable = asyncio.Event()
        try:
            with _short_path(self.path) as path:
                await loop.sock_connect(connection, path)
            loop.add_reader(connection, readable.set)
            await readable.wait()
            _, descriptors, _, _ = socket.recv_fds(connection, 1, 1)
            if not descriptors:
                raise OSError("the predecessor passed no descriptor")
        except BaseException:
            loop.remove_reader(connection)
            connection.close()
            raise
        loop.remove_reader(connection)
        return connection, socket.socket(fileno=descriptors[0])

    def start_serving(self) -> None:
        """Notify the predecessor that this process serves, and listen for the next successor in its place."""
        if self.predecessor is not None:
            self._send(self.predecessor, {"call": "serves"})
        self._start_listening()

    async def _read_from_predecessor(self, reader: asyncio.StreamReader) -> None:
        await self._read_messages(reader)
        self._disconnect_predecessor()
        self.ownership.predecessor_gone()
        log.info("the elder is gone")

    def _disconnect_predecessor(self) -> None:
        if self.predecessor is not None:
            self.predecessor.close()
            self.predecessor = None

    # As the predecessor.

    def _start_listening(self) -> None:
        # Some systems don't allow Unix sockets at all: this process then serves without a successor.
        try:
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as error:
            log.warning("no place to meet a newcomer", extra={"pairs": {"why": error}})
            return
        try:
            # A file at this path is the predecessor's socket or was left behind by a process that ended.
            self.path.unlink(missing_ok=True)
            with _short_path(self.path) as path:
                listening.bind(path)
            os.chmod(self.path, 0o600)
            listening.listen(4)
        except OSError as error:
            listening.close()
            log.warning("no place to meet a newcomer", extra={"pairs": {"why": error}})
            return
        listening.setblocking(False)
        self._stop_listening()
        self.listening = listening
        asyncio.get_running_loop().add_reader(listening, self._accept_successor, listening)

    def _stop_listening(self) -> None:
        if self.listening is not None:
            asyncio.get_running_loop().remove_reader(self.listening)
            self.listening.close()
            self.listening = None

    def _accept_successor(self, listening: socket.socket) -> None:
        try:
            connection = listening.accept()[0]
        except OSError:
            return
        try:
            connection.setblocking(False)
            socket.send_fds(connection, [b"+"], [self.host.descriptor()])
        except OSError:
            connection.close()
            return
        self._start_task(self._serve_successor(connection))

    async def _serve_successor(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_unix_connection(sock=connection, limit=MAX_LINE)
        self.successors[writer] = False
        self.ownership.successor_connected()
        log.info("a newcomer came")
        try:
            # Sent after the change of ownership, so that the state holds limits that are already shared.
            self._send(writer, {"format": FORMAT, "state": self.host.export_state()})
            await self._read_messages(reader, writer)
        finally:
            # Also after an error or a cancellation: this process must not keep only a share of the limits.
            served = self.successors.pop(writer)
            writer.close()
            self.ownership.successor_gone(served)
            log.info("the newcomer is gone", extra={"pairs": {"served": served}})
        if not self.ownership.is_ending and not self.successors:
            # The successor may have replaced the socket at the path by its own.
            self._start_listening()

    # In both roles.

    def notify_request_started(self, digest: str) -> None:
        """Notify the other processes of a request that must not run twice, by the digest of its id."""
        if self.successors or self.predecessor is not None:
            self._send_to_all({"call": "request-started", "digest": digest})

    def notify_maintenance_started(self, server: str) -> None:
        """Notify the other processes that the maintenance of a server was started here."""
        self._send_to_all({"call": "leave-out", "server": server})

    def notify_maintenance_ended(self, server: str) -> None:
        """Notify the other processes that the maintenance of a server was ended here."""
        self._send_to_all({"call": "put-back", "server": server})

    def _send_to_all(self, message: dict[str, Any]) -> None:
        for writer in [*self.successors, *([self.predecessor] if self.predecessor is not None else [])]:
            self._send(writer, message)

    def _send(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    async def _read_messages(
        self, reader: asyncio.StreamReader, successor: asyncio.StreamWriter | None = None
    ) -> None:
        """Handle messages until the other side closes the connection or sends one that can't be read."""
        try:
            while line := await reader.readline():
                self._handle_message(json.loads(line), successor)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("handover connection failed", extra={"pairs": {"why": repr(error)}})

    def _handle_message(self, message: dict[str, Any], successor: asyncio.StreamWriter | None) -> None:
        call = message["call"]
        if call == "leave-out":
            self.host.maintenance_started(str(message["server"]))
        elif call == "put-back":
            self.host.maintenance_ended(str(message["server"]))
        elif call == "request-started":
            self.host.request_started(str(message["digest"]))
        elif call == "serves" and successor is not None and not self.successors[successor]:
            self.successors[successor] = True
            self.ownership.successor_serves()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done))

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._stop_listening()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._disconnect_predecessor()


@contextlib.contextmanager
def _short_path(path: Path) -> Any:
    """Yield a path that fits into the address of a Unix socket, however long the folder's path is."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
