"""A watch falls silent, servers begin to drain, a new version is started: its list must not stay old."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

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

SERVERS = 64
# So many times the watches fall silent and a new version is started. Right after the silence some servers begin
# to drain, and stay up: a quarter of all by the end.
ROUNDS = 4
DRAINING = SERVERS // 4 // ROUNDS
CLIENTS = 30
PAUSE_SECONDS = 0.1
WARM_UP_SECONDS = 2.0
NEW_VERSION_AFTER_SECONDS = 0.2
# News of discovery binds from 2 s after the yes; what a silent watch misses, from 6 s after it fell silent.
TOLD_AFTER_YES_SECONDS, TOLD_AFTER_SILENCE_SECONDS = 2.0, 6.0
# The grace of a drain in the settings; limits are 50 ms longer on sockets.
GRACE_SECONDS = 1.5 + 0.05
# SIGKILL comes after the longest deadline and 0.7 s.
LONGEST_DEADLINE_SECONDS = 3.0
WATCHED_SECONDS = 9.5


class DiscoveryProcess:
    """Discovery in a process of its own, so that it answers at once whatever clients and servers do here."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.port = 0
        self.listed: dict[str, Any] = {}
        self.reading: asyncio.Task[None]

    async def start(self, servers: list[Server]) -> DiscoveryProcess:
        """Start it with all servers listed."""
        script = Path(__file__).with_name("discovery_2.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(script),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
        )
        self.order([server.entry() for server in servers])
        assert self.process.stdout is not None
        first = json.loads(await self.process.stdout.readline())
        self.port, self.listed = first["port"], first["whole"]
        self.reading = asyncio.create_task(self._copy())
        return self

    def whole(self) -> dict[str, Any]:
        """Return the whole list as it was first."""
        return self.listed

    def order(self, command: Any) -> None:
        """Have it do something."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def _copy(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            fields = json.loads(line)
            self.case.record(fields.pop("event"), of="discovery", **fields)

    def stop(self) -> None:
        """End the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


async def play(case: Case) -> list[str]:
    async def respond(
        server: Server, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.03)
        writer.write(answer(200, f"made for {request.request_id}".encode()))

    servers = [await case.server(f"s-{n:02}", respond) for n in range(SERVERS)]
    discovery = await DiscoveryProcess(case).start(servers)
    case.stoppable.append(discovery)  # type: ignore[arg-type]
    node = await case.node(small_deployment(), discovery).start()  # type: ignore[arg-type]
    await node.ready()
    listen = node.listen
    ending = asyncio.Event()
    counts = {"served": 0, "other": 0}

    async def ask_all(number: int) -> None:
        client = None
        turn = 0
        while not ending.is_set():
            turn += 1
            request_id = f"c{number}-{turn}"
            try:
                client = client or await Client(listen).open()
                client.writer.write(
                    request_head("GET", f"/storico-donatore/donor-{number}", request_id, 2000)
                )
                got = await asyncio.wait_for(read_message(client.reader), 3)
                case.record("answer", id=request_id, status=got.status)
                counts["served" if got.status == 200 else "other"] += 1
                if got.fields.get("connection", "").lower() == "close":
                    client.close()
                    client = None
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                case.record("no answer", id=request_id, why=repr(error))
                counts["other"] += 1
                if client is not None:
                    client.close()
                client = None
            await asyncio.sleep(PAUSE_SECONDS)
        if client is not None:
            client.close()

    clients = [asyncio.create_task(ask_all(number)) for number in range(CLIENTS)]
    told: dict[str, float] = {}
    for number in range(ROUNDS):
        await asyncio.sleep(WARM_UP_SECONDS)
        if TROUBLE:
            # All open watches fall silent; their connections stay open. New ones are served at once.
            discovery.order("silence")
        silent_at = time.monotonic()
        await asyncio.sleep(0.05)
        # The list as the node last had it.
        known = {
            "generation": discovery.whole()["generation"] + number,
            "reset": True,
            "instances": [server.entry() for server in servers],
        }
        draining = servers[number * DRAINING : (number + 1) * DRAINING]
        for server in draining:
            server.lifecycle = "Terminating"
        discovery.order([server.entry() for server in draining])
        await asyncio.sleep(NEW_VERSION_AFTER_SECONDS)
        new = case.node(node.settings, discovery)  # type: ignore[arg-type]
        # All is the same but the second address.
        new.listen, new.limits, new.known = node.listen, node.limits, known
        await new.start(f"new-{number}.log")
        end = time.monotonic() + 6
        while True:
            try:
                if (await new.call("status")).startswith("OK"):
                    break
            except (OSError, TimeoutError):
                pass
            if time.monotonic() > end:
                raise RuntimeError("the new process did not say yes in 6 s")
            await asyncio.sleep(0.02)
        yes_at = time.monotonic()
        case.record("the new process said yes")
        node.signal(signal.SIGTERM)
        assert node.process is not None
        try:
            await asyncio.wait_for(node.process.wait(), LONGEST_DEADLINE_SECONDS + 0.7)
        except TimeoutError:
            node.signal(signal.SIGKILL)
        for server in draining:
            told[server.name] = max(yes_at + TOLD_AFTER_YES_SECONDS, silent_at + TOLD_AFTER_SILENCE_SECONDS)
        await asyncio.sleep(yes_at + WATCHED_SECONDS - time.monotonic())
        node = new
    ending.set()
    await asyncio.gather(*clients)
    late = sorted(
        (first - told[server.name], server.name, request_id)
        for server in servers
        for first, request_id in server.first_bytes
        if first > told.get(server.name, float("inf")) + GRACE_SECONDS
    )
    case.record("sum", **counts, late=len(late))
    print(f"{counts}, sent to draining servers after the grace: {len(late)}")
    if not counts["served"]:
        raise RuntimeError("nothing was served")
    return [
        f"{request_id} was sent to {name}, which drains, {after:.2f} s after that counts as told"
        for after, name, request_id in late
    ]


run(__file__, play)
