"""Log lines that could come at any rate."""

from __future__ import annotations

import unittest

from coraldeal.logs import THROTTLED_EVERY, LogThrottle


class Throttle(unittest.TestCase):
    def test_the_first_line_is_due_and_the_next_only_after_its_time(self) -> None:
        throttle = LogThrottle()
        due = [
            now for now in (0.0, 1.0, THROTTLED_EVERY - 0.1, THROTTLED_EVERY, 19.9) if throttle.is_due(now)
        ]
        self.assertEqual(due, [0.0, THROTTLED_EVERY])


if __name__ == "__main__":
    unittest.main()
