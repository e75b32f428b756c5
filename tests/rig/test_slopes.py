"""Tests of the measurement of slopes: the fit of a line, the command, and the options that it refuses."""

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


def run(*arguments: str) -> tuple[int, str, str]:
    """Run `scale slopes` with these arguments; returns the exit status, the output and the errors."""
    out, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
        status = main(["scale", "slopes", *arguments])
    return status, out.getvalue(), errors.getvalue()


class FittedLines(unittest.TestCase):
    def test_points_on_a_line_are_fitted_without_residual(self) -> None:
        line = slopes.fit([(1, 5), (2, 7), (4, 11), (10, 23)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.residual, 0)

    def test_points_beside_a_line_are_fitted_with_their_residual(self) -> None:
        """The line y = 2 x + 4 misses each of these points by two, which is a fifth of their mean."""
        line = slopes.fit([(0, 6), (2, 6), (4, 10), (6, 18)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 4)
        self.assertAlmostEqual(line.residual, 0.2)

    def test_zero_costs_fit_a_zero_line_and_fewer_than_two_sizes_are_refused(self) -> None:
        self.assertEqual(slopes.fit([(1, 0), (2, 0)]), slopes.Fit(0, 0, 0))
        for points in ([], [(1.0, 2.0)], [(3.0, 1.0), (3.0, 2.0)]):
            with self.subTest(points=points), self.assertRaisesRegex(ExperimentError, "two sizes"):
                slopes.fit(points)


class SlopesCommand(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.out = Path(folder.name) / "slopes.json"

    def test_each_size_is_measured_and_the_line_reported(self) -> None:
        measured: list[int] = []

        def cost_at(count: int) -> float:
            measured.append(count)
            return 3.0 * count + 7

        measure = slopes.Measure("thing", "B", (100, 200, 300, 400), cost_at)
        with mock.patch.dict(slopes.MEASURES, {"things": measure}, clear=True):
            self.assertEqual(run("--out", str(self.out))[0], 0)
            self.assertEqual(measured, [100, 200, 300, 400])
            written = json.loads(self.out.read_text())
            self.assertFalse(written["quick"])
            (slope,) = written["slopes"]
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
            measured.clear()
            status, out, _ = run("--quick")
            self.assertEqual((status, measured), (0, [10, 20, 40, 80]))
            self.assertIn("3 B per thing + 7", out)

    def test_quick_run_takes_all_measures_without_a_node_process(self) -> None:
        """The measures use the product's own classes; no bound depends on the speed of the machine."""
        status, out, errors = run("--quick", "--out", str(self.out))
        self.assertEqual((status, errors), (0, ""))
        written = {slope["name"]: slope for slope in json.loads(self.out.read_text())["slopes"]}
        self.assertEqual(
            list(written), [name for name, measure in slopes.MEASURES.items() if measure.in_process]
        )
        for name, slope in written.items():
            with self.subTest(name=name):
                self.assertIn(name, out)
                self.assertEqual(slope["sizes"], list(slopes.QUICK))
                self.assertTrue(all(measure > 0 for measure in slope["measures"]))
        # Bytes are counted and so the same on any machine.
        shortest, longest = (len(json.dumps(slopes._list_message(count))) for count in (10, 80))
        self.assertAlmostEqual(written["list-bytes"]["slope"], (longest - shortest) / 70, delta=1)
        self.assertLess(written["list-bytes"]["residual"], 0.01)
        for name, minimum in (
            ("entry-bytes", 300),
            ("follower-bytes", 500),
            ("server-connection-bytes", 500),
        ):
            self.assertGreater(written[name]["slope"], minimum, name)

    def test_node_process_holds_a_descriptor_for_each_caller(self) -> None:
        with mock.patch.multiple(slopes, SETTLE=0.05, IDLE_FOR=0.1):
            few, more = slopes._node_costs(10, 5), slopes._node_costs(10, 25)
        self.assertEqual(more.descriptors - few.descriptors, 20)
        for costs in (few, more):
            self.assertGreater(min(costs.start_us, costs.megabytes), 0)

    def test_unknown_measure_unwritable_file_and_unknown_flag_are_refused(self) -> None:
        status, _, errors = run("--only", "change", "--only", "chagne")
        self.assertEqual(status, 2)
        self.assertRegex(errors, r"--only: 'chagne' is none of whole-list, change, ")
        status, out, errors = run("--only", "change", "--out", str(self.out.parent / "none" / "x.json"))
        self.assertEqual((status, out), (2, ""))
        self.assertIn("none/x.json", errors)
        with self.assertRaises(SystemExit) as raised:
            run("--sizes", "3")
        self.assertEqual(raised.exception.code, 2)


if __name__ == "__main__":
    unittest.main()
