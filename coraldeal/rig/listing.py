"""A stand-in for discovery: it serves the list of servers, in full or as a watch, at one port for each node.

It records which change it sent to which node and when: the rule on drains counts from that time.
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

# The interval of empty lines on a watch, in seconds.
KEEP_ALIVE_INTERVAL = 2.0
# The number of recent changes kept for watches that continue from their generation.
MAX_CHANGES_KEPT = 1000
# How long a retired endpoint keeps its open watches, in seconds.
RETIRED_CLOSE_DELAY = 1.5


@dataclass(slots=True)
class ListedServer:
    """A server in the list."""

    name: str
    zone: str
    cell: int
    # The server's port for the nodes of each zone.
    ports: dict[str, int]
    condition: str = "Ready"
    # When the server started, in milliseconds since the epoch; 0: unknown.
    started_ms: int = 0


class Listing:
    """The list of one tier of servers, for all nodes in front of it."""

    def __init__(self, layer: int, records: Records, delay_us: int) -> None:
        self.layer = layer
        self.records = records
        # The time from a change of a server to the change of the list, and an injected delay in addition.
        self.delay_us = delay_us
        self.extra_delay_us = 0
        self.down = False
        self.wrong = False
        self.generation = 1
        self.servers: dict[str, ListedServer] = {}
        self.changes: list[tuple[int, ListedServer]] = []
        self.endpoints: list[NodeEndpoint] = []

    def add(self, server: ListedServer) -> None:
        """Add a server before the run starts."""
        self.servers[server.name] = server

    async def open(self, node: int, zone: str) -> int:
        """Open an endpoint for a node, and return its port."""
        endpoint = NodeEndpoint(self, node, zone)
        self.endpoints.append(endpoint)
        return await endpoint.listen()

    async def move(self, node: int, zone: str) -> int:
        """Open another endpoint for a node, and return its port.

        The old endpoints accept no new connection, and close their open ones after RETIRED_CLOSE_DELAY.
        """
        old = [endpoint for endpoint in self.endpoints if endpoint.node == node]
        port = await self.open(node, zone)
        for endpoint in old:
            endpoint.retire()
        return port

    def full_list(self, zone: str, generation: int | None = None) -> dict[str, Any]:
        """The full list for a node of this zone, in the platform's format."""
        return {
            "generation": self.generation if generation is None else generation,
            "reset": True,
            "instances": [entry(server, zone) for server in self.servers.values()],
        }

    def change(self, name: str, condition: str, restarted: bool = False) -> None:
        """Schedule a change of the list, after its delay, for a server whose condition has changed."""
        loop = asyncio.get_running_loop()
        started_ms = int(time.time() * 1000) if restarted else 0
        loop.call_later(
            (self.delay_us + self.extra_delay_us) / 1e6, self._apply_change, name, condition, started_ms
        )

    def _apply_change(self, name: str, condition: str, started_ms: int) -> None:
        server = self.servers[name]
        changed = ListedServer(
            name, server.zone, server.cell, server.ports, condition, started_ms or server.started_ms
        )
        self.servers[name] = changed
        self.generation += 1
        self.records.lists.append(ListRecord(self.layer, now_us(), "has", name, condition))
        self.changes.append((self.generation, changed))
        del self.changes[:-MAX_CHANGES_KEPT]
        for endpoint in self.endpoints:
            endpoint.push()

    def set_down(self, down: bool) -> None:
        """Start or end an outage of the list, in which watches end and calls fail."""
        if down != self.down:
            self.records.lists.append(ListRecord(self.layer, now_us(), "down" if down else "up"))
        self.down = down
        if down:
            for endpoint in self.endpoints:
                endpoint.end_watches()

    def set_wrong(self, wrong: bool) -> None:
        """Start or end sending wrong lists.

        At the start, each watch gets a server that does not exist, with an unknown lifecycle, and a malformed
        line.
        """
        self.wrong = wrong
        for endpoint in self.endpoints:
            endpoint.push_wrong()

    async def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self.endpoints:
            await endpoint.close()


