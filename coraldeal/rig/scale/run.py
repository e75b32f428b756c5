"""Plays a scale run: draws it, starts its processes, plays the timeline, checks the processes' records."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import resource
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.experiment import ExperimentError
from coraldeal.rig.nodes import ROOT, NodeProcess, Program, _end_with_parent, process_usage
from coraldeal.rig.run import free_port
from coraldeal.rig.scale import records
from coraldeal.rig.scale.fleet import REGIONS, Fleet, draw_fleet
from coraldeal.rig.scale.hollow import node_settings
from coraldeal.rig.scale.journal import SOURCE_FAULTS, Timeline, encode_weight
from coraldeal.rig.scale.judge import Judge, Partition, SourceHistory, Verdict
from coraldeal.rig.scale.records import (
    EndpointJob,
    HollowJob,
    HollowNodeJob,
    HollowRecords,
    InitialServer,
    Order,
    PlayedJob,
    PlayedRecords,
    ReadyMessage,
    SourceJob,
    SourceRecords,
)
from coraldeal.rig.scale.relays import RelayProcess
from coraldeal.rig.scale.timeline import INJECTED_FAULTS, draw_timeline, initial_server_id
from coraldeal.rig.scale.topology import Direct, Relays, Topology

MAX_NODES, MAX_SECONDS, MAX_PROCESSES, MAX_REAL_NODES = 21_000, 600.0, 200, 64
# Relays in each region. With only one, its followers have no other relay to continue at when it is killed.
MAX_RELAYS = 4
# The window in which a relay is killed, and the seconds until it is started again.
RELAY_KILL_WINDOW, RELAY_DOWNTIME = "tenfold", 2.0
# Hollow nodes in one process, unless --processes is given.
NODES_PER_PROCESS = 250
# The assumed memory, in megabytes, of a process, and of a hollow node with its share of the source.
PROCESS_MB, NODE_MB = 45.0, 0.2
# The rate at which watches are opened, per second, over all processes.
WATCHES_OPENED_PER_S = 1500
# Descriptors that a process needs besides those of its connections.
SPARE_DESCRIPTORS = 200
# Inquiries per second at each real node.
REAL_NODE_RATE = 10.0
# With at most this many instances, a node sends to all servers and not to a subset (see coraldeal.balance).
MAX_INSTANCES_WITHOUT_SUBSET = 4
# The time that nodes have after the last change until they are checked, in seconds.
SETTLE, MAX_SETTLE = 6.0, 60.0
# How long a process may need to become ready, and to end, in seconds.
READY_TIMEOUT, END_TIMEOUT = 120.0, 60.0


@dataclass(slots=True)
class Options:
    """The options of a run; `check` refuses an option that is out of its bounds."""

    # Numbers of hollow and of real nodes.
    nodes: int = 200
    real: int = 8
    seconds: float = 24.0
    seed: int = 1
    # Changes per second outside the faults' windows.
    rate: float = 0.66
    # Processes of hollow nodes; 0: as many as NODES_PER_PROCESS gives.
    processes: int = 0
    # Relays in each region; 0: every node asks the source itself.
    relays: int = 0
    # The planted fault that the checks must find; empty: none.
    plant: str = ""
    injected_faults: tuple[str, ...] = INJECTED_FAULTS
    settle: float = SETTLE
    # The longest allowed time until a change is in force; 0: no limit.
    limit_ms: float = 0.0
    out: Path = field(default_factory=Path)

    def hollow_processes(self) -> int:
        """The number of processes of hollow nodes."""
        return self.processes or math.ceil(self.nodes / NODES_PER_PROCESS)

    def check(self, available_mb: float, total_mb: float, descriptors: int) -> None:
        """Check the options against their bounds and against the memory and descriptors of the machine.

        Raises ExperimentError for the first option that is out of bounds.
        """
        bounds = {
            "--nodes": (self.nodes, 20, MAX_NODES),
            "--real": (self.real, 0, MAX_REAL_NODES),
            "--seconds": (self.seconds, 2, MAX_SECONDS),
            "--settle": (self.settle, 0.5, MAX_SETTLE),
            "--rate": (self.rate, 0.01, 100),
            "--relays": (self.relays, 0, MAX_RELAYS),
            "--processes": (
                self.hollow_processes(),
                1,
                min(MAX_PROCESSES - self.real - 2 - REGIONS * self.relays, self.nodes),
            ),
        }
        for name, (value, minimum, maximum) in bounds.items():
            if not minimum <= value <= maximum:
                raise ExperimentError(f"{name}: {value:g} is not in {minimum:g} to {maximum:g}")
        processes = self.hollow_processes() + self.real + 3 + REGIONS * self.relays
        needed_mb = PROCESS_MB * processes + NODE_MB * self.nodes
        allowed_mb = min(available_mb, total_mb / 2)
        if needed_mb > allowed_mb:
            text = f"need about {needed_mb:.0f} MB, and {allowed_mb:.0f} MB may be used (half of the memory)"
            raise ExperimentError(f"--nodes: {self.nodes} {text}")
        if self.nodes + SPARE_DESCRIPTORS > descriptors:
            text = f"the source needs a descriptor for each node and may open {descriptors}"
            raise ExperimentError(f"--nodes: {self.nodes}: {text}")


def memory_mb() -> tuple[float, float]:
    """The available and the total memory of the machine, in megabytes."""
    figures = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        key, _, rest = line.partition(":")
        figures[key] = int(rest.split()[0]) / 1024
    return figures["MemAvailable"], figures["MemTotal"]


def peak_mb(pid: int) -> float:
    """The peak resident memory of a process, in megabytes; 0 if the process does not exist."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


