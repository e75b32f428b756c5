"""Plays a scale run: draws it, starts its processes, has them begin and stop, judges their books."""

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
from coraldeal.rig.scale import books
from coraldeal.rig.scale.books import (
    DoorJob,
    HollowBook,
    HollowJob,
    HollowNode,
    Order,
    PlayedBook,
    PlayedJob,
    SourceBook,
    SourceJob,
    Standing,
    Told,
)
from coraldeal.rig.scale.fleet import REGIONS, Fleet, draw_fleet
from coraldeal.rig.scale.hollow import settings
from coraldeal.rig.scale.journal import OF_SOURCE, Timeline, weight_of
from coraldeal.rig.scale.judge import Cut, Journal, Judge, Verdict
from coraldeal.rig.scale.relays import RelayProcess
from coraldeal.rig.scale.timeline import TROUBLES, draw_timeline, first_id
from coraldeal.rig.scale.topology import Direct, Relays, Topology

NODES_MOST, SECONDS_MOST, PROCESSES_MOST, REAL_MOST = 21_000, 600.0, 200, 64
# In each region; one alone leaves its followers nobody to go on at.
RELAYS_MOST = 4
# The window in which a relay is killed, and after how many seconds it is back.
KILLED_IN, KILLED_FOR = "tenfold", 2.0
# Hollow nodes in one process, unless told otherwise.
IN_PROCESS = 250
# What a run is taken to need, in megabytes: for a process, for a hollow node with its part of the source.
PROCESS_MB, NODE_MB = 45.0, 0.2
# Watches are opened so many a second, over all processes.
OPENED_PER_S = 1500
# Descriptors that a process needs beside those of its connections.
SPARE_FILES = 200
# Inquiries a second at each real node.
RATE_REAL = 10.0
# With no more nodes than this each sends to all servers (`NODES_PER_SERVER` in coraldeal.balance).
ALL_SENT = 4
# After the last change every node has this long until it is judged.
SETTLE, SETTLE_MOST = 6.0, 60.0
READY_WAIT, END_WAIT = 120.0, 60.0


@dataclass(slots=True)
class Options:
    """What is asked for; a wrong figure is refused with its name."""

    nodes: int = 200
    real: int = 8
    seconds: float = 24.0
    seed: int = 1
    rate: float = 0.66
    processes: int = 0
    # Relays in each region; 0: every node asks the source itself.
    relays: int = 0
    plant: str = ""
    troubles: tuple[str, ...] = TROUBLES
    settle: float = SETTLE
    limit_ms: float = 0.0
    out: Path = field(default_factory=Path)

    def hollow_processes(self) -> int:
        return self.processes or math.ceil(self.nodes / IN_PROCESS)

    def check(self, available_mb: float, total_mb: float, files: int) -> None:
        """Raises ExperimentError where a run is beyond its bounds or the machine's."""
        bounds = {
            "--nodes": (self.nodes, 20, NODES_MOST),
            "--real": (self.real, 0, REAL_MOST),
            "--seconds": (self.seconds, 2, SECONDS_MOST),
            "--settle": (self.settle, 0.5, SETTLE_MOST),
            "--rate": (self.rate, 0.01, 100),
            "--relays": (self.relays, 0, RELAYS_MOST),
            "--processes": (
                self.hollow_processes(),
                1,
                min(PROCESSES_MOST - self.real - 2 - REGIONS * self.relays, self.nodes),
            ),
        }
        for name, (value, least, most) in bounds.items():
            if not least <= value <= most:
                raise ExperimentError(f"{name}: {value:g} is not in {least:g} to {most:g}")
        processes = self.hollow_processes() + self.real + 3 + REGIONS * self.relays
        need = PROCESS_MB * processes + NODE_MB * self.nodes
        most_mb = min(available_mb, total_mb / 2)
        if need > most_mb:
            text = f"needs some {need:.0f} MB, and {most_mb:.0f} MB may be used (half of the machine's)"
            raise ExperimentError(f"--nodes: {self.nodes} {text}")
        if self.nodes + SPARE_FILES > files:
            text = f"the source needs as many descriptors and may open {files}"
            raise ExperimentError(f"--nodes: {self.nodes}: {text}")