def entry(server: ListedServer, zone: str) -> dict[str, Any]:
    """The entry of a server in the list for a node of this zone."""
    return {
        "instanceId": server.name,
        "hostPort": f"127.0.0.1:{server.ports.get(zone) or next(iter(server.ports.values()))}",
        "zone": server.zone,
        "machineType": "standin",
        "cell": server.cell,
        "lifecycle": server.condition,
        "weight": 1.0,
        "startedAtMs": server.started_ms,
    }


def notification_records(node: int, layer: int, message: dict[str, Any]) -> list[NotificationRecord]:
    """The records of a full list, or of changes, that a node is sent now: one for each server."""
    now, version = now_us(), message["generation"]
    return [
        NotificationRecord(node, layer, now, item["instanceId"], item["lifecycle"], version)
        for item in message["instances"]
    ]


class NodeEndpoint:
    """The endpoint at which one node asks for the list."""

    def __init__(self, listing: Listing, node: int, zone: str) -> None:
        self.listing = listing
        self.node = node
        self.zone = zone
        # The open watches, with the generation that each was sent last.
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task[None] | None, None] = {}
        self.closing = asyncio.Event()

    async def listen(self) -> int:
        """Start to listen, and return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening, end all watches, and wait for the end of all connections."""
        self.closing.set()
        self.end_watches()
        if self.server is not None:
            self.server.close()
        for connection in [connection for connection in self.connections if connection is not None]:
            await connection

    def retire(self) -> None:
        """Stop listening now, and end the open watches after RETIRED_CLOSE_DELAY."""
        if self.server is not None:
            self.server.close()
        asyncio.get_running_loop().call_later(RETIRED_CLOSE_DELAY, self.end_watches)

    def end_watches(self) -> None:
        """Abort the connections of all watches."""
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def push(self) -> None:
        """Send to each watch the changes after the generation that it was sent last."""
        for writer, sent in list(self.watches.items()):
            changed = [entry(s, self.zone) for number, s in self.listing.changes if number > sent]
            if not changed:
                continue
            generation = self.listing.generation
            self._write_line(writer, {"generation": generation, "reset": False, "instances": changed})
            self.watches[writer] = generation

    def push_wrong(self) -> None:
        """Send to each watch a server that does not exist and a malformed line, while the list is wrong."""
        if not self.listing.wrong:
            return
        ghost = ListedServer("ghost-0", self.zone, 0, {self.zone: 9}, "Sleeping")
        for writer in list(self.watches):
            generation = self.listing.generation
            message = {"generation": generation, "reset": False, "instances": [entry(ghost, self.zone)]}
            self._write_line(writer, message)
            writer.write(chunk(b'{"generation": "what", "instances": [{]}\n'))

    def _write_line(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        writer.write(chunk(json.dumps(message).encode() + b"\n"))
        self._record(message)

    def _record(self, message: dict[str, Any]) -> None:
        self.listing.records.told += notification_records(self.node, self.listing.layer, message)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        self.connections[connection] = None
        try:
            while not self.closing.is_set():
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("latin-1")
                if self.listing.down:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "watch=1" in target:
                    await self._watch(target, writer)
                    return
                message = self.listing.full_list(self.zone)
                body = json.dumps(message).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self._record(message)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, IndexError):
            pass
        finally:
            self.connections.pop(connection)
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
            self._write_line(writer, {"generation": listing.generation, "reset": False, "instances": changed})
        else:
            self._write_line(writer, listing.full_list(self.zone))
        self.watches[writer] = listing.generation
        while not writer.is_closing():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.closing.wait(), KEEP_ALIVE_INTERVAL)
            if writer in self.watches:
                writer.write(chunk(b"\n"))
                await writer.drain()


def chunk(data: bytes) -> bytes:
    """Encode bytes as one chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(data), data)
