"""Readiness check of a node, made as the load-balancing layer in front of the node makes it."""

from __future__ import annotations

import asyncio


async def is_ready(port: int) -> bool:
    """Send `GET /ready` on a new connection: whether the status is 200. Raises OSError."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
        words = (await reader.readline()).split(b" ")
    finally:
        writer.close()
    return len(words) > 1 and words[1] == b"200"
