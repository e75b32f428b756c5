"""One relay before many followers, between a stand-in of the source and readers: what a change costs it.

`python -m coraldeal.rig.relaybench --followers 700 --rate 6.6 --seconds 20`. The relay is a process of its
own, as a user starts it; its processor time and memory are the system's. Times are monotonic seconds.
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
TICK = os.sysconf("SC_CLK_TCK")


def entry(number: int, stamp: float = 0.0) -> dict[str, Any]:
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
        "changed": stamp,
    }


def place(number: int, service: int) -> int:
    """Where a service comes in a follower's own order."""
    return crc32(f"{number} {service}".encode())


class Source:
    """Tells the whole list, then changes at a rate; a blank line every 2 s while nothing changes."""

    def __init__(self) -> None:
        self.version = 1
        self.writers: list[asyncio.StreamWriter] = []

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        told = {"generation": self.version, "reset": True, "instances": [entry(i) for i in range(SERVERS)]}
        text = json.dumps(told).encode()
        if b"watch=1" not in head:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(text) + text
            )
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        self.say(b"\n")
        await reader.read()
        self.writers.remove(writer)
        writer.close()

    async def beat(self) -> None:
        """A blank line every 2 s, also while it changes: no more than that is promised."""
        while True:
            await asyncio.sleep(2)
            self.say(b"\n")

    def say(self, text: bytes) -> None:
        for writer in self.writers:
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def change(self, number: int) -> None:
        self.version += 1
        told = {"generation": self.version, "reset": False, "instances": [entry(number, time.monotonic())]}
        self.say(json.dumps(told).encode() + b"\n")


class Reader(asyncio.Protocol):
    """One follower: notes how old each change is as it comes."""

    __slots__ = ("bytes", "held", "late", "seen")

    def __init__(self, late: list[float]) -> None:
        self.late = late
        self.bytes = self.seen = 0
        self.held = b""

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            if line.startswith(b'{"generation"'):
                for item in json.loads(line)["instances"]:
                    if item["changed"]:
                        self.seen += 1
                        self.late.append(time.monotonic() - item["changed"])


def used(pid: int) -> tuple[float, float]:
    """Processor seconds and resident megabytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICK, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def play(followers: int, rate: float, seconds: float, services: int) -> dict[str, Any]:
    source = Source()
    beating = asyncio.get_running_loop().create_task(source.beat())
    serving = await asyncio.start_server(source.talk, "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "relay.toml"
        near = serving.sockets[0].getsockname()[1]
        port = 20000 + os.getpid() % 20000
        path.write_text(f'[relay]\nlisten = "127.0.0.1:{port}"\nsources = ["127.0.0.1:{near}"]\n')
        relay = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "coraldeal", "relay", "--operator", str(path), "--log-level", "warning"
        )
        loop = asyncio.get_running_loop()
        late: list[float] = []
        readers: list[Reader] = []
        try:
            while not source.writers:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.3)
            idle_memory = used(relay.pid)[1]
            start = used(relay.pid)[0]
            for number in range(followers):
                await asyncio.sleep(0)
                # Some of the services each, drawn by the follower's number.
                picked = sorted(range(SERVICES), key=partial(place, number))
                names = ",".join(f"service-{service}" for service in picked[:services])
                transport, reader = await loop.create_connection(partial(Reader, late), "127.0.0.1", port)
                query = f"/v1/endpoints?watch=1&services={names}"
                transport.write(f"GET {query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
                readers.append(reader)
            await asyncio.sleep(2)
            joined = used(relay.pid)[0] - start
            before = sum(reader.bytes for reader in readers)
            begun, at = time.monotonic(), used(relay.pid)[0]
            changes = 0
            while time.monotonic() < begun + seconds:
                if rate and time.monotonic() >= begun + changes / rate:
                    changes += 1
                    source.change(crc32(f"change {changes}".encode()) % SERVERS)
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.5)
            spent, memory = used(relay.pid)
            took = time.monotonic() - begun
        finally:
            relay.send_signal(signal.SIGTERM)
            await relay.wait()
            serving.close()
            beating.cancel()
    late.sort()
    spread = {
        name: round(late[min(len(late) - 1, int(len(late) * part))] * 1000, 2)
        for name, part in (("p50_ms", 0.5), ("p99_ms", 0.99), ("worst_ms", 1.0))
        if late
    }
    told = sum(reader.bytes for reader in readers) - before
    return {
        "followers": followers,
        "services_each": services,
        "changes": changes,
        "told": len(late),
        **spread,
        "core_percent": round(100 * (spent - at) / took, 2),
        "cpu_ms_a_change": round(1000 * (spent - at) / max(1, changes), 2),
        "bytes_a_follower_a_second": round(told / followers / took, 1),
        "join_cpu_ms_a_follower": round(1000 * joined / followers, 2),
        "memory_mb": round(memory, 1),
        "memory_mb_before_followers": round(idle_memory, 1),
        "ended": relay.returncode,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, default=700)
    parser.add_argument("--rate", type=float, default=0.66, help="changes a second; 0: heartbeats alone")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--services", type=int, default=SERVICES, help="how many each follower asks for")
    args = parser.parse_args()
    print(json.dumps(asyncio.run(play(args.followers, args.rate, args.seconds, args.services))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
