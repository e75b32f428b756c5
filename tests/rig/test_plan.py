"""Tests of what is computed before a run: experiment files, plans, timelines, assertions."""

from __future__ import annotations

import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from coraldeal.rig.assertions import InvalidAssertionError, evaluate_assertion, parse_assertion
from coraldeal.rig.experiment import (
    Experiment,
    ExperimentError,
    expand_variants,
    read_experiment,
    set_by_path,
)
from coraldeal.rig.load import make_plan
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.play import ExperimentRunner
from coraldeal.rig.timeline import make_steps

FULL = """
name = "full"
seed = 5
seconds = 8
[world]
zones = ["a", "b"]
nodes = 2
[[world.tiers]]
name = "front"
servers = 6
[[world.tiers]]
name = "deep"
servers = 9
[load]
rate = 300
leave = 0.1
shape = [{ at = 2, rate = 3, ramp = true }, { at = 6, rate = 1 }]
bursts = [{ at = 4, count = 50 }]
tenants = [{ name = "north", share = 3 }, { name = "south" }]
[[load.tracks]]
name = "read"
work = "lognormal"
calls = 1.5
[[load.tracks]]
name = "gift"
effect = "labelled"
share = 0.5
[troubles]
count = 6
[[timeline]]
at = 3
do = "deploy"
who = ["front:50%"]
batch = 2
"""


