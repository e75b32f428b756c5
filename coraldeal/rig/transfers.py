"""Many large transfers through one node at once: whether all came whole, and what the node held meanwhile.

Half of them are bodies, half are answers. Callers and the one server live in this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import tempfile
import time
import zlib
from dataclasses import dataclass
from pathlib import Path

from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import Variant
from coraldeal.rig.nodes import NodeProcess, Program, process_figures, program_of
from coraldeal.rig.run import free_port

MIB = 1024 * 1024
SAMPLE_EVERY = 0.02
LONGEST = 120.0


@dataclass(slots=True)
class Transfers:
    """What came of it."""

    whole: int
    asked: int
    seconds: float
    rss_before_mb: float
    rss_peak_mb: float
    door_worst_ms: float

    def told(self) -> str:
        return (
            f"{self.whole} of {self.asked} came whole in {self.seconds:.1f} s; the node held "
            f"{self.rss_before_mb:.0f} MB before and {self.rss_peak_mb:.0f} MB at the most; "
            f"its door answered within {self.door_worst_ms:.0f} ms"
        )


class _Server:
    """Takes a body whole and answers its checksum, or answers with a large body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                told = head.partition("content-length: ")[2].partition("\r\n")[0]
                left, check = int(told or 0), 0
                up = left > 0
                while left:
                    piece = await reader.read(min(left, 256 * 1024))
                    if not piece:
                        return
                    left, check = left - len(piece), zlib.crc32(piece, check)
                body = b"%d" % check if up else self.body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                for at in range(0, len(body), 256 * 1024):
                    writer.write(body[at : at + 256 * 1024])
                    await writer.drain()
        writer.close()


def _ask_door(port: int) -> float:
    """How many seconds a call for figures took."""
    began = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=5) as near:
        near.sendall(b"stats\n")
        while near.recv(4096):
            pass
    return time.monotonic() - began


async def _transfer(port: int, number: int, body: bytes, up: bool) -> bool:
    """One of them; whether it came whole."""
    check = zlib.crc32(body)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        method, length = (b"POST", len(body)) if up else (b"GET", 0)
        writer.write(
            b"%b /bulk/x HTTP/1.1\r\nHost: n\r\nReq-Id: %d\r\nContent-Length: %d\r\n\r\n"
            % (method, number, length)
        )
        for at in range(0, length, 256 * 1024):
            writer.write(body[at : at + 256 * 1024])
            await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.partition(b"\r\n")[0]:
            return False
        told = head.decode("latin-1").lower().partition("content-length: ")[2].partition("\r\n")[0]
        left, got, small = int(told), 0, b""
        while left:
            piece = await reader.read(min(left, 256 * 1024))
            if not piece:
                return False
            left, got = left - len(piece), zlib.crc32(piece, got)
            small = (small + piece)[:16]
        return small == b"%d" % check if up else got == check
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


async def transfers(count: int, megabytes: int) -> Transfers:
    """So many at once, half of them bodies; raises ExperimentError where the node does not come up."""
    body = random_stream(1, "transfers").bytes(MIB) * megabytes
    with tempfile.TemporaryDirectory() as folder:
        server = await asyncio.start_server(_Server(body).talk, "127.0.0.1", 0, limit=256 * 1024)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        program: Program = program_of(Variant(name="transfers"), Path(folder))
        node = NodeProcess("node-0", 0, 0, "a", free_port(), Path(folder), program)
        node.door = free_port()
        track = {"name": "bulk", "effect": "retryable", "expected_time_ns": 10**11, "patience_ns": 10**11}
        entry = {"instanceId": "s", "hostPort": address, "zone": "a", "cell": 0, "lifecycle": "Ready"}
        config = {
            "listen": f"127.0.0.1:{node.port}",
            "known": {"generation": 1, "reset": True, "instances": [entry]},
            "settings": {"zone": "a", "tracks": [track]},
        }
        node.path.write_text(json.dumps(config), encoding="utf-8")
        await node.start()
        try:
            await node.until_ready()
            assert node.process is not None
            before = process_figures(node.process.pid)[1]
            peak, worst = before, 0.0

            async def watch() -> None:
                nonlocal peak, worst
                while node.process is not None:
                    peak = max(peak, process_figures(node.process.pid)[1])
                    # In a thread: this loop is as busy as the node's.
                    worst = max(worst, await asyncio.to_thread(_ask_door, node.door))
                    await asyncio.sleep(SAMPLE_EVERY)

            watching = asyncio.create_task(watch())
            began = time.monotonic()
            async with asyncio.timeout(LONGEST):
                ends = await asyncio.gather(
                    *(_transfer(node.port, i, body, i % 2 == 0) for i in range(count))
                )
            took = time.monotonic() - began
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            return Transfers(sum(ends), count, took, before, peak, worst * 1000)
        finally:
            await node.end()
            server.close()
