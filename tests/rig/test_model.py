"""Tests of the server model with a simulated clock in microseconds."""

from __future__ import annotations

import unittest
from typing import Any

from coraldeal.rig.model import Group, Phase, RequestOutcome, ServerModel, ServerSpec

MS = 1000
SECOND = 1_000_000


class SimulatedHost:
    """A host that stores the calls of its model, with a clock that goes from one timer to the next."""

    def __init__(self, group: Group | None = None, **spec: Any) -> None:
        self.now = 0
        # Time of the model's timer; -1: none.
        self.timer_at = -1
        self.results: list[tuple[int, int, RequestOutcome, bool]] = []
        self.calls: list[tuple[int, int]] = []
        self.collapses = 0
        self.model = ServerModel("s", ServerSpec(**spec), self, group)
        self.model.start(0, warm=spec.pop("warm", True))

    def ended(self, request: int, outcome: RequestOutcome, ran: bool) -> None:
        self.results.append((self.now, request, outcome, ran))

    def call_next_tier(self, request: int, calls: int) -> None:
        self.calls.append((request, calls))

    def set_timer(self, at_us: int) -> None:
        self.timer_at = at_us

    def collapsed(self) -> None:
        self.collapses += 1

    def send(self, request: int, work_us: float = 10 * MS, **options: Any) -> None:
        """Send a request to the model now; options are `calls`, `key` and `deadline`."""
        key, deadline = options.get("key"), options.get("deadline", 0)
        self.model.request_arrived(request, work_us, options.get("calls", 0), key, deadline, self.now)

    def advance_to(self, at_us: int) -> None:
        """Advance the clock, with the timers that expire on the way."""
        while 0 <= self.timer_at <= at_us:
            self.now, self.timer_at = max(self.now, self.timer_at), -1
            self.model.timer_expired(self.now)
        self.now = at_us

    def ended_at(self) -> dict[int, int]:
        return {request: at for at, request, _, _ in self.results}

    def outcomes(self) -> dict[int, RequestOutcome]:
        return {request: outcome for _, request, outcome, _ in self.results}


class WorkTest(unittest.TestCase):
    def test_more_requests_than_cores_run_in_order_of_arrival(self) -> None:
        host = SimulatedHost(cores=2)
        for request in range(4):
            host.send(request)
        host.advance_to(SECOND)
        self.assertEqual(host.ended_at(), {0: 10 * MS, 1: 10 * MS, 2: 20 * MS, 3: 20 * MS})

    def test_more_slots_than_cores_share_the_cores(self) -> None:
        host = SimulatedHost(cores=1, slots=2)
        host.send(0, 10 * MS)
        host.send(1, 30 * MS)
        host.advance_to(SECOND)
        self.assertEqual(host.ended_at(), {0: 20 * MS, 1: 40 * MS})

    def test_speed_and_delay_determine_the_time_of_the_answer(self) -> None:
        host = SimulatedHost(cores=1, speed=2.0, delay_us=7 * MS)
        host.send(0)
        host.advance_to(SECOND)
        self.assertEqual(host.ended_at(), {0: 12 * MS})

    def test_full_queue_declines_the_request_without_running_it(self) -> None:
        host = SimulatedHost(cores=1, queue=1)
        for request in range(3):
            host.send(request)
        self.assertEqual(host.results, [(0, 2, RequestOutcome.DECLINED, False)])

    def test_slowdown_during_a_request_stretches_its_remaining_work(self) -> None:
        host = SimulatedHost(cores=1)
        host.send(0)
        host.advance_to(5 * MS)
        host.model.set_slowdown(4.0, host.now)
        host.advance_to(SECOND)
        self.assertEqual(host.ended_at(), {0: 25 * MS})

    def test_frozen_server_does_no_work_until_it_thaws(self) -> None:
        host = SimulatedHost(cores=1)
        host.send(0)
        host.advance_to(4 * MS)
        host.model.freeze(host.now)
        host.send(1)
        host.advance_to(504 * MS)
        self.assertEqual(host.results, [])
        host.model.thaw(host.now)
        host.advance_to(SECOND)
        self.assertEqual(host.ended_at(), {0: 510 * MS, 1: 520 * MS})

    def test_deadline_passed_in_the_queue_declines_and_forgets_the_key(self) -> None:
        group = Group(window_us=SECOND)
        host = SimulatedHost(group, cores=1)
        host.send(0, 50 * MS)
        host.send(1, key="k", deadline=20 * MS)
        host.advance_to(100 * MS)
        self.assertEqual(host.outcomes()[1], RequestOutcome.DECLINED)
        host.send(2, key="k")
        host.advance_to(200 * MS)
        self.assertEqual(host.outcomes()[2], RequestOutcome.SERVED)

    def test_cancelled_request_is_dropped_if_queued_and_stopped_if_the_server_can(self) -> None:
        for stops in (True, False):
            with self.subTest(stops=stops):
                host = SimulatedHost(cores=1, stops_running=stops)
                host.send(0)
                host.send(1)
                host.advance_to(2 * MS)
                host.model.cancel(1, host.now)
                host.model.cancel(0, host.now)
                host.advance_to(SECOND)
                results = {request: (outcome, ran) for _, request, outcome, ran in host.results}
                self.assertEqual(results[1], (RequestOutcome.CANCELLED, False))
                self.assertEqual(
                    results[0], (RequestOutcome.CANCELLED if stops else RequestOutcome.SERVED, True)
                )

    def test_request_waiting_for_the_next_tier_holds_its_slot_and_frees_its_core(self) -> None:
        host = SimulatedHost(cores=1, slots=2)
        host.send(0, 10 * MS, calls=2)
        host.send(1, 10 * MS)
        host.advance_to(30 * MS)
        self.assertEqual(host.calls, [(0, 2)])
        self.assertEqual(host.ended_at(), {1: 20 * MS})
        host.send(2, 10 * MS)
        host.send(3, 10 * MS)
        host.advance_to(45 * MS)
        self.assertEqual(host.ended_at(), {1: 20 * MS, 2: 40 * MS})
        host.model.next_tier_ended(0, False, host.now)
        self.assertEqual(host.outcomes()[0], RequestOutcome.ERROR)

    def test_error_every_two_fails_each_second_request(self) -> None:
        host = SimulatedHost(cores=4, error_every=2)
        for request in range(4):
            host.send(request)
        host.advance_to(SECOND)
        self.assertEqual(
            [r for r, outcome in host.outcomes().items() if outcome is RequestOutcome.ERROR], [1, 3]
        )