def memory_mb() -> tuple[float, float]:
    """What is available, and all there is."""
    figures = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        key, _, rest = line.partition(":")
        figures[key] = int(rest.split()[0]) / 1024
    return figures["MemAvailable"], figures["MemTotal"]


def peak_mb(pid: int) -> float:
    """The most memory that a process held so far; 0 where it is gone."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Child:
    """One process of the run, by its module."""

    def __init__(self, name: str, module: str, folder: Path) -> None:
        self.name = name
        self.module = module
        self.folder = folder
        self.book = folder / f"{name}.book"
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0

    async def start(self, job: msgspec.Struct) -> None:
        path = self.folder / f"{self.name}.job"
        books.write(path, job)
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

    async def ready(self) -> Told:
        assert self.process is not None and self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), READY_WAIT)
        except TimeoutError:
            line = b""
        if not line:
            raise ExperimentError(f"{self.name} did not come up: {self.last_words()}")
        return msgspec.json.decode(line, type=Told)

    def order(self, order: Order) -> None:
        assert self.process is not None and self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    async def stop(self) -> None:
        """Have it write its book; raises ExperimentError where it ended otherwise than well."""
        assert self.process is not None
        self.peak_mb = peak_mb(self.process.pid)
        self.order(Order(stop=True))
        try:
            status = await asyncio.wait_for(self.process.wait(), END_WAIT)
        except TimeoutError:
            raise ExperimentError(f"{self.name} did not end") from None
        if status:
            raise ExperimentError(f"{self.name} ended with {status}: {self.last_words()}")

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def last_words(self) -> str:
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"


async def _ask_door(node: NodeProcess, line: str) -> bytes:
    """One call at a real node's door; once more where a busy machine let it wait."""
    for _ in range(2):
        with contextlib.suppress(TimeoutError):
            return await node.call_admin(line.encode())
    return await node.call_admin(line.encode())