class ChildProcess:
    """A process of the run that executes one module of this package."""

    def __init__(self, name: str, module: str, folder: Path) -> None:
        self.name = name
        self.module = module
        self.folder = folder
        # The file into which the process writes its records.
        self.records_path = folder / f"{name}.book"
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0

    async def start(self, job: msgspec.Struct) -> None:
        """Write the job to a file and start the process on it."""
        path = self.folder / f"{self.name}.job"
        records.write(path, job)
        with (self.folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", f"coraldeal.rig.scale.{self.module}", str(path),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                preexec_fn=_end_with_parent,
                start_new_session=True,
            )  # fmt: skip

    async def wait_until_ready(self) -> ReadyMessage:
        """Wait for the process's ready message; raises ExperimentError if none comes within READY_TIMEOUT."""
        assert self.process is not None and self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), READY_TIMEOUT)
        except TimeoutError:
            line = b""
        if not line:
            raise ExperimentError(f"{self.name} did not become ready: {self.last_log_line()}")
        return msgspec.json.decode(line, type=ReadyMessage)

    def send_order(self, order: Order) -> None:
        """Send an order, unless the process has ended."""
        assert self.process is not None and self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    async def stop(self) -> None:
        """Order the process to write its records and end.

        Raises ExperimentError if the process does not end within END_TIMEOUT, or ends with a status other
        than 0.
        """
        assert self.process is not None
        self.peak_mb = peak_mb(self.process.pid)
        self.send_order(Order(stop=True))
        try:
            status = await asyncio.wait_for(self.process.wait(), END_TIMEOUT)
        except TimeoutError:
            raise ExperimentError(f"{self.name} did not end within {END_TIMEOUT:g} s") from None
        if status:
            raise ExperimentError(f"{self.name} ended with status {status}: {self.last_log_line()}")

    async def kill(self) -> None:
        """End the process with SIGKILL, if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def last_log_line(self) -> str:
        """The last line that the process logged."""
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"


async def _ask_admin(node: NodeProcess, line: str) -> bytes:
    """Send one call to a real node's admin listener; after a timeout on a busy machine, up to twice more."""
    for _ in range(2):
        with contextlib.suppress(TimeoutError):
            return await node.call_admin(line.encode())
    return await node.call_admin(line.encode())


