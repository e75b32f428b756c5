"""Computes the results of a run from its records: figures, a time series, histograms, and rule violations.

A latency counts from the first intended time of an inquiry to the last byte of its successful answer.
Latencies are whole microseconds, recorded in HDR histograms with three significant digits.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import pairwise
from statistics import median
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from coraldeal.rig.child import outcome_name, zone_and_group
from coraldeal.rig.records import TryRecord
from coraldeal.rig.rules import RULES, RuleChecker, Violation
from coraldeal.rig.run import RunResult
from coraldeal.rig.timeline import server_names

SECOND = 1_000_000
# Length of an interval of the time series, and the highest latency that a histogram records, in microseconds.
BUCKET_US = SECOND // 2
MAX_LATENCY_US = 120 * SECOND
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# A process of the rig that used more than this fraction of a core, or an event loop of the rig that was later
# than this, may have been the bottleneck itself: the result gets a warning.
BUSY_CORE_FRACTION = 0.85
LATE_WARNING_US = 20_000
# Fraction of the machine's busy time taken by other guests above which the result gets a warning.
STOLEN_WARNING_FRACTION = 0.25
# The system has recovered once it serves this fraction of its baseline rate.
RECOVERED_FRACTION = 0.9


class Series(msgspec.Struct):
    """Counts of events in each half second of a run."""

    bucket_s: float
    counts: dict[str, list[int]]
    # Attempts that reached each server.
    servers: dict[str, list[int]]


class Summary(msgspec.Struct):
    """Results of one run, as written to summary.json."""

    variant: str
    repetition: int
    seed: int
    # Whether the run ended as planned; false: it was interrupted.
    whole: bool
    figures: dict[str, float]
    # Latency percentiles in milliseconds by request class, and for `all` together.
    latency_ms: dict[str, dict[str, float]]
    # For each server: its attempts (`trips`), and those with each result.
    servers: dict[str, dict[str, int]]
    nodes: dict[str, dict[str, float]]
    # Injected faults and collapses of servers: seconds from the start, action, target.
    troubles: list[tuple[float, str, str]]
    violations: list[Violation]
    # Conditions that make the figures unreliable.
    warnings: list[str]


def new_histogram() -> Any:
    """Create a histogram for 1 us to 2 minutes with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def percentiles(histogram: Any) -> dict[str, float]:
    """Return percentiles, maximum and mean in milliseconds; empty for an empty histogram."""
    if not histogram.get_total_count():
        return {}
    values = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {**values, "max": histogram.get_max_value() / 1000, "mean": histogram.get_mean_value() / 1000}