def parse(text: str) -> Experiment:
    """Return the experiment of a file with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "e.toml"
        path.write_text(text)
        return read_experiment(path)[0]


class FileTest(unittest.TestCase):
    def assert_rejected(self, text: str, *words: str) -> None:
        """Assert that the experiment is rejected with a message that holds these words."""
        with self.assertRaises(ExperimentError) as caught:
            experiment = parse(text)
            make_plan(experiment, experiment.seed)
            make_steps(experiment, experiment.seed)
        for word in words:
            self.assertIn(word, str(caught.exception))

    def test_invalid_file_is_rejected_with_the_name_of_the_key(self) -> None:
        self.assert_rejected("name = 'x'\nsecond = 3", "second")
        self.assert_rejected("name = 'x'\nseconds = 'long'", "seconds", "float")
        self.assert_rejected("name = 'x'\n[load]\nrat = 3", "load", "rat")
        self.assert_rejected("name = 'x'\n[[world.tiers]]\nservers = 0", "world.tiers[0].servers")
        self.assert_rejected("name = 'x'\n[[world.tiers]]\nchoke = {over = 'a'}", "world.tiers", "choke.over")
        self.assert_rejected("name = 'x'\n[load]\nprocesses = 0", "load.processes")
        self.assert_rejected("name = 'x'\n[load]\ntracks = [{name = 'a b'}]", "load.tracks[0].name")
        self.assert_rejected("name = 'x'\n[[timeline]]\nat = 1\ndo = 'explode'", "timeline", "explode")
        self.assert_rejected("name = 'x'\n[[timeline]]\nat = 99\ndo = 'kill'", "timeline[0].at", "99")
        self.assert_rejected("name = 'x'\n[[timeline]]\nat = 1\ndo = 'kill'\nwho = ['nobody']", "nobody")
        self.assert_rejected("name = 'x'\n[load]\ntrace = '/nowhere.csv'", "load.trace", "/nowhere.csv")
        self.assert_rejected("name = 'x'\n[load]\nrate = 1e9", "load.rate", "may hold")
        self.assert_rejected("name = ", "not TOML")

    def test_every_shipped_experiment_has_a_plan(self) -> None:
        paths = sorted((ROOT / "experiments").glob("*.toml"))
        self.assertGreaterEqual(len(paths), 3)
        for path in paths:
            with self.subTest(path.name), tempfile.TemporaryDirectory() as folder:
                play = ExperimentRunner(path, Path(folder))
                for _, played in play.variants:
                    self.assertTrue(make_plan(played, played.seed).inquiries)

    def test_variants_and_matrix_are_combined(self) -> None:
        text = FULL + (
            "[matrix]\n'load.rate' = [10, 20]\n'world.tiers.1.servers' = [3, 4]\n"
            "[[variants]]\nname = 'one'\n[[variants]]\nname = 'two'\nset = {'load.retries' = 2}\n"
        )
        values: dict[str, Any] = tomllib.loads(text)
        variants = expand_variants(parse(text), values, "e")
        self.assertEqual(len(variants), 8)
        self.assertEqual(variants[0][0].name, "one, rate 10, servers 3")
        last = variants[-1][1]
        self.assertEqual((last.load.rate, last.world.tiers[1].servers, last.load.retries), (20, 4, 2))
        self.assertEqual(values["load"]["rate"], 300)
        with self.assertRaisesRegex(ExperimentError, "no index 7"):
            set_by_path(values, "world.tiers.7.servers", 1, "e")


class PlanTest(unittest.TestCase):
    def test_same_seed_draws_the_same_plan_and_faults_byte_for_byte(self) -> None:
        experiment = parse(FULL)

        def encode_drawn(seed: int) -> bytes:
            return msgspec.msgpack.encode(make_plan(experiment, seed)) + msgspec.msgpack.encode(
                make_steps(experiment, seed)
            )

        self.assertEqual(encode_drawn(5), encode_drawn(5))
        self.assertNotEqual(encode_drawn(5), encode_drawn(6))

    def test_arrivals_follow_the_shape_of_the_load(self) -> None:
        plan = make_plan(parse(FULL), 5)
        at = np.array([planned.at_us for planned in plan.inquiries]) / 1e6
        counts = np.histogram(at, bins=8, range=(0, 8))[0]
        # The rate rises from 1 to 3 in two seconds, is 3 until second 6, then 1; second 5 holds a burst of
        # 50.
        for count, expected in zip(counts, (450, 750, 900, 900, 950, 900, 300, 300), strict=True):
            self.assertLess(abs(count - expected), 5 * expected**0.5)
        self.assertTrue(np.all(np.diff(at) >= 0))

    def test_drawn_classes_work_calls_and_tenants_match_the_settings(self) -> None:
        experiment = parse(FULL.replace("rate = 300", "rate = 3000"))
        plan = make_plan(experiment, 1)
        reads = [p for p in plan.inquiries if p.request_class == 0]
        self.assertAlmostEqual(len(reads) / len(plan.inquiries), 2 / 3, delta=0.02)
        self.assertAlmostEqual(sum(p.work_us for p in reads) / len(reads) / 10_000, 1.0, delta=0.05)
        self.assertAlmostEqual(sum(p.calls for p in reads) / len(reads), 1.5, delta=0.03)
        self.assertAlmostEqual(sum(p.tenant == 0 for p in reads) / len(reads), 0.75, delta=0.02)
        self.assertAlmostEqual(sum(p.leaves_after_us > 0 for p in reads) / len(reads), 0.1, delta=0.01)
        indices = [at for number in range(3) for at, _ in plan.share(number, 3)]
        self.assertEqual(sorted(indices), list(range(len(plan.inquiries))))

    def test_trace_gives_the_recorded_times_and_classes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.csv"
            path.write_text("seconds,track\n0.5,gift\n0.25,read\n9.5,read\n")
            plan = make_plan(parse(FULL.replace("rate = 300", f"rate = 300\ntrace = '{path}'")), 1)
            self.assertEqual(
                [(p.at_us, p.request_class) for p in plan.inquiries], [(250_000, 0), (500_000, 1)]
            )
            path.write_text("seconds,track\n0.5,what\n")
            with self.assertRaisesRegex(ExperimentError, "line 2"):
                make_plan(parse(FULL.replace("rate = 300", f"trace = '{path}'")), 1)

    def test_deploy_drains_kills_and_starts_one_batch_after_another(self) -> None:
        experiment = parse(FULL.replace("count = 6", "count = 0"))
        steps = [(step.at_us // 1000, step.action) for step in make_steps(experiment, 5)]
        self.assertEqual(steps[:2], [(3000, "drain")] * 2)
        self.assertEqual(steps[2:4], [(5000, "kill")] * 2)
        self.assertEqual(
            steps[4:], [(5100, "start")] * 2 + [(5500, "drain"), (7500, "kill"), (7600, "start")]
        )


class AssertionTest(unittest.TestCase):
    def test_comparisons_are_evaluated_and_other_expressions_rejected(self) -> None:
        figures = {"lost": 0.0, "p99_ms": 12.0, "satisfied_part.gift": 0.5}
        self.assertEqual(evaluate_assertion("lost == 0", figures), (True, "0"))
        self.assertTrue(evaluate_assertion("0.4 < satisfied_part.gift <= 0.5", figures)[0])
        self.assertFalse(evaluate_assertion("p99_ms / 2 > 6", figures)[0])
        for invalid in ("lost", "lost ==", "f(lost) == 0", "lost == 'a'", "unknown == 0", "lost in 3"):
            with self.subTest(invalid), self.assertRaises(InvalidAssertionError):
                parse_assertion(invalid)
                evaluate_assertion(invalid, figures)


if __name__ == "__main__":
    unittest.main()
