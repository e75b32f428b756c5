"""Random streams for plans: each name has its own, so that a new draw in one place changes no other.

A single generator would give every later draw another value as soon as one draw were added, and recorded
seeds would no longer reproduce their runs.
"""

from __future__ import annotations

from zlib import crc32

import numpy as np


def random_stream(seed: int, name: str) -> np.random.Generator:
    """Return the generator of this name; it is the same for the same seed on every machine."""
    return np.random.Generator(np.random.PCG64([seed, crc32(name.encode())]))
