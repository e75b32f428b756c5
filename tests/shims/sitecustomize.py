"""Steps the wall clock of a Python process that has this folder on its path, by seconds that a file tells.

`CORALDEAL_CLOCK_STEP` names the file; it is read at each use, so that a test steps the clock of a process
that runs. The monotonic clock is left alone, as a real step leaves it.
"""

import os
import time

_real_time_ns = time.time_ns
_path = os.environ.get("CORALDEAL_CLOCK_STEP", "")


def _step_ns() -> int:
    try:
        with open(_path, encoding="ascii") as file:
            return int(float(file.read() or 0) * 1e9)
    except (OSError, ValueError):
        return 0


if _path:
    time.time_ns = lambda: _real_time_ns() + _step_ns()
    time.time = lambda: time.time_ns() / 1e9
