"""The relay processes of a scale run: `coraldeal relay`, started as an operator starts it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from coraldeal.rig.experiment import ExperimentError
from coraldeal.rig.nodes import ROOT, _end_with_parent, process_usage

# The longest time that a relay may need to become ready, in seconds.
READY_TIMEOUT = 60.0


class RelayProcess:
    """One relay: its configuration file, its process and its use of resources."""

    def __init__(self, number: int, region: int, port: int, folder: Path) -> None:
        self.number = number
        self.region = region
        self.address = f"127.0.0.1:{port}"
        self.path = folder / f"relay-{number}.toml"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, sources: Sequence[str] = ()) -> None:
        """Start the relay; without sources, start it again with the file written before."""
        if sources:
            settings = {"listen": self.address, "sources": list(sources), "followers": 4000}
            lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
            self.path.write_text("\n".join(["[relay]", *lines, ""]), encoding="utf-8")
        with self.path.with_suffix(".log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "coraldeal", "relay", "--operator", str(self.path),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stderr=log,
                preexec_fn=_end_with_parent,
                start_new_session=True,
            )  # fmt: skip

    async def until_ready(self) -> None:
        """Wait until the relay has a list; raises ExperimentError if it has none after READY_TIMEOUT."""
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT):
                while True:
                    with contextlib.suppress(OSError):
                        reader, writer = await asyncio.open_connection(host, int(port))
                        writer.write(b"GET /ready HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")
                        answer = await reader.read()
                        writer.close()
                        if answer.startswith(b"HTTP/1.1 200"):
                            return
                    await asyncio.sleep(0.05)
        raise ExperimentError(f"relay {self.number} has no list after {READY_TIMEOUT:g} s")

    def figures(self) -> tuple[float, float]:
        """Processor time used so far, in seconds, and resident memory, in MB."""
        assert self.process is not None
        return process_usage(self.process.pid)

    async def kill(self) -> None:
        """End the relay's process with SIGKILL, if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
