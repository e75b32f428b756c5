"""How the node opens an address to listen on: one way for callers and for the operators' door."""

from __future__ import annotations

import socket


def listening_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """A bound socket, not yet listening; OSError where the address is taken.

    `shared`: another process may bind the same address beside this one.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listening.bind((host, port))
    return listening
