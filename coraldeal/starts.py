"""When servers started, by this node's own clock. No I/O, no clock; times are whole microseconds.

The server list holds start times in Unix time, and a machine's wall clock may be stepped. A start that this
node sees happen, in a list after its first one, therefore counts from when the node saw it, whatever any wall
clock says. Only for the servers of the first list the wall clock is used, since nothing else shows how long
they have been running; docs/assumptions.md describes what that costs.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from coraldeal.interface import Entry, ServerId

# How many servers that are no longer listed are remembered, so that one that comes back is not taken for
# newly started.
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class Start:
    """A start of a server: the list's value, and the time by this node's clock.

    The list's value identifies the start. It is None if a predecessor of an earlier program version reported
    the start, which sends the time only.
    """

    listed_ms: int | None
    started_at_us: int


def _is_restart(previous: Start, listed_ms: int) -> bool:
    """Return whether a server that had started long ago, by the predecessor, has started since."""
    return previous.started_at_us == 0 and listed_ms != 0


class Starts:
    """The last known start of each server."""

    def __init__(self) -> None:
        self.starts: OrderedDict[ServerId, Start] = OrderedDict()
        self.has_list = False

    def resolve(
        self, entries: Iterable[Entry], listed_ms: Mapping[ServerId, int], now_us: int
    ) -> list[Entry]:
        """Return the entries of a list with their start times by this node's clock.

        Each entry comes with the start time that the current wall clock gives (`started_at_us`, 0 for long
        ago). `listed_ms` holds the values of the list itself; a server that is missing there keeps the start
        that is known of it.
        """
        entries = list(entries)
        newest = max((entry.started_at_us for entry in entries), default=0)
        # No start lies in the future: where one seems to, the wall clock is behind by at least that much.
        behind_us = max(0, newest - now_us)
        resolved = [
            self._resolved(entry, listed_ms.get(entry.server), behind_us, now_us) for entry in entries
        ]
        self.has_list = self.has_list or bool(resolved)
        while len(self.starts) > MAX_REMEMBERED + len(resolved):
            self.starts.popitem(last=False)
        return resolved

    def listed_ms(self, servers: Iterable[ServerId]) -> dict[ServerId, int]:
        """Return the list's values of the starts of these servers, where they are known."""
        known = ((server, self.starts[server].listed_ms) for server in servers if server in self.starts)
        return {server: listed_ms for server, listed_ms in known if listed_ms is not None}

    def hand_over(self, handed_over: Mapping[ServerId, Start], replaces_own: bool) -> list[ServerId]:
        """Add the starts that the predecessor knows, and return the servers whose start time changed.

        The predecessor's time of a start counts, since it may have seen that start. Of two different starts
        of one server the one in the list that is in use counts: `replaces_own` says that this is the
        predecessor's.
        """
        changed = []
        for server, start in handed_over.items():
            own = self.starts.get(server)
            if own is not None and start.listed_ms is None:
                # The starts can't be told apart: the later one keeps a cold server cold.
                start = Start(own.listed_ms, max(own.started_at_us, start.started_at_us))
            elif own is not None and own.listed_ms != start.listed_ms and not replaces_own:
                continue
            self.starts[server] = start
            if own is None or own.started_at_us != start.started_at_us:
                changed.append(server)
        self.has_list = self.has_list or bool(handed_over)
        return changed

    def _resolved(self, entry: Entry, listed_ms: int | None, behind_us: int, now_us: int) -> Entry:
        """Return the entry with its start time, and remember the start."""
        previous = self.starts.pop(entry.server, None)
        if listed_ms is None:
            start = previous or Start(None, entry.started_at_us)
        elif previous is not None and previous.listed_ms == listed_ms:
            start = previous
        elif previous is not None and previous.listed_ms is None and not _is_restart(previous, listed_ms):
            start = Start(listed_ms, max(previous.started_at_us, entry.started_at_us))
        elif listed_ms == 0:
            start = Start(0, 0)
        elif self.has_list:
            start = Start(listed_ms, now_us)
        else:
            start = Start(listed_ms, max(1, entry.started_at_us - behind_us))
        self.starts[entry.server] = start
        return (
            entry
            if entry.started_at_us == start.started_at_us
            else replace(entry, started_at_us=start.started_at_us)
        )