class GroupTest(unittest.TestCase):
    def test_repeated_key_is_not_executed_again_within_the_window(self) -> None:
        host = SimulatedHost(Group(window_us=100 * MS), cores=1)
        host.send(0, key="k")
        host.advance_to(50 * MS)
        host.send(1, key="k")
        host.advance_to(150 * MS)
        host.send(2, key="k")
        host.advance_to(SECOND)
        self.assertEqual(
            [(outcome, ran) for _, _, outcome, ran in host.results],
            [(RequestOutcome.SERVED, True), (RequestOutcome.REPEATED, False), (RequestOutcome.SERVED, True)],
        )

    def test_group_limit_slows_all_its_members(self) -> None:
        group = Group(limit=1.0)
        one, two = SimulatedHost(group, cores=1), SimulatedHost(group, cores=1)
        one.send(0)
        one.advance_to(5 * MS)
        self.assertEqual(one.model.rate, 1.0)
        two.now = 5 * MS
        two.send(0)
        one.advance_to(SECOND)
        # The first half of the work runs alone, the second at half the speed.
        self.assertEqual(one.ended_at(), {0: 15 * MS})


class ColdTest(unittest.TestCase):
    def start_cold(self, **spec: Any) -> SimulatedHost:
        host = SimulatedHost(
            cores=2,
            cold_capacity=0.25,
            warm_us=4 * SECOND,
            collapse_multiple=3.0,
            collapse_window_us=SECOND,
            queue=10_000,
            **spec,
        )
        host.model.start(0, warm=False)
        return host

    def test_cold_server_warms_up_linearly(self) -> None:
        host = self.start_cold()
        self.assertEqual(host.model.warm_fraction(0), 0.25)
        self.assertEqual(host.model.warm_fraction(2 * SECOND), 0.625)
        self.assertEqual(host.model.warm_fraction(4 * SECOND), 1.0)

    def test_work_above_the_multiple_collapses_a_cold_server_until_a_restart(self) -> None:
        host = self.start_cold()
        # Six cores of work are sent; the limit is 1.5 cores: 2 cores, a quarter warm, times three.
        for step in range(300):
            host.advance_to(step * 10 * MS)
            host.send(step, 60 * MS)
        self.assertEqual(host.collapses, 1)
        self.assertIs(host.model.phase, Phase.COLLAPSED)
        host.advance_to(20 * SECOND)
        host.send(1000)
        self.assertEqual(host.results[-1][1:3], (1000, RequestOutcome.DECLINED))
        host.model.start(host.now)
        self.assertIs(host.model.phase, Phase.UP)

    def test_work_within_the_multiple_does_not_collapse_a_cold_server(self) -> None:
        host = self.start_cold()
        for step in range(800):
            host.advance_to(step * 10 * MS)
            host.send(step, 10 * MS)
        self.assertEqual(host.collapses, 0)

    def test_declined_work_counts_towards_the_collapse(self) -> None:
        host = self.start_cold()
        host.model.drain(0)
        for step in range(300):
            host.advance_to(step * 10 * MS)
            host.send(step, 60 * MS)
        self.assertEqual(host.collapses, 1)


class DegradationTest(unittest.TestCase):
    def test_lasting_overload_degrades_the_server_until_it_is_unloaded(self) -> None:
        host = SimulatedHost(
            cores=1, overload_jobs=5, overload_us=SECOND, degraded_factor=4.0, recovery_us=SECOND, queue=1000
        )
        for request in range(20):
            host.send(request, 200 * MS)
        host.advance_to(900 * MS)
        self.assertEqual(host.model.speed(host.now), 1.0)
        host.advance_to(1200 * MS)
        self.assertEqual(host.model.speed(host.now), 0.25)
        host.advance_to(60 * SECOND)
        self.assertEqual(len(host.results), 20)
        self.assertEqual(host.model.speed(host.now), 1.0)


class ReportTest(unittest.TestCase):
    def test_load_report_is_updated_after_its_interval(self) -> None:
        host = SimulatedHost(cores=1, report_every_us=500 * MS)
        host.send(0, 100 * MS)
        self.assertEqual(host.model.load_report(0)["inflight"], 1)
        host.advance_to(400 * MS)
        self.assertEqual(host.model.load_report(host.now)["inflight"], 1)
        host.advance_to(600 * MS)
        report = host.model.load_report(host.now)
        self.assertEqual(report["inflight"], 0)
        self.assertGreater(report["util"], 0.0)


if __name__ == "__main__":
    unittest.main()