class Run:
    """One run, from its drawing to its verdict."""

    def __init__(self, options: Options, say: Callable[[str], None] = lambda text: None) -> None:
        self.options = options
        self.say = say
        self.fleet: Fleet = draw_fleet(options.nodes, options.seed, options.real)
        try:
            self.timeline: Timeline = draw_timeline(
                self.fleet, options.seconds, options.rate, options.troubles, options.plant
            )
        except ValueError as error:
            raise ExperimentError(f"--plant: {error}") from None
        self.source = Child("source", "source", options.out)
        self.played = Child("played", "played", options.out)
        self.hollow = [
            Child(f"hollow-{number}", "hollow", options.out) for number in range(options.hollow_processes())
        ]
        self.relays: list[RelayProcess] = []
        self.relay_used: list[float] = []
        self.killing: asyncio.Task[None] | None = None
        self.real: list[NodeProcess] = []
        self.real_used: list[float] = []
        self.standing: list[Standing] = []
        self.topology = ""
        self.begin_us = self.stopped_us = 0

    async def play(self) -> dict[str, Any]:
        """The summary, which is also written."""
        try:
            await self._start()
            await self._through()
            doors = await self._ask_doors()
            # All nodes close their books before the source ends.
            self.stopped_us = now_us()
            await asyncio.gather(*(child.stop() for child in self.hollow))
            await self.played.stop()
            await self.source.stop()
            return self._judge(doors)
        finally:
            for child in [*self.hollow, self.played, self.source]:
                await child.kill()
            for node in self.real:
                await node.end()
            for relay in self.relays:
                await relay.kill()

    # Its start.

    async def _start(self) -> None:
        fleet, options = self.fleet, self.options
        played = [place.number for place in fleet.places if place.service in fleet.played]
        await self.played.start(PlayedJob(str(self.played.book), len(played), RATE_REAL))
        ports = dict(zip(played, (await self.played.ready()).ports, strict=True))
        self.standing = [
            Standing(
                first_id(fleet, place),
                place.number,
                fleet.services[place.service],
                f"z{place.zone:02d}",
                place.zone,
                # Where nobody is called the addresses only have to differ.
                f"127.0.0.1:{ports[place.number]}"
                if place.number in ports
                else f"10.{place.number >> 16}.{place.number >> 8 & 255}.{place.number & 255}:8081",
                weight_of(place.weight, 0),
            )
            for place in fleet.places
        ]
        topology, own = await self._start_source()
        if self.options.relays:
            topology = await self._start_relays(topology)
            self.say(f"{len(self.relays)} relays follow the source")
        self.topology = topology.name
        await self._start_real(own)
        self.say(f"source and {options.real} real nodes are up")
        await self._start_hollow(topology, own)
        self.say(f"{options.nodes} hollow nodes in {len(self.hollow)} processes hold their lists")

    async def _start_source(self) -> tuple[Topology, dict[int, list[str]]]:
        """Whom nodes ask; and the addresses of those that have one of their own, by number."""
        fleet, plant = self.fleet, self.timeline.plant
        doors = [DoorJob(region) for region in range(fleet.regions)]
        for follower in fleet.followers[len(fleet.places) :]:
            names = [fleet.services[service] for service in follower.services]
            doors.append(DoorJob(follower.region, follower.number, names))
        if plant is not None and plant.kind != "keep-gone":
            region = fleet.followers[plant.follower].region
            doors.append(DoorJob(region, planted=True))
        job = SourceJob(str(self.source.book), self.standing, self.timeline, doors)
        await self.source.start(job)
        ports = (await self.source.ready()).ports
        regions: dict[int, str] = {}
        own: dict[int, list[str]] = {}
        for door, port in zip(doors, ports, strict=True):
            address = f"127.0.0.1:{port}"
            if door.planted and plant is not None:
                own[plant.follower] = [address]
            elif door.node >= 0:
                own[door.node] = [address]
            else:
                regions[door.region] = address
        return Direct(regions), own

    async def _start_relays(self, source: Topology) -> Topology:
        """So many in each region, all of them followers of the source's door for that region."""
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
        """One relay dies with its followers, and comes back with nothing."""
        relay = self.relays[0]
        await relay.kill()
        self.say(f"         relay 0 of region {relay.region} killed")
        await asyncio.sleep(KILLED_FOR)
        await relay.start()

    async def _start_real(self, own: dict[int, list[str]]) -> None:
        program = Program(
            [sys.executable, "-m", "coraldeal", "serve", "--log-level", "warning"],
            ROOT,
            {"PYTHONPATH": str(ROOT)},
        )
        for place in range(self.options.real):
            number = len(self.fleet.places) + place
            name = f"real-{place}"
            node = NodeProcess(name, place, 0, "", free_port(), self.options.out, program)
            # Told of few others, each sends to all servers of its service, and from a zone of its own to none
            # before the others: so the ends of servers meet nodes that send there.
            told = settings(name, "front", place, min(self.options.real, ALL_SENT), own[number][0])
            told["listen"] = f"127.0.0.1:{node.port}"
            door = free_port()
            told["operator"] = f"127.0.0.1:{door}"
            node.path.write_text(json.dumps(told), encoding="utf-8")
            # The door is asked by its port; no folder is told, so that no process takes over from another.
            node.program.env["TMPDIR"] = ""
            await node.start()
            node.admin_port = door
            self.real.append(node)
        for node in self.real:
            await node.wait_until_ready()

    async def _start_hollow(self, topology: Topology, own: dict[int, list[str]]) -> None:
        fleet, count = self.fleet, len(self.hollow)
        hollow = fleet.followers[: len(fleet.places)]
        for place, child in enumerate(self.hollow):
            nodes = [
                HollowNode(
                    follower.number,
                    follower.region,
                    f"z{fleet.places[follower.number].zone:02d}",
                    own.get(follower.number) or topology.addresses(follower.region, follower.number),
                    [fleet.services[service] for service in follower.services],
                )
                for follower in hollow[place::count]
            ]
            opened = OPENED_PER_S / count
            job = HollowJob(str(child.book), fleet.seed, nodes, opened, self.timeline.plant)
            await child.start(job)
        for child in self.hollow:
            await child.ready()

    # Its course.

    async def _through(self) -> None:
        self.begin_us = now_us() + 500_000
        self.real_used = [-node.usage()[0] for node in self.real]
        self.relay_used = [-relay.figures()[0] for relay in self.relays]
        ports = [node.port for node in self.real]
        for child in [*self.hollow, self.source, self.played]:
            child.order(Order(begin_us=self.begin_us, ports=ports))
        for window in self.timeline.windows:
            await sleep_until(self.begin_us + window.from_us)
            where = f", region {window.region}" if window.region >= 0 else ""
            self.say(f"{window.from_us / 1e6:6.1f} s  {window.name}{where}")
            if window.name == KILLED_IN and self.relays:
                self.killing = asyncio.get_running_loop().create_task(self._kill_relay())
        await sleep_until(self.begin_us + int((self.options.seconds + self.options.settle) * 1e6))
        self.real_used = [
            used + node.usage()[0] for used, node in zip(self.real_used, self.real, strict=True)
        ]
        if self.killing is not None:
            await self.killing
        self.relay_used = [
            used + relay.figures()[0] for used, relay in zip(self.relay_used, self.relays, strict=True)
        ]

    async def _ask_doors(self) -> list[tuple[int, list[str], int]]:
        """For each real node how many servers it holds, which it lacks, how many the source has."""
        journal = Journal(self.standing, self.timeline.changes, [0] * len(self.timeline.changes))
        answers = []
        for node in self.real:
            follower = self.fleet.followers[len(self.fleet.places) + node.number]
            expected = journal.expected([self.fleet.services[service] for service in follower.services])
            try:
                stats = json.loads((await _ask_door(node, "stats")).split(b"\n")[0])
                unknown = [
                    server
                    for server in expected
                    if not (await _ask_door(node, f"maint-on {server}")).startswith(b"OK")
                ]
            except (OSError, ValueError) as error:
                raise ExperimentError(f"{node.name} does not answer at its door: {error!r}") from None
            answers.append((int(stats["known_servers"]), unknown, len(expected)))
        return answers

    # Its end.

    def _judge(self, doors: list[tuple[int, list[str], int]]) -> dict[str, Any]:
        source = books.read(self.source.book, SourceBook)
        played = books.read(self.played.book, PlayedBook)
        journal = Journal(self.standing, self.timeline.changes, source.made_us)
        cut = next(
            (
                Cut(window.region, self.begin_us + window.from_us, source.returned_us)
                for window in self.timeline.windows
                if window.name == "apart"
            ),
            None,
        )
        judge = Judge(journal, cut, int(self.options.limit_ms * 1000))
        if len(source.made_us) != len(self.timeline.changes):
            made, meant = len(source.made_us), len(self.timeline.changes)
            judge.fault("source", f"the source made {made} of {meant} changes")
        for window in self.timeline.windows:
            # A trouble that strikes nobody proves nothing.
            if window.name in OF_SOURCE and not source.struck.get(window.name):
                judge.fault("source", f"{window.name} struck no watch")
        hollow = []
        for child in self.hollow:
            book = books.read(child.book, HollowBook)
            hollow.append(book)
            for node in book.nodes:
                judge.node(node)
        if len([node for book in hollow for node in book.nodes]) != self.options.nodes:
            judge.fault("books", "not every hollow node has a book")
        first = len(self.fleet.places)
        for real, (known, unknown, expected) in zip(self.real, doors, strict=True):
            region = self.fleet.followers[first + real.number].region
            judge.real_node(real.number, region, known, unknown, expected)
        told = [
            books.ToldRow(row.node - first, row.at_us, row.server, row.address, row.condition)
            for row in source.told
        ]
        judge.drains(told, played.arrivals)
        if self.real and not played.served:
            judge.fault("load", "no inquiry of the real nodes was served")
        if self.real and "release" in self.options.troubles and not judge.tested:
            judge.fault("load", "no real node was told of the end of a server that it was sending to")
        summary = self._summary(judge.verdict(), source, played, hollow)
        path = self.options.out / "summary.json"
        path.write_text(json.dumps(summary, indent=1), encoding="utf-8")
        return summary

    def _summary(
        self, verdict: Verdict, source: SourceBook, played: PlayedBook, hollow: list[HollowBook]
    ) -> dict[str, Any]:
        options = self.options
        lasted = (self.stopped_us - self.begin_us) / 1e6
        followers = options.nodes + options.real
        hollow_cpu = sum(book.cpu_s for book in hollow)
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
            # Of the whole machine at the end: above its cores, times hold the wait for one.
            "load_average": os.getloadavg()[0],
            "verdict": msgspec.to_builtins(verdict),
            "node": {
                "cpu_part": hollow_cpu / lasted / options.nodes,
                # Behind relays nobody counts them.
                "bytes_per_s": None if self.relays else source.bytes / lasted / followers,
                "mb": hollow_mb / options.nodes,
                "late_ms": max(book.late_us for book in hollow) / 1000,
                "watch_failures": sum(node.failures for book in hollow for node in book.nodes),
            },
            "source": {
                "cpu_part": source.cpu_s / lasted,
                "bytes_per_s": source.bytes / lasted,
                "mb": self.source.peak_mb,
                "late_ms": source.late_us / 1000,
                "watches": source.watches,
                "wholes": source.wholes,
            },
            # Of those that were not killed.
            "relays": {
                "count": len(self.relays),
                "killed": int(self.killing is not None),
                "cpu_part": [round(used / lasted, 5) for used in self.relay_used[bool(self.killing) :]],
                "mb": [round(relay.figures()[1], 1) for relay in self.relays],
            },
            "real_nodes": {
                # Drains and ends told to real nodes, and requests at servers: what drains are judged by.
                "told_closed": sum(row.condition != "Ready" for row in source.told),
                "drains_tested": verdict.drains_tested,
                "arrivals": len(played.arrivals),
                "asked": played.asked,
                "served": played.served,
                "cpu_part": sum(self.real_used) / lasted / max(1, len(self.real)),
                "mb": max(real_mb, default=0.0),
            },
            "processes_mb": {
                child.name: round(child.peak_mb, 1) for child in [self.source, self.played, *self.hollow]
            },
        }


