"""Callers on sockets: tries with intended times, further tries, those who leave, stay or do harm.

`Front` stands for the plain layer that deals callers out among the nodes of their zone, with the connections
kept to each. `Asking` is one inquiry of a caller from its intended time to its last answer; latency counts
from the intended time, so that a stall of whatever is asked shows in full (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from coraldeal.rig.books import Book, LateRow, TryRow
from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.experiment import Load, TrackSpec
from coraldeal.rig.load import Planned
from coraldeal.rig.ready import is_ready

SECOND = 1_000_000
# How often a node is asked whether it is ready.
READY_EVERY = 0.2
# A loop of the rig that runs later than this is written down: it may have been the bottleneck itself.
LATE_US = 5_000
# Closed loops ask again after a deferral no sooner than this: a refusal is no capacity.
REFUSED_WAIT = 0.001


@dataclass(slots=True)
class Target:
    """A node, or a server, that callers send to."""

    number: int
    zone: str
    port: int
    ready: bool = True
    # Since when connections to it were refused; 0: they are not.
    refused_at: int = 0
    idle: list[Line] = field(default_factory=list)

    @property
    def usable(self) -> bool:
        """A node that ends takes no new connections; those that callers have are used while they are open."""
        return self.ready or (bool(self.idle) and not self.refused_at)


class Line(asyncio.Protocol):
    """One connection of a caller, with one request on it at a time."""

    __slots__ = ("asking", "buffer", "bytes_back", "front", "last", "target", "transport", "used")

    def __init__(self, front: Front, target: Target) -> None:
        self.front = front
        self.target = target
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.asking: Asking | None = None
        # The try answered last on it.
        self.last: TryRow | None = None
        self.used = 0
        self.bytes_back = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.front.lines += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.lines -= 1
        with contextlib.suppress(ValueError):
            self.target.idle.remove(self)
        asking, self.asking = self.asking, None
        if asking is not None:
            asking.broken(self)

    def send(self, asking: Asking, data: bytes) -> None:
        self.asking = asking
        self.used += 1
        self.bytes_back = False
        self.buffer = b""
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        asking = self.asking
        if asking is None:
            # Nothing was asked: whatever this is, nobody may take it for an answer.
            if self.last is not None:
                self.last.surplus = True
            self.close()
            return
        self.bytes_back = True
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].split(b"\r\n")
            words = lines[0].split(b" ", 2)
            if len(words) < 2 or not lines[0].startswith(b"HTTP/1.") or not words[1].isdigit():
                self._unreadable(asking)
                return
            status = int(words[1])
            if 100 <= status < 200:
                self.buffer = self.buffer[end + 4 :]
                continue
            break
        length, close, advice = 0, False, -1
        for line in lines[1:]:
            key, _, value = line.partition(b":")
            key = key.lower()
            if key == b"content-length":
                if not value.strip().isdigit():
                    self._unreadable(asking)
                    return
                length = int(value)
            elif key == b"connection":
                close = value.strip().lower() == b"close"
            elif key == b"retry-after":
                with contextlib.suppress(ValueError):
                    advice = int(float(value) * SECOND)
        if len(self.buffer) < end + 4 + length:
            return
        body = self.buffer[end + 4 : end + 4 + length]
        more = len(self.buffer) > end + 4 + length
        self.buffer = b""
        self.asking = None
        self.last = asking.row
        if more or close:
            self.close()
        else:
            self.target.idle.append(self)
        asking.answered(status, body, advice, more)

    def _unreadable(self, asking: Asking) -> None:
        self.asking = None
        self.close()
        asking.lost("unreadable")

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Asking:
    """One inquiry of a caller, with all its tries."""

    __slots__ = ("front", "index", "line", "number", "planned", "row", "started_us", "then", "timer", "track")

    def __init__(
        self,
        front: Front,
        index: int,
        planned: Planned,
        started_us: int,
        then: Callable[[Asking, bool], None] | None = None,
    ) -> None:
        self.front = front
        self.index = index
        self.planned = planned
        self.track = front.tracks[planned.track]
        # The intended time of its first try.
        self.started_us = started_us
        self.number = 0
        self.row: TryRow | None = None
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.then = then

    def begin(self, intended_us: int) -> None:
        """The next try, due at this time."""
        front, load = self.front, self.front.load
        now = now_us()
        patience = int(self.track.patience_ms * 1000)
        left = self.started_us + patience - max(now, intended_us)
        left = min(left, int(patience * load.try_part))
        if left <= 0:
            self._over(False)
            return
        target = front.target(self.planned.caller + self.number)
        self.row = TryRow(
            inquiry=self.index,
            number=self.number,
            id=f"{front.salt}{self.index:07x}{self.number:02x}",
            track=self.track.name,
            tenant=front.tenant(self.planned),
            node=target.number if target is not None and front.to_nodes else -1,
            layer=front.layer,
            intended_us=intended_us,
            patience_us=left,
        )
        front.book.tries.append(self.row)
        front.begun += 1
        if target is None:
            self.lost("refused")
            return
        self._on(target)

    def _on(self, target: Target) -> None:
        line = None
        while target.idle:
            line = target.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                self._send(line)
                return
        self.front.keep(self._connect(target))

    async def _connect(self, target: Target) -> None:
        row = self.row
        assert row is not None
        front = self.front
        try:
            async with asyncio.timeout(row.patience_us / 1e6):
                _, line = await front.loop.create_connection(
                    lambda: Line(front, target), "127.0.0.1", target.port
                )
        except (OSError, TimeoutError):
            front.refused(target)
            if self.row is row and not row.end_us:
                other = front.target(self.planned.caller + 1)
                if row.why == "again" or other is None or other is target:
                    self.lost("refused")
                else:
                    # The layer in front tries its next node once.
                    row.why, row.node = "again", other.number if front.to_nodes else -1
                    self._on(other)
            return
        if self.row is row and not row.end_us:
            self._send(line)
        else:
            line.target.idle.append(line)

    def _send(self, line: Line) -> None:
        row, front = self.row, self.front
        assert row is not None
        now = now_us()
        if not row.sent_us:
            left = row.patience_us - max(0, now - row.intended_us if self.number else 0)
            row.patience_us = max(1, left)
            wait = row.patience_us + front.slack_us
            if self.planned.leaves_us and self.planned.leaves_us < wait:
                wait = self.planned.leaves_us
            self.timer = front.loop.call_later(wait / 1e6, self._late)
        row.sent_us = now
        row.why = ""
        self.line = line
        line.send(self, front.written(self, row))

    def _late(self) -> None:
        """Its time is over, with what the rules add; or it leaves."""
        row = self.row
        line, self.line = self.line, None
        if line is not None:
            line.asking = None
            line.close()
        left = bool(self.planned.leaves_us) and row is not None and self.planned.leaves_us < row.patience_us
        self.lost("left" if left else "silent")

    def answered(self, status: int, body: bytes, advice: int, surplus: bool) -> None:
        """A whole answer has come."""
        row = self.row
        assert row is not None
        row.end_us = now_us()
        row.status = status
        row.whole = True
        row.own = status == 200 and body.startswith(row.id.encode() + b" ")
        row.advice_us = advice
        row.surplus = surplus
        self._done()
        if status == 200:
            self._over(True)
        else:
            self._again(advice)

    def broken(self, line: Line) -> None:
        """The connection has ended with no whole answer on it."""
        if line is not self.line:
            return
        self.line = None
        row = self.row
        if row is not None and line.used > 1 and not line.bytes_back and row.why != "resent":
            # The other side closed it between two requests, and this one crossed that.
            self.front.keep(self._once_more(line.target))
            return
        self.lost("closed")

    async def _once_more(self, target: Target) -> None:
        """The same request on a new connection."""
        row, front = self.row, self.front
        assert row is not None
        try:
            _, fresh = await front.loop.create_connection(
                lambda: Line(front, target), "127.0.0.1", target.port
            )
        except OSError:
            front.refused(target)
            if self.row is row and not row.end_us:
                self.lost("refused")
            return
        if self.row is row and not row.end_us:
            self._send(fresh)
            row.why = "resent"

    def lost(self, why: str) -> None:
        """The try ends with no answer."""
        row = self.row
        assert row is not None
        if not row.end_us:
            row.end_us = now_us()
            row.why = why
        self._done()
        if why == "left":
            self._over(False)
        else:
            self._again(-1)

    def _done(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.line = None
        self.front.ended += 1

    def _again(self, advice: int) -> None:
        load = self.front.load
        if self.number >= load.retries or self.front.stopping:
            self._over(False)
            return
        self.number += 1
        least, most = load.retry_wait_ms
        chance = crc32(f"{self.index} {self.number}".encode()) / 2**32
        wait_us = int((least + chance * (most - least)) * 1000)
        if advice >= 0 and self.planned.obeys:
            wait_us = max(wait_us, advice)
        due = now_us() + wait_us
        self.front.loop.call_later(wait_us / 1e6, self.begin, due)

    def _over(self, well: bool) -> None:
        self.row = None
        if self.then is not None:
            self.then(self, well)


class Front:
    """All callers of one process, and where they send."""

    def __init__(
        self,
        tracks: list[TrackSpec],
        load: Load,
        targets: list[Target],
        book: Book,
        *,
        salt: str,
        layer: int = 0,
        to_nodes: bool = True,
        zones: list[str] | None = None,
        notice_us: int = 0,
        slack_us: int = 100_000,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.tracks = tracks
        self.load = load
        self.targets = targets
        self.book = book
        # The first letters of all ids, so that no two processes use one.
        self.salt = salt
        self.layer = layer
        self.to_nodes = to_nodes
        self.notice_us = notice_us
        self.slack_us = slack_us
        self.zones = zones or sorted({target.zone for target in targets})
        self.by_zone = {zone: [t for t in targets if t.zone == zone] for zone in self.zones}
        # Whether some target was not ready when last asked; else all are dealt to without a look.
        self.some_away = False
        self.lines = 0
        self.begun = 0
        self.ended = 0
        self.stopping = False
        self.tasks: dict[asyncio.Task[None], None] = {}

    def keep(self, work: Coroutine[Any, Any, None]) -> None:
        """Run beside; the loop itself holds tasks only weakly."""
        task = self.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    def target(self, caller: int) -> Target | None:
        """Where this caller's connection is dealt to: its zone's nodes first, then any."""
        zone = self.zones[caller % len(self.zones)]
        chosen = self.by_zone[zone] or self.targets
        if self.some_away:
            near = [target for target in self.by_zone[zone] if target.usable]
            chosen = near or [target for target in self.targets if target.usable]
        return chosen[(caller // len(self.zones)) % len(chosen)] if chosen else None

    def tenant(self, planned: Planned) -> str:
        return self.load.tenants[planned.tenant].name if planned.tenant >= 0 else ""

    def refused(self, target: Target) -> None:
        """A connection to it did not come up; after a while the front stops sending there."""
        now = now_us()
        target.refused_at = target.refused_at or now
        if self.to_nodes and now - target.refused_at >= self.notice_us:
            target.ready = False
            self.some_away = True

    def written(self, asking: Asking, row: TryRow) -> bytes:
        """The bytes of one try, as the platform's page says, with the work that the stand-ins read."""
        track, planned = asking.track, asking.planned
        redoable = track.effect == "redoable"
        lines = [
            f"{'GET' if redoable else 'POST'} /{track.name}/{asking.index:x} HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {row.id}",
            f"Req-Deadline: {row.patience_us}u",
            f"Rig-Work: {planned.work_us}",
        ]
        if planned.calls:
            lines.append(f"Rig-Calls: {planned.calls}")
        if track.effect == "labelled":
            lines.append(f"Idempotency-Key: {planned.mark}")
        if row.tenant:
            lines.append(f"Req-Owner: {row.tenant}")
        if row.number and self.load.marks_retries:
            lines.append("Req-Retry: 1")
        body = "" if redoable else f"gift {asking.index}"
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    # The loads.

    async def open_loop(self, part: list[tuple[int, Planned]], start_us: int, until_us: int) -> None:
        """Send each inquiry at its intended time, whatever became of those before."""
        at, last = 0, len(part)
        while at < last:
            now = now_us()
            due = start_us + part[at][1].at_us
            if due > now:
                await asyncio.sleep((due - now) / 1e6)
                now = now_us()
                if now - due > LATE_US:
                    self.book.late.append(LateRow(self.book.process, now, now - due))
            sent = 0
            while at < last and start_us + part[at][1].at_us <= now and sent < 64:
                index, planned = part[at]
                Asking(self, index, planned, start_us + planned.at_us).begin(start_us + planned.at_us)
                at += 1
                sent += 1
            if sent == 64:
                # Answers are to be read meanwhile, or they would look late.
                await asyncio.sleep(0)
        await sleep_until(until_us)

    async def closed_loop(
        self, part: list[tuple[int, Planned]], callers: int, start_us: int, until_us: int
    ) -> None:
        """So many callers that ask again as soon as they are answered."""
        await sleep_until(start_us)
        numbers = iter(range(1 << 60))

        def ask(*_: object) -> None:
            if self.stopping or now_us() >= until_us:
                return
            number = next(numbers)
            index, planned = part[number % len(part)]
            # Ids must be new each time round.
            index += (number // len(part)) * (1 << 21)
            now = now_us()
            Asking(self, index, planned, now, again).begin(now)

        def again(asking: Asking, well: bool) -> None:
            if well:
                self.loop.call_soon(ask)
            else:
                self.loop.call_later(REFUSED_WAIT, ask)

        for _ in range(callers):
            ask()
        await sleep_until(until_us)

    async def watch_ready(self) -> None:
        """Ask each node now and then whether it takes callers, as the layer in front does."""
        while True:
            await asyncio.gather(*(self._ask_ready(target) for target in self.targets))
            self.some_away = not all(target.ready for target in self.targets)
            await asyncio.sleep(READY_EVERY)

    async def _ask_ready(self, target: Target) -> None:
        try:
            async with asyncio.timeout(1.0):
                target.ready = await is_ready(target.port)
        except (OSError, TimeoutError):
            self.refused(target)
            return
        target.refused_at = 0

    async def stay_idle(self, count: int) -> None:
        """Connections that ask once and stay, opened again when the other side closes them."""
        await asyncio.gather(*(self._idle(number) for number in range(count)))

    async def _idle(self, number: int) -> None:
        while not self.stopping:
            target = self.target(number)
            if target is None:
                await asyncio.sleep(READY_EVERY)
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

    async def be_bad(self, kind: str, per_second: float, until_us: int) -> None:
        """Callers that do harm, one connection each."""
        number = 0
        while now_us() < until_us:
            target = self.target(number)
            number += 1
            if target is not None:
                self.keep(self._bad(kind, target, number))
            await asyncio.sleep(1 / per_second)

    async def _bad(self, kind: str, target: Target, number: int) -> None:
        name = f"/{self.tracks[0].name}/bad"
        head = f"POST {name} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {self.salt}bad{number:x}\r\n"
        told = {
            "garbage": b"\x16\x03\x01 what is this\r\n\r\n\r\n",
            "slow_head": head.encode(),
            "half": f"{head}Req-Deadline: 500m\r\nContent-Length: 100\r\n\r\nhalf".encode(),
            "two_lengths": f"{head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode(),
            "huge": f"{head}Content-Length: 60000000\r\n\r\n".encode(),
            "no_id": f"GET {name} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode(),
            "silent": b"",
        }[kind]
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(10.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
                try:
                    writer.write(told)
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
        """How it stands, for a live view."""
        return {"begun": self.begun, "ended": self.ended, "lines": self.lines}
