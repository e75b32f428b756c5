"""Small stand-ins on loopback for servers, callers and discovery, and a node to put between them."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from coraldeal.config import NodeConfig, node_config
from coraldeal.net.node import Node

SETTINGS: dict[str, Any] = {
    "zone": "z",
    "discovery": "ask",
    "tracks": [
        {
            "name": name,
            "effect": effect,
            "payoff": payoff,
            "expected_time_ns": 10**9,
            "patience_ns": 2 * 10**9,
        }
        for name, effect, payoff in (
            ("read", "retryable", 5.0),
            ("write", "fragile", 5.0),
            ("low", "retryable", 1.0),
        )
    ],
    "bounds": {"conn_idle_ns": 2 * 10**9},
    "rules": {"ask_every_ns": 10**9},
}

Played = Callable[["Seen", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Seen:
    """A request as a stand-in saw it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.line, *lines = head.decode("latin-1").split("\r\n")
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(": ")
            if name:
                self.fields[name.lower()] = value
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Seen:
    """One request or answer, whose length is told."""
    head = await reader.readuntil(b"\r\n\r\n")
    seen = Seen(head[:-4], b"")
    seen.body = await reader.readexactly(int(seen.fields.get("content-length", 0)))
    return seen


def answer(status: int = 200, body: bytes = b"done", *fields: str) -> bytes:
    lines = "".join(f"{field}\r\n" for field in fields)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


async def serve_well(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(answer())


async def never_answer(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Hold until the other side ends the connection."""
    await reader.read()


async def hang_up(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class StandIn:
    """A server of requests that plays what a test tells it to."""

    def __init__(self, play: Played = serve_well) -> None:
        self.play = play
        self.seen: list[Seen] = []
        self.opened = 0
        self.closed = 0
        self.address = ""

    async def start(self) -> StandIn:
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                seen = await read_message(reader)
                self.seen.append(seen)
                await self.play(seen, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Gone, or the test is over.
            pass
        finally:
            self.closed += 1
            writer.close()

    def stop(self) -> None:
        self.server.close()


class Caller:
    """One connection of a caller."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.next_id = 0
        self.writer: asyncio.StreamWriter

    async def open(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, track: str = "read", body: bytes = b"", deadline: str = "1500m", *fields: str) -> None:
        self.next_id += 1
        lines = "".join(f"{field}\r\n" for field in fields)
        method = "POST" if body else "GET"
        self.raw(
            f"{method} /{track}/x?y=%20z HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id(self):x}{self.next_id}\r\n"
            f"Req-Deadline: {deadline}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def raw(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> tuple[int, Seen]:
        seen = await asyncio.wait_for(read_message(self.reader), 5)
        return int(seen.line.split()[1]), seen

    async def status(self) -> int:
        """Of an answer whose rest does not matter."""
        line = await asyncio.wait_for(self.reader.readline(), 5)
        return int(line.split()[1])

    async def ask(self, *args: Any) -> tuple[int, Seen]:
        self.send(*args)
        return await self.answer()

    async def at_end(self) -> bytes:
        """What still comes until the node ends the connection."""
        try:
            return await asyncio.wait_for(self.reader.read(), 5)
        except ConnectionError:
            return b""

    def leave(self, reset: bool = False) -> None:
        if reset:
            # At once, whatever was not sent or not read.
            near = self.writer.get_extra_info("socket")
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()


def entry(name: str, address: str, lifecycle: str = "Ready") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "z",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


def server_list(generation: int, reset: bool, *entries: dict[str, Any]) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def config(
    known: dict[str, Any],
    discovery: str | None = None,
    pushed: bool = False,
    sockets: int = 1024,
    peers: Any = None,
    **settings_told: Any,
) -> NodeConfig:
    """A node's configuration; what else is named stands in its settings."""
    settings = {**SETTINGS, "discovery": "push" if pushed else "ask", **settings_told}
    told = {
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "known": known,
        "seed": "7",
        "settings": settings,
    }
    return node_config({**told, "limits": {"sockets": sockets}, "peers": peers}, {})


class RunningNode:
    """A node in the test's own loop: `async with RunningNode(config(...)) as node`."""

    def __init__(self, told: NodeConfig) -> None:
        self.told = told

    async def __aenter__(self) -> RunningNode:
        self.node = Node(self.told)
        self.task = asyncio.create_task(self.node.run())
        while self.node.callers.listener is None:
            await asyncio.sleep(0)
        self.port = self.node.callers.listener.sockets[0].getsockname()[1]
        self.callers: list[Caller] = []
        return self

    async def __aexit__(self, *_: object) -> None:
        for caller in self.callers:
            caller.leave()
        self.node.stop_requested.set()
        # Nobody comes any more: the end need not wait for callers.
        with mock.patch("coraldeal.net.node.ACCEPT_AFTER_SIGTERM", 0):
            await self.task

    async def caller(self) -> Caller:
        self.callers.append(await Caller(self.port).open())
        return self.callers[-1]


class NodeCase(unittest.IsolatedAsyncioTestCase):
    """A node between stand-ins, all gone when the test is over."""

    async def stand_in(self, play: Played = serve_well) -> StandIn:
        stand_in = await StandIn(play).start()
        self.addCleanup(stand_in.stop)
        return stand_in

    async def node(self, *servers: StandIn, **told: Any) -> RunningNode:
        entries = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        return await self.enterAsyncContext(RunningNode(config(server_list(1, True, *entries), **told)))


async def until(true: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait for what must come; the time is only there to fail by."""
    async with asyncio.timeout(seconds):
        while not true():
            await asyncio.sleep(0.005)


class Point:
    """A named point at which a stand-in stops until the test lets it go: a crossing forced, not hoped for."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.go = asyncio.Event()

    async def stop(self) -> None:
        self.reached.set()
        await self.go.wait()


def chunked(*pieces: bytes) -> bytes:
    """Pieces of a chunked answer, each a chunk of its own; its end is none of them."""
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def watch(*pieces: bytes, then: Callable[[], Awaitable[Any]] | None = None) -> Played:
    """A watch that says these pieces and no more; then whatever a test wants, or nothing until it is left."""

    async def play(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_HEAD)
        for piece in pieces:
            writer.write(chunked(piece))
            await writer.drain()
        if then is not None:
            await then()
        else:
            await reader.read()
        writer.close()

    return play


class LateConnects:
    """While it lasts, the node's connections to these servers come up only when the test lets them."""

    def __init__(self, *servers: StandIn) -> None:
        self.ports = {int(server.address.rpartition(":")[2]): None for server in servers}
        self.point = Point()

    def __enter__(self) -> Point:
        loop = asyncio.get_running_loop()
        self.real = loop.create_connection
        self.patch = mock.patch.object(loop, "create_connection", self._connect)
        self.patch.start()
        return self.point

    def __exit__(self, *_: object) -> None:
        self.patch.stop()

    async def _connect(self, protocol: Any, host: Any = None, port: Any = None, **told: Any) -> Any:
        if port in self.ports:
            await self.point.stop()
        return await self.real(protocol, host, port, **told)
