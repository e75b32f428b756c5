"""Stand-in servers on sockets around `ServerModel`, which speak the platform's protocol and write records.

A server has one listener for each zone of origin, on a port of the loopback address, so that a connection
between zones costs its delay and its zone is recorded. An injected fault is state of `StandIn`: it changes
the answers and the network, while the model continues unchanged.
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

from coraldeal.rig.clock import now_us
from coraldeal.rig.model import Group, Phase, RequestOutcome, ServerModel, ServerSpec
from coraldeal.rig.records import AttemptRecord, Records, ServerRecord

# A longer request head is answered 431, and a longer body 400.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 20
# Faults after which an answer can't be parsed, and faults that leave it valid but add to it.
MALFORMED_KINDS = ("noise", "head", "length", "huge", "cut")
SURPLUS_KINDS = ("surplus", "repeat", "informational", "report")

# Calls the next tier: request class, number of calls, end of the deadline; whether all calls succeeded.
NextTierCaller = Callable[[str, int, int], "asyncio.Future[bool]"]


@dataclass(slots=True)
class InjectedFaults:
    """Faults of a server's answers and its network; all are off at first."""

    # No answer is sent.
    silent: bool = False
    # The network drops all bytes in both directions.
    cut: bool = False
    # How answers are malformed, and the fraction of answers that are.
    malformed_kind: str = ""
    malformed_fraction: float = 0.0
    # The byte of the answer after which the connection is reset; -1: never.
    reset_at: int = -1
    # The idle time after which a connection is closed is drawn between these two; 0: not drawn.
    min_idle_us: int = 0
    max_idle_us: int = 0


