"""When servers started, by this node's own clock. No I/O, no clock; times are whole microseconds.

The list tells a start in Unix time, and the wall clock of a machine may be stepped. So a start that this node
sees for itself, in a list after its first one, counts from then, whatever any wall clock says. Only for the
servers of the first list is the wall clock asked, since nothing else tells how long they have been there:
docs/assumptions.md says what that costs.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from coraldeal.interface import Entry, ServerId

# How many servers that are listed no more are remembered: one that is back was not started for that.
REMEMBERED_MOST = 4096


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a server: as the list words it (None: not told yet), and when it was by the own clock."""

    told_ms: int | None
    started_at_us: int


class Starts:
    """The last start known of each server."""

    def __init__(self) -> None:
        self.known: OrderedDict[ServerId, Start] = OrderedDict()
        self.has_list = False

    def place(self, entries: Iterable[Entry], told_ms: Mapping[ServerId, int], now_us: int) -> list[Entry]:
        """The entries of a list with their starts by this node's clock.

        Each comes with its start as the wall clock has it now (`started_at_us`, 0 for long ago). `told_ms` is the
        list's own word; a server that it leaves out was not told of by discovery but by this node before.
        """
        entries = list(entries)
        newest = max((entry.started_at_us for entry in entries), default=0)
        # A start can't lie ahead: where one does, the wall clock is behind by so much at the least.
        behind_us = max(0, newest - now_us)
        placed = [self._placed(entry, told_ms.get(entry.server), behind_us, now_us) for entry in entries]
        self.has_list = self.has_list or bool(placed)
        while len(self.known) > REMEMBERED_MOST + len(placed):
            self.known.popitem(last=False)
        return placed

    def _placed(self, entry: Entry, told_ms: int | None, behind_us: int, now_us: int) -> Entry:
        known = self.known.pop(entry.server, None)
        if told_ms is None:
            start = Start(known.told_ms if known else None, entry.started_at_us)
        elif known is not None and known.told_ms in (None, told_ms):
            start = Start(told_ms, known.started_at_us)
        elif told_ms == 0:
            start = Start(0, 0)
        elif self.has_list:
            start = Start(told_ms, now_us)
        else:
            start = Start(told_ms, max(1, entry.started_at_us - behind_us))
        self.known[entry.server] = start
        return (
            entry
            if entry.started_at_us == start.started_at_us
            else replace(entry, started_at_us=start.started_at_us)
        )
