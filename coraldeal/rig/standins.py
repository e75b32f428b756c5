"""Servers on sockets round `ServerModel`, speaking the platform's protocol and keeping their own books.

A server listens at one door for each zone of origin, so that a crossing costs its delay and is written down;
a door is a port of the loopback address. What a trouble makes of a server is state of `StandIn`: the answers
come out of it as the trouble says, the model goes on as it would.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from zlib import crc32

from coraldeal.rig.books import AttemptRow, Book, ServerRow
from coraldeal.rig.clock import now_us
from coraldeal.rig.model import Group, Phase, ServerModel, Shape, Verdict

HEAD_MOST = 64 * 1024
BODY_MOST = 1 << 20
SPOILT = ("noise", "head", "length", "huge", "cut")
SURPLUS = ("surplus", "repeat", "informational", "report")

Caller = Callable[[str, int, int], "asyncio.Future[bool]"]


@dataclass(slots=True)
class Fault:
    """What is wrong with a server's answers or its network; all off at first."""

    silent: bool = False
    cut: bool = False
    # The part of answers that come spoilt or with more than belongs to them, and in what way.
    spoil: str = ""
    share: float = 0.0
    # The byte of the answer after which the connection is reset; -1: never.
    reset_at: int = -1
    # Idle connections are closed at random between these two ages; 0: never.
    idle_least_us: int = 0
    idle_most_us: int = 0


