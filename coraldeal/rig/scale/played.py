"""Servers and callers for the real nodes: `python -m coraldeal.rig.scale.played JOB`, light load.

A server here answers at any time, also while the list calls it gone: so every request that a node sends where
it should not is seen, and written down with its first byte's time. The id of an inquiry names its node.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from pathlib import Path

from coraldeal.rig.clock import now_us
from coraldeal.rig.scale.books import ArrivalRow, PlayedBook, PlayedJob, Told, read, write
from coraldeal.rig.scale.process import Process, orders, start

ANSWER_AFTER = 0.002
# A caller waits so long for its answer, and between two tries at a connection.
CALLER_WAIT, AGAIN = 1.5, 0.05
ID = b"\r\nreq-id: n"


class Server(asyncio.Protocol):
    """One connection to a server; requests have no bodies."""

    def __init__(self, address: str, book: PlayedBook) -> None:
        self.address = address
        self.book = book
        self.buffer = b""
        self.first_us = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_us = now_us()
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, self.buffer = self.buffer[:end].lower(), self.buffer[end + 4 :]
            _, found, rest = head.partition(ID)
            number = rest.split(b"x", 1)[0]
            if found and number.isdigit():
                self.book.arrivals.append(ArrivalRow(int(number), self.first_us, self.address))
            asyncio.get_running_loop().call_later(ANSWER_AFTER, self._answer)

    def _answer(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def call(node: int, port: int, rate: float, book: PlayedBook) -> None:
    """One caller of one node: its inquiries one after another, so many a second."""
    loop = asyncio.get_running_loop()
    due = loop.time() + node / 100 / rate
    writer: asyncio.StreamWriter | None = None
    number = 0
    while True:
        await asyncio.sleep(max(0.0, due - loop.time()))
        due = max(due + 1 / rate, loop.time())
        number += 1
        book.asked += 1
        try:
            async with asyncio.timeout(CALLER_WAIT):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                name = f"n{node}x{number}"
                fields = f"Host: app.svc\r\nReq-Id: {name}\r\nReq-Deadline: 1000m"
                writer.write(f"GET /read HTTP/1.1\r\n{fields}\r\n\r\n".encode())
                head = await reader.readuntil(b"\r\n\r\n")
                lengths = [
                    line.partition(b":")[2] for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length:")
                ]  # fmt: skip
                await reader.readexactly(int(lengths[0]) if lengths else 0)
            book.served += head.split(b" ", 2)[1] == b"200"
            if b"\r\nconnection: close" in head.lower():
                writer.close()
                writer = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            if writer is not None:
                writer.close()
                writer = None
            await asyncio.sleep(AGAIN)


async def main(path: Path) -> None:
    process = Process(await orders())
    job = read(path, PlayedJob)
    book = PlayedBook([])
    loop = asyncio.get_running_loop()
    listening, ports = [], []
    for _ in range(job.servers):
        # The protocol's factory reads the port once it is known.
        port: list[int] = []
        made = await loop.create_server(
            lambda port=port: Server(f"127.0.0.1:{port[0]}", book),  # type: ignore[misc]
            "127.0.0.1",
            0,
        )
        port.append(int(made.sockets[0].getsockname()[1]))
        listening.append(made)
        ports += port
    process.tell(Told(ports))
    gc.freeze()
    order = await process.order()
    if not order.stop:
        await process.begun(order)
        callers = [
            asyncio.create_task(call(node, port, job.rate, book)) for node, port in enumerate(order.ports)
        ]
        while not (await process.order()).stop:
            pass
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    book.cpu_s = process.cpu_s()
    write(Path(job.book), book)


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
