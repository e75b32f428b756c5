"""A stand-in for the list of servers: one port for each node, the whole list or a watch, as the page says.

It writes down when it told which node of what: the rule on drains counts from there.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from typing import Any

from coraldeal.rig.clock import now_us
from coraldeal.rig.records import ListRecord, NotificationRecord, Records

EMPTY_EVERY = 2.0
# Generations of changes kept for watches that begin again.
KEPT = 1000
# For how long an address that was given up goes on with the watches it has, in seconds.
MOVED_AFTER = 1.5


@dataclass(slots=True)
class Listed:
    """A server as the list knows it."""

    name: str
    zone: str
    cell: int
    # A port for each zone of origin.
    ports: dict[str, int]
    condition: str = "Ready"
    born_ms: int = 0


class Listing:
    """The list of one tier, for all nodes before it."""

    def __init__(self, layer: int, book: Records, delay_us: int) -> None:
        self.layer = layer
        self.book = book
        self.delay_us = delay_us
        self.extra_us = 0
        self.down = False
        self.wrong = False
        self.generation = 1
        self.servers: dict[str, Listed] = {}
        self.changes: list[tuple[int, Listed]] = []
        self.doors: list[NodeDoor] = []

    def add(self, server: Listed) -> None:
        """Before the run."""
        self.servers[server.name] = server

    async def open(self, node: int, zone: str) -> int:
        """The port at which this node finds its list."""
        door = NodeDoor(self, node, zone)
        self.doors.append(door)
        return await door.listen()

    async def move(self, node: int, zone: str) -> int:
        """Another port for this node; the old one takes no new connection and closes the open ones later."""
        old = [door for door in self.doors if door.node == node]
        port = await self.open(node, zone)
        for door in old:
            door.retire()
        return port

    def whole(self, zone: str, generation: int | None = None) -> dict[str, Any]:
        """The list in the platform's form."""
        return {
            "generation": self.generation if generation is None else generation,
            "reset": True,
            "instances": [entry(server, zone) for server in self.servers.values()],
        }

    def change(self, name: str, condition: str, born: bool = False) -> None:
        """Something has happened to a server: the list tells it after its delay."""
        loop = asyncio.get_running_loop()
        born_ms = int(time.time() * 1000) if born else 0
        loop.call_later((self.delay_us + self.extra_us) / 1e6, self._changed, name, condition, born_ms)

    def _changed(self, name: str, condition: str, born_ms: int) -> None:
        server = self.servers[name]
        changed = Listed(name, server.zone, server.cell, server.ports, condition, born_ms or server.born_ms)
        self.servers[name] = changed
        self.generation += 1
        self.book.lists.append(ListRecord(self.layer, now_us(), "has", name, condition))
        self.changes.append((self.generation, changed))
        del self.changes[:-KEPT]
        for door in self.doors:
            door.push()

    def set_down(self, down: bool) -> None:
        """Down, watches end and calls fail."""
        if down != self.down:
            self.book.lists.append(ListRecord(self.layer, now_us(), "down" if down else "up"))
        self.down = down
        if down:
            for door in self.doors:
                door.end_watches()

    def set_wrong(self, wrong: bool) -> None:
        """Wrong, it tells of servers that never were, with words nobody knows, and lines none can read."""
        self.wrong = wrong
        for door in self.doors:
            door.push_wrong()

    async def close(self) -> None:
        for door in self.doors:
            await door.close()


def entry(server: Listed, zone: str) -> dict[str, Any]:
    """One line of the list as told to a node of this zone."""
    return {
        "instanceId": server.name,
        "hostPort": f"127.0.0.1:{server.ports.get(zone) or next(iter(server.ports.values()))}",
        "zone": server.zone,
        "machineType": "standin",
        "cell": server.cell,
        "lifecycle": server.condition,
        "weight": 1.0,
        "startedAtMs": server.born_ms,
    }


def told_rows(node: int, layer: int, told: dict[str, Any]) -> list[NotificationRecord]:
    """What a list or its changes tell a node now, a row for each server."""
    now, version = now_us(), told["generation"]
    return [
        NotificationRecord(node, layer, now, item["instanceId"], item["lifecycle"], version)
        for item in told["instances"]
    ]


class NodeDoor:
    """Where one node asks for the list."""

    def __init__(self, listing: Listing, node: int, zone: str) -> None:
        self.listing = listing
        self.node = node
        self.zone = zone
        # The open watches, with the generation each has been told.
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None
        self.talks: dict[asyncio.Task[None] | None, None] = {}
        self.over = asyncio.Event()

    async def listen(self) -> int:
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        self.over.set()
        self.end_watches()
        if self.server is not None:
            self.server.close()
        for talk in [talk for talk in self.talks if talk is not None]:
            await talk

    def retire(self) -> None:
        if self.server is not None:
            self.server.close()
        asyncio.get_running_loop().call_later(MOVED_AFTER, self.end_watches)

    def end_watches(self) -> None:
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def push(self) -> None:
        """Tell each watch what it has not been told."""
        for writer, told in list(self.watches.items()):
            changed = [entry(s, self.zone) for number, s in self.listing.changes if number > told]
            if not changed:
                continue
            generation = self.listing.generation
            self._line(writer, {"generation": generation, "reset": False, "instances": changed})
            self.watches[writer] = generation

    def push_wrong(self) -> None:
        if not self.listing.wrong:
            return
        ghost = Listed("ghost-0", self.zone, 0, {self.zone: 9}, "Sleeping")
        for writer in list(self.watches):
            generation = self.listing.generation
            told = {"generation": generation, "reset": False, "instances": [entry(ghost, self.zone)]}
            self._line(writer, told)
            writer.write(chunk(b'{"generation": "what", "instances": [{]}\n'))

    def _line(self, writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        writer.write(chunk(json.dumps(told).encode() + b"\n"))
        self._note(told)

    def _note(self, told: dict[str, Any]) -> None:
        self.listing.book.told += told_rows(self.node, self.listing.layer, told)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        talk = asyncio.current_task()
        self.talks[talk] = None
        try:
            while not self.over.is_set():
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("latin-1")
                if self.listing.down:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "watch=1" in target:
                    await self._watch(target, writer)
                    return
                told = self.listing.whole(self.zone)
                body = json.dumps(told).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self._note(told)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, IndexError):
            pass
        finally:
            self.talks.pop(talk)
            self.watches.pop(writer, None)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        listing = self.listing
        _, _, after = target.partition("after=")
        since = int(after) if after.isdigit() else -1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        oldest = listing.changes[0][0] if listing.changes else listing.generation + 1
        if 0 < since <= listing.generation and since >= oldest - 1:
            changed = [entry(s, self.zone) for number, s in listing.changes if number > since]
            self._line(writer, {"generation": listing.generation, "reset": False, "instances": changed})
        else:
            self._line(writer, listing.whole(self.zone))
        self.watches[writer] = listing.generation
        while not writer.is_closing():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.over.wait(), EMPTY_EVERY)
            if writer in self.watches:
                writer.write(chunk(b"\n"))
                await writer.drain()


def chunk(data: bytes) -> bytes:
    """These bytes as one chunk of a chunked answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)
