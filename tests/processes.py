"""Node processes for tests: started by the command line, and killed at the end, also when the test fails."""

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
# How long a process may take to become ready, in seconds.
READY_SECONDS = 20.0


async def free_port() -> int:
    """Return a port of loopback that nobody listens on at present."""
    probe = await StandIn().start()
    probe.stop()
    await probe.server.wait_closed()
    return int(probe.address.rpartition(":")[2])


class NodeProcess:
    """A node in a process of its own: `async with NodeProcess(known, discovery=...) as node`.

    Further keywords are top-level keys of the configuration. The standard error of the process is `log`.
    """

    def __init__(
        self,
        known: Mapping[str, Any],
        discovery: str | None = None,
        seed: int = 7,
        rules: Mapping[str, Any] | None = None,
        environment: Mapping[str, str] | None = None,
        **other_keys: Any,
    ) -> None:
        settings = {**SETTINGS, "rules": rules or SETTINGS["rules"]}
        self.config = {"known": known, "discovery": discovery, "settings": settings, **other_keys}
        self.config["seed"] = f"{seed:x}"
        self.environment = {**os.environ, **(environment or {})}
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        self.log = Path(self.folder.name) / "log"
        self.callers: list[Caller] = []

    async def __aenter__(self) -> NodeProcess:
        self.port = await free_port()
        self.config["listen"] = f"127.0.0.1:{self.port}"
        self.write_config()
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

    def config_text(self) -> str:
        """Return the configuration as JSON, without the keys whose value is None."""
        return json.dumps({key: value for key, value in self.config.items() if value is not None})

    def write_config(self) -> None:
        """Replace the configuration file in one step, so that the process never reads half of it."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(self.config_text())
        fresh.replace(self.path)

    def reload(self, discovery: str) -> None:
        """Reload the configuration with another address of discovery."""
        self.config["discovery"] = discovery
        self.write_config()
        self.process.send_signal(signal.SIGHUP)

    async def reload_held_up(self, discovery: str, meanwhile: Callable[[], Awaitable[None]]) -> None:
        """Reload as `reload` does, and await `meanwhile` while the process is blocked reading the file."""
        self.config["discovery"] = discovery
        self.path.unlink()
        os.mkfifo(self.path)
        self.process.send_signal(signal.SIGHUP)
        # The file is a named pipe: the open returns when the process has opened the other end.
        pipe = await asyncio.to_thread(open, self.path, "w")
        with pipe:
            await meanwhile()
            pipe.write(self.config_text())

    async def caller(self) -> Caller:
        """Connect a caller, which disconnects at the end of the context."""
        self.callers.append(await Caller(self.port).open())
        return self.callers[-1]

    def log_text(self) -> str:
        """Return what the process has logged so far."""
        return self.log.read_text()

    async def _until_ready(self) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while "phase=ready" not in self.log_text():
                assert self.process.poll() is None, self.log_text()
                await asyncio.sleep(0.02)