class ServerConnection(asyncio.Protocol):
    """One connection at a server."""

    __slots__ = (
        "buffer", "close_after_answer", "delay", "exceeds_limit", "first_byte_us", "idle_timer", "idle_until",
        "is_new", "pending", "record", "request", "server", "transport", "zone",
    )  # fmt: skip

    def __init__(self, server: StandIn, zone: str, delay: float) -> None:
        self.server = server
        self.zone = zone
        # Seconds, one way.
        self.delay = delay
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.first_byte_us = 0
        # The record and the number of the open request; None and -1: no request is open.
        self.record: AttemptRecord | None = None
        self.request = -1
        self.is_new = True
        # When the connection is closed if no request comes; 0: a request is open.
        self.idle_until = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None
        # Whether the server had too many connections when this one was opened.
        self.exceeds_limit = False
        self.close_after_answer = False
        # Bytes received while a request is open or the server is frozen.
        self.pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server and its model, and start its idle time."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.exceeds_limit = not self.server.model.connected(now_us())
        self.server.connections[self] = None
        self._start_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection after the network's delay."""
        if self.delay:
            self.server.loop.call_later(self.delay, self._lost)
        else:
            self._lost()

    def eof_received(self) -> bool:
        """Return False, so that asyncio closes the connection when the sender has closed its side."""
        # By the platform's protocol a sender that closes its side cancels the attempt.
        return False

    def _lost(self) -> None:
        """Cancel the open request, unless the network is cut and the server can't know of the end."""
        self._stop_idle()
        # None is the value of every registered connection; those of a killed process are not registered.
        if self.server.connections.pop(self, self) is None:
            self.server.model.disconnected(now_us())
        if self.record is not None and not self.server.faults.cut:
            self.server.model.cancel(self.request, now_us())

    def data_received(self, data: bytes) -> None:
        """Handle the bytes after the network's delay; drop them while the network is cut."""
        if self.server.faults.cut:
            return
        if self.delay:
            self.server.loop.call_later(self.delay, self.handle_bytes, data)
        else:
            self.handle_bytes(data)

    def handle_bytes(self, data: bytes) -> None:
        """Parse bytes that have arrived after the network's delay, and start a complete request."""
        if self.server.faults.cut or self.server.model.phase is Phase.DOWN:
            return
        if self.server.model.frozen or self.record is not None:
            # A sender may pipeline requests; the platform's nodes do not.
            self.pending += data
            if self.server.model.frozen and not self.first_byte_us:
                self.first_byte_us = now_us()
            return
        if not self.buffer:
            self.first_byte_us = self.first_byte_us or now_us()
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self._refuse(431)
            return
        lines = self.buffer[:end].split(b"\r\n")
        headers = {}
        for line in lines[1:]:
            key, _, value = line.partition(b":")
            headers[key.strip().lower()] = value.strip()
        length = int(headers.get(b"content-length", b"0") or 0)
        if length > MAX_BODY_BYTES or b"transfer-encoding" in headers:
            self._refuse(400)
            return
        request_end = end + 4 + length
        if len(self.buffer) < request_end:
            return
        self.pending = self.buffer[request_end:] + self.pending
        self.buffer = b""
        self._stop_idle()
        first, self.first_byte_us = self.first_byte_us, 0
        words = lines[0].split(b" ")
        path = words[1].decode("latin-1") if len(words) == 3 else "/"
        if path in ("/health", "/status/load"):
            self._answer_probe(path)
            return
        request_id = headers.get(b"req-id", b"").decode("latin-1")
        if not request_id:
            self._refuse(404)
            return
        request_class = path.lstrip("/").partition("/")[0].partition("?")[0]
        server = self.server
        last = now_us()
        work = int(headers.get(b"rig-work", b"") or server.default_work_us)
        self.record = AttemptRecord(
            server.name, server.incarnation, server.layer, self.zone, request_id,
            headers.get(b"idempotency-key", b"").decode("latin-1"), request_class, first, last, work_us=work,
        )  # fmt: skip
        server.records.attempts.append(self.record)
        self.request = next(server.numbers)
        server.open_requests[self.request] = self
        if self.exceeds_limit:
            server.model.request_count += 1
            server.ended(self.request, RequestOutcome.DECLINED, False)
            return
        handshake = server.model.spec.handshake_us
        if self.is_new and handshake:
            self.is_new = False
            server.loop.call_later(handshake / 1e6, self._pass_to_model, self.request, work, headers)
            return
        self._pass_to_model(self.request, work, headers)

    def _pass_to_model(self, request: int, work: int, headers: dict[bytes, bytes]) -> None:
        """Hand the request to the model, unless it has ended during the handshake's delay."""
        if self.request != request or self.record is None:
            return
        calls = int(headers.get(b"rig-calls", b"0") or 0) if self.server.call is not None else 0
        scaled_work = work * self.server.work_fraction
        time_left = _parse_deadline_us(headers.get(b"req-deadline", b""))
        deadline = self.record.last_us + time_left if time_left else 0
        self.server.deadlines[request] = deadline
        self.server.model.request_arrived(
            request, scaled_work, calls, self.record.idempotency_key or None, deadline, now_us()
        )

    def answer(self, outcome: RequestOutcome) -> None:
        """Answer the open request, as the injected faults leave the answer."""
        record, self.record, self.request = self.record, None, -1
        assert record is not None
        record.end_us = now_us()
        record.result = outcome.value
        server = self.server
        faults = server.faults
        if faults.silent:
            record.result = "silent"
            # No further request is expected on a connection without its answer.
            return
        report = _encode_report(server.model.load_report(record.end_us), server.report_fields)
        if outcome in (RequestOutcome.SERVED, RequestOutcome.REPEATED):
            body = f"{record.id} {record.server} {record.incarnation}".encode()
            head = b"HTTP/1.1 200 OK\r\n"
        elif outcome is RequestOutcome.DECLINED:
            body, head = b"", b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\n"
        else:
            body, head = b"", b"HTTP/1.1 500 Internal Server Error\r\n"
        data = b"%b%bContent-Length: %d\r\n\r\n%b" % (head, report, len(body), body)
        if (
            faults.malformed_fraction
            and outcome is RequestOutcome.SERVED
            and _draw(server, record.id) < faults.malformed_fraction
        ):
            if faults.malformed_kind in MALFORMED_KINDS:
                record.result = "spoilt"
            data = malform(faults.malformed_kind, data, body)
        if 0 <= faults.reset_at < len(data):
            record.result = "reset"
            self.write(data[: faults.reset_at])
            self._delayed(self._abort)
            return
        self.write(data)
        if server.model.phase is Phase.DRAINING and self.close_after_answer:
            self._delayed(self._close)
            return
        self._start_idle()
        if self.pending:
            data, self.pending = self.pending, b""
            self.handle_bytes(data)

    def write(self, data: bytes) -> None:
        """Write bytes after the network's delay."""
        self._delayed(self._write, data)

    def _delayed(self, action: Callable[..., None], *args: object) -> None:
        if self.delay:
            self.server.loop.call_later(self.delay, action, *args)
        else:
            action(*args)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.server.faults.cut:
            self.transport.write(data)

    def _close(self) -> None:
        if self.transport is not None and not self.server.faults.cut:
            self.transport.close()

    def _abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            # With a linger time of 0 the peer receives a reset, as from a process that has died.
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()

    def _refuse(self, status: int) -> None:
        """Answer a request that is not accepted with an error status, and close the connection."""
        self.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % status)
        self._delayed(self._close)

    def _answer_probe(self, path: str) -> None:
        server = self.server
        if not server.probes:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif not server.faults.silent:
            server.model.busy_us += server.model.spec.probe_work_us
            text = b""
            if path == "/status/load" and server.report_fields:
                text = _encode_report(server.model.load_report(now_us()), server.report_fields)[10:-2]
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        self._start_idle()

    def _start_idle(self) -> None:
        """Start the idle time of a connection with no open request; the server closes it at the end."""
        faults = self.server.faults
        wait = self.server.idle_us
        if faults.max_idle_us:
            self.server.draws += 1
            draw = _draw(self.server, str(self.server.draws))
            drawn_wait = faults.min_idle_us + int(draw * (faults.max_idle_us - faults.min_idle_us))
            wait = min(wait, drawn_wait) if wait else drawn_wait
        self.idle_until = self.server.loop.time() + wait / 1e6 if wait else 0.0
        if wait and (self.idle_timer is None or self.idle_timer.when() > self.idle_until):
            self._set_idle_timer()

    def _stop_idle(self) -> None:
        """End the idle time when a request is open or the connection has closed."""
        self.idle_until = 0.0

    def _set_idle_timer(self) -> None:
        """Set the connection's only idle timer, which is set again when it expires.

        A timer for each request cost more than the request.
        """
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = self.server.loop.call_at(self.idle_until, self._idle_timer_expired)

    def _idle_timer_expired(self) -> None:
        self.idle_timer = None
        if self.idle_until > self.server.loop.time():
            self._set_idle_timer()
        elif self.idle_until:
            self._close()


