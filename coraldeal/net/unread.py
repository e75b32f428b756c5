"""Checks for bytes and closes that the system has received on a socket and nobody has read yet.

The event loop reports bytes and closes with a delay. Code that is about to close a connection, or to write on
one that was idle, has to know what has arrived by then.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any


def has_unread(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes, a close or a reset have arrived on the connection and were not read yet."""
    return bool(_poll_transport(transport, select.POLLIN | select.POLLRDHUP))


def has_disconnected(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the other side has closed the connection, even if unread bytes precede its close."""
    return transport is None or transport.is_closing() or bool(_poll_transport(transport, select.POLLRDHUP))


def is_readable(sock: Any) -> bool:
    """Return whether bytes or a close wait at a socket or, if it listens, a connection in its backlog."""
    return bool(_poll_socket(sock, select.POLLIN))


def _poll_transport(transport: asyncio.BaseTransport | None, events: int) -> int:
    return 0 if transport is None else _poll_socket(transport.get_extra_info("socket"), events)


def _poll_socket(sock: Any, events: int) -> int:
    """Return the pending ones of the events; the system always adds errors and resets."""
    if sock is None or sock.fileno() < 0:
        return 0
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return next((pending for _, pending in poller.poll(0)), 0)
