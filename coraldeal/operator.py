"""The operator's file: an optional TOML file with one table for each subsystem, all off by default.

An error names the faulty key: `connections.risk: 2 is not between 0 and 1`. The fields of the tables' classes
are the keys of the file. It is read only where the command line names it.
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

    # Learn from the servers' closes how long a connection may be idle and still be reused. Otherwise the
    # configured limit (`conn_idle_ns`) is used.
    learn: bool = False
    # The accepted probability that a reused connection is just being closed by the server, for attempts that
    # may be repeated.
    risk: float = 0.01
    # Connections older than this are not reused, in seconds; a random part of up to a quarter is taken off.
    # 0: no limit.
    oldest_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ListsTable:
    """`[lists]`: where a node gets the server list, instead of from the configuration's `discovery`."""

    # Relays or sources of the same list, address:port each, any of which can replace another; empty: off.
    sources: tuple[str, ...] = ()
    # The services whose servers are requested; empty: all that the source has.
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RelayTable:
    """`[relay]`: the settings of `coraldeal relay`; a node ignores this table."""

    # Where the relay listens for followers, address:port.
    listen: str = ""
    # The source of the list and other relays of the same list, address:port each.
    sources: tuple[str, ...] = ()
    # The services that the relay follows; empty: all that the source has.
    services: tuple[str, ...] = ()
    # The most followers at once; the limit of descriptors may lower it.
    followers: int = 2000


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The tables of the operator's file."""

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


def _check_value(path: str, value: Any, default: Any) -> Any:
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
    is_valid, fault = CHECKS.get(path, (lambda value: True, ""))
    if not is_valid(value):
        raise SettingsError(f"{path}: {value} {fault}")
    return value


def read_operator_file(path: str) -> OperatorFile:
    """Read and check the operator's file; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"operator's file {path}: {error}") from None
    tables: dict[str, Any] = {}
    factories = {item.name: item.default_factory for item in fields(OperatorFile)}
    for name, table in values.items():
        factory = factories.get(name)
        if not callable(factory):
            raise SettingsError(f"{name}: no such table; there are {', '.join(factories)}")
        if not isinstance(table, dict):
            raise SettingsError(f"{name}: is not a table")
        default = factory()
        keys = [item.name for item in fields(default)]
        for key in table:
            if key not in keys:
                raise SettingsError(f"{name}.{key}: no such key; there are {', '.join(keys)}")
        checked = {
            key: _check_value(f"{name}.{key}", value, getattr(default, key)) for key, value in table.items()
        }
        tables[name] = type(default)(**checked)
    return OperatorFile(**tables)
