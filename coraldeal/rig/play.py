"""Runs an experiment: each variant for each repetition, in balanced order; results go to one directory."""

from __future__ import annotations

import asyncio
import json
import os
import platform
import re
import signal
import subprocess
import time
from collections.abc import Callable
from importlib import metadata
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from coraldeal import __version__
from coraldeal.rig.assertions import evaluate_assertion, parse_assertion
from coraldeal.rig.clock import now_us
from coraldeal.rig.experiment import (
    Experiment,
    ExperimentError,
    Variant,
    expand_variants,
    read_experiment,
    set_by_path,
)
from coraldeal.rig.load import make_plan
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.results import Series, Summary, SummaryBuilder
from coraldeal.rig.run import Run
from coraldeal.rig.timeline import make_steps

# Exit statuses.
OK, ASSERTION_FAILED, USAGE_ERROR, INTERRUPTED = 0, 1, 2, 130


class Verdict(msgspec.Struct):
    """The result of one assertion for one variant."""

    claim: str
    variant: str
    true: bool
    # Value of the left side of the assertion.
    value: str


class Ratio(msgspec.Struct):
    """Ratio of a variant's figure to that of the first variant.

    `first`, `this` and `ratio` are of the medians; `least` and `most` are over pairs of repetitions.
    """

    figure: str
    variant: str
    first: float
    this: float
    ratio: float
    least: float
    most: float


class ExperimentResult(msgspec.Struct):
    """Results of an experiment, as written to summary.json, series.json and histograms.json."""

    name: str
    about: str
    machine: dict[str, Any]
    summaries: list[Summary]
    series: list[Series]
    # For each of `summaries`: the histograms by request class, as encoded by hdrhistogram.
    histograms: list[dict[str, str]]
    ratios: list[Ratio]
    verdicts: list[Verdict]
    interrupted: bool = False


# Figures that are compared between variants and between results.
COMPARED_FIGURES = (
    "worth",
    "satisfied_part",
    "deferred_part",
    "given_up_part",
    "satisfied_per_s",
    "p50_ms",
    "p99_ms",
    "p99_9_ms",
    "trips_per_inquiry",
    "wasted_work_part",
    "node_cpu_us_per_inquiry",
    "node_rss_mb",
    "peak_offered",
    "again_s",
    "violations",
)


def folder_name(text: str) -> str:
    """Turn the name of a variant into the name of a directory."""
    return re.sub(r"[^\w.-]+", "-", text).strip("-") or "run"