class Run:
    """One run, from the drawing of its timeline to its verdict."""

    def __init__(self, options: Options, say: Callable[[str], None] = lambda text: None) -> None:
        """Draw the run; raises ExperimentError if its fault can't be planted. `say` reports progress."""
        self.options = options
        self.say = say
        self.fleet: Fleet = draw_fleet(options.nodes, options.seed, options.real)
        try:
            self.timeline: Timeline = draw_timeline(
                self.fleet, options.seconds, options.rate, options.injected_faults, options.plant
            )
        except ValueError as error:
            raise ExperimentError(f"--plant: {error}") from None
        self.source = ChildProcess("source", "source", options.out)
        self.played = ChildProcess("played", "played", options.out)
        self.hollow = [
            ChildProcess(f"hollow-{number}", "hollow", options.out)
            for number in range(options.hollow_processes())
        ]
        # The processor seconds that each relay, and each real node, uses while the timeline is played.
        self.relays: list[RelayProcess] = []
        self.relay_cpu_s: list[float] = []
        self.relay_kill_task: asyncio.Task[None] | None = None
        self.real: list[NodeProcess] = []
        self.real_cpu_s: list[float] = []
        self.initial_servers: list[InitialServer] = []
        self.topology = ""
        self.begin_us = self.stopped_us = 0

    async def play(self) -> dict[str, Any]:
        """Play the run, write its summary to summary.json, and return it.

        Raises ExperimentError if a process does not start or end as it must.
        """
        try:
            await self._start()
            await self._play_timeline()
            admin_answers = await self._ask_admin_listeners()
            # All nodes finish their records before the source ends, so that the end of their watches is no
            # failure.
            self.stopped_us = now_us()
            await asyncio.gather(*(child.stop() for child in self.hollow))
            await self.played.stop()
            await self.source.stop()
            return self._check_records(admin_answers)
        finally:
            for child in [*self.hollow, self.played, self.source]:
                await child.kill()
            for node in self.real:
                await node.end()
            for relay in self.relays:
                await relay.kill()

    # Start.

    async def _start(self) -> None:
        fleet, options = self.fleet, self.options
        played = [place.number for place in fleet.places if place.service in fleet.played]
        await self.played.start(PlayedJob(str(self.played.records_path), len(played), REAL_NODE_RATE))
        ports = dict(zip(played, (await self.played.wait_until_ready()).ports, strict=True))
        self.initial_servers = [
            InitialServer(
                initial_server_id(fleet, place),
                place.number,
                fleet.services[place.service],
                f"z{place.zone:02d}",
                place.zone,
                # Addresses that get no requests only have to differ from one another.
                f"127.0.0.1:{ports[place.number]}"
                if place.number in ports
                else f"10.{place.number >> 16}.{place.number >> 8 & 255}.{place.number & 255}:8081",
                encode_weight(place.weight, 0),
            )
            for place in fleet.places
        ]
        topology, dedicated = await self._start_source()
        if self.options.relays:
            topology = await self._start_relays(topology)
            self.say(f"{len(self.relays)} relays follow the source")
        self.topology = topology.name
        await self._start_real(dedicated)
        self.say(f"source and {options.real} real nodes are up")
        await self._start_hollow(topology, dedicated)
        self.say(f"{options.nodes} hollow nodes in {len(self.hollow)} processes hold their lists")

    async def _start_source(self) -> tuple[Topology, dict[int, list[str]]]:
        """Start the source. Returns the topology and the addresses of nodes with a dedicated endpoint."""
        fleet, plant = self.fleet, self.timeline.plant
        endpoints = [EndpointJob(region) for region in range(fleet.regions)]
        for follower in fleet.followers[len(fleet.places) :]:
            names = [fleet.services[service] for service in follower.services]
            endpoints.append(EndpointJob(follower.region, follower.number, names))
        if plant is not None and plant.kind != "keep-gone":
            region = fleet.followers[plant.follower].region
            endpoints.append(EndpointJob(region, planted=True))
        job = SourceJob(str(self.source.records_path), self.initial_servers, self.timeline, endpoints)
        await self.source.start(job)
        ports = (await self.source.wait_until_ready()).ports
        regions: dict[int, str] = {}
        dedicated: dict[int, list[str]] = {}
        for endpoint, port in zip(endpoints, ports, strict=True):
            address = f"127.0.0.1:{port}"
            if endpoint.planted and plant is not None:
                dedicated[plant.follower] = [address]
            elif endpoint.node >= 0:
                dedicated[endpoint.node] = [address]
            else:
                regions[endpoint.region] = address
        return Direct(regions), dedicated

    async def _start_relays(self, source: Topology) -> Topology:
        """Start the relays of each region, all of them followers of the source's endpoint for the region."""
        regions: dict[int, list[str]] = {}
        for region in range(self.fleet.regions):
            for _ in range(self.options.relays):
                relay = RelayProcess(len(self.relays), region, free_port(), self.options.out)
                self.relays.append(relay)
                await relay.start(source.addresses(region, 0))
                regions.setdefault(region, []).append(relay.address)
        for relay in self.relays:
            await relay.until_ready()
        return Relays(regions)

    async def _kill_relay(self) -> None:
        """Kill one relay and, after RELAY_DOWNTIME, start it again without a list."""
        relay = self.relays[0]
        await relay.kill()
        self.say(f"         relay 0 of region {relay.region} killed")
        await asyncio.sleep(RELAY_DOWNTIME)
        await relay.start()

    async def _start_real(self, dedicated: dict[int, list[str]]) -> None:
        program = Program(
            [sys.executable, "-m", "coraldeal", "serve", "--log-level", "warning"],
            ROOT,
            {"PYTHONPATH": str(ROOT)},
        )
        for place in range(self.options.real):
            number = len(self.fleet.places) + place
            name = f"real-{place}"
            node = NodeProcess(name, place, 0, "", free_port(), self.options.out, program)
            # With few instances, each node sends to all servers of its service; in a zone without servers, it
            # prefers none of them. So drains and removals concern servers that the nodes send to.
            settings = node_settings(
                name,
                "front",
                place,
                min(self.options.real, MAX_INSTANCES_WITHOUT_SUBSET),
                dedicated[number][0],
            )
            settings["listen"] = f"127.0.0.1:{node.port}"
            admin_port = free_port()
            settings["operator"] = f"127.0.0.1:{admin_port}"
            node.path.write_text(json.dumps(settings), encoding="utf-8")
            # Without a folder for the socket of a handover, no process takes over from another. The admin
            # listener is asked by its port.
            node.program.env["TMPDIR"] = ""
            await node.start()
            node.admin_port = admin_port
            self.real.append(node)
        for node in self.real:
            await node.wait_until_ready()

    async def _start_hollow(self, topology: Topology, dedicated: dict[int, list[str]]) -> None:
        fleet, count = self.fleet, len(self.hollow)
        hollow = fleet.followers[: len(fleet.places)]
        for place, child in enumerate(self.hollow):
            nodes = [
                HollowNodeJob(
                    follower.number,
                    follower.region,
                    f"z{fleet.places[follower.number].zone:02d}",
                    dedicated.get(follower.number) or topology.addresses(follower.region, follower.number),
                    [fleet.services[service] for service in follower.services],
                )
                for follower in hollow[place::count]
            ]
            opened_per_s = WATCHES_OPENED_PER_S / count
            job = HollowJob(str(child.records_path), fleet.seed, nodes, opened_per_s, self.timeline.plant)
            await child.start(job)
        for child in self.hollow:
            await child.wait_until_ready()

    # Timeline.

    async def _play_timeline(self) -> None:
        self.begin_us = now_us() + 500_000
        self.real_cpu_s = [-node.usage()[0] for node in self.real]
        self.relay_cpu_s = [-relay.figures()[0] for relay in self.relays]
        ports = [node.port for node in self.real]
        for child in [*self.hollow, self.source, self.played]:
            child.send_order(Order(begin_us=self.begin_us, ports=ports))
        for window in self.timeline.windows:
            await sleep_until(self.begin_us + window.from_us)
            where = f", region {window.region}" if window.region >= 0 else ""
            self.say(f"{window.from_us / 1e6:6.1f} s  {window.name}{where}")
            if window.name == RELAY_KILL_WINDOW and self.relays:
                self.relay_kill_task = asyncio.get_running_loop().create_task(self._kill_relay())
        await sleep_until(self.begin_us + int((self.options.seconds + self.options.settle) * 1e6))
        self.real_cpu_s = [
            used + node.usage()[0] for used, node in zip(self.real_cpu_s, self.real, strict=True)
        ]
        if self.relay_kill_task is not None:
            await self.relay_kill_task
        self.relay_cpu_s = [
            used + relay.figures()[0] for used, relay in zip(self.relay_cpu_s, self.relays, strict=True)
        ]

    async def _ask_admin_listeners(self) -> list[tuple[int, list[str], int]]:
        """For each real node: how many servers it holds, which it lacks, and how many the source has."""
        history = SourceHistory(self.initial_servers, self.timeline.changes, [0] * len(self.timeline.changes))
        answers = []
        for node in self.real:
            follower = self.fleet.followers[len(self.fleet.places) + node.number]
            expected = history.expected_servers(
                [self.fleet.services[service] for service in follower.services]
            )
            try:
                stats = json.loads((await _ask_admin(node, "stats")).split(b"\n")[0])
                unknown = [
                    server
                    for server in expected
                    if not (await _ask_admin(node, f"maint-on {server}")).startswith(b"OK")
                ]
            except (OSError, ValueError) as error:
                raise ExperimentError(f"{node.name}: its admin listener does not answer: {error!r}") from None
            answers.append((int(stats["known_servers"]), unknown, len(expected)))
        return answers

    # Verdict.

    def _check_records(self, admin_answers: list[tuple[int, list[str], int]]) -> dict[str, Any]:
        source = records.read(self.source.records_path, SourceRecords)
        played = records.read(self.played.records_path, PlayedRecords)
        history = SourceHistory(self.initial_servers, self.timeline.changes, source.made_us)
        partition = next(
            (
                Partition(window.region, self.begin_us + window.from_us, source.returned_us)
                for window in self.timeline.windows
                if window.name == "apart"
            ),
            None,
        )
        judge = Judge(history, partition, int(self.options.limit_ms * 1000))
        if len(source.made_us) != len(self.timeline.changes):
            made, planned = len(source.made_us), len(self.timeline.changes)
            judge.add_violation("source", f"the source made {made} of {planned} changes")
        for window in self.timeline.windows:
            # A fault that affects no watch tests nothing.
            if window.name in SOURCE_FAULTS and not source.struck.get(window.name):
                judge.add_violation("source", f"the fault {window.name} affected no watch")
        hollow = []
        for child in self.hollow:
            hollow_records = records.read(child.records_path, HollowRecords)
            hollow.append(hollow_records)
            for node in hollow_records.nodes:
                judge.check_node(node)
        if len([node for of_process in hollow for node in of_process.nodes]) != self.options.nodes:
            judge.add_violation("books", "not every hollow node has records")
        first = len(self.fleet.places)
        for real, (known, unknown, expected) in zip(self.real, admin_answers, strict=True):
            region = self.fleet.followers[first + real.number].region
            judge.check_real_node(real.number, region, known, unknown, expected)
        notifications = [
            records.NotificationRecord(
                sent.node - first, sent.at_us, sent.server, sent.address, sent.condition
            )
            for sent in source.told
        ]
        judge.check_drains(notifications, played.arrivals)
        if self.real and not played.served:
            judge.add_violation("load", "no inquiry of the real nodes was served")
        if self.real and "release" in self.options.injected_faults and not judge.drains_tested:
            judge.add_violation(
                "load", "no real node was notified of a drain or removal of a server that it was sending to"
            )
        summary = self._summary(judge.verdict(), source, played, hollow)
        path = self.options.out / "summary.json"
        path.write_text(json.dumps(summary, indent=1), encoding="utf-8")
        return summary

    def _summary(
        self, verdict: Verdict, source: SourceRecords, played: PlayedRecords, hollow: list[HollowRecords]
    ) -> dict[str, Any]:
        options = self.options
        duration_s = (self.stopped_us - self.begin_us) / 1e6
        followers = options.nodes + options.real
        hollow_cpu_s = sum(of_process.cpu_s for of_process in hollow)
        hollow_mb = sum(child.peak_mb for child in self.hollow)
        real_mb = [process_usage(node.process.pid)[1] for node in self.real if node.process is not None]
        return {
            "good": verdict.good,
            "topology": self.topology,
            "nodes": options.nodes,
            "real": options.real,
            "seconds": options.seconds,
            "seed": options.seed,
            "rate": options.rate,
            "plant": options.plant,
            "services": len(self.fleet.services),
            "zones": self.fleet.zones,
            "regions": self.fleet.regions,
            "changes": len(source.made_us),
            "hollow_processes": len(self.hollow),
            "cores": os.cpu_count(),
            # The machine's load average at the end. Above the number of cores, times include waits for a
            # core.
            "load_average": os.getloadavg()[0],
            "verdict": msgspec.to_builtins(verdict),
            "node": {
                "cpu_part": hollow_cpu_s / duration_s / options.nodes,
                # Relays do not count the bytes that they send to nodes.
                "bytes_per_s": None if self.relays else source.bytes / duration_s / followers,
                "mb": hollow_mb / options.nodes,
                "late_ms": max(of_process.late_us for of_process in hollow) / 1000,
                "watch_failures": sum(node.failures for of_process in hollow for node in of_process.nodes),
            },
            "source": {
                "cpu_part": source.cpu_s / duration_s,
                "bytes_per_s": source.bytes / duration_s,
                "mb": self.source.peak_mb,
                "late_ms": source.late_us / 1000,
                "watches": source.watches,
                "wholes": source.wholes,
            },
            # The processor time of the relays that were not killed; memory of all.
            "relays": {
                "count": len(self.relays),
                "killed": int(self.relay_kill_task is not None),
                "cpu_part": [
                    round(used / duration_s, 5) for used in self.relay_cpu_s[bool(self.relay_kill_task) :]
                ],
                "mb": [round(relay.figures()[1], 1) for relay in self.relays],
            },
            "real_nodes": {
                # Notifications of drains and removals to real nodes, and requests at servers: the check of
                # drains compares them.
                "told_closed": sum(sent.condition != "Ready" for sent in source.told),
                "drains_tested": verdict.drains_tested,
                "arrivals": len(played.arrivals),
                "asked": played.asked,
                "served": played.served,
                "cpu_part": sum(self.real_cpu_s) / duration_s / max(1, len(self.real)),
                "mb": max(real_mb, default=0.0),
            },
            "processes_mb": {
                child.name: round(child.peak_mb, 1) for child in [self.source, self.played, *self.hollow]
            },
        }


