"""Test doubles on loopback for servers, callers and discovery, and a node to run between them."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from coraldeal.config import NodeConfig, parse_node_config
from coraldeal.net.node import Node

# The settings of a node unless a test gives others: three request classes with a latency target of 1 s and a
# deadline of 2 s. `read` and `low` may be executed more than once, `write` may not; `low` is worth less.
SETTINGS: dict[str, Any] = {
    "zone": "z",
    "discovery": "ask",
    "tracks": [
        {
            "name": name,
            "effect": effect,
            "payoff": worth,
            "expected_time_ns": 10**9,
            "patience_ns": 2 * 10**9,
        }
        for name, effect, worth in (
            ("read", "retryable", 5.0),
            ("write", "fragile", 5.0),
            ("low", "retryable", 1.0),
        )
    ],
    "bounds": {"conn_idle_ns": 2 * 10**9},
    "rules": {"ask_every_ns": 10**9},
}

# What a stand-in does with a request that it has read.
Responder = Callable[["Message", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Message:
    """A received HTTP request or answer: its first line, its fields by lower-case name, and its body."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.line, *lines = head.decode("latin-1").split("\r\n")
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(": ")
            if name:
                self.fields[name.lower()] = value
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one request or answer. Its body is as long as Content-Length says; without one it is empty."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = Message(head[:-4], b"")
    message.body = await reader.readexactly(int(message.fields.get("content-length", 0)))
    return message


def answer(status: int = 200, body: bytes = b"done", *fields: str) -> bytes:
    """Return the bytes of an answer with Content-Length and these further header lines."""
    lines = "".join(f"{field}\r\n" for field in fields)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


