"""A server hangs while large bodies are passed on to it; see claim.txt."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys
import termios
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
    read_body,
    read_head,
    run_case,
    settings,
    track,
)

SERVERS = 4
# Large requests, so many at once, and the bytes of their bodies in turn.
LARGE, AT_ONCE = 12, 2
MIB = 1024 * 1024
BODIES = tuple(int(size * MIB) for size in (1.75, 2, 2.25))
# Connections to servers have the segments of an Ethernet network, and servers a fixed receive buffer. With the
# 64 KiB segments of the loopback interface, systems would hold some MB for a server that reads nothing.
SEGMENT, RECEIVE_BUFFER = 1448, 64 * 1024
DEADLINE_MS = 1200
# A final answer is owed half a second after the deadline at the latest; the limits on sockets are 50 ms longer.
SLACK = 0.5 + 0.05
# How long a client waits on, to see when the answer comes after all.
WAIT = 40.0


async def play(record: Record, folder: Path, trouble: bool, nodes: list[Node]) -> int:
    hung = asyncio.Event()
    go_on = asyncio.Event()

    async def handle(server: Server, request: Request, connection: ServerConnection) -> None:
        await asyncio.sleep(0.01)
        if server.name == "s-1" and hung.is_set():
            await go_on.wait()
        record.line(f"{server.name} runs {request.id}, a body of {len(request.body)} bytes, and answers")
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    servers = [Server(f"s-{index + 1}", handle) for index in range(SERVERS)]
    for server in servers:
        await server.start(SEGMENT, RECEIVE_BUFFER)
    # While it hangs, a server reads nothing: what comes stays with its system.
    servers[0].before_read = lambda: go_on.wait() if hung.is_set() else None
    discovery = Discovery(record, [instance(server.name, server.address) for server in servers])
    await discovery.start()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{free_port()}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": settings(
            [track("history", "retryable", 1000, 2500), track("donate", "dedup", 500, DEADLINE_MS, group="cell")]
        ),
    }
    node = Node(record, folder, "n1", config)
    nodes.append(node)
    node.start()
    await node.wait_ready()
    # A little usual traffic first, so that the node has used every server.
    for index in range(40):
        one = Client(node.port)
        answer = await one.ask("GET", "/history/x", f"a{index:07x}", 2500, 5.0)
        one.close()
        if answer is None or answer.status != 200:
            raise CouldNotRunError("the node does not serve")
    if trouble:
        hung.set()
        record.line("s-1 hangs: its connections stay open, it reads and answers nothing")
    late = 0

    async def large(index: int) -> None:
        """Send one large request, and record when its last byte was with the node's system, and the answer."""
        nonlocal late
        request_id, size = f"b{index:07x}", BODIES[index // AT_ONCE % len(BODIES)]
        reader, writer = await asyncio.open_connection(HOST, node.port)
        sock = writer.get_extra_info("socket")
        writer.transport.set_write_buffer_limits(high=0)
        head = (
            f"POST /donate/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\nReq-Deadline: {DEADLINE_MS}m\r\n"
            f"Idempotency-Key: k{request_id}\r\nContent-Length: {size}\r\n\r\n"
        ).encode()
        reading = asyncio.create_task(read_head(reader))
        text, sent_at = "no answer", None
        try:
            async with asyncio.timeout(WAIT):
                writer.write(head + bytes(size))
                draining = asyncio.create_task(writer.drain())
                await asyncio.wait((draining, reading), return_when=asyncio.FIRST_COMPLETED)
                # Its last byte has been taken once the system of the node has acknowledged all of them.
                while not reading.done() and _unacknowledged(sock):
                    await asyncio.sleep(0.005)
                sent_at = record.now()
                record.line(f"client: the last byte of {request_id}, {size} bytes long, is with the node's system")
                answer = await asyncio.shield(reading)
                if answer is not None:
                    await read_body(reader, answer[1])
                    text = answer[0]
                else:
                    text = "closed without an answer"
        except TimeoutError:
            text = f"no answer within {WAIT:.0f} s" if sent_at is not None else "not sent"
        except (OSError, asyncio.IncompleteReadError) as error:
            text = f"broken off, {error!r}"
        reading.cancel()
        writer.close()
        if sent_at is None:
            record.line(f"client: {request_id} was never sent whole, so nothing is owed: {text}")
            return
        took = record.now() - sent_at
        owed = DEADLINE_MS / 1000 + SLACK
        is_late = took > owed or not text.startswith("HTTP/1.1")
        late += is_late
        record.line(f"client: {request_id}: {text}, {took:.3f} s after its last byte, {owed:.2f} s allowed"
                    + (" - LATE" if is_late else ""))

    tasks = []
    for index in range(LARGE):
        tasks.append(asyncio.create_task(large(index)))
        if index % AT_ONCE == AT_ONCE - 1:
            await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    go_on.set()
    record.line(f"large requests: {LARGE}, without a final answer in time: {late}")
    print(f"large requests: {LARGE}, without a final answer in time: {late}")
    return BROKEN if late else HELD


def _unacknowledged(sock: socket.socket) -> int:
    """Return how many bytes of what was written the other side has not acknowledged."""
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0])


sys.exit(run_case(FOLDER, play))
