"""Notes between nodes, and nodes of both shapes before the same servers during a move.

The old shape: few nodes in a pool, no messages. The new: a node beside each client process, with books of
servers kept among them. All on loopback; a server stand-in works on so many at once and queues the rest.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from coraldeal.balance import Balancer
from coraldeal.config import SettingsError
from coraldeal.interface import PeerMessage, PeerMessageKind
from coraldeal.net.carrier import Carrier
from coraldeal.notes import LENGTHS, pack, unpack
from tests.standins import Message, RunningNode, StandIn, answer, config, entry, server_list, until

# A server stand-in: requests worked on at once, and the seconds that each takes. Long enough that servers are
# the narrow part: at 20 ms it was this process, and how far a greedy kind choked them was up to the machine.
AT_ONCE = 2
WORK = 0.1
# How often a client sends, in seconds, unless an answer is still to come: two thirds of what servers can do.
EVERY = 0.4
# The least part that either kind must have served, and the least of the other's part.
LEAST_SERVED = 0.7
LEAST_OF_OTHER = 0.7


def free_ports(count: int) -> list[int]:
    """Loopback ports that nobody has bound for datagrams."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [int(one.getsockname()[1]) for one in held]
    for one in held:
        one.close()
    return ports


class Words(unittest.TestCase):
    def test_notes_go_out_and_come_back_the_same(self) -> None:
        for note in (
            PeerMessage(PeerMessageKind.ASK, 0xABCDEF, 3),
            PeerMessage(PeerMessageKind.ANSWER, 1, 255, global_limit=7.25),
            PeerMessage(PeerMessageKind.SENT, 0, 0),
            PeerMessage(PeerMessageKind.ENDED, 77, 2, in_flight_at_start=9, latency_us=120_000),
        ):
            self.assertEqual(unpack(pack(note)), note)
            self.assertEqual(len(pack(note)), LENGTHS[note.kind])

    def test_figures_too_large_are_told_as_the_largest(self) -> None:
        self.assertEqual(
            unpack(pack(PeerMessage(PeerMessageKind.SENT, 1, 4000))),
            PeerMessage(PeerMessageKind.SENT, 1, 255),
        )
        ended = unpack(
            pack(PeerMessage(PeerMessageKind.ENDED, 1, 0, in_flight_at_start=300, latency_us=10**9))
        )
        self.assertEqual(
            ended, PeerMessage(PeerMessageKind.ENDED, 1, 0, in_flight_at_start=255, latency_us=65_535_000)
        )

    def test_anything_else_is_no_note_and_never_an_error(self) -> None:
        chance = random.Random(7)
        for length in range(20):
            for _ in range(200):
                words = chance.randbytes(length)
                note = unpack(words)
                if note is not None:
                    self.assertEqual(len(pack(note)), length)
        for words in (
            b"",
            b"\x01",
            b"\x09abcd",
            b"\x01abcde",
            pack(PeerMessage(PeerMessageKind.ENDED, 1, 1))[:-1],
        ):
            self.assertIsNone(unpack(words))


