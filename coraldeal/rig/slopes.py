"""What one more of something costs: measured at several sizes, with a line fitted through the measures.

`coraldeal rig scale slopes`. Each measure is taken in this process on the product's own classes, or on a real
node process. Processor time is this thread's or that process's own, so that what else runs on the machine
counts only by what it does to caches and clocks; the collector of cycles is off in this process meanwhile.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import socket
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import cache
from pathlib import Path
from statistics import median
from typing import Any

from coraldeal.balance import Balancer
from coraldeal.interface import (
    Condition,
    Effect,
    Entry,
    Group,
    ListKind,
    PeerMessage,
    PeerMessageKind,
    RequestClass,
    Settings,
)
from coraldeal.net.figures import Figures
from coraldeal.net.host import clock
from coraldeal.net.peer_transport import PeerTransport
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import JsonObjectStream, ListEntry, parse_server_list
from coraldeal.peer_messages import encode_message
from coraldeal.rig.clock import run as on_clock
from coraldeal.rig.experiment import (
    Experiment,
    ExperimentError,
    Load,
    RequestClassSpec,
    TierSpec,
    Variant,
    World,
)
from coraldeal.rig.listing import Listed as ListedServer
from coraldeal.rig.listing import Listing, entry
from coraldeal.rig.nodes import NodeProcess, process_figures, program_of
from coraldeal.rig.play import Play
from coraldeal.rig.records import Records

# Servers in a list: a service, ten, a hundred, and all of the target.
SERVERS = (31, 310, 3_100, 21_000)
COUNTS = (200, 400, 800, 1_600)
TRACKS = (4, 16, 64, 256)
RATES = (20, 50, 100, 200)
QUICK = (10, 20, 40, 80)
ZONES = 41
REPEATS = 5
# The node's place in the target: one of as many nodes as servers.
NODES = 21_000
SECOND = 1_000_000
# Seconds that a node process is left alone before, and while, its idle time is measured.
SETTLE, IDLE_FOR = 2.0, 6.0


@dataclass(slots=True)
class Fit:
    """A line through measures, by least squares."""

    slope: float
    intercept: float
    # The root of the mean square of what the line misses, as a part of the mean measure.
    residual: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """The line that fits best; raises ExperimentError where there is none."""
    if len({size for size, _ in points}) < 2:
        raise ExperimentError("a line needs measures at two sizes at least")
    count = len(points)
    middle = sum(size for size, _ in points) / count
    mean = sum(measure for _, measure in points) / count
    spread = sum((size - middle) ** 2 for size, _ in points)
    slope = sum((size - middle) * (measure - mean) for size, measure in points) / spread
    intercept = mean - slope * middle
    missed = sum((measure - intercept - slope * size) ** 2 for size, measure in points) / count
    return Fit(slope, intercept, missed**0.5 / abs(mean) if mean else 0.0)


class _StillHost:
    """A clock that stands, and acts that nothing comes of."""

    now = 1_000 * SECOND

    def __getattr__(self, name: str) -> Callable[..., None]:
        return _nothing


def _nothing(*_: object, **__: object) -> None:
    return None


def _track(number: int) -> RequestClass:
    return RequestClass(f"track-{number}", Effect.IDEMPOTENT, Group.ALL, 0, SECOND // 2, SECOND, 1.0, 0.0)


def _settings(tracks: int = 2, instances: int = NODES) -> Settings:
    return Settings(
        layer=0,
        instances=instances,
        self_index=instances // 3,
        tick_us=1_000,
        zone="zone-0",
        request_classes=[_track(number) for number in range(tracks)],
        tenants=[],
        beyond_share_worth=0.05,
        list_is_pulled=False,
        pull_interval_us=10 * SECOND,
        max_attempts=3,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after_us=SECOND,
        cold_capacity=0.25,
        warm_up_us=8 * SECOND,
        collapse_multiple=2.0,
        collapse_window_us=SECOND,
    )


def _entry(number: int, condition: Condition = Condition.READY) -> Entry:
    return Entry(f"server-{number}", f"zone-{number % ZONES}", number, condition, 0)


def _listed(count: int) -> list[ListEntry]:
    """Entries with an address of their own each."""
    return [
        ListEntry(_entry(number), f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080")
        for number in range(count)
    ]


def _whole(count: int) -> dict[str, Any]:
    """A whole list as the stand-in of the list tells it."""
    told = [
        ListedServer(f"server-{number}", f"zone-{number % ZONES}", number, {"a": 10_000 + number % 50_000})
        for number in range(count)
    ]
    return {"generation": 1, "reset": True, "instances": [entry(server, "a") for server in told]}


@contextmanager
def _uncollected() -> Iterator[None]:
    """No pause of the collector within a measure; what is there already is not looked through again."""
    enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def _cost_us(act: Callable[[], object], repeats: int = REPEATS) -> float:
    """Median processor time of this thread in one call, in microseconds."""
    costs = []
    for _ in range(repeats):
        begun = time.thread_time_ns()
        act()
        costs.append((time.thread_time_ns() - begun) / 1000)
    return median(costs)


def _balancer(count: int, instances: int = NODES) -> Balancer:
    balancer = Balancer(_StillHost(), _settings(instances=instances), 7)
    balancer.servers_listed(ListKind.SNAPSHOT, [_entry(number) for number in range(count)])
    return balancer


def whole_list(count: int) -> float:
    """The decisions' part of a whole list, all of it known already."""
    balancer = _balancer(count)
    entries = [_entry(number) for number in range(count)]
    return _cost_us(lambda: balancer.servers_listed(ListKind.SNAPSHOT, entries))


