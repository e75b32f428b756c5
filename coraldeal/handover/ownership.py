"""Which of a node's processes accepts connections, and what share of the node's limits each has.

The predecessor serves already; the successor was started beside it. A process may be both: the successor of
the one before and the predecessor of the one after. No I/O, no clock.
"""

from __future__ import annotations

from typing import Protocol


class Host(Protocol):
    """What a change of ownership asks of this process."""

    def accept(self, on: bool) -> None:
        """Accept new connections from now on, or leave them to the other process."""

    def set_share(self, share: float) -> None:
        """Keep to this share of the node's limits: descriptors, and attempts to servers in slow start."""


class Ownership:
    """What this process owns of the node while other processes of the node run beside it."""

    __slots__ = ("has_predecessor", "host", "is_ending", "serving_successors", "successors")

    def __init__(self, host: Host) -> None:
        self.host = host
        self.has_predecessor = False
        # How many successors are connected, and how many of them serve.
        self.successors = 0
        self.serving_successors = 0
        self.is_ending = False

    @property
    def successor_accepts(self) -> bool:
        """Whether a successor accepts all new connections."""
        return self.serving_successors > 0

    def predecessor_answered(self) -> None:
        """Share the node's limits with a predecessor that has sent its state."""
        self.has_predecessor = True
        self._update_share()

    def predecessor_gone(self) -> None:
        """Take over the share of a predecessor that has ended or was killed."""
        self.has_predecessor = False
        self._update_share()

    def successor_connected(self) -> None:
        """Share the node's limits with one more successor."""
        self.successors += 1
        self._update_share()

    def successor_serves(self) -> None:
        """Leave accepting to a successor that serves.

        Only the successor accepts from now on, so that no new connection reaches a process about to end.
        """
        self.serving_successors += 1
        if self.serving_successors == 1:
            self.host.accept(False)

    def successor_gone(self, served: bool) -> None:
        """Take back what a successor had: its share and, unless this process is to end too, accepting.

        `served` says whether the successor had reported that it serves.
        """
        self.successors -= 1
        self.serving_successors -= served
        if served and not self.serving_successors and not self.is_ending:
            self.host.accept(True)
        self._update_share()

    def shutdown_started(self) -> None:
        """Record that this process is ending: it doesn't accept again when its successor is gone."""
        self.is_ending = True

    def _update_share(self) -> None:
        self.host.set_share(1 / (1 + self.has_predecessor + self.successors))
