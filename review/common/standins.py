"""Stand-ins for the review cases: discovery, servers, a client, and the node as a process.

Standard library only. Everything listens on and connects to loopback addresses, at ports that the system
chooses. One event loop holds all stand-ins of a case; the node runs as a process of its own, started with the
`run` command of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000
SECOND = 1_000_000_000

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """record.txt: one line an event, with the time in seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def track(name: str, effect: str, expected_ms: int, patience_ms: int, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "expected_time_ns": expected_ms * MS,
        "patience_ns": patience_ms * MS,
        "payoff": 1.0,
        "late_payoff": 0.0,
        "group": "all",
        "window_ns": 2 * SECOND,
        "streaming": False,
        **more,
    }


def settings(tracks: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one tier, one zone, one node."""
    return {
        "layer": 0,
        "instances": 1,
        "self_index": 0,
        "tick_ns": 5 * MS,
        "zone": "z1",
        "failure_domains": ["z1"],
        "shapes": ["m1"],
        "tiers": ["front"],
        "tenants": [],
        "beyond_share_payoff": 0.1,
        "discovery": "ask",
        "reporting": {"fields": [], "how": "off"},
        "tracks": tracks,
        "bounds": {
            "cancel": True,
            "conn_idle_ns": 5 * SECOND,
            "connect_timeout_ns": 100 * MS,
            "max_retry_after_ns": 1500 * MS,
            "max_trips": 3,
            "may_duplicate": False,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "streams_per_conn": 1,
        },
        "rules": {
            "answer_slack_ns": 20 * MS,
            "ask_every_ns": 10 * SECOND,
            "cold_from": 0.3,
            "drain_grace_ns": 1500 * MS,
            "fall_multiple": 3.0,
            "fall_ns": SECOND,
            "warm_after_ns": 7800 * MS,
        },
        **more,
    }


def instance(name: str, address: str, lifecycle: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "z1",
        "machineType": "m1",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields (names in lower case) of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Discovery:
    """The list of servers: whole on a plain call, and a watch that stays open with a line every 2 s."""

    def __init__(self, record: Record, instances: list[dict[str, Any]]) -> None:
        self.record = record
        self.version = 1
        self.instances = {item["instanceId"]: item for item in instances}
        # By version: the entries that changed then.
        self.changes: dict[int, list[dict[str, Any]]] = {}
        # The open watches, and those of them that have fallen silent.
        self.watches: dict[int, asyncio.StreamWriter] = {}
        self.silent: set[int] = set()
        self.calls = 0
        self.port = 0

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        return {"generation": self.version, "reset": True, "instances": list(self.instances.values())}

    def since(self, version: int) -> dict[str, Any]:
        changed = {}
        for at in range(version + 1, self.version + 1):
            for item in self.changes.get(at, []):
                changed[item["instanceId"]] = item
        return {"generation": self.version, "reset": False, "instances": list(changed.values())}

    def change(self, *items: dict[str, Any]) -> None:
        """Change entries of the list, and tell all watches that have not fallen silent."""
        self.version += 1
        self.changes[self.version] = list(items)
        for item in items:
            if item["lifecycle"] == "Gone":
                self.instances.pop(item["instanceId"], None)
            else:
                self.instances[item["instanceId"]] = item
        for number, writer in list(self.watches.items()):
            if number not in self.silent:
                self._write(writer, self.since(self.version - 1))
                self.record.line(f"discovery tells version {self.version} on watch {number}")

    def fall_silent(self) -> None:
        """Let all watches that are open now fall silent: they stay open and tell nothing more."""
        self.silent |= set(self.watches)
        self.record.line(f"discovery: watches {sorted(self.silent)} fall silent")

    def _write(self, writer: asyncio.StreamWriter, value: dict[str, Any] | None) -> None:
        line = (json.dumps(value) if value is not None else "") + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
                if query.get("watch") != "1":
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                    continue
                self.calls += 1
                number = self.calls
                after = int(query.get("after", "-1"))
                known = 0 < after <= self.version
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                first = self.since(after) if known else self.whole()
                self._write(writer, first)
                self.record.line(
                    f"discovery: watch {number} opened after version {after}, told version {self.version}: "
                    + ", ".join(f"{i['instanceId']} {i['lifecycle']}" for i in first["instances"][:8])
                )
                self.watches[number] = writer
                try:
                    while not writer.is_closing():
                        await asyncio.sleep(2)
                        if number not in self.silent:
                            self._write(writer, None)
                            await writer.drain()
                finally:
                    self.watches.pop(number, None)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only when the case ends.
            pass
        finally:
            writer.close()


class Request:
    """What a server received."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = first.split(" ")
        self.id = fields.get("req-id", "")
        self.fields = fields
        self.body = body


class Server:
    """A server on one address. `handle` writes the answer of one request."""

    def __init__(
        self, name: str, handle: Callable[[Server, Request, ServerConnection], Awaitable[None]]
    ) -> None:
        self.name = name
        self.handle = handle
        self.port = 0
        # Returns what to wait for before the next bytes of a body are read; None: nothing.
        self.before_read: Callable[[], Awaitable[Any] | None] = lambda: None
        self.read_body = read_body

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self, segment: int = 0, receive_buffer: int = 0) -> None:
        """Listen. 0: as the system has it, else the largest TCP segment, and the size of the receive buffer."""
        listening = socket.socket()
        if segment:
            listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        if receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listening.bind((HOST, 0))
        self.server = await asyncio.start_server(self._serve, sock=listening)
        self.port = listening.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                connection.requests += 1
                if (wait := self.before_read()) is not None:
                    await wait
                request = Request(*head, await self.read_body(reader, head[1]))
                connection.waiting = True
                await self.handle(self, request, connection)
                connection.waiting = False
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # Cancelled only when the case ends.
            pass
        finally:
            writer.close()


