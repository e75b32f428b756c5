"""The Unix socket at which two processes of one node meet, and the lines they exchange.

The elder sends one byte with its listening descriptor, then a line with all that the newcomer should know;
after that each side sends lines of its own. A line is a JSON object whose `call` says what it is.
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

from coraldeal.handover.terms import Host, Terms

log = logging.getLogger(__name__)

# The form of what an elder tells. One that is not known here is passed over.
FORMAT = 1
# How long an elder may take for its answer, in seconds, and the longest line, in bytes.
ELDER_WAIT = 1.5
LINE_MOST = 16 * 1024 * 1024
# What an address of a Unix socket may hold.
PATH_MOST = 100


class Side(Host, Protocol):
    """This process, as the link sees it."""

    def state(self) -> dict[str, Any]:
        """What a newcomer should know."""

    def descriptor(self) -> int:
        """The listening descriptor that a newcomer is handed."""

    def told_left_out(self, server: str) -> None:
        """The other process was told by hand to leave a server out."""

    def told_put_back(self, server: str) -> None:
        """The other process was told by hand to put a server back."""


class Link:
    """This process's end of all meetings with its elder and its newcomers."""

    def __init__(self, side: Side, folder: str, node: str) -> None:
        self.side = side
        self.terms = Terms(side)
        self.path = Path(folder) / f"coraldeal-{crc32(node.encode()):08x}.sock"
        self.meeting: socket.socket | None = None
        self.elder: asyncio.StreamWriter | None = None
        self.newcomers: dict[asyncio.StreamWriter, bool] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}

    # A newcomer's steps.

    async def find_elder(self) -> tuple[socket.socket | None, dict[str, Any]]:
        """The elder's listening socket and state; None and nothing where no elder answers in time."""
        try:
            async with asyncio.timeout(ELDER_WAIT):
                near, listening = await self._ask()
        except (OSError, TimeoutError):
            return None, {}
        state: dict[str, Any] = {}
        try:
            reader, writer = await asyncio.open_unix_connection(sock=near, limit=LINE_MOST)
            # Kept from here on, so that it is closed whatever comes.
            self.elder = writer
            line = await asyncio.wait_for(reader.readline(), ELDER_WAIT)
            told = json.loads(line)
            if told.get("format") == FORMAT:
                state = told["state"]
            else:
                pairs = {"format": told.get("format")}
                log.warning("the elder's state is of another format", extra={"pairs": pairs})
        except (OSError, TimeoutError, ValueError, KeyError, AttributeError) as error:
            # The listening socket is good all the same: this process starts cold on it.
            log.warning("the elder's state can't be read", extra={"pairs": {"why": repr(error)}})
            self._leave_elder()
            return listening, {}
        self.terms.elder_answered()
        self._start(self._hear_elder(reader))
        return listening, state

    async def _ask(self) -> tuple[socket.socket, socket.socket]:
        loop = asyncio.get_running_loop()
        near = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        near.setblocking(False)
        came = asyncio.Event()
        try:
            with _reachable(self.path) as path:
                await loop.sock_connect(near, path)
            loop.add_reader(near, came.set)
            await came.wait()
            _, descriptors, _, _ = socket.recv_fds(near, 1, 1)
            if not descriptors:
                raise OSError("no descriptor came")
        except BaseException:
            loop.remove_reader(near)
            near.close()
            raise
        loop.remove_reader(near)
        return near, socket.socket(fileno=descriptors[0])

    def serve(self) -> None:
        """This process serves: tell the elder, and take the meeting place for the next newcomer."""
        if self.elder is not None:
            self._send(self.elder, {"call": "serves"})
        self._take_place()

    async def _hear_elder(self, reader: asyncio.StreamReader) -> None:
        await self._hear(reader)
        self._leave_elder()
        self.terms.elder_gone()
        log.info("the elder is gone")

    def _leave_elder(self) -> None:
        if self.elder is not None:
            self.elder.close()
            self.elder = None

    # An elder's steps.

    def _take_place(self) -> None:
        # Some systems refuse such sockets altogether: this process then serves without a successor.
        try:
            meeting = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as error:
            log.warning("no place to meet a newcomer", extra={"pairs": {"why": error}})
            return
        try:
            # What stands there is the elder's, or was left by a process long gone.
            self.path.unlink(missing_ok=True)
            with _reachable(self.path) as path:
                meeting.bind(path)
            os.chmod(self.path, 0o600)
            meeting.listen(4)
        except OSError as error:
            meeting.close()
            log.warning("no place to meet a newcomer", extra={"pairs": {"why": error}})
            return
        meeting.setblocking(False)
        self._leave_place()
        self.meeting = meeting
        asyncio.get_running_loop().add_reader(meeting, self._newcomer_knocks, meeting)

    def _leave_place(self) -> None:
        if self.meeting is not None:
            asyncio.get_running_loop().remove_reader(self.meeting)
            self.meeting.close()
            self.meeting = None

    def _newcomer_knocks(self, meeting: socket.socket) -> None:
        try:
            near = meeting.accept()[0]
        except OSError:
            return
        try:
            near.setblocking(False)
            socket.send_fds(near, [b"+"], [self.side.descriptor()])
        except OSError:
            near.close()
            return
        self._start(self._meet(near))

    async def _meet(self, near: socket.socket) -> None:
        reader, writer = await asyncio.open_unix_connection(sock=near, limit=LINE_MOST)
        self.newcomers[writer] = False
        self.terms.newcomer_came()
        log.info("a newcomer came")
        try:
            # Told after the terms: what is shared out is already halved in it.
            self._send(writer, {"format": FORMAT, "state": self.side.state()})
            await self._hear(reader, writer)
        finally:
            # Whatever ends it, this process must not go on as half of a node.
            served = self.newcomers.pop(writer)
            writer.close()
            self.terms.newcomer_gone(served)
            log.info("the newcomer is gone", extra={"pairs": {"served": served}})
        if not self.terms.ending and not self.newcomers:
            # It may have taken the meeting place.
            self._take_place()

    # Both.

    def left_out(self, server: str) -> None:
        self._tell({"call": "leave-out", "server": server})

    def put_back(self, server: str) -> None:
        self._tell({"call": "put-back", "server": server})

    def _tell(self, message: dict[str, Any]) -> None:
        for writer in [*self.newcomers, *([self.elder] if self.elder is not None else [])]:
            self._send(writer, message)

    def _send(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    async def _hear(self, reader: asyncio.StreamReader, newcomer: asyncio.StreamWriter | None = None) -> None:
        """All that the other side says, until it is gone."""
        try:
            while line := await reader.readline():
                self._heard(json.loads(line), newcomer)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("the link broke", extra={"pairs": {"why": repr(error)}})

    def _heard(self, message: dict[str, Any], newcomer: asyncio.StreamWriter | None) -> None:
        call = message["call"]
        if call == "leave-out":
            self.side.told_left_out(str(message["server"]))
        elif call == "put-back":
            self.side.told_put_back(str(message["server"]))
        elif call == "serves" and newcomer is not None and not self.newcomers[newcomer]:
            self.newcomers[newcomer] = True
            self.terms.newcomer_serves()

    def _start(self, hearing: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(hearing)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done))

    async def close(self) -> None:
        self._leave_place()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._leave_elder()


@contextlib.contextmanager
def _reachable(path: Path) -> Any:
    """A path that the address of a Unix socket can hold, however deep the folder lies."""
    if len(os.fsencode(path)) <= PATH_MOST:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