class Door(asyncio.Protocol):
    """One connection at a server."""

    __slots__ = (
        "asked", "buffer", "closing", "delay", "first_us", "fresh", "idle", "idle_until", "late", "row",
        "server", "shed", "transport", "zone",
    )  # fmt: skip

    def __init__(self, server: StandIn, zone: str, delay: float) -> None:
        self.server = server
        self.zone = zone
        self.delay = delay
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.first_us = 0
        self.row: AttemptRow | None = None
        self.asked = -1
        self.fresh = True
        # When it is closed if no request comes; 0: one is open.
        self.idle_until = 0.0
        self.idle: asyncio.TimerHandle | None = None
        self.shed = False
        self.closing = False
        # Bytes that came while an answer is out, frozen or not.
        self.late = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.shed = not self.server.model.connected(now_us())
        self.server.doors[self] = None
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.delay:
            self.server.loop.call_later(self.delay, self._lost)
        else:
            self._lost()

    def eof_received(self) -> bool:
        # The platform's page: ending the sending gives the attempt up.
        return False

    def _lost(self) -> None:
        self._stir()
        if self.server.doors.pop(self, self) is None:
            self.server.model.disconnected(now_us())
        if self.row is not None and not self.server.fault.cut:
            self.server.model.call_off(self.asked, now_us())

    def data_received(self, data: bytes) -> None:
        if self.server.fault.cut:
            return
        if self.delay:
            self.server.loop.call_later(self.delay, self.take, data)
        else:
            self.take(data)

    def take(self, data: bytes) -> None:
        """Bytes have arrived, the network's delay counted in."""
        if self.server.fault.cut or self.server.model.phase is Phase.DOWN:
            return
        if self.server.model.frozen or self.row is not None:
            # A sender may pipeline; the platform's nodes do not.
            self.late += data
            if self.server.model.frozen and not self.first_us:
                self.first_us = now_us()
            return
        if not self.buffer:
            self.first_us = self.first_us or now_us()
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > HEAD_MOST:
                self._refuse(431)
            return
        lines = self.buffer[:end].split(b"\r\n")
        fields = {}
        for line in lines[1:]:
            key, _, value = line.partition(b":")
            fields[key.strip().lower()] = value.strip()
        length = int(fields.get(b"content-length", b"0") or 0)
        if length > BODY_MOST or b"transfer-encoding" in fields:
            self._refuse(400)
            return
        whole = end + 4 + length
        if len(self.buffer) < whole:
            return
        self.late = self.buffer[whole:] + self.late
        self.buffer = b""
        self._stir()
        first, self.first_us = self.first_us, 0
        words = lines[0].split(b" ")
        path = words[1].decode("latin-1") if len(words) == 3 else "/"
        if path in ("/health", "/status/load"):
            self._probed(path)
            return
        name = fields.get(b"req-id", b"").decode("latin-1")
        if not name:
            self._refuse(404)
            return
        track = path.lstrip("/").partition("/")[0].partition("?")[0]
        server = self.server
        last = now_us()
        work = int(fields.get(b"rig-work", b"") or server.usual_work_us)
        self.row = AttemptRow(
            server.name, server.life, server.layer, self.zone, name,
            fields.get(b"idempotency-key", b"").decode("latin-1"), track, first, last, work_us=work,
        )  # fmt: skip
        server.book.attempts.append(self.row)
        self.asked = next(server.numbers)
        server.open[self.asked] = self
        if self.shed:
            server.model.count += 1
            server.ended(self.asked, Verdict.DECLINED, False)
            return
        handshake = server.model.shape.handshake_us
        if self.fresh and handshake:
            self.fresh = False
            server.loop.call_later(handshake / 1e6, self._arrive, self.asked, work, fields)
            return
        self._arrive(self.asked, work, fields)

    def _arrive(self, asked: int, work: int, fields: dict[bytes, bytes]) -> None:
        if self.asked != asked or self.row is None:
            return
        calls = int(fields.get(b"rig-calls", b"0") or 0) if self.server.call is not None else 0
        scaled = work * self.server.work_part
        left = _deadline_us(fields.get(b"req-deadline", b""))
        until = self.row.last_us + left if left else 0
        self.server.deadlines[asked] = until
        self.server.model.arrive(asked, scaled, calls, self.row.mark or None, until, now_us())

    def answer(self, verdict: Verdict) -> None:
        """The answer to the request in hand goes out, as the troubles of the day leave it."""
        row, self.row, self.asked = self.row, None, -1
        assert row is not None
        row.end_us = now_us()
        row.how = verdict.value
        server = self.server
        fault = server.fault
        if fault.silent:
            row.how = "silent"
            # Bytes of another request on this connection are not to be expected.
            return
        report = _report(server.model.load_report(row.end_us), server.fields)
        if verdict in (Verdict.SERVED, Verdict.REPEATED):
            body = f"{row.id} {row.server} {row.life}".encode()
            head = b"HTTP/1.1 200 OK\r\n"
        elif verdict is Verdict.DECLINED:
            body, head = b"", b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\n"
        else:
            body, head = b"", b"HTTP/1.1 500 Internal Server Error\r\n"
        data = b"%b%bContent-Length: %d\r\n\r\n%b" % (head, report, len(body), body)
        if fault.share and verdict is Verdict.SERVED and _chance(server, row.id) < fault.share:
            if fault.spoil in SPOILT:
                row.how = "spoilt"
            data = spoil(fault.spoil, data, body)
        if 0 <= fault.reset_at < len(data):
            row.how = "reset"
            self.write(data[: fault.reset_at])
            self._later(self._abort)
            return
        self.write(data)
        if server.model.phase is Phase.DRAINING and self.closing:
            self._later(self._close)
            return
        self._rest()
        if self.late:
            data, self.late = self.late, b""
            self.take(data)

    def write(self, data: bytes) -> None:
        self._later(self._write, data)

    def _later(self, act: Callable[..., None], *args: object) -> None:
        if self.delay:
            self.server.loop.call_later(self.delay, act, *args)
        else:
            act(*args)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.server.fault.cut:
            self.transport.write(data)

    def _close(self) -> None:
        if self.transport is not None and not self.server.fault.cut:
            self.transport.close()

    def _abort(self) -> None:
        if self.transport is not None:
            # Linger of nothing: the peer sees a reset, as from a process that has died.
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()

    def _refuse(self, status: int) -> None:
        self.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % status)
        self._later(self._close)

    def _probed(self, path: str) -> None:
        server = self.server
        if not server.probes:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif not server.fault.silent:
            server.model.busy_us += server.model.shape.probe_work_us
            text = b""
            if path == "/status/load" and server.fields:
                text = _report(server.model.load_report(now_us()), server.fields)[10:-2]
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        self._rest()

    def _rest(self) -> None:
        """No request is open: the server closes the connection when it has been so for long."""
        fault = self.server.fault
        wait = self.server.idle_us
        if fault.idle_most_us:
            self.server.draws += 1
            chance = _chance(self.server, str(self.server.draws))
            spread = fault.idle_least_us + int(chance * (fault.idle_most_us - fault.idle_least_us))
            wait = min(wait, spread) if wait else spread
        self.idle_until = self.server.loop.time() + wait / 1e6 if wait else 0.0
        if wait and (self.idle is None or self.idle.when() > self.idle_until):
            self._watch_idle()

    def _stir(self) -> None:
        """A request is open, or the connection has gone: the timer finds nothing to do."""
        self.idle_until = 0.0

    def _watch_idle(self) -> None:
        """One timer a connection, set anew when it comes: one for each request cost more than the request."""
        if self.idle is not None:
            self.idle.cancel()
        self.idle = self.server.loop.call_at(self.idle_until, self._idle_over)

    def _idle_over(self) -> None:
        self.idle = None
        if self.idle_until > self.server.loop.time():
            self._watch_idle()
        elif self.idle_until:
            self._close()


