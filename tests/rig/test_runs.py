"""Complete runs on loopback: the rig's clock and records, planted faults, and interrupted runs."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from coraldeal.rig import clock
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.play import (
    ASSERTION_FAILED,
    INTERRUPTED,
    OK,
    ExperimentResult,
    ExperimentRunner,
    read_result,
)
from coraldeal.rig.results import Summary

# Nodes with one planted fault each, and sound nodes beside them.
PLANTED_FAULTS = """
name = "faults"
seconds = 6
settle_seconds = 1
side_by_side = true
slack_ms = 300
[world]
nodes = 2
[[world.tiers]]
name = "front"
servers = 4
[load]
rate = 120
tracks = [
    { name = "read", work = "fixed", work_ms = 15, patience_ms = 800 },
    { name = "gift", effect = "irreversible", work = "fixed", work_ms = 15, patience_ms = 800 },
]
[[timeline]]
at = 1
do = "kill"
who = ["front-2"]
seconds = 0.5
[[timeline]]
at = 2
do = "drain"
who = ["front-1"]
[[variants]]
name = "as it stands"
[[variants]]
name = "random"
policy = "random"
[[variants]]
name = "twice"
policy = "fault_sends_twice"
set = { "world.tiers.0.error_every" = 20 }
[[variants]]
name = "lost"
policy = "fault_loses_one"
[[variants]]
name = "drain"
policy = "fault_sends_after_drain"
[[variants]]
name = "cold"
policy = "fault_floods_cold"
set = { "load.rate" = 400, "world.tiers.0.fall_multiple" = 1 }
[[variants]]
name = "cold, sound"
set = { "load.rate" = 400, "world.tiers.0.fall_multiple" = 1 }
"""

INJECTED_FAULTS = """
name = "troubles"
seconds = 8
slack_ms = 300
settle_seconds = 1
[world]
zones = ["a", "b"]
zone_delay_ms = 1
nodes = 2
[[world.tiers]]
name = "front"
servers = 8
group = 2
[load]
rate = 120
retries = 1
leave = 0.02
idle = 5
bad = [
    { kind = "garbage", per_second = 5 },
    { kind = "two_lengths", per_second = 5 },
    { kind = "half", per_second = 5 },
]
tracks = [
    { name = "read", work_ms = 10, patience_ms = 800 },
    { name = "gift", effect = "labelled", work_ms = 10, patience_ms = 800 },
    { name = "once", effect = "irreversible", work_ms = 10, patience_ms = 800 },
]
"""

UPGRADES = """
name = "upgrades"
seconds = 6
slack_ms = 300
settle_seconds = 0.5
claims = ["violations == 0", "upgrades == 2", "door_bad == 0", "met_end == 0", "crashes == 0"]
[world]
doors = true
[load]
rate = 100
tracks = [
    { name = "read", work_ms = 10, patience_ms = 800 },
    { name = "once", effect = "irreversible", work_ms = 10, patience_ms = 800 },
]
[[timeline]]
at = 1
do = "node_upgrade"
who = ["node-0"]
[[timeline]]
at = 3
do = "node_upgrade"
who = ["node-0"]
"""

# Injected faults of many kinds, most of them overlapping: kind, target, further keys.
EVENTS = (
    ("kill", "front-0", "seconds = 2"),
    ("freeze", "front-1", "seconds = 1"),
    ("slow", "front-2", "seconds = 2\nby = 5"),
    ("silent", "front-3", "seconds = 1.5"),
    ("cut", "front-4", "seconds = 2"),
    ("refuse", "front-5", "seconds = 1"),
    ("reset", "front-6", "seconds = 1\nbyte = 20"),
    ("spoil", "front-7", "seconds = 2\nby = 0.3\nkind = 'length'"),
    ("close_idle", "all", "between = [0.05, 0.2]"),
    ("list_wrong", "all", "seconds = 1"),
    ("list_down", "all", "seconds = 1"),
    ("node_hup", "node-0", ""),
    ("node_kill", "node-1", "seconds = 1"),
)


def run_experiment(text: str, folder: Path, **overrides: Any) -> tuple[ExperimentResult, int]:
    """Run an experiment given as text; returns its result and exit status."""
    path = folder / "experiment-file.toml"
    path.write_text(text)
    result: tuple[ExperimentResult, int] = clock.run(
        ExperimentRunner(path, folder / "out", overrides=overrides, say=lambda _: None).run()
    )
    return result


def remaining_processes(folder: Path) -> list[str]:
    """Return the command lines of running processes that name this directory."""
    processes = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            line = path.read_bytes().replace(b"\0", b" ").decode("utf-8", "replace")
        except OSError:
            continue
        if str(folder) in line and "coraldeal" in line:
            processes.append(line)
    return processes


class RunTest(unittest.TestCase):
    """Results of complete runs."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = Path(directory.name)

    def experiment_text(self, name: str) -> str:
        """Return the text of an experiment file of the repository."""
        return (ROOT / "experiments" / f"{name}.toml").read_text()

    def test_fixed_delay_is_reported_within_two_percent(self) -> None:
        result, status = run_experiment(self.experiment_text("clock"), self.folder)
        figures = result.summaries[0].figures
        self.assertEqual(status, OK, result.verdicts)
        for name in ("p50_ms", "p99_ms"):
            self.assertAlmostEqual(figures[name] / 1000, 1.0, delta=0.02)
        self.assertEqual(figures["asked"], 800)

    def test_stall_shows_in_full_in_the_latency_tail(self) -> None:
        result, status = run_experiment(self.experiment_text("stall"), self.folder)
        self.assertEqual(status, OK, result.verdicts)

    def test_failed_assertion_sets_the_exit_status(self) -> None:
        text = self.experiment_text("clock").replace("p50_ms / 1000 < 1.02", "p50_ms / 1000 < 0.5")
        _, status = run_experiment(text, self.folder, seconds=2)
        self.assertEqual(status, ASSERTION_FAILED)

    def test_planted_faults_are_detected_and_sound_nodes_pass(self) -> None:
        result, _ = run_experiment(PLANTED_FAULTS, self.folder)
        summaries: dict[str, Summary] = {summary.variant: summary for summary in result.summaries}
        for name in ("as it stands", "random", "cold, sound"):
            self.assertEqual(summaries[name].figures["violations"], 0, summaries[name].violations[:2])
            self.assertGreater(summaries[name].figures["satisfied"], 300)
        for rule in ("twice", "lost", "drain", "cold"):
            with self.subTest(rule):
                self.assertGreater(summaries[rule].figures[rule], 0)
                first = next(v for v in summaries[rule].violations if v.rule == rule)
                self.assertGreater(len(first.trace), 2)
        self.assertEqual({v.rule for v in summaries["twice"].violations}, {"twice"})
        self.assertEqual({v.rule for v in summaries["drain"].violations}, {"drain"})
        # Results read from their files equal those that were written.
        read = read_result(self.folder / "out")
        self.assertEqual([s.figures for s in read.summaries], [s.figures for s in result.summaries])

    def test_overlapping_injected_faults_violate_no_rule(self) -> None:
        events = "".join(
            f"[[timeline]]\nat = {2 + 0.1 * number}\ndo = '{do}'\nwho = ['{who}']\n{more}\n"
            for number, (do, who, more) in enumerate(EVENTS)
        )
        events += "[[timeline]]\nat = 5\ndo = 'node_term'\nwho = ['node-0']\nseconds = 2.5\n"
        result, _ = run_experiment(INJECTED_FAULTS + events, self.folder)
        summary = result.summaries[0]
        self.assertEqual(summary.figures["violations"], 0, summary.violations[:2])
        self.assertEqual(summary.figures["crashes"], 0)
        self.assertGreater(summary.figures["satisfied_part"], 0.6)
        self.assertEqual(len({action for _, action, _ in summary.troubles}), 21)
        log = next(self.folder.glob("out/*/node-0.log")).read_text()
        self.assertIn('event="configuration read anew"', log)
        results = {name for counts in summary.servers.values() for name in counts}
        self.assertLessEqual({"served", "silent", "reset", "spoilt"}, results)
        self.assertEqual(remaining_processes(self.folder), [])

    def test_upgrades_under_load_break_no_connection(self) -> None:
        result, status = run_experiment(UPGRADES, self.folder)
        summary = result.summaries[0]
        self.assertEqual(status, OK, (result.verdicts, summary.violations[:2]))
        self.assertGreater(summary.figures["satisfied_part"], 0.9)
        self.assertGreater(summary.figures["door_calls"], 40)
        self.assertEqual(remaining_processes(self.folder), [])

    def test_servers_of_a_tier_call_the_next_through_their_own_nodes(self) -> None:
        text = INJECTED_FAULTS.replace(
            "[load]", "[[world.tiers]]\nname = 'deep'\nservers = 4\nwork_part = 0.5\n[load]"
        ).replace('name = "read"', 'name = "read", calls = 2')
        text = text.replace("servers = 8", "servers = 2").replace("rate = 120", "rate = 40")
        text = text.replace("seconds = 8", "seconds = 4")
        result, _ = run_experiment(text, self.folder)
        summary = result.summaries[0]
        self.assertEqual(summary.figures["violations"], 0, summary.violations[:2])
        self.assertGreater(summary.figures["satisfied_part"], 0.9)
        front_attempts = summary.servers["front-0"]["trips"] + summary.servers["front-1"]["trips"]
        deep_attempts = sum(summary.servers[f"deep-{n}"]["trips"] for n in range(4))
        # One of the three classes calls the next tier, twice for each request.
        self.assertAlmostEqual(deep_attempts / front_attempts, 2 / 3, delta=0.25)
        self.assertEqual(len(summary.nodes), 4)


