"""One run of an experiment: starts servers, lists, nodes and callers, plays the timeline, gathers the books.

Whatever it started it ends, also when it is interrupted; what was measured until then is kept.
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

from coraldeal.rig.child import place_of
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
from coraldeal.rig.nodes import ROOT, NodeProcess, Program, program_of
from coraldeal.rig.records import LatenessRecord, Records, read_records
from coraldeal.rig.rules import NodeEvent
from coraldeal.rig.timeline import Step, node_names, server_names, steps_of

# Between the last part being ready and the first arrival.
LEAD_US = 300_000
CHILD_WAIT = 30.0
MEMORY_EVERY = 0.5
DOOR_EVERY = 0.05


@dataclass(slots=True)
class NodeFigures:
    """What a node's processes used while the load ran."""

    cpu_s: float = 0.0
    rss_mb: list[float] = field(default_factory=list)
    starts: int = 0
    # Ends that nobody asked for.
    crashes: int = 0


@dataclass(slots=True)
class Doors:
    """What the operators' doors were asked and how soon they answered."""

    # Microseconds of each call for figures, those with no good answer, and upgrades that went through.
    took_us: list[int] = field(default_factory=list)
    bad: int = 0
    upgrades: int = 0


@dataclass(slots=True)
class Played:
    """A run as it went."""

    experiment: Experiment
    variant: Variant
    seed: int
    start_us: int
    end_us: int
    book: Records
    marks: list[NodeEvent]
    nodes: dict[str, NodeFigures]
    steps: list[Step]
    whole: bool = True
    # CPU seconds of each process of the rig.
    rig_cpu: dict[str, float] = field(default_factory=dict)
    # The part of the machine's busy time that its host gave to others; 0 where it does not say.
    stolen: float = 0.0
    doors: Doors = field(default_factory=Doors)


