"""One run of an experiment: starts servers, lists, nodes and callers, runs the timeline, collects records.

A run ends all that it started, also when it is interrupted; the records made until then are kept.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coraldeal.rig.child import zone_and_group
from coraldeal.rig.clock import now_us, own_cpu_s, sleep_until
from coraldeal.rig.experiment import Experiment, ExperimentError, Variant
from coraldeal.rig.jobs import (
    Begin,
    CallersJob,
    ChildMessage,
    Failed,
    Nodes,
    ParentMessage,
    Progress,
    Ready,
    ServersJob,
    Stop,
)
from coraldeal.rig.listing import ListedServer, Listing, notification_records
from coraldeal.rig.nodes import ROOT, NodeProcess, Program, prepare_program
from coraldeal.rig.records import LatenessRecord, Records, read_records
from coraldeal.rig.rules import NodeEvent
from coraldeal.rig.timeline import Step, make_steps, node_names, server_names

# Microseconds between the time when everything is ready and the start of the load.
START_DELAY_US = 300_000
# Seconds that a child process may take to start, and to end.
CHILD_TIMEOUT_S = 30.0
# Seconds between samples of the nodes, and between calls to an admin listener.
SAMPLE_INTERVAL_S = 0.5
ADMIN_CALL_INTERVAL_S = 0.05


@dataclass(slots=True)
class NodeUsage:
    """CPU seconds, memory samples in MiB, starts and crashes of a node while the load ran."""

    cpu_s: float = 0.0
    rss_mb: list[float] = field(default_factory=list)
    starts: int = 0
    # Ends of a process that the rig did not cause.
    crashes: int = 0


@dataclass(slots=True)
class AdminCalls:
    """Durations and failures of `stats` calls to the admin listeners, and the number of upgrades."""

    # Duration of each call in microseconds, calls without a valid answer, and successful upgrades.
    durations_us: list[int] = field(default_factory=list)
    failures: int = 0
    upgrades: int = 0


@dataclass(slots=True)
class RunResult:
    """The records and measurements of one run."""

    experiment: Experiment
    variant: Variant
    seed: int
    start_us: int
    end_us: int
    records: Records
    node_events: list[NodeEvent]
    nodes: dict[str, NodeUsage]
    steps: list[Step]
    # Whether the run ended as planned; false: it was interrupted.
    is_complete: bool = True
    # CPU seconds of each process of the rig.
    rig_cpu: dict[str, float] = field(default_factory=dict)
    # Fraction of the machine's busy time that its host gave to other guests; 0 if it is not reported.
    stolen_fraction: float = 0.0
    admin_calls: AdminCalls = field(default_factory=AdminCalls)


class _ChildHandle:
    """A child process of the rig, seen from the parent: sends messages to it and reads its messages."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, records_path: Path) -> None:
        self.name = name
        self.process = process
        self.records_path = records_path
        self.ready: asyncio.Future[Ready] = asyncio.get_running_loop().create_future()
        # Set once the child has written its records, or has ended.
        self.records_written = asyncio.Event()
        self.latest = Progress()
        self.reader = asyncio.create_task(self._read())

    def send(self, message: ParentMessage | ServersJob | CallersJob) -> None:
        """Write a message to the child; it is dropped if the child has ended."""
        assert self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def _read(self) -> None:
        assert self.process.stdout is not None
        reason = "ended before it was ready, without a message"
        while line := await self.process.stdout.readline():
            message: ChildMessage = msgspec.json.decode(line, type=ChildMessage)
            if isinstance(message, Ready) and not self.ready.done():
                self.ready.set_result(message)
            elif isinstance(message, Progress):
                self.latest = message
                if message.counts.get("written"):
                    self.records_written.set()
            elif isinstance(message, Failed):
                reason = message.why
        self.records_written.set()
        if not self.ready.done():
            self.ready.set_exception(ExperimentError(f"{self.name}: {reason}"))

    async def end(self) -> None:
        """Send Stop, on which the child writes its records and ends; a child that does not end is killed."""
        self.send(Stop())
        try:
            await asyncio.wait_for(self.process.wait(), CHILD_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.reader.cancel()


class Run:
    """One run of one variant: its processes and lists, and their measurements."""

    def __init__(
        self,
        experiment: Experiment,
        variant: Variant,
        seed: int,
        folder: Path,
        on_progress: Callable[[Run], None] | None = None,
        program: Program | None = None,
    ) -> None:
        self.experiment = experiment
        # The program of the nodes; None: that of the variant.
        self.program = program
        self.variant = variant
        self.seed = seed
        self.folder = folder
        self.on_progress = on_progress
        self.steps = make_steps(experiment, seed)
        self.records = Records(process="run")
        self.children: list[_ChildHandle] = []
        self.listings: list[Listing] = []
        self.nodes: list[NodeProcess] = []
        self.node_events: list[NodeEvent] = []
        self.node_usage: dict[str, NodeUsage] = {}
        self.admin_calls = AdminCalls()
        self.tasks: list[asyncio.Task[None]] = []
        self.start_us = 0
        self.end_us = 0
        self.stop = asyncio.Event()

    async def execute(self) -> RunResult:
        """Execute the run and return its result, which is partial if the run is interrupted.

        Raises ExperimentError if a process can't be started or does not become ready.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        program = self.program or prepare_program(self.variant, self.folder)
        try:
            ports = await self._start_servers()
            await self._start_lists(ports)
            if self.experiment.load.target == "nodes":
                await self._start_nodes(program)
            callers = await self._start_callers(ports)
            self.start_us = now_us() + START_DELAY_US
            self.end_us = self.start_us + int(self.experiment.seconds * 1e6)
            for child in self.children:
                child.send(Begin(self.start_us, self.end_us))
            cpu_before_s, ticks_before = own_cpu_s(), _machine_ticks()
            for node in self.nodes:
                node.cpu_before = node.usage()[0]
            self.tasks += [
                asyncio.create_task(self._run_timeline()),
                asyncio.create_task(self._sample_nodes()),
            ]
            if self.experiment.world.doors:
                self.tasks += [asyncio.create_task(self._poll_admin(node)) for node in self._admin_nodes()]
            records_written = asyncio.create_task(self._wait_for_records(callers))
            stopped = asyncio.create_task(self.stop.wait())
            await asyncio.wait([records_written, stopped], return_when=asyncio.FIRST_COMPLETED)
            is_complete = records_written.done()
            if not is_complete:
                self.end_us = min(self.end_us, now_us())
            records_written.cancel()
            stopped.cancel()
            for node in self.nodes:
                self._add_cpu_time(node)
        finally:
            await self._shut_down()
        result = self._collect_result(is_complete, own_cpu_s() - cpu_before_s)
        busy, stolen = (now - before for now, before in zip(_machine_ticks(), ticks_before, strict=True))
        result.stolen_fraction = stolen / (busy + stolen) if busy + stolen else 0.0
        return result

    # Start.

    async def _start_child(self, kind: str, name: str) -> _ChildHandle:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "coraldeal.rig.child",
            kind,
            # Not read by the child: it shows in a list of processes which run the child belongs to.
            str(self.folder),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            limit=1 << 26,
            # Ctrl-C at a terminal reaches the whole process group, but the run itself ends its children.
            start_new_session=True,
        )
        child = _ChildHandle(name, process, self.folder / f"{name}.book")
        self.children.append(child)
        return child

    async def _start_servers(self) -> dict[str, dict[str, int]]:
        """Start the server processes; returns the port of each server for each zone of origin."""
        experiment = self.experiment
        count = experiment.world.server_processes
        for number in range(count):
            indices = [
                [index for index in range(tier.servers) if (index // tier.group) % count == number]
                for tier in experiment.world.tiers
            ]
            child = await self._start_child("servers", f"servers-{number}")
            job = ServersJob(child.name, str(child.records_path), experiment, self.seed, indices, self.steps)
            child.send(job)
        ports: dict[str, dict[str, int]] = {}
        for child in self.children:
            ports.update((await asyncio.wait_for(child.ready, CHILD_TIMEOUT_S)).ports)
        return ports

    async def _start_lists(self, ports: dict[str, dict[str, int]]) -> None:
        experiment = self.experiment
        for layer, names in enumerate(server_names(experiment)):
            listing = Listing(layer, self.records, int(experiment.world.list_delay_ms * 1000))
            for index, name in enumerate(names):
                zone, group = zone_and_group(experiment, layer, index)
                listing.add(ListedServer(name, zone, group, ports[name]))
            self.listings.append(listing)

    async def _start_nodes(self, program: Program) -> None:
        """Start the nodes before the first tier, and one node for each server that calls a next tier."""
        experiment = self.experiment
        zones = experiment.world.zones
        names = server_names(experiment)
        # Each node with its number of instances and its index among them.
        added: list[tuple[NodeProcess, int, int]] = []
        for index, name in enumerate(node_names(experiment)):
            zone = zones[index % len(zones)]
            first = experiment.world.first_port
            port = _check_port(first + index) if first else free_port()
            added.append((self._add_node(name, index, 0, zone, port, program), experiment.world.nodes, index))
        callers: dict[str, tuple[int, int]] = {}
        for layer in range(1, len(names)):
            for server_index, server in enumerate(names[layer - 1]):
                zone, _ = zone_and_group(experiment, layer - 1, server_index)
                node = self._add_node(f"node-of-{server}", server_index, layer, zone, free_port(), program)
                added.append((node, len(names[layer - 1]), server_index))
                callers[server] = (server_index, node.port)
        for node, instances, index in added:
            listing = self.listings[node.layer]
            list_port = await listing.open(node.number, node.zone)
            node.configure(experiment, self.variant, listing, list_port, instances, index, self.seed)
            if experiment.world.doors and node.layer == 0:
                node.admin_port = free_port()
            await node.start()
        for node, _, _ in added:
            try:
                await node.wait_until_ready()
            except TimeoutError:
                raise ExperimentError(f"{node.name} was not ready in time: {node.last_log_line()}") from None
        if callers:
            for child in self.children:
                child.send(Nodes(callers))

    def _add_node(
        self, name: str, number: int, layer: int, zone: str, port: int, program: Program
    ) -> NodeProcess:
        node = NodeProcess(name, number, layer, zone, port, self.folder, program)
        self.nodes.append(node)
        self.node_usage[name] = NodeUsage()
        return node

    async def _start_callers(self, ports: dict[str, dict[str, int]]) -> list[_ChildHandle]:
        experiment = self.experiment
        to_nodes = experiment.load.target == "nodes"
        if to_nodes:
            targets = [(node.number, node.zone, node.port) for node in self.nodes if node.layer == 0]
        else:
            targets = []
            for index, name in enumerate(server_names(experiment)[0]):
                zone, _ = zone_and_group(experiment, 0, index)
                targets.append((index, zone, ports[name][zone]))
        callers = []
        for number in range(experiment.load.processes):
            child = await self._start_child("callers", f"callers-{number}")
            job = CallersJob(
                child.name, str(child.records_path), experiment, self.seed, number, targets, to_nodes
            )
            child.send(job)
            callers.append(child)
        for child in callers:
            await asyncio.wait_for(child.ready, CHILD_TIMEOUT_S)
        return callers

    async def _wait_for_records(self, callers: list[_ChildHandle]) -> None:
        for child in callers:
            await child.records_written.wait()

    # During the load.

    async def _run_timeline(self) -> None:
        """Apply the steps for nodes and lists, and publish the changes of servers in their list."""
        layers = {name: layer for layer, names in enumerate(server_names(self.experiment)) for name in names}
        for step in self.steps:
            await sleep_until(self.start_us + step.at_us)
            if step.target in layers:
                listing = self.listings[layers[step.target]]
                if step.action == "kill":
                    listing.change(step.target, "Gone")
                elif step.action == "drain":
                    listing.change(step.target, "Terminating")
                elif step.action == "start":
                    listing.change(step.target, "Ready", restarted=not step.warm)
                # The node through which a server calls the next tier dies and starts with the server.
                own_node = next((n for n in self.nodes if n.name == f"node-of-{step.target}"), None)
                if own_node is not None and step.action in ("kill", "start"):
                    self._create_task(
                        self._apply_node_step(
                            own_node, "node_kill" if step.action == "kill" else "node_start"
                        )
                    )
            elif step.action.startswith("list_"):
                for listing in self.listings:
                    if step.action == "list_late":
                        listing.extra_delay_us = int(step.by * 1e6)
                    elif step.action == "list_up":
                        listing.extra_delay_us = 0
                        listing.set_down(False)
                        listing.set_wrong(False)
                    elif step.action == "list_down":
                        listing.set_down(True)
                    else:
                        listing.set_wrong(True)
            else:
                node = next(node for node in self.nodes if node.name == step.target)
                self._create_task(self._apply_node_step(node, step.action))

    def _create_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def _apply_node_step(self, node: NodeProcess, action: str) -> None:
        if action == "node_start":
            if node.process is not None and node.process.returncode is None:
                # The process was asked to end but still serves: the platform then kills it.
                self._add_cpu_time(node)
                self._add_event(node, "node_kill")
                await node.end()
            listing = self.listings[node.layer]
            node.config["known"] = known = listing.full_list(node.zone)
            node.path.write_bytes(msgspec.json.encode(node.config))
            # The list in its configuration counts as the first notification of the process.
            self.records.told += notification_records(node.number, node.layer, known)
            await node.start()
            with contextlib.suppress(ExperimentError, TimeoutError):
                await node.wait_until_ready()
                self._add_event(node, "ready")
            return
        if action == "node_upgrade":
            max_deadline_s = max(spec.patience_ms for spec in self.experiment.load.tracks) / 1000
            with contextlib.suppress(ExperimentError, TimeoutError):
                await node.upgrade(free_port(), max_deadline_s)
                self.admin_calls.upgrades += 1
            return
        if action == "node_hup" and not node.is_reloadable():
            return
        self._add_event(node, action)
        if action == "node_kill":
            self._add_cpu_time(node)
            await node.end()
        elif action == "node_term":
            node.expected_end = True
            node.send_signal(signal.SIGTERM)
        elif action == "node_hup":
            # The new configuration names another address of the list.
            port = await self.listings[node.layer].move(node.number, node.zone)
            node.config["discovery"] = f"127.0.0.1:{port}"
            node.path.write_bytes(msgspec.json.encode(node.config))
            node.send_signal(signal.SIGHUP)

    def _admin_nodes(self) -> list[NodeProcess]:
        return [node for node in self.nodes if node.layer == 0]

    async def _poll_admin(self, node: NodeProcess) -> None:
        """Call `stats` on the node's admin listener repeatedly while the load runs."""
        while True:
            started_us = now_us()
            answer = b""
            with contextlib.suppress(OSError, TimeoutError):
                answer = await node.call_admin(b"stats")
            self.admin_calls.durations_us.append(now_us() - started_us)
            self.admin_calls.failures += not answer.endswith(b"}\nEND\n")
            await asyncio.sleep(ADMIN_CALL_INTERVAL_S)

    def _add_event(self, node: NodeProcess, event: str) -> None:
        self.node_events.append(NodeEvent(node.layer, node.number, now_us(), event))

    def _add_cpu_time(self, node: NodeProcess) -> None:
        """Add the CPU time that the node's process has used since the last call; called before it ends."""
        cpu_s, _ = node.usage()
        node_usage = self.node_usage[node.name]
        node_usage.cpu_s += max(0.0, cpu_s - node.cpu_before)
        node.cpu_before = cpu_s
        node_usage.starts = node.starts

    async def _sample_nodes(self) -> None:
        """Periodically sample the nodes' memory, count crashes, record lateness, and report progress."""
        while True:
            expected_us = now_us() + int(SAMPLE_INTERVAL_S * 1e6)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_us = now_us() - expected_us
            if late_us > 20_000:
                self.records.late.append(LatenessRecord("run", now_us(), late_us))
            for node in self.nodes:
                if node.process is not None and node.process.returncode is not None:
                    if not node.expected_end:
                        node.expected_end = True
                        self.node_usage[node.name].crashes += 1
                        self._add_event(node, "crashed")
                    node.cpu_before = 0.0
                    continue
                _, rss_mb = node.usage()
                self.node_usage[node.name].rss_mb.append(rss_mb)
            if self.on_progress is not None:
                self.on_progress(self)

    # End.

    async def _shut_down(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        # Callers end first, so that nodes and servers still answer their open requests.
        for child in reversed(self.children):
            await child.end()
        for node in self.nodes:
            await node.end()
        for listing in self.listings:
            await listing.close()

    def _collect_result(self, is_complete: bool, cpu_s: float) -> RunResult:
        """Merge the records of all child processes into the result."""
        rig_cpu = {"run": cpu_s}
        for child in self.children:
            with contextlib.suppress(OSError, msgspec.DecodeError):
                child_records = read_records(child.records_path)
                rig_cpu[child.name] = child_records.cpu_s
                self.records.merge(child_records)
                child.records_path.unlink()
        for node in self.nodes:
            self.node_usage[node.name].starts = node.starts
        return RunResult(
            self.experiment,
            self.variant,
            self.seed,
            self.start_us,
            self.end_us,
            self.records,
            self.node_events,
            self.node_usage,
            self.steps,
            is_complete,
            rig_cpu,
            admin_calls=self.admin_calls,
        )


def _machine_ticks() -> tuple[int, int]:
    """Return the ticks that the machine was busy, and those that its host gave to other guests (steal time).

    Zeros if /proc/stat can't be read.
    """
    try:
        words = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    except OSError:
        return 0, 0
    ticks = [int(word) for word in words]
    return sum(ticks[column] for column in (0, 1, 2, 5, 6)), ticks[7] if len(ticks) > 7 else 0


def _check_port(port: int) -> int:
    """Return the port; raises ExperimentError if it can't be bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError as error:
            raise ExperimentError(f"world.first_port: port {port} can't be bound: {error.strerror}") from None
    return port


# Ports of nodes: below the range from which the system assigns ports to connections and for port 0.
NODE_PORTS = range(12_000, 32_000)
# Starts at another place in each process, so that runs beside each other rarely try the same port.
_port_counter = itertools.count(os.getpid() * 97 + time.monotonic_ns() // 1000)


def free_port() -> int:
    """Return a port that no process listens on; raises ExperimentError if there is none.

    A port is returned again only after all others of the range.
    """
    for _ in NODE_PORTS:
        port = NODE_PORTS[next(_port_counter) % len(NODE_PORTS)]
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise ExperimentError("no free port for a node")
