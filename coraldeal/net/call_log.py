"""Counts and logs the calls to discovery, so that a long outage doesn't fill the log."""

from __future__ import annotations

import asyncio
import logging

from coraldeal.net.list_call import ListCall
from coraldeal.net.wire import ServerList

log = logging.getLogger("coraldeal.net.discovery")

# How many failed calls in a row are each logged, and the interval in seconds of the log lines after that.
MAX_FAILURES_LOGGED = 20
FAILURE_LOG_INTERVAL = 5.0


class CallLog:
    """The failures since a list was last received, and the log lines of calls.

    `others_out` is the number of other open calls.
    """

    def __init__(self) -> None:
        # The number of failed calls of this process, for operators.
        self.total_failures = 0
        # Calls failed since a list was last received, since when, and when the last of them was logged.
        self.failures = 0
        self.failing_since = 0.0
        self.failure_logged_at = 0.0
        # The last parse error: the same error again isn't logged.
        self.last_parse_error = ""

    def failed(self, call: ListCall, reason: str, others_out: int) -> None:
        """Count a failed call and log it: each of the first in a row, then one per FAILURE_LOG_INTERVAL."""
        now = asyncio.get_running_loop().time()
        if not self.failures:
            self.failing_since = call.started_at
        self.failures += 1
        self.total_failures += 1
        is_repeated = call.is_invalid and reason == self.last_parse_error
        is_due = self.failures <= MAX_FAILURES_LOGGED or now - self.failure_logged_at >= FAILURE_LOG_INTERVAL
        may_log = is_due and not is_repeated
        if may_log:
            self.failure_logged_at = now
        self.last_parse_error = reason if call.is_invalid else ""
        level = logging.INFO if may_log else logging.DEBUG
        self.ended("list call failed", call, reason, others_out, level)

    def ended(
        self, event: str, call: ListCall, reason: str, others_out: int, level: int = logging.INFO
    ) -> None:
        """Log the end of a call or watch."""
        log.log(level, event, extra={"pairs": {"why": reason, **self._pairs(call, others_out)}})

    def answered(self, call: ListCall, update: ServerList, others_out: int) -> None:
        """Log the first list of a call, with the failures before it."""
        self.last_parse_error = ""
        if call.has_list:
            return
        pairs = {
            **self._pairs(call, others_out),
            "whole": update.is_snapshot,
            "servers": len(update.servers),
        }
        if self.failures:
            now = asyncio.get_running_loop().time()
            pairs["without_list_ms"] = int((now - self.failing_since) * 1000)
        self.failures = 0
        log.info("list answered", extra={"pairs": pairs})

    def _pairs(self, call: ListCall, others_out: int) -> dict[str, object]:
        """Return the pairs that describe a call."""
        duration = asyncio.get_running_loop().time() - call.started_at
        return {
            "call": call.number,
            "address": call.address,
            "version": call.version,
            "call_ms": int(duration * 1000),
            "others_out": others_out,
            "failed_calls": self.failures,
        }