class _Process:
    """A child of the rig and its lines."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, book: Path) -> None:
        self.name = name
        self.process = process
        self.book = book
        self.ready: asyncio.Future[Ready] = asyncio.get_running_loop().create_future()
        self.written = asyncio.Event()
        self.latest = Progress()
        self.reader = asyncio.create_task(self._read())

    def tell(self, order: ParentMessage | ServersJob | CallersJob) -> None:
        assert self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    async def _read(self) -> None:
        assert self.process.stdout is not None
        why = "ended without a word"
        while line := await self.process.stdout.readline():
            told: ChildMessage = msgspec.json.decode(line, type=ChildMessage)
            if isinstance(told, Ready) and not self.ready.done():
                self.ready.set_result(told)
            elif isinstance(told, Progress):
                self.latest = told
                if told.counts.get("written"):
                    self.written.set()
            elif isinstance(told, Failed):
                why = told.why
        self.written.set()
        if not self.ready.done():
            self.ready.set_exception(ExperimentError(f"{self.name}: {why}"))

    async def end(self) -> None:
        """It writes its book on Stop; one that does not end then is killed."""
        self.tell(Stop())
        try:
            await asyncio.wait_for(self.process.wait(), CHILD_WAIT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.reader.cancel()


class Run:
    """Everything of one run, from its start to its end."""

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
        # What nodes are started with; None: what the variant says.
        self.program = program
        self.variant = variant
        self.seed = seed
        self.folder = folder
        self.on_progress = on_progress
        self.steps = steps_of(experiment, seed)
        self.book = Records(process="run")
        self.children: list[_Process] = []
        self.listings: list[Listing] = []
        self.nodes: list[NodeProcess] = []
        self.marks: list[NodeEvent] = []
        self.figures: dict[str, NodeFigures] = {}
        self.doors = Doors()
        self.tasks: list[asyncio.Task[None]] = []
        self.start_us = 0
        self.end_us = 0
        self.stop = asyncio.Event()

    async def play(self) -> Played:
        """The whole run. Raises ExperimentError where it can't begin; interrupted, it keeps what there is."""
        self.folder.mkdir(parents=True, exist_ok=True)
        program = self.program or program_of(self.variant, self.folder)
        try:
            ports = await self._start_servers()
            await self._start_lists(ports)
            if self.experiment.load.target == "nodes":
                await self._start_nodes(program)
            callers = await self._start_callers(ports)
            self.start_us = now_us() + LEAD_US
            self.end_us = self.start_us + int(self.experiment.seconds * 1e6)
            for child in self.children:
                child.tell(Begin(self.start_us, self.end_us))
            before, machine = own_cpu_s(), _machine_ticks()
            for node in self.nodes:
                node.cpu_before = node.figures()[0]
            self.tasks += [
                asyncio.create_task(self._timeline()),
                asyncio.create_task(self._watch()),
            ]
            if self.experiment.world.doors:
                self.tasks += [asyncio.create_task(self._ask_door(node)) for node in self._with_doors()]
            written = asyncio.create_task(self._all_written(callers))
            stopped = asyncio.create_task(self.stop.wait())
            await asyncio.wait([written, stopped], return_when=asyncio.FIRST_COMPLETED)
            whole = written.done()
            if not whole:
                self.end_us = min(self.end_us, now_us())
            written.cancel()
            stopped.cancel()
            for node in self.nodes:
                self._count(node)
        finally:
            await self._end()
        played = self._gathered(whole, own_cpu_s() - before)
        busy, stolen = (now - then for now, then in zip(_machine_ticks(), machine, strict=True))
        played.stolen = stolen / (busy + stolen) if busy + stolen else 0.0
        return played

    # The parts.

    async def _child(self, kind: str, name: str) -> _Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "coraldeal.rig.child",
            kind,
            # Not read: it tells on a list of processes which run this one belongs to.
            str(self.folder),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            limit=1 << 26,
            # Ctrl-C at a terminal reaches the whole group: the children are told by the run.
            start_new_session=True,
        )
        child = _Process(name, process, self.folder / f"{name}.book")
        self.children.append(child)
        return child

    async def _start_servers(self) -> dict[str, dict[str, int]]:
        """The ports of each server by zone of origin."""
        experiment = self.experiment
        count = experiment.world.server_processes
        for number in range(count):
            places = [
                [place for place in range(tier.servers) if (place // tier.group) % count == number]
                for tier in experiment.world.tiers
            ]
            child = await self._child("servers", f"servers-{number}")
            job = ServersJob(child.name, str(child.book), experiment, self.seed, places, self.steps)
            child.tell(job)
        ports: dict[str, dict[str, int]] = {}
        for child in self.children:
            ports.update((await asyncio.wait_for(child.ready, CHILD_WAIT)).ports)
        return ports

    async def _start_lists(self, ports: dict[str, dict[str, int]]) -> None:
        experiment = self.experiment
        for layer, names in enumerate(server_names(experiment)):
            listing = Listing(layer, self.book, int(experiment.world.list_delay_ms * 1000))
            for place, name in enumerate(names):
                zone, group = place_of(experiment, layer, place)
                listing.add(ListedServer(name, zone, group, ports[name]))
            self.listings.append(listing)

    async def _start_nodes(self, program: Program) -> None:
        """Those before the first tier, and one for each server that calls a tier behind it."""
        experiment = self.experiment
        zones = experiment.world.zones
        names = server_names(experiment)
        made: list[tuple[NodeProcess, int, int]] = []
        for index, name in enumerate(node_names(experiment)):
            zone = zones[index % len(zones)]
            first = experiment.world.first_port
            port = _wanted_port(first + index) if first else free_port()
            made.append((self._node(name, index, 0, zone, port, program), experiment.world.nodes, index))
        callers: dict[str, tuple[int, int]] = {}
        for layer in range(1, len(names)):
            for place, server in enumerate(names[layer - 1]):
                zone, _ = place_of(experiment, layer - 1, place)
                node = self._node(f"node-of-{server}", place, layer, zone, free_port(), program)
                made.append((node, len(names[layer - 1]), place))
                callers[server] = (place, node.port)
        for node, instances, index in made:
            listing = self.listings[node.layer]
            list_port = await listing.open(node.number, node.zone)
            node.configure(experiment, self.variant, listing, list_port, instances, index, self.seed)
            if experiment.world.doors and node.layer == 0:
                node.door = free_port()
            await node.start()
        for node, _, _ in made:
            try:
                await node.until_ready()
            except TimeoutError:
                raise ExperimentError(f"{node.name} was not ready in time: {node.last_words()}") from None
        if callers:
            for child in self.children:
                child.tell(Nodes(callers))

    def _node(
        self, name: str, number: int, layer: int, zone: str, port: int, program: Program
    ) -> NodeProcess:
        node = NodeProcess(name, number, layer, zone, port, self.folder, program)
        self.nodes.append(node)
        self.figures[name] = NodeFigures()
        return node

    async def _start_callers(self, ports: dict[str, dict[str, int]]) -> list[_Process]:
        experiment = self.experiment
        to_nodes = experiment.load.target == "nodes"
        if to_nodes:
            targets = [(node.number, node.zone, node.port) for node in self.nodes if node.layer == 0]
        else:
            targets = []
            for place, name in enumerate(server_names(experiment)[0]):
                zone, _ = place_of(experiment, 0, place)
                targets.append((place, zone, ports[name][zone]))
        callers = []
        for number in range(experiment.load.processes):
            child = await self._child("callers", f"callers-{number}")
            job = CallersJob(child.name, str(child.book), experiment, self.seed, number, targets, to_nodes)
            child.tell(job)
            callers.append(child)
        for child in callers:
            await asyncio.wait_for(child.ready, CHILD_WAIT)
        return callers

    async def _all_written(self, callers: list[_Process]) -> None:
        for child in callers:
            await child.written.wait()

    # While it plays.

    async def _timeline(self) -> None:
        """What happens to nodes and lists, and what the list tells of servers."""
        layers = {name: layer for layer, names in enumerate(server_names(self.experiment)) for name in names}
        for step in self.steps:
            await sleep_until(self.start_us + step.at_us)
            if step.who in layers:
                listing = self.listings[layers[step.who]]
                if step.what == "kill":
                    listing.change(step.who, "Gone")
                elif step.what == "drain":
                    listing.change(step.who, "Terminating")
                elif step.what == "start":
                    listing.change(step.who, "Ready", restarted=not step.warm)
                # A server that calls through a node of its own dies with it.
                own = next((n for n in self.nodes if n.name == f"node-of-{step.who}"), None)
                if own is not None and step.what in ("kill", "start"):
                    self._keep(self._node_step(own, "node_kill" if step.what == "kill" else "node_start"))
            elif step.what.startswith("list_"):
                for listing in self.listings:
                    if step.what == "list_late":
                        listing.extra_delay_us = int(step.by * 1e6)
                    elif step.what == "list_up":
                        listing.extra_delay_us = 0
                        listing.set_down(False)
                        listing.set_wrong(False)
                    elif step.what == "list_down":
                        listing.set_down(True)
                    else:
                        listing.set_wrong(True)
            else:
                node = next(node for node in self.nodes if node.name == step.who)
                self._keep(self._node_step(node, step.what))

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def _node_step(self, node: NodeProcess, what: str) -> None:
        if what == "node_start":
            if node.process is not None and node.process.returncode is None:
                # Told to end and still serving: the platform waits for it no longer.
                self._count(node)
                self._mark(node, "node_kill")
                await node.end()
            listing = self.listings[node.layer]
            node.config["known"] = known = listing.full_list(node.zone)
            node.path.write_bytes(msgspec.json.encode(node.config))
            # A process has been told what its configuration holds.
            self.book.told += notification_records(node.number, node.layer, known)
            await node.start()
            with contextlib.suppress(ExperimentError, TimeoutError):
                await node.until_ready()
                self._mark(node, "ready")
            return
        if what == "node_upgrade":
            longest = max(track.patience_ms for track in self.experiment.load.tracks) / 1000
            with contextlib.suppress(ExperimentError, TimeoutError):
                await node.upgrade(free_port(), longest)
                self.doors.upgrades += 1
            return
        if what == "node_hup" and not node.may_be_reloaded():
            return
        self._mark(node, what)
        if what == "node_kill":
            self._count(node)
            await node.end()
        elif what == "node_term":
            node.expected_end = True
            node.send(signal.SIGTERM)
        elif what == "node_hup":
            # A new file, which names another address of the list.
            port = await self.listings[node.layer].move(node.number, node.zone)
            node.config["discovery"] = f"127.0.0.1:{port}"
            node.path.write_bytes(msgspec.json.encode(node.config))
            node.send(signal.SIGHUP)

    def _with_doors(self) -> list[NodeProcess]:
        return [node for node in self.nodes if node.layer == 0]

    async def _ask_door(self, node: NodeProcess) -> None:
        """Figures, over and over, while the load runs."""
        while True:
            began = now_us()
            answer = b""
            with contextlib.suppress(OSError, TimeoutError):
                answer = await node.ask_door(b"stats")
            self.doors.took_us.append(now_us() - began)
            self.doors.bad += not answer.endswith(b"}\nEND\n")
            await asyncio.sleep(DOOR_EVERY)

    def _mark(self, node: NodeProcess, what: str) -> None:
        self.marks.append(NodeEvent(node.layer, node.number, now_us(), what))

    def _count(self, node: NodeProcess) -> None:
        """What a process used, before it is gone."""
        used, _ = node.figures()
        figures = self.figures[node.name]
        figures.cpu_s += max(0.0, used - node.cpu_before)
        node.cpu_before = used
        figures.starts = node.starts

    async def _watch(self) -> None:
        """Memory and CPU of the nodes, crashes, lateness of this process, and the view."""
        while True:
            due = now_us() + int(MEMORY_EVERY * 1e6)
            await asyncio.sleep(MEMORY_EVERY)
            late = now_us() - due
            if late > 20_000:
                self.book.late.append(LatenessRecord("run", now_us(), late))
            for node in self.nodes:
                if node.process is not None and node.process.returncode is not None:
                    if not node.expected_end:
                        node.expected_end = True
                        self.figures[node.name].crashes += 1
                        self._mark(node, "crashed")
                    node.cpu_before = 0.0
                    continue
                _, rss = node.figures()
                self.figures[node.name].rss_mb.append(rss)
            if self.on_progress is not None:
                self.on_progress(self)

    # The end.

    async def _end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        # Callers first: what they wait for is still served.
        for child in reversed(self.children):
            await child.end()
        for node in self.nodes:
            await node.end()
        for listing in self.listings:
            await listing.close()

    def _gathered(self, whole: bool, cpu_s: float) -> Played:
        rig_cpu = {"run": cpu_s}
        for child in self.children:
            with contextlib.suppress(OSError, msgspec.DecodeError):
                book = read_records(child.book)
                rig_cpu[child.name] = book.cpu_s
                self.book.merge(book)
                child.book.unlink()
        for node in self.nodes:
            self.figures[node.name].starts = node.starts
        return Played(
            self.experiment,
            self.variant,
            self.seed,
            self.start_us,
            self.end_us,
            self.book,
            self.marks,
            self.figures,
            self.steps,
            whole,
            rig_cpu,
            doors=self.doors,
        )


def _machine_ticks() -> tuple[int, int]:
    """Ticks that the whole machine was busy, and those that its host gave to others."""
    try:
        words = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    except OSError:
        return 0, 0
    ticks = [int(word) for word in words]
    return sum(ticks[place] for place in (0, 1, 2, 5, 6)), ticks[7] if len(ticks) > 7 else 0


def _wanted_port(port: int) -> int:
    """This one; raises ExperimentError where another has it."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError as error:
            raise ExperimentError(f"world.first_port: port {port} can't be had: {error.strerror}") from None
    return port


# Ports that nodes are given: below those that the system deals out for connections and for port 0.
NODE_PORTS = range(12_000, 32_000)
_given = itertools.count(os.getpid() * 97 + time.monotonic_ns() // 1000)


def free_port() -> int:
    """One that nobody listens on; each is given once in a long while. Raises ExperimentError."""
    for _ in NODE_PORTS:
        port = NODE_PORTS[next(_given) % len(NODE_PORTS)]
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise ExperimentError("no port is free for a node")
