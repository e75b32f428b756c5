"""Node processes for tests: started by the command line, signalled, ended whatever becomes of the test."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

from tests.standins import SETTINGS, Caller, StandIn

ROOT = Path(__file__).parent.parent
READY_SECONDS = 20.0


async def free_port() -> int:
    """A port of loopback that nobody listens on now."""
    probe = await StandIn().start()
    probe.stop()
    await probe.server.wait_closed()
    return int(probe.address.rpartition(":")[2])


class NodeProcess:
    """One node in a process of its own: `async with NodeProcess(known, discovery=...) as node`."""

    def __init__(
        self,
        known: Mapping[str, Any],
        discovery: str | None = None,
        seed: int = 7,
        rules: Mapping[str, Any] | None = None,
        environment: Mapping[str, str] | None = None,
        **told: Any,
    ) -> None:
        settings = {**SETTINGS, "rules": rules or SETTINGS["rules"]}
        self.told = {"known": known, "discovery": discovery, "settings": settings, **told}
        self.told["seed"] = f"{seed:x}"
        self.environment = {**os.environ, **(environment or {})}
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        self.log = Path(self.folder.name) / "log"
        self.callers: list[Caller] = []

    async def __aenter__(self) -> NodeProcess:
        self.port = await free_port()
        self.told["listen"] = f"127.0.0.1:{self.port}"
        self.write()
        command = [sys.executable, "-m", "coraldeal", "serve", "--config", str(self.path)]
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=self.environment)
        self.started_at = time.monotonic()
        await self._until_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        for caller in self.callers:
            caller.leave()
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await asyncio.to_thread(self.process.wait)
        self.folder.cleanup()

    def text(self) -> str:
        return json.dumps({key: value for key, value in self.told.items() if value is not None})

    def write(self) -> None:
        """Replace the file of the configuration, whole."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(self.text())
        fresh.replace(self.path)

    def reload(self, discovery: str) -> None:
        """A new configuration, with discovery elsewhere."""
        self.told["discovery"] = discovery
        self.write()
        self.process.send_signal(signal.SIGHUP)

    async def reload_held_up(self, discovery: str, meanwhile: Callable[[], Awaitable[None]]) -> None:
        """As `reload`; the process is held up while it reads the file, and something happens meanwhile."""
        self.told["discovery"] = discovery
        self.path.unlink()
        os.mkfifo(self.path)
        self.process.send_signal(signal.SIGHUP)
        # The open returns when the process has come to its own.
        held = await asyncio.to_thread(open, self.path, "w")
        with held:
            await meanwhile()
            held.write(self.text())

    async def caller(self) -> Caller:
        self.callers.append(await Caller(self.port).open())
        return self.callers[-1]

    def log_text(self) -> str:
        return self.log.read_text()

    async def _until_ready(self) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while "phase=ready" not in self.log_text():
                assert self.process.poll() is None, self.log_text()
                await asyncio.sleep(0.02)
