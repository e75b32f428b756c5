"""The source of a scale run: `python -m coraldeal.rig.scale.source JOB`, a process of its own.

It plays the journal and tells those who watch by discovery's protocol, with a field `service` more in each
entry. A watch may name services, `&services=a,b`, and is then told of their servers alone; the generations
are the source's own. An entry is encoded once for all, a line once for all who are told the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import socket
import sys
import time
from bisect import bisect_left
from collections.abc import Iterable
from pathlib import Path
from urllib.parse import unquote, urlsplit

from coraldeal.net.wire import LIST_PATH
from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.listing import chunk
from coraldeal.rig.scale.books import DoorJob, SourceBook, SourceJob, Standing, Told, ToldRow, read, write
from coraldeal.rig.scale.journal import OF_SOURCE, Change, generation
from coraldeal.rig.scale.process import Process, orders, start

# An empty line comes to each follower every 2 s; followers have their turns in so many slots.
EMPTY_EVERY, SLOTS = 2.0, 20
EMPTY = b"1\r\n\n\r\n"
HEAD_MOST = 64 * 1024
BACKLOG, ACCEPTED = 4096, 64


class Door:
    """An address of the source. Its port is kept while nothing listens there."""

    def __init__(self, source: Source, job: DoorJob) -> None:
        self.source = source
        self.job = job
        self.followers: dict[Follower, None] = {}
        # Bound and never listening: no connection of another may take the port while the door is shut.
        self.keeper = self._bound(0)
        self.port = int(self.keeper.getsockname()[1])
        self.server: asyncio.Server | None = None
        self.plugs: list[socket.socket] = []

    def _bound(self, port: int) -> socket.socket:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(("127.0.0.1", port))
        return made

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        listening = self._bound(self.port)
        self.server = await loop.create_server(lambda: Follower(self), sock=listening, backlog=ACCEPTED)
        # So many may wait; fewer are taken in one turn of the loop, so that those taken are answered between.
        listening.listen(BACKLOG)

    def shut(self) -> None:
        """New connections are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset(self) -> None:
        for follower in list(self.followers):
            follower.abort()

    def mute(self) -> None:
        """What is open stays open and brings nothing more."""
        for follower in self.followers:
            follower.muted = True

    def cut(self) -> None:
        """Open connections fall silent, new ones never come up: the queue of those not accepted is full."""
        self.mute()
        assert self.server is not None
        listening = self.server.sockets[0].dup()
        self.plugs.append(listening)
        listening.listen(0)
        for _ in range(2):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            plug.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                plug.connect(("127.0.0.1", self.port))
            self.plugs.append(plug)
        self.shut()

    async def mend(self) -> None:
        """Within reach again; what was open is reset."""
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()
        self.reset()
        await self.open()


