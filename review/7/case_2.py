"""Servers send second copies of chunked answers some milliseconds late; the node must go on answering."""

from __future__ import annotations

import asyncio
import json
import random
import time

from harness_2 import (
    TROUBLE,
    Case,
    Client,
    Message,
    Server,
    answer,
    read_message,
    request_head,
    run,
    small_deployment,
)

CLIENTS = 8
PLAY_SECONDS = 70.0
PAUSE_SECONDS = 0.12
# One answer of so many is followed by a second copy, so many seconds late.
COPIES_ONE_IN = 25
COPY_LATE_SECONDS = 0.005
DEADLINE_SECONDS = 2.0
# Up to half a second after its time an answer only earns nothing; limits are 50 ms longer on sockets.
LATEST_SECONDS = DEADLINE_SECONDS + 0.5 + 0.05
# The node counts as hung if it answers nobody, and takes up no call, for so long.
HUNG_SECONDS = 20.5


async def play(case: Case) -> list[str]:
    random.seed(6)
    copies = answered = served = 0

    async def respond(
        server: Server, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal copies, answered
        await asyncio.sleep(0.02)
        donor = request.line.split()[1].rpartition("/")[2]
        body = json.dumps({"history_of": donor, "made_for": request.request_id}).encode()
        whole = answer(200, body, chunked=True)
        writer.write(whole)
        case.record("answered by server", server=server.name, id=request.request_id)
        answered += 1
        if TROUBLE and answered % COPIES_ONE_IN == 0:
            await asyncio.sleep(COPY_LATE_SECONDS)
            # Only where nothing else waits on the connection.
            if not reader._buffer:
                copies += 1
                writer.write(whole)
                case.record("second copy", server=server.name, id=request.request_id)

    servers = [await case.server(f"s-{n}", respond) for n in range(3)]
    discovery = await case.discovery(servers)
    node = await case.node(small_deployment(), discovery).start()
    await node.ready()

    breaks: list[str] = []
    sent = 0
    last_answer = time.monotonic()
    unanswered: dict[str, float] = {}
    ending = asyncio.Event()

    async def ask_all(number: int) -> None:
        nonlocal sent, served, last_answer
        client = None
        turn = 0
        while not ending.is_set():
            turn += 1
            request_id = f"c{number}-{turn}"
            target = f"/storico-donatore/donor-{number}"
            try:
                client = client or await Client(node.listen).open()
                client.writer.write(request_head("GET", target, request_id, int(DEADLINE_SECONDS * 1000)))
                sent += 1
                unanswered[request_id] = time.monotonic()
                case.record("sent", id=request_id, client=number)
                got = await asyncio.wait_for(read_message(client.reader), LATEST_SECONDS)
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                case.record("no answer", id=request_id, why=repr(error))
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(0.1)
                continue
            last_answer = time.monotonic()
            del unanswered[request_id]
            case.record("answer", id=request_id, status=got.status)
            served += got.status == 200
            await asyncio.sleep(PAUSE_SECONDS * (0.5 + random.random()))
        if client is not None:
            client.close()

    async def ready_again() -> bool:
        """Return whether `GET /ready` on a new connection is answered in time."""
        try:
            async with asyncio.timeout(3):
                client = await Client(node.listen).open()
                client.writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                await read_message(client.reader)
                client.close()
                return True
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False

    clients = [asyncio.create_task(ask_all(number)) for number in range(CLIENTS)]
    end = time.monotonic() + PLAY_SECONDS
    while time.monotonic() < end:
        await asyncio.sleep(0.5)
        silent = time.monotonic() - last_answer
        if silent > HUNG_SECONDS and not await ready_again():
            is_running = node.process is not None and node.process.returncode is None
            breaks.append(
                f"the node {'runs and hangs' if is_running else 'is gone'}: nobody was answered for "
                f"{silent:.1f} s, GET /ready neither; {len(unanswered)} requests were never answered"
            )
            break
    ending.set()
    await asyncio.gather(*clients)
    case.record("sum", sent=sent, served=served, second_copies=copies, unanswered=len(unanswered))
    print(f"sent {sent}, served {served}, second copies {copies}, never answered {len(unanswered)}")
    if not served or (TROUBLE and not copies):
        raise RuntimeError("too little was served to judge")
    return breaks


run(__file__, play)
