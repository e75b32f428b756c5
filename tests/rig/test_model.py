"""The server's model, told what happens at which microsecond."""

from __future__ import annotations

import unittest
from typing import Any

from coraldeal.rig.model import Group, Phase, ServerModel, Shape, Verdict

MS = 1000
SECOND = 1_000_000


class World:
    """A host that keeps what it is told, and a clock that goes from one wake to the next."""

    def __init__(self, group: Group | None = None, **shape: Any) -> None:
        self.now = 0
        self.at = -1
        self.ends: list[tuple[int, int, Verdict, bool]] = []
        self.calls: list[tuple[int, int]] = []
        self.falls = 0
        self.model = ServerModel("s", Shape(**shape), self, group)
        self.model.start(0, warm=shape.pop("warm", True))

    def ended(self, request: int, verdict: Verdict, ran: bool) -> None:
        self.ends.append((self.now, request, verdict, ran))

    def call_next(self, request: int, calls: int) -> None:
        self.calls.append((request, calls))

    def wake(self, at_us: int) -> None:
        self.at = at_us

    def fell(self) -> None:
        self.falls += 1

    def arrive(self, request: int, work_us: float = 10 * MS, **told: Any) -> None:
        mark, until = told.get("mark"), told.get("until", 0)
        self.model.arrive(request, work_us, told.get("calls", 0), mark, until, self.now)

    def to(self, at_us: int) -> None:
        """Let time pass, wakes coming due."""
        while 0 <= self.at <= at_us:
            self.now, self.at = max(self.now, self.at), -1
            self.model.alarm(self.now)
        self.now = at_us

    def ended_at(self) -> dict[int, int]:
        return {request: at for at, request, _, _ in self.ends}

    def verdicts(self) -> dict[int, Verdict]:
        return {request: verdict for _, request, verdict, _ in self.ends}


class WorkTest(unittest.TestCase):
    def test_work_takes_its_time_on_cores_and_the_rest_waits_in_turn(self) -> None:
        world = World(cores=2)
        for request in range(4):
            world.arrive(request)
        world.to(SECOND)
        self.assertEqual(world.ended_at(), {0: 10 * MS, 1: 10 * MS, 2: 20 * MS, 3: 20 * MS})

    def test_slots_over_cores_share_them(self) -> None:
        world = World(cores=1, slots=2)
        world.arrive(0, 10 * MS)
        world.arrive(1, 30 * MS)
        world.to(SECOND)
        self.assertEqual(world.ended_at(), {0: 20 * MS, 1: 40 * MS})

    def test_speed_and_delay_count(self) -> None:
        world = World(cores=1, speed=2.0, delay_us=7 * MS)
        world.arrive(0)
        world.to(SECOND)
        self.assertEqual(world.ended_at(), {0: 12 * MS})

    def test_full_queue_declines_and_nothing_ran(self) -> None:
        world = World(cores=1, queue=1)
        for request in range(3):
            world.arrive(request)
        self.assertEqual(world.ends, [(0, 2, Verdict.DECLINED, False)])

    def test_slower_in_the_middle_stretches_what_is_left(self) -> None:
        world = World(cores=1)
        world.arrive(0)
        world.to(5 * MS)
        world.model.set_slower(4.0, world.now)
        world.to(SECOND)
        self.assertEqual(world.ended_at(), {0: 25 * MS})

    def test_frozen_does_nothing_until_it_thaws(self) -> None:
        world = World(cores=1)
        world.arrive(0)
        world.to(4 * MS)
        world.model.freeze(world.now)
        world.arrive(1)
        world.to(504 * MS)
        self.assertEqual(world.ends, [])
        world.model.thaw(world.now)
        world.to(SECOND)
        self.assertEqual(world.ended_at(), {0: 510 * MS, 1: 520 * MS})

    def test_over_before_its_turn_is_declined_and_its_mark_forgotten(self) -> None:
        group = Group(window_us=SECOND)
        world = World(group, cores=1)
        world.arrive(0, 50 * MS)
        world.arrive(1, mark="m", until=20 * MS)
        world.to(100 * MS)
        self.assertEqual(world.verdicts()[1], Verdict.DECLINED)
        world.arrive(2, mark="m")
        world.to(200 * MS)
        self.assertEqual(world.verdicts()[2], Verdict.SERVED)

    def test_called_off_waiting_is_dropped_and_running_stops_only_if_it_can(self) -> None:
        for stops in (True, False):
            with self.subTest(stops=stops):
                world = World(cores=1, stops_running=stops)
                world.arrive(0)
                world.arrive(1)
                world.to(2 * MS)
                world.model.call_off(1, world.now)
                world.model.call_off(0, world.now)
                world.to(SECOND)
                told = {request: (verdict, ran) for _, request, verdict, ran in world.ends}
                self.assertEqual(told[1], (Verdict.CALLED_OFF, False))
                self.assertEqual(told[0], (Verdict.CALLED_OFF if stops else Verdict.SERVED, True))

    def test_waits_for_the_next_tier_in_its_slot_without_its_core(self) -> None:
        world = World(cores=1, slots=2)
        world.arrive(0, 10 * MS, calls=2)
        world.arrive(1, 10 * MS)
        world.to(30 * MS)
        self.assertEqual(world.calls, [(0, 2)])
        self.assertEqual(world.ended_at(), {1: 20 * MS})
        world.arrive(2, 10 * MS)
        world.arrive(3, 10 * MS)
        world.to(45 * MS)
        self.assertEqual(world.ended_at(), {1: 20 * MS, 2: 40 * MS})
        world.model.next_ended(0, False, world.now)
        self.assertEqual(world.verdicts()[0], Verdict.ERROR)

    def test_every_so_many_fail(self) -> None:
        world = World(cores=4, error_every=2)
        for request in range(4):
            world.arrive(request)
        world.to(SECOND)
        self.assertEqual([r for r, v in world.verdicts().items() if v is Verdict.ERROR], [1, 3])


