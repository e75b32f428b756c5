"""The source of lists of a scale run: `python -m coraldeal.rig.scale.source JOB`, a process of its own.

The source makes the changes of the timeline and sends them to watches by discovery's protocol; each entry has
an additional field `service`. A watch can name services with `&services=a,b` and then gets their servers
alone; generations count all changes of the source. Each entry is encoded once, and each line once for all
followers that get the same line.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import socket
import sys
import time
from bisect import bisect_left
from collections.abc import Iterable
from pathlib import Path
from urllib.parse import unquote, urlsplit

from coraldeal.net.wire import LIST_PATH
from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.listing import chunk
from coraldeal.rig.scale.journal import SOURCE_FAULTS, Change, generation
from coraldeal.rig.scale.process import Process, open_orders, start
from coraldeal.rig.scale.records import (
    EndpointJob,
    InitialServer,
    NotificationRecord,
    ReadyMessage,
    SourceJob,
    SourceRecords,
    read,
    write,
)

# Each follower gets an empty line every 2 s. The followers are divided into 20 slots, which take turns.
KEEP_ALIVE_INTERVAL, KEEP_ALIVE_SLOTS = 2.0, 20
KEEP_ALIVE_CHUNK = b"1\r\n\n\r\n"
# The longest request head, in bytes; a follower that sends more is reset.
MAX_HEAD_BYTES = 64 * 1024
# Connections that may wait to be accepted, and those accepted in one turn of the event loop.
BACKLOG, ACCEPTED_PER_TURN = 4096, 64


class Endpoint:
    """A TCP endpoint of the source. Its port stays reserved while nothing listens there."""

    def __init__(self, source: Source, job: EndpointJob) -> None:
        self.source = source
        self.job = job
        self.followers: dict[Follower, None] = {}
        # This socket is bound and never listens: no other process can take the port while the endpoint is
        # closed.
        self.port_holder = self._bind(0)
        self.port = int(self.port_holder.getsockname()[1])
        self.server: asyncio.Server | None = None
        # The sockets that keep the accept queue full while the endpoint is partitioned.
        self.queue_fillers: list[socket.socket] = []

    def _bind(self, port: int) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", port))
        return bound

    async def listen(self) -> None:
        """Accept connections at the endpoint's port."""
        loop = asyncio.get_running_loop()
        listener = self._bind(self.port)
        self.server = await loop.create_server(
            lambda: Follower(self), sock=listener, backlog=ACCEPTED_PER_TURN
        )
        # asyncio accepts up to its backlog in one turn of the loop. A small one there lets it answer the
        # accepted connections in between; the large one here lets the others wait.
        listener.listen(BACKLOG)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset(self) -> None:
        """Reset all open connections."""
        for follower in list(self.followers):
            follower.abort()

    def mute(self) -> None:
        """Keep the open connections open and send nothing more on them."""
        for follower in self.followers:
            follower.muted = True

    def partition(self) -> None:
        """Simulate a network partition: open connections fall silent, and connects get no answer.

        Connects get no answer because the queue of connections that wait to be accepted is full.
        """
        self.mute()
        assert self.server is not None
        listener = self.server.sockets[0].dup()
        self.queue_fillers.append(listener)
        listener.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.queue_fillers.append(filler)
        self.stop_listening()

    async def end_partition(self) -> None:
        """End a network partition: reset the connections opened before it, and accept new ones."""
        for filler in self.queue_fillers:
            filler.close()
        self.queue_fillers.clear()
        self.reset()
        await self.listen()