def told(summary: dict[str, Any]) -> str:
    """The summary in words."""
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
        f"loops late by {node['late_ms']:.0f} ms at the most, {node['watch_failures']} watches failed",
        f"  source: {source['cpu_part']:.1%} of a core, {source['bytes_per_s'] / 1000:.1f} kB/s, "
        f"{source['mb']:.0f} MB, late by {source['late_ms']:.0f} ms, {source['watches']} watches begun anew, "
        f"{source['wholes']} told the whole list",
        f"  real nodes: {real['served']} of {real['asked']} inquiries served, "
        f"{real['told_closed']} drains and ends told, "
        f"{real['drains_tested']} of them of servers just sent to, "
        f"{real['cpu_part']:.2%} of a core each, {real['mb']:.0f} MB",
    ]
    relays = summary["relays"]
    if relays["count"]:
        used, held = relays["cpu_part"], relays["mb"]
        lines.append(
            f"  {relays['count']} relays, {relays['killed']} killed: {sum(used) / max(1, len(used)):.2%} of "
            f"a core each, {max(used, default=0):.2%} at the most, {max(held):.0f} MB at the most"
        )
    lines += [f"FAULT {kind}: {text}" for kind, text in verdict["faults"]]
    counts = ", ".join(f"{kind} {count}" for kind, count in verdict["counts"].items())
    lines.append("verdict: good" if summary["good"] else f"verdict: NOT GOOD ({counts})")
    return "\n".join(lines)


async def play(options: Options, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    """Check, play, judge; raises ExperimentError where it can't be played."""
    options.check(*memory_mb(), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    options.out.mkdir(parents=True, exist_ok=True)
    return await Run(options, say).play()