class ServerConnection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # How many heads of requests have come, and whether one of them waits for its answer.
        self.requests = 0
        self.waiting = False


class Answer:
    def __init__(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        self.status, self.body, self.fields = status, body, fields


class Client:
    """A client with one connection, which it keeps, and one request at a time on it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self, method: str, target: str, request_id: str, deadline_ms: int, wait: float, body: bytes = b"", **more: str
    ) -> Answer | None:
        """Return the answer; None if the connection ended without one. Raises TimeoutError after `wait` s.

        A kept connection that ends before a byte of the answer has crossed the node's close: as the pages
        say, the request is sent once more on a new one.
        """
        lines = [f"{method} {target} HTTP/1.1", "Host: app.svc", f"Req-Id: {request_id}"]
        lines += [f"Req-Deadline: {deadline_ms}m", *(f"{k.replace('_', '-')}: {v}" for k, v in more.items())]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        message = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        async with asyncio.timeout(wait):
            for _ in range(2):
                kept = self.writer is not None
                try:
                    if self.writer is None:
                        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                    assert self.reader is not None
                    self.writer.write(message)
                    await self.writer.drain()
                    head = await read_head(self.reader)
                    if head is not None:
                        answer = Answer(int(head[0].split(" ")[1]), await read_body(self.reader, head[1]), head[1])
                        if head[1].get("connection", "").lower() == "close":
                            self.close()
                        return answer
                except (OSError, asyncio.IncompleteReadError):
                    pass
                self.close()
                if not kept:
                    return None
        return None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Node:
    """A node: the program that `run` starts, with a configuration and a temporary folder of its own."""

    def __init__(
        self, record: Record, folder: Path, name: str, config: dict[str, Any], admin: bool = False, log: str = ""
    ) -> None:
        self.record = record
        self.name = name
        self.port = int(config["listen"].rpartition(":")[2])
        self.admin_port = free_port() if admin else 0
        self.config_path = folder / f"{log or name}.json"
        self.config_path.write_text(json.dumps(config), encoding="utf-8")
        self.environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith("PROXY_")},
            "PROXY_NAME": name,
            "PROXY_LISTEN": config["listen"],
            "PROXY_DISCOVERY": config["discovery"],
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(folder),
        }
        if admin:
            self.environment["PROXY_OPERATOR"] = f"{HOST}:{self.admin_port}"
        self.log_path = folder / f"{log or name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=self.environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.line(f"node {self.log_path.stem} started")

    async def wait_ready(self, seconds: float = 10.0) -> None:
        """Wait until `GET /ready` is answered 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process is not None and self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    self.record.line(f"node {self.log_path.stem} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"node {self.name} did not become ready")

    async def call_admin(self, text: str, seconds: float = 1.0) -> str:
        """Return the answer of one call at the second address; empty: none."""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(HOST, self.admin_port)
                writer.write(text.encode() + b"\n")
                answer = await reader.read()
                writer.close()
                return answer.decode()
        except (OSError, TimeoutError):
            return ""

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.line(f"node {self.log_path.stem} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


def run_case(folder: Path, play: Callable[[Record, Path, bool, list[Node]], Awaitable[int]], limit: float = 110) -> int:
    """Play a case in a temporary folder, and end all processes that it started.

    `play` gets the record, the folder, whether the disruption happens, and a list for its nodes.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"disruption: {'yes' if trouble else 'no (TROUBLE=0)'}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    nodes: list[Node] = []

    async def limited() -> int:
        async with asyncio.timeout(limit):
            return await play(record, temporary, trouble, nodes)

    try:
        result = asyncio.run(limited())
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.line(f"could not run: {error!r}")
        result = COULD_NOT_RUN
    finally:
        for node in nodes:
            node.stop()
            if node.log_path.exists():
                record.line(f"log of node {node.log_path.stem}, last lines:")
                for line in node.log_path.read_text(errors="replace").splitlines()[-40:]:
                    record.line(f"    {line}")
        shutil.rmtree(temporary, ignore_errors=True)
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[result])
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result], file=sys.stderr)
    return result