async def serve_well(request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer with status 200 at once."""
    writer.write(answer())


async def never_answer(request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send nothing until the peer closes the connection."""
    await reader.read()


async def hang_up(request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Abort the connection without an answer."""
    writer.transport.abort()


class StandIn:
    """A server on loopback that passes each request to a responder, which a test may replace at any time.

    `seen` holds the requests received so far; `opened` and `closed` count connections.
    """

    def __init__(self, respond: Responder = serve_well) -> None:
        self.respond = respond
        self.seen: list[Message] = []
        self.opened = 0
        self.closed = 0
        self.address = ""

    async def start(self) -> StandIn:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                request = await read_message(reader)
                self.seen.append(request)
                await self.respond(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The peer has disconnected, or the test has ended.
            pass
        finally:
            self.closed += 1
            writer.close()

    def stop(self) -> None:
        """Stop listening. Open connections stay open."""
        self.server.close()


class Caller:
    """A client with one connection to a node."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.next_id = 0
        self.writer: asyncio.StreamWriter

    async def open(self) -> Caller:
        """Connect to the node."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(
        self, request_class: str = "read", body: bytes = b"", deadline: str = "1500m", *fields: str
    ) -> None:
        """Send a request of this class, a POST if it has a body, with these further header lines."""
        self.next_id += 1
        lines = "".join(f"{field}\r\n" for field in fields)
        method = "POST" if body else "GET"
        self.raw(
            f"{method} /{request_class}/x?y=%20z HTTP/1.1\r\nHost: app.svc\r\n"
            f"Req-Id: {id(self):x}{self.next_id}\r\n"
            f"Req-Deadline: {deadline}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def raw(self, data: bytes) -> None:
        """Send these bytes."""
        self.writer.write(data)

    async def answer(self) -> tuple[int, Message]:
        """Read an answer; return its status and the answer. Raises TimeoutError after 5 s."""
        message = await asyncio.wait_for(read_message(self.reader), 5)
        return int(message.line.split()[1]), message

    async def status(self) -> int:
        """Read the first line of an answer and return its status. Raises TimeoutError after 5 s."""
        line = await asyncio.wait_for(self.reader.readline(), 5)
        return int(line.split()[1])

    async def ask(self, *args: Any) -> tuple[int, Message]:
        """Send a request, with the arguments of `send`, and read its answer."""
        self.send(*args)
        return await self.answer()

    async def read_to_end(self) -> bytes:
        """Read until the node closes the connection; return nothing if it resets it.

        Raises TimeoutError after 5 s.
        """
        try:
            return await asyncio.wait_for(self.reader.read(), 5)
        except ConnectionError:
            return b""

    def leave(self, reset: bool = False) -> None:
        """Close the connection, or reset it."""
        if reset:
            # With a linger time of 0 the system resets the connection at once, whatever is unsent or unread.
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()


def entry(name: str, address: str, lifecycle: str = "Ready") -> dict[str, Any]:
    """Return a server's entry in the JSON of a server list."""
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
    """Return the JSON of a server list: a snapshot if `reset` is true, changes otherwise."""
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def config(
    known: dict[str, Any],
    discovery: str | None = None,
    pushed: bool = False,
    sockets: int = 1024,
    peers: Any = None,
    memory_mb: float | None = None,
    **other_settings: Any,
) -> NodeConfig:
    """Return a node's configuration. Further keywords are settings, which replace those in SETTINGS."""
    settings = {**SETTINGS, "discovery": "push" if pushed else "ask", **other_settings}
    document = {
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "known": known,
        "seed": "7",
        "settings": settings,
    }
    limits = {"sockets": sockets, "memory_mb": memory_mb}
    return parse_node_config({**document, "limits": limits, "peers": peers}, {})


class RunningNode:
    """A node in the event loop of the test: `async with RunningNode(config(...)) as running`."""

    def __init__(self, node_config: NodeConfig) -> None:
        self.config = node_config

    async def __aenter__(self) -> RunningNode:
        self.node = Node(self.config)
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
        # No further caller connects, so the shutdown needn't go on accepting connections for a while.
        with mock.patch("coraldeal.net.node.ACCEPT_AFTER_SIGTERM", 0):
            await self.task

    async def caller(self) -> Caller:
        """Connect a caller, which disconnects at the end of the test."""
        self.callers.append(await Caller(self.port).open())
        return self.callers[-1]


class NodeCase(unittest.IsolatedAsyncioTestCase):
    """A test case with stand-ins and nodes that are stopped at its end."""

    async def stand_in(self, respond: Responder = serve_well) -> StandIn:
        """Start a stand-in."""
        stand_in = await StandIn(respond).start()
        self.addCleanup(stand_in.stop)
        return stand_in

    async def node(self, *servers: StandIn, **options: Any) -> RunningNode:
        """Start a node that knows these servers as s0, s1, ...; the options are those of `config`."""
        entries = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        return await self.enterAsyncContext(RunningNode(config(server_list(1, True, *entries), **options)))


async def until(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until the condition holds. Raises TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


class Point:
    """A synchronization point: code waits in `stop` until the test sets `go`, so that a race is forced."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.go = asyncio.Event()

    async def stop(self) -> None:
        """Report that the point is reached and wait for `go`."""
        self.reached.set()
        await self.go.wait()


def chunked(*pieces: bytes) -> bytes:
    """Return these pieces of a chunked body, each as one chunk. An empty piece is the body's last chunk."""
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def watch(*pieces: bytes, then: Callable[[], Awaitable[Any]] | None = None) -> Responder:
    """Return a responder that answers a watch with these pieces, each as one chunk, and then closes it.

    Before it closes the watch, it awaits `then`, or without one waits until the peer closes the connection.
    """

    async def respond(request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_HEAD)
        for piece in pieces:
            writer.write(chunked(piece))
            await writer.drain()
        if then is not None:
            await then()
        else:
            await reader.read()
        writer.close()

    return respond


class LateConnects:
    """A context that delays the node's connections to these servers until the test allows them.

    It returns the point at which the connections wait before they are opened.
    """

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

    async def _connect(self, protocol: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        if port in self.ports:
            await self.point.stop()
        return await self.real(protocol, host, port, **options)
