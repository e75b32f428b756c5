"""Servers send a second copy of a chunked answer some milliseconds late; each caller is owed its own answer."""

from __future__ import annotations

import asyncio
import json
import random

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

CLIENTS = 4
REQUESTS_EACH = 50
PAUSE_SECONDS = 0.2
# One answer of so many is followed by a second copy, so many seconds late.
COPIES_ONE_IN = 40
COPY_LATE_SECONDS = 0.005
DEADLINE_SECONDS = 2.0
# Up to half a second after its time an answer only earns nothing; limits are 50 ms longer on sockets.
LATEST_SECONDS = DEADLINE_SECONDS + 0.5 + 0.05
# From so many breaks on, the rest of the requests is not sent.
ENOUGH_BREAKS = 20


async def play(case: Case) -> list[str]:
    random.seed(6)
    made: dict[str, bytes] = {}
    copies = answered = served = 0
    breaks: list[str] = []

    async def respond(
        server: Server, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal copies, answered
        await asyncio.sleep(0.02)
        donor = request.line.split()[1].rpartition("/")[2]
        body = json.dumps({"history_of": donor, "made_for": request.request_id}).encode()
        made[request.request_id] = body
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

    async def ask_all(number: int) -> None:
        nonlocal served
        client = await Client(node.listen).open()
        for turn in range(REQUESTS_EACH):
            if len(breaks) >= ENOUGH_BREAKS:
                break
            request_id = f"c{number}-{turn}"
            target = f"/storico-donatore/donor-{number}"
            client.writer.write(request_head("GET", target, request_id, int(DEADLINE_SECONDS * 1000)))
            case.record("sent", id=request_id, client=number)
            try:
                got = await asyncio.wait_for(read_message(client.reader), LATEST_SECONDS)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                case.record("no answer", id=request_id, why=repr(error))
                breaks.append(f"{request_id} of donor-{number} got no answer")
                client.close()
                client = await Client(node.listen).open()
                continue
            case.record("answer", id=request_id, status=got.status, body=got.body.decode("latin-1"))
            if got.status == 200:
                served += 1
                if got.body != made.get(request_id):
                    breaks.append(f"{request_id} of donor-{number} was answered with {got.body.decode()}")
            await asyncio.sleep(PAUSE_SECONDS * (0.5 + random.random()))
        client.close()

    await asyncio.gather(*(ask_all(number) for number in range(CLIENTS)))
    case.record("sum", served=served, second_copies=copies, breaks=len(breaks))
    print(f"served {served}, second copies {copies}, broken for {len(breaks)} requests")
    if not served or (TROUBLE and not copies):
        raise RuntimeError("too little was served to judge")
    return breaks


run(__file__, play)
