"""A new version takes over while the elder's watch has fallen silent and a server drains; see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Client,
    CouldNotRunError,
    Discovery,
    Node,
    Record,
    Request,
    Server,
    ServerConnection,
    free_port,
    instance,
    run_case,
    settings,
    track,
)

SERVERS = 12
# A quarter of the servers begin to drain, and stay up.
DRAINED = ("s-1", "s-2", "s-3")
# Days that are played one after the other, each with processes of its own, until one breaks the rule.
DAYS = 4
# About 100 requests a second, a third of what the deployment's three nodes carry.
CLIENTS, PAUSE = 10, 0.08
DEADLINE_MS = 2500
# What the settings allow a node that was told of a drain, and the 50 ms by which limits are longer on sockets.
GRACE = 1.5 + 0.05
# Seconds that are watched after that.
WATCHED = 3.0


async def play(record: Record, folder: Path, trouble: bool, nodes: list[Node]) -> int:
    for day in range(DAYS):
        late, served = await play_day(record, folder, trouble, nodes, day)
        text = f"day {day}: {served} served, new requests at servers that drain, after the grace: {late}"
        record.line(text)
        print(text)
        if not served:
            raise CouldNotRunError("the node does not serve")
        if late:
            return BROKEN
    return HELD


async def play_day(record: Record, folder: Path, trouble: bool, nodes: list[Node], day: int) -> tuple[int, int]:
    """Play one upgrade during which servers begin to drain.

    Returns how many requests began at these servers after the grace, and how many requests were served.
    """
    starts: list[tuple[float, str, str]] = []
    served = 0

    async def handle(server: Server, request: Request, connection: ServerConnection) -> None:
        starts.append((record.now(), server.name, request.id))
        await asyncio.sleep(0.01)
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    servers = [Server(f"s-{index + 1}", handle) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    entries = {server.name: instance(server.name, server.address) for server in servers}
    discovery = Discovery(record, list(entries.values()))
    await discovery.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": discovery.address,
        "seed": f"8c1f30d27a5be96{day}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": settings([track("history", "retryable", 1000, DEADLINE_MS)]),
    }
    elder = Node(record, folder, "n1", config, admin=True, log=f"elder-{day}")
    newcomer = Node(record, folder, "n1", config, admin=True, log=f"newcomer-{day}")
    nodes += [elder, newcomer]
    elder.start()
    await elder.wait_ready()
    ended = False

    async def client(number: int) -> None:
        nonlocal served
        one = Client(port)
        index = 0
        await asyncio.sleep(PAUSE * number / CLIENTS)
        while not ended:
            index += 1
            try:
                answer = await one.ask("GET", "/history/x", f"{day}{number:02x}{index:05x}", DEADLINE_MS, 5.0)
            except TimeoutError:
                one.close()
                answer = None
            served += answer is not None and answer.status == 200
            await asyncio.sleep(PAUSE)
        one.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(2.5)
    if trouble:
        discovery.fall_silent()
    silent_at = record.now()
    await asyncio.sleep(0.1)
    discovery.change(*(entries[name] | {"lifecycle": "Terminating"} for name in DRAINED))
    drained_at = record.now()
    record.line(f"{', '.join(DRAINED)} begin to drain")
    await asyncio.sleep(0.5)
    newcomer.start()
    end = time.monotonic() + 6
    while not (await newcomer.call_admin("status")).startswith("OK"):
        if time.monotonic() > end:
            raise CouldNotRunError("the newcomer did not say yes")
        await asyncio.sleep(0.05)
    yes_at = record.now()
    record.line("the newcomer says yes")
    elder.signal(signal.SIGTERM)
    told_at = max(silent_at + 6 if trouble else drained_at, yes_at + 2)
    binds_at = told_at + GRACE
    record.line(f"the drains count as told at {told_at:.4f} at the latest, and bind from {binds_at:.4f}")
    await asyncio.sleep(binds_at + WATCHED - record.now())
    ended = True
    await asyncio.gather(*clients)
    late = [item for item in starts if item[1] in DRAINED and item[0] > binds_at]
    for at, name, request_id in late[:20]:
        record.line(f"{name} got the new request {request_id} at {at:.4f}")
    record.line(f"the last new request at a server that drains began at "
                f"{max((at for at, name, _ in starts if name in DRAINED), default=0):.4f}")
    newcomer.stop()
    elder.stop()
    return len(late), served


sys.exit(run_case(FOLDER, play))
