"""Counters of what this process has done since its start. Each is incremented at one place only."""

from __future__ import annotations

from collections.abc import Iterable


class Counters:
    """Final answers by request class, attempts that were sent completely, and configuration reloads."""

    __slots__ = (
        "attempts",
        "failed",
        "memory_refusals",
        "rejected",
        "reload_errors",
        "reloads",
        "served",
        "surplus_closes",
    )

    def __init__(self, request_classes: Iterable[str]) -> None:
        self.served: dict[str, int] = {}
        self.rejected: dict[str, int] = {}
        self.failed: dict[str, int] = {}
        self.attempts = 0
        # Configurations that took effect at SIGHUP, and those that were invalid.
        self.reloads = 0
        self.reload_errors = 0
        # Requests rejected because no memory was left for them; they are counted as rejected, too.
        self.memory_refusals = 0
        # Connections to servers that are not used again because bytes arrived that no request asked for.
        self.surplus_closes = 0
        self.add_request_classes(request_classes)

    def add_request_classes(self, names: Iterable[str]) -> None:
        """Start the counters of new request classes at 0; all existing counters stay as they are."""
        for name in names:
            for counter in (self.served, self.rejected, self.failed):
                counter.setdefault(name, 0)

    def count_answer(self, request_class: str, status: int, is_complete: bool = True) -> None:
        """Count the final answer of one inquiry; `is_complete` is False if it was broken off."""
        if status == 200 and is_complete:
            self.served[request_class] += 1
        elif status in (429, 503):
            self.rejected[request_class] += 1
        else:
            self.failed[request_class] += 1
