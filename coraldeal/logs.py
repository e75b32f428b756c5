"""Log lines as key=value pairs, such as `time=... level=info name=coraldeal.net.node event="watch over"`."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any


def _quoted(value: object) -> str:
    text = str(value).replace("\n", "\\n")
    return '"' + text.replace('"', "'") + '"' if not text or " " in text or "=" in text else text


class KeyValueFormatter(logging.Formatter):
    """Formats a record and whatever pairs it carries in `extra={"pairs": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "name": record.name,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


# How often a log line that may come at any rate is written at the most, in seconds.
THROTTLED_EVERY = 10.0


class LogThrottle:
    """Says of a line that could be written at any rate when it is due."""

    __slots__ = ("every", "last")

    def __init__(self, every: float = THROTTLED_EVERY) -> None:
        self.every = every
        self.last = -every

    def is_due(self, now: float) -> bool:
        """Whether `every` seconds have passed since it last said so; `now` is of any steady clock."""
        if now - self.last < self.every:
            return False
        self.last = now
        return True


def set_up(level: str) -> None:
    """Log to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
