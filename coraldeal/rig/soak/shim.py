"""Builds the shim that makes system calls fail, and the environment variables that configure it."""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILERS = ("cc", "gcc", "clang")


class ShimError(Exception):
    """The shim can't be built on this machine; the message says why."""


@dataclass(frozen=True, slots=True)
class SystemFaults:
    """The faults that the shim forces in each node process."""

    # By kind, as shim.c names them: one call in this many fails.
    calls: Mapping[str, int]
    # Steps of the wall clock: the seconds after the process started, and the offset from then on in seconds.
    clock: tuple[tuple[float, int], ...] = ()

    def environment(self, library: Path, log: Path) -> dict[str, str]:
        """The environment variables of a process that loads the shim and logs forced faults to `log`."""
        variables = {"LD_PRELOAD": str(library), "CORALDEAL_FAULTS_LOG": str(log)}
        if self.calls:
            variables["CORALDEAL_FAULTS"] = ",".join(f"{kind}={count}" for kind, count in self.calls.items())
        if self.clock:
            variables["CORALDEAL_CLOCK"] = ",".join(f"{at:g}:{offset}" for at, offset in self.clock)
        return variables


def build(folder: Path) -> Path:
    """Build the library in this folder and return its path.

    Raises ShimError if no compiler is installed or the compiler fails.
    """
    compiler = next((path for name in COMPILERS if (path := shutil.which(name))), None)
    if compiler is None:
        raise ShimError(f"no C compiler is installed (looked for {', '.join(COMPILERS)})")
    library = folder / "shim.so"
    built = subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
        check=False,
    )
    if built.returncode:
        last = built.stderr.strip().splitlines()[-1:] or ["no error message"]
        raise ShimError(f"{compiler} failed: {last[0]}")
    return library