def _draw(server: StandIn, name: str) -> float:
    """Return a number from 0 to 1 that is the same for the same seed, server and name."""
    return crc32(f"{server.seed} {server.name} {name}".encode()) / 2**32


def _parse_deadline_us(text: bytes) -> int:
    """Return the time left by a deadline header such as `800m` or `800000u`; 0 if it can't be parsed."""
    try:
        return int(float(text[:-1]) * {b"m": 1000, b"u": 1}[text[-1:]])
    except (ValueError, KeyError):
        return 0


def _encode_report(figures: dict[str, float], fields: list[str]) -> bytes:
    """Return the header of a load report with these fields; empty without fields."""
    if not fields:
        return b""
    pairs = ",".join(f"{name}={figures.get(name, 0.0):.4g}" for name in fields)
    return f"Srv-Load: {pairs}\r\n".encode()


def malform(kind: str, data: bytes, body: bytes) -> bytes:
    """Return a valid answer with an injected fault: bytes that can't be parsed, or more than one answer."""
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
    """One stand-in server: a model, its listeners and connections, and its injected faults.

    It is the `ModelHost` of its model.
    """

    def __init__(
        self,
        name: str,
        layer: int,
        zone: str,
        spec: ServerSpec,
        group: Group,
        records: Records,
        seed: int,
        *,
        fields: list[str],
        probes: bool,
        idle_us: int,
        work_fraction: float = 1.0,
        call: NextTierCaller | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.name = name
        self.layer = layer
        self.zone = zone
        self.model = ServerModel(name, spec, self, group)
        self.records = records
        self.seed = seed
        # Figures of a load report.
        self.report_fields = fields
        self.probes = probes
        self.idle_us = idle_us
        self.work_fraction = work_fraction
        # Work of a request that states none, as one sent by hand.
        self.default_work_us = 0
        self.call = call
        self.incarnation = -1
        self.faults = InjectedFaults()
        self.draws = 0
        self.numbers = count()
        self.open_requests: dict[int, ServerConnection] = {}
        # End of the deadline of each open request; 0: none was sent.
        self.deadlines: dict[int, int] = {}
        self.connections: dict[ServerConnection, None] = {}
        # By zone of origin: the delay in seconds, the port and the listener.
        self.delays: dict[str, float] = {}
        self.ports: dict[str, int] = {}
        self.listeners: dict[str, asyncio.Server] = {}
        # Sockets that keep the accept queue full while the network is cut.
        self.queue_fillers: list[socket.socket] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0

    # The process.

    async def start(self, delays: dict[str, float], warm: bool = True) -> None:
        """Start a new process without faults. Ports stay the same after the first start.

        `delays` gives the one-way delay in seconds from each zone of origin. Raises OSError if a port is
        taken.
        """
        self.incarnation += 1
        self.delays = delays
        self.faults = InjectedFaults()
        self.model.slowdown, self.model.frozen = 1.0, False
        self.model.start(now_us(), warm)
        await self.open_listeners()
        self._record("up")

    async def open_listeners(self) -> None:
        """Accept connections on one listener for each zone of origin; raises OSError if a port is taken."""
        for zone, delay in self.delays.items():
            if zone in self.listeners:
                continue
            listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(("127.0.0.1", self.ports.get(zone, 0)))
            self.ports[zone] = listening.getsockname()[1]
            connection = partial(ServerConnection, self, zone, delay)
            self.listeners[zone] = await self.loop.create_server(connection, sock=listening, backlog=256)

    def close_listeners(self) -> None:
        """Refuse new connections; open ones stay."""
        for listener in self.listeners.values():
            listener.close()
        self.listeners.clear()

    def kill(self, event: str = "killed") -> None:
        """End the process: reset its connections and refuse new ones."""
        if self.model.phase is Phase.DOWN:
            return
        self.close_queue_fillers()
        for request, connection in list(self.open_requests.items()):
            job = self.model.jobs.get(request)
            if connection.record is not None:
                connection.record.result, connection.record.end_us = event, now_us()
                connection.record.ran = job is not None and job.ran
                connection.record = None
        self.open_requests.clear()
        self.model.kill(now_us())
        self._record(event)
        self.close_listeners()
        for connection in list(self.connections):
            connection._abort()
            connection._stop_idle()
        self.connections.clear()

    def drain(self) -> None:
        """Finish open requests, decline new ones, and close each connection after its answer."""
        self.model.drain(now_us())
        for connection in self.connections:
            connection.close_after_answer = True
        self._record("draining")

    def _record(self, event: str) -> None:
        self.records.servers.append(ServerRecord(self.name, self.incarnation, self.layer, now_us(), event))

    # The network.

    def cut_network(self) -> None:
        """Let the machine vanish: open connections stay open without traffic, new ones are never established.

        New connections hang because the accept queue of the listener is full; no setting of the kernel is
        changed.
        """
        self.faults.cut = True
        for listener in self.listeners.values():
            listening = listener.sockets[0].dup()
            self.queue_fillers.append(listening)
            listening.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(listening.getsockname())
                self.queue_fillers.append(filler)
        self.close_listeners()

    async def restore_network(self) -> None:
        """End `cut_network`: reset the open connections and accept new ones."""
        if not self.faults.cut:
            return
        self.close_queue_fillers()
        self.faults.cut = False
        for connection in list(self.connections):
            connection._abort()
        await self.open_listeners()

    def close_queue_fillers(self) -> None:
        """Close the sockets that keep the accept queue full."""
        for filler in self.queue_fillers:
            filler.close()
        self.queue_fillers.clear()

    def thaw(self) -> None:
        """Continue after a freeze, and handle the bytes that arrived meanwhile."""
        self.model.thaw(now_us())
        for connection in list(self.connections):
            if connection.pending and connection.record is None:
                data, connection.pending = connection.pending, b""
                connection.handle_bytes(data)

    # The model's host.

    def ended(self, request: int, outcome: RequestOutcome, ran: bool) -> None:
        """Record whether the request ran, and answer it unless it was cancelled or its connection closed."""
        connection = self.open_requests.pop(request, None)
        self.deadlines.pop(request, None)
        if connection is None or connection.record is None:
            return
        connection.record.ran = ran
        if (
            outcome is RequestOutcome.CANCELLED
            or connection.transport is None
            or connection.transport.is_closing()
        ):
            connection.record.end_us = now_us()
            connection.record.result = outcome.value
            connection.record = None
            return
        connection.answer(outcome)

    def call_next_tier(self, request: int, calls: int) -> None:
        """Make the request's calls to the next tier, and pass their result to the model when they end."""
        assert self.call is not None
        connection = self.open_requests.get(request)
        request_class = (
            connection.record.request_class
            if connection is not None and connection.record is not None
            else ""
        )
        result = self.call(request_class, calls, self.deadlines.get(request, 0))
        result.add_done_callback(lambda done: self._next_tier_ended(request, done))

    def _next_tier_ended(self, request: int, done: asyncio.Future[bool]) -> None:
        succeeded = not done.cancelled() and done.exception() is None and done.result()
        self.model.next_tier_ended(request, succeeded, now_us())

    def set_timer(self, at_us: int) -> None:
        """Set the model's only timer to expire at this time in microseconds; a previous time is replaced."""
        if self.timer is not None:
            if self.timer_at == at_us and not self.timer.cancelled() and self.timer.when() > self.loop.time():
                return
            self.timer.cancel()
        self.timer_at = at_us
        self.timer = self.loop.call_at(at_us / 1e6, self._timer_expired)

    def _timer_expired(self) -> None:
        self.timer = None
        if self.model.phase in (Phase.UP, Phase.DRAINING):
            self.model.timer_expired(max(now_us(), self.timer_at))

    def collapsed(self) -> None:
        """Record that the server has collapsed under load while cold."""
        self._record("fell")
