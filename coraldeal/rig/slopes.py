"""Measures costs at several sizes and fits a line, whose slope is the cost of one more: `rig scale slopes`.

Each cost is measured in this process on the product's own classes, or on a real node process. Processor time
is that of this thread or of that process, so other load on the machine counts only by its effect on caches
and clock rates. The garbage collector of this process is off during a measurement.
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
from coraldeal.net.counters import Counters
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
from coraldeal.rig.listing import ListedServer, Listing, entry
from coraldeal.rig.nodes import NodeProcess, prepare_program, process_usage
from coraldeal.rig.play import ExperimentRunner
from coraldeal.rig.records import Records

# Numbers of servers in a list: one service, ten, a hundred, and all of the target.
SERVER_COUNTS = (31, 310, 3_100, 21_000)
# Numbers of followers, connections, changes and messages.
COUNTS = (200, 400, 800, 1_600)
REQUEST_CLASS_COUNTS = (4, 16, 64, 256)
# Calls per second.
RATES = (20, 50, 100, 200)
# The sizes with --quick.
QUICK = (10, 20, 40, 80)
ZONES = 41
REPEATS = 5
# The number of nodes in the target, which is that of servers; the measured node is one of them.
NODES = 21_000
SECOND = 1_000_000
# Seconds that a node process gets to settle, and seconds over which its idle processor time is measured.
SETTLE, IDLE_FOR = 2.0, 6.0


@dataclass(slots=True)
class Fit:
    """A line fitted to measurements by least squares."""

    slope: float
    intercept: float
    # The root mean square of the residuals, as a fraction of the mean measurement.
    residual: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line to points of size and cost; raises ExperimentError for fewer than two sizes."""
    if len({size for size, _ in points}) < 2:
        raise ExperimentError("a line needs measurements at two sizes or more")
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (cost - mean_cost) for size, cost in points) / spread
    intercept = mean_cost - slope * mean_size
    mean_square = sum((cost - intercept - slope * size) ** 2 for size, cost in points) / count
    return Fit(slope, intercept, mean_square**0.5 / abs(mean_cost) if mean_cost else 0.0)


class _StillHost:
    """A host of the decision module whose clock stands still and whose methods do nothing."""

    now = 1_000 * SECOND

    def __getattr__(self, name: str) -> Callable[..., None]:
        return _nothing


def _nothing(*_: object, **__: object) -> None:
    return None


