"""Plays drawn from a seed: crowds that a discovery can serve in time, with one or more of its troubles."""

from __future__ import annotations

import numpy as np

from coraldeal.rig.crowd.play import Options
from coraldeal.rig.crowd.service import ServiceLimits
from coraldeal.rig.draws import random_stream

# Seconds of discovery's work for one call of each node: beyond 3 s no order of calls can serve all.
WHOLE_ROUND = (0.2, 2.0)
NODES = (4, 10)
# How often each trouble is there.
CHANCE = 0.4
LOST_PART = 0.1


def draw(seed: int) -> Options:
    """The same for the same seed on every machine."""
    chance = random_stream(seed, "crowd")
    nodes = int(chance.integers(NODES[0], NODES[1], endpoint=True))
    limits = ServiceLimits(
        work=round(float(chance.uniform(*WHOLE_ROUND)) / nodes, 3),
        most_waiting=nodes - 1 if _happens(chance) else 0,
        works_for_the_gone=_happens(chance),
        lost_part=LOST_PART if _happens(chance) else 0.0,
        ends_together=_happens(chance),
        ends_watches=_happens(chance),
    )
    moves = int(chance.integers(0, 5, endpoint=True))
    has_outage = _happens(chance)
    return Options(
        nodes=nodes,
        limits=limits,
        moves=moves,
        move_every=round(float(chance.uniform(0.2, 1.2)), 2),
        spread=round(float(chance.uniform(0.1, 3.0)), 2),
        drain_after=round(float(chance.uniform(-1.0, 2.0)), 2),
        published_after=round(float(chance.uniform(0.2, 1.5)), 2) if _happens(chance) else 0.0,
        outage=round(float(chance.uniform(1.0, 9.0)), 1) if has_outage else 0.0,
        seed=seed,
    )


def _happens(chance: np.random.Generator) -> bool:
    return bool(chance.uniform() < CHANCE)
