"""Servers and callers, at light load, for the real nodes: `python -m coraldeal.rig.scale.played JOB`.

A server answers at any time, also while the list reports it as gone. A request that a node sends to a server
that it should avoid is therefore seen and recorded, with the time of its first byte. The id of an inquiry
contains the number of its node.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from pathlib import Path

from coraldeal.rig.clock import now_us
from coraldeal.rig.scale.process import Process, open_orders, start
from coraldeal.rig.scale.records import ArrivalRecord, PlayedJob, PlayedRecords, ReadyMessage, read, write

# The response time of a server, in seconds.
RESPONSE_TIME = 0.002
# How long a caller waits for its answer, and how long before it reconnects, in seconds.
CALLER_TIMEOUT, RECONNECT_DELAY = 1.5, 0.05
REQUEST_ID = b"\r\nreq-id: n"


class Server(asyncio.Protocol):
    """One connection to a server; requests have no bodies."""

    def __init__(self, address: str, records: PlayedRecords) -> None:
        self.address = address
        self.records = records
        self.buffer = b""
        # The time of the first byte of the request being read.
        self.first_byte_us = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Record each complete request and schedule its answer."""
        if not self.buffer:
            self.first_byte_us = now_us()
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, self.buffer = self.buffer[:end].lower(), self.buffer[end + 4 :]
            _, has_id, rest = head.partition(REQUEST_ID)
            number = rest.split(b"x", 1)[0]
            if has_id and number.isdigit():
                self.records.arrivals.append(ArrivalRecord(int(number), self.first_byte_us, self.address))
            asyncio.get_running_loop().call_later(RESPONSE_TIME, self._answer)

    def _answer(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def send_inquiries(node: int, port: int, rate: float, records: PlayedRecords) -> None:
    """Send inquiries to one node, one after another, at `rate` per second, until cancelled."""
    loop = asyncio.get_running_loop()
    next_at = loop.time() + node / 100 / rate
    writer: asyncio.StreamWriter | None = None
    number = 0
    while True:
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        next_at = max(next_at + 1 / rate, loop.time())
        number += 1
        records.asked += 1
        try:
            async with asyncio.timeout(CALLER_TIMEOUT):
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
            records.served += head.split(b" ", 2)[1] == b"200"
            if b"\r\nconnection: close" in head.lower():
                writer.close()
                writer = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            if writer is not None:
                writer.close()
                writer = None
            await asyncio.sleep(RECONNECT_DELAY)


async def main(path: Path) -> None:
    """Run servers and callers by the job in this file, and write their records at the order to stop."""
    process = Process(await open_orders())
    job = read(path, PlayedJob)
    records = PlayedRecords([])
    loop = asyncio.get_running_loop()
    listeners, ports = [], []
    for _ in range(job.servers):
        # The protocol's factory reads the port from this list when a connection arrives.
        port: list[int] = []
        listener = await loop.create_server(
            lambda port=port: Server(f"127.0.0.1:{port[0]}", records),  # type: ignore[misc]
            "127.0.0.1",
            0,
        )
        port.append(int(listener.sockets[0].getsockname()[1]))
        listeners.append(listener)
        ports += port
    process.send_ready(ReadyMessage(ports))
    gc.freeze()
    order = await process.read_order()
    if not order.stop:
        await process.wait_for_start(order)
        callers = [
            asyncio.create_task(send_inquiries(node, port, job.rate, records))
            for node, port in enumerate(order.ports)
        ]
        while not (await process.read_order()).stop:
            pass
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    records.cpu_s = process.cpu_s()
    write(Path(job.book), records)


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
