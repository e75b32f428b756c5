"""Draws plays from a seed: crowds of nodes that a discovery can serve in time, with some of its faults."""

from __future__ import annotations

import numpy as np

from coraldeal.rig.crowd.play import Options
from coraldeal.rig.crowd.service import ServiceLimits
from coraldeal.rig.draws import random_stream

# The time in which discovery serves one call of each node, in seconds. Beyond 3 s, no order of calls can
# serve all in time.
ROUND_SECONDS = (0.2, 2.0)
NODE_COUNTS = (4, 10)
# The probability of each fault.
FAULT_PROBABILITY = 0.4
# The share of calls that are lost, where this fault occurs.
LOST_SHARE = 0.1


def draw(seed: int) -> Options:
    """Draw a play; the same seed gives the same play on every machine."""
    generator = random_stream(seed, "crowd")
    nodes = int(generator.integers(NODE_COUNTS[0], NODE_COUNTS[1], endpoint=True))
    limits = ServiceLimits(
        work=round(float(generator.uniform(*ROUND_SECONDS)) / nodes, 3),
        max_waiting=nodes - 1 if _occurs(generator) else 0,
        serves_closed_calls=_occurs(generator),
        lost_share=LOST_SHARE if _occurs(generator) else 0.0,
        ends_together=_occurs(generator),
        ends_watches=_occurs(generator),
    )
    moves = int(generator.integers(0, 5, endpoint=True))
    has_outage = _occurs(generator)
    return Options(
        nodes=nodes,
        limits=limits,
        moves=moves,
        move_every=round(float(generator.uniform(0.2, 1.2)), 2),
        spread=round(float(generator.uniform(0.1, 3.0)), 2),
        drain_after=round(float(generator.uniform(-1.0, 2.0)), 2),
        published_after=round(float(generator.uniform(0.2, 1.5)), 2) if _occurs(generator) else 0.0,
        outage=round(float(generator.uniform(1.0, 9.0)), 1) if has_outage else 0.0,
        seed=seed,
    )


def _occurs(generator: np.random.Generator) -> bool:
    return bool(generator.uniform() < FAULT_PROBABILITY)