class Follower(asyncio.Protocol):
    """One connection to a door."""

    __slots__ = ("buffer", "door", "muted", "services", "slot", "transport", "watching")

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.muted = False
        self.watching = False
        # Those who are told an empty line in the same turn, once it watches.
        self.slot: dict[Follower, None] = {}
        # None: all of them.
        self.services: tuple[str, ...] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.door.followers[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.door.followers.pop(self, None)
        self.door.source.gone(self)

    def abort(self) -> None:
        if self.transport is not None:
            # Linger of nothing: the peer sees a reset, as from a process that has died.
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.watching or self.muted:
            return
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0 and not self.watching:
            head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            self._asked(head.split(b"\r\n", 1)[0].decode("latin-1"))
        if len(self.buffer) > HEAD_MOST:
            self.abort()

    def _asked(self, line: str) -> None:
        words = line.split(" ")
        target = urlsplit(words[1]) if len(words) == 3 else urlsplit("")
        if target.path != LIST_PATH:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        # Commas between names are plain, one within a name is quoted.
        pairs = [pair.partition("=") for pair in target.query.split("&")]
        query = {key: value for key, _, value in pairs}
        named = tuple(unquote(name) for name in query.get("services", "").split(",") if name)
        self.services = tuple(sorted(set(named or self.door.job.services))) or None
        source = self.door.source
        if query.get("watch") != "1":
            body = source.whole(self)
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        self.watching = True
        after = query.get("after", "-1")
        source.begin(self, int(after) if after.isdigit() else -1)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.muted:
            self.door.source.bytes += len(data)
            self.transport.write(data)


class Source:
    """The list, its journal, and who follows it."""

    def __init__(self, job: SourceJob) -> None:
        self.job = job
        self.bytes = self.watches = self.wholes = 0
        self.told: list[ToldRow] = []
        self.made_us: list[int] = []
        self.returned_us = 0
        self.struck: dict[str, int] = {}
        self.standing: dict[int, Standing] = {server.place: server for server in job.servers}
        # The newest state of each server that is not gone, encoded, by service.
        self.entries: dict[str, dict[str, bytes]] = {}
        self.born_ms: dict[str, int] = {}
        for server in job.servers:
            first = Change(0, server.place, server.server, "Ready", 0, server.weight, False, "")
            self.entries.setdefault(server.service, {})[server.server] = self._entry(first)
        # Encoded changes by their place in the journal.
        self.lines: list[bytes] = []
        # Their places, by service.
        self.journal: dict[str, list[int]] = {}
        self.followers: dict[str, dict[Follower, None]] = {}
        self.of_all: dict[Follower, None] = {}
        self.slots: list[dict[Follower, None]] = [{} for _ in range(SLOTS)]
        self.next_slot = 0
        self.doors = [Door(self, door) for door in job.doors]

    def _entry(self, change: Change) -> bytes:
        standing = self.standing[change.place]
        if change.born:
            self.born_ms[change.server] = int(time.time() * 1000)
        entry = {
            "instanceId": change.server,
            "hostPort": standing.address,
            "zone": standing.zone,
            "machineType": "standin",
            "cell": standing.cell,
            "lifecycle": change.condition,
            "weight": change.weight,
            "startedAtMs": self.born_ms.get(change.server, 0),
            "service": standing.service,
        }
        return json.dumps(entry, separators=(",", ":")).encode()

    @property
    def generation(self) -> int:
        return generation(len(self.lines) - 1)

    # Telling.

    def whole(self, follower: Follower) -> bytes:
        asked: Iterable[str] = self.entries if follower.services is None else follower.services
        entries = [entry for name in asked for entry in self.entries.get(name, {}).values()]
        self._note(follower, entries)
        return b'{"generation":%d,"reset":true,"instances":[%b]}\n' % (self.generation, b",".join(entries))

    def begin(self, follower: Follower, after: int) -> None:
        """A watch: what changed after that generation, or the whole list."""
        self.watches += 1
        follower.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if 0 < after <= self.generation:
            self._tell_changes(follower, self._since(follower, after - 1))
        else:
            self.wholes += 1
            follower.write(chunk(self.whole(follower)))
        for name in follower.services or ():
            self.followers.setdefault(name, {})[follower] = None
        if follower.services is None:
            self.of_all[follower] = None
        follower.slot = self.slots[self.next_slot]
        follower.slot[follower] = None
        self.next_slot = (self.next_slot + 1) % SLOTS

    def gone(self, follower: Follower) -> None:
        for name in follower.services or ():
            self.followers.get(name, {}).pop(follower, None)
        self.of_all.pop(follower, None)
        follower.slot.pop(follower, None)

    def _service(self, index: int) -> str:
        return self.standing[self.job.timeline.changes[index].place].service

    def _since(self, follower: Follower, first: int) -> list[int]:
        """The changes from this one on that a follower is to have, in their order."""
        if follower.services is None:
            return list(range(first, len(self.lines)))
        found = []
        for name in follower.services:
            of_service = self.journal.get(name, [])
            found += of_service[bisect_left(of_service, first) :]
        return sorted(found)

    def _tell_changes(self, follower: Follower, indices: list[int]) -> None:
        """One line of the newest state of each server, as one that watches anew is told."""
        newest = {self.job.timeline.changes[index].server: index for index in indices}
        for entries, number in self._spoilt(follower, list(newest.values())):
            self._tell(follower, self._line(entries, number), entries)

    def _line(self, entries: list[bytes], number: int) -> bytes:
        return chunk(b'{"generation":%d,"reset":false,"instances":[%b]}\n' % (number, b",".join(entries)))

    def _tell(self, follower: Follower, line: bytes, entries: list[bytes]) -> None:
        follower.write(line)
        self._note(follower, entries)

    def _note(self, follower: Follower, entries: list[bytes]) -> None:
        node = follower.door.job.node
        if node < 0 or follower.muted:
            return
        now = now_us()
        for entry in entries:
            told = json.loads(entry)
            self.told.append(ToldRow(node, now, told["instanceId"], told["hostPort"], told["lifecycle"]))

    def push(self, indices: list[int]) -> None:
        """Changes made in one instant: one line for each who follows one of them."""
        by_service: dict[str, list[int]] = {}
        for index in indices:
            by_service.setdefault(self._service(index), []).append(index)
        touched: dict[Follower, list[str]] = {follower: list(by_service) for follower in self.of_all}
        for name in by_service:
            for follower in self.followers.get(name, {}):
                touched.setdefault(follower, []).append(name)
        encoded: dict[tuple[str, ...], tuple[bytes, list[bytes]]] = {}
        for follower, names in touched.items():
            if follower.door.job.planted:
                self._tell_changes(follower, [index for name in names for index in by_service[name]])
                continue
            key = tuple(names)
            if key not in encoded:
                entries = [self.lines[index] for name in names for index in by_service[name]]
                encoded[key] = self._line(entries, self.generation), entries
            self._tell(follower, *encoded[key])

    def _spoilt(self, follower: Follower, indices: list[int]) -> list[tuple[list[bytes], int]]:
        """The entries of each line for a follower: one line, unless a fault is planted for it."""
        plant = self.job.timeline.plant
        number = self.generation
        if plant is None or not follower.door.job.planted:
            return [([self.lines[index] for index in indices], number)]
        meant = [index for index in indices if index in plant.changes]
        if plant.kind == "drop":
            return [([self.lines[index] for index in indices if index not in meant], number)]
        if plant.kind == "stale":
            # Told as it was before the first of these changes.
            old = next(s for s in self.job.servers if s.server == plant.server)
            was = self._entry(Change(0, old.place, old.server, "Ready", 0, old.weight, False, ""))
            return [([was if index in meant else self.lines[index] for index in indices], number)]
        if plant.kind == "swap" and meant:
            first, second = plant.changes
            others = [self.lines[index] for index in indices if index not in meant]
            if second not in meant:
                return [(others, number)]
            return [([*others, self.lines[second]], number), ([self.lines[first]], number)]
        return [([self.lines[index] for index in indices], number)]

    # What happens.

    def make(self, indices: list[int]) -> None:
        now = now_us()
        for index in indices:
            change = self.job.timeline.changes[index]
            entry = self._entry(change)
            self.lines.append(entry)
            self.journal.setdefault(self._service(index), []).append(index)
            self.made_us.append(now)
            of_service = self.entries[self._service(index)]
            of_service[change.server] = entry
            if change.condition == "Gone":
                del of_service[change.server]
        self.push(indices)

    async def play_changes(self, begin_us: int) -> None:
        changes = self.job.timeline.changes
        at = 0
        while at < len(changes):
            until = at + 1
            while until < len(changes) and changes[until].at_us == changes[at].at_us:
                until += 1
            await sleep_until(begin_us + changes[at].at_us)
            self.make(list(range(at, until)))
            at = until

    async def play_troubles(self, begin_us: int) -> None:
        for window in self.job.timeline.windows:
            here = [door for door in self.doors if window.region in (-1, door.job.region)]
            if window.name not in OF_SOURCE:
                continue
            await sleep_until(begin_us + window.from_us)
            self.struck[window.name] = sum(len(door.followers) for door in here)
            if window.name == "silent":
                # Established watches bring nothing more; a new one is served.
                for door in here:
                    door.mute()
                continue
            for door in here:
                if window.name == "apart":
                    door.cut()
                else:
                    door.shut()
                    door.reset()
            await sleep_until(begin_us + window.to_us)
            if window.name == "apart":
                self.returned_us = now_us()
            for door in here:
                await (door.mend() if window.name == "apart" else door.open())

    async def keep_alive(self) -> None:
        """An empty line for each follower every 2 s, a part of them at a time."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            for slot in self.slots:
                due += EMPTY_EVERY / SLOTS
                await asyncio.sleep(max(0.0, due - loop.time()))
                for follower in list(slot):
                    follower.write(EMPTY)


async def main(path: Path) -> None:
    process = Process(await orders())
    job = read(path, SourceJob)
    source = Source(job)
    for door in source.doors:
        await door.open()
    tasks = [asyncio.create_task(source.keep_alive())]
    process.tell(Told([door.port for door in source.doors]))
    gc.freeze()
    order = await process.order()
    if not order.stop:
        await process.begun(order)
        source.bytes = source.watches = source.wholes = 0
        tasks.append(asyncio.create_task(source.play_changes(order.begin_us)))
        tasks.append(asyncio.create_task(source.play_troubles(order.begin_us)))
        while not (await process.order()).stop:
            pass
    for task in tasks:
        if task.done():
            # A bug of the source is not to pass for a quiet day.
            task.result()
    write(
        Path(job.book),
        SourceBook(
            source.made_us, source.returned_us, source.told, source.bytes, process.cpu_s(),
            process.late_us, source.watches, source.wholes, source.struck,
        ),
    )  # fmt: skip


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
