"""The plan of a load: who asks for what and when, drawn ahead from the seed and never from what happens.

Intended times are whole microseconds from the start. The plan is the same byte for byte for the same
experiment and seed; only the answers differ between runs.
"""

from __future__ import annotations

import csv
from pathlib import Path

import msgspec
import numpy as np
from numpy.typing import NDArray

from coraldeal.rig.draws import stream
from coraldeal.rig.experiment import Experiment, ExperimentError, Load, TrackSpec

SECOND = 1_000_000
# What a plan may hold, so that a slip in a file does not fill the memory.
MOST = 2_000_000
# Planned for a closed loop, which goes round them.
CLOSED_PLAN = 50_000


class Planned(msgspec.Struct, array_like=True):
    """One inquiry that a caller is to make."""

    at_us: int
    track: int
    tenant: int
    work_us: int
    calls: int
    # Which caller of the front: chooses its zone and node.
    caller: int
    mark: str
    # After how long it leaves without an answer, counted from its sending; 0: it stays.
    leaves_us: int
    obeys: bool


class Plan(msgspec.Struct):
    """All inquiries of one run, by intended time."""

    inquiries: list[Planned]

    def part(self, number: int, of: int) -> list[tuple[int, Planned]]:
        """What one of several processes sends, each with its place in the whole plan."""
        return [(at, self.inquiries[at]) for at in range(number, len(self.inquiries), of)]


def _level(load: Load, at: NDArray[np.float64]) -> NDArray[np.float64]:
    """The multiple of the rate at these seconds."""
    level = np.ones_like(at)
    last_at, last = 0.0, 1.0
    for step in load.shape:
        if step.ramp:
            between = (at >= last_at) & (at < step.at)
            if step.at > last_at:
                level[between] = last + (step.rate - last) * (at[between] - last_at) / (step.at - last_at)
        level[at >= step.at] = step.rate
        last_at, last = step.at, step.rate
    return level


def _times(load: Load, seconds: float, seed: int) -> NDArray[np.float64]:
    """Intended times in seconds, in order."""
    # The load's integral, on a fine grid; arrivals are where it passes whole (or exponential) steps.
    grid = np.linspace(0.0, seconds, max(2, int(seconds * 1000) + 1))
    level = _level(load, grid) * load.rate
    middle = (level[1:] + level[:-1]) / 2
    total = np.concatenate([[0.0], np.cumsum(middle * np.diff(grid))])
    count = int(total[-1])
    if count > MOST:
        raise ExperimentError(f"load.rate: {count} inquiries are more than a plan may hold, {MOST}")
    if load.arrivals == "constant":
        marks = np.arange(1, count + 1, dtype=np.float64)
    else:
        draws = stream(seed, "arrivals").exponential(size=int(count * 1.2) + 1000)
        marks = np.cumsum(draws)
        marks = marks[marks < total[-1]]
    times = np.interp(marks, total, grid)
    bursts = [
        burst.at + np.linspace(0.0, burst.over_ms / 1000, burst.count, endpoint=False)
        for burst in load.bursts
    ]
    return np.sort(np.concatenate([times, *bursts]), kind="stable")


def _works(track: TrackSpec, count: int, seed: int) -> NDArray[np.float64]:
    """Microseconds of work on a core of speed 1."""
    mean = track.work_ms * 1000
    draws = stream(seed, f"work {track.name}")
    if track.work == "fixed" or mean == 0:
        return np.full(count, mean)
    if track.work == "exponential":
        return draws.exponential(mean, count)
    sigma = float(np.sqrt(np.log(1 + track.work_spread**2)))
    return draws.lognormal(np.log(mean) - sigma**2 / 2, sigma, count)


def _choices(shares: list[float], count: int, seed: int, name: str) -> NDArray[np.int64]:
    total = np.asarray(shares, dtype=np.float64)
    return stream(seed, name).choice(len(shares), size=count, p=total / total.sum())


def read_trace(path: Path, tracks: list[str]) -> tuple[NDArray[np.float64], NDArray[np.int64]]:
    """A recorded load: a CSV with the columns `seconds` and `track`."""
    times, kinds = [], []
    try:
        with path.open(newline="", encoding="utf-8") as file:
            for number, row in enumerate(csv.DictReader(file), 2):
                try:
                    times.append(float(row["seconds"]))
                    kinds.append(tracks.index(row["track"]))
                except (KeyError, TypeError, ValueError) as error:
                    raise ExperimentError(f"load.trace: {path} line {number}: {error}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"load.trace: {path}: {error}") from None
    order = np.argsort(times, kind="stable")
    return np.asarray(times)[order], np.asarray(kinds, dtype=np.int64)[order]


def make_plan(experiment: Experiment, seed: int) -> Plan:
    """The plan of one run."""
    load, tracks = experiment.load, experiment.load.tracks
    names = [track.name for track in tracks]
    if load.trace:
        times, kinds = read_trace(Path(load.trace), names)
        keep = times < experiment.seconds
        times, kinds = times[keep], kinds[keep]
    elif load.closed:
        times = np.zeros(CLOSED_PLAN)
        kinds = _choices([track.share for track in tracks], len(times), seed, "tracks")
    else:
        times = _times(load, experiment.seconds, seed)
        kinds = _choices([track.share for track in tracks], len(times), seed, "tracks")
    count = len(times)
    works = np.zeros(count)
    calls = np.zeros(count, dtype=np.int64)
    deeper = len(experiment.world.tiers) > 1
    for number, track in enumerate(tracks):
        mine = kinds == number
        works[mine] = _works(track, int(mine.sum()), seed)
        if deeper and track.calls:
            draws = stream(seed, f"calls {track.name}").random(int(mine.sum()))
            whole = int(track.calls)
            calls[mine] = whole + (draws < track.calls - whole)
    tenants = (
        _choices([tenant.share for tenant in load.tenants], count, seed, "tenants") if load.tenants else None
    )
    callers = stream(seed, "callers").integers(0, 1 << 30, count)
    marks = stream(seed, "marks").bytes(16 * count)
    leaves = stream(seed, "leaves").random((count, 2))
    obeys = stream(seed, "obeys").random(count) < load.obey
    least, most = load.leave_after_ms
    inquiries = [
        Planned(
            at_us=int(times[i] * SECOND),
            track=int(kinds[i]),
            tenant=int(tenants[i]) if tenants is not None else -1,
            work_us=int(works[i]),
            calls=int(calls[i]),
            caller=int(callers[i]),
            mark=marks[16 * i : 16 * i + 16].hex(),
            leaves_us=int((least + (most - least) * leaves[i, 1]) * 1000) if leaves[i, 0] < load.leave else 0,
            obeys=bool(obeys[i]),
        )
        for i in range(count)
    ]
    return Plan(inquiries)
