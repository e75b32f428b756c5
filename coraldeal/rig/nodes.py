"""Nodes as a user has them: processes started with a configuration, ended by signals; or a baseline.

The product is used through its command line alone. A variant may be the program at another commit, taken from
the repository into a folder of its own, or the same node program with a baseline in place of its decisions.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import io
import json
import os
import signal
import subprocess
import sys
import tarfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coraldeal.rig.clock import now_us
from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import Experiment, ExperimentError, Variant, set_by_path
from coraldeal.rig.listing import Listing
from coraldeal.rig.ready import is_ready

ROOT = Path(__file__).resolve().parents[2]
READY_WAIT = 20.0
RELOAD_AFTER_US = 1_000_000
# How long a call at a door is waited for, and a node told to end beyond the longest patience.
DOOR_WAIT = 2.0
KILL_SLACK = 0.7
EFFECTS = {"redoable": "retryable", "labelled": "dedup", "irreversible": "fragile"}


@dataclass(slots=True)
class Program:
    """What a node process is started with."""

    command: list[str]
    folder: Path
    env: dict[str, str] = field(default_factory=dict)


def program_of(variant: Variant, scratch: Path) -> Program:
    """The program of a variant; raises ExperimentError where it can't be had or does not start."""
    folder = ROOT
    if variant.commit:
        folder = scratch / f"commit-{variant.commit[:12].replace('/', '_')}"
        if not folder.exists():
            _take_out(variant, folder)
    if variant.policy:
        if variant.commit:
            raise ExperimentError(f"variant {variant.name}: policy and commit can't be had together")
        from coraldeal.rig.baseline import POLICIES

        if variant.policy not in POLICIES:
            known = ", ".join(sorted(POLICIES))
            raise ExperimentError(f"variant {variant.name}: policy: {variant.policy!r} is none of {known}")
        command = [sys.executable, "-m", "coraldeal.rig.baseline", variant.policy]
    else:
        command = [sys.executable, "-m", "coraldeal", "serve"]
    program = Program(command, folder, {"PYTHONPATH": str(folder)})
    tried = subprocess.run(
        [sys.executable, "-m", "coraldeal", "version"],
        cwd=folder,
        env={**os.environ, **program.env},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    if tried.returncode:
        last = tried.stderr.strip().splitlines()[-1:] or ["no word of why"]
        raise ExperimentError(f"variant {variant.name}: the program does not start: {last[0]}")
    return program


def _take_out(variant: Variant, folder: Path) -> None:
    """The tree of a commit, without touching the repository's own work tree."""
    packed = subprocess.run(
        ["git", "-C", str(ROOT), "archive", "--format=tar", variant.commit, "coraldeal"],
        capture_output=True,
        check=False,
    )
    if packed.returncode:
        why = packed.stderr.decode("utf-8", "replace").strip().splitlines()[-1:] or ["git failed"]
        raise ExperimentError(f"variant {variant.name}: commit {variant.commit}: {why[0]}")
    folder.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as tar:
        tar.extractall(folder, filter="data")


def settings_of(experiment: Experiment, layer: int, zone: str, index: int, instances: int) -> dict[str, Any]:
    """The deployment as a node is told of it, in the platform's words and units."""
    world, load = experiment.world, experiment.load
    tier = world.tiers[layer]
    tracks = [
        {
            "name": track.name,
            "effect": EFFECTS[track.effect],
            "group": track.group,
            "window_ns": int(tier.window_seconds * 1e9),
            "expected_time_ns": int(track.expected_ms * 1e6),
            "patience_ns": int(track.patience_ms * 1e6),
            "payoff": track.payoff,
            "late_payoff": track.late_payoff,
        }
        for track in load.tracks
    ]
    return {
        "layer": layer,
        "instances": instances,
        "self_index": index,
        "zone": zone,
        "tracks": tracks,
        "tenants": [
            {"name": tenant.name, "quota_per_s": tenant.quota_per_s}
            for tenant in load.tenants
            if tenant.quota_per_s
        ],
        "discovery": world.list_mode,
        "bounds": {"conn_idle_ns": int(tier.idle_seconds * 1e9)},
        "rules": {
            "cold_from": tier.cold_from,
            "warm_after_ns": int(tier.warm_seconds * 1e9),
            "fall_multiple": tier.fall_multiple or 1e9,
            "fall_ns": int(tier.fall_seconds * 1e9),
        },
        "reporting": {"fields": tier.reports},
    }


def _end_with_parent() -> None:
    """Linux ends a node when the experiment's process dies: none is left behind. Runs in the new process."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def process_figures(pid: int) -> tuple[float, float]:
    """CPU seconds a process used so far, resident megabytes; zeros where it is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0, 0.0
    ticks = os.sysconf("SC_CLK_TCK")
    pages = int(stat[21]) * os.sysconf("SC_PAGE_SIZE")
    return (int(stat[11]) + int(stat[12])) / ticks, pages / 2**20


class NodeProcess:
    """One node: its configuration, its processes one after another, its log."""

    def __init__(
        self,
        name: str,
        number: int,
        layer: int,
        zone: str,
        port: int,
        folder: Path,
        program: Program,
    ) -> None:
        self.name = name
        self.number = number
        self.layer = layer
        self.zone = zone
        self.port = port
        self.folder = folder
        self.program = program
        self.config: dict[str, Any] = {}
        # Keys of the operator's own file.
        self.own: dict[str, Any] = {}
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        # While a new version takes over: the process before.
        self.elder: asyncio.subprocess.Process | None = None
        self.door = 0
        self.starts = 0
        # When its process was ready; 0: it is not yet.
        self.ready_us = 0
        # When it was killed outright or told to end, and when it was ready again: (at, what).
        self.marks: list[tuple[int, str]] = []
        self.cpu_before = 0.0
        self.expected_end = False

    def configure(
        self,
        experiment: Experiment,
        variant: Variant,
        listing: Listing,
        list_port: int,
        instances: int,
        index: int,
        seed: int,
    ) -> None:
        """Write its file; the keys of experiment and variant overrule."""
        drawn = int(random_stream(seed, f"node {self.name}").integers(1 << 62))
        config: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{list_port}",
            "seed": f"{drawn:x}",
            "limits": {"sockets": experiment.world.sockets},
            "known": listing.full_list(self.zone),
            "settings": settings_of(experiment, self.layer, self.zone, index, instances),
        }
        for told in (experiment.node, variant.node):
            for key, value in told.items():
                set_by_path(config, key, value, f"node of variant {variant.name}")
        self.own = {**experiment.operator, **variant.operator}
        tables: dict[str, list[str]] = {}
        for path, value in self.own.items():
            table, _, key = path.partition(".")
            tables.setdefault(table, []).append(f"{key} = {json.dumps(value)}")
        text = "".join(f"[{table}]\n" + "\n".join(lines) + "\n" for table, lines in tables.items())
        self.path.with_suffix(".toml").write_text(text, encoding="utf-8")
        self.config = config
        self.path.write_text(json.dumps(config, indent=1), encoding="utf-8")

    async def start(self) -> None:
        """Start it; it is not waited for."""
        self.starts += 1
        self.ready_us = 0
        with (self.folder / f"{self.name}.log").open("wb" if self.starts == 1 else "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.program.command,
                "--config",
                str(self.path),
                *(["--operator", str(self.path.with_suffix(".toml"))] if self.own else []),
                cwd=self.program.folder,
                env={**os.environ, **self.program.env, **self.door_env()},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
                # Ctrl-C at a terminal reaches the whole group, and would end nodes in the middle of a run.
                start_new_session=True,
            )
        # Not before: until then the process that has ended is the one before.
        self.expected_end = False

    def door_env(self) -> dict[str, str]:
        """What tells a process of its door, and of the folder where it meets the next one."""
        if not self.door:
            return {}
        meeting = self.folder / f"{self.name}.tmp"
        meeting.mkdir(exist_ok=True)
        return {"PROXY_OPERATOR": f"127.0.0.1:{self.door}", "TMPDIR": str(meeting)}

    async def ask_door(self, line: bytes, door: int = 0) -> bytes:
        """One call; OSError or TimeoutError where nothing comes."""
        async with asyncio.timeout(DOOR_WAIT):
            reader, writer = await asyncio.open_connection("127.0.0.1", door or self.door)
            try:
                writer.write(line + b"\n")
                return await reader.read()
            finally:
                writer.close()

    async def upgrade(self, door: int, longest_s: float) -> None:
        """Start a process beside the one there, wait for its yes, end the other; raises ExperimentError."""
        self.elder = self.process
        # Others go on asking the elder's door until the yes.
        asked, self.door = self.door, door
        await self.start()
        self.door = asked
        async with asyncio.timeout(READY_WAIT):
            while True:
                if self.process is None or self.process.returncode is not None:
                    raise ExperimentError(f"{self.name} ended beside its elder: {self.last_words()}")
                with contextlib.suppress(OSError, TimeoutError):
                    if (await self.ask_door(b"status", door)).startswith(b"OK"):
                        self.door = door
                        break
                await asyncio.sleep(0.02)
        elder = self.elder
        assert elder is not None
        if elder.returncode is None:
            elder.terminate()
        try:
            await asyncio.wait_for(elder.wait(), longest_s + KILL_SLACK)
        except TimeoutError:
            elder.kill()
            await elder.wait()
        self.elder = None

    async def until_ready(self) -> None:
        """Raises ExperimentError where it does not come up."""
        async with asyncio.timeout(READY_WAIT):
            while True:
                if self.process is None or self.process.returncode is not None:
                    raise ExperimentError(f"{self.name} ended at its start: {self.last_words()}")
                with contextlib.suppress(OSError):
                    if await is_ready(self.port):
                        self.ready_us = now_us()
                        return
                await asyncio.sleep(0.02)

    def may_be_reloaded(self) -> bool:
        """The platform sends SIGHUP to no process before it is ready, nor in its first second."""
        return bool(self.ready_us) and now_us() - self.ready_us > RELOAD_AFTER_US

    def last_words(self) -> str:
        path = self.folder / f"{self.name}.log"
        lines = path.read_text(encoding="utf-8", errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def figures(self) -> tuple[float, float]:
        """CPU seconds used so far, resident megabytes; zeros where the process is gone."""
        seconds = megabytes = 0.0
        for process in (self.process, self.elder):
            if process is None or process.returncode is not None:
                continue
            used, held = process_figures(process.pid)
            seconds, megabytes = seconds + used, megabytes + held
        return seconds, megabytes

    async def end(self) -> None:
        """However it is, it ends."""
        self.expected_end = True
        if self.elder is not None and self.elder.returncode is None:
            self.elder.kill()
            await self.elder.wait()
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()
