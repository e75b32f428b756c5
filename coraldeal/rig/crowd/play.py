"""One play: node processes get new configurations in a row at a crowded discovery, then a server drains."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from coraldeal.rig.clock import now_us, sleep_until
from coraldeal.rig.crowd.service import Call, CrowdedService, Place, ServiceLimits
from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import ExperimentError
from coraldeal.rig.listing import Listed, entry
from coraldeal.rig.nodes import NodeProcess, Program
from coraldeal.rig.run import free_port
from coraldeal.rig.told import (
    SENTENCES,
    Change,
    Sentence,
    after_a_watchs_end,
    after_sighup,
    told_at,
    when_written,
)

# How long a server that drains may still be sent to, in seconds from when the node counts as told.
GRACE = 1.5
# How long a request may take, and how rarely the list is asked for where nothing fails, in seconds.
PATIENCE = 1.0
ASK_EVERY = 10.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
# By the incident's records neither the end of a watch nor a new configuration bound before the 6 s did
# (docs/incidents/incident-315391.md); what they would break is told apart.
RULED: tuple[Sentence, ...] = tuple(
    sentence for sentence in SENTENCES if sentence not in (after_a_watchs_end, after_sighup)
)
# How many nodes are started at once.
STARTED_AT_ONCE = 8


@dataclass(frozen=True, slots=True)
class Options:
    """A play. Times in seconds."""

    nodes: int = 60
    limits: ServiceLimits = field(default_factory=lambda: ServiceLimits(0.04))
    # New configurations of each node, their distance, and over how long the nodes' first ones are spread.
    moves: int = 4
    move_every: float = 0.4
    spread: float = 1.5
    # From the last new configuration to the drain, or below 0 so long before it; from there to the end.
    drain_after: float = 2.0
    # From the drain until answers and watches have it: lists may come late, and count from the drain on.
    published_after: float = 0.0
    watched_for: float = 10.0
    # How long discovery is down up to the drain.
    outage: float = 0.0
    # Requests a second of each node.
    rate: float = 10.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a play showed. Times in seconds from the drain on."""

    # By node: when the list that has the drain was first written to it; None: never.
    told: list[float | None]
    # By node: the last request that reached the draining server; 0: none after the drain.
    last_sent: list[float]
    # Requests later than the grace after the moment at which the node counts as told, and by the strictest
    # reading of all sentences.
    broken: int
    strictly_broken: int
    # Calls at discovery from the first new configuration on, by outcome, and how many there were a second.
    outcomes: dict[str, int]
    calls_by_second: list[int]

    @property
    def calls(self) -> int:
        return sum(self.outcomes.values())

    @property
    def worst(self) -> float:
        return max(self.last_sent)

    def text(self) -> str:
        """A few lines for a person."""
        late = sorted(self.last_sent)
        outcomes = ", ".join(f"{count} {name or 'open'}" for name, count in sorted(self.outcomes.items()))
        return (
            f"last request to the drained server: median {late[len(late) // 2]:.2f}, worst {late[-1]:.2f} s\n"
            f"calls at discovery: {self.calls} ({outcomes}); by second {self.calls_by_second}\n"
            f"nodes never told: {self.told.count(None)}; requests after the grace: {self.broken}"
            f" (by the strictest reading {self.strictly_broken})"
        )


