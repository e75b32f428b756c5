"""The calls of the admin listener: one line in, one answer out. No I/O; the node carries the calls out."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from coraldeal.interface import ServerId


class AdminInterface(Protocol):
    """What operators may ask of a node."""

    def can_serve(self) -> bool:
        """Return whether this process can serve inquiries now."""

    def figures(self) -> Mapping[str, Any]:
        """Return the node's figures by their outer names."""

    def start_maintenance(self, server: ServerId) -> bool:
        """Send nothing to a server until `end_maintenance`; False: no such server is known."""

    def end_maintenance(self, server: ServerId) -> bool:
        """Use a server again as the server list says; False: no such server is known."""


def _status(interface: AdminInterface) -> str:
    return "OK\n" if interface.can_serve() else "ERR this process can't serve now\n"


def _stats(interface: AdminInterface) -> str:
    return json.dumps(interface.figures(), separators=(",", ":")) + "\nEND\n"


def _maint_on(interface: AdminInterface, server: ServerId) -> str:
    return "OK\n" if interface.start_maintenance(server) else f"ERR no server {server}\n"


def _maint_off(interface: AdminInterface, server: ServerId) -> str:
    return "OK\n" if interface.end_maintenance(server) else f"ERR no server {server}\n"


CALLS: dict[str, Callable[[AdminInterface], str]] = {"status": _status, "stats": _stats}
CALLS_WITH_SERVER: dict[str, Callable[[AdminInterface, ServerId], str]] = {
    "maint-on": _maint_on,
    "maint-off": _maint_off,
}


def answer_line(line: bytes, interface: AdminInterface) -> bytes:
    """Carry out the call in one line, given without its line end, and return the whole answer.

    A line that is not a call is answered with `ERR` and the reason.
    """
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError:
        return b"ERR the line is not text in UTF-8\n"
    call, arguments = (words[0], words[1:]) if words else ("", [])
    if call in CALLS and not arguments:
        return CALLS[call](interface).encode()
    if call in CALLS_WITH_SERVER and len(arguments) == 1:
        return CALLS_WITH_SERVER[call](interface, arguments[0]).encode()
    if call in CALLS:
        return f"ERR {call} takes nothing behind it\n".encode()
    if call in CALLS_WITH_SERVER:
        return f"ERR {call} takes one server's id\n".encode()
    return f"ERR no such call; there are {', '.join([*CALLS, *CALLS_WITH_SERVER])}\n".encode()
