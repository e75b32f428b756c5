"""Builds the shim for system calls where a compiler is there, and words what a node process is to be told."""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILERS = ("cc", "gcc", "clang")


class ShimError(Exception):
    """The shim can't be built here: says why."""


@dataclass(frozen=True, slots=True)
class SystemFaults:
    """What the shim forces in each node process."""

    # By kind, as shim.c names them: one call in so many fails.
    calls: Mapping[str, int]
    # Seconds after the process began, and by how many seconds its wall clock is off from then on.
    clock: tuple[tuple[float, int], ...] = ()

    def environment(self, library: Path, log: Path) -> dict[str, str]:
        """Variables of a process that loads the shim."""
        told = {"LD_PRELOAD": str(library), "CORALDEAL_FAULTS_LOG": str(log)}
        if self.calls:
            told["CORALDEAL_FAULTS"] = ",".join(f"{kind}={count}" for kind, count in self.calls.items())
        if self.clock:
            told["CORALDEAL_CLOCK"] = ",".join(f"{at:g}:{off}" for at, off in self.clock)
        return told


def build(folder: Path) -> Path:
    """The library, built in this folder; raises ShimError where there is no compiler or it fails."""
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise ShimError("no C compiler is here")
    library = folder / "shim.so"
    built = subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
        check=False,
    )
    if built.returncode:
        last = built.stderr.strip().splitlines()[-1:] or ["no word of why"]
        raise ShimError(f"the compiler failed: {last[0]}")
    return library
