"""The plan of a load: who sends which inquiry and when, drawn from the seed before the run.

The plan does not depend on what happens in the run. Intended times are whole microseconds from the start. The
plan is the same byte for byte for the same experiment and seed; only the answers differ between runs.
"""

from __future__ import annotations

import csv
from pathlib import Path

import msgspec
import numpy as np
from numpy.typing import NDArray

from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import Experiment, ExperimentError, Load, RequestClassSpec

SECOND = 1_000_000
# Inquiries that a plan may hold, so that a mistyped rate in a file does not fill the memory.
MAX_INQUIRIES = 2_000_000
# Inquiries planned for a closed loop, which repeats them.
CLOSED_LOOP_INQUIRIES = 50_000


class PlannedInquiry(msgspec.Struct, array_like=True):
    """One inquiry that a caller is to make."""

    at_us: int
    # Index of the request class.
    request_class: int
    # Index of the tenant; -1: none.
    tenant: int
    work_us: int
    # Calls to the next tier.
    calls: int
    # The number of the caller, which selects its zone and node.
    caller: int
    idempotency_key: str
    # Time from the sending of the request to the caller's leaving without an answer; 0: it stays.
    leaves_after_us: int
    obeys_retry_after: bool


class Plan(msgspec.Struct):
    """All inquiries of one run, in order of their intended times."""

    inquiries: list[PlannedInquiry]

    def share(self, number: int, of: int) -> list[tuple[int, PlannedInquiry]]:
        """Return the inquiries of process `number` out of `of`, each with its index in the whole plan."""
        return [(at, self.inquiries[at]) for at in range(number, len(self.inquiries), of)]


def _rate_factors(load: Load, at: NDArray[np.float64]) -> NDArray[np.float64]:
    """Return the multiple of the base rate at these seconds."""
    factors = np.ones_like(at)
    last_at, last_factor = 0.0, 1.0
    for step in load.shape:
        if step.ramp:
            between = (at >= last_at) & (at < step.at)
            if step.at > last_at:
                factors[between] = last_factor + (step.rate - last_factor) * (at[between] - last_at) / (
                    step.at - last_at
                )
        factors[at >= step.at] = step.rate
        last_at, last_factor = step.at, step.rate
    return factors


def _arrival_times(load: Load, seconds: float, seed: int) -> NDArray[np.float64]:
    """Return the intended times in seconds, in order; raises ExperimentError if there are too many."""
    # The integral of the rate on a grid of milliseconds. Arrivals are where the integral reaches whole steps,
    # or steps of exponential length for a Poisson process.
    grid = np.linspace(0.0, seconds, max(2, int(seconds * 1000) + 1))
    rates = _rate_factors(load, grid) * load.rate
    mean_rates = (rates[1:] + rates[:-1]) / 2
    total = np.concatenate([[0.0], np.cumsum(mean_rates * np.diff(grid))])
    count = int(total[-1])
    if count > MAX_INQUIRIES:
        raise ExperimentError(f"load.rate: {count} inquiries exceed the {MAX_INQUIRIES} that a plan may hold")
    if load.arrivals == "constant":
        steps = np.arange(1, count + 1, dtype=np.float64)
    else:
        draws = random_stream(seed, "arrivals").exponential(size=int(count * 1.2) + 1000)
        steps = np.cumsum(draws)
        steps = steps[steps < total[-1]]
    times = np.interp(steps, total, grid)
    bursts = [
        burst.at + np.linspace(0.0, burst.over_ms / 1000, burst.count, endpoint=False)
        for burst in load.bursts
    ]
    return np.sort(np.concatenate([times, *bursts]), kind="stable")


def _draw_work(request_class: RequestClassSpec, count: int, seed: int) -> NDArray[np.float64]:
    """Draw the work of each inquiry of a class, in microseconds on a core of speed 1."""
    mean = request_class.work_ms * 1000
    draws = random_stream(seed, f"work {request_class.name}")
    if request_class.work == "fixed" or mean == 0:
        return np.full(count, mean)
    if request_class.work == "exponential":
        return draws.exponential(mean, count)
    sigma = float(np.sqrt(np.log(1 + request_class.work_spread**2)))
    return draws.lognormal(np.log(mean) - sigma**2 / 2, sigma, count)


