"""The token bucket, when some attempts fail for reasons other than load at servers that are hardly used."""

from __future__ import annotations

import unittest

from tests.test_scenarios import Scene


class MinTokenRate(unittest.TestCase):
    """Failures that say nothing about load must not keep the bucket shut."""

    def rejected_fraction(self, fail_every: int) -> float:
        """The rejected fraction of 400 inquiries, one each 50 ms; every n-th attempt fails at once."""
        scene = Scene()
        scene.do_given("max_attempts", "1")
        for name, worth in (("gold", "9"), ("look", "1")):
            scene.do_class(name, "idempotent", target="1s", deadline="2s", worth=worth)
        scene.do_servers("a", "b", "c", "d")
        scene.do_traffic("look", rounds="40", **{"a,b,c,d": "200ms"})
        rejected = sent = 0
        waiting: list[str] = []
        in_flight: list[str] = []
        for number in range(1, 401):
            scene.do_inquiry(str(number), "look")
            waiting.append(str(number))
            scene.do_after("50ms")
            rejected += sum(act[0] == "reject" for act in scene.acts)
            finished = [act[1] for act in scene.acts if act[0] == "reject"]
            scene.acts.clear()
            for name in [name for name in waiting if name in finished or int(name) in scene.attempts]:
                waiting.remove(name)
                if name in finished:
                    continue
                sent += 1
                if sent % fail_every:
                    in_flight.append(name)
                else:
                    scene.do_ends(name, "error", "final")
            # Answers arrive in the order of the attempts, two attempts later.
            while len(in_flight) > 2:
                scene.do_ends(in_flight.pop(0), "served")
        return rejected / 400

    def test_unloaded_node_admits_what_its_limits_have_room_for(self) -> None:
        # One in four attempts fails, for example with an error of a layer behind the servers. Each failure
        # lowers the rate by eight steps and each answer raises it by one, so the rate fell to its minimum and
        # stayed there: 0.81 of the inquiries were rejected.
        self.assertLess(self.rejected_fraction(fail_every=4), 0.2)

    def test_rare_failures_leave_the_bucket_open(self) -> None:
        self.assertLess(self.rejected_fraction(fail_every=100), 0.02)


if __name__ == "__main__":
    unittest.main()