def format_summary(summary: dict[str, Any]) -> str:
    """The summary as lines of text."""
    verdict, node, source, real = (summary[key] for key in ("verdict", "node", "source", "real_nodes"))
    lines = [
        f"{summary['nodes']} hollow nodes, {summary['real']} real, {summary['services']} services, "
        f"{summary['zones']} zones, {summary['regions']} regions, {summary['changes']} changes, "
        f"{summary['topology']}; {summary['hollow_processes']} hollow processes, "
        f"load average {summary['load_average']:.1f} on {summary['cores']} cores",
        f"  {'in force, ms':36} {'count':>9} {'p50':>9} {'p99':>9} {'worst':>9}",
    ]
    for label, spread in verdict["in_force"].items():
        times = " ".join(f"{spread[key]:9.1f}" for key in ("p50", "p99", "worst"))
        lines.append(f"  {label:36} {spread['count']:9d} {times}")
    lines += [
        f"  worst: {verdict['worst']}",
        f"  never in force: {verdict['never']} of {verdict['pairs']}, at {verdict['nodes_without']} nodes",
        f"  a node: {node['cpu_part']:.3%} of a core, "
        + ("" if node["bytes_per_s"] is None else f"{node['bytes_per_s']:.0f} B/s, ")
        + f"{node['mb']:.2f} MB, "
        f"event loops late by up to {node['late_ms']:.0f} ms, {node['watch_failures']} watches failed",
        f"  source: {source['cpu_part']:.1%} of a core, {source['bytes_per_s'] / 1000:.1f} kB/s, "
        f"{source['mb']:.0f} MB, late by {source['late_ms']:.0f} ms, {source['watches']} new watches, "
        f"{source['wholes']} of them got the full list",
        f"  real nodes: {real['served']} of {real['asked']} inquiries served, "
        f"{real['told_closed']} notifications of drains and removals, "
        f"{real['drains_tested']} of them for servers recently sent to, "
        f"{real['cpu_part']:.2%} of a core each, {real['mb']:.0f} MB",
    ]
    relays = summary["relays"]
    if relays["count"]:
        used, held = relays["cpu_part"], relays["mb"]
        lines.append(
            f"  {relays['count']} relays, {relays['killed']} killed: {sum(used) / max(1, len(used)):.2%} of "
            f"a core each, {max(used, default=0):.2%} at most, {max(held):.0f} MB at most"
        )
    lines += [f"FAULT {kind}: {text}" for kind, text in verdict["faults"]]
    counts = ", ".join(f"{kind} {count}" for kind, count in verdict["counts"].items())
    lines.append("verdict: good" if summary["good"] else f"verdict: NOT GOOD ({counts})")
    return "\n".join(lines)


async def play(options: Options, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    """Check the options, play the run and return its summary.

    Raises ExperimentError if an option is out of bounds or the run can't be played.
    """
    options.check(*memory_mb(), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    options.out.mkdir(parents=True, exist_ok=True)
    return await Run(options, say).play()
