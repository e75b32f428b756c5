"""What the system holds of a connection and nobody has read yet.

The loop tells of bytes and ends in its own time. Whoever is about to end a connection, or to write on one
that was at rest, must know what has come by then.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any


def has_unread(transport: asyncio.BaseTransport | None) -> bool:
    """Whether something has come and was not read: bytes, a close or a reset."""
    return bool(_told(transport, select.POLLIN | select.POLLRDHUP))


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has closed, also where bytes that nobody reads stand before its close."""
    return transport is None or transport.is_closing() or bool(_told(transport, select.POLLRDHUP))


def is_readable(near: Any) -> bool:
    """Whether something waits at a socket: bytes or an end, at a listening one a connection not yet taken."""
    return bool(_polled(near, select.POLLIN))


def _told(transport: asyncio.BaseTransport | None, events: int) -> int:
    return 0 if transport is None else _polled(transport.get_extra_info("socket"), events)


def _polled(near: Any, events: int) -> int:
    """What the system tells of a socket right now; errors and resets are told unasked."""
    if near is None or near.fileno() < 0:
        return 0
    poller = select.poll()
    poller.register(near.fileno(), events)
    return next((told for _, told in poller.poll(0)), 0)
