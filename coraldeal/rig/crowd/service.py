"""A discovery for all nodes of a play that serves calls one at a time and fails those that waited too long.

Each node has several endpoints (ports) of its own; new configurations move it from one to the next. All calls
share one queue.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any
from zlib import crc32

from coraldeal.rig.clock import now_us
from coraldeal.rig.listing import chunk
from coraldeal.rig.notification import Change, NodeHistory, Outage, Watch

# The interval of empty lines on a watch, in seconds.
KEEP_ALIVE_INTERVAL = 2.0
# How long a retired endpoint keeps its open connections, in seconds.
RETIRED_CLOSE_DELAY = 1.5
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """The limits and faults of discovery. Times are in seconds."""

    # The time to serve one call; calls are served one after another.
    work: float
    # A call that waited this long is failed with 503.
    longest_wait: float = 3.0
    # The number of calls that may wait; a further one is failed at once. 0: no limit.
    max_waiting: int = 0
    # Whether a call whose connection is closed still takes its time to serve.
    serves_closed_calls: bool = True
    # The share of calls that are neither answered nor failed.
    lost_share: float = 0.0
    # Whether all open calls and watches of a node end when one of its calls is refused or expires, even one
    # whose connection the node had closed.
    ends_together: bool = False
    # Whether a watch ends where it should send a change.
    ends_watches: bool = False


@dataclass(slots=True)
class Call:
    """One call of a node as discovery saw it; times in microseconds of the rig's clock, 0: never."""

    node: int
    endpoint: int
    started_us: int
    ended_us: int = 0
    # "answered", "refused", "expired", "gone" (closed by the node) or, while the call is pending, "".
    outcome: str = ""


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call without an outcome, and the event that signals one."""

    call: Call
    writer: asyncio.StreamWriter
    decided: asyncio.Event = field(default_factory=asyncio.Event)


class Endpoint:
    """One port of discovery, at which one node asks for its list."""

    def __init__(self, service: CrowdedService, node: int, number: int) -> None:
        self.service = service
        self.node = node
        self.number = number
        self.watches: dict[asyncio.StreamWriter, Watch] = {}
        self.open: dict[asyncio.StreamWriter, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Start to listen, and return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def retire(self) -> None:
        """Stop listening now, and close the open connections after RETIRED_CLOSE_DELAY."""
        if self.server is not None:
            self.server.close()
        asyncio.get_running_loop().call_later(RETIRED_CLOSE_DELAY, self.close)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def end_watches(self) -> None:
        """Close the connections of all watches."""
        for writer, watch in list(self.watches.items()):
            watch.ended = min(watch.ended, now_us() / 1e6)
            writer.close()

    def send_change(self, change: bytes) -> None:
        """Send a change to all watches, or end them where the limits say so."""
        if self.service.limits.ends_watches:
            self.end_watches()
            return
        for writer in self.watches:
            writer.write(change)
        if self.watches:
            self.service.record_written(self.node)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open[writer] = None
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.pop(writer)
            self.watches.pop(writer, None)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pending = self.service.accept_call(self, writer)
        closed = asyncio.ensure_future(reader.read())
        decided = asyncio.ensure_future(pending.decided.wait())
        await asyncio.wait((closed, decided), return_when=asyncio.FIRST_COMPLETED)
        if not pending.decided.is_set():
            self.service.handle_close(pending)
        decided.cancel()
        if pending.call.outcome == "answered":
            await self._watch(writer, closed)
        closed.cancel()

    async def _watch(self, writer: asyncio.StreamWriter, closed: asyncio.Future[bytes]) -> None:
        writer.write(HEAD + chunk(self.service.full_list()))
        self.service.record_written(self.node)
        watch = self.watches[writer] = Watch(now_us() / 1e6)
        self.service.history(self.node).watches.append(watch)
        while not closed.done() and not writer.is_closing():
            await asyncio.wait((closed,), timeout=KEEP_ALIVE_INTERVAL)
            writer.write(chunk(b"\n"))
        # Where discovery ended the watch itself, `end_watches` has set the time of its end.
        watch.closed_by_node = watch.ended == inf
        watch.ended = min(watch.ended, now_us() / 1e6)


class CrowdedService:
    """The list, the queue of calls, and the one worker that serves them."""

    def __init__(
        self,
        limits: ServiceLimits,
        entries: Callable[[], list[dict[str, Any]]],
        ask_every: float,
        seed: int = 1,
    ) -> None:
        self.limits = limits
        self.seed = seed
        # The interval at which nodes ask for the list by their settings, in seconds.
        self.ask_every = ask_every
        # Returns the entries of all servers, as they are now.
        self.entries = entries
        self.version = 1
        self.queue: deque[_PendingCall] = deque()
        # All calls without an outcome, whether they are in the queue or not.
        self.pending: dict[_PendingCall, None] = {}
        self.queue_filled = asyncio.Event()
        self.calls: list[Call] = []
        self.endpoints: list[Endpoint] = []
        # A call that comes in an outage waits until it fails, even if the outage ends before.
        self.is_down = False
        self.outages: list[Outage] = []
        self.histories: dict[int, NodeHistory] = {}
        self.worker = asyncio.get_running_loop().create_task(self._work())

    async def open_endpoint(self, node: int, number: int) -> tuple[Endpoint, int]:
        """Open an endpoint for a node, and return it with its port."""
        endpoint = Endpoint(self, node, number)
        self.endpoints.append(endpoint)
        return endpoint, await endpoint.listen()

    def full_list(self) -> bytes:
        """The full list as a line of JSON."""
        return self._encode_line(True, self.entries())

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Start a new version of the list with these changed entries, and send them to all watches."""
        self.version += 1
        change = chunk(self._encode_line(False, entries))
        for endpoint in self.endpoints:
            endpoint.send_change(change)

    def _encode_line(self, is_full: bool, entries: list[dict[str, Any]]) -> bytes:
        message = {"generation": self.version, "reset": is_full, "instances": entries}
        return json.dumps(message).encode() + b"\n"

    def history(self, node: int) -> NodeHistory:
        """What discovery and this node sent each other."""
        return self.histories.setdefault(node, NodeHistory(self.ask_every))

    def record_written(self, node: int) -> None:
        """Record that the current version was written to a node."""
        self.history(node).written.append(Change(self.version, now_us() / 1e6))

    def _is_lost(self) -> bool:
        """Whether the newest call is lost: drawn from the seed and the number of calls."""
        return crc32(f"{self.seed} lost {len(self.calls)}".encode()) / 2**32 < self.limits.lost_share

    def accept_call(self, endpoint: Endpoint, writer: asyncio.StreamWriter) -> _PendingCall:
        """Queue a new call, or fail it at once."""
        pending = _PendingCall(Call(endpoint.node, endpoint.number, now_us()), writer)
        self.calls.append(pending.call)
        self.pending[pending] = None
        loop = asyncio.get_running_loop()
        if self._is_lost():
            # The call stays pending until the node closes its connection.
            return pending
        if self.is_down:
            loop.call_later(self.limits.longest_wait, self._fail, pending, "expired")
        elif self.limits.max_waiting and len(self.queue) >= self.limits.max_waiting:
            self._fail(pending, "refused")
        else:
            self.queue.append(pending)
            self.queue_filled.set()
            loop.call_later(self.limits.longest_wait, self._expire, pending)
        return pending

    def start_outage(self) -> None:
        """Start an outage: all watches end, and new calls are not answered until `end_outage`."""
        self.is_down = True
        self.outages.append(Outage(now_us() / 1e6))
        for endpoint in self.endpoints:
            endpoint.end_watches()

    def end_outage(self) -> None:
        """End the outage; calls that come from now on are answered."""
        self.is_down = False
        self.outages[-1] = Outage(self.outages[-1].began, now_us() / 1e6)

    def handle_close(self, pending: _PendingCall) -> None:
        """Decide a pending call whose connection the node has closed."""
        self._decide(pending, "gone")
        if not self.limits.serves_closed_calls and pending in self.queue:
            self.queue.remove(pending)

    def _expire(self, pending: _PendingCall) -> None:
        if pending in self.queue:
            self.queue.remove(pending)
            self._fail(pending, "expired")

    def _fail(self, pending: _PendingCall, outcome: str) -> None:
        node = pending.call.node
        failed = [pending]
        if self.limits.ends_together:
            failed += [other for other in self.pending if other.call.node == node]
            for endpoint in self.endpoints:
                if endpoint.node == node:
                    endpoint.end_watches()
        for each in failed:
            if not each.call.outcome:
                each.writer.write(REFUSAL)
            self._decide(each, outcome)

    def _decide(self, pending: _PendingCall, outcome: str) -> None:
        if not pending.call.outcome:
            self.pending.pop(pending)
            pending.call.outcome = outcome
            pending.call.ended_us = now_us()
            pending.decided.set()

    async def _work(self) -> None:
        while True:
            while not self.queue:
                self.queue_filled.clear()
                await self.queue_filled.wait()
            pending = self.queue.popleft()
            await asyncio.sleep(self.limits.work)
            self._decide(pending, "answered")

    async def close(self) -> None:
        """Stop the worker and close all endpoints."""
        self.worker.cancel()
        for endpoint in self.endpoints:
            endpoint.close()
        await asyncio.gather(self.worker, return_exceptions=True)
