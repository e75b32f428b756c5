"""Figures of a run from its books: a summary, a time series, histograms, and the rules' verdict.

Latencies count from the first intended time of an inquiry to the last byte of the answer that satisfied it,
in whole microseconds, and are kept in HDR histograms of three digits.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import pairwise
from statistics import median
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from coraldeal.rig.child import fate, place_of
from coraldeal.rig.records import TryRecord
from coraldeal.rig.rules import RULES, RuleChecker, Violation
from coraldeal.rig.run import Played
from coraldeal.rig.timeline import server_names

SECOND = 1_000_000
BUCKET_US = SECOND // 2
LATENCY_MOST = 120 * SECOND
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# A process of the rig that used so much of a core, or a loop so late, may have been the bottleneck itself.
BUSY = 0.85
LATE_TOLD_US = 20_000
# From what part on the machine was not this run's own.
STOLEN = 0.25
# Of the usual: from when on it is served again.
AGAIN = 0.9


class Series(msgspec.Struct):
    """Counts for each half second, by what happened in it."""

    bucket_s: float
    counts: dict[str, list[int]]
    # Trips that reached each server.
    servers: dict[str, list[int]]


class Summary(msgspec.Struct):
    """All that is told of one run."""

    variant: str
    repetition: int
    seed: int
    whole: bool
    figures: dict[str, float]
    # Latency percentiles in milliseconds by track, `all` among them.
    latency_ms: dict[str, dict[str, float]]
    # For each server: trips, served, errors, declined.
    servers: dict[str, dict[str, int]]
    nodes: dict[str, dict[str, float]]
    # Troubles as played: seconds from the start, what, who.
    troubles: list[tuple[float, str, str]]
    violations: list[Violation]
    # What makes these figures doubtful.
    warnings: list[str]


def histogram() -> Any:
    """Microseconds up to two minutes, three digits."""
    return HdrHistogram(1, LATENCY_MOST, 3)


def percentiles(histogram: Any) -> dict[str, float]:
    """In milliseconds; nothing where nothing was counted."""
    if not histogram.get_total_count():
        return {}
    told = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {**told, "max": histogram.get_max_value() / 1000, "mean": histogram.get_mean_value() / 1000}


class Counted:
    """Reads a run's books once."""

    def __init__(self, played: Played, repetition: int) -> None:
        self.played = played
        self.repetition = repetition
        self.experiment = played.experiment
        self.start = played.start_us
        self.from_us = played.start_us + int(self.experiment.settle_seconds * SECOND)
        self.until_us = played.end_us
        self.tracks = {track.name: track for track in self.experiment.load.tracks}
        self.histograms: dict[str, Any] = {"all": histogram()}
        self.figures: dict[str, float] = {}
        self.warnings: list[str] = []
        chains: dict[int, list[TryRecord]] = defaultdict(list)
        for row in played.book.tries:
            if row.layer == 0:
                chains[row.inquiry].append(row)
        self.chains = list(chains.values())

    def summary(self) -> tuple[Summary, Series]:
        """Both, with the rules checked where the experiment wants it."""
        self._inquiries()
        self._trips()
        series = self._series()
        self._outage(series)
        self._costs()
        violations: list[Violation] = []
        counts = dict.fromkeys(RULES, 0)
        if self.experiment.rules == "check":
            judge = RuleChecker(self.experiment, self.played.book, self.played.marks, self.start)
            violations = judge.check()
            counts = judge.counts
        self.figures.update(counts)
        self.figures["violations"] = sum(counts.values())
        played = self.played
        troubles = [(step.at_us / SECOND, step.what, step.who) for step in played.steps]
        troubles += [
            ((row.at_us - self.start) / SECOND, "fell", row.server)
            for row in played.book.servers
            if row.event == "fell"
        ]
        summary = Summary(
            variant=played.variant.name,
            repetition=self.repetition,
            seed=played.seed,
            whole=played.whole,
            figures={name: round(value, 6) for name, value in self.figures.items()},
            latency_ms={name: percentiles(h) for name, h in self.histograms.items()},
            servers=self._servers(),
            nodes={
                name: {
                    "cpu_s": round(f.cpu_s, 3),
                    "rss_mb_first": round(f.rss_mb[0], 1) if f.rss_mb else 0.0,
                    "rss_mb_last": round(f.rss_mb[-1], 1) if f.rss_mb else 0.0,
                    "rss_mb_most": round(max(f.rss_mb, default=0.0), 1),
                    "starts": f.starts,
                    "crashes": f.crashes,
                }
                for name, f in played.nodes.items()
            },
            troubles=troubles,
            violations=violations,
            warnings=self.warnings,
        )
        return summary, series

    # Inquiries.

    def _inquiries(self) -> None:
        counts: Counter[str] = Counter()
        tries: Counter[str] = Counter()
        asked_worth = got_worth = 0.0
        by_track: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for chain in self.chains:
            first, last = chain[0], chain[-1]
            if not self.from_us <= first.intended_us < self.until_us:
                continue
            track = self.tracks[first.request_class]
            counts["asked"] += 1
            asked_worth += track.payoff
            by_track[first.request_class][0] += 1
            for row in chain:
                tries[fate(row.status)] += 1
                tries["all"] += 1
            if last.status == 200:
                took = last.end_us - first.intended_us
                counts["satisfied"] += 1
                by_track[first.request_class][1] += 1
                in_time = took <= track.expected_ms * 1000
                counts["in_time"] += in_time
                got_worth += track.payoff if in_time else track.late_payoff
                value = max(1, min(took, LATENCY_MOST))
                self.histograms["all"].record_value(value)
                if first.request_class not in self.histograms:
                    self.histograms[first.request_class] = histogram()
                self.histograms[first.request_class].record_value(value)
            else:
                counts["left" if last.failure == "left" else fate(last.status)] += 1
        asked = max(1, counts["asked"])
        seconds = max(1e-6, (self.until_us - self.from_us) / SECOND)
        figures = self.figures
        figures["asked"] = counts["asked"]
        for name in ("satisfied", "in_time", "deferred", "given up", "unanswered", "left"):
            key = name.replace(" ", "_")
            figures[key] = counts[name]
            figures[f"{key}_part"] = counts[name] / asked
        figures["asked_per_s"] = counts["asked"] / seconds
        figures["satisfied_per_s"] = counts["satisfied"] / seconds
        figures["worth"] = got_worth / asked_worth if asked_worth else 0.0
        figures["tries_per_inquiry"] = tries["all"] / asked
        figures["tries_deferred"] = tries["deferred"]
        figures["tries_given_up"] = tries["given up"]
        for name, (all_asked, well) in by_track.items():
            figures[f"satisfied_part.{name}"] = well / all_asked
        for name, latency in percentiles(self.histograms["all"]).items():
            figures[f"{name.replace('.', '_')}_ms"] = latency

        # Those who met the end of a process: refused, cut off, or sent to one that never read it.
        met = [row.failure for chain in self.chains for row in chain]
        figures["met_end"] = sum(why in ("refused", "closed", "resent") for why in met)
        doors = self.played.doors
        if doors.took_us:
            times = sorted(doors.took_us)
            figures["door_calls"] = len(times)
            figures["door_bad"] = doors.bad
            figures["door_p50_ms"] = times[len(times) // 2] / 1000
            figures["door_p99_ms"] = times[len(times) * 99 // 100] / 1000
            figures["door_worst_ms"] = times[-1] / 1000
            figures["upgrades"] = doors.upgrades

    # Servers.

    def _trips(self) -> None:
        book = self.played.book
        rows = [row for row in book.attempts if self.from_us <= row.first_us < self.until_us]
        front = [row for row in rows if row.layer == 0]
        figures = self.figures
        figures["trips"] = len(front)
        figures["trips_per_inquiry"] = len(front) / max(1.0, figures["asked"])
        figures["declined_trips"] = sum(row.result == "declined" for row in rows)
        ended = {row.id: row.end_us for row in book.tries}
        work = wasted = 0
        for row in rows:
            if row.ran:
                work += row.work_us
                over = ended.get(row.id, 0)
                if row.result not in ("served", "repeated") or (over and row.end_us > over):
                    wasted += row.work_us
        figures["wasted_work_part"] = wasted / work if work else 0.0
        home = self._zones()
        crossed = sum(home.get(row.server, row.zone) != row.zone for row in rows)
        figures["crossing_part"] = crossed / max(1, len(rows))
        figures["fell"] = sum(row.event == "fell" for row in book.servers)
        if len(self.experiment.world.tiers) > 1:
            deeper = [row for row in rows if row.layer > 0]
            figures["deeper_trips"] = len(deeper)
            late = [row for row in deeper if row.ran and row.result == "called_off"]
            figures["deeper_called_off"] = len(late)

    def _zones(self) -> dict[str, str]:
        return {
            name: place_of(self.experiment, layer, place)[0]
            for layer, names in enumerate(server_names(self.experiment))
            for place, name in enumerate(names)
        }

    def _servers(self) -> dict[str, dict[str, int]]:
        told: dict[str, Counter[str]] = {name: Counter() for name in self._zones()}
        for row in self.played.book.attempts:
            told[row.server]["trips"] += 1
            told[row.server][row.result] += 1
        return {name: dict(counts) for name, counts in told.items()}

    # Over time.

    def _series(self) -> Series:
        length = max(1, -(-(self.until_us - self.start) // BUCKET_US))
        names = ("offered", "satisfied", "deferred", "given up", "unanswered", "trips")
        counts = {name: [0] * length for name in names}
        servers = {name: [0] * length for name in self._zones()}

        def add(values: list[int], at_us: int) -> None:
            place = (at_us - self.start) // BUCKET_US
            if 0 <= place < length:
                values[place] += 1

        for row in self.played.book.tries:
            if row.layer == 0:
                add(counts["offered"], row.intended_us)
                if row.end_us and row.failure not in ("left", "ended"):
                    add(counts[fate(row.status)], row.end_us)
        for attempt in self.played.book.attempts:
            if attempt.layer == 0:
                add(counts["trips"], attempt.first_us)
            add(servers[attempt.server], attempt.first_us)
        return Series(BUCKET_US / SECOND, counts, servers)

    def _outage(self, series: Series) -> None:
        """The peak of offered load against the usual, and how long it took to be served again."""
        steps = [step.at_us for step in self.played.steps]
        settled = int(self.experiment.settle_seconds * SECOND) // BUCKET_US
        first = min(steps) // BUCKET_US if steps else len(series.counts["trips"])
        before = slice(settled, max(settled + 1, first))
        usual = median(series.counts["trips"][before] or [0])
        satisfied = median(series.counts["satisfied"][before] or [0])
        figures = self.figures
        figures["usual_trips_per_s"] = usual / series.bucket_s
        after = series.counts["trips"][settled:]
        figures["peak_offered"] = max(after, default=0) / usual if usual else 0.0
        figures["again_s"] = -1.0
        if not steps or not satisfied:
            return
        back = max(steps)
        last = back // BUCKET_US
        well = [value >= AGAIN * satisfied for value in series.counts["satisfied"]]
        # Twice in a row: one half second may be good by chance.
        for place, (one, two) in enumerate(pairwise(well)):
            if place >= last and one and two:
                figures["again_s"] = max(0.0, (place * BUCKET_US - back) / SECOND)
                break

    # What it cost.

    def _costs(self) -> None:
        played, figures = self.played, self.figures
        seconds = max(1e-6, (self.until_us - self.start) / SECOND)
        cpu = sum(f.cpu_s for f in played.nodes.values())
        answered = sum(1 for row in played.book.tries if row.layer == 0 and row.status)
        figures["node_cpu_us_per_inquiry"] = cpu / max(1, answered) * SECOND if cpu else 0.0
        figures["node_cpu_part"] = max((f.cpu_s / seconds for f in played.nodes.values()), default=0.0)
        figures["node_rss_mb"] = max((max(f.rss_mb, default=0.0) for f in played.nodes.values()), default=0.0)
        figures["crashes"] = sum(f.crashes for f in played.nodes.values())
        busiest = max(played.rig_cpu, key=lambda name: played.rig_cpu[name])
        figures["rig_cpu_part"] = played.rig_cpu[busiest] / seconds
        lates = [row.late_us for row in played.book.late if row.at_us >= self.from_us]
        figures["rig_late_ms"] = max(lates, default=0) / 1000
        if figures["rig_cpu_part"] > BUSY:
            part = figures["rig_cpu_part"]
            self.warnings.append(f"the rig was the bottleneck itself: {busiest} used {part:.0%} of a core")
        if max(lates, default=0) > LATE_TOLD_US:
            self.warnings.append(
                f"the rig ran up to {max(lates) / 1000:.0f} ms late, {len(lates)} times: latencies hold it"
            )
        figures["machine_stolen_part"] = played.stolen
        if played.stolen > STOLEN:
            self.warnings.append(f"others took {played.stolen:.0%} of the busy time of this machine")
        if not played.whole:
            self.warnings.append("the run was cut short; figures are of what was measured until then")
        for name, node in played.nodes.items():
            if node.crashes:
                self.warnings.append(f"{name} ended by itself, {node.crashes} times")
