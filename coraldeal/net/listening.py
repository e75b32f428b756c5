"""Listening sockets for callers, the admin listener and the relay."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket

log = logging.getLogger(__name__)

# Errors of this system that pass after a moment, or once some descriptor is closed.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# How many attempts are made to open a listening socket during a shortage, and the seconds between two of
# them.
MAX_OPEN_ATTEMPTS, OPEN_RETRY_INTERVAL = 100, 0.05


async def open_listening_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a socket as `bind_socket` does, with retries while the system is short of resources.

    A brief shortage must not keep the node from starting. Raises OSError if the shortage lasts, or at once
    for any other failure, such as an address in use.
    """
    for _ in range(MAX_OPEN_ATTEMPTS - 1):
        try:
            return bind_socket(host, port, shared)
        except OSError as error:
            if error.errno not in SHORTAGE_ERRNOS:
                raise
            log.debug("listening socket cannot be opened yet", extra={"pairs": {"why": error}})
        await asyncio.sleep(OPEN_RETRY_INTERVAL)
    return bind_socket(host, port, shared)


def bind_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a bound TCP socket that does not listen yet; raises OSError if the address is in use.

    `shared`: another process may bind the same address at the same time.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