def _draw_choices(weights: list[float], count: int, seed: int, name: str) -> NDArray[np.int64]:
    """Draw `count` indices of `weights`, each with a probability in proportion to its weight."""
    total = np.asarray(weights, dtype=np.float64)
    return random_stream(seed, name).choice(len(weights), size=count, p=total / total.sum())


def read_trace(path: Path, class_names: list[str]) -> tuple[NDArray[np.float64], NDArray[np.int64]]:
    """Read a recorded load, a CSV with the columns `seconds` and `track` (the name of the request class).

    Returns times in seconds and indices of classes, in order of time. Raises ExperimentError with the line.
    """
    times, class_indices = [], []
    try:
        with path.open(newline="", encoding="utf-8") as file:
            for number, row in enumerate(csv.DictReader(file), 2):
                try:
                    times.append(float(row["seconds"]))
                    class_indices.append(class_names.index(row["track"]))
                except (KeyError, TypeError, ValueError) as error:
                    raise ExperimentError(f"load.trace: {path} line {number}: {error}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"load.trace: {path}: {error}") from None
    order = np.argsort(times, kind="stable")
    return np.asarray(times)[order], np.asarray(class_indices, dtype=np.int64)[order]


def make_plan(experiment: Experiment, seed: int) -> Plan:
    """Draw the plan of one run; raises ExperimentError for an invalid trace or too many inquiries."""
    load, classes = experiment.load, experiment.load.tracks
    names = [spec.name for spec in classes]
    if load.trace:
        times, class_indices = read_trace(Path(load.trace), names)
        within = times < experiment.seconds
        times, class_indices = times[within], class_indices[within]
    elif load.closed:
        times = np.zeros(CLOSED_LOOP_INQUIRIES)
        class_indices = _draw_choices([spec.share for spec in classes], len(times), seed, "tracks")
    else:
        times = _arrival_times(load, experiment.seconds, seed)
        class_indices = _draw_choices([spec.share for spec in classes], len(times), seed, "tracks")
    count = len(times)
    work = np.zeros(count)
    calls = np.zeros(count, dtype=np.int64)
    has_next_tier = len(experiment.world.tiers) > 1
    for number, spec in enumerate(classes):
        of_class = class_indices == number
        work[of_class] = _draw_work(spec, int(of_class.sum()), seed)
        if has_next_tier and spec.calls:
            draws = random_stream(seed, f"calls {spec.name}").random(int(of_class.sum()))
            whole = int(spec.calls)
            calls[of_class] = whole + (draws < spec.calls - whole)
    tenants = (
        _draw_choices([tenant.share for tenant in load.tenants], count, seed, "tenants")
        if load.tenants
        else None
    )
    callers = random_stream(seed, "callers").integers(0, 1 << 30, count)
    keys = random_stream(seed, "marks").bytes(16 * count)
    leaves = random_stream(seed, "leaves").random((count, 2))
    obeys = random_stream(seed, "obeys").random(count) < load.obey
    min_leave_ms, max_leave_ms = load.leave_after_ms
    inquiries = [
        PlannedInquiry(
            at_us=int(times[i] * SECOND),
            request_class=int(class_indices[i]),
            tenant=int(tenants[i]) if tenants is not None else -1,
            work_us=int(work[i]),
            calls=int(calls[i]),
            caller=int(callers[i]),
            idempotency_key=keys[16 * i : 16 * i + 16].hex(),
            leaves_after_us=int((min_leave_ms + (max_leave_ms - min_leave_ms) * leaves[i, 1]) * 1000)
            if leaves[i, 0] < load.leave
            else 0,
            obeys_retry_after=bool(obeys[i]),
        )
        for i in range(count)
    ]
    return Plan(inquiries)
