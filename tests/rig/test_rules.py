"""The judge of the four rules and the figures, on books written by hand."""

from __future__ import annotations

import unittest
from typing import Any

from coraldeal.rig.books import AttemptRow, Book, ServerRow, ToldRow, TryRow
from coraldeal.rig.experiment import Experiment, Load, TrackSpec, Variant
from coraldeal.rig.results import Counted
from coraldeal.rig.rules import Judge, NodeMark
from coraldeal.rig.run import Played

MS = 1000
SECOND = 1_000_000
START = 100 * SECOND

TRACKS = [
    TrackSpec(name="read"),
    TrackSpec(name="gift", effect="irreversible"),
    TrackSpec(name="marked", effect="labelled"),
]


def tried(number: int = 1, track: str = "read", at: int = 0, **told: Any) -> TryRow:
    """A try sent at once and answered well after 20 ms, unless told otherwise; times from the start."""
    row = TryRow(
        inquiry=number,
        number=0,
        id=f"id{number}",
        track=track,
        tenant="",
        node=0,
        layer=0,
        intended_us=START + at,
        sent_us=START + at,
        end_us=START + at + 20 * MS,
        patience_us=SECOND,
        status=200,
        whole=True,
        own=True,
    )
    for name, value in told.items():
        setattr(row, name, value)
    return row


def attempt(number: int = 1, track: str = "read", at: int = 1 * MS, **told: Any) -> AttemptRow:
    row = AttemptRow(
        server="front-0",
        life=0,
        layer=0,
        zone="a",
        id=f"id{number}",
        mark="",
        track=track,
        first_us=START + at,
        last_us=START + at,
        end_us=START + at + 10 * MS,
        how="served",
        ran=True,
        work_us=10 * MS,
    )
    for name, value in told.items():
        setattr(row, name, value)
    return row


def judge(book: Book, marks: list[NodeMark] | None = None) -> dict[str, int]:
    """How often each rule broke, those that did."""
    read = Judge(Experiment(name="x", load=Load(tracks=TRACKS)), book, marks or [], START)
    for violation in read.judge():
        assert violation.trace, violation
    return {rule: count for rule, count in read.counts.items() if count}


class LostTest(unittest.TestCase):
    def test_answered_well_breaks_nothing(self) -> None:
        self.assertEqual(judge(Book(tries=[tried()], attempts=[attempt()])), {})

    def test_no_answer_a_late_one_and_another_ones(self) -> None:
        for told in (
            {"status": 0, "why": "silent", "end_us": START + 2 * SECOND},
            {"status": 0, "why": "closed"},
            {"end_us": START + 1200 * MS},
            {"own": False},
            {"surplus": True},
        ):
            with self.subTest(told):
                self.assertEqual(judge(Book(tries=[tried(**told)], attempts=[attempt()])), {"lost": 1})

    def test_who_left_or_never_got_through_is_not_lost(self) -> None:
        for why in ("left", "refused", "ended"):
            self.assertEqual(judge(Book(tries=[tried(status=0, why=why)])), {})

    def test_held_by_a_node_that_was_killed_is_the_callers_to_ask_again(self) -> None:
        book = Book(tries=[tried(status=0, why="closed")])
        killed = NodeMark(0, 0, START + 10 * MS, "node_kill")
        self.assertEqual(judge(book, [killed]), {})
        self.assertEqual(judge(book, [NodeMark(0, 1, START + 10 * MS, "node_kill")]), {"lost": 1})
        self.assertEqual(judge(book, [NodeMark(0, 0, START + 10 * MS, "node_term")]), {"lost": 1})
        long_ago = [
            NodeMark(0, 0, START - 2 * SECOND, "node_kill"),
            NodeMark(0, 0, START - SECOND, "ready"),
        ]
        self.assertEqual(judge(book, long_ago), {"lost": 1})

    def test_sent_after_its_answer(self) -> None:
        late = attempt(at=200 * MS)
        self.assertEqual(judge(Book(tries=[tried()], attempts=[attempt(), late])), {"lost": 1})


class TwiceTest(unittest.TestCase):
    def book(self, track: str, *attempts: AttemptRow, **told: Any) -> Book:
        return Book(tries=[tried(track=track, **told)], attempts=list(attempts))

    def test_ran_twice(self) -> None:
        again = attempt(at=15 * MS, server="front-1")
        self.assertEqual(judge(self.book("gift", attempt(how="error"), again)), {"twice": 1})
        self.assertEqual(judge(self.book("marked", attempt(how="error"), again)), {"twice": 1})
        self.assertEqual(judge(self.book("read", attempt(how="error"), again)), {})

    def test_declined_or_dropped_by_its_mark_did_not_run(self) -> None:
        again = attempt(at=15 * MS)
        declined = attempt(how="declined", ran=False)
        self.assertEqual(judge(self.book("gift", declined, again)), {})
        repeated = attempt(at=15 * MS, how="repeated", ran=False)
        self.assertEqual(judge(self.book("marked", attempt(how="reset"), repeated)), {})

    def test_deferred_though_it_ran(self) -> None:
        ran = attempt(how="error")
        self.assertEqual(judge(self.book("gift", ran, status=503, own=False)), {"twice": 1})
        self.assertEqual(judge(self.book("marked", ran, status=429, own=False)), {"twice": 1})
        self.assertEqual(judge(self.book("read", ran, status=503, own=False)), {})
        self.assertEqual(judge(self.book("gift", ran, status=502, own=False)), {})

    def test_second_copy_while_one_is_out(self) -> None:
        first = attempt(end_us=START + 50 * MS, how="called_off", ran=False)
        second = attempt(at=15 * MS, how="called_off", ran=False)
        self.assertEqual(judge(self.book("gift", first, second)), {"twice": 1})


