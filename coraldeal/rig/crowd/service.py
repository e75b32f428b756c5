"""A discovery for all nodes of a play, which works through calls in turn and fails what waited too long.

Each node has places (ports) of its own, between which new configurations move it; all share one queue.
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
from coraldeal.rig.told import Change, NodeHistory, Outage, Watch

# Seconds: the distance of empty lines on a watch; how long a place that was left keeps what is open there.
EMPTY_LINE_EVERY = 2.0
LEFT_PLACE_CLOSES_AFTER = 1.5
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What discovery can bear. Times in seconds."""

    # Work for each call, one after another.
    work: float
    # A call that waited so long is failed with 503.
    longest_wait: float = 3.0
    # So many calls may wait; a further one is failed at once. 0: any number.
    most_waiting: int = 0
    # Whether a call whose caller has gone still costs its work.
    works_for_the_gone: bool = True
    # The part of calls that are never answered, nor failed, though they have their turn.
    lost_part: float = 0.0
    # Whether all that a node has open, watches too, ends when a call of it is refused or its time is over,
    # also of one that had ended before.
    ends_together: bool = False
    # Whether a watch ends where it should tell a change.
    ends_watches: bool = False


@dataclass(slots=True)
class Call:
    """One call of a node as discovery saw it; times in microseconds of the rig's clock, 0: never."""

    node: int
    place: int
    began_us: int
    ended_us: int = 0
    # "answered", "refused", "expired", "gone" or, while it waits, "".
    outcome: str = ""


@dataclass(slots=True, eq=False)
class _Waiting:
    call: Call
    writer: asyncio.StreamWriter
    decided: asyncio.Event = field(default_factory=asyncio.Event)


