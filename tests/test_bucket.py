"""The bucket over many inquiries of which some fail for reasons of their own, under a made-up clock."""

from __future__ import annotations

import unittest

from tests.test_scenarios import Scene


class Floor(unittest.TestCase):
    """Failures that say nothing of load, beside servers that are hardly used."""

    def deferred_part(self, fail_every: int) -> float:
        """Which part of 400 inquiries is deferred, one each 50 ms; every so many sent fails at once."""
        scene = Scene()
        scene.do_given("max_attempts", "1")
        for name, worth in (("gold", "9"), ("look", "1")):
            scene.do_track(name, "redoable", expected="1s", patience="2s", worth=worth)
        scene.do_servers("a", "b", "c", "d")
        scene.do_learn("look", rounds="40", **{"a,b,c,d": "200ms"})
        deferred = sent = 0
        held: list[str] = []
        due: list[str] = []
        for number in range(1, 401):
            scene.do_inquiry(str(number), "look")
            held.append(str(number))
            scene.do_after("50ms")
            deferred += sum(act[0] == "defer" for act in scene.acts)
            over = [act[1] for act in scene.acts if act[0] == "defer"]
            scene.acts.clear()
            for name in [name for name in held if name in over or int(name) in scene.attempts]:
                held.remove(name)
                if name in over:
                    continue
                sent += 1
                if sent % fail_every:
                    due.append(name)
                else:
                    scene.do_ends(name, "error", "over")
            # Answers come in their order, two sends later.
            while len(due) > 2:
                scene.do_ends(due.pop(0), "satisfied")
        return deferred / 400

    def test_what_caps_have_room_for_is_let_in_while_nothing_waits(self) -> None:
        # One in four fails, with an error of a tier behind, say: eight steps down for each, one up for
        # each answer, so the bucket went to its floor and stayed there: 0.81 were deferred.
        self.assertLess(self.deferred_part(fail_every=4), 0.2)

    def test_what_hardly_fails_is_let_in(self) -> None:
        self.assertLess(self.deferred_part(fail_every=100), 0.02)


if __name__ == "__main__":
    unittest.main()
