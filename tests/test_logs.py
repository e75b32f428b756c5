"""The throttle of log lines whose cause can occur at any rate."""

from __future__ import annotations

import unittest

from coraldeal.logs import THROTTLE_INTERVAL, LogThrottle


class LogThrottleCase(unittest.TestCase):
    def test_first_line_is_logged_and_the_next_only_after_the_interval(self) -> None:
        throttle = LogThrottle()
        logged = [
            now
            for now in (0.0, 1.0, THROTTLE_INTERVAL - 0.1, THROTTLE_INTERVAL, 19.9)
            if throttle.should_log(now)
        ]
        self.assertEqual(logged, [0.0, THROTTLE_INTERVAL])


if __name__ == "__main__":
    unittest.main()
