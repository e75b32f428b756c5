"""Servers that turn requests away send that answer twice; an irreversible request must never run twice."""

from __future__ import annotations

import asyncio
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
    track,
)

SERVERS = 4
CLIENTS = 6
REQUESTS_EACH = 60
PAUSE_SECONDS = 0.15
# One request of so many is turned away because a queue is full; with the disruption that answer comes twice, the
# second copy so many seconds late.
TURNED_AWAY_ONE_IN = 12
COPY_LATE_SECONDS = 0.005
WORK_SECONDS = 0.03
# The figures of `nuovo-dono` at agrigento-feste.
EXPECTED_SECONDS, PATIENCE_SECONDS = 1.1, 2.7
# From so many breaks on, the rest of the requests is not sent.
ENOUGH_BREAKS = 5


async def play(case: Case) -> list[str]:
    random.seed(6)
    ran: dict[str, list[str]] = {}
    received = turned_away = copies = served = 0
    breaks: list[str] = []

    async def respond(
        server: Server, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal received, turned_away, copies
        received += 1
        if received % TURNED_AWAY_ONE_IN == 0:
            turned_away += 1
            whole = answer(503, b"queue full", "Srv-Declined: 1", chunked=True)
            writer.write(whole)
            case.record("turned away", server=server.name, id=request.request_id)
            if TROUBLE:
                await asyncio.sleep(COPY_LATE_SECONDS)
                # Only where nothing else waits on the connection.
                if not reader._buffer:
                    copies += 1
                    writer.write(whole)
                    case.record("second copy", server=server.name, id=request.request_id)
            return
        # The request's last byte has come: it runs, and the gift is recorded.
        runs = ran.setdefault(request.request_id, [])
        runs.append(server.name)
        case.record("ran", server=server.name, id=request.request_id, times=len(runs))
        if len(runs) > 1:
            breaks.append(f"{request.request_id}, irreversible, ran {len(runs)} times: at {', '.join(runs)}")
        await asyncio.sleep(WORK_SECONDS)
        writer.write(answer(200, f"recorded {request.request_id}".encode(), chunked=True))

    settings = small_deployment()
    settings["tracks"] = [
        track("storico-doni", "retryable", EXPECTED_SECONDS, PATIENCE_SECONDS, 3.0),
        track("nuovo-dono", "fragile", EXPECTED_SECONDS, PATIENCE_SECONDS, 9.0),
    ]
    settings["bounds"]["max_trips"] = 6
    servers = [await case.server(f"s-{n}", respond) for n in range(SERVERS)]
    discovery = await case.discovery(servers)
    node = await case.node(settings, discovery).start()
    await node.ready()

    async def ask_all(number: int) -> None:
        nonlocal served
        client = None
        for turn in range(REQUESTS_EACH):
            if len(breaks) >= ENOUGH_BREAKS:
                break
            request_id = f"c{number}-{turn}"
            body = b"gift=20"
            try:
                client = client or await Client(node.listen).open()
                head = request_head(
                    "POST",
                    f"/nuovo-dono/donor-{number}",
                    request_id,
                    int(PATIENCE_SECONDS * 1000),
                    length=len(body),
                )
                client.writer.write(head + body)
                case.record("sent", id=request_id, client=number)
                got = await asyncio.wait_for(read_message(client.reader), PATIENCE_SECONDS + 1)
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                # An irreversible request is not sent again.
                case.record("no answer", id=request_id, why=repr(error))
                if client is not None:
                    client.close()
                client = None
                continue
            case.record("answer", id=request_id, status=got.status, body=got.body.decode("latin-1"))
            served += got.status == 200
            await asyncio.sleep(PAUSE_SECONDS * (0.5 + random.random()))
        if client is not None:
            client.close()

    await asyncio.gather(*(ask_all(number) for number in range(CLIENTS)))
    case.record("sum", served=served, turned_away=turned_away, second_copies=copies, ran_twice=len(breaks))
    print(
        f"served {served}, turned away {turned_away}, second copies {copies}, irreversible requests that ran "
        f"twice {len(breaks)}"
    )
    if not served or (TROUBLE and not copies):
        raise RuntimeError("too little was served to judge")
    return breaks


run(__file__, play)