class Place:
    """One port, at which one node asks."""

    def __init__(self, service: CrowdedService, node: int, number: int) -> None:
        self.service = service
        self.node = node
        self.number = number
        self.watches: dict[asyncio.StreamWriter, Watch] = {}
        self.open: dict[asyncio.StreamWriter, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Returns the port."""
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def leave(self) -> None:
        """No new connection from now on; those open are closed a while later."""
        if self.server is not None:
            self.server.close()
        asyncio.get_running_loop().call_later(LEFT_PLACE_CLOSES_AFTER, self.close)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def end_watches(self) -> None:
        for writer, watch in list(self.watches.items()):
            watch.ended = min(watch.ended, now_us() / 1e6)
            writer.close()

    def tell(self, change: bytes) -> None:
        if self.service.limits.ends_watches:
            self.end_watches()
            return
        for writer in self.watches:
            writer.write(change)
        if self.watches:
            self.service.wrote(self.node)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        waiting = self.service.enter(self, writer)
        gone = asyncio.ensure_future(reader.read())
        decided = asyncio.ensure_future(waiting.decided.wait())
        await asyncio.wait((gone, decided), return_when=asyncio.FIRST_COMPLETED)
        if not waiting.decided.is_set():
            self.service.left(waiting)
        decided.cancel()
        if waiting.call.outcome == "answered":
            await self._watch(writer, gone)
        gone.cancel()

    async def _watch(self, writer: asyncio.StreamWriter, gone: asyncio.Future[bytes]) -> None:
        writer.write(HEAD + chunk(self.service.whole_list()))
        self.service.wrote(self.node)
        watch = self.watches[writer] = Watch(now_us() / 1e6)
        self.service.history(self.node).watches.append(watch)
        while not gone.done() and not writer.is_closing():
            await asyncio.wait((gone,), timeout=EMPTY_LINE_EVERY)
            writer.write(chunk(b"\n"))
        # One that this discovery ended has its time.
        watch.left = watch.ended == inf
        watch.ended = min(watch.ended, now_us() / 1e6)


class CrowdedService:
    """The queue of calls, its one worker and the list."""

    def __init__(
        self,
        limits: ServiceLimits,
        entries: Callable[[], list[dict[str, Any]]],
        ask_every: float,
        seed: int = 1,
    ) -> None:
        self.limits = limits
        self.seed = seed
        # The time that the nodes' settings give for asking, in seconds.
        self.ask_every = ask_every
        # All servers as the list has them now.
        self.entries = entries
        self.version = 1
        self.queue: deque[_Waiting] = deque()
        # All calls that have no outcome yet, in the queue or not.
        self.undecided: dict[_Waiting, None] = {}
        self.arrived = asyncio.Event()
        self.calls: list[Call] = []
        self.places: list[Place] = []
        # While it is down, calls wait until they fail, also when it is back meanwhile.
        self.is_down = False
        self.outages: list[Outage] = []
        self.histories: dict[int, NodeHistory] = {}
        self.worker = asyncio.get_running_loop().create_task(self._work())

    async def open_place(self, node: int, number: int) -> tuple[Place, int]:
        """A place for this node, and its port."""
        place = Place(self, node, number)
        self.places.append(place)
        return place, await place.listen()

    def whole_list(self) -> bytes:
        return self._line(True, self.entries())

    def changed(self, entries: list[dict[str, Any]]) -> None:
        """A new version, with these entries changed: told to all that watch."""
        self.version += 1
        change = chunk(self._line(False, entries))
        for place in self.places:
            place.tell(change)

    def _line(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        told = {"generation": self.version, "reset": whole, "instances": entries}
        return json.dumps(told).encode() + b"\n"

    def history(self, node: int) -> NodeHistory:
        """What passed between discovery and this node."""
        return self.histories.setdefault(node, NodeHistory(self.ask_every))

    def wrote(self, node: int) -> None:
        """The present version was written to it."""
        self.history(node).written.append(Change(self.version, now_us() / 1e6))

    def _is_lost(self) -> bool:
        """Drawn from the seed and the number of the call."""
        return crc32(f"{self.seed} lost {len(self.calls)}".encode()) / 2**32 < self.limits.lost_part

    def enter(self, place: Place, writer: asyncio.StreamWriter) -> _Waiting:
        """A call has come: it waits its turn, or is failed at once."""
        waiting = _Waiting(Call(place.node, place.number, now_us()), writer)
        self.calls.append(waiting.call)
        self.undecided[waiting] = None
        loop = asyncio.get_running_loop()
        if self._is_lost():
            # It waits until its caller leaves.
            return waiting
        if self.is_down:
            loop.call_later(self.limits.longest_wait, self._fail, waiting, "expired")
        elif self.limits.most_waiting and len(self.queue) >= self.limits.most_waiting:
            self._fail(waiting, "refused")
        else:
            self.queue.append(waiting)
            self.arrived.set()
            loop.call_later(self.limits.longest_wait, self._expire, waiting)
        return waiting

    def go_down(self) -> None:
        """All watches end, and no call is answered until it is back."""
        self.is_down = True
        self.outages.append(Outage(now_us() / 1e6))
        for place in self.places:
            place.end_watches()

    def come_back(self) -> None:
        self.is_down = False
        self.outages[-1] = Outage(self.outages[-1].began, now_us() / 1e6)

    def left(self, waiting: _Waiting) -> None:
        """The caller of a call that waits has closed its connection."""
        self._decide(waiting, "gone")
        if not self.limits.works_for_the_gone and waiting in self.queue:
            self.queue.remove(waiting)

    def _expire(self, waiting: _Waiting) -> None:
        if waiting in self.queue:
            self.queue.remove(waiting)
            self._fail(waiting, "expired")

    def _fail(self, waiting: _Waiting, outcome: str) -> None:
        node = waiting.call.node
        failed = [waiting]
        if self.limits.ends_together:
            failed += [other for other in self.undecided if other.call.node == node]
            for place in self.places:
                if place.node == node:
                    place.end_watches()
        for each in failed:
            if not each.call.outcome:
                each.writer.write(REFUSAL)
            self._decide(each, outcome)

    def _decide(self, waiting: _Waiting, outcome: str) -> None:
        if not waiting.call.outcome:
            self.undecided.pop(waiting)
            waiting.call.outcome = outcome
            waiting.call.ended_us = now_us()
            waiting.decided.set()

    async def _work(self) -> None:
        while True:
            while not self.queue:
                self.arrived.clear()
                await self.arrived.wait()
            waiting = self.queue.popleft()
            await asyncio.sleep(self.limits.work)
            self._decide(waiting, "answered")

    async def close(self) -> None:
        self.worker.cancel()
        for place in self.places:
            place.close()
        await asyncio.gather(self.worker, return_exceptions=True)
