"""Log lines of key=value pairs, such as `time=... level=info name=coraldeal.net.node event="watch over"`."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any


def _quote(value: object) -> str:
    text = str(value).replace("\n", "\\n")
    return '"' + text.replace('"', "'") + '"' if not text or " " in text or "=" in text else text


class KeyValueFormatter(logging.Formatter):
    """Formats a log record and the pairs passed as `extra={"pairs": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of key=value pairs; a traceback becomes the value of `trace`."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "time": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "name": record.name,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


# The shortest interval between two log lines of one throttle, in seconds.
THROTTLE_INTERVAL = 10.0


class LogThrottle:
    """Limits how often a log line is written whose cause can occur at any rate."""

    __slots__ = ("interval", "logged_at")

    def __init__(self, interval: float = THROTTLE_INTERVAL) -> None:
        self.interval = interval
        self.logged_at = -interval

    def should_log(self, now: float) -> bool:
        """Return whether `interval` seconds have passed since this last returned True.

        `now` is the time in seconds on a monotonic clock, the same one at each call.
        """
        if now - self.logged_at < self.interval:
            return False
        self.logged_at = now
        return True


def configure_logging(level: str) -> None:
    """Write log lines of this level and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
