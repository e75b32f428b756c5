"""Drains are kept at a discovery that has more calls to work through than it can: real node processes."""

from __future__ import annotations

import asyncio
import sys
import unittest

from coraldeal.rig.crowd.play import Options, play
from coraldeal.rig.crowd.service import ServiceLimits
from coraldeal.rig.nodes import ROOT, Program

PROGRAM = Program([sys.executable, "-m", "coraldeal", "serve"], ROOT)


def crowded(ends_together: bool = False) -> Options:
    """Eight calls may wait, each costs a third of a second; watches end instead of telling the drain."""
    limits = ServiceLimits(0.364, most_waiting=8, ends_watches=True, ends_together=ends_together)
    return Options(9, limits, spread=3.2, drain_after=-3.5, published_after=2.0, seed=1)


class CrowdedDiscovery(unittest.TestCase):
    def keep_drains(self, options: Options) -> None:
        outcome = asyncio.run(play(options, PROGRAM, lambda _: None))
        self.assertGreater(outcome.worst, options.published_after - 1.0, "the server was not in use")
        self.assertEqual(outcome.broken, 0, outcome.text())

    def test_new_configurations_in_a_row_at_a_discovery_that_refuses_keep_no_drained_server_in_use(
        self,
    ) -> None:
        self.keep_drains(crowded())

    def test_calls_of_a_node_that_end_together_keep_no_drained_server_in_use(self) -> None:
        self.keep_drains(crowded(ends_together=True))


if __name__ == "__main__":
    unittest.main()
