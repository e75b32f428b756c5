"""The operator's own file: TOML, one table a subsystem, all off unless asked for. Read where it is named.

A message names the key at fault: `connections.risk: 2 is not between 0 and 1`.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from coraldeal.config import SettingsError, read_address


@dataclass(frozen=True, slots=True)
class ConnectionsTable:
    """`[connections]`: connections to servers."""

    # Learn from closes how long one at rest may be used again; else the configured limit is trusted.
    learn: bool = False
    # The chance of meeting a server's close that is worth taking for what may run again.
    risk: float = 0.01
    # After how many seconds a connection is not used again, a quarter less by chance; 0: never for its age.
    oldest_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ListsTable:
    """`[lists]`: where a node follows the list of servers instead of the configuration's `discovery`."""

    # Relays or sources of one list, address:port each, of which any may take another's place; none: off.
    sources: tuple[str, ...] = ()
    # The services whose servers it asks for; none: all that is told there.
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RelayTable:
    """`[relay]`: what `coraldeal relay` does; a node passes it over."""

    # Where followers come, address:port.
    listen: str = ""
    # The source of the list and other relays of it, address:port each.
    sources: tuple[str, ...] = ()
    # The services that are followed; none: all that is told there.
    services: tuple[str, ...] = ()
    # How many followers are served at once, as far as descriptors go.
    followers: int = 2000


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The whole file."""

    connections: ConnectionsTable = field(default_factory=ConnectionsTable)
    lists: ListsTable = field(default_factory=ListsTable)
    relay: RelayTable = field(default_factory=RelayTable)


def _are_addresses(values: tuple[str, ...]) -> bool:
    try:
        for text in values:
            read_address(text, "")
    except SettingsError:
        return False
    return len(dict.fromkeys(values)) == len(values)


CHECKS: dict[str, tuple[Callable[[Any], bool], str]] = {
    "connections.risk": (lambda value: 0 < value < 1, "is not between 0 and 1"),
    "connections.oldest_seconds": (lambda value: value >= 0, "is below 0"),
    "lists.sources": (_are_addresses, "are not different addresses of the form address:port"),
    "relay.listen": (lambda value: _are_addresses((value,)), "is not of the form address:port"),
    "relay.sources": (_are_addresses, "are not different addresses of the form address:port"),
    "relay.followers": (lambda value: value >= 1, "is below 1"),
}


def _value(path: str, value: Any, default: Any) -> Any:
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise SettingsError(f"{path}: {value!r} is not true or false")
    elif isinstance(default, str):
        if not isinstance(value, str):
            raise SettingsError(f"{path}: {value!r} is not text")
    elif isinstance(default, tuple):
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            raise SettingsError(f"{path}: {value!r} is not a list of texts")
        value = tuple(value)
    elif isinstance(default, int) and not isinstance(value, int):
        raise SettingsError(f"{path}: {value!r} is not a whole number")
    elif not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
        raise SettingsError(f"{path}: {value!r} is not a number")
    holds, what = CHECKS.get(path, (lambda value: True, ""))
    if not holds(value):
        raise SettingsError(f"{path}: {value} {what}")
    return value


def read_operator(path: str) -> OperatorFile:
    """The file, checked; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"operator's file {path}: {error}") from None
    tables: dict[str, Any] = {}
    known = {part.name: part.default_factory for part in fields(OperatorFile)}
    for name, table in values.items():
        make = known.get(name)
        if not callable(make):
            raise SettingsError(f"{name}: no such table; there are {', '.join(known)}")
        if not isinstance(table, dict):
            raise SettingsError(f"{name}: is not a table")
        default = make()
        keys = [part.name for part in fields(default)]
        for key in table:
            if key not in keys:
                raise SettingsError(f"{name}.{key}: no such key; there are {', '.join(keys)}")
        read = {key: _value(f"{name}.{key}", value, getattr(default, key)) for key, value in table.items()}
        tables[name] = type(default)(**read)
    return OperatorFile(**tables)
