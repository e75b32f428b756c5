"""Tests of the soak: the faults of its shim, the drawing of seeds, its checks, and two seeds on processes."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from coraldeal.rig.crowd.draw import ROUND_SECONDS
from coraldeal.rig.crowd.draw import draw as draw_crowd
from coraldeal.rig.experiment import Experiment, Variant, World
from coraldeal.rig.records import ListRecord, Records, TryRecord
from coraldeal.rig.rules import RuleChecker
from coraldeal.rig.run import RunResult
from coraldeal.rig.soak.draw import LAST_FAULT_AT, draw
from coraldeal.rig.soak.play import Options, Verdict, find_violations, format_verdict, replay_command, soak
from coraldeal.rig.soak.shim import ShimError, SystemFaults, build
from tests.rig.test_rules import MS, SECOND, START, make_attempt, make_try

# A program that prints what it sees under the shim: the wall clock before and after a step, and the result of
# each system call.
PROBE = """
import json, socket, time
near, far = socket.socketpair()
seen = {"clock": [time.time()], "accept": [], "recv": [], "send": []}
listener = socket.create_server(("127.0.0.1", 0))
for _ in range(4):
    made = socket.create_connection(listener.getsockname())
    try:
        listener.accept()[0].close()
        seen["accept"].append("")
    except OSError as error:
        seen["accept"].append(error.errno)
for _ in range(4):
    seen["send"].append(near.send(b"abcd"))
    seen["recv"].append(len(far.recv(99)))
time.sleep(0.6)
seen["clock"].append(time.time())
print(json.dumps(seen))
"""


class Shim(unittest.TestCase):
    def test_configured_calls_fail_and_the_clock_steps(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            try:
                library = build(Path(folder))
            except ShimError as error:
                self.skipTest(f"not run: {error}")
            log = Path(folder) / "log"
            faults = SystemFaults({"accept": 2, "recv": 2, "send": 2}, ((0.5, 3600),))
            environment = {**os.environ, **faults.environment(library, log)}
            completed = subprocess.run(
                [sys.executable, "-c", PROBE], env=environment, capture_output=True, check=True, timeout=30
            )
            seen = json.loads(completed.stdout)
            self.assertEqual(set(log.read_text().split()), {"accept", "recv", "send"})
        before, after = seen["clock"]
        self.assertAlmostEqual(after - before, 3600.6, delta=0.5)
        self.assertTrue(any(seen["accept"]) and not all(seen["accept"]), seen)
        # Python repeats interrupted calls, so only the short writes and reads show.
        self.assertIn(2, seen["send"])
        self.assertIn(1, seen["recv"])


class DrawnExperiments(unittest.TestCase):
    def test_same_seed_draws_the_same_and_another_seed_differs(self) -> None:
        self.assertEqual(draw(7), draw(7))
        self.assertEqual(draw_crowd(7), draw_crowd(7))
        self.assertNotEqual(draw(7).experiment.timeline, draw(8).experiment.timeline)

    def test_drawn_experiments_keep_to_the_limits_of_the_platform(self) -> None:
        for seed in range(200):
            events = draw(seed).experiment.timeline
            ended = [event.who[0] for event in events if event.do in ("node_term", "node_kill")]
            self.assertEqual(len(ended), len(set(ended)), "a node ends twice")
            for event in events:
                self.assertLess(event.at, LAST_FAULT_AT + 5.0)
                if event.do == "node_term":
                    self.assertGreaterEqual(event.seconds, 1.0 + 0.7)
            options = draw_crowd(seed)
            self.assertLessEqual(options.nodes * options.limits.work, ROUND_SECONDS[1] + 0.01)


class Checks(unittest.TestCase):
    def counts(self, records: Records, mode: str = "ask") -> dict[str, int]:
        """The number of violations of each broken rule."""
        experiment = Experiment(name="x", world=World(list_mode=mode))  # type: ignore[arg-type]
        checker = RuleChecker(experiment, records, [], START)
        checker.check()
        return {rule: count for rule, count in checker.counts.items() if count}

    def test_attempt_that_begins_long_after_its_client_left_is_a_violation(self) -> None:
        left = make_try(status=0, failure="left")
        self.assertEqual(self.counts(Records(tries=[left], attempts=[make_attempt(at=50 * MS)])), {})
        self.assertEqual(
            self.counts(Records(tries=[left], attempts=[make_attempt(at=300 * MS)])), {"lost": 1}
        )

    def test_drain_that_was_never_written_counts_after_six_seconds(self) -> None:
        drains = ListRecord(0, START, "has", "front-0", "Terminating")
        for at, expected in ((7 * SECOND, {}), (8 * SECOND, {"drain": 1})):
            attempt_record = make_attempt(at=at)
            try_record = make_try(at=at)
            self.assertEqual(
                self.counts(Records(tries=[try_record], attempts=[attempt_record], lists=[drains])), expected
            )

    def test_drain_counts_later_in_an_outage_and_at_once_when_pushed(self) -> None:
        drains = ListRecord(0, START + SECOND, "has", "front-0", "Terminating")
        outage = [ListRecord(0, START, "down"), drains, ListRecord(0, START + 3 * SECOND, "up")]
        for mode, at, expected in (
            ("ask", 10 * SECOND, {}),
            ("ask", 11 * SECOND, {"drain": 1}),
            ("push", 4 * SECOND, {}),
            ("push", 5 * SECOND, {"drain": 1}),
        ):
            records = Records(tries=[make_try(at=at)], attempts=[make_attempt(at=at)], lists=list(outage))
            self.assertEqual(self.counts(records, mode), expected)

    def test_node_that_serves_no_request_of_a_class_for_a_while_is_out_of_use(self) -> None:
        def rejected(count: int) -> list[TryRecord]:
            return [
                make_try(number, at=number * 300 * MS, status=503, is_own=False) for number in range(count)
            ]

        for tries, expected in ((rejected(30), 1), (rejected(10), 0), ([*rejected(30), make_try()], 1)):
            experiment = Experiment(name="x")
            played = RunResult(
                experiment, Variant(name="x"), 1, START, START + 20 * SECOND, Records(tries=tries), [], {}, []
            )
            checker = RuleChecker(experiment, played.records, played.node_events, START)
            self.assertEqual(len(find_violations(played, checker)), expected)

    def test_verdict_of_a_failed_seed_holds_the_command_that_plays_it_again(self) -> None:
        self.assertIn(replay_command(9, ""), format_verdict(Verdict(9, "about", ["lost: 1"], []), ""))


class RealProcesses(unittest.TestCase):
    def test_two_seeds_with_many_kinds_of_faults_give_no_violations(self) -> None:
        """Seed 3: a stepped clock, failing connects, an outage, drains and a restart; seed 4: a crowd."""
        verdicts = asyncio.run(soak(Options(3, 2, side_by_side=2), lambda _: None))
        for verdict in verdicts:
            self.assertEqual(verdict.violations, [], format_verdict(verdict, ""))


if __name__ == "__main__":
    unittest.main()
