"""What is known of a run before it begins: files, plans, timelines, claims."""

from __future__ import annotations

import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from coraldeal.rig.claims import ClaimError, holds, read_claim
from coraldeal.rig.experiment import Experiment, ExperimentError, put, read_experiment, variants_of
from coraldeal.rig.load import make_plan
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.play import Play
from coraldeal.rig.timeline import steps_of

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


def experiment(text: str) -> Experiment:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "e.toml"
        path.write_text(text)
        return read_experiment(path)[0]


class FileTest(unittest.TestCase):
    def refused(self, text: str, *words: str) -> None:
        with self.assertRaises(ExperimentError) as caught:
            told = experiment(text)
            make_plan(told, told.seed)
            steps_of(told, told.seed)
        for word in words:
            self.assertIn(word, str(caught.exception))

    def test_messages_name_the_key(self) -> None:
        self.refused("name = 'x'\nsecond = 3", "second")
        self.refused("name = 'x'\nseconds = 'long'", "seconds", "float")
        self.refused("name = 'x'\n[load]\nrat = 3", "load", "rat")
        self.refused("name = 'x'\n[[world.tiers]]\nservers = 0", "world.tiers[0].servers")
        self.refused("name = 'x'\n[[world.tiers]]\nchoke = {over = 'a'}", "world.tiers", "choke.over")
        self.refused("name = 'x'\n[load]\nprocesses = 0", "load.processes")
        self.refused("name = 'x'\n[load]\ntracks = [{name = 'a b'}]", "load.tracks[0].name")
        self.refused("name = 'x'\n[[timeline]]\nat = 1\ndo = 'explode'", "timeline", "explode")
        self.refused("name = 'x'\n[[timeline]]\nat = 99\ndo = 'kill'", "timeline[0].at", "99")
        self.refused("name = 'x'\n[[timeline]]\nat = 1\ndo = 'kill'\nwho = ['nobody']", "nobody")
        self.refused("name = 'x'\n[load]\ntrace = '/nowhere.csv'", "load.trace", "/nowhere.csv")
        self.refused("name = 'x'\n[load]\nrate = 1e9", "load.rate", "may hold")
        self.refused("name = ", "not TOML")

    def test_every_experiment_that_is_shipped_can_be_played(self) -> None:
        paths = sorted((ROOT / "experiments").glob("*.toml"))
        self.assertGreaterEqual(len(paths), 3)
        for path in paths:
            with self.subTest(path.name), tempfile.TemporaryDirectory() as folder:
                play = Play(path, Path(folder))
                for _, played in play.variants:
                    self.assertTrue(make_plan(played, played.seed).inquiries)

    def test_variants_and_matrix(self) -> None:
        text = FULL + (
            "[matrix]\n'load.rate' = [10, 20]\n'world.tiers.1.servers' = [3, 4]\n"
            "[[variants]]\nname = 'one'\n[[variants]]\nname = 'two'\nset = {'load.retries' = 2}\n"
        )
        values: dict[str, Any] = tomllib.loads(text)
        told = variants_of(experiment(text), values, "e")
        self.assertEqual(len(told), 8)
        self.assertEqual(told[0][0].name, "one, rate 10, servers 3")
        last = told[-1][1]
        self.assertEqual((last.load.rate, last.world.tiers[1].servers, last.load.retries), (20, 4, 2))
        self.assertEqual(values["load"]["rate"], 300)
        with self.assertRaisesRegex(ExperimentError, "no place 7"):
            put(values, "world.tiers.7.servers", 1, "e")


class PlanTest(unittest.TestCase):
    def test_same_seed_same_plan_and_troubles_byte_for_byte(self) -> None:
        told = experiment(FULL)

        def drawn(seed: int) -> bytes:
            return msgspec.msgpack.encode(make_plan(told, seed)) + msgspec.msgpack.encode(
                steps_of(told, seed)
            )

        self.assertEqual(drawn(5), drawn(5))
        self.assertNotEqual(drawn(5), drawn(6))

    def test_the_load_follows_its_shape(self) -> None:
        plan = make_plan(experiment(FULL), 5)
        at = np.array([planned.at_us for planned in plan.inquiries]) / 1e6
        counts = np.histogram(at, bins=8, range=(0, 8))[0]
        # A ramp from 1 to 3 in two seconds, three until the sixth, then one; a burst of 50 in the fifth.
        for seen, want in zip(counts, (450, 750, 900, 900, 950, 900, 300, 300), strict=True):
            self.assertLess(abs(seen - want), 5 * want**0.5)
        self.assertTrue(np.all(np.diff(at) >= 0))

    def test_shares_works_calls_and_parts(self) -> None:
        told = experiment(FULL.replace("rate = 300", "rate = 3000"))
        plan = make_plan(told, 1)
        reads = [p for p in plan.inquiries if p.track == 0]
        self.assertAlmostEqual(len(reads) / len(plan.inquiries), 2 / 3, delta=0.02)
        self.assertAlmostEqual(sum(p.work_us for p in reads) / len(reads) / 10_000, 1.0, delta=0.05)
        self.assertAlmostEqual(sum(p.calls for p in reads) / len(reads), 1.5, delta=0.03)
        self.assertAlmostEqual(sum(p.tenant == 0 for p in reads) / len(reads), 0.75, delta=0.02)
        self.assertAlmostEqual(sum(p.leaves_us > 0 for p in reads) / len(reads), 0.1, delta=0.01)
        parts = [at for number in range(3) for at, _ in plan.part(number, 3)]
        self.assertEqual(sorted(parts), list(range(len(plan.inquiries))))

    def test_a_trace_is_played_as_recorded(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.csv"
            path.write_text("seconds,track\n0.5,gift\n0.25,read\n9.5,read\n")
            plan = make_plan(experiment(FULL.replace("rate = 300", f"rate = 300\ntrace = '{path}'")), 1)
            self.assertEqual([(p.at_us, p.track) for p in plan.inquiries], [(250_000, 0), (500_000, 1)])
            path.write_text("seconds,track\n0.5,what\n")
            with self.assertRaisesRegex(ExperimentError, "line 2"):
                make_plan(experiment(FULL.replace("rate = 300", f"trace = '{path}'")), 1)

    def test_a_deploy_drains_kills_and_starts_batch_after_batch(self) -> None:
        told = experiment(FULL.replace("count = 6", "count = 0"))
        steps = [(step.at_us // 1000, step.what) for step in steps_of(told, 5)]
        self.assertEqual(steps[:2], [(3000, "drain")] * 2)
        self.assertEqual(steps[2:4], [(5000, "kill")] * 2)
        self.assertEqual(
            steps[4:], [(5100, "start")] * 2 + [(5500, "drain"), (7500, "kill"), (7600, "start")]
        )


class ClaimTest(unittest.TestCase):
    def test_comparisons_over_figures(self) -> None:
        figures = {"lost": 0.0, "p99_ms": 12.0, "satisfied_part.gift": 0.5}
        self.assertEqual(holds("lost == 0", figures), (True, "0"))
        self.assertTrue(holds("0.4 < satisfied_part.gift <= 0.5", figures)[0])
        self.assertFalse(holds("p99_ms / 2 > 6", figures)[0])
        for bad in ("lost", "lost ==", "f(lost) == 0", "lost == 'a'", "unknown == 0", "lost in 3"):
            with self.subTest(bad), self.assertRaises(ClaimError):
                read_claim(bad)
                holds(bad, figures)


if __name__ == "__main__":
    unittest.main()
