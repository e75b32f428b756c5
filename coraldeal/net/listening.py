"""How the node opens an address to listen on: one way for callers and for the operators' door."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket

log = logging.getLogger(__name__)

# Failures of the system's own, over in a moment or when something is closed.
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# How often an address that can't be opened for a shortage is tried, and how many seconds apart.
TRIES, AGAIN = 100, 0.05


async def open_listening(host: str, port: int, shared: bool = False) -> socket.socket:
    """As `listening_socket`; a system that is short of something for a moment is no reason not to start."""
    for _ in range(TRIES - 1):
        try:
            return listening_socket(host, port, shared)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            log.debug("no socket to listen on yet", extra={"pairs": {"why": error}})
        await asyncio.sleep(AGAIN)
    return listening_socket(host, port, shared)


def listening_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """A bound socket, not yet listening; OSError where the address is taken.

    `shared`: another process may bind the same address beside this one.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening
