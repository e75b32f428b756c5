"""Benchmarks one relay between a simulated source and many followers: delay, CPU time, bytes and memory.

`python -m coraldeal.rig.relaybench --followers 700 --rate 6.6 --seconds 20`. The relay is a process of its
own, started as an operator starts it; its CPU time and memory are the kernel's figures. Times are monotonic
seconds. The result is one line of JSON on the standard output.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any
from zlib import crc32

SERVICES, SERVERS = 100, 3100
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def entry(number: int, changed_at: float = 0.0) -> dict[str, Any]:
    """The list's entry of one server; `changed_at` is the time of its change, 0 before any."""
    return {
        "instanceId": f"s-{number:06d}",
        "hostPort": f"10.1.{number // 250 % 250}.{number % 250}:8081",
        "zone": "a",
        "machineType": "m2",
        "cell": 3,
        "lifecycle": "Ready",
        "weight": 1.0,
        "startedAtMs": 0,
        "service": f"service-{number % SERVICES}",
        "changed": changed_at,
    }


def service_rank(follower: int, service: int) -> int:
    """The sort key of a service in the pseudo-random order of one follower."""
    return crc32(f"{follower} {service}".encode())


class Source:
    """A simulated source: serves the snapshot, and sends deltas and heartbeats to each watch."""

    def __init__(self) -> None:
        self.generation = 1
        self.writers: list[asyncio.StreamWriter] = []

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one request with the snapshot, or with a watch that lasts until the client closes it."""
        head = await reader.readuntil(b"\r\n\r\n")
        snapshot = {
            "generation": self.generation,
            "reset": True,
            "instances": [entry(i) for i in range(SERVERS)],
        }
        text = json.dumps(snapshot).encode()
        if b"watch=1" not in head:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(text) + text
            )
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        self.broadcast(b"\n")
        await reader.read()
        self.writers.remove(writer)
        writer.close()

    async def send_heartbeats(self) -> None:
        """Sends a blank line every 2 s, also between changes; a source promises no shorter interval."""
        while True:
            await asyncio.sleep(2)
            self.broadcast(b"\n")

    def broadcast(self, text: bytes) -> None:
        """Sends the text as one HTTP chunk to every watch."""
        for writer in self.writers:
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def change(self, number: int) -> None:
        """Changes the entry of one server now, and sends the delta."""
        self.generation += 1
        delta = {
            "generation": self.generation,
            "reset": False,
            "instances": [entry(number, time.monotonic())],
        }
        self.broadcast(json.dumps(delta).encode() + b"\n")


class Reader(asyncio.Protocol):
    """One follower; it appends the delay of each change that it receives to a list shared by all."""

    __slots__ = ("buffer", "delays_s", "received_bytes", "received_changes")

    def __init__(self, delays_s: list[float]) -> None:
        self.delays_s = delays_s
        self.received_bytes = self.received_changes = 0
        # The received part of a line that is not complete yet.
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        """Count the bytes and the changes in complete lines, and append each change's delay in seconds."""
        self.received_bytes += len(data)
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.startswith(b'{"generation"'):
                for item in json.loads(line)["instances"]:
                    if item["changed"]:
                        self.received_changes += 1
                        self.delays_s.append(time.monotonic() - item["changed"])


def process_usage(pid: int) -> tuple[float, float]:
    """The CPU seconds and the resident memory in megabytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run_benchmark(followers: int, rate: float, seconds: float, services: int) -> dict[str, Any]:
    """Runs the benchmark and returns its results.

    `rate` is the number of changes a second and `services` the number of services that each follower asks
    for.
    """
    source = Source()
    heartbeat_task = asyncio.get_running_loop().create_task(source.send_heartbeats())
    source_server = await asyncio.start_server(source.handle_connection, "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "relay.toml"
        source_port = source_server.sockets[0].getsockname()[1]
        port = 20000 + os.getpid() % 20000
        path.write_text(f'[relay]\nlisten = "127.0.0.1:{port}"\nsources = ["127.0.0.1:{source_port}"]\n')
        relay = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "coraldeal", "relay", "--operator", str(path), "--log-level", "warning"
        )
        loop = asyncio.get_running_loop()
        delays_s: list[float] = []
        readers: list[Reader] = []
        try:
            while not source.writers:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.3)
            memory_before_mb = process_usage(relay.pid)[1]
            cpu_before_join_s = process_usage(relay.pid)[0]
            for number in range(followers):
                await asyncio.sleep(0)
                # Each follower asks for services of its own, pseudo-random by its number.
                ranked = sorted(range(SERVICES), key=partial(service_rank, number))
                names = ",".join(f"service-{service}" for service in ranked[:services])
                transport, reader = await loop.create_connection(partial(Reader, delays_s), "127.0.0.1", port)
                query = f"/v1/endpoints?watch=1&services={names}"
                transport.write(f"GET {query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
                readers.append(reader)
            await asyncio.sleep(2)
            join_cpu_s = process_usage(relay.pid)[0] - cpu_before_join_s
            bytes_before = sum(reader.received_bytes for reader in readers)
            started_at, cpu_before_s = time.monotonic(), process_usage(relay.pid)[0]
            changes = 0
            while time.monotonic() < started_at + seconds:
                if rate and time.monotonic() >= started_at + changes / rate:
                    changes += 1
                    source.change(crc32(f"change {changes}".encode()) % SERVERS)
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.5)
            cpu_after_s, memory_mb = process_usage(relay.pid)
            duration_s = time.monotonic() - started_at
        finally:
            relay.send_signal(signal.SIGTERM)
            await relay.wait()
            source_server.close()
            heartbeat_task.cancel()
    delays_s.sort()
    percentiles = {
        name: round(delays_s[min(len(delays_s) - 1, int(len(delays_s) * fraction))] * 1000, 2)
        for name, fraction in (("p50_ms", 0.5), ("p99_ms", 0.99), ("worst_ms", 1.0))
        if delays_s
    }
    bytes_received = sum(reader.received_bytes for reader in readers) - bytes_before
    return {
        "followers": followers,
        "services_each": services,
        "changes": changes,
        "told": len(delays_s),
        **percentiles,
        "core_percent": round(100 * (cpu_after_s - cpu_before_s) / duration_s, 2),
        "cpu_ms_a_change": round(1000 * (cpu_after_s - cpu_before_s) / max(1, changes), 2),
        "bytes_a_follower_a_second": round(bytes_received / followers / duration_s, 1),
        "join_cpu_ms_a_follower": round(1000 * join_cpu_s / followers, 2),
        "memory_mb": round(memory_mb, 1),
        "memory_mb_before_followers": round(memory_before_mb, 1),
        "ended": relay.returncode,
    }


def main() -> int:
    """Runs the command line and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, default=700)
    parser.add_argument("--rate", type=float, default=0.66, help="changes per second; 0: only heartbeats")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--services", type=int, default=SERVICES, help="services that each follower asks for")
    args = parser.parse_args()
    print(json.dumps(asyncio.run(run_benchmark(args.followers, args.rate, args.seconds, args.services))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
