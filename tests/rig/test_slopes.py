"""What one more of something costs: the fit, the command, and what it refuses."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from coraldeal.rig import slopes
from coraldeal.rig.command import main
from coraldeal.rig.experiment import ExperimentError


def run(*words: str) -> tuple[int, str, str]:
    """Exit status, output, errors."""
    out, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
        status = main(["scale", "slopes", *words])
    return status, out.getvalue(), errors.getvalue()


class Fits(unittest.TestCase):
    def test_points_on_a_line(self) -> None:
        line = slopes.fit([(1, 5), (2, 7), (4, 11), (10, 23)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.residual, 0)

    def test_points_beside_a_line(self) -> None:
        """Of these the line y = 2 x + 4 misses each by two, which is a fifth of their mean."""
        line = slopes.fit([(0, 6), (2, 6), (4, 10), (6, 18)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 4)
        self.assertAlmostEqual(line.residual, 0.2)

    def test_what_costs_nothing_and_what_has_no_line(self) -> None:
        self.assertEqual(slopes.fit([(1, 0), (2, 0)]), slopes.Fit(0, 0, 0))
        for points in ([], [(1.0, 2.0)], [(3.0, 1.0), (3.0, 2.0)]):
            with self.subTest(points=points), self.assertRaisesRegex(ExperimentError, "two sizes"):
                slopes.fit(points)


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.out = Path(folder.name) / "slopes.json"

    def test_each_size_is_measured_and_the_line_told(self) -> None:
        asked: list[int] = []

        def three_each(count: int) -> float:
            asked.append(count)
            return 3.0 * count + 7

        measure = slopes.Measure("thing", "B", (100, 200, 300, 400), three_each)
        with mock.patch.dict(slopes.MEASURES, {"things": measure}, clear=True):
            self.assertEqual(run("--out", str(self.out))[0], 0)
            self.assertEqual(asked, [100, 200, 300, 400])
            told = json.loads(self.out.read_text())
            self.assertFalse(told["quick"])
            (slope,) = told["slopes"]
            self.assertAlmostEqual(slope.pop("slope"), 3)
            self.assertAlmostEqual(slope.pop("intercept"), 7)
            self.assertAlmostEqual(slope.pop("residual"), 0)
            self.assertEqual(
                slope,
                {
                    "name": "things",
                    "per": "thing",
                    "unit": "B",
                    "sizes": [100, 200, 300, 400],
                    "measures": [307, 607, 907, 1207],
                },
            )
            asked.clear()
            status, out, _ = run("--quick")
            self.assertEqual((status, asked), (0, [10, 20, 40, 80]))
            self.assertIn("3 B a thing + 7", out)

    def test_all_that_need_no_process_are_measured(self) -> None:
        """With the product's own classes, whatever the figures are on this machine."""
        status, out, errors = run("--quick", "--out", str(self.out))
        self.assertEqual((status, errors), (0, ""))
        told = {slope["name"]: slope for slope in json.loads(self.out.read_text())["slopes"]}
        self.assertEqual(list(told), [name for name, measure in slopes.MEASURES.items() if measure.pure])
        for name, slope in told.items():
            with self.subTest(name=name):
                self.assertIn(name, out)
                self.assertEqual(slope["sizes"], list(slopes.QUICK))
                self.assertTrue(all(measure > 0 for measure in slope["measures"]))
        # Counted, not timed: the same on any machine.
        least, most = (len(json.dumps(slopes._whole(count))) for count in (10, 80))
        self.assertAlmostEqual(told["list-bytes"]["slope"], (most - least) / 70, delta=1)
        self.assertLess(told["list-bytes"]["residual"], 0.01)
        for name, least in (("entry-bytes", 300), ("follower-bytes", 500), ("server-connection-bytes", 500)):
            self.assertGreater(told[name]["slope"], least, name)

    def test_a_node_process_holds_a_descriptor_for_each_caller(self) -> None:
        with mock.patch.multiple(slopes, SETTLE=0.05, IDLE_FOR=0.1):
            few, more = slopes._node(10, 5), slopes._node(10, 25)
        self.assertEqual(more.descriptors - few.descriptors, 20)
        for node in (few, more):
            self.assertGreater(min(node.start_us, node.megabytes), 0)

    def test_what_is_refused(self) -> None:
        status, _, errors = run("--only", "change", "--only", "chagne")
        self.assertEqual(status, 2)
        self.assertRegex(errors, r"--only: 'chagne' is none of whole-list, change, ")
        status, out, errors = run("--only", "change", "--out", str(self.out.parent / "none" / "x.json"))
        self.assertEqual((status, out), (2, ""))
        self.assertIn("none/x.json", errors)
        with self.assertRaises(SystemExit) as ended:
            run("--sizes", "3")
        self.assertEqual(ended.exception.code, 2)


if __name__ == "__main__":
    unittest.main()
