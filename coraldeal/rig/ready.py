"""Whether a node takes callers, asked as the layer in front of it asks."""

from __future__ import annotations

import asyncio


async def is_ready(port: int) -> bool:
    """`GET /ready` on a connection of its own; raises OSError where none comes up."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
        words = (await reader.readline()).split(b" ")
    finally:
        writer.close()
    return len(words) > 1 and words[1] == b"200"
