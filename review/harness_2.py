"""What the cases 6 to 10 share: a node as its own process, and small stand-ins for the others around it.

Only the standard library is used. Every address is a loopback address with a free port, every file but
`record.txt` is in a temporary folder, and each process that is started here is ended here.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A script may take 120 s.
LONGEST_SECONDS = 110.0

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a free port that no other part of this case was given."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, one JSON object a line, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one event."""
        line = {"t": round(time.monotonic() - self.started, 4), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Message:
    """A request or an answer as it was read: its first line, its fields in lower case, its body."""

    def __init__(self, head: bytes) -> None:
        lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.line = lines[0]
        self.fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        self.body = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split()[1])

    @property
    def request_id(self) -> str:
        """The Req-Id of a request."""
        return self.fields.get("req-id", "")


async def read_message(reader: asyncio.StreamReader, on_first: Callable[[], None] = lambda: None) -> Message:
    """Read one whole message; raises IncompleteReadError or ConnectionError if it doesn't come whole."""
    first = await reader.readexactly(1)
    on_first()
    message = Message(first + await reader.readuntil(b"\r\n\r\n"))
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in message.fields:
        message.body = await reader.readexactly(int(message.fields["content-length"]))
    return message


def answer(status: int, body: bytes = b"", *fields: str, chunked: bool = False) -> bytes:
    """Return the bytes of an answer, with a length or in one chunk."""
    lines = "".join(f"{field}\r\n" for field in fields)
    if chunked:
        form = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        form = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    return f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}\r\n{lines}".encode() + form


