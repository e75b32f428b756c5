"""Draws the experiment of a seed: a small world, its load, and several faults, some at the same time."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import BadSpec, Event, Experiment, Load, RequestClassSpec, TierSpec, World
from coraldeal.rig.soak.shim import SystemFaults

SECONDS = 18.0
SETTLE_SECONDS = 1.0
# A node must act at once on a drain that was written to it, so the grace is far shorter than in deployments.
DRAIN_GRACE_MS = 500.0
# The latest start of a fault, in seconds, so that its effects show before the end.
LAST_FAULT_AT = 12.0
# The number of servers that get no faults, and the cores of each server. The two can bear the load alone.
SPARED_SERVERS, CORES = 2, 4
# The probability that the shim is loaded, and that each of its faults occurs.
SHIM_PROBABILITY, SHIM_FAULT_PROBABILITY = 0.6, 0.5
# One call in this many fails: the range from the most frequent to the rarest, by kind.
CALL_INTERVALS = {
    "accept": (2, 12),
    "connect": (5, 40),
    "socket": (5, 40),
    "recv": (10, 60),
    "send": (10, 60),
    "broken": (150, 600),
}
# The offsets of the wall clock after a step, in seconds.
CLOCK_STEPS = (-390, -20, 3, 3600)
SERVER_FAULTS = ("kill", "freeze", "slow", "silent", "cut", "refuse", "spoil", "close_idle")


@dataclass(frozen=True, slots=True)
class Drawn:
    """The experiment of a seed, and the faults of the shim; None: the shim is not loaded."""

    experiment: Experiment
    faults: SystemFaults | None


def draw(seed: int) -> Drawn:
    """Draw the experiment of a seed; it is the same on every machine."""
    generator = random_stream(seed, "soak")
    nodes = int(generator.integers(2, 5))
    servers = int(generator.integers(5, 9))
    world = World(
        zones=["a", "b"] if _occurs(generator, 0.5) else ["a"],
        nodes=nodes,
        list_mode="ask" if _occurs(generator, 0.6) else "push",
        list_delay_ms=float(generator.integers(0, 400)),
        tiers=[TierSpec(servers=servers, cores=CORES, idle_seconds=float(generator.uniform(1.0, 6.0)))],
    )
    work_ms = float(generator.uniform(15.0, 40.0))
    request_classes = [
        RequestClassSpec(name="read", share=0.5, work_ms=work_ms),
        RequestClassSpec(name="once", share=0.25, effect="irreversible", work_ms=work_ms),
        RequestClassSpec(name="marked", share=0.25, effect="labelled", payoff=5, work_ms=work_ms),
    ]
    load = Load(
        tracks=request_classes,
        rate=float(generator.uniform(100, 200)),
        retries=int(generator.integers(0, 3)),
        leave=0.15 if _occurs(generator, 0.6) else 0.0,
        leave_after_ms=(5.0, 150.0),
        idle=int(generator.integers(0, 30)),
        bad=[BadSpec(kind="garbage", per_second=10.0)] if _occurs(generator, 0.5) else [],
    )
    experiment = Experiment(
        name=f"soak-{seed}",
        seed=seed,
        seconds=SECONDS,
        settle_seconds=SETTLE_SECONDS,
        world=world,
        load=load,
        timeline=_timeline(generator, nodes, servers),
        drain_grace_ms=DRAIN_GRACE_MS,
    )
    return Drawn(experiment, _faults(generator))


def _occurs(generator: np.random.Generator, probability: float) -> bool:
    return bool(generator.uniform() < probability)


def _timeline(generator: np.random.Generator, nodes: int, servers: int) -> list[Event]:
    """Draw three to five groups of faults, each group at one time; in some experiments none comes early."""
    events: list[Event] = []
    groups = int(generator.integers(3, 6))
    first = float(generator.uniform(4.0, 8.0)) if _occurs(generator, 0.3) else SETTLE_SECONDS
    # Each node ends at most once; otherwise the faults of one process could be attributed to the next.
    may_end = [f"node-{number}" for number in range(nodes)]
    for _ in range(groups):
        at = float(generator.uniform(first, LAST_FAULT_AT))
        for _ in range(int(generator.integers(1, 4))):
            events += _fault(generator, at, servers, may_end)
    events.sort(key=lambda event: event.at)
    return events


def _fault(generator: np.random.Generator, at: float, servers: int, may_end: list[str]) -> list[Event]:
    """Draw the events of one fault at this time; takes a node that ends out of `may_end`."""
    kinds = ("server", "server", "drain", "moves", "outage", "late list", "restart", "restart", "crash")
    kind = kinds[int(generator.integers(len(kinds)))]
    length = float(generator.uniform(0.5, 4.0))
    numbers = generator.permutation(servers - SPARED_SERVERS)[: int(generator.integers(1, 3))]
    affected = [f"front-{number + SPARED_SERVERS}" for number in sorted(numbers.tolist())]
    node_index = int(generator.integers(8))
    if kind == "server":
        fault = SERVER_FAULTS[int(generator.integers(len(SERVER_FAULTS)))]
        by = 0.2 if fault == "spoil" else 4.0
        return [Event(at=at, do=fault, who=affected, seconds=length, by=by)]  # type: ignore[arg-type]
    if kind == "drain":
        return [Event(at=at, do="drain", who=affected, seconds=3.0 + length)]
    if kind == "moves":
        interval = float(generator.uniform(0.3, 0.9))
        return [
            Event(at=at + interval * count, do="node_hup", who=["all"]) for count in range(int(length) + 1)
        ]
    if kind == "outage":
        down = Event(at=at, do="list_down", seconds=length)
        return [down, Event(at=at + length * 0.5, do="drain", who=affected, seconds=5.0)]
    if kind == "late list":
        return [Event(at=at, do="list_late", seconds=length, by=float(generator.uniform(0.2, 2.0)))]
    if not may_end:
        return []
    node = [may_end.pop(node_index % len(may_end))]
    if kind == "restart":
        # SIGKILL follows as early as the platform may send it: 0.7 s after the longest deadline.
        return [Event(at=at, do="node_term", who=node, seconds=1.7)]
    return [Event(at=at, do="node_kill", who=node, seconds=length)]


def _faults(generator: np.random.Generator) -> SystemFaults | None:
    has_shim = _occurs(generator, SHIM_PROBABILITY)
    calls = {}
    for kind, (most_frequent, rarest) in CALL_INTERVALS.items():
        interval = int(generator.integers(most_frequent, rarest))
        if _occurs(generator, SHIM_FAULT_PROBABILITY):
            calls[kind] = interval
    steps = []
    for _ in range(int(generator.integers(0, 3))):
        offset = CLOCK_STEPS[int(generator.integers(len(CLOCK_STEPS)))]
        steps.append((round(float(generator.uniform(0.5, LAST_FAULT_AT)), 2), offset))
    return SystemFaults(calls, tuple(sorted(steps))) if has_shim else None
