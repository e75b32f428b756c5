"""Who of two processes accepts callers, and which part of the node's allowance each has; no I/O, no clock.

An elder serves already, a newcomer was started beside it. One process may be both: newcomer to the one before
and elder to the one after.
"""

from __future__ import annotations

from typing import Protocol


class Host(Protocol):
    """What a change of the terms asks of this process."""

    def accept(self, on: bool) -> None:
        """Take new connections of callers from now on, or leave them to the other process."""

    def take_part(self, part: float) -> None:
        """Keep to this part of what the node may do: descriptors, and attempts to cold servers."""


class Terms:
    """This process's side of a handover."""

    __slots__ = ("elder", "ending", "host", "newcomers", "served")

    def __init__(self, host: Host) -> None:
        self.host = host
        # Whether an elder is there, how many newcomers are, and how many of these have said that they serve.
        self.elder = False
        self.newcomers = 0
        self.served = 0
        self.ending = False

    @property
    def yielded(self) -> bool:
        """Whether a newcomer takes all new connections."""
        return self.served > 0

    def elder_answered(self) -> None:
        self.elder = True
        self._share()

    def elder_gone(self) -> None:
        """It has ended or was killed: all that the node may do is this process's."""
        self.elder = False
        self._share()

    def newcomer_came(self) -> None:
        self.newcomers += 1
        self._share()

    def newcomer_serves(self) -> None:
        """From now on it accepts alone: nobody who connects may meet a process about to end."""
        self.served += 1
        if self.served == 1:
            self.host.accept(False)

    def newcomer_gone(self, served: bool) -> None:
        """It died: unless this process is to end too, it accepts again."""
        self.newcomers -= 1
        self.served -= served
        if served and not self.served and not self.ending:
            self.host.accept(True)
        self._share()

    def told_to_end(self) -> None:
        self.ending = True

    def _share(self) -> None:
        self.host.take_part(1 / (1 + self.elder + self.newcomers))
