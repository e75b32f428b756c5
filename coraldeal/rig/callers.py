"""Callers on sockets: tries at intended times, retries, callers that leave, stay idle or misbehave.

`CallerPool` stands for the simple layer in front of the nodes, which assigns callers to the nodes of their
zone and keeps connections to each. `CallerInquiry` is one inquiry of a caller from its intended time to its
last answer. Latency counts from the intended time, so that a stall of the program under test shows in full
(no coordinated omission).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.experiment import Load, RequestClassSpec
from coraldeal.rig.load import PlannedInquiry
from coraldeal.rig.ready import is_ready
from coraldeal.rig.records import LatenessRecord, Records, TryRecord

SECOND = 1_000_000
# Seconds between two readiness checks of a node.
READY_POLL_SECONDS = 0.2
# Microseconds. An event loop of the rig that runs later than this is recorded: the rig itself may have been
# the bottleneck.
LATE_THRESHOLD_US = 5_000
# Seconds that a closed loop waits after a failed inquiry: without the wait it would count fast refusals as
# capacity.
FAILED_INQUIRY_WAIT = 0.001


@dataclass(slots=True)
class Target:
    """A node, or a server, that callers send to."""

    number: int
    zone: str
    port: int
    ready: bool = True
    # The time since which connections to it are refused; 0: they are not.
    refused_since: int = 0
    idle: list[CallerConnection] = field(default_factory=list)

    @property
    def usable(self) -> bool:
        """Whether callers may use it: a node that ends takes no new connections but serves the idle ones."""
        return self.ready or (bool(self.idle) and not self.refused_since)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, with at most one open request."""

    __slots__ = (
        "buffer", "has_answer_bytes", "inquiry", "last_try", "pool", "requests_sent", "target", "transport"
    )  # fmt: skip

    def __init__(self, pool: CallerPool, target: Target) -> None:
        self.pool = pool
        self.target = target
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.inquiry: CallerInquiry | None = None
        # The try that was answered last on this connection.
        self.last_try: TryRecord | None = None
        self.requests_sent = 0
        self.has_answer_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and count the connection as open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.pool.open_connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the closed connection from the idle ones, and notify the inquiry whose request is open."""
        self.pool.open_connections -= 1
        with contextlib.suppress(ValueError):
            self.target.idle.remove(self)
        inquiry, self.inquiry = self.inquiry, None
        if inquiry is not None:
            inquiry.connection_lost(self)

    def send(self, inquiry: CallerInquiry, data: bytes) -> None:
        """Send the request of an inquiry's try."""
        self.inquiry = inquiry
        self.requests_sent += 1
        self.has_answer_bytes = False
        self.buffer = b""
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse the answer to the open request; bytes without an open request close the connection."""
        inquiry = self.inquiry
        if inquiry is None:
            # No request is open, so these bytes must not be taken for the answer to a later one.
            if self.last_try is not None:
                self.last_try.has_surplus = True
            self.close()
            return
        self.has_answer_bytes = True
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].split(b"\r\n")
            words = lines[0].split(b" ", 2)
            if len(words) < 2 or not lines[0].startswith(b"HTTP/1.") or not words[1].isdigit():
                self._answer_unreadable(inquiry)
                return
            status = int(words[1])
            if 100 <= status < 200:
                self.buffer = self.buffer[end + 4 :]
                continue
            break
        length, close, retry_after_us = 0, False, -1
        for line in lines[1:]:
            key, _, value = line.partition(b":")
            key = key.lower()
            if key == b"content-length":
                if not value.strip().isdigit():
                    self._answer_unreadable(inquiry)
                    return
                length = int(value)
            elif key == b"connection":
                close = value.strip().lower() == b"close"
            elif key == b"retry-after":
                with contextlib.suppress(ValueError):
                    retry_after_us = int(float(value) * SECOND)
        if len(self.buffer) < end + 4 + length:
            return
        body = self.buffer[end + 4 : end + 4 + length]
        has_surplus = len(self.buffer) > end + 4 + length
        self.buffer = b""
        self.inquiry = None
        self.last_try = inquiry.record
        if has_surplus or close:
            self.close()
        else:
            self.target.idle.append(self)
        inquiry.answered(status, body, retry_after_us, has_surplus)

    def _answer_unreadable(self, inquiry: CallerInquiry) -> None:
        self.inquiry = None
        self.close()
        inquiry.try_failed("unreadable")

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()


class CallerInquiry:
    """One inquiry of a caller, with all its tries."""

    __slots__ = (
        "connection", "index", "number", "on_end", "planned", "pool", "record", "request_class", "started_us",
        "timer",
    )  # fmt: skip

    def __init__(
        self,
        pool: CallerPool,
        index: int,
        planned: PlannedInquiry,
        started_us: int,
        on_end: Callable[[CallerInquiry, bool], None] | None = None,
    ) -> None:
        self.pool = pool
        self.index = index
        self.planned = planned
        self.request_class = pool.request_classes[planned.request_class]
        # The intended time of the first try.
        self.started_us = started_us
        # The number of the present try, and its record.
        self.number = 0
        self.record: TryRecord | None = None
        self.connection: CallerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        # Called at the end of the inquiry with whether it succeeded.
        self.on_end = on_end

    def start_try(self, intended_us: int) -> None:
        """Start the next try, whose intended time is given; end the inquiry if its deadline has passed."""
        pool, load = self.pool, self.pool.load
        now = now_us()
        deadline = int(self.request_class.patience_ms * 1000)
        time_left = self.started_us + deadline - max(now, intended_us)
        time_left = min(time_left, int(deadline * load.try_part))
        if time_left <= 0:
            self._end(False)
            return
        target = pool.choose_target(self.planned.caller + self.number)
        self.record = TryRecord(
            inquiry=self.index,
            number=self.number,
            id=f"{pool.id_prefix}{self.index:07x}{self.number:02x}",
            request_class=self.request_class.name,
            tenant=pool.tenant_name(self.planned),
            node=target.number if target is not None and pool.to_nodes else -1,
            layer=pool.layer,
            intended_us=intended_us,
            deadline_us=time_left,
        )
        pool.records.tries.append(self.record)
        pool.tries_started += 1
        if target is None:
            self.try_failed("refused")
            return
        self._use_connection(target)

    def _use_connection(self, target: Target) -> None:
        """Send the request on an idle connection to the target, or on a new one."""
        connection = None
        while target.idle:
            connection = target.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._send(connection)
                return
        self.pool.run_task(self._connect(target))

    async def _connect(self, target: Target) -> None:
        """Open a connection and send the request; once, try another target if this one refuses."""
        record = self.record
        assert record is not None
        pool = self.pool
        try:
            async with asyncio.timeout(record.deadline_us / 1e6):
                _, connection = await pool.loop.create_connection(
                    lambda: CallerConnection(pool, target), "127.0.0.1", target.port
                )
        except (OSError, TimeoutError):
            pool.connection_refused(target)
            if self.record is record and not record.end_us:
                other = pool.choose_target(self.planned.caller + 1)
                if record.failure == "again" or other is None or other is target:
                    self.try_failed("refused")
                else:
                    # The layer in front of the nodes tries its next node once.
                    record.failure, record.node = "again", other.number if pool.to_nodes else -1
                    self._use_connection(other)
            return
        if self.record is record and not record.end_us:
            self._send(connection)
        else:
            connection.target.idle.append(connection)

    def _send(self, connection: CallerConnection) -> None:
        """Send the request of the present try, and set its timer when it is first sent."""
        record, pool = self.record, self.pool
        assert record is not None
        now = now_us()
        if not record.sent_us:
            time_left = record.deadline_us - max(0, now - record.intended_us if self.number else 0)
            record.deadline_us = max(1, time_left)
            wait = record.deadline_us + pool.slack_us
            if self.planned.leaves_after_us and self.planned.leaves_after_us < wait:
                wait = self.planned.leaves_after_us
            self.timer = pool.loop.call_later(wait / 1e6, self._timed_out)
        record.sent_us = now
        record.failure = ""
        self.connection = connection
        connection.send(self, pool.encode_request(self, record))

    def _timed_out(self) -> None:
        """End an unanswered try when its deadline and the slack have passed, or when its caller leaves."""
        record = self.record
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.inquiry = None
            connection.close()
        has_left = (
            bool(self.planned.leaves_after_us)
            and record is not None
            and self.planned.leaves_after_us < record.deadline_us
        )
        self.try_failed("left" if has_left else "silent")

    def answered(self, status: int, body: bytes, retry_after_us: int, has_surplus: bool) -> None:
        """Record a complete answer; end the inquiry after status 200, otherwise retry."""
        record = self.record
        assert record is not None
        record.end_us = now_us()
        record.status = status
        record.is_complete = True
        record.is_own = status == 200 and body.startswith(record.id.encode() + b" ")
        record.retry_after_us = retry_after_us
        record.has_surplus = has_surplus
        self._end_try()
        if status == 200:
            self._end(True)
        else:
            self._retry(retry_after_us)

    def connection_lost(self, connection: CallerConnection) -> None:
        """Handle the end of a connection that has carried no complete answer to the open request."""
        if connection is not self.connection:
            return
        self.connection = None
        record = self.record
        if (
            record is not None
            and connection.requests_sent > 1
            and not connection.has_answer_bytes
            and record.failure != "resent"
        ):
            # The peer closed an idle connection while this request was on its way.
            self.pool.run_task(self._resend(connection.target))
            return
        self.try_failed("closed")

    async def _resend(self, target: Target) -> None:
        """Send the same request once more, on a new connection."""
        record, pool = self.record, self.pool
        assert record is not None
        try:
            _, connection = await pool.loop.create_connection(
                lambda: CallerConnection(pool, target), "127.0.0.1", target.port
            )
        except OSError:
            pool.connection_refused(target)
            if self.record is record and not record.end_us:
                self.try_failed("refused")
            return
        if self.record is record and not record.end_us:
            self._send(connection)
            record.failure = "resent"

    def try_failed(self, failure: str) -> None:
        """End the try without an answer, then retry unless the caller has left."""
        record = self.record
        assert record is not None
        if not record.end_us:
            record.end_us = now_us()
            record.failure = failure
        self._end_try()
        if failure == "left":
            self._end(False)
        else:
            self._retry(-1)

    def _end_try(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.connection = None
        self.pool.tries_ended += 1

    def _retry(self, retry_after_us: int) -> None:
        """Schedule the next try, or end the inquiry after the last; -1: no Retry-After."""
        load = self.pool.load
        if self.number >= load.retries or self.pool.stopping:
            self._end(False)
            return
        self.number += 1
        min_wait_ms, max_wait_ms = load.retry_wait_ms
        draw = crc32(f"{self.index} {self.number}".encode()) / 2**32
        wait_us = int((min_wait_ms + draw * (max_wait_ms - min_wait_ms)) * 1000)
        if retry_after_us >= 0 and self.planned.obeys_retry_after:
            wait_us = max(wait_us, retry_after_us)
        intended_us = now_us() + wait_us
        self.pool.loop.call_later(wait_us / 1e6, self.start_try, intended_us)

    def _end(self, succeeded: bool) -> None:
        self.record = None
        if self.on_end is not None:
            self.on_end(self, succeeded)


class CallerPool:
    """All callers of one process, and the targets that they send to."""

    def __init__(
        self,
        request_classes: list[RequestClassSpec],
        load: Load,
        targets: list[Target],
        records: Records,
        *,
        id_prefix: str,
        layer: int = 0,
        to_nodes: bool = True,
        zones: list[str] | None = None,
        notice_us: int = 0,
        slack_us: int = 100_000,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.request_classes = request_classes
        self.load = load
        self.targets = targets
        self.records = records
        # The prefix of all request ids, different for each process so that ids are unique.
        self.id_prefix = id_prefix
        self.layer = layer
        self.to_nodes = to_nodes
        # How long a node may refuse connections until callers stop sending to it.
        self.notice_us = notice_us
        self.slack_us = slack_us
        self.zones = zones or sorted({target.zone for target in targets})
        self.by_zone = {zone: [t for t in targets if t.zone == zone] for zone in self.zones}
        # Whether some target was not ready at the last check; otherwise targets are chosen without a check.
        self.has_unready_target = False
        self.open_connections = 0
        self.tries_started = 0
        self.tries_ended = 0
        self.stopping = False
        self.tasks: dict[asyncio.Task[None], None] = {}

    def run_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; it is stored since the event loop holds tasks only weakly."""
        task = self.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    def choose_target(self, caller: int) -> Target | None:
        """Return the usable target for this caller, of its own zone if possible; None if none is usable."""
        zone = self.zones[caller % len(self.zones)]
        candidates = self.by_zone[zone] or self.targets
        if self.has_unready_target:
            in_zone = [target for target in self.by_zone[zone] if target.usable]
            candidates = in_zone or [target for target in self.targets if target.usable]
        return candidates[(caller // len(self.zones)) % len(candidates)] if candidates else None

    def tenant_name(self, planned: PlannedInquiry) -> str:
        """Return the name of an inquiry's tenant; empty if it has none."""
        return self.load.tenants[planned.tenant].name if planned.tenant >= 0 else ""

    def connection_refused(self, target: Target) -> None:
        """Note that a connection failed; after `notice_us` of failures callers stop sending to the node."""
        now = now_us()
        target.refused_since = target.refused_since or now
        if self.to_nodes and now - target.refused_since >= self.notice_us:
            target.ready = False
            self.has_unready_target = True

    def encode_request(self, inquiry: CallerInquiry, record: TryRecord) -> bytes:
        """Encode the request of a try by the platform's protocol, with its work for the stand-in servers."""
        request_class, planned = inquiry.request_class, inquiry.planned
        is_idempotent = request_class.effect == "redoable"
        lines = [
            f"{'GET' if is_idempotent else 'POST'} /{request_class.name}/{inquiry.index:x} HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {record.id}",
            f"Req-Deadline: {record.deadline_us}u",
            f"Rig-Work: {planned.work_us}",
        ]
        if planned.calls:
            lines.append(f"Rig-Calls: {planned.calls}")
        if request_class.effect == "labelled":
            lines.append(f"Idempotency-Key: {planned.idempotency_key}")
        if record.tenant:
            lines.append(f"Req-Owner: {record.tenant}")
        if record.number and self.load.marks_retries:
            lines.append("Req-Retry: 1")
        body = "" if is_idempotent else f"gift {inquiry.index}"
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    # Loads.

    async def open_loop(self, share: list[tuple[int, PlannedInquiry]], start_us: int, until_us: int) -> None:
        """Send each inquiry at its intended time, whatever the state of the earlier ones."""
        at, count = 0, len(share)
        while at < count:
            now = now_us()
            intended_us = start_us + share[at][1].at_us
            if intended_us > now:
                await asyncio.sleep((intended_us - now) / 1e6)
                now = now_us()
                if now - intended_us > LATE_THRESHOLD_US:
                    self.records.late.append(LatenessRecord(self.records.process, now, now - intended_us))
            sent = 0
            while at < count and start_us + share[at][1].at_us <= now and sent < 64:
                index, planned = share[at]
                CallerInquiry(self, index, planned, start_us + planned.at_us).start_try(
                    start_us + planned.at_us
                )
                at += 1
                sent += 1
            if sent == 64:
                # Let the loop read answers between batches; otherwise they would seem late.
                await asyncio.sleep(0)
        await sleep_until(until_us)

    async def closed_loop(
        self, share: list[tuple[int, PlannedInquiry]], callers: int, start_us: int, until_us: int
    ) -> None:
        """Run a fixed number of callers, each of which sends its next inquiry as soon as it has an answer."""
        await sleep_until(start_us)
        numbers = iter(range(1 << 60))

        def send_next(*_: object) -> None:
            if self.stopping or now_us() >= until_us:
                return
            number = next(numbers)
            index, planned = share[number % len(share)]
            # Request ids must differ between the rounds over the plan.
            index += (number // len(share)) * (1 << 21)
            now = now_us()
            CallerInquiry(self, index, planned, now, inquiry_ended).start_try(now)

        def inquiry_ended(inquiry: CallerInquiry, succeeded: bool) -> None:
            if succeeded:
                self.loop.call_soon(send_next)
            else:
                self.loop.call_later(FAILED_INQUIRY_WAIT, send_next)

        for _ in range(callers):
            send_next()
        await sleep_until(until_us)

    async def poll_readiness(self) -> None:
        """Check regularly whether each node takes callers, as the layer in front of the nodes does."""
        while True:
            await asyncio.gather(*(self._check_ready(target) for target in self.targets))
            self.has_unready_target = not all(target.ready for target in self.targets)
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _check_ready(self, target: Target) -> None:
        try:
            async with asyncio.timeout(1.0):
                target.ready = await is_ready(target.port)
        except (OSError, TimeoutError):
            self.connection_refused(target)
            return
        target.refused_since = 0

    async def hold_idle_connections(self, count: int) -> None:
        """Hold connections that send one request and stay open; reopen those that the peer closes."""
        await asyncio.gather(*(self._hold_idle_connection(number) for number in range(count)))

    async def _hold_idle_connection(self, number: int) -> None:
        while not self.stopping:
            target = self.choose_target(number)
            if target is None:
                await asyncio.sleep(READY_POLL_SECONDS)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                    while await reader.read(4096):
                        pass
                finally:
                    writer.close()
            await asyncio.sleep(0.05)

    async def send_bad_requests(self, kind: str, per_second: float, until_us: int) -> None:
        """Open connections of misbehaving callers at this rate; each sends one bad request."""
        number = 0
        while now_us() < until_us:
            target = self.choose_target(number)
            number += 1
            if target is not None:
                self.run_task(self._send_bad_request(kind, target, number))
            await asyncio.sleep(1 / per_second)

    async def _send_bad_request(self, kind: str, target: Target, number: int) -> None:
        path = f"/{self.request_classes[0].name}/bad"
        head = f"POST {path} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {self.id_prefix}bad{number:x}\r\n"
        data = {
            "garbage": b"\x16\x03\x01 what is this\r\n\r\n\r\n",
            "slow_head": head.encode(),
            "half": f"{head}Req-Deadline: 500m\r\nContent-Length: 100\r\n\r\nhalf".encode(),
            "two_lengths": f"{head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode(),
            "huge": f"{head}Content-Length: 60000000\r\n\r\n".encode(),
            "no_id": f"GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode(),
            "silent": b"",
        }[kind]
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(10.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
                try:
                    writer.write(data)
                    if kind == "half":
                        return
                    if kind == "slow_head":
                        for _ in range(20):
                            writer.write(b"X-A: b\r\n")
                            await asyncio.sleep(0.3)
                    while await reader.read(65536):
                        pass
                finally:
                    writer.close()

    def counts(self) -> dict[str, int]:
        """Return tries started and ended and open connections, for a live view."""
        return {"begun": self.tries_started, "ended": self.tries_ended, "lines": self.open_connections}
