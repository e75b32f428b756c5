"""Sends many large transfers through one node at once, and measures its memory and whether all are complete.

Half of the transfers are request bodies, half are answers. The callers and the only server run in this
process.
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
from coraldeal.rig.nodes import NodeProcess, Program, prepare_program, process_usage
from coraldeal.rig.run import free_port

MIB = 1024 * 1024
# Seconds between two samples of the node's memory and of its admin listener's response time.
SAMPLE_INTERVAL_S = 0.02
# Seconds that all transfers together may take.
TRANSFER_TIMEOUT_S = 120.0


@dataclass(slots=True)
class TransferResult:
    """Result of the transfers: how many were complete, the node's memory, the admin listener's latency."""

    complete: int
    total: int
    seconds: float
    rss_before_mb: float
    rss_peak_mb: float
    admin_max_ms: float

    def format(self) -> str:
        """Return the result as one line of text."""
        return (
            f"{self.complete} of {self.total} transfers were complete in {self.seconds:.1f} s; the node used "
            f"{self.rss_before_mb:.0f} MB before and up to {self.rss_peak_mb:.0f} MB; "
            f"its admin listener answered within {self.admin_max_ms:.0f} ms"
        )


class _Server:
    """Answers a request with a body by the body's checksum, and one without by a large body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = head.partition("content-length: ")[2].partition("\r\n")[0]
                remaining, checksum = int(length or 0), 0
                is_upload = remaining > 0
                while remaining:
                    chunk = await reader.read(min(remaining, 256 * 1024))
                    if not chunk:
                        return
                    remaining, checksum = remaining - len(chunk), zlib.crc32(chunk, checksum)
                body = b"%d" % checksum if is_upload else self.body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                for offset in range(0, len(body), 256 * 1024):
                    writer.write(body[offset : offset + 256 * 1024])
                    await writer.drain()
        writer.close()


def _time_admin_call(port: int) -> float:
    """Call `stats` on an admin listener and return the seconds that it took."""
    started = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
        connection.sendall(b"stats\n")
        while connection.recv(4096):
            pass
    return time.monotonic() - started


async def _transfer(port: int, number: int, body: bytes, is_upload: bool) -> bool:
    """Make one transfer; whether its content arrived complete and unchanged."""
    checksum = zlib.crc32(body)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        method, length = (b"POST", len(body)) if is_upload else (b"GET", 0)
        writer.write(
            b"%b /bulk/x HTTP/1.1\r\nHost: n\r\nReq-Id: %d\r\nContent-Length: %d\r\n\r\n"
            % (method, number, length)
        )
        for offset in range(0, length, 256 * 1024):
            writer.write(body[offset : offset + 256 * 1024])
            await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.partition(b"\r\n")[0]:
            return False
        answer_length = head.decode("latin-1").lower().partition("content-length: ")[2].partition("\r\n")[0]
        remaining, received_checksum, start = int(answer_length), 0, b""
        while remaining:
            chunk = await reader.read(min(remaining, 256 * 1024))
            if not chunk:
                return False
            remaining, received_checksum = remaining - len(chunk), zlib.crc32(chunk, received_checksum)
            start = (start + chunk)[:16]
        return start == b"%d" % checksum if is_upload else received_checksum == checksum
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


async def run_transfers(count: int, megabytes: int) -> TransferResult:
    """Make `count` transfers of `megabytes` each at once; raises ExperimentError if the node fails."""
    body = random_stream(1, "transfers").bytes(MIB) * megabytes
    with tempfile.TemporaryDirectory() as folder:
        server = await asyncio.start_server(_Server(body).serve_connection, "127.0.0.1", 0, limit=256 * 1024)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        program: Program = prepare_program(Variant(name="transfers"), Path(folder))
        node = NodeProcess("node-0", 0, 0, "a", free_port(), Path(folder), program)
        node.admin_port = free_port()
        request_class = {
            "name": "bulk",
            "effect": "retryable",
            "expected_time_ns": 10**11,
            "patience_ns": 10**11,
        }
        entry = {"instanceId": "s", "hostPort": address, "zone": "a", "cell": 0, "lifecycle": "Ready"}
        config = {
            "listen": f"127.0.0.1:{node.port}",
            "known": {"generation": 1, "reset": True, "instances": [entry]},
            "settings": {"zone": "a", "tracks": [request_class]},
        }
        node.path.write_text(json.dumps(config), encoding="utf-8")
        await node.start()
        try:
            await node.wait_until_ready()
            assert node.process is not None
            rss_before = process_usage(node.process.pid)[1]
            rss_peak, admin_max = rss_before, 0.0

            async def sample() -> None:
                nonlocal rss_peak, admin_max
                while node.process is not None:
                    rss_peak = max(rss_peak, process_usage(node.process.pid)[1])
                    # In a thread: this event loop is as busy as the node's, and would add its own delay.
                    admin_max = max(admin_max, await asyncio.to_thread(_time_admin_call, node.admin_port))
                    await asyncio.sleep(SAMPLE_INTERVAL_S)

            sampling = asyncio.create_task(sample())
            started = time.monotonic()
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                results = await asyncio.gather(
                    *(_transfer(node.port, i, body, i % 2 == 0) for i in range(count))
                )
            duration = time.monotonic() - started
            sampling.cancel()
            await asyncio.gather(sampling, return_exceptions=True)
            return TransferResult(sum(results), count, duration, rss_before, rss_peak, admin_max * 1000)
        finally:
            await node.end()
            server.close()