def describe_machine() -> dict[str, Any]:
    """Return the commit, the versions and the machine of a measurement."""
    head = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    )
    changed = subprocess.run(
        ["git", "-C", str(ROOT), "status", "--porcelain", "--", "coraldeal"],
        capture_output=True,
        text=True,
        check=False,
    )
    versions = {}
    for name in ("aiohttp", "msgspec", "hdrhistogram", "numpy"):
        try:
            versions[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            versions[name] = "none"
    return {
        "coraldeal": __version__,
        "commit": head.stdout.strip() + (" with changes" if changed.stdout.strip() else ""),
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.release()} {platform.machine()}",
        "cores": os.cpu_count(),
        "load_before": round(os.getloadavg()[0], 2),
        "versions": versions,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


class ExperimentRunner:
    """Runs the experiment of one file.

    Raises ExperimentError or InvalidAssertionError for an invalid file, before any process is started.
    """

    def __init__(
        self,
        path: Path,
        folder: Path,
        *,
        overrides: dict[str, Any] | None = None,
        seed: int | None = None,
        say: Callable[[str], None] = print,
        on_progress: Callable[[Run], None] | None = None,
    ) -> None:
        first, values = read_experiment(path)
        for key, value in (overrides or {}).items():
            set_by_path(values, key, value, "--set")
        if seed is not None:
            values["seed"] = seed
        self.variants = expand_variants(first, values, str(path))
        self.experiment = self.variants[0][1]
        self.folder = folder
        self.text = path.read_text(encoding="utf-8")
        self.say = say
        self.on_progress = on_progress
        # Runs in progress; several at once in side-by-side mode.
        self.active_runs: list[Run] = []
        self.interrupted = False
        # Errors in assertions and timelines are raised before anything is started.
        for assertion in self.experiment.claims:
            parse_assertion(assertion)
        for _, experiment in self.variants:
            make_steps(experiment, experiment.seed)

    def interrupt(self) -> None:
        """Stop the active runs; their records until now are kept."""
        self.interrupted = True
        for run in self.active_runs:
            run.stop.set()

    async def run(self) -> tuple[ExperimentResult, int]:
        """Execute all runs and write the results; returns them and the exit status."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "experiment.toml").write_text(self.text, encoding="utf-8")
        variants = list(self.variants)
        (self.folder / "as-played.json").write_bytes(
            msgspec.json.format(msgspec.json.encode({v.name: e for v, e in variants}))
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.interrupt)
        result = ExperimentResult(
            self.experiment.name, self.experiment.about, describe_machine(), [], [], [], [], []
        )
        try:
            for repetition in range(self.experiment.repetitions):
                # Alternate the direction, so that a drift of the machine's speed favours no variant.
                order = variants if repetition % 2 == 0 else variants[::-1]
                if self.experiment.side_by_side:
                    await asyncio.gather(*(self._run_one(result, *each, repetition) for each in order))
                else:
                    for each in order:
                        if not self.interrupted:
                            await self._run_one(result, *each, repetition)
                if self.interrupted:
                    break
        finally:
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)
        names = [variant.name for variant, _ in variants]
        zipped = zip(result.summaries, result.series, result.histograms, strict=True)
        ordered = sorted(zipped, key=lambda run: (names.index(run[0].variant), run[0].repetition))
        result.summaries = [run[0] for run in ordered]
        result.series = [run[1] for run in ordered]
        result.histograms = [run[2] for run in ordered]
        result.interrupted = self.interrupted
        result.ratios = compute_ratios(result.summaries, names)
        result.verdicts = check_assertions(self.experiment, result.summaries, names)
        write_result(result, self.folder)
        if self.interrupted:
            return result, INTERRUPTED
        has_failed = any(not verdict.true for verdict in result.verdicts)
        return result, ASSERTION_FAILED if has_failed else OK

    async def _run_one(
        self, result: ExperimentResult, variant: Variant, experiment: Experiment, repetition: int
    ) -> None:
        seed = experiment.seed + repetition
        folder = self.folder / f"{folder_name(variant.name)}-{repetition}"
        run = Run(experiment, variant, seed, folder, self.on_progress)
        self.active_runs.append(run)
        try:
            run_result = await run.execute()
        finally:
            self.active_runs.remove(run)
        builder = SummaryBuilder(run_result, repetition)
        summary, series = builder.build()
        (folder / "plan.msgpack").write_bytes(msgspec.msgpack.encode(make_plan(experiment, seed)))
        run_result.records.write(folder / "books.msgpack")
        result.summaries.append(summary)
        result.series.append(series)
        result.histograms.append({name: h.encode().decode("ascii") for name, h in builder.histograms.items()})
        self.say(format_summary(summary))
        for warning in summary.warnings:
            self.say(f"  warning: {warning}")
        for violation in summary.violations[:3]:
            self.say(f"  rule violated, {violation.rule}: {violation.what}")
            for line in violation.trace[:12]:
                self.say(f"    {line}")


def format_summary(summary: Summary) -> str:
    """Return the main figures of a run as one line of text."""
    f = summary.figures
    return (
        f"{summary.variant} #{summary.repetition + 1}: {f['asked']:.0f} asked, "
        f"{f['satisfied_part']:.1%} satisfied, {f['deferred_part']:.1%} deferred, "
        f"{f['given_up_part']:.1%} given up, {f['unanswered_part']:.1%} unanswered; "
        f"p50 {f.get('p50_ms', 0):.1f} p99 {f.get('p99_ms', 0):.1f} ms; "
        f"worth {f['worth']:.3f}; rule violations {f['violations']:.0f}"
    )


def compute_ratios(summaries: list[Summary], names: list[str]) -> list[Ratio]:
    """Compare each variant with the first: the ratio of medians, and its range over the repetitions."""
    ratios = []
    by_name = {name: [s for s in summaries if s.variant == name] for name in names}
    first = by_name[names[0]] if names else []
    for name in names[1:]:
        other = by_name[name]
        if not first or not other:
            continue
        for figure in COMPARED_FIGURES:
            first_values = [s.figures[figure] for s in first if figure in s.figures]
            other_values = [s.figures[figure] for s in other if figure in s.figures]
            if not first_values or not other_values or not median(first_values):
                continue
            pairs = [b / a for a, b in zip(first_values, other_values, strict=False) if a]
            value = median(other_values) / median(first_values)
            ratios.append(
                Ratio(figure, name, median(first_values), median(other_values), value, min(pairs), max(pairs))
            )
    return ratios


def check_assertions(experiment: Experiment, summaries: list[Summary], names: list[str]) -> list[Verdict]:
    """Evaluate each assertion for each variant; it fails if it fails in one of the repetitions."""
    verdicts = []
    for assertion in experiment.claims:
        for name in names:
            results = [evaluate_assertion(assertion, s.figures) for s in summaries if s.variant == name]
            if results:
                worst = next((result for result in results if not result[0]), results[0])
                verdicts.append(Verdict(assertion, name, worst[0], worst[1]))
    return verdicts


def write_result(result: ExperimentResult, folder: Path) -> None:
    """Write summary.json, series.json and histograms.json to the directory."""
    runs = [f"{s.variant} #{s.repetition + 1}" for s in result.summaries]
    series = dict(zip(runs, result.series, strict=True))
    (folder / "series.json").write_bytes(msgspec.json.encode(series))
    (folder / "histograms.json").write_text(
        json.dumps(dict(zip(runs, result.histograms, strict=True)), indent=1), encoding="utf-8"
    )
    summary = msgspec.structs.replace(result, series=[], histograms=[])
    (folder / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(summary)))


def read_result(folder: Path) -> ExperimentResult:
    """Read what `write_result` wrote; raises ExperimentError if the files are missing or invalid."""
    try:
        result: ExperimentResult = msgspec.json.decode(
            (folder / "summary.json").read_bytes(), type=ExperimentResult
        )
        series: dict[str, Series] = msgspec.json.decode(
            (folder / "series.json").read_bytes(), type=dict[str, Series]
        )
        histograms = json.loads((folder / "histograms.json").read_text(encoding="utf-8"))
    except (OSError, ValueError, msgspec.DecodeError) as error:
        raise ExperimentError(f"{folder}: no results found: {error}") from None
    result.series = list(series.values())
    result.histograms = list(histograms.values())
    return result


def default_folder(path: Path) -> Path:
    """Return the path of a new directory of results, named by the file, the time and the process id."""
    return Path("results") / f"{path.stem}-{time.strftime('%Y%m%dT%H%M%S')}-{os.getpid()}"


def progress_line(run: Run) -> str:
    """Return the progress of a run as one line of text."""
    counts: dict[str, int] = {}
    for child in run.children:
        for name, value in child.latest.counts.items():
            counts[name] = counts.get(name, 0) + value
    at = max(0.0, (now_us() - run.start_us) / 1e6)
    outcomes = ", ".join(
        f"{counts[name]} {name}"
        for name in ("satisfied", "deferred", "given up", "unanswered")
        if name in counts
    )
    return f"{run.variant.name}: {at:5.1f} of {run.experiment.seconds:g} s, {outcomes}"
