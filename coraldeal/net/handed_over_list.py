"""The server list in the state that a process hands over to its successor, as values that JSON can hold.

Keys are added, never changed: the other process may be of an earlier or a later version of the program.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from coraldeal.interface import Condition, Entry, ServerId
from coraldeal.net.wire import ListEntry, ServerList
from coraldeal.precedence import UNKNOWN_ORIGIN, ListStamp
from coraldeal.starts import Start


class HandedOverList(NamedTuple):
    """A process's server list, with start times by the clock that both processes share."""

    stamp: ListStamp
    server_list: ServerList

    def starts(self) -> dict[ServerId, Start]:
        """Return the starts of the listed servers."""
        started_ms = self.server_list.started_ms
        return {
            entry.server: Start(started_ms.get(entry.server), entry.started_at_us)
            for entry, _ in self.server_list.servers
        }


def encode_list(server_list: ServerList, stamp: ListStamp) -> dict[str, Any]:
    """Return the values of a snapshot."""
    servers = [
        (
            entry.server,
            entry.zone,
            entry.cell,
            entry.condition.value,
            entry.started_at_us,
            address,
            entry.size,
            entry.kind,
        )
        for entry, address in server_list.servers
    ]
    return {
        "version": stamp.version,
        "servers": servers,
        "origin": stamp.origin,
        "told_at_us": stamp.told_at_us,
        "started_ms": dict(server_list.started_ms),
    }


def parse_list(values: dict[str, Any]) -> HandedOverList:
    """Parse the values of a snapshot; one of an earlier program version has only the version and the servers.

    Raises LookupError, TypeError, ValueError or AttributeError for other values.
    """
    stamp = ListStamp(
        str(values.get("origin", UNKNOWN_ORIGIN)), int(values["version"]), int(values.get("told_at_us", 0))
    )
    servers = [_parse_server(server) for server in values["servers"]]
    started_ms = {str(server): int(started) for server, started in values.get("started_ms", {}).items()}
    return HandedOverList(stamp, ServerList(stamp.version, True, servers, started_ms))


def _parse_server(values: list[Any]) -> ListEntry:
    name, zone, cell, condition, started_at, address, *size_and_kind = values
    entry = Entry(
        str(name),
        str(zone),
        int(cell),
        Condition(condition),
        int(started_at),
        *_parse_size_and_kind(*size_and_kind),
    )
    return ListEntry(entry, str(address))


def _parse_size_and_kind(size: Any = 1.0, kind: Any = "") -> tuple[float, str]:
    """Return a server's size and kind; a process of an earlier program version sends neither."""
    return float(size), str(kind)
