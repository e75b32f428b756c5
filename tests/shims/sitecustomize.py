"""Steps the wall clock of a Python process that has this directory on its path.

The environment variable `CORALDEAL_CLOCK_STEP` names a file that holds the step in seconds. It is read at
each use of the clock, so that a test can step the clock of a running process. The monotonic clock stays
unchanged, as it does when the system's clock is stepped.
"""

import os
import time

_real_time_ns = time.time_ns
_step_path = os.environ.get("CORALDEAL_CLOCK_STEP", "")


def _step_ns() -> int:
    """Return the step in nanoseconds; 0 if the file is missing or invalid."""
    try:
        with open(_step_path, encoding="ascii") as file:
            return int(float(file.read() or 0) * 1e9)
    except (OSError, ValueError):
        return 0


if _step_path:
    time.time_ns = lambda: _real_time_ns() + _step_ns()
    time.time = lambda: time.time_ns() / 1e9