class GroupTest(unittest.TestCase):
    def test_a_mark_is_a_repeat_within_the_window_only(self) -> None:
        world = World(Group(window_us=100 * MS), cores=1)
        world.arrive(0, mark="m")
        world.to(50 * MS)
        world.arrive(1, mark="m")
        world.to(150 * MS)
        world.arrive(2, mark="m")
        world.to(SECOND)
        self.assertEqual(
            [(verdict, ran) for _, _, verdict, ran in world.ends],
            [(Verdict.SERVED, True), (Verdict.REPEATED, False), (Verdict.SERVED, True)],
        )

    def test_a_limit_binds_all_members_together(self) -> None:
        group = Group(limit=1.0)
        one, two = World(group, cores=1), World(group, cores=1)
        one.arrive(0)
        one.to(5 * MS)
        self.assertEqual(one.model.rate, 1.0)
        two.now = 5 * MS
        two.arrive(0)
        one.to(SECOND)
        # Half done alone, the other half at half the speed.
        self.assertEqual(one.ended_at(), {0: 15 * MS})


class ColdTest(unittest.TestCase):
    def cold(self, **shape: Any) -> World:
        world = World(
            cores=2,
            cold_from=0.25,
            warm_us=4 * SECOND,
            fall_multiple=3.0,
            fall_us=SECOND,
            queue=10_000,
            **shape,
        )
        world.model.start(0, warm=False)
        return world

    def test_grows_warm_evenly(self) -> None:
        world = self.cold()
        self.assertEqual(world.model.warmth(0), 0.25)
        self.assertEqual(world.model.warmth(2 * SECOND), 0.625)
        self.assertEqual(world.model.warmth(4 * SECOND), 1.0)

    def test_pushed_beyond_the_multiple_for_so_long_it_falls_and_stays_down(self) -> None:
        world = self.cold()
        # Six cores of work a second; 2 cores, a quarter warm, three times that is 1.5.
        for step in range(300):
            world.to(step * 10 * MS)
            world.arrive(step, 60 * MS)
        self.assertEqual(world.falls, 1)
        self.assertIs(world.model.phase, Phase.FALLEN)
        world.to(20 * SECOND)
        world.arrive(1000)
        self.assertEqual(world.ends[-1][1:3], (1000, Verdict.DECLINED))
        world.model.start(world.now)
        self.assertIs(world.model.phase, Phase.UP)

    def test_within_the_multiple_it_stands(self) -> None:
        world = self.cold()
        for step in range(800):
            world.to(step * 10 * MS)
            world.arrive(step, 10 * MS)
        self.assertEqual(world.falls, 0)

    def test_what_it_declines_pushes_too(self) -> None:
        world = self.cold()
        world.model.drain(0)
        for step in range(300):
            world.to(step * 10 * MS)
            world.arrive(step, 60 * MS)
        self.assertEqual(world.falls, 1)


class ChokeTest(unittest.TestCase):
    def test_lasting_overload_chokes_until_it_is_left_alone(self) -> None:
        world = World(
            cores=1, choke_over=5, choke_us=SECOND, choke_slower=4.0, choke_rest_us=SECOND, queue=1000
        )
        for request in range(20):
            world.arrive(request, 200 * MS)
        world.to(900 * MS)
        self.assertEqual(world.model.speed(world.now), 1.0)
        world.to(1200 * MS)
        self.assertEqual(world.model.speed(world.now), 0.25)
        world.to(60 * SECOND)
        self.assertEqual(len(world.ends), 20)
        self.assertEqual(world.model.speed(world.now), 1.0)


class ReportTest(unittest.TestCase):
    def test_report_is_as_old_as_the_settings_say(self) -> None:
        world = World(cores=1, report_every_us=500 * MS)
        world.arrive(0, 100 * MS)
        self.assertEqual(world.model.load_report(0)["inflight"], 1)
        world.to(400 * MS)
        self.assertEqual(world.model.load_report(world.now)["inflight"], 1)
        world.to(600 * MS)
        told = world.model.load_report(world.now)
        self.assertEqual(told["inflight"], 0)
        self.assertGreater(told["util"], 0.0)


if __name__ == "__main__":
    unittest.main()
