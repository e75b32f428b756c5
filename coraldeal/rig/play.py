"""A whole experiment: each variant as often as wanted, in balanced order, into one directory."""

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
from coraldeal.rig.results import Counted, Series, Summary
from coraldeal.rig.run import Run
from coraldeal.rig.timeline import steps_of

# Exit statuses.
OK, CLAIM_BROKEN, BAD_USE, INTERRUPTED = 0, 1, 2, 130


class Verdict(msgspec.Struct):
    """One claim at one variant."""

    claim: str
    variant: str
    true: bool
    value: str


class Ratio(msgspec.Struct):
    """A figure of a variant against the first one's: the medians' ratio and its spread over repetitions."""

    figure: str
    variant: str
    first: float
    this: float
    ratio: float
    least: float
    most: float


class Outcome(msgspec.Struct):
    """The whole experiment as told in summary.json."""

    name: str
    about: str
    machine: dict[str, Any]
    summaries: list[Summary]
    series: list[Series]
    # By place in `summaries`: the raw histograms, encoded by hdrhistogram, by track.
    histograms: list[dict[str, str]]
    ratios: list[Ratio]
    verdicts: list[Verdict]
    interrupted: bool = False


# Figures that are compared between variants.
COMPARED = (
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


def slug(text: str) -> str:
    """A folder's name from a variant's."""
    return re.sub(r"[^\w.-]+", "-", text).strip("-") or "run"


def machine() -> dict[str, Any]:
    """Where and with what this was measured."""
    asked = subprocess.run(
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
        "commit": asked.stdout.strip() + (" with changes" if changed.stdout.strip() else ""),
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.release()} {platform.machine()}",
        "cores": os.cpu_count(),
        "load_before": round(os.getloadavg()[0], 2),
        "versions": versions,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


class Play:
    """One experiment file, played."""

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
        self.running: list[Run] = []
        self.interrupted = False
        # What can't be played is told before anything is started.
        for claim in self.experiment.claims:
            parse_assertion(claim)
        for _, experiment in self.variants:
            steps_of(experiment, experiment.seed)

    def interrupt(self) -> None:
        """End what runs; what was measured is kept."""
        self.interrupted = True
        for run in self.running:
            run.stop.set()

    async def play(self) -> tuple[Outcome, int]:
        """All runs; the outcome and the exit status."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "experiment.toml").write_text(self.text, encoding="utf-8")
        played = list(self.variants)
        (self.folder / "as-played.json").write_bytes(
            msgspec.json.format(msgspec.json.encode({v.name: e for v, e in played}))
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.interrupt)
        outcome = Outcome(self.experiment.name, self.experiment.about, machine(), [], [], [], [], [])
        try:
            for repetition in range(self.experiment.repetitions):
                # There and back, so that what drifts in the machine favours none.
                order = played if repetition % 2 == 0 else played[::-1]
                if self.experiment.side_by_side:
                    await asyncio.gather(*(self._one(outcome, *each, repetition) for each in order))
                else:
                    for each in order:
                        if not self.interrupted:
                            await self._one(outcome, *each, repetition)
                if self.interrupted:
                    break
        finally:
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)
        names = [variant.name for variant, _ in played]
        zipped = zip(outcome.summaries, outcome.series, outcome.histograms, strict=True)
        ordered = sorted(zipped, key=lambda told: (names.index(told[0].variant), told[0].repetition))
        outcome.summaries = [told[0] for told in ordered]
        outcome.series = [told[1] for told in ordered]
        outcome.histograms = [told[2] for told in ordered]
        outcome.interrupted = self.interrupted
        outcome.ratios = ratios(outcome.summaries, names)
        outcome.verdicts = verdicts(self.experiment, outcome.summaries, names)
        write(outcome, self.folder)
        if self.interrupted:
            return outcome, INTERRUPTED
        broken = any(not verdict.true for verdict in outcome.verdicts)
        return outcome, CLAIM_BROKEN if broken else OK

    async def _one(self, outcome: Outcome, variant: Variant, experiment: Experiment, repetition: int) -> None:
        seed = experiment.seed + repetition
        folder = self.folder / f"{slug(variant.name)}-{repetition}"
        run = Run(experiment, variant, seed, folder, self.on_progress)
        self.running.append(run)
        try:
            played = await run.play()
        finally:
            self.running.remove(run)
        counted = Counted(played, repetition)
        summary, series = counted.summary()
        (folder / "plan.msgpack").write_bytes(msgspec.msgpack.encode(make_plan(experiment, seed)))
        played.book.write(folder / "books.msgpack")
        outcome.summaries.append(summary)
        outcome.series.append(series)
        outcome.histograms.append(
            {name: h.encode().decode("ascii") for name, h in counted.histograms.items()}
        )
        self.say(line_of(summary))
        for warning in summary.warnings:
            self.say(f"  beware: {warning}")
        for violation in summary.violations[:3]:
            self.say(f"  rule broken, {violation.rule}: {violation.what}")
            for row in violation.trace[:12]:
                self.say(f"    {row}")


def line_of(summary: Summary) -> str:
    """A run in one line."""
    f = summary.figures
    return (
        f"{summary.variant} #{summary.repetition + 1}: {f['asked']:.0f} asked, "
        f"{f['satisfied_part']:.1%} satisfied, {f['deferred_part']:.1%} deferred, "
        f"{f['given_up_part']:.1%} given up, {f['unanswered_part']:.1%} unanswered; "
        f"p50 {f.get('p50_ms', 0):.1f} p99 {f.get('p99_ms', 0):.1f} ms; "
        f"worth {f['worth']:.3f}; rules broken {f['violations']:.0f}"
    )


def ratios(summaries: list[Summary], names: list[str]) -> list[Ratio]:
    """Each variant against the first, by medians, with the spread over the repetitions played together."""
    told = []
    by_name = {name: [s for s in summaries if s.variant == name] for name in names}
    first = by_name[names[0]] if names else []
    for name in names[1:]:
        these = by_name[name]
        if not first or not these:
            continue
        for figure in COMPARED:
            one = [s.figures[figure] for s in first if figure in s.figures]
            two = [s.figures[figure] for s in these if figure in s.figures]
            if not one or not two or not median(one):
                continue
            pairs = [b / a for a, b in zip(one, two, strict=False) if a]
            value = median(two) / median(one)
            told.append(Ratio(figure, name, median(one), median(two), value, min(pairs), max(pairs)))
    return told


def verdicts(experiment: Experiment, summaries: list[Summary], names: list[str]) -> list[Verdict]:
    """Each claim at each run of each variant; the worst of the repetitions counts."""
    told = []
    for claim in experiment.claims:
        for name in names:
            checked = [evaluate_assertion(claim, s.figures) for s in summaries if s.variant == name]
            if checked:
                worst = next((c for c in checked if not c[0]), checked[0])
                told.append(Verdict(claim, name, worst[0], worst[1]))
    return told


def write(outcome: Outcome, folder: Path) -> None:
    """summary.json, series.json and histograms.json."""
    runs = [f"{s.variant} #{s.repetition + 1}" for s in outcome.summaries]
    series = dict(zip(runs, outcome.series, strict=True))
    (folder / "series.json").write_bytes(msgspec.json.encode(series))
    (folder / "histograms.json").write_text(
        json.dumps(dict(zip(runs, outcome.histograms, strict=True)), indent=1), encoding="utf-8"
    )
    short = msgspec.structs.replace(outcome, series=[], histograms=[])
    (folder / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(short)))


def read(folder: Path) -> Outcome:
    """What `write` wrote; raises ExperimentError."""
    try:
        outcome: Outcome = msgspec.json.decode((folder / "summary.json").read_bytes(), type=Outcome)
        series: dict[str, Series] = msgspec.json.decode(
            (folder / "series.json").read_bytes(), type=dict[str, Series]
        )
        raw = json.loads((folder / "histograms.json").read_text(encoding="utf-8"))
    except (OSError, ValueError, msgspec.DecodeError) as error:
        raise ExperimentError(f"{folder}: no results there: {error}") from None
    outcome.series = list(series.values())
    outcome.histograms = list(raw.values())
    return outcome


def default_folder(path: Path) -> Path:
    """A new one for each time."""
    return Path("results") / f"{path.stem}-{time.strftime('%Y%m%dT%H%M%S')}-{os.getpid()}"


def progress_line(run: Run) -> str:
    """How a run stands, in one plain line."""
    counts: dict[str, int] = {}
    for child in run.children:
        for name, value in child.latest.counts.items():
            counts[name] = counts.get(name, 0) + value
    at = max(0.0, (now_us() - run.start_us) / 1e6)
    fates = ", ".join(
        f"{counts[name]} {name}"
        for name in ("satisfied", "deferred", "given up", "unanswered")
        if name in counts
    )
    return f"{run.variant.name}: {at:5.1f} of {run.experiment.seconds:g} s, {fates}"