Respond = Callable[["Server", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of the tier. `respond` answers each whole request; `received` holds (time, id)."""

    def __init__(self, name: str, record: Record, respond: Respond, cell: int = 0, zone: str = "sala-zisa"):
        self.name, self.record, self.respond = name, record, respond
        self.cell, self.zone = cell, zone
        self.port = 0
        self.lifecycle = "Ready"
        self.started_ms = 0
        self.received: list[tuple[float, str]] = []
        # For each whole request, when its first byte was read.
        self.first_bytes: list[tuple[float, str]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.listening: asyncio.Server | None = None

    async def start(self) -> Server:
        """Listen, on the same port as before if it was started before."""
        self.port = self.port or free_port()
        self.listening = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        first = 0.0

        def on_first() -> None:
            nonlocal first
            first = time.monotonic()

        try:
            while True:
                request = await read_message(reader, on_first)
                if "/health" in request.line or "/status/load" in request.line:
                    writer.write(answer(404))
                    continue
                self.received.append((time.monotonic(), request.request_id))
                self.first_bytes.append((first, request.request_id))
                self.record("received", server=self.name, id=request.request_id, line=request.line)
                await self.respond(self, request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "arch-medio",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    def stop(self) -> None:
        """Stop listening, and reset all connections, as the end of a process does."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery:
    """Discovery: the whole list, and watches that get an empty line every 2 s."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record, self.servers = record, servers
        self.port = 0
        self.generation = 41
        # The entries as discovery has them.
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.Queue[bytes]] = set()
        # Watches that write nothing any more, though their connections stay open.
        self.silent: set[asyncio.Queue[bytes]] = set()
        # How long each call waits for its answer.
        self.answer_seconds = 0.0
        self.listening: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        """Listen, with all servers listed."""
        self.port = self.port or free_port()
        if not self.entries:
            self.entries = {server.name: server.entry() for server in self.servers}
        self.listening = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def stop(self) -> None:
        """Go down: watches end, and new connections are refused."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self) -> int:
        """Have all open watches fall silent, and return how many; new ones are served."""
        count = len(self.watches)
        self.silent |= self.watches
        self.watches.clear()
        return count

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def tell(self, *servers: Server) -> None:
        """Take over the present entries of these servers and tell the watches."""
        self.generation += 1
        entries = [server.entry() for server in servers]
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            if entry["lifecycle"] == "Gone":
                del self.entries[entry["instanceId"]]
            self.changes.append((self.generation, entry))
        text = {"generation": self.generation, "reset": False, "instances": entries}
        self.record("told", watches=len(self.watches), **text)
        for queue in self.watches:
            queue.put_nowait(json.dumps(text).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.record("list call", line=request.line)
                await asyncio.sleep(self.answer_seconds)
                if "watch=1" not in request.line:
                    writer.write(answer(200, json.dumps(self.whole()).encode()))
                    continue
                queue: asyncio.Queue[bytes] = asyncio.Queue()
                self.watches.add(queue)
                after = request.line.split("after=")[1].split()[0] if "after=" in request.line else ""
                first = self.whole()
                if after.isdigit() and int(after) <= self.generation:
                    changed = {e["instanceId"]: e for g, e in self.changes if g > int(after)}
                    first = {"generation": self.generation, "reset": False, "instances": [*changed.values()]}
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                queue.put_nowait(json.dumps(first).encode() + b"\n")
                try:
                    while True:
                        try:
                            text = await asyncio.wait_for(queue.get(), 2.0)
                        except TimeoutError:
                            text = b"\n"
                        if queue not in self.silent:
                            writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                            await writer.drain()
                finally:
                    self.watches.discard(queue)
                    self.silent.discard(queue)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def track(
    name: str, effect: str, aim_s: float, patience_s: float, payoff: float = 1.0, **more: Any
) -> dict[str, Any]:
    """Return the settings of one track."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "expected_time_ns": int(aim_s * 1e9),
        "patience_ns": int(patience_s * 1e9),
        "window_ns": 2_000_000_000,
        "payoff": payoff,
        "late_payoff": 0.0,
        "streaming": False,
        **more,
    }


def small_deployment(**more: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the first tier, figures as in the pages' example."""
    bounds = {
        "cancel": True,
        "conn_idle_ns": 5_000_000_000,
        "connect_timeout_ns": 100_000_000,
        "max_retry_after_ns": 1_500_000_000,
        "max_trips": 3,
        "may_duplicate": False,
        "peers": False,
        "probing": True,
        "retry_after": True,
    }
    rules = {
        "answer_slack_ns": 20_000_000,
        "ask_every_ns": 10_000_000_000,
        "cold_from": 0.3,
        "drain_grace_ns": 1_500_000_000,
        "fall_multiple": 3.0,
        "fall_ns": 1_000_000_000,
        "warm_after_ns": 7_800_000_000,
    }
    return {
        "layer": 0,
        "instances": 1,
        "self_index": 0,
        "tick_ns": 5_000_000,
        "zone": "sala-zisa",
        "tenants": [],
        "beyond_share_payoff": 0.05,
        "discovery": "push",
        "reporting": {"fields": [], "how": "off"},
        "bounds": bounds,
        "rules": rules,
        "tracks": [
            track("ricevuta-annuale", "retryable", 1.2, 3.0, 12.0),
            track("storico-donatore", "retryable", 1.0, 2.5),
            track("nuova-donazione", "dedup", 0.5, 1.2, group="cell"),
        ],
        **more,
    }


class Node:
    """One process of a node, started by `run` of the deploy file."""

    numbers = itertools.count(1)

    def __init__(self, record: Record, folder: Path, settings: dict[str, Any], discovery: Discovery) -> None:
        self.record, self.folder = record, folder
        self.listen, self.operator = free_port(), free_port()
        self.settings = settings
        self.discovery_port = discovery.port
        self.known = discovery.whole()
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = folder / f"config-{next(self.numbers)}.json"

    def write_config(self) -> None:
        """Write the configuration, in place of the one before."""
        document = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.listen}",
            "operator": f"127.0.0.1:{self.operator}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        partial = self.config_path.with_suffix(".new")
        partial.write_text(json.dumps(document), encoding="utf-8")
        partial.rename(self.config_path)

    async def start(self, log_name: str = "node.log") -> Node:
        """Start the process; it is not awaited until it is ready."""
        self.write_config()
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        (self.folder / "tmp").mkdir(exist_ok=True)
        env |= {"PROXY_CONFIG": str(self.config_path), "TMPDIR": str(self.folder / "tmp")}
        with open(self.folder / log_name, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
            )
        self.record("node started", pid=self.process.pid, listen=self.listen)
        return self

    async def ready(self, seconds: float = 30.0) -> Node:
        """Wait until `GET /ready` is answered with 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = await Client(self.listen).open()
                client.writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                message = await asyncio.wait_for(read_message(client.reader), 1)
                client.close()
                if message.status == 200:
                    self.record("node ready", pid=self.pid)
                    return self
            await asyncio.sleep(0.05)
        raise RuntimeError("the node did not become ready")

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record("signal", pid=self.pid, signal=signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    async def call(self, line: str) -> str:
        """Make one call at the operators' door."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.operator)
        writer.write(line.encode() + b"\n")
        text = (await asyncio.wait_for(reader.read(), 2)).decode()
        writer.close()
        self.record("operator call", line=line, answer=text.strip()[:200])
        return text

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Client:
    """One connection of a client, with one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        return self

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(Exception):
            self.writer.close()


def request_head(
    method: str, target: str, request_id: str, deadline_ms: int, *fields: str, length: int | None = None
) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: app.svc", f"Req-Id: {request_id}"]
    lines += [f"Req-Deadline: {deadline_ms}m", *fields]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Case:
    """Runs one case: its nodes and stand-ins, and the end of all of them."""

    def __init__(self, file: str) -> None:
        self.folder = Path(file).resolve().parent
        self.record = Record(self.folder)
        self.nodes: list[Node] = []
        self.stoppable: list[Server | Discovery] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.tmp = Path(self.temporary.name)

    async def server(self, name: str, respond: Respond, **options: Any) -> Server:
        """Start a server."""
        server = await Server(name, self.record, respond, **options).start()
        self.stoppable.append(server)
        return server

    async def discovery(self, servers: list[Server]) -> Discovery:
        """Start discovery."""
        discovery = await Discovery(self.record, servers).start()
        self.stoppable.append(discovery)
        return discovery

    def node(self, settings: dict[str, Any], discovery: Discovery) -> Node:
        """Return a node that was not started yet."""
        self.nodes.append(Node(self.record, self.tmp, settings, discovery))
        return self.nodes[-1]

    def log_tail(self) -> None:
        """Copy the end of the node's log to the record."""
        for path in sorted(self.tmp.glob("*.log")):
            for line in path.read_text("utf-8", "replace").splitlines()[-60:]:
                self.record("log", of=path.name, line=line)


def run(file: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case and exit: `play` returns what broke the rule, one line each."""

    async def main() -> int:
        case = Case(file)
        case.record("begin", trouble=TROUBLE)
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                breaks = await play(case)
        except Exception as error:
            case.record("could not run", why=repr(error))
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for node in case.nodes:
                await node.end()
            case.log_tail()
            for one in case.stoppable:
                one.stop()
            case.temporary.cleanup()
        for line in breaks:
            case.record("broken", what=line)
        print("\n".join(breaks[:12]) or "the rule held")
        if len(breaks) > 12:
            print(f"... {len(breaks)} in all")
        return BROKEN if breaks else HELD

    result = COULD_NOT_RUN
    try:
        result = asyncio.run(main())
        sys.stdout.flush()
    except BaseException as error:
        # Only a broken rule is told by BROKEN.
        result = COULD_NOT_RUN
        with contextlib.suppress(Exception):
            print(f"could not run: {error!r}", file=sys.stderr)
    os._exit(result)
