"""Tests, on real node processes, that drains are kept while discovery has more calls than it can serve.

The nodes load several new configurations, their calls fail, and watches end instead of sending the drain. The
failure guarded against: a node that does not get the list in time keeps sending to the draining server.
"""

from __future__ import annotations

import asyncio
import sys
import unittest

from coraldeal.rig.crowd.play import Options, Outcome, play
from coraldeal.rig.crowd.service import ServiceLimits
from coraldeal.rig.nodes import ROOT, Program

PROGRAM = Program([sys.executable, "-m", "coraldeal", "serve"], ROOT)


def crowded(ends_together: bool = False) -> Options:
    """A play in which eight calls may wait and each takes a third of a second."""
    limits = ServiceLimits(0.364, max_waiting=8, ends_watches=True, ends_together=ends_together)
    return Options(9, limits, spread=3.2, drain_after=-3.5, published_after=2.0, seed=1)


async def play_all(*plays: Options) -> list[Outcome]:
    """Play several crowds at the same time; most of a play is waiting."""
    return list(await asyncio.gather(*(play(options, PROGRAM, lambda _: None) for options in plays)))


class CrowdedDiscovery(unittest.TestCase):
    """Two plays, which run once for all tests."""

    refuses: Outcome
    ends_together: Outcome

    @classmethod
    def setUpClass(cls) -> None:
        plays = (crowded(), crowded(ends_together=True))
        cls.refuses, cls.ends_together = asyncio.run(play_all(*plays))

    def assert_keeps_drains(self, outcome: Outcome) -> None:
        self.assertGreater(outcome.worst, 1.0, "no request came later than 1 s after the drain")
        self.assertEqual(outcome.violations, 0, outcome.text())

    def test_new_configurations_while_discovery_refuses_calls_keep_drains(self) -> None:
        self.assert_keeps_drains(self.refuses)

    def test_calls_of_a_node_that_end_together_keep_drains(self) -> None:
        self.assert_keeps_drains(self.ends_together)


if __name__ == "__main__":
    unittest.main()
