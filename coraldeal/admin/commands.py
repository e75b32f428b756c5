"""One line in, one answer out: the operators' words, with no I/O. What they mean is done by the node."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from coraldeal.interface import ServerId


class Desk(Protocol):
    """What the operators may ask of a node."""

    def can_serve(self) -> bool:
        """Whether this process can serve now."""

    def figures(self) -> Mapping[str, Any]:
        """The figures under the operators' names."""

    def leave_out(self, server: ServerId) -> bool:
        """Send nothing to a server until it is put back; False: no such server is known."""

    def put_back(self, server: ServerId) -> bool:
        """Let the list alone speak for a server again; False: no such server is known."""


def _status(desk: Desk) -> str:
    return "OK\n" if desk.can_serve() else "ERR this process can't serve now\n"


def _stats(desk: Desk) -> str:
    return json.dumps(desk.figures(), separators=(",", ":")) + "\nEND\n"


def _maint_on(desk: Desk, server: ServerId) -> str:
    return "OK\n" if desk.leave_out(server) else f"ERR no server {server}\n"


def _maint_off(desk: Desk, server: ServerId) -> str:
    return "OK\n" if desk.put_back(server) else f"ERR no server {server}\n"


CALLS: dict[str, Callable[[Desk], str]] = {"status": _status, "stats": _stats}
CALLS_WITH_ID: dict[str, Callable[[Desk, ServerId], str]] = {"maint-on": _maint_on, "maint-off": _maint_off}


def answer(line: bytes, desk: Desk) -> bytes:
    """The whole answer to one line, given without its end; a line that is no call gets a reason."""
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError:
        return b"ERR the line is not text in UTF-8\n"
    call, given = (words[0], words[1:]) if words else ("", [])
    if call in CALLS and not given:
        return CALLS[call](desk).encode()
    if call in CALLS_WITH_ID and len(given) == 1:
        return CALLS_WITH_ID[call](desk, given[0]).encode()
    if call in CALLS:
        return f"ERR {call} takes nothing behind it\n".encode()
    if call in CALLS_WITH_ID:
        return f"ERR {call} takes one server's id\n".encode()
    return f"ERR no such call; there are {', '.join([*CALLS, *CALLS_WITH_ID])}\n".encode()