class Configuration(unittest.TestCase):
    def refused(self, peers: Any, bounds: bool, key: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            config(server_list(1, True), peers=peers, bounds={"peers": bounds})
        self.assertIn(key, str(caught.exception))

    def test_a_wrong_key_is_named(self) -> None:
        good = ["127.0.0.1:9001", "127.0.0.1:9002"]
        self.refused({"nodes": good, "self": 0}, False, "settings.bounds.peers")
        self.refused({"nodes": good}, True, "peers.self is missing")
        self.refused({"nodes": good, "self": 2}, True, "peers.self")
        self.refused({"nodes": good, "self": -1}, True, "peers.self")
        self.refused({"self": 0}, True, "peers.nodes is missing")
        self.refused({"nodes": "x", "self": 0}, True, "peers.nodes is not a list")
        self.refused({"nodes": ["127.0.0.1:1", "host:2"], "self": 0}, True, "peers.nodes[1]")
        self.refused({"nodes": ["127.0.0.1:1", 7], "self": 0}, True, "peers.nodes[1]")
        self.refused({"nodes": ["127.0.0.1:1", "127.0.0.1:1"], "self": 0}, True, "twice")
        self.refused(7, True, "peers is not an object")

    def test_off_unless_named(self) -> None:
        plain = config(server_list(1, True), bounds={"peers": True})
        self.assertEqual((plain.peers, plain.settings.peers), (None, 0))
        self.assertFalse(Balancer(mock.Mock(now=0), plain.settings, 1).has_peers)
        peers = {"nodes": ["127.0.0.1:1", "127.0.0.1:2"], "self": 1}
        named = config(server_list(1, True), peers=peers, bounds={"peers": True})
        self.assertEqual((named.settings.peers, named.settings.peer_index), (2, 1))

    def test_a_weight_that_is_none_counts_as_usual(self) -> None:
        from coraldeal.net.wire import read_list

        for weight, size in ((2.5, 2.5), (0, 1.0), (-1, 1.0), ("x", 1.0), (None, 1.0), (True, 1.0)):
            line = {**entry("a", "127.0.0.1:1"), "weight": weight}
            self.assertEqual(read_list(server_list(1, True, line), 0).servers[0].entry.size, size)


class Carriers(unittest.IsolatedAsyncioTestCase):
    async def open(self, count: int) -> tuple[list[Carrier], list[list[tuple[int, PeerMessage]]]]:
        nodes = tuple(("127.0.0.1", port) for port in free_ports(count))
        came: list[list[tuple[int, PeerMessage]]] = [[] for _ in nodes]

        def into(found: list[tuple[int, PeerMessage]]) -> Callable[[int, PeerMessage], None]:
            return lambda peer, note: found.append((peer, note))

        carriers = [Carrier(nodes, number, into(came[number])) for number in range(count)]
        for carrier in carriers:
            await carrier.open()
            self.addCleanup(carrier.close)
        return carriers, came

    async def test_told_by_number_and_bad_datagrams_passed_over(self) -> None:
        carriers, came = await self.open(2)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with stranger, self.assertLogs("coraldeal.carrier") as logs:
            for _ in range(3):
                stranger.sendto(pack(PeerMessage(PeerMessageKind.SENT, 1, 1)), carriers[0].nodes[0])
            transport = carriers[1].transport
            assert transport is not None
            for words in (b"", b"\x07", b"x" * 1000):
                transport.sendto(words, carriers[0].nodes[0])
            carriers[1].tell(0, PeerMessage(PeerMessageKind.SENT, 5, 2))
            await until(lambda: bool(came[0]) and carriers[0].unknown == 3)
        self.assertEqual(came[0], [(1, PeerMessage(PeerMessageKind.SENT, 5, 2))])
        self.assertGreaterEqual(carriers[0].unreadable, 2)
        self.assertEqual(len(logs.output), 2)

    async def test_an_address_in_use_is_tried_again(self) -> None:
        (before, other), came = await self.open(2)
        after = Carrier(before.nodes, 0, lambda peer, note: came[0].append((peer, note)))
        self.addCleanup(after.close)
        with mock.patch("coraldeal.net.carrier.AGAIN", 0.01):
            await after.open()
            self.assertIsNone(after.transport)
            after.tell(1, PeerMessage(PeerMessageKind.SENT, 1, 1))
            self.assertEqual(after.unsent, 1)
            before.close()
            await until(lambda: after.transport is not None)
        other.tell(0, PeerMessage(PeerMessageKind.SENT, 9, 1))
        await until(lambda: came[0] == [(1, PeerMessage(PeerMessageKind.SENT, 9, 1))])


class Server(StandIn):
    """Works on a few requests at once; counts what it has done, by id, and the most it held."""

    def __init__(self) -> None:
        super().__init__(self.work)
        self.places = asyncio.Semaphore(AT_ONCE)
        self.done: list[str] = []
        self.held = self.most = 0

    async def work(self, seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.held += 1
        self.most = max(self.most, self.held)
        try:
            async with self.places:
                await asyncio.sleep(WORK)
            self.done.append(seen.fields["req-id"])
            writer.write(answer())
        finally:
            self.held -= 1


class Both(unittest.IsolatedAsyncioTestCase):
    """Two pool nodes and four nodes beside clients, three servers, two thirds of what these can do."""

    async def asyncSetUp(self) -> None:
        # In debug mode the loop takes several times as long for an inquiry.
        asyncio.get_running_loop().set_debug(False)

    async def play(self, greedy: bool = False) -> tuple[dict[str, list[int]], list[Server], float]:
        servers = [Server() for _ in range(3)]
        for server in servers:
            await server.start()
            self.addCleanup(server.stop)
        known = server_list(1, True, *(entry(f"s{i}", s.address) for i, s in enumerate(servers)))
        ports = [f"127.0.0.1:{port}" for port in free_ports(4)]
        nodes: list[tuple[str, RunningNode]] = []
        for number in range(2):
            old = config(known, instances=6, self_index=number)
            nodes.append(("old", await self.enterAsyncContext(RunningNode(old))))
        for number in range(4):
            peers = {"nodes": ports, "self": number}
            new = config(known, peers=peers, instances=6, self_index=2 + number, bounds={"peers": True})
            nodes.append(("new", await self.enterAsyncContext(RunningNode(new))))
        if greedy:
            # A kind that takes too much: all it has goes out at once, whatever books and caps say.
            for kind, running in nodes:
                if kind == "new":
                    running.node.balancer._has_room = lambda *_: True  # type: ignore[method-assign]
                    running.node.balancer.has_peers = False
                    for one in running.node.balancer.servers.values():
                        one.concurrency_limit = 10_000
        statuses: dict[str, list[int]] = {"old": [], "new": []}
        longest = 0.0

        async def client(kind: str, running: RunningNode, first: float) -> None:
            nonlocal longest
            caller = await running.caller()
            await asyncio.sleep(first)
            while (began := time.monotonic()) < end:
                caller.send("low", b"", "900m")
                statuses[kind].append((await caller.answer())[0])
                took = time.monotonic() - began
                longest = max(longest, took)
                await asyncio.sleep(EVERY - took)

        end = time.monotonic() + 3.0
        of: list[tuple[str, RunningNode]] = []
        for kind, running in nodes:
            # The same traffic of each kind: an old node has the clients of two new ones.
            of += [(kind, running)] * (4 if kind == "old" else 2) * (12 if greedy and kind == "new" else 1)
        await asyncio.gather(*(client(*one, EVERY * place / len(of)) for place, one in enumerate(of)))
        return statuses, servers, longest

    def judge(self, statuses: dict[str, list[int]], servers: list[Server]) -> None:
        """Raises AssertionError where a rule is broken or a kind goes short."""
        done = [name for server in servers for name in server.done]
        assert len(done) == len(set(done)), "an effect twice"
        part = {}
        for kind, all_of in statuses.items():
            part[kind] = all_of.count(200) / max(1, len(all_of))
        least, most = sorted(part.values())
        assert least >= LEAST_SERVED and least >= LEAST_OF_OTHER * most, f"served: {part}"
        for kind, all_of in statuses.items():
            assert set(all_of) <= {200, 503}, f"{kind}: {sorted(set(all_of))}"

    async def test_rules_hold_and_neither_kind_starves_the_other(self) -> None:
        statuses, servers, longest = await self.play()
        self.judge(statuses, servers)
        self.assertLess(longest, 1.0, "an answer after the client's time")
        self.assertGreater(min(len(server.done) for server in servers), 20)

    async def test_a_kind_that_takes_too_much_is_seen(self) -> None:
        statuses, servers, _ = await self.play(greedy=True)
        with self.assertRaisesRegex(AssertionError, "served"):
            self.judge(statuses, servers)


if __name__ == "__main__":
    unittest.main()
