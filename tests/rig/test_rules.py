"""Tests of the rule checker and of the figures, with records written by hand."""

from __future__ import annotations

import unittest
from typing import Any

from coraldeal.rig.experiment import Experiment, Load, RequestClassSpec, Variant
from coraldeal.rig.records import AttemptRecord, NotificationRecord, Records, ServerRecord, TryRecord
from coraldeal.rig.results import SummaryBuilder
from coraldeal.rig.rules import NodeEvent, RuleChecker
from coraldeal.rig.run import RunResult

MS = 1000
SECOND = 1_000_000
START = 100 * SECOND

REQUEST_CLASSES = [
    RequestClassSpec(name="read"),
    RequestClassSpec(name="gift", effect="irreversible"),
    RequestClassSpec(name="marked", effect="labelled"),
]


def make_try(number: int = 1, request_class: str = "read", at: int = 0, **fields: Any) -> TryRecord:
    """Return a try sent at microsecond `at` of the run and served 20 ms later, with these fields replaced."""
    record = TryRecord(
        inquiry=number,
        number=0,
        id=f"id{number}",
        request_class=request_class,
        tenant="",
        node=0,
        layer=0,
        intended_us=START + at,
        sent_us=START + at,
        end_us=START + at + 20 * MS,
        deadline_us=SECOND,
        status=200,
        is_complete=True,
        is_own=True,
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def make_attempt(
    number: int = 1, request_class: str = "read", at: int = 1 * MS, **fields: Any
) -> AttemptRecord:
    """Return an attempt that arrives at microsecond `at` of the run and is served 10 ms later."""
    record = AttemptRecord(
        server="front-0",
        incarnation=0,
        layer=0,
        zone="a",
        id=f"id{number}",
        idempotency_key="",
        request_class=request_class,
        first_us=START + at,
        last_us=START + at,
        end_us=START + at + 10 * MS,
        result="served",
        ran=True,
        work_us=10 * MS,
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def violations(records: Records, node_events: list[NodeEvent] | None = None) -> dict[str, int]:
    """Return the number of violations of each rule that has any; asserts that each has a trace."""
    checker = RuleChecker(
        Experiment(name="x", load=Load(tracks=REQUEST_CLASSES)), records, node_events or [], START
    )
    for violation in checker.check():
        assert violation.trace, violation
    return {rule: count for rule, count in checker.counts.items() if count}


class LostTest(unittest.TestCase):
    def test_served_in_time_breaks_no_rule(self) -> None:
        self.assertEqual(violations(Records(tries=[make_try()], attempts=[make_attempt()])), {})

    def test_missing_late_foreign_or_surplus_answer_is_lost(self) -> None:
        for fields in (
            {"status": 0, "failure": "silent", "end_us": START + 2 * SECOND},
            {"status": 0, "failure": "closed"},
            {"end_us": START + 1200 * MS},
            {"is_own": False},
            {"has_surplus": True},
        ):
            with self.subTest(fields):
                self.assertEqual(
                    violations(Records(tries=[make_try(**fields)], attempts=[make_attempt()])), {"lost": 1}
                )

    def test_client_that_left_or_was_refused_is_not_lost(self) -> None:
        for failure in ("left", "refused", "ended"):
            self.assertEqual(violations(Records(tries=[make_try(status=0, failure=failure)])), {})

    def test_request_of_a_killed_node_is_excused_until_the_node_is_ready_again(self) -> None:
        records = Records(tries=[make_try(status=0, failure="closed")])
        node_kill = NodeEvent(0, 0, START + 10 * MS, "node_kill")
        self.assertEqual(violations(records, [node_kill]), {})
        self.assertEqual(violations(records, [NodeEvent(0, 1, START + 10 * MS, "node_kill")]), {"lost": 1})
        self.assertEqual(violations(records, [NodeEvent(0, 0, START + 10 * MS, "node_term")]), {"lost": 1})
        earlier_kill = [
            NodeEvent(0, 0, START - 2 * SECOND, "node_kill"),
            NodeEvent(0, 0, START - SECOND, "ready"),
        ]
        self.assertEqual(violations(records, earlier_kill), {"lost": 1})

    def test_attempt_after_the_final_answer_is_lost(self) -> None:
        late = make_attempt(at=200 * MS)
        self.assertEqual(
            violations(Records(tries=[make_try()], attempts=[make_attempt(), late])), {"lost": 1}
        )


class TwiceTest(unittest.TestCase):
    def records(self, request_class: str, *attempts: AttemptRecord, **fields: Any) -> Records:
        return Records(tries=[make_try(request_class=request_class, **fields)], attempts=list(attempts))

    def test_second_run_violates_twice_unless_idempotent(self) -> None:
        second = make_attempt(at=15 * MS, server="front-1")
        self.assertEqual(violations(self.records("gift", make_attempt(result="error"), second)), {"twice": 1})
        self.assertEqual(
            violations(self.records("marked", make_attempt(result="error"), second)), {"twice": 1}
        )
        self.assertEqual(violations(self.records("read", make_attempt(result="error"), second)), {})

    def test_declined_or_repeated_attempt_is_no_second_run(self) -> None:
        second = make_attempt(at=15 * MS)
        declined = make_attempt(result="declined", ran=False)
        self.assertEqual(violations(self.records("gift", declined, second)), {})
        repeated = make_attempt(at=15 * MS, result="repeated", ran=False)
        self.assertEqual(violations(self.records("marked", make_attempt(result="reset"), repeated)), {})

    def test_rejection_after_a_run_violates_twice_unless_idempotent(self) -> None:
        ran = make_attempt(result="error")
        self.assertEqual(violations(self.records("gift", ran, status=503, is_own=False)), {"twice": 1})
        self.assertEqual(violations(self.records("marked", ran, status=429, is_own=False)), {"twice": 1})
        self.assertEqual(violations(self.records("read", ran, status=503, is_own=False)), {})
        self.assertEqual(violations(self.records("gift", ran, status=502, is_own=False)), {})

    def test_second_attempt_while_one_is_open_violates_twice(self) -> None:
        first = make_attempt(end_us=START + 50 * MS, result="called_off", ran=False)
        second = make_attempt(at=15 * MS, result="called_off", ran=False)
        self.assertEqual(violations(self.records("gift", first, second)), {"twice": 1})


class DrainTest(unittest.TestCase):
    def records(self, at: int, *notifications: tuple[int, str], node: int = 0) -> Records:
        told = [
            NotificationRecord(0, 0, START + when, "front-0", condition, 1)
            for when, condition in notifications
        ]
        return Records(tries=[make_try(at=at, node=node)], attempts=[make_attempt(at=at + MS)], told=told)

    def test_request_after_the_grace_violates_drain(self) -> None:
        terminating = (SECOND, "Terminating")
        self.assertEqual(violations(self.records(2 * SECOND, terminating)), {})
        self.assertEqual(violations(self.records(3 * SECOND, terminating)), {"drain": 1})
        self.assertEqual(violations(self.records(3 * SECOND, (SECOND, "Gone"))), {"drain": 1})

    def test_node_without_notification_does_not_violate_drain(self) -> None:
        self.assertEqual(violations(self.records(3 * SECOND, (SECOND, "Terminating"), node=1)), {})

    def test_first_notification_counts_until_the_server_is_ready_again(self) -> None:
        gone = ((SECOND, "Terminating"), (2600 * MS, "Gone"))
        self.assertEqual(violations(self.records(2800 * MS, *gone)), {"drain": 1})
        self.assertEqual(violations(self.records(2800 * MS, *gone, (2700 * MS, "Ready"))), {})


class ColdTest(unittest.TestCase):
    def test_collapse_violates_cold_if_two_thirds_of_the_work_was_notified(self) -> None:
        for notified_at, expected in ((0, {"cold": 1}), (500 * MS, {})):
            with self.subTest(notified_at):
                tries = [make_try(number, at=number * 10 * MS) for number in range(100)]
                attempts = [make_attempt(number, at=number * 10 * MS + MS) for number in range(100)]
                records = Records(tries=tries, attempts=attempts)
                records.servers = [
                    ServerRecord("front-0", 0, 0, START, "up"),
                    ServerRecord("front-0", 0, 0, START + SECOND, "fell"),
                ]
                records.told = [NotificationRecord(0, 0, START + notified_at, "front-0", "Ready", 1)]
                self.assertEqual(violations(records), expected)


class FiguresTest(unittest.TestCase):
    def played(self, records: Records, **fields: Any) -> RunResult:
        experiment = Experiment(
            name="x", seconds=10, settle_seconds=0, load=Load(tracks=REQUEST_CLASSES), rules="skip", **fields
        )
        return RunResult(
            experiment,
            Variant(name="v"),
            1,
            START,
            START + 10 * SECOND,
            records,
            [],
            {},
            [],
            rig_cpu={"run": 0.1},
        )

    def test_percentiles_match_the_latencies_within_two_thousandths(self) -> None:
        tries = [make_try(n, at=n * MS, end_us=START + n * MS + 500 + n * 100) for n in range(1, 1001)]
        summary, _ = SummaryBuilder(self.played(Records(tries=tries)), 0).build()
        latencies = summary.latency_ms["all"]
        for name, expected in (("p50", 50.5), ("p90", 90.5), ("p99", 99.5), ("max", 100.5)):
            self.assertAlmostEqual(latencies[name] / expected, 1.0, delta=0.002)

    def test_latency_of_a_retried_inquiry_counts_from_its_first_intended_time(self) -> None:
        first = make_try(status=503, is_own=False, intended_us=START, sent_us=START + 30 * MS)
        second = make_try(number=1, at=500 * MS, id="id1b")
        second.number = 1
        summary, _ = SummaryBuilder(self.played(Records(tries=[first, second])), 0).build()
        self.assertAlmostEqual(summary.latency_ms["all"]["p50"], 520.0, delta=1.0)
        figures = summary.figures
        self.assertEqual((figures["asked"], figures["satisfied"], figures["tries_deferred"]), (1, 1, 1))
        # Served later than the latency target: the answer is worth nothing.
        self.assertEqual((figures["in_time"], figures["worth"]), (0, 0.0))

    def test_figures_count_each_outcome_and_wasted_work(self) -> None:
        tries = [
            make_try(1),
            make_try(2, status=503, is_own=False),
            make_try(3, status=502, is_own=False),
            make_try(4, status=0, failure="silent"),
            make_try(5, status=0, failure="left"),
        ]
        attempts = [make_attempt(1), make_attempt(5, result="called_off"), make_attempt(4, at=30 * MS)]
        summary, series = SummaryBuilder(self.played(Records(tries=tries, attempts=attempts)), 0).build()
        figures = summary.figures
        for name in ("satisfied", "deferred", "given_up", "unanswered", "left"):
            self.assertEqual(figures[name], 1, name)
        self.assertAlmostEqual(figures["wasted_work_part"], 2 / 3, places=3)
        self.assertEqual(series.counts["offered"][0], 5)
        self.assertEqual(series.servers["front-0"][0], 3)

    def test_busy_rig_process_gives_a_warning(self) -> None:
        played = self.played(Records(tries=[make_try()]))
        played.rig_cpu = {"callers-0": 9.5}
        summary, _ = SummaryBuilder(played, 0).build()
        self.assertIn("bottleneck", " ".join(summary.warnings))


if __name__ == "__main__":
    unittest.main()
