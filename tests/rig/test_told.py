"""The judge of what counts as told: each sentence of the pages alone, then the earliest of them."""

from __future__ import annotations

import unittest
from math import inf

from coraldeal.rig import told
from coraldeal.rig.told import Call, Change, NodeHistory, Outage, Watch

CHANGE = Change(2, 10.0)


def asked(**parts: object) -> NodeHistory:
    return NodeHistory(ask_every=10.0, **parts)  # type: ignore[arg-type]


class Sentences(unittest.TestCase):
    def test_written_counts_at_once_and_an_older_version_does_not(self) -> None:
        history = asked(written=[Change(1, 10.5), Change(3, 11.0), Change(2, 12.0)])
        self.assertEqual(told.when_written(history, CHANGE, []), 11.0)
        self.assertEqual(told.when_written(asked(), CHANGE, []), inf)

    def test_at_the_latest_six_seconds_from_when_it_can_be_reached(self) -> None:
        self.assertEqual(told.at_the_latest(asked(), CHANGE, []), 16.0)
        self.assertEqual(told.at_the_latest(asked(), CHANGE, [Outage(12.0, 14.0)]), 16.0)
        self.assertEqual(told.at_the_latest(asked(), CHANGE, [Outage(9.0, 14.0)]), 20.0)
        self.assertEqual(told.at_the_latest(asked(), CHANGE, [Outage(9.0)]), inf)

    def test_a_silent_watch_is_broken_six_seconds_after_its_silence(self) -> None:
        for silent_at, expected in ((8.0, 14.0), (1.0, 10.0), (11.0, inf), (inf, inf)):
            history = asked(watches=[Watch(0.0, silent_at=silent_at)])
            self.assertEqual(told.after_silence(history, CHANGE, []), expected)
        replaced = asked(watches=[Watch(0.0, ended=9.0, silent_at=8.0), Watch(9.0)])
        self.assertEqual(told.after_silence(replaced, CHANGE, []), inf)

    def test_a_watch_that_ends_instead_of_telling(self) -> None:
        self.assertEqual(told.after_a_watchs_end(asked(watches=[Watch(0.0, ended=10.5)]), CHANGE, []), 12.5)
        left = asked(watches=[Watch(0.0, ended=10.5, left=True)])
        self.assertEqual(told.after_a_watchs_end(left, CHANGE, []), inf)
        self.assertEqual(told.after_a_watchs_end(asked(watches=[Watch(0.0, ended=9.0)]), CHANGE, []), inf)

    def test_four_seconds_after_the_first_new_configuration_behind_the_change(self) -> None:
        self.assertEqual(told.after_sighup(asked(sighups=[9.0, 10.5, 10.9]), CHANGE, []), 14.5)
        self.assertEqual(told.after_sighup(asked(sighups=[9.0]), CHANGE, []), inf)

    def test_an_agents_word_counts_at_once_and_four_seconds_after_a_new_configuration(self) -> None:
        for sighups, outages, expected in (
            ([], [], 10.0),
            ([], [Outage(8.0, 15.0)], 15.0),
            ([9.0], [], 13.0),
            ([5.0, 8.0], [], 12.0),
        ):
            history = NodeHistory(10.0, is_pushed=True, sighups=sighups)
            self.assertEqual(told.by_the_agent(history, CHANGE, outages), expected)
        self.assertEqual(told.by_the_agent(asked(), CHANGE, []), inf)

    def test_a_node_without_a_watch_is_held_to_its_list_for_the_time_of_asking(self) -> None:
        self.assertEqual(told.by_asking(asked(calls=[Call(7.0, False)]), CHANGE, []), 17.0)
        self.assertEqual(told.by_asking(asked(calls=[Call(7.0, True)]), CHANGE, []), 47.0)
        self.assertEqual(told.by_asking(asked(calls=[Call(-5.0, False)]), CHANGE, []), 20.0)
        back = [Outage(6.0, 9.0)]
        self.assertEqual(told.by_asking(asked(calls=[Call(7.0, False)]), CHANGE, back), 19.0)
        watched = asked(calls=[Call(7.0, False)], watches=[Watch(7.0)])
        self.assertEqual(told.by_asking(watched, CHANGE, []), inf)


class Judge(unittest.TestCase):
    def test_the_earliest_sentence_holds_and_is_named(self) -> None:
        history = asked(sighups=[11.0], watches=[Watch(0.0, ended=10.5)], written=[Change(2, 30.0)])
        self.assertEqual(told.told_at(history, CHANGE, []), (12.5, "after_a_watchs_end"))
        self.assertEqual(told.told_at(asked(), CHANGE, []), (16.0, "at_the_latest"))


if __name__ == "__main__":
    unittest.main()
