"""What this process has done since its start: one table, each count raised at one place."""

from __future__ import annotations

from collections.abc import Iterable


class Figures:
    """Inquiries by track and how they ended, attempts written whole, configurations read anew."""

    __slots__ = ("attempts", "deferred", "given_up", "kept", "loads", "satisfied")

    def __init__(self, tracks: Iterable[str]) -> None:
        self.satisfied: dict[str, int] = {}
        self.deferred: dict[str, int] = {}
        self.given_up: dict[str, int] = {}
        self.attempts = 0
        # Configurations taken at SIGHUP, and those turned down.
        self.loads = 0
        self.kept = 0
        self.know(tracks)

    def know(self, tracks: Iterable[str]) -> None:
        """Tracks that may come from now on; what was counted of others stays."""
        for track in tracks:
            for table in (self.satisfied, self.deferred, self.given_up):
                table.setdefault(track, 0)

    def ended(self, track: str, status: int, whole: bool = True) -> None:
        """One inquiry has its final answer, or what came of it."""
        if status == 200 and whole:
            self.satisfied[track] += 1
        elif status in (429, 503):
            self.deferred[track] += 1
        else:
            self.given_up[track] += 1