class Server:
    """A server that answers at once and remembers when each node's requests came."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lifecycle = "Ready"
        self.came_us: dict[int, list[int]] = {}
        self.port = 0

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self.listener.sockets[0].getsockname()[1])

    def entry(self) -> dict[str, Any]:
        return entry(Listed(self.name, "z", 0, {"z": self.port}, self.lifecycle), "z")

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                node = int(head.partition(b"Req-Id: n")[2].partition(b"-")[0])
                self.came_us.setdefault(node, []).append(now_us())
                writer.write(ANSWER)
        writer.close()


class Play:
    """The parts of one play, led from start to end by `run`."""

    def __init__(self, options: Options, program: Program, folder: Path, say: Callable[[str], None]) -> None:
        self.options = options
        self.program = program
        self.folder = folder
        self.say = say
        self.stays, self.drains = Server("stays"), Server("drains")
        self.nodes: list[NodeProcess] = []
        self.places: list[list[Place]] = []
        self.ports: list[list[int]] = []
        self.asking: list[asyncio.Task[None]] = []
        self.service: CrowdedService

    async def run(self) -> Outcome:
        """Raises ExperimentError where a node does not start."""
        await self.stays.start()
        await self.drains.start()
        self.service = CrowdedService(self.options.limits, self._entries, ASK_EVERY, self.options.seed)
        try:
            await self._start_nodes()
            return await self._play()
        finally:
            for asking in self.asking:
                asking.cancel()
            await asyncio.gather(*(node.end() for node in self.nodes), return_exceptions=True)
            await self.service.close()

    def _entries(self) -> list[dict[str, Any]]:
        return [self.stays.entry(), self.drains.entry()]

    async def _start_nodes(self) -> None:
        numbers = range(self.options.nodes)
        for number in numbers:
            opened = [await self.service.open_place(number, k) for k in range(self.options.moves + 1)]
            self.places.append([place for place, _ in opened])
            self.ports.append([at for _, at in opened])
        # Behind the places, which might be given a port that a node is to have.
        for number in numbers:
            name = f"n{number}"
            self.nodes.append(NodeProcess(name, number, 0, "z", free_port(), self.folder, self.program))
            self._configure(number, 0)
        starting = asyncio.Semaphore(STARTED_AT_ONCE)

        async def start(node: NodeProcess) -> None:
            async with starting:
                await node.start()
                await node.wait_until_ready()

        await asyncio.gather(*(start(node) for node in self.nodes))
        for node in self.nodes:
            # Another process may have been given its port meanwhile, and answered for it.
            if node.process is None or node.process.returncode is not None:
                raise ExperimentError(f"{node.name} ended at its start: {node.last_log_line()}")
        # Their first calls are spread over some seconds, and may wait their turn.
        await asyncio.sleep(2.0 + 2 * self.options.nodes * self.options.limits.work)
        self.say(f"{len(self.nodes)} nodes are up, {len(self.service.calls)} calls until now")

    def _configure(self, number: int, place: int) -> None:
        """Write the file of a node, with discovery at one of its places."""
        node = self.nodes[number]
        settings = {
            "zone": "z",
            "discovery": "ask",
            "instances": self.options.nodes,
            "self_index": number,
            "tracks": [
                {
                    "name": "read",
                    "effect": "retryable",
                    "payoff": 1.0,
                    "expected_time_ns": int(PATIENCE * 0.5e9),
                    "patience_ns": int(PATIENCE * 1e9),
                }
            ],
            "rules": {"ask_every_ns": int(ASK_EVERY * 1e9)},
        }
        config = {
            "name": node.name,
            "listen": f"127.0.0.1:{node.port}",
            "discovery": f"127.0.0.1:{self.ports[number][place]}",
            "seed": f"{self.options.seed * 1000 + number:x}",
            "known": {"generation": 1, "reset": True, "instances": self._entries()},
            "settings": settings,
        }
        fresh = node.path.with_suffix(".new")
        fresh.write_text(json.dumps(config), encoding="utf-8")
        fresh.replace(node.path)

    async def _play(self) -> Outcome:
        options = self.options
        self.asking = [asyncio.create_task(self._ask(node)) for node in self.nodes]
        await asyncio.sleep(1.0)
        first_call = len(self.service.calls)
        began = now_us()
        draws = random_stream(options.seed, "first move").uniform(0.0, options.spread, options.nodes)
        moves = [
            asyncio.create_task(self._move(number, began + int(at * 1e6))) for number, at in enumerate(draws)
        ]
        last_move = began + int((max(draws) + options.move_every * (options.moves - 1)) * 1e6)
        await sleep_until(last_move + int(options.drain_after * 1e6))
        if options.outage:
            self.service.go_down()
            await asyncio.sleep(options.outage)
            self.service.come_back()
        drained_us = now_us()
        await asyncio.sleep(options.published_after)
        self.drains.lifecycle = "Terminating"
        self.service.changed([self.drains.entry()])
        await asyncio.gather(*moves)
        await sleep_until(drained_us + int(options.watched_for * 1e6))
        return self._outcome(self.service.calls[first_call:], began, drained_us)

    async def _move(self, number: int, at_us: int) -> None:
        for place in range(1, self.options.moves + 1):
            await sleep_until(at_us + int((place - 1) * self.options.move_every * 1e6))
            self._configure(number, place)
            self.nodes[number].send_signal(signal.SIGHUP)
            self.service.history(number).sighups.append(now_us() / 1e6)
            self.places[number][place - 1].leave()

    async def _ask(self, node: NodeProcess) -> None:
        """Requests at an even rate, one at a time, on one connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        due, count = now_us(), 0
        while True:
            count += 1
            writer.write(
                b"GET /read/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: n%d-%d\r\nReq-Deadline: %dm\r\n\r\n"
                % (node.number, count, PATIENCE * 1000)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0] or 0)
            await reader.readexactly(length)
            due += int(1e6 / self.options.rate)
            await sleep_until(due)

    def _outcome(self, calls: list[Call], began_us: int, drained_us: int) -> Outcome:
        numbers = range(len(self.nodes))
        came = self.drains.came_us
        change = Change(self.service.version, drained_us / 1e6)
        written = [when_written(self.service.history(n), change, []) for n in numbers]
        seconds = Counter((call.began_us - began_us) // 1_000_000 for call in calls)
        return Outcome(
            told=[at - change.at if at < inf else None for at in written],
            last_sent=[max(0.0, (max(came.get(n, [0])) - drained_us) / 1e6) for n in numbers],
            broken=self._broken(change, RULED),
            strictly_broken=self._broken(change, SENTENCES),
            outcomes=dict(Counter(call.outcome for call in calls)),
            calls_by_second=[seconds[second] for second in range(max(seconds, default=0) + 1)],
        )

    def _broken(self, change: Change, sentences: tuple[Sentence, ...]) -> int:
        """Requests to the drained server later than the grace after these sentences have its node told."""
        broken = 0
        for number, came_us in self.drains.came_us.items():
            history = self.service.history(number)
            told, _ = told_at(history, change, self.service.outages, sentences)
            broken += sum(at / 1e6 > told + GRACE for at in came_us)
        return broken


async def play(
    options: Options, program: Program, say: Callable[[str], None], folder: Path | None = None
) -> Outcome:
    """Play it; the nodes' files and logs go to the folder, or to one that is removed behind it."""
    with tempfile.TemporaryDirectory() as scratch:
        where = folder or Path(scratch)
        where.mkdir(parents=True, exist_ok=True)
        return await Play(options, program, where, say).run()
