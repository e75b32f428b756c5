"""Tests of the rules for when a node counts as notified of a change: each rule alone, then the earliest."""

from __future__ import annotations

import unittest
from math import inf

from coraldeal.rig import notification
from coraldeal.rig.notification import Call, Change, NodeHistory, Outage, Watch

CHANGE = Change(2, 10.0)


def history_of(**fields: object) -> NodeHistory:
    """The history of a node that asks every 10 s, with these fields."""
    return NodeHistory(ask_every=10.0, **fields)  # type: ignore[arg-type]


class Rules(unittest.TestCase):
    def test_written_version_counts_at_once_and_an_older_one_does_not(self) -> None:
        history = history_of(written=[Change(1, 10.5), Change(3, 11.0), Change(2, 12.0)])
        self.assertEqual(notification.when_written(history, CHANGE, []), 11.0)
        self.assertEqual(notification.when_written(history_of(), CHANGE, []), inf)

    def test_longest_delay_is_six_seconds_from_when_discovery_can_be_reached(self) -> None:
        self.assertEqual(notification.after_longest_delay(history_of(), CHANGE, []), 16.0)
        self.assertEqual(notification.after_longest_delay(history_of(), CHANGE, [Outage(12.0, 14.0)]), 16.0)
        self.assertEqual(notification.after_longest_delay(history_of(), CHANGE, [Outage(9.0, 14.0)]), 20.0)
        self.assertEqual(notification.after_longest_delay(history_of(), CHANGE, [Outage(9.0)]), inf)

    def test_change_missed_by_a_silent_watch_counts_six_seconds_after_its_silence(self) -> None:
        for silent_at, expected in ((8.0, 14.0), (1.0, 10.0), (11.0, inf), (inf, inf)):
            history = history_of(watches=[Watch(0.0, silent_at=silent_at)])
            self.assertEqual(notification.after_silence(history, CHANGE, []), expected)
        replaced = history_of(watches=[Watch(0.0, ended=9.0, silent_at=8.0), Watch(9.0)])
        self.assertEqual(notification.after_silence(replaced, CHANGE, []), inf)

    def test_change_missed_by_an_ended_watch_counts_two_seconds_after_its_end(self) -> None:
        self.assertEqual(
            notification.after_watch_end(history_of(watches=[Watch(0.0, ended=10.5)]), CHANGE, []), 12.5
        )
        closed_by_node = history_of(watches=[Watch(0.0, ended=10.5, closed_by_node=True)])
        self.assertEqual(notification.after_watch_end(closed_by_node, CHANGE, []), inf)
        self.assertEqual(
            notification.after_watch_end(history_of(watches=[Watch(0.0, ended=9.0)]), CHANGE, []), inf
        )

    def test_change_counts_four_seconds_after_the_next_new_configuration(self) -> None:
        self.assertEqual(notification.after_sighup(history_of(sighups=[9.0, 10.5, 10.9]), CHANGE, []), 14.5)
        self.assertEqual(notification.after_sighup(history_of(sighups=[9.0]), CHANGE, []), inf)

    def test_pushed_change_counts_at_once_or_four_seconds_after_a_new_configuration(self) -> None:
        for sighups, outages, expected in (
            ([], [], 10.0),
            ([], [Outage(8.0, 15.0)], 15.0),
            ([9.0], [], 13.0),
            ([5.0, 8.0], [], 12.0),
        ):
            history = NodeHistory(10.0, is_pushed=True, sighups=sighups)
            self.assertEqual(notification.by_push(history, CHANGE, outages), expected)
        self.assertEqual(notification.by_push(history_of(), CHANGE, []), inf)

    def test_node_without_a_watch_may_use_its_list_for_the_interval_of_asking(self) -> None:
        self.assertEqual(notification.by_asking(history_of(calls=[Call(7.0, False)]), CHANGE, []), 17.0)
        self.assertEqual(notification.by_asking(history_of(calls=[Call(7.0, True)]), CHANGE, []), 47.0)
        self.assertEqual(notification.by_asking(history_of(calls=[Call(-5.0, False)]), CHANGE, []), 20.0)
        outages = [Outage(6.0, 9.0)]
        self.assertEqual(notification.by_asking(history_of(calls=[Call(7.0, False)]), CHANGE, outages), 19.0)
        watched = history_of(calls=[Call(7.0, False)], watches=[Watch(7.0)])
        self.assertEqual(notification.by_asking(watched, CHANGE, []), inf)


class EarliestRule(unittest.TestCase):
    def test_earliest_rule_holds_and_is_named(self) -> None:
        history = history_of(sighups=[11.0], watches=[Watch(0.0, ended=10.5)], written=[Change(2, 30.0)])
        self.assertEqual(notification.notified_at(history, CHANGE, []), (12.5, "after_watch_end"))
        self.assertEqual(notification.notified_at(history_of(), CHANGE, []), (16.0, "after_longest_delay"))


if __name__ == "__main__":
    unittest.main()