def _chance(server: StandIn, name: str) -> float:
    """From 0 to 1, the same for the same seed, server and name."""
    return crc32(f"{server.seed} {server.name} {name}".encode()) / 2**32


def _deadline_us(text: bytes) -> int:
    """What is left of the time; 0 where nothing readable is said."""
    try:
        return int(float(text[:-1]) * {b"m": 1000, b"u": 1}[text[-1:]])
    except (ValueError, KeyError):
        return 0


def _report(figures: dict[str, float], fields: list[str]) -> bytes:
    if not fields:
        return b""
    pairs = ",".join(f"{name}={figures.get(name, 0.0):.4g}" for name in fields)
    return f"Srv-Load: {pairs}\r\n".encode()


def spoil(kind: str, data: bytes, body: bytes) -> bytes:
    """A good answer as a bad server sends it: what can't be read, or more than belongs to it."""
    if kind == "noise":
        return b"\x16\x03\x01\x7f not http \x00\xff" * 4 + b"\r\n\r\n"
    if kind == "head":
        return data[:20] + b"\r\nX" + b"x" * 200
    if kind == "length":
        return data.replace(b"Content-Length: ", b"Content-Length: -")
    if kind == "huge":
        return data.replace(b"Content-Length: %d" % len(body), b"Content-Length: 3000000000")
    if kind == "cut":
        return data[: len(data) - max(1, len(body) // 2)]
    if kind == "surplus":
        return data + b"\x00\x01 noise"
    if kind == "repeat":
        return data + data
    if kind == "informational":
        return b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + data
    if kind == "report":
        return data.replace(b"\r\n", b"\r\nSrv-Load: inflight=,queue=x;y,util=nan\r\n", 1)
    return data


class StandIn:
    """One server: a model, its doors and what is wrong with it. Its own `ModelHost`."""

    def __init__(
        self,
        name: str,
        layer: int,
        zone: str,
        shape: Shape,
        group: Group,
        book: Book,
        seed: int,
        *,
        fields: list[str],
        probes: bool,
        idle_us: int,
        work_part: float = 1.0,
        call: Caller | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.name = name
        self.layer = layer
        self.zone = zone
        self.model = ServerModel(name, shape, self, group)
        self.book = book
        self.seed = seed
        self.fields = fields
        self.probes = probes
        self.idle_us = idle_us
        self.work_part = work_part
        # Work of a request that tells none, as from a caller by hand.
        self.usual_work_us = 0
        self.call = call
        self.life = -1
        self.fault = Fault()
        self.draws = 0
        self.numbers = count()
        self.open: dict[int, Door] = {}
        self.deadlines: dict[int, int] = {}
        self.doors: dict[Door, None] = {}
        self.delays: dict[str, float] = {}
        self.ports: dict[str, int] = {}
        self.listeners: dict[str, asyncio.Server] = {}
        self.plugs: list[socket.socket] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0

    # Its process.

    async def start(self, delays: dict[str, float], warm: bool = True) -> None:
        """A new process; its doors keep their ports from the first start on. Delays are seconds, one way."""
        self.life += 1
        self.delays = delays
        self.fault = Fault()
        self.model.slower, self.model.frozen = 1.0, False
        self.model.start(now_us(), warm)
        await self.open_doors()
        self._note("up")

    async def open_doors(self) -> None:
        """Take connections, one door for each zone of origin."""
        for zone, delay in self.delays.items():
            if zone in self.listeners:
                continue
            listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(("127.0.0.1", self.ports.get(zone, 0)))
            self.ports[zone] = listening.getsockname()[1]
            door = partial(Door, self, zone, delay)
            self.listeners[zone] = await self.loop.create_server(door, sock=listening, backlog=256)

    def close_doors(self) -> None:
        """Refuse new connections; those that are open stay."""
        for listener in self.listeners.values():
            listener.close()
        self.listeners.clear()

    def kill(self, what: str = "killed") -> None:
        """The process dies: its connections are reset, new ones refused."""
        if self.model.phase is Phase.DOWN:
            return
        self.unplug()
        for number, door in list(self.open.items()):
            job = self.model.jobs.get(number)
            if door.row is not None:
                door.row.how, door.row.end_us = what, now_us()
                door.row.ran = job is not None and job.ran
                door.row = None
        self.open.clear()
        self.model.kill(now_us())
        self._note(what)
        self.close_doors()
        for door in list(self.doors):
            door._abort()
            door._stir()
        self.doors.clear()

    def drain(self) -> None:
        self.model.drain(now_us())
        for door in self.doors:
            door.closing = True
        self._note("draining")

    def _note(self, what: str) -> None:
        self.book.servers.append(ServerRow(self.name, self.life, self.layer, now_us(), what))

    # Its network.

    def cut(self) -> None:
        """The machine vanishes: open connections stay open and silent, new ones never come up.

        New ones hang because the queue of those not yet accepted is full: nothing of the kernel is changed.
        """
        self.fault.cut = True
        for listener in self.listeners.values():
            listening = listener.sockets[0].dup()
            self.plugs.append(listening)
            listening.listen(0)
            for _ in range(2):
                plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                plug.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    plug.connect(listening.getsockname())
                self.plugs.append(plug)
        self.close_doors()

    async def mend(self) -> None:
        """Back in the network; what was open is reset."""
        if not self.fault.cut:
            return
        self.unplug()
        self.fault.cut = False
        for door in list(self.doors):
            door._abort()
        await self.open_doors()

    def unplug(self) -> None:
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()

    def thaw(self) -> None:
        self.model.thaw(now_us())
        for door in list(self.doors):
            if door.late and door.row is None:
                data, door.late = door.late, b""
                door.take(data)

    # The model's host.

    def ended(self, request: int, verdict: Verdict, ran: bool) -> None:
        door = self.open.pop(request, None)
        self.deadlines.pop(request, None)
        if door is None or door.row is None:
            return
        door.row.ran = ran
        if verdict is Verdict.CALLED_OFF or door.transport is None or door.transport.is_closing():
            door.row.end_us = now_us()
            door.row.how = verdict.value
            door.row = None
            return
        door.answer(verdict)

    def call_next(self, request: int, calls: int) -> None:
        assert self.call is not None
        door = self.open.get(request)
        track = door.row.track if door is not None and door.row is not None else ""
        told = self.call(track, calls, self.deadlines.get(request, 0))
        told.add_done_callback(lambda done: self._called(request, done))

    def _called(self, request: int, done: asyncio.Future[bool]) -> None:
        well = not done.cancelled() and done.exception() is None and done.result()
        self.model.next_ended(request, well, now_us())

    def wake(self, at_us: int) -> None:
        if self.timer is not None:
            if self.timer_at == at_us and not self.timer.cancelled() and self.timer.when() > self.loop.time():
                return
            self.timer.cancel()
        self.timer_at = at_us
        self.timer = self.loop.call_at(at_us / 1e6, self._alarm)

    def _alarm(self) -> None:
        self.timer = None
        if self.model.phase in (Phase.UP, Phase.DRAINING):
            self.model.alarm(max(now_us(), self.timer_at))

    def fell(self) -> None:
        self._note("fell")