def _request_class(number: int) -> RequestClass:
    return RequestClass(f"track-{number}", Effect.IDEMPOTENT, Group.ALL, 0, SECOND // 2, SECOND, 1.0, 0.0)


def _settings(request_classes: int = 2, instances: int = NODES) -> Settings:
    return Settings(
        layer=0,
        instances=instances,
        self_index=instances // 3,
        tick_us=1_000,
        zone="zone-0",
        request_classes=[_request_class(number) for number in range(request_classes)],
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
    """Entries of the list, each with its own address."""
    return [
        ListEntry(_entry(number), f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080")
        for number in range(count)
    ]


def _list_message(count: int) -> dict[str, Any]:
    """A full list in the format in which the stand-in for discovery sends it."""
    servers = [
        ListedServer(f"server-{number}", f"zone-{number % ZONES}", number, {"a": 10_000 + number % 50_000})
        for number in range(count)
    ]
    return {"generation": 1, "reset": True, "instances": [entry(server, "a") for server in servers]}


@contextmanager
def _without_collector() -> Iterator[None]:
    """Run the garbage collector once, and keep it off meanwhile, so that it does not pause a measurement."""
    enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def _cost_us(act: Callable[[], object], repeats: int = REPEATS) -> float:
    """The median processor time of this thread in one call of `act`, in microseconds."""
    costs = []
    for _ in range(repeats):
        started_ns = time.thread_time_ns()
        act()
        costs.append((time.thread_time_ns() - started_ns) / 1000)
    return median(costs)


def _balancer(count: int, instances: int = NODES) -> Balancer:
    balancer = Balancer(_StillHost(), _settings(instances=instances), 7)
    balancer.servers_listed(ListKind.SNAPSHOT, [_entry(number) for number in range(count)])
    return balancer


def full_list(count: int) -> float:
    """The processor time of the decision module for a full list whose servers it already has."""
    balancer = _balancer(count)
    entries = [_entry(number) for number in range(count)]
    return _cost_us(lambda: balancer.servers_listed(ListKind.SNAPSHOT, entries))


def _change(count: int, instances: int) -> float:
    balancer = _balancer(count, instances)
    changes = [_entry(count // 2, Condition.DRAINING)], [_entry(count // 2)]

    def drain_and_restore() -> None:
        for change in changes:
            balancer.servers_listed(ListKind.CHANGES, change)

    return _cost_us(drain_and_restore, 4 * REPEATS) / 2


def change(count: int) -> float:
    """The processor time of the decision module for one change, at one of many nodes."""
    return _change(count, NODES)


def change_alone(count: int) -> float:
    """The processor time of the decision module for one change, at a lone node that sends to all servers."""
    return _change(count, 1)


def sweep(count: int) -> float:
    """The processor time of the decision module's sweep (four times a second), at one of many nodes."""
    balancer = _balancer(count)
    return _cost_us(lambda: balancer.alarm("sweep"), 4 * REPEATS)


def settings_by_servers(count: int) -> float:
    """The processor time of the decision module for new settings, with this many servers."""
    balancer = _balancer(count)
    alternatives = _settings(), replace(_settings(), max_attempts=4)

    def apply_both() -> None:
        for settings in alternatives:
            balancer.settings_changed(settings)

    return _cost_us(apply_both) / 2


def settings_by_request_classes(count: int) -> float:
    """The processor time of the decision module for new settings, with this many request classes."""
    balancer = _balancer(31)
    alternatives = _settings(count), replace(_settings(count), max_attempts=4)

    def apply_both() -> None:
        for settings in alternatives:
            balancer.settings_changed(settings)

    return _cost_us(apply_both) / 2


def entry_bytes(count: int) -> float:
    """The memory of a list in the decision module and in the node's `Servers`, including the entries."""

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
    return ServerPool(clock, 5 * SECOND, SECOND, lambda: None, lambda server: True, Counters(()))


def learn(count: int) -> float:
    """The processor time of the node's `Servers` for a full list of servers that are new to it."""

    async def measure() -> float:
        listed = _listed(count)
        costs = []
        for _ in range(REPEATS):
            servers = _servers()
            costs.append(_cost_us(lambda fresh=servers: fresh.update_endpoints(listed, is_snapshot=True), 1))  # type: ignore[misc]
            await servers.close()
            if costs[-1] > SECOND:
                # A cost of more than a second needs no repeats to stand out from noise.
                break
        return median(costs)

    return asyncio.run(measure())


def learn_change(count: int) -> float:
    """The processor time of the node's `Servers` for one change."""

    async def measure() -> float:
        listed = _listed(count)
        servers = _servers()
        servers.update_endpoints(listed, is_snapshot=True)
        server, index = listed[count // 2], count // 2
        changes = [server._replace(entry=_entry(index, Condition.GONE))], [server]

        def remove_and_restore() -> None:
            for change in changes:
                servers.update_endpoints(change)

        cost = _cost_us(remove_and_restore, 4 * REPEATS) / 2
        await servers.close()
        return cost

    return asyncio.run(measure())


def close_idle(count: int) -> float:
    """The processor time of a search for an idle connection to close, when there is none."""

    async def measure() -> float:
        servers = _servers()
        servers.update_endpoints(_listed(count), is_snapshot=True)
        cost = _cost_us(servers.close_one_idle, 4 * REPEATS)
        await servers.close()
        return cost

    return asyncio.run(measure())


def list_bytes(count: int) -> float:
    """The size of a full list as JSON, in bytes."""
    return float(len(json.dumps(_list_message(count)).encode()))


def parse(count: int) -> float:
    """The processor time from the bytes of a full list to its entries: framing and reading."""
    text = json.dumps(_list_message(count)).encode()
    return _cost_us(lambda: [parse_server_list(message, 0) for message in JsonObjectStream().feed(text)])


def parse_changes(count: int) -> float:
    """The processor time to parse this many changes of one server each, as they arrive on a watch."""
    instances = _list_message(1)["instances"]
    lines = [
        json.dumps({"generation": number, "reset": False, "instances": instances}).encode() + b"\n"
        for number in range(count)
    ]

    def read() -> None:
        objects = JsonObjectStream()
        for line in lines:
            for message in objects.feed(line):
                parse_server_list(message, 0)

    return _cost_us(read)


async def _follow(count: int) -> tuple[float, float]:
    """With this many followers: the microseconds of one change, and the bytes held."""
    listing = Listing(0, Records(), 0)
    for number in range(31):
        listing.add(ListedServer(f"server-{number}", "a", number, {"a": 10_000 + number}))
    loop = asyncio.get_running_loop()
    port = await listing.open(0, "a")
    endpoint = listing.endpoints[0]
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
        while len(endpoint.watches) < count:
            await asyncio.sleep(0.01)
        listing.records.told.clear()
        held = float(tracemalloc.get_traced_memory()[0] - before)
        tracemalloc.stop()
        costs = []
        for turn in range(REPEATS):
            costs.append(
                _cost_us(
                    lambda n=turn: listing._apply_change(  # type: ignore[misc]
                        "server-3", ("Terminating", "Ready")[n % 2], 0
                    ),
                    1,
                )
            )
            await asyncio.sleep(0.01)
        return median(costs), held
    finally:
        tracemalloc.stop()
        for follower in followers:
            follower.close()
        await listing.close()


def follower_cpu(count: int) -> float:
    """The processor time of the stand-in for discovery to send one change, encoded for each follower."""
    return asyncio.run(_follow(count))[0]


def follower_bytes(count: int) -> float:
    """The memory of the stand-in for discovery for its followers (tracemalloc: without kernel buffers)."""
    return asyncio.run(_follow(count))[1]


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def peer_message_send(count: int) -> float:
    """The processor time to send this many peer messages, a millisecond apart, each in its own loop turn."""

    async def measure() -> float:
        nodes = (("127.0.0.1", _free_port()), ("127.0.0.1", _free_port()))
        transport = PeerTransport(nodes, 0, lambda number, message: None)
        await transport.open()
        message = PeerMessage(PeerMessageKind.ASK, 77, 3)
        started_ns = time.thread_time_ns()
        for _ in range(count):
            transport.send(1, message)
            await asyncio.sleep(0.001)
        cost = (time.thread_time_ns() - started_ns) / 1000
        transport.close()
        return cost

    return asyncio.run(measure())


def peer_message_receive(count: int) -> float:
    """The processor time to receive this many peer messages, a millisecond apart; another thread sends them.

    Raises ExperimentError if messages are lost on loopback.
    """

    async def measure() -> float:
        ports = _free_port(), _free_port()
        nodes = tuple(("127.0.0.1", port) for port in ports)
        received = 0
        done = asyncio.Event()

        def receive(number: int, message: PeerMessage) -> None:
            nonlocal received
            received += 1
            if received == count:
                done.set()

        transport = PeerTransport(nodes, 0, receive)
        await transport.open()

        def send() -> None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
                peer.bind(nodes[1])
                for _ in range(count):
                    peer.sendto(encode_message(PeerMessage(PeerMessageKind.ASK, 77, 3)), nodes[0])
                    time.sleep(0.001)

        thread = threading.Thread(target=send)
        started_ns = time.thread_time_ns()
        thread.start()
        try:
            await asyncio.wait_for(done.wait(), 5 + count / 100)
        except TimeoutError:
            raise ExperimentError(f"only {received} of {count} peer messages arrived on loopback") from None
        finally:
            thread.join()
        cost = (time.thread_time_ns() - started_ns) / 1000
        transport.close()
        return cost

    return asyncio.run(measure())


def server_connection_bytes(count: int) -> float:
    """The memory of the node for idle connections to a server (tracemalloc: without kernel buffers).

    Raises ExperimentError if the node does not keep all of them.
    """

    async def measure() -> float:
        with socket.socket() as listener:
            # The connections are never accepted, so that the memory of the server's side is not counted.
            listener.bind(("127.0.0.1", 0))
            listener.listen(2 * count)
            servers = _servers()
            servers.update_endpoints([ListEntry(_entry(0), f"127.0.0.1:{listener.getsockname()[1]}")])
            tracemalloc.start()
            try:
                before = tracemalloc.get_traced_memory()[0]
                connections = [await servers._connect(servers.endpoints["server-0"]) for _ in range(count)]
                for connection in connections:
                    connection.set_idle()
                del connections, connection
                if servers.descriptors_in_use != count:
                    raise ExperimentError(
                        f"the node keeps {servers.descriptors_in_use} of {count} idle connections"
                    )
                return float(tracemalloc.get_traced_memory()[0] - before)
            finally:
                tracemalloc.stop()
                await servers.close()

    return asyncio.run(measure())


# Measurements on node processes.


@dataclass(frozen=True, slots=True)
class _NodeCosts:
    """The costs of a node process: processor time until ready and per idle second; resident memory in MB."""

    start_us: float
    idle_us: float
    megabytes: float
    # Resident memory with idle connections of callers, each of which has had one answer.
    megabytes_with_callers: float
    descriptors: int


def _used_us(pid: int) -> float:
    """The processor time of a process's main thread, in microseconds; the precision is finer than ticks."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


@cache
def _node_costs(servers: int, callers: int) -> _NodeCosts:
    """Start a node with this many servers, leave it idle, then open this many caller connections to it."""

    async def measure() -> _NodeCosts:
        tier = TierSpec(servers=servers)
        request_classes = [RequestClassSpec(name="read")]
        experiment = Experiment(name="slopes", world=World(tiers=[tier]), load=Load(tracks=request_classes))
        listing = Listing(0, Records(), 0)
        for number in range(servers):
            listing.add(ListedServer(f"server-{number}", "a", number, {"a": 10_000 + number}))
        list_port = await listing.open(0, "a")
        with socket.socket() as probe, tempfile.TemporaryDirectory() as folder:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            probe.close()
            program = prepare_program(Variant(name="slopes"), Path(folder))
            node = NodeProcess("node", 0, 0, "a", port, Path(folder), program)
            node.configure(experiment, Variant(name="slopes"), listing, list_port, NODES, NODES // 3, 1)
            connections: list[socket.socket] = []
            try:
                await node.start()
                await node.wait_until_ready()
                assert node.process is not None
                pid = node.process.pid
                start_us = _used_us(pid)
                await asyncio.sleep(SETTLE)
                settled_us = _used_us(pid)
                await asyncio.sleep(IDLE_FOR)
                idle_us = (_used_us(pid) - settled_us) / IDLE_FOR
                megabytes = process_usage(pid)[1]
                loop = asyncio.get_running_loop()
                for _ in range(callers):
                    connection = socket.socket()
                    connections.append(connection)
                    connection.setblocking(False)
                    await loop.sock_connect(connection, ("127.0.0.1", port))
                    await loop.sock_sendall(connection, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    await loop.sock_recv(connection, 4096)
                with_callers = process_usage(pid)[1]
                return _NodeCosts(
                    start_us, idle_us, megabytes, with_callers, len(os.listdir(f"/proc/{pid}/fd"))
                )
            except TimeoutError:
                raise ExperimentError(f"a node with {servers} servers did not become ready in time") from None
            finally:
                for connection in connections:
                    connection.close()
                await node.end()
                await listing.close()

    return asyncio.run(measure())


def node_start(count: int) -> float:
    """The processor time of a node process until it is ready."""
    return _node_costs(count, 0).start_us


def node_idle(count: int) -> float:
    """The processor time of a node process in a second without requests and without changes of its list."""
    return _node_costs(count, 0).idle_us


def node_memory(count: int) -> float:
    """The resident memory of an idle node process, in megabytes."""
    return _node_costs(count, 0).megabytes


def caller_memory(count: int) -> float:
    """The resident memory that idle connections of callers add to a node process, in bytes."""
    costs = _node_costs(31, count)
    return (costs.megabytes_with_callers - costs.megabytes) * 2**20


def caller_descriptors(count: int) -> float:
    """The open descriptors of a node process with this many connections of callers."""
    return float(_node_costs(31, count).descriptors)


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
    """At this many calls per second: the node's processor time in a second, and its addition to p50 and p99.

    All are microseconds. Raises ExperimentError if the experiment is interrupted.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "calls.toml"
        file.write_text(CALLS, encoding="utf-8")
        played = ExperimentRunner(file, Path(folder) / "out", overrides={"load.rate": rate}, say=_nothing)
        outcome, _ = on_clock(played.run())
    if outcome.interrupted:
        raise ExperimentError(f"the experiment at {rate} calls per second was interrupted")

    def median_of(variant: str, figure: str) -> float:
        return float(median(s.figures[figure] for s in outcome.summaries if s.variant == variant))

    used_us = median_of("node", "node_cpu_us_per_inquiry") * median_of("node", "satisfied_per_s")
    added_us = [(median_of("node", name) - median_of("direct", name)) * 1000 for name in ("p50_ms", "p99_ms")]
    return used_us, added_us[0], added_us[1]


def call_cpu(rate: int) -> float:
    """The processor time of a node process in a second, at this many calls to servers that answer in 5 ms."""
    return _calls(rate)[0]


def call_added_p50(rate: int) -> float:
    """The latency that the node adds to the median call, compared with direct calls to the servers."""
    return _calls(rate)[1]


def call_added_p99(rate: int) -> float:
    """The latency that the node adds at the 99th percentile of calls."""
    return _calls(rate)[2]


@dataclass(frozen=True, slots=True)
class Measure:
    """A cost to be measured at several sizes, in `unit` per `per`."""

    per: str
    unit: str
    sizes: tuple[int, ...]
    # Measures the cost at a size.
    cost_at: Callable[[int], float]
    # Whether it is measured in this process alone, which takes a moment at small sizes.
    in_process: bool = True


MEASURES: dict[str, Measure] = {
    "whole-list": Measure("listed server", "us", SERVER_COUNTS, full_list),
    "change": Measure("listed server", "us", SERVER_COUNTS, change),
    "change-alone": Measure("listed server", "us", SERVER_COUNTS, change_alone),
    "sweep": Measure("listed server", "us", SERVER_COUNTS, sweep),
    "entry-bytes": Measure("listed server", "B", SERVER_COUNTS, entry_bytes),
    "learn": Measure("listed server", "us", SERVER_COUNTS, learn),
    "learn-change": Measure("listed server", "us", SERVER_COUNTS, learn_change),
    "close-idle": Measure("listed server", "us", SERVER_COUNTS, close_idle),
    "parse": Measure("listed server", "us", SERVER_COUNTS, parse),
    "list-bytes": Measure("listed server", "B", SERVER_COUNTS, list_bytes),
    "parse-changes": Measure("change", "us", COUNTS, parse_changes),
    "settings-by-servers": Measure("listed server", "us", SERVER_COUNTS, settings_by_servers),
    "settings-by-tracks": Measure("track", "us", REQUEST_CLASS_COUNTS, settings_by_request_classes),
    "follower-cpu": Measure("follower", "us", COUNTS, follower_cpu),
    "follower-bytes": Measure("follower", "B", COUNTS, follower_bytes),
    "note-send": Measure("note", "us", COUNTS, peer_message_send),
    "note-receive": Measure("note", "us", COUNTS, peer_message_receive),
    "server-connection-bytes": Measure("connection", "B", COUNTS, server_connection_bytes),
    "node-start": Measure("listed server", "us", SERVER_COUNTS, node_start, in_process=False),
    "node-idle": Measure("listed server", "us/s", SERVER_COUNTS, node_idle, in_process=False),
    "node-memory": Measure("listed server", "MB", SERVER_COUNTS, node_memory, in_process=False),
    "caller-memory": Measure("connection", "B", COUNTS, caller_memory, in_process=False),
    "caller-descriptors": Measure("connection", "descriptors", COUNTS, caller_descriptors, in_process=False),
    "call-cpu": Measure("call a second", "us/s", RATES, call_cpu, in_process=False),
    "call-added-p50": Measure("call a second", "us", RATES, call_added_p50, in_process=False),
    "call-added-p99": Measure("call a second", "us", RATES, call_added_p99, in_process=False),
}


@dataclass(slots=True)
class Slope:
    """The measured points of a cost, and the line fitted to them."""

    name: str
    per: str
    unit: str
    points: list[tuple[float, float]]
    fit: Fit

    def as_text(self) -> str:
        """The slope as one line of text."""
        sizes = ", ".join(f"{size:g}" for size, _ in self.points)
        costs = ", ".join(f"{cost:.4g}" for _, cost in self.points)
        line = self.fit
        return (
            f"{self.name:20} {line.slope:10.4g} {self.unit} per {self.per} + {line.intercept:.4g} "
            f"(residual {line.residual:.1%}); at {sizes}: {costs}"
        )

    def as_json(self) -> dict[str, Any]:
        """The slope as a JSON object."""
        line = self.fit
        return {
            "name": self.name,
            "per": self.per,
            "unit": self.unit,
            "sizes": [size for size, _ in self.points],
            "measures": [cost for _, cost in self.points],
            "slope": line.slope,
            "intercept": line.intercept,
            "residual": line.residual,
        }


def select_measures(only: list[str], quick: bool) -> dict[str, Measure]:
    """The measures that these options select; raises ExperimentError for an unknown name."""
    for name in only:
        if name not in MEASURES:
            raise ExperimentError(f"--only: {name!r} is none of {', '.join(MEASURES)}")
    selected = {name: measure for name, measure in MEASURES.items() if name in only or not only}
    if quick:
        selected = {
            name: replace(chosen, sizes=QUICK)
            for name, chosen in selected.items()
            if chosen.in_process or name in only
        }
    return selected


def measure_slopes(measures: dict[str, Measure], say: Callable[[str], None]) -> list[Slope]:
    """Take these measures, one after another, and report each slope."""
    slopes = []
    for name, measure in measures.items():
        with _without_collector():
            points = [(float(size), measure.cost_at(size)) for size in measure.sizes]
        slopes.append(Slope(name, measure.per, measure.unit, points, fit(points)))
        say(slopes[-1].as_text())
    return slopes


def play(only: list[str], quick: bool, out: Path | None, say: Callable[[str], None] = print) -> int:
    """Measure the selected slopes, report them, and write them to a JSON file; returns the exit status.

    Raises ExperimentError for an unknown measure or a failed measurement, and OSError if the file can't be
    written.
    """
    measures = select_measures(only, quick)
    if out is not None:
        # A file that can't be written fails here, before the long measurements.
        out.touch()
    slopes = measure_slopes(measures, say)
    if out is not None:
        machine = {"python": sys.version.split()[0], "cores": os.cpu_count(), "quick": quick}
        out.write_text(
            json.dumps({**machine, "slopes": [slope.as_json() for slope in slopes]}, indent=1) + "\n",
            encoding="utf-8",
        )
    return 0