class Follower(asyncio.Protocol):
    """One connection to an endpoint."""

    __slots__ = ("buffer", "endpoint", "muted", "services", "slot", "transport", "watching")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.muted = False
        self.watching = False
        # The followers that get an empty line in the same turn; set once this follower watches.
        self.slot: dict[Follower, None] = {}
        # None: all services.
        self.services: tuple[str, ...] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its endpoint."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.endpoint.followers[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its endpoint and from the source."""
        self.transport = None
        self.endpoint.followers.pop(self, None)
        self.endpoint.source.remove_follower(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            # With a linger time of 0 the peer gets a reset, as if the source's process had died.
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete request head; after a watch began, ignore what comes."""
        if self.watching or self.muted:
            return
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0 and not self.watching:
            head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            self._handle_request(head.split(b"\r\n", 1)[0].decode("latin-1"))
        if len(self.buffer) > MAX_HEAD_BYTES:
            self.abort()

    def _handle_request(self, line: str) -> None:
        words = line.split(" ")
        target = urlsplit(words[1]) if len(words) == 3 else urlsplit("")
        if target.path != LIST_PATH:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        # Commas between names are literal; a comma within a name is percent-encoded.
        pairs = [pair.partition("=") for pair in target.query.split("&")]
        query = {key: value for key, _, value in pairs}
        named = tuple(unquote(name) for name in query.get("services", "").split(",") if name)
        self.services = tuple(sorted(set(named or self.endpoint.job.services))) or None
        source = self.endpoint.source
        if query.get("watch") != "1":
            body = source.full_list(self)
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        self.watching = True
        after = query.get("after", "-1")
        source.start_watch(self, int(after) if after.isdigit() else -1)

    def write(self, data: bytes) -> None:
        """Write to the connection, unless it is closed or muted."""
        if self.transport is not None and not self.muted:
            self.endpoint.source.bytes += len(data)
            self.transport.write(data)


class Source:
    """The list of servers, the changes made so far, and the followers."""

    def __init__(self, job: SourceJob) -> None:
        self.job = job
        self.bytes = self.watches = self.full_lists_sent = 0
        self.notifications: list[NotificationRecord] = []
        # The time of each change made so far, and the time at which a partition ended.
        self.change_times_us: list[int] = []
        self.partition_ended_us = 0
        # The number of connections that each fault affected.
        self.affected: dict[str, int] = {}
        self.server_at: dict[int, InitialServer] = {server.place: server for server in job.servers}
        # The newest state of each listed server, encoded, by service.
        self.entries: dict[str, dict[str, bytes]] = {}
        self.started_ms: dict[str, int] = {}
        for server in job.servers:
            first = Change(0, server.place, server.server, "Ready", 0, server.weight, False, "")
            self.entries.setdefault(server.service, {})[server.server] = self._entry(first)
        # The encoded entries of the changes made so far, by index in the timeline.
        self.changed_entries: list[bytes] = []
        # The indices of the changes made so far, by service.
        self.change_indices: dict[str, list[int]] = {}
        # Followers by service, and those of all services.
        self.followers: dict[str, dict[Follower, None]] = {}
        self.followers_of_all: dict[Follower, None] = {}
        self.slots: list[dict[Follower, None]] = [{} for _ in range(KEEP_ALIVE_SLOTS)]
        self.next_slot = 0
        self.endpoints = [Endpoint(self, endpoint) for endpoint in job.doors]

    def _entry(self, change: Change) -> bytes:
        server = self.server_at[change.place]
        if change.restarted:
            self.started_ms[change.server] = int(time.time() * 1000)
        entry = {
            "instanceId": change.server,
            "hostPort": server.address,
            "zone": server.zone,
            "machineType": "standin",
            "cell": server.cell,
            "lifecycle": change.condition,
            "weight": change.weight,
            "startedAtMs": self.started_ms.get(change.server, 0),
            "service": server.service,
        }
        return json.dumps(entry, separators=(",", ":")).encode()

    @property
    def generation(self) -> int:
        """The generation of the list now."""
        return generation(len(self.changed_entries) - 1)

    # Notification of followers.

    def full_list(self, follower: Follower) -> bytes:
        """The full list of the services that the follower asked for, as a line of JSON."""
        names: Iterable[str] = self.entries if follower.services is None else follower.services
        entries = [entry for name in names for entry in self.entries.get(name, {}).values()]
        self._record(follower, entries)
        return b'{"generation":%d,"reset":true,"instances":[%b]}\n' % (self.generation, b",".join(entries))

    def start_watch(self, follower: Follower, after: int) -> None:
        """Start a watch with the changes after generation `after`, or with the full list."""
        self.watches += 1
        follower.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if 0 < after <= self.generation:
            self._send_changes(follower, self._changes_since(follower, after - 1))
        else:
            self.full_lists_sent += 1
            follower.write(chunk(self.full_list(follower)))
        for name in follower.services or ():
            self.followers.setdefault(name, {})[follower] = None
        if follower.services is None:
            self.followers_of_all[follower] = None
        follower.slot = self.slots[self.next_slot]
        follower.slot[follower] = None
        self.next_slot = (self.next_slot + 1) % KEEP_ALIVE_SLOTS

    def remove_follower(self, follower: Follower) -> None:
        """Forget a follower whose connection is closed."""
        for name in follower.services or ():
            self.followers.get(name, {}).pop(follower, None)
        self.followers_of_all.pop(follower, None)
        follower.slot.pop(follower, None)

    def _service(self, index: int) -> str:
        return self.server_at[self.job.timeline.changes[index].place].service

    def _changes_since(self, follower: Follower, first: int) -> list[int]:
        """The indices, from `first` on, of the changes in the follower's services, in order."""
        if follower.services is None:
            return list(range(first, len(self.changed_entries)))
        indices = []
        for name in follower.services:
            of_service = self.change_indices.get(name, [])
            indices += of_service[bisect_left(of_service, first) :]
        return sorted(indices)

    def _send_changes(self, follower: Follower, indices: list[int]) -> None:
        """Send one line with the newest state of each changed server, as a new watch gets it."""
        newest = {self.job.timeline.changes[index].server: index for index in indices}
        for entries, number in self._lines_for(follower, list(newest.values())):
            self._send(follower, self._encode_line(entries, number), entries)

    def _encode_line(self, entries: list[bytes], number: int) -> bytes:
        return chunk(b'{"generation":%d,"reset":false,"instances":[%b]}\n' % (number, b",".join(entries)))

    def _send(self, follower: Follower, line: bytes, entries: list[bytes]) -> None:
        follower.write(line)
        self._record(follower, entries)

    def _record(self, follower: Follower, entries: list[bytes]) -> None:
        node = follower.endpoint.job.node
        if node < 0 or follower.muted:
            return
        now = now_us()
        for entry in entries:
            sent = json.loads(entry)
            self.notifications.append(
                NotificationRecord(node, now, sent["instanceId"], sent["hostPort"], sent["lifecycle"])
            )

    def push(self, indices: list[int]) -> None:
        """Send changes that were made together, as one line for each follower of a changed service."""
        by_service: dict[str, list[int]] = {}
        for index in indices:
            by_service.setdefault(self._service(index), []).append(index)
        changed: dict[Follower, list[str]] = {
            follower: list(by_service) for follower in self.followers_of_all
        }
        for name in by_service:
            for follower in self.followers.get(name, {}):
                changed.setdefault(follower, []).append(name)
        encoded: dict[tuple[str, ...], tuple[bytes, list[bytes]]] = {}
        for follower, names in changed.items():
            if follower.endpoint.job.planted:
                self._send_changes(follower, [index for name in names for index in by_service[name]])
                continue
            key = tuple(names)
            if key not in encoded:
                entries = [self.changed_entries[index] for name in names for index in by_service[name]]
                encoded[key] = self._encode_line(entries, self.generation), entries
            self._send(follower, *encoded[key])

    def _lines_for(self, follower: Follower, indices: list[int]) -> list[tuple[list[bytes], int]]:
        """The entries and generation of each line for a follower: one line, or two for a planted swap."""
        plant = self.job.timeline.plant
        number = self.generation
        if plant is None or not follower.endpoint.job.planted:
            return [([self.changed_entries[index] for index in indices], number)]
        affected = [index for index in indices if index in plant.changes]
        if plant.kind == "drop":
            return [([self.changed_entries[index] for index in indices if index not in affected], number)]
        if plant.kind == "stale":
            # The server is reported as it was before the first of these changes.
            old = next(s for s in self.job.servers if s.server == plant.server)
            stale = self._entry(Change(0, old.place, old.server, "Ready", 0, old.weight, False, ""))
            return [
                ([stale if index in affected else self.changed_entries[index] for index in indices], number)
            ]
        if plant.kind == "swap" and affected:
            first, second = plant.changes
            others = [self.changed_entries[index] for index in indices if index not in affected]
            if second not in affected:
                return [(others, number)]
            return [
                ([*others, self.changed_entries[second]], number),
                ([self.changed_entries[first]], number),
            ]
        return [([self.changed_entries[index] for index in indices], number)]

    # Changes and faults.

    def make_changes(self, indices: list[int]) -> None:
        """Make the changes at these indices of the timeline, and send them to the followers."""
        now = now_us()
        for index in indices:
            change = self.job.timeline.changes[index]
            entry = self._entry(change)
            self.changed_entries.append(entry)
            self.change_indices.setdefault(self._service(index), []).append(index)
            self.change_times_us.append(now)
            of_service = self.entries[self._service(index)]
            of_service[change.server] = entry
            if change.condition == "Gone":
                del of_service[change.server]
        self.push(indices)

    async def play_changes(self, begin_us: int) -> None:
        """Make all changes of the timeline, each at its time."""
        changes = self.job.timeline.changes
        at = 0
        while at < len(changes):
            until = at + 1
            while until < len(changes) and changes[until].at_us == changes[at].at_us:
                until += 1
            await sleep_until(begin_us + changes[at].at_us)
            self.make_changes(list(range(at, until)))
            at = until

    async def play_faults(self, begin_us: int) -> None:
        """Inject the faults of the source, each in its window."""
        for window in self.job.timeline.windows:
            endpoints = [
                endpoint for endpoint in self.endpoints if window.region in (-1, endpoint.job.region)
            ]
            if window.name not in SOURCE_FAULTS:
                continue
            await sleep_until(begin_us + window.from_us)
            self.affected[window.name] = sum(len(endpoint.followers) for endpoint in endpoints)
            if window.name == "silent":
                # Open watches get nothing more; new ones are served.
                for endpoint in endpoints:
                    endpoint.mute()
                continue
            for endpoint in endpoints:
                if window.name == "apart":
                    endpoint.partition()
                else:
                    endpoint.stop_listening()
                    endpoint.reset()
            await sleep_until(begin_us + window.to_us)
            if window.name == "apart":
                self.partition_ended_us = now_us()
            for endpoint in endpoints:
                await (endpoint.end_partition() if window.name == "apart" else endpoint.listen())

    async def keep_alive(self) -> None:
        """Send an empty line to each follower every 2 s, one slot of followers at a time."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            for slot in self.slots:
                next_at += KEEP_ALIVE_INTERVAL / KEEP_ALIVE_SLOTS
                await asyncio.sleep(max(0.0, next_at - loop.time()))
                for follower in list(slot):
                    follower.write(KEEP_ALIVE_CHUNK)


async def main(path: Path) -> None:
    """Run the source by the job in this file, and write its records at the order to stop."""
    process = Process(await open_orders())
    job = read(path, SourceJob)
    source = Source(job)
    for endpoint in source.endpoints:
        await endpoint.listen()
    tasks = [asyncio.create_task(source.keep_alive())]
    process.send_ready(ReadyMessage([endpoint.port for endpoint in source.endpoints]))
    gc.freeze()
    order = await process.read_order()
    if not order.stop:
        await process.wait_for_start(order)
        source.bytes = source.watches = source.full_lists_sent = 0
        tasks.append(asyncio.create_task(source.play_changes(order.begin_us)))
        tasks.append(asyncio.create_task(source.play_faults(order.begin_us)))
        while not (await process.read_order()).stop:
            pass
    for task in tasks:
        if task.done():
            # A task that failed has stopped making changes; without its error the run would look uneventful.
            task.result()
    write(
        Path(job.book),
        SourceRecords(
            source.change_times_us, source.partition_ended_us, source.notifications, source.bytes,
            process.cpu_s(), process.late_us, source.watches, source.full_lists_sent, source.affected,
        ),
    )  # fmt: skip


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
