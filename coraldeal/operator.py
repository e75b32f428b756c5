"""The operator's own file: TOML, one table a subsystem, all off unless asked for. Read where it is named.

A message names the key at fault: `connections.risk: 2 is not between 0 and 1`.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from coraldeal.config import SettingsError


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
class OperatorFile:
    """The whole file."""

    connections: ConnectionsTable = field(default_factory=ConnectionsTable)


CHECKS: dict[str, tuple[Callable[[Any], bool], str]] = {
    "connections.risk": (lambda value: 0 < value < 1, "is not between 0 and 1"),
    "connections.oldest_seconds": (lambda value: value >= 0, "is below 0"),
}


def _value(path: str, value: Any, default: Any) -> Any:
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise SettingsError(f"{path}: {value!r} is not true or false")
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
