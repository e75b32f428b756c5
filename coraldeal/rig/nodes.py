"""Node processes of an experiment: each is started with its own configuration and ended by signals.

The rig uses the product through its command line alone. A variant may run the program of another commit,
which is extracted from the repository into a directory of its own, or the same node program with a baseline
policy in place of the balancer's decisions.
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

# The root directory of the repository.
ROOT = Path(__file__).resolve().parents[2]
# Seconds within which a new process has to become ready.
READY_TIMEOUT_S = 20.0
# Microseconds that a process has to be ready before the rig sends it SIGHUP.
MIN_RELOAD_AGE_US = 1_000_000
# Seconds that a call to an admin listener may take.
ADMIN_TIMEOUT_S = 2.0
# Seconds beyond the longest deadline after which a node that was asked to end is killed.
KILL_SLACK_S = 0.7
# The effects of experiment files, and the same in a node's settings.
EFFECT_SETTINGS = {"redoable": "retryable", "labelled": "dedup", "irreversible": "fragile"}


@dataclass(slots=True)
class Program:
    """Command line, working directory and environment that a node process is started with."""

    command: list[str]
    folder: Path
    env: dict[str, str] = field(default_factory=dict)


def prepare_program(variant: Variant, scratch: Path) -> Program:
    """Return the program of a variant; raises ExperimentError if it can't be extracted or does not start."""
    folder = ROOT
    if variant.commit:
        folder = scratch / f"commit-{variant.commit[:12].replace('/', '_')}"
        if not folder.exists():
            _extract_commit(variant, folder)
    if variant.policy:
        if variant.commit:
            raise ExperimentError(f"variant {variant.name}: policy and commit can't be combined")
        from coraldeal.rig.baseline import POLICIES

        if variant.policy not in POLICIES:
            policies = ", ".join(sorted(POLICIES))
            raise ExperimentError(f"variant {variant.name}: policy: {variant.policy!r} is none of {policies}")
        command = [sys.executable, "-m", "coraldeal.rig.baseline", variant.policy]
    else:
        command = [sys.executable, "-m", "coraldeal", "serve"]
    program = Program(command, folder, {"PYTHONPATH": str(folder)})
    check = subprocess.run(
        [sys.executable, "-m", "coraldeal", "version"],
        cwd=folder,
        env={**os.environ, **program.env},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    if check.returncode:
        last_line = check.stderr.strip().splitlines()[-1:] or ["it printed no error"]
        raise ExperimentError(f"variant {variant.name}: the program does not start: {last_line[0]}")
    return program


def _extract_commit(variant: Variant, folder: Path) -> None:
    """Extract the tree of a commit without touching the repository's own work tree."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", "--format=tar", variant.commit, "coraldeal"],
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        reason = archive.stderr.decode("utf-8", "replace").strip().splitlines()[-1:] or ["git failed"]
        raise ExperimentError(f"variant {variant.name}: commit {variant.commit}: {reason[0]}")
    folder.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")


def node_settings(
    experiment: Experiment, layer: int, zone: str, index: int, instances: int
) -> dict[str, Any]:
    """Return the `settings` of a node's configuration, in the keys and units of the platform."""
    world, load = experiment.world, experiment.load
    tier = world.tiers[layer]
    request_classes = [
        {
            "name": spec.name,
            "effect": EFFECT_SETTINGS[spec.effect],
            "group": spec.group,
            "window_ns": int(tier.window_seconds * 1e9),
            "expected_time_ns": int(spec.expected_ms * 1e6),
            "patience_ns": int(spec.patience_ms * 1e6),
            "payoff": spec.payoff,
            "late_payoff": spec.late_payoff,
        }
        for spec in load.tracks
    ]
    return {
        "layer": layer,
        "instances": instances,
        "self_index": index,
        "zone": zone,
        "tracks": request_classes,
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
    """Ask Linux to kill this process when its parent dies, so that no node outlives the experiment.

    Called in the new process, before the node program starts.
    """
    with contextlib.suppress(OSError, AttributeError):
        # 1 is PR_SET_PDEATHSIG.
        ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def process_usage(pid: int) -> tuple[float, float]:
    """Return the CPU seconds that a process has used and its resident MiB; zeros if it no longer exists."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0, 0.0
    ticks_per_second = os.sysconf("SC_CLK_TCK")
    resident_bytes = int(stat[21]) * os.sysconf("SC_PAGE_SIZE")
    return (int(stat[11]) + int(stat[12])) / ticks_per_second, resident_bytes / 2**20


class NodeProcess:
    """One node: its configuration, its successive processes, and its log file."""

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
        # Keys and values of the operator's file.
        self.operator_config: dict[str, Any] = {}
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        # During an upgrade: the process that is being replaced.
        self.predecessor: asyncio.subprocess.Process | None = None
        # Port of the admin listener; 0: the node has none.
        self.admin_port = 0
        # Number of processes started for this node.
        self.starts = 0
        # When the current process became ready; 0: it is not ready yet.
        self.ready_us = 0
        # Kills, requests to end, and times when the node was ready again: (time in microseconds, event).
        self.events: list[tuple[int, str]] = []
        self.cpu_before = 0.0
        # Whether the rig itself ended the process or asked it to end; any other end is a crash.
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
        """Write the configuration files; the keys of the experiment and of the variant take precedence."""
        node_seed = int(random_stream(seed, f"node {self.name}").integers(1 << 62))
        config: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{list_port}",
            "seed": f"{node_seed:x}",
            "limits": {"sockets": experiment.world.sockets},
            "known": listing.full_list(self.zone),
            "settings": node_settings(experiment, self.layer, self.zone, index, instances),
        }
        for overrides in (experiment.node, variant.node):
            for key, value in overrides.items():
                set_by_path(config, key, value, f"node of variant {variant.name}")
        self.operator_config = {**experiment.operator, **variant.operator}
        tables: dict[str, list[str]] = {}
        for path, value in self.operator_config.items():
            table, _, key = path.partition(".")
            tables.setdefault(table, []).append(f"{key} = {json.dumps(value)}")
        text = "".join(f"[{table}]\n" + "\n".join(lines) + "\n" for table, lines in tables.items())
        self.path.with_suffix(".toml").write_text(text, encoding="utf-8")
        self.config = config
        self.path.write_text(json.dumps(config, indent=1), encoding="utf-8")

    async def start(self) -> None:
        """Start a process of the node without waiting until it is ready."""
        self.starts += 1
        self.ready_us = 0
        with (self.folder / f"{self.name}.log").open("wb" if self.starts == 1 else "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.program.command,
                "--config",
                str(self.path),
                *(["--operator", str(self.path.with_suffix(".toml"))] if self.operator_config else []),
                cwd=self.program.folder,
                env={**os.environ, **self.program.env, **self.admin_env()},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
                # Ctrl-C at a terminal reaches the whole process group, and would end nodes during a run.
                start_new_session=True,
            )
        # Not earlier: until here `process` is the previous process, whose end would count as a crash.
        self.expected_end = False

    def admin_env(self) -> dict[str, str]:
        """Return the environment that sets the admin listener and the directory for the handover."""
        if not self.admin_port:
            return {}
        handover_folder = self.folder / f"{self.name}.tmp"
        handover_folder.mkdir(exist_ok=True)
        return {"PROXY_OPERATOR": f"127.0.0.1:{self.admin_port}", "TMPDIR": str(handover_folder)}

    async def call_admin(self, line: bytes, admin_port: int = 0) -> bytes:
        """Make one call to the admin listener; raises OSError or TimeoutError if there is no answer."""
        async with asyncio.timeout(ADMIN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", admin_port or self.admin_port)
            try:
                writer.write(line + b"\n")
                return await reader.read()
            finally:
                writer.close()

    async def upgrade(self, admin_port: int, max_deadline_s: float) -> None:
        """Start a successor beside the current process, wait until it serves, and end the predecessor.

        Raises ExperimentError if the successor ends, and TimeoutError if it doesn't serve in time.
        """
        self.predecessor = self.process
        # Until the successor serves, other tasks go on calling the admin listener of the predecessor.
        predecessor_port, self.admin_port = self.admin_port, admin_port
        await self.start()
        self.admin_port = predecessor_port
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if self.process is None or self.process.returncode is not None:
                    raise ExperimentError(
                        f"{self.name}: the successor ended before it served: {self.last_log_line()}"
                    )
                with contextlib.suppress(OSError, TimeoutError):
                    if (await self.call_admin(b"status", admin_port)).startswith(b"OK"):
                        self.admin_port = admin_port
                        break
                await asyncio.sleep(0.02)
        predecessor = self.predecessor
        assert predecessor is not None
        if predecessor.returncode is None:
            predecessor.terminate()
        try:
            await asyncio.wait_for(predecessor.wait(), max_deadline_s + KILL_SLACK_S)
        except TimeoutError:
            predecessor.kill()
            await predecessor.wait()
        self.predecessor = None

    async def wait_until_ready(self) -> None:
        """Wait until the node is ready; raises ExperimentError if it ends, or TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if self.process is None or self.process.returncode is not None:
                    raise ExperimentError(f"{self.name} ended during its start: {self.last_log_line()}")
                with contextlib.suppress(OSError):
                    if await is_ready(self.port):
                        self.ready_us = now_us()
                        return
                await asyncio.sleep(0.02)

    def is_reloadable(self) -> bool:
        """Whether SIGHUP may be sent: the platform sends it only to processes ready for over 1 s."""
        return bool(self.ready_us) and now_us() - self.ready_us > MIN_RELOAD_AGE_US

    def last_log_line(self) -> str:
        """Return the last line of the node's log, for error messages."""
        path = self.folder / f"{self.name}.log"
        lines = path.read_text(encoding="utf-8", errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def usage(self) -> tuple[float, float]:
        """Return CPU seconds and resident MiB of the node's running processes; zeros if there are none."""
        cpu_s = megabytes = 0.0
        for process in (self.process, self.predecessor):
            if process is None or process.returncode is not None:
                continue
            process_cpu_s, process_megabytes = process_usage(process.pid)
            cpu_s, megabytes = cpu_s + process_cpu_s, megabytes + process_megabytes
        return cpu_s, megabytes

    async def end(self) -> None:
        """Kill the node's processes and wait for their end."""
        self.expected_end = True
        if self.predecessor is not None and self.predecessor.returncode is None:
            self.predecessor.kill()
            await self.predecessor.wait()
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()
