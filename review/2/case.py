"""Many large bodies at a time, and servers that read slowly; see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    CouldNotRunError,
    Discovery,
    Node,
    Record,
    Request,
    Server,
    ServerConnection,
    free_port,
    instance,
    read_body,
    read_head,
    run_case,
    settings,
    track,
)

MIB = 1024 * 1024
SERVERS = 10
# The most that the pages allow a node: its memory, and its descriptors, of which clients hold a third at most.
MEMORY_MB, DESCRIPTORS = 192, 1024
# Requests at a time, of which each holds one of the clients' descriptors, and the length of their bodies.
AT_A_TIME, BODY_BYTES = 250, 8 * MIB
# How many bytes a second a slow server reads on each connection.
SLOW = 200_000
DEADLINE_MS = 1200
# For how many seconds the memory is watched.
WATCHED = 30.0


async def play(record: Record, folder: Path, trouble: bool, nodes: list[Node]) -> int:
    async def handle(server: Server, request: Request, connection: ServerConnection) -> None:
        record.line(f"{server.name} runs {request.id}, a body of {len(request.body)} bytes, and answers")
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def read_slowly(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
        body, length = b"", int(fields.get("content-length", "0"))
        while len(body) < length:
            piece = await reader.read(min(length - len(body), 16 * 1024))
            if not piece:
                raise ConnectionError("the node has gone")
            body += piece
            await asyncio.sleep(len(piece) / SLOW)
        return body

    servers = [Server(f"s-{index + 1}", handle) for index in range(SERVERS)]
    for server in servers:
        await server.start()
        if trouble:
            server.read_body = read_slowly
    discovery = Discovery(record, [instance(server.name, server.address) for server in servers])
    await discovery.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "known": discovery.whole(),
        "settings": settings([track("donate", "dedup", 500, DEADLINE_MS, group="cell")]),
    }
    node = Node(record, folder, "n1", config)
    nodes.append(node)
    node.start()
    await node.wait_ready()
    assert node.process is not None
    answers = {"200": 0, "other": 0, "none": 0}

    async def client(index: int) -> None:
        request_id = f"c{index:07x}"
        text = "none"
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                f"POST /donate/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\n"
                f"Req-Deadline: {DEADLINE_MS}m\r\nIdempotency-Key: k{request_id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
            )
            for _ in range(BODY_BYTES // (64 * 1024)):
                writer.write(bytes(64 * 1024))
                await writer.drain()
            head = await read_head(reader)
            if head is not None:
                await read_body(reader, head[1])
                text = head[0].split(" ")[1]
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        answers[text if text in answers else "other"] += 1
        record.line(f"client: {request_id}: {text}")

    clients = [asyncio.create_task(client(index)) for index in range(AT_A_TIME)]
    most = 0.0
    killed = False
    end = record.now() + WATCHED
    while record.now() < end and not killed and not all(task.done() for task in clients):
        await asyncio.sleep(0.1)
        used = _anonymous_mb(node.process.pid)
        if used > most + 4:
            record.line(f"the node's own memory: {used:.0f} MB, with {sum(not t.done() for t in clients)} requests open")
        most = max(most, used)
        if used > MEMORY_MB:
            record.line(f"{used:.0f} MB is over memory_mb, so the platform kills the node")
            node.signal(signal.SIGKILL)
            node.process.wait()
            killed = True
    if killed:
        await asyncio.sleep(1)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    text = f"most memory: {most:.0f} MB of {MEMORY_MB}, killed: {killed}, answers: {answers}"
    record.line(text)
    print(text)
    if not killed and node.process.poll() is not None:
        raise CouldNotRunError("the node ended")
    return BROKEN if killed else HELD


def _anonymous_mb(pid: int) -> float:
    """Return the private memory of a process, without its program and libraries."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("RssAnon:")[1].split()[0]) / 1024


sys.exit(run_case(FOLDER, play))