def _change(count: int, instances: int) -> float:
    balancer = _balancer(count, instances)
    drains = [_entry(count // 2, Condition.DRAINING)], [_entry(count // 2)]

    def there_and_back() -> None:
        for change in drains:
            balancer.servers_listed(ListKind.CHANGES, change)

    return _cost_us(there_and_back, 4 * REPEATS) / 2


def change(count: int) -> float:
    """The decisions' part of one change, at one of many nodes."""
    return _change(count, NODES)


def change_alone(count: int) -> float:
    """The same at a node that is alone, and sends to all servers."""
    return _change(count, 1)


def sweep(count: int) -> float:
    """What the module does four times a second, at one of many nodes."""
    balancer = _balancer(count)
    return _cost_us(lambda: balancer.alarm("sweep"), 4 * REPEATS)


def settings_by_servers(count: int) -> float:
    """The decisions' part of other settings."""
    balancer = _balancer(count)
    two = _settings(), replace(_settings(), max_attempts=4)

    def both() -> None:
        for settings in two:
            balancer.settings_changed(settings)

    return _cost_us(both) / 2


def settings_by_tracks(count: int) -> float:
    balancer = _balancer(31)
    two = _settings(count), replace(_settings(count), max_attempts=4)

    def both() -> None:
        for settings in two:
            balancer.settings_changed(settings)

    return _cost_us(both) / 2


def entry_bytes(count: int) -> float:
    """Memory of a list in the module and in the node's targets, with the entries themselves."""

    async def held() -> float:
        tracemalloc.start()
        servers = _servers()
        try:
            before = tracemalloc.get_traced_memory()[0]
            listed = _listed(count)
            servers.update_endpoints(listed, is_snapshot=True)
            balancer = Balancer(_StillHost(), _settings(), 7)
            balancer.servers_listed(ListKind.SNAPSHOT, [one.entry for one in listed])
            del listed
            return float(tracemalloc.get_traced_memory()[0] - before)
        finally:
            tracemalloc.stop()
            await servers.close()

    return asyncio.run(held())


def _servers() -> ServerPool:
    return ServerPool(clock, 5 * SECOND, SECOND, lambda: None, lambda server: True, Figures(()))


def learn(count: int) -> float:
    """The node's targets from a whole list that is new to it."""

    async def learned() -> float:
        listed = _listed(count)
        costs = []
        for _ in range(REPEATS):
            servers = _servers()
            costs.append(_cost_us(lambda kept=servers: kept.update_endpoints(listed, is_snapshot=True), 1))  # type: ignore[misc]
            await servers.close()
            if costs[-1] > SECOND:
                # Seconds of it are surely no noise.
                break
        return median(costs)

    return asyncio.run(learned())


def learn_change(count: int) -> float:
    """The node's targets from one change."""

    async def learned() -> float:
        listed = _listed(count)
        servers = _servers()
        servers.update_endpoints(listed, is_snapshot=True)
        one, place = listed[count // 2], count // 2
        two = [one._replace(entry=_entry(place, Condition.GONE))], [one]

        def there_and_back() -> None:
            for change in two:
                servers.update_endpoints(change)

        cost = _cost_us(there_and_back, 4 * REPEATS) / 2
        await servers.close()
        return cost

    return asyncio.run(learned())


def close_idle(count: int) -> float:
    """Looking for a connection at rest, where there is none."""

    async def looked() -> float:
        servers = _servers()
        servers.update_endpoints(_listed(count), is_snapshot=True)
        cost = _cost_us(servers.close_one_idle, 4 * REPEATS)
        await servers.close()
        return cost

    return asyncio.run(looked())


def list_bytes(count: int) -> float:
    """A whole list as JSON."""
    return float(len(json.dumps(_whole(count)).encode()))


def parse(count: int) -> float:
    """A whole list from bytes to entries: framing and reading."""
    text = json.dumps(_whole(count)).encode()
    return _cost_us(lambda: [parse_server_list(whole, 0) for whole in JsonObjectStream().feed(text)])


def parse_changes(count: int) -> float:
    """So many changes of one server each, as they come on a watch, one piece each."""
    told = _whole(1)["instances"]
    lines = [
        json.dumps({"generation": number, "reset": False, "instances": told}).encode() + b"\n"
        for number in range(count)
    ]

    def read() -> None:
        objects = JsonObjectStream()
        for line in lines:
            for whole in objects.feed(line):
                parse_server_list(whole, 0)

    return _cost_us(read)


async def _follow(count: int) -> tuple[float, float]:
    """With so many followers: microseconds of one change, bytes held."""
    listing = Listing(0, Records(), 0)
    for number in range(31):
        listing.add(ListedServer(f"server-{number}", "a", number, {"a": 10_000 + number}))
    loop = asyncio.get_running_loop()
    port = await listing.open(0, "a")
    door = listing.doors[0]
    followers: list[socket.socket] = []
    try:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            follower = socket.socket()
            followers.append(follower)
            follower.setblocking(False)
            await loop.sock_connect(follower, ("127.0.0.1", port))
            await loop.sock_sendall(follower, b"GET /v1/endpoints?watch=1 HTTP/1.1\r\n\r\n")
        while len(door.watches) < count:
            await asyncio.sleep(0.01)
        listing.book.told.clear()
        held = float(tracemalloc.get_traced_memory()[0] - before)
        tracemalloc.stop()
        costs = []
        for turn in range(REPEATS):
            costs.append(
                _cost_us(lambda n=turn: listing._changed("server-3", ("Terminating", "Ready")[n % 2], 0), 1)  # type: ignore[misc]
            )
            await asyncio.sleep(0.01)
        return median(costs), held
    finally:
        tracemalloc.stop()
        for follower in followers:
            follower.close()
        await listing.close()


def follower_cpu(count: int) -> float:
    """The rig's list telling one change to all that follow it, one encoding each."""
    return asyncio.run(_follow(count))[0]


def follower_bytes(count: int) -> float:
    """What the rig's list holds for those that follow it (tracemalloc: no buffers of the kernel)."""
    return asyncio.run(_follow(count))[1]


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


def note_send(count: int) -> float:
    """So many notes sent, each in a turn of the loop of its own, a millisecond apart."""

    async def sent() -> float:
        nodes = (("127.0.0.1", _free_port()), ("127.0.0.1", _free_port()))
        carrier = PeerTransport(nodes, 0, lambda number, note: None)
        await carrier.open()
        note = PeerMessage(PeerMessageKind.ASK, 77, 3)
        begun = time.thread_time_ns()
        for _ in range(count):
            carrier.send(1, note)
            await asyncio.sleep(0.001)
        cost = (time.thread_time_ns() - begun) / 1000
        carrier.close()
        return cost

    return asyncio.run(sent())


def note_receive(count: int) -> float:
    """So many notes received, a millisecond apart; a thread of its own sends them."""

    async def received() -> float:
        ports = _free_port(), _free_port()
        nodes = tuple(("127.0.0.1", port) for port in ports)
        came = 0
        done = asyncio.Event()

        def take(number: int, note: PeerMessage) -> None:
            nonlocal came
            came += 1
            if came == count:
                done.set()

        carrier = PeerTransport(nodes, 0, take)
        await carrier.open()

        def send() -> None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
                peer.bind(nodes[1])
                for _ in range(count):
                    peer.sendto(encode_message(PeerMessage(PeerMessageKind.ASK, 77, 3)), nodes[0])
                    time.sleep(0.001)

        thread = threading.Thread(target=send)
        begun = time.thread_time_ns()
        thread.start()
        try:
            await asyncio.wait_for(done.wait(), 5 + count / 100)
        except TimeoutError:
            raise ExperimentError(f"of {count} notes on loopback only {came} came") from None
        finally:
            thread.join()
        cost = (time.thread_time_ns() - begun) / 1000
        carrier.close()
        return cost

    return asyncio.run(received())


def server_connection_bytes(count: int) -> float:
    """What the node holds for connections at rest to a server (tracemalloc: no buffers of the kernel)."""

    async def held() -> float:
        with socket.socket() as end:
            # They are never accepted: the other end's side of them is no part of this.
            end.bind(("127.0.0.1", 0))
            end.listen(2 * count)
            servers = _servers()
            servers.update_endpoints([ListEntry(_entry(0), f"127.0.0.1:{end.getsockname()[1]}")])
            tracemalloc.start()
            try:
                before = tracemalloc.get_traced_memory()[0]
                made = [await servers._connect(servers.endpoints["server-0"]) for _ in range(count)]
                for connection in made:
                    connection.set_idle()
                del made, connection
                if servers.descriptors_in_use != count:
                    raise ExperimentError(f"of {count} connections {servers.descriptors_in_use} are held")
                return float(tracemalloc.get_traced_memory()[0] - before)
            finally:
                tracemalloc.stop()
                await servers.close()

    return asyncio.run(held())


# On node processes of their own.


@dataclass(frozen=True, slots=True)
class _Node:
    """A node process: microseconds of processor until ready and in an idle second, megabytes resident."""

    start_us: float
    idle_us: float
    megabytes: float
    # With connections of callers at rest beside, each having had one answer.
    megabytes_held: float
    descriptors: int


def _used_us(pid: int) -> float:
    """Processor time of a process's main thread, in microseconds; finer than ticks."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


@cache
def _node(servers: int, callers: int) -> _Node:
    """Start a node that knows so many servers, leave it alone, then open connections of callers to it."""

    async def played() -> _Node:
        tier = TierSpec(servers=servers)
        tracks = [RequestClassSpec(name="read")]
        experiment = Experiment(name="slopes", world=World(tiers=[tier]), load=Load(tracks=tracks))
        listing = Listing(0, Records(), 0)
        for number in range(servers):
            listing.add(ListedServer(f"server-{number}", "a", number, {"a": 10_000 + number}))
        door = await listing.open(0, "a")
        with socket.socket() as found, tempfile.TemporaryDirectory() as folder:
            found.bind(("127.0.0.1", 0))
            port = found.getsockname()[1]
            found.close()
            program = program_of(Variant(name="slopes"), Path(folder))
            node = NodeProcess("node", 0, 0, "a", port, Path(folder), program)
            node.configure(experiment, Variant(name="slopes"), listing, door, NODES, NODES // 3, 1)
            ends: list[socket.socket] = []
            try:
                await node.start()
                await node.until_ready()
                assert node.process is not None
                pid = node.process.pid
                started = _used_us(pid)
                await asyncio.sleep(SETTLE)
                used = _used_us(pid)
                await asyncio.sleep(IDLE_FOR)
                idle = (_used_us(pid) - used) / IDLE_FOR
                megabytes = process_figures(pid)[1]
                loop = asyncio.get_running_loop()
                for _ in range(callers):
                    end = socket.socket()
                    ends.append(end)
                    end.setblocking(False)
                    await loop.sock_connect(end, ("127.0.0.1", port))
                    await loop.sock_sendall(end, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    await loop.sock_recv(end, 4096)
                held = process_figures(pid)[1]
                return _Node(started, idle, megabytes, held, len(os.listdir(f"/proc/{pid}/fd")))
            except TimeoutError:
                raise ExperimentError(f"a node that knows {servers} servers was not ready in time") from None
            finally:
                for end in ends:
                    end.close()
                await node.end()
                await listing.close()

    return asyncio.run(played())


def node_start(count: int) -> float:
    """A node process's processor time until it is ready."""
    return _node(count, 0).start_us


def node_idle(count: int) -> float:
    """Its processor time in a second with nothing to do but to be told that nothing has changed."""
    return _node(count, 0).idle_us


def node_memory(count: int) -> float:
    """Its resident memory then, in megabytes."""
    return _node(count, 0).megabytes


def caller_memory(count: int) -> float:
    """What connections of callers at rest add to its resident memory, in bytes."""
    node = _node(31, count)
    return (node.megabytes_held - node.megabytes) * 2**20


def caller_descriptors(count: int) -> float:
    return float(_node(31, count).descriptors)


CALLS = """
name = "slopes"
seconds = 8
settle_seconds = 2
repetitions = 3
rules = "skip"
[world]
server_processes = 2
[[world.tiers]]
name = "server"
servers = 4
cores = 64
delay_ms = 5
idle_seconds = 60
[load]
tracks = [{ name = "read", work = "fixed", work_ms = 0, expected_ms = 500, patience_ms = 1000 }]
[[variants]]
name = "direct"
set = { "load.target" = "servers" }
[[variants]]
name = "node"
"""


@cache
def _calls(rate: int) -> tuple[float, float, float]:
    """Microseconds of the node a second, and microseconds added to p50 and p99, at so many calls a second."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "calls.toml"
        file.write_text(CALLS, encoding="utf-8")
        played = Play(file, Path(folder) / "out", overrides={"load.rate": rate}, say=_nothing)
        outcome, _ = on_clock(played.play())
    if outcome.interrupted:
        raise ExperimentError("the calls were interrupted")

    def middle(variant: str, figure: str) -> float:
        return float(median(s.figures[figure] for s in outcome.summaries if s.variant == variant))

    used = middle("node", "node_cpu_us_per_inquiry") * middle("node", "satisfied_per_s")
    added = [(middle("node", name) - middle("direct", name)) * 1000 for name in ("p50_ms", "p99_ms")]
    return used, added[0], added[1]


def call_cpu(rate: int) -> float:
    """A node process's processor time in a second at so many calls a second, servers that answer in 5 ms."""
    return _calls(rate)[0]


def call_added_p50(rate: int) -> float:
    """What the node adds to half of the calls, against the same callers straight to the servers."""
    return _calls(rate)[1]


def call_added_p99(rate: int) -> float:
    return _calls(rate)[2]


@dataclass(frozen=True, slots=True)
class Measure:
    """One thing measured at several sizes."""

    per: str
    unit: str
    sizes: tuple[int, ...]
    at: Callable[[int], float]
    # Whether it is over in a moment at small sizes, in this process alone.
    pure: bool = True


MEASURES: dict[str, Measure] = {
    "whole-list": Measure("listed server", "us", SERVERS, whole_list),
    "change": Measure("listed server", "us", SERVERS, change),
    "change-alone": Measure("listed server", "us", SERVERS, change_alone),
    "sweep": Measure("listed server", "us", SERVERS, sweep),
    "entry-bytes": Measure("listed server", "B", SERVERS, entry_bytes),
    "learn": Measure("listed server", "us", SERVERS, learn),
    "learn-change": Measure("listed server", "us", SERVERS, learn_change),
    "close-idle": Measure("listed server", "us", SERVERS, close_idle),
    "parse": Measure("listed server", "us", SERVERS, parse),
    "list-bytes": Measure("listed server", "B", SERVERS, list_bytes),
    "parse-changes": Measure("change", "us", COUNTS, parse_changes),
    "settings-by-servers": Measure("listed server", "us", SERVERS, settings_by_servers),
    "settings-by-tracks": Measure("track", "us", TRACKS, settings_by_tracks),
    "follower-cpu": Measure("follower", "us", COUNTS, follower_cpu),
    "follower-bytes": Measure("follower", "B", COUNTS, follower_bytes),
    "note-send": Measure("note", "us", COUNTS, note_send),
    "note-receive": Measure("note", "us", COUNTS, note_receive),
    "server-connection-bytes": Measure("connection", "B", COUNTS, server_connection_bytes),
    "node-start": Measure("listed server", "us", SERVERS, node_start, pure=False),
    "node-idle": Measure("listed server", "us/s", SERVERS, node_idle, pure=False),
    "node-memory": Measure("listed server", "MB", SERVERS, node_memory, pure=False),
    "caller-memory": Measure("connection", "B", COUNTS, caller_memory, pure=False),
    "caller-descriptors": Measure("connection", "descriptors", COUNTS, caller_descriptors, pure=False),
    "call-cpu": Measure("call a second", "us/s", RATES, call_cpu, pure=False),
    "call-added-p50": Measure("call a second", "us", RATES, call_added_p50, pure=False),
    "call-added-p99": Measure("call a second", "us", RATES, call_added_p99, pure=False),
}


@dataclass(slots=True)
class Slope:
    """What came of one measure."""

    name: str
    per: str
    unit: str
    points: list[tuple[float, float]]
    fit: Fit

    def told(self) -> str:
        sizes = ", ".join(f"{size:g}" for size, _ in self.points)
        measures = ", ".join(f"{measure:.4g}" for _, measure in self.points)
        line = self.fit
        return (
            f"{self.name:20} {line.slope:10.4g} {self.unit} a {self.per} + {line.intercept:.4g} "
            f"(residual {line.residual:.1%}); at {sizes}: {measures}"
        )

    def as_json(self) -> dict[str, Any]:
        line = self.fit
        return {
            "name": self.name,
            "per": self.per,
            "unit": self.unit,
            "sizes": [size for size, _ in self.points],
            "measures": [measure for _, measure in self.points],
            "slope": line.slope,
            "intercept": line.intercept,
            "residual": line.residual,
        }


def chosen(only: list[str], quick: bool) -> dict[str, Measure]:
    """The measures asked for; raises ExperimentError for a name that is none."""
    for name in only:
        if name not in MEASURES:
            raise ExperimentError(f"--only: {name!r} is none of {', '.join(MEASURES)}")
    found = {name: measure for name, measure in MEASURES.items() if name in only or not only}
    if quick:
        found = {name: replace(one, sizes=QUICK) for name, one in found.items() if one.pure or name in only}
    return found


def slopes(measures: dict[str, Measure], say: Callable[[str], None]) -> list[Slope]:
    """Each of these, one after the other."""
    found = []
    for name, measure in measures.items():
        with _uncollected():
            points = [(float(size), measure.at(size)) for size in measure.sizes]
        found.append(Slope(name, measure.per, measure.unit, points, fit(points)))
        say(found[-1].told())
    return found


def play(only: list[str], quick: bool, out: Path | None, say: Callable[[str], None] = print) -> int:
    """Measure, tell, and write down; raises ExperimentError or OSError."""
    measures = chosen(only, quick)
    if out is not None:
        # What can't be written is told before anything is measured.
        out.touch()
    found = slopes(measures, say)
    if out is not None:
        told = {"python": sys.version.split()[0], "cores": os.cpu_count(), "quick": quick}
        out.write_text(
            json.dumps({**told, "slopes": [slope.as_json() for slope in found]}, indent=1) + "\n",
            encoding="utf-8",
        )
    return 0
