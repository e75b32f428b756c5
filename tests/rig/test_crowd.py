"""Drains are kept at a discovery that has more calls to work through than it can: real node processes."""

from __future__ import annotations

import asyncio
import sys
import unittest

from coraldeal.rig.crowd.play import Options, Outcome, play
from coraldeal.rig.crowd.service import ServiceLimits
from coraldeal.rig.nodes import ROOT, Program

PROGRAM = Program([sys.executable, "-m", "coraldeal", "serve"], ROOT)


def crowded(ends_together: bool = False) -> Options:
    """Eight calls may wait, each costs a third of a second; watches end instead of telling the drain."""
    limits = ServiceLimits(0.364, most_waiting=8, ends_watches=True, ends_together=ends_together)
    return Options(9, limits, spread=3.2, drain_after=-3.5, published_after=2.0, seed=1)


async def played(*plays: Options) -> list[Outcome]:
    """Side by side: most of a play is waiting."""
    return list(await asyncio.gather(*(play(options, PROGRAM, lambda _: None) for options in plays)))


class CrowdedDiscovery(unittest.TestCase):
    refuses: Outcome
    ends_together: Outcome

    @classmethod
    def setUpClass(cls) -> None:
        plays = (crowded(), crowded(ends_together=True))
        cls.refuses, cls.ends_together = asyncio.run(played(*plays))

    def keeps_drains(self, outcome: Outcome) -> None:
        self.assertGreater(outcome.worst, 1.0, "the server was not in use")
        self.assertEqual(outcome.broken, 0, outcome.text())

    def test_new_configurations_in_a_row_at_a_discovery_that_refuses_keep_no_drained_server_in_use(
        self,
    ) -> None:
        self.keeps_drains(self.refuses)

    def test_calls_of_a_node_that_end_together_keep_no_drained_server_in_use(self) -> None:
        self.keeps_drains(self.ends_together)


if __name__ == "__main__":
    unittest.main()