class CommandLineTest(unittest.TestCase):
    """Exit status, messages and cleanup of the command line for invalid input and interrupted runs."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = Path(directory.name)

    def start_rig(self, *args: str) -> subprocess.Popen[str]:
        command = [sys.executable, "-m", "coraldeal", "rig", *args]
        return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def run_rig(self, *args: str) -> tuple[int, str, str]:
        """Run `coraldeal rig`; returns its exit status, output and errors."""
        process = self.start_rig(*args)
        out, err = process.communicate(timeout=60)
        return process.returncode, out, err

    def write_experiment(self, text: str) -> str:
        """Write an experiment file and return its path."""
        path = self.folder / "e.toml"
        path.write_text(text)
        return str(path)

    def test_invalid_experiments_give_plain_messages(self) -> None:
        text = "name = 'x'\nseconds = 2\nsettle_seconds = 0\n"
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            cases = (
                (text + "[load]\nrat = 3\n", ("load", "rat")),
                (text + "claims = ['lost = 0']\n", ("claim", "lost = 0")),
                (text + "[[variants]]\nname = 'v'\ncommit = 'no-such'\n", ("variant v", "no-such")),
                (text + "[[variants]]\nname = 'v'\npolicy = 'best'\n", ("variant v", "best")),
                (text + f"[world]\nfirst_port = {port}\n", ("first_port", str(port))),
                (text + "[node]\n'settings.tracks' = 3\n", ("node-0", "settings.tracks")),
            )
            for experiment, words in cases:
                with self.subTest(words):
                    out = self.folder / f"out-{words[1]}"
                    status, _, err = self.run_rig("run", self.write_experiment(experiment), "--out", str(out))
                    self.assertEqual(status, 2, err)
                    for word in words:
                        self.assertIn(word, err)
                    self.assertNotIn("Traceback", err)
                    self.assertEqual(remaining_processes(self.folder), [])
        status, _, err = self.run_rig("report", str(self.folder / "nothing"))
        self.assertEqual((status, "no results" in err), (2, True))

    def start_long_run(self) -> tuple[subprocess.Popen[str], Path]:
        """Start a long run, and wait until its nodes serve."""
        out = self.folder / "out"
        process = self.start_rig("run", "experiments/calm.toml", "--out", str(out))
        self.addCleanup(process.kill)
        until = time.monotonic() + 30
        while time.monotonic() < until and not len(remaining_processes(out)) >= 5:
            time.sleep(0.05)
        time.sleep(2.5)
        return process, out

    def test_interrupted_run_keeps_partial_results_and_leaves_no_process(self) -> None:
        process, out = self.start_long_run()
        process.send_signal(signal.SIGINT)
        _, err = process.communicate(timeout=30)
        self.assertEqual(process.returncode, INTERRUPTED, err)
        self.assertNotIn("Traceback", err)
        result = read_result(out)
        self.assertTrue(result.interrupted)
        self.assertIn("the run was interrupted", " ".join(result.summaries[0].warnings))
        self.assertGreater(result.series[0].counts["satisfied"][1], 10)
        self.assertTrue((out / "report.html").exists())
        self.assertEqual(remaining_processes(out), [])

    def test_killed_run_leaves_no_process(self) -> None:
        process, out = self.start_long_run()
        os.kill(process.pid, signal.SIGKILL)
        process.communicate(timeout=30)
        until = time.monotonic() + 15
        while remaining_processes(out) and time.monotonic() < until:
            time.sleep(0.1)
        self.assertEqual(remaining_processes(out), [])

    def test_compare_and_report_read_the_results_of_run(self) -> None:
        text = "name = 'x'\nseconds = 2\nsettle_seconds = 0.5\nclaims = ['lost == 0']\nrepetitions = 2\n"
        out = self.folder / "out"
        status, output, err = self.run_rig(
            "run", self.write_experiment(text), "--out", str(out), "--set", "load.rate=50"
        )
        self.assertEqual(status, 0, err)
        self.assertIn("assertion lost == 0: holds", output)
        page = (out / "report.html").read_text()
        for word in ("data:image/png;base64,", "lost == 0", "No rule was violated"):
            self.assertTrue(word in page, word)
        # The page is self-contained: it loads nothing.
        self.assertIsNone(re.search(r"(src|href)=.?(http|//)", page))
        (out / "report.html").unlink()
        self.assertEqual(self.run_rig("report", str(out))[0], 0)
        self.assertTrue((out / "report.html").exists())
        status, output, _ = self.run_rig("compare", str(out), str(out))
        self.assertEqual(status, 0)
        self.assertRegex(output, r"satisfied_part +\S+ +\S+ +1\.000")


if __name__ == "__main__":
    unittest.main()