class SummaryBuilder:
    """Computes the results of one run; inquiries count from the end of the settling time on."""

    def __init__(self, run: RunResult, repetition: int) -> None:
        self.run = run
        self.repetition = repetition
        self.experiment = run.experiment
        self.start_us = run.start_us
        self.from_us = run.start_us + int(self.experiment.settle_seconds * SECOND)
        self.until_us = run.end_us
        self.request_classes = {spec.name: spec for spec in self.experiment.load.tracks}
        self.histograms: dict[str, Any] = {"all": new_histogram()}
        self.figures: dict[str, float] = {}
        self.warnings: list[str] = []
        # The tries of each inquiry to the first tier, in order.
        inquiries: dict[int, list[TryRecord]] = defaultdict(list)
        for record in run.records.tries:
            if record.layer == 0:
                inquiries[record.inquiry].append(record)
        self.inquiries = list(inquiries.values())

    def build(self) -> tuple[Summary, Series]:
        """Return the summary and the time series; checks the rules unless the experiment skips them."""
        self._add_inquiry_figures()
        self._add_attempt_figures()
        series = self._time_series()
        self._add_recovery_figures(series)
        self._add_resource_figures()
        violations: list[Violation] = []
        counts = dict.fromkeys(RULES, 0)
        if self.experiment.rules == "check":
            checker = RuleChecker(self.experiment, self.run.records, self.run.node_events, self.start_us)
            violations = checker.check()
            counts = checker.counts
        self.figures.update(counts)
        self.figures["violations"] = sum(counts.values())
        run = self.run
        faults = [(step.at_us / SECOND, step.action, step.target) for step in run.steps]
        faults += [
            ((record.at_us - self.start_us) / SECOND, "fell", record.server)
            for record in run.records.servers
            if record.event == "fell"
        ]
        summary = Summary(
            variant=run.variant.name,
            repetition=self.repetition,
            seed=run.seed,
            whole=run.is_complete,
            figures={name: round(value, 6) for name, value in self.figures.items()},
            latency_ms={name: percentiles(h) for name, h in self.histograms.items()},
            servers=self._server_counts(),
            nodes={
                name: {
                    "cpu_s": round(usage.cpu_s, 3),
                    "rss_mb_first": round(usage.rss_mb[0], 1) if usage.rss_mb else 0.0,
                    "rss_mb_last": round(usage.rss_mb[-1], 1) if usage.rss_mb else 0.0,
                    "rss_mb_most": round(max(usage.rss_mb, default=0.0), 1),
                    "starts": usage.starts,
                    "crashes": usage.crashes,
                }
                for name, usage in run.nodes.items()
            },
            troubles=faults,
            violations=violations,
            warnings=self.warnings,
        )
        return summary, series

    # Inquiries.

    def _add_inquiry_figures(self) -> None:
        counts: Counter[str] = Counter()
        tries: Counter[str] = Counter()
        offered_worth = earned_worth = 0.0
        # For each request class: inquiries, and those with a successful answer.
        class_counts: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for inquiry in self.inquiries:
            first, last = inquiry[0], inquiry[-1]
            if not self.from_us <= first.intended_us < self.until_us:
                continue
            spec = self.request_classes[first.request_class]
            counts["asked"] += 1
            offered_worth += spec.payoff
            class_counts[first.request_class][0] += 1
            for record in inquiry:
                tries[outcome_name(record.status)] += 1
                tries["all"] += 1
            if last.status == 200:
                latency_us = last.end_us - first.intended_us
                counts["satisfied"] += 1
                class_counts[first.request_class][1] += 1
                is_in_time = latency_us <= spec.expected_ms * 1000
                counts["in_time"] += is_in_time
                earned_worth += spec.payoff if is_in_time else spec.late_payoff
                value = max(1, min(latency_us, MAX_LATENCY_US))
                self.histograms["all"].record_value(value)
                if first.request_class not in self.histograms:
                    self.histograms[first.request_class] = new_histogram()
                self.histograms[first.request_class].record_value(value)
            else:
                counts["left" if last.failure == "left" else outcome_name(last.status)] += 1
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
        figures["worth"] = earned_worth / offered_worth if offered_worth else 0.0
        figures["tries_per_inquiry"] = tries["all"] / asked
        figures["tries_deferred"] = tries["deferred"]
        figures["tries_given_up"] = tries["given up"]
        for name, (class_asked, class_satisfied) in class_counts.items():
            figures[f"satisfied_part.{name}"] = class_satisfied / class_asked
        for name, latency in percentiles(self.histograms["all"]).items():
            figures[f"{name.replace('.', '_')}_ms"] = latency

        # Tries affected by the end of a node's process: the connection was refused or closed, or the request
        # was sent to a process that never read it.
        failures = [record.failure for inquiry in self.inquiries for record in inquiry]
        figures["met_end"] = sum(failure in ("refused", "closed", "resent") for failure in failures)
        admin_calls = self.run.admin_calls
        if admin_calls.durations_us:
            times = sorted(admin_calls.durations_us)
            figures["door_calls"] = len(times)
            figures["door_bad"] = admin_calls.failures
            figures["door_p50_ms"] = times[len(times) // 2] / 1000
            figures["door_p99_ms"] = times[len(times) * 99 // 100] / 1000
            figures["door_worst_ms"] = times[-1] / 1000
            figures["upgrades"] = admin_calls.upgrades

    # Servers.

    def _add_attempt_figures(self) -> None:
        records = self.run.records
        attempts = [record for record in records.attempts if self.from_us <= record.first_us < self.until_us]
        first_tier = [attempt for attempt in attempts if attempt.layer == 0]
        figures = self.figures
        figures["trips"] = len(first_tier)
        figures["trips_per_inquiry"] = len(first_tier) / max(1.0, figures["asked"])
        figures["declined_trips"] = sum(attempt.result == "declined" for attempt in attempts)
        try_ends = {record.id: record.end_us for record in records.tries}
        work_us = wasted_us = 0
        for attempt in attempts:
            if attempt.ran:
                work_us += attempt.work_us
                try_end_us = try_ends.get(attempt.id, 0)
                if attempt.result not in ("served", "repeated") or (
                    try_end_us and attempt.end_us > try_end_us
                ):
                    wasted_us += attempt.work_us
        figures["wasted_work_part"] = wasted_us / work_us if work_us else 0.0
        zones = self._server_zones()
        crossings = sum(zones.get(attempt.server, attempt.zone) != attempt.zone for attempt in attempts)
        figures["crossing_part"] = crossings / max(1, len(attempts))
        figures["fell"] = sum(record.event == "fell" for record in records.servers)
        if len(self.experiment.world.tiers) > 1:
            deeper = [attempt for attempt in attempts if attempt.layer > 0]
            figures["deeper_trips"] = len(deeper)
            cancelled = [attempt for attempt in deeper if attempt.ran and attempt.result == "called_off"]
            figures["deeper_called_off"] = len(cancelled)

    def _server_zones(self) -> dict[str, str]:
        return {
            name: zone_and_group(self.experiment, layer, index)[0]
            for layer, names in enumerate(server_names(self.experiment))
            for index, name in enumerate(names)
        }

    def _server_counts(self) -> dict[str, dict[str, int]]:
        servers: dict[str, Counter[str]] = {name: Counter() for name in self._server_zones()}
        for attempt in self.run.records.attempts:
            servers[attempt.server]["trips"] += 1
            servers[attempt.server][attempt.result] += 1
        return {name: dict(counts) for name, counts in servers.items()}

    # Time series.

    def _time_series(self) -> Series:
        length = max(1, -(-(self.until_us - self.start_us) // BUCKET_US))
        names = ("offered", "satisfied", "deferred", "given up", "unanswered", "trips")
        counts = {name: [0] * length for name in names}
        servers = {name: [0] * length for name in self._server_zones()}

        def add(values: list[int], at_us: int) -> None:
            bucket = (at_us - self.start_us) // BUCKET_US
            if 0 <= bucket < length:
                values[bucket] += 1

        for record in self.run.records.tries:
            if record.layer == 0:
                add(counts["offered"], record.intended_us)
                if record.end_us and record.failure not in ("left", "ended"):
                    add(counts[outcome_name(record.status)], record.end_us)
        for attempt in self.run.records.attempts:
            if attempt.layer == 0:
                add(counts["trips"], attempt.first_us)
            add(servers[attempt.server], attempt.first_us)
        return Series(BUCKET_US / SECOND, counts, servers)

    def _add_recovery_figures(self, series: Series) -> None:
        """Add the peak of attempts relative to the baseline, and the recovery time after the last fault.

        The baseline is the median before the first fault. `again_s` is -1 if the rate never recovers.
        """
        step_times = [step.at_us for step in self.run.steps]
        settled = int(self.experiment.settle_seconds * SECOND) // BUCKET_US
        first_fault = min(step_times) // BUCKET_US if step_times else len(series.counts["trips"])
        before = slice(settled, max(settled + 1, first_fault))
        baseline_attempts = median(series.counts["trips"][before] or [0])
        baseline_satisfied = median(series.counts["satisfied"][before] or [0])
        figures = self.figures
        figures["usual_trips_per_s"] = baseline_attempts / series.bucket_s
        after = series.counts["trips"][settled:]
        figures["peak_offered"] = max(after, default=0) / baseline_attempts if baseline_attempts else 0.0
        figures["again_s"] = -1.0
        if not step_times or not baseline_satisfied:
            return
        last_step_us = max(step_times)
        last_bucket = last_step_us // BUCKET_US
        recovered = [value >= RECOVERED_FRACTION * baseline_satisfied for value in series.counts["satisfied"]]
        # Two intervals in a row: a single one may reach the rate by chance.
        for bucket, (current, following) in enumerate(pairwise(recovered)):
            if bucket >= last_bucket and current and following:
                figures["again_s"] = max(0.0, (bucket * BUCKET_US - last_step_us) / SECOND)
                break

    # CPU and memory of nodes and rig.

    def _add_resource_figures(self) -> None:
        run, figures = self.run, self.figures
        seconds = max(1e-6, (self.until_us - self.start_us) / SECOND)
        cpu_s = sum(usage.cpu_s for usage in run.nodes.values())
        answered = sum(1 for record in run.records.tries if record.layer == 0 and record.status)
        figures["node_cpu_us_per_inquiry"] = cpu_s / max(1, answered) * SECOND if cpu_s else 0.0
        figures["node_cpu_part"] = max((usage.cpu_s / seconds for usage in run.nodes.values()), default=0.0)
        figures["node_rss_mb"] = max(
            (max(usage.rss_mb, default=0.0) for usage in run.nodes.values()), default=0.0
        )
        figures["crashes"] = sum(usage.crashes for usage in run.nodes.values())
        busiest = max(run.rig_cpu, key=lambda name: run.rig_cpu[name])
        figures["rig_cpu_part"] = run.rig_cpu[busiest] / seconds
        lateness_us = [record.late_us for record in run.records.late if record.at_us >= self.from_us]
        figures["rig_late_ms"] = max(lateness_us, default=0) / 1000
        if figures["rig_cpu_part"] > BUSY_CORE_FRACTION:
            fraction = figures["rig_cpu_part"]
            self.warnings.append(f"the rig may be the bottleneck: {busiest} used {fraction:.0%} of a core")
        if max(lateness_us, default=0) > LATE_WARNING_US:
            self.warnings.append(
                f"event loops of the rig ran up to {max(lateness_us) / 1000:.0f} ms late, "
                f"{len(lateness_us)} times: latencies include the delay"
            )
        figures["machine_stolen_part"] = run.stolen_fraction
        if run.stolen_fraction > STOLEN_WARNING_FRACTION:
            self.warnings.append(
                f"other guests took {run.stolen_fraction:.0%} of the busy time of this machine"
            )
        if not run.is_complete:
            self.warnings.append("the run was interrupted: the figures cover the time until then")
        for name, node_usage in run.nodes.items():
            if node_usage.crashes:
                self.warnings.append(f"{name} crashed {node_usage.crashes} times")