class DrainTest(unittest.TestCase):
    def book(self, at: int, *told: tuple[int, str], node: int = 0) -> Book:
        rows = [ToldRow(0, 0, START + when, "front-0", what, 1) for when, what in told]
        return Book(tries=[tried(at=at, node=node)], attempts=[attempt(at=at + MS)], told=rows)

    def test_work_later_than_the_grace(self) -> None:
        told = (SECOND, "Terminating")
        self.assertEqual(judge(self.book(2 * SECOND, told)), {})
        self.assertEqual(judge(self.book(3 * SECOND, told)), {"drain": 1})
        self.assertEqual(judge(self.book(3 * SECOND, (SECOND, "Gone"))), {"drain": 1})

    def test_another_node_was_not_told(self) -> None:
        self.assertEqual(judge(self.book(3 * SECOND, (SECOND, "Terminating"), node=1)), {})

    def test_what_was_told_first_counts_until_it_is_ready_again(self) -> None:
        gone = ((SECOND, "Terminating"), (2600 * MS, "Gone"))
        self.assertEqual(judge(self.book(2800 * MS, *gone)), {"drain": 1})
        self.assertEqual(judge(self.book(2800 * MS, *gone, (2700 * MS, "Ready"))), {})


class ColdTest(unittest.TestCase):
    def test_a_fall_counts_where_two_thirds_of_the_work_knew(self) -> None:
        for told_at, broken in ((0, {"cold": 1}), (500 * MS, {})):
            with self.subTest(told_at):
                tries = [tried(number, at=number * 10 * MS) for number in range(100)]
                attempts = [attempt(number, at=number * 10 * MS + MS) for number in range(100)]
                book = Book(tries=tries, attempts=attempts)
                book.servers = [
                    ServerRow("front-0", 0, 0, START, "up"),
                    ServerRow("front-0", 0, 0, START + SECOND, "fell"),
                ]
                book.told = [ToldRow(0, 0, START + told_at, "front-0", "Ready", 1)]
                self.assertEqual(judge(book), broken)


class FiguresTest(unittest.TestCase):
    def played(self, book: Book, **told: Any) -> Played:
        experiment = Experiment(
            name="x", seconds=10, settle_seconds=0, load=Load(tracks=TRACKS), rules="skip", **told
        )
        return Played(
            experiment,
            Variant(name="v"),
            1,
            START,
            START + 10 * SECOND,
            book,
            [],
            {},
            [],
            rig_cpu={"run": 0.1},
        )

    def test_percentiles_are_those_of_the_latencies_within_a_thousandth(self) -> None:
        tries = [tried(n, at=n * MS, end_us=START + n * MS + 500 + n * 100) for n in range(1, 1001)]
        summary, _ = Counted(self.played(Book(tries=tries)), 0).summary()
        told = summary.latency_ms["all"]
        for name, want in (("p50", 50.5), ("p90", 90.5), ("p99", 99.5), ("max", 100.5)):
            self.assertAlmostEqual(told[name] / want, 1.0, delta=0.002)

    def test_latency_counts_from_the_first_intended_time_over_all_tries(self) -> None:
        first = tried(status=503, own=False, intended_us=START, sent_us=START + 30 * MS)
        second = tried(number=1, at=500 * MS, id="id1b")
        second.number = 1
        summary, _ = Counted(self.played(Book(tries=[first, second])), 0).summary()
        self.assertAlmostEqual(summary.latency_ms["all"]["p50"], 520.0, delta=1.0)
        figures = summary.figures
        self.assertEqual((figures["asked"], figures["satisfied"], figures["tries_deferred"]), (1, 1, 1))
        # Later than its expected time: satisfied, and worth nothing.
        self.assertEqual((figures["in_time"], figures["worth"]), (0, 0.0))

    def test_fates_and_wasted_work(self) -> None:
        tries = [
            tried(1),
            tried(2, status=503, own=False),
            tried(3, status=502, own=False),
            tried(4, status=0, why="silent"),
            tried(5, status=0, why="left"),
        ]
        attempts = [attempt(1), attempt(5, how="called_off"), attempt(4, at=30 * MS)]
        summary, series = Counted(self.played(Book(tries=tries, attempts=attempts)), 0).summary()
        figures = summary.figures
        for name in ("satisfied", "deferred", "given_up", "unanswered", "left"):
            self.assertEqual(figures[name], 1, name)
        self.assertAlmostEqual(figures["wasted_work_part"], 2 / 3, places=3)
        self.assertEqual(series.counts["offered"][0], 5)
        self.assertEqual(series.servers["front-0"][0], 3)

    def test_a_busy_rig_says_so(self) -> None:
        played = self.played(Book(tries=[tried()]))
        played.rig_cpu = {"callers-0": 9.5}
        summary, _ = Counted(played, 0).summary()
        self.assertIn("bottleneck", " ".join(summary.warnings))


if __name__ == "__main__":
    unittest.main()
