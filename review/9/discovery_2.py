"""Discovery as a process of its own: it reads the entries and what to do from its standard input, a line each."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from harness_2 import Discovery


class Entry:
    """A server as discovery sees it: what the line says."""

    def __init__(self, values: dict[str, Any]) -> None:
        self.values = values
        self.name = values["instanceId"]

    def entry(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return self.values


def record(event: str, **fields: Any) -> None:
    """Print what happened; the case copies it to its record."""
    print(json.dumps({"event": event, **fields}), flush=True)


async def main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = json.loads(await reader.readline())
    discovery = await Discovery(record, [Entry(values) for values in first]).start()  # type: ignore[arg-type]
    record("listens", port=discovery.port, whole=discovery.whole())
    # The case has ended when its end of the pipe is closed.
    while line := await reader.readline():
        command = json.loads(line)
        if command == "silence":
            record("watches fell silent", count=discovery.silence())
        else:
            discovery.tell(*(Entry(values) for values in command))  # type: ignore[arg-type]


asyncio.run(main())
