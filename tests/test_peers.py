"""Peer messages, and nodes with and without them in front of the same servers, as during a migration.

Guards against one kind of node starving the other, which happens if a kind ignores the load that the other
puts on the servers. Nodes of the old kind form a small pool and exchange no messages. Nodes of the new kind
run beside each client process and exchange in-flight counts of servers. All run on loopback; a server
stand-in works on a few requests at once and queues the others.
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
from coraldeal.net.peer_transport import PeerTransport
from coraldeal.peer_messages import LENGTHS, decode_message, encode_message
from tests.standins import Message, RunningNode, StandIn, answer, config, entry, server_list, until

# Requests that a server stand-in works on at once, and the seconds that each takes: long enough that servers
# are the bottleneck. At 20 ms this process was, and the effect of a greedy kind depended on the machine.
CONCURRENT_REQUESTS = 2
WORK = 0.1
# Seconds from one request of a client to its next. All clients together use two thirds of the servers'
# capacity.
REQUEST_INTERVAL_S = 0.4
# The minimum fraction of each kind's requests that is served, and the minimum ratio of the lower of these
# fractions to the higher.
MIN_SERVED = 0.7
MIN_RATIO = 0.7


def free_ports(count: int) -> list[int]:
    """Return unused loopback ports for datagrams."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Encoding(unittest.TestCase):
    def test_encoded_messages_are_decoded_unchanged(self) -> None:
        for message in (
            PeerMessage(PeerMessageKind.ASK, 0xABCDEF, 3),
            PeerMessage(PeerMessageKind.ANSWER, 1, 255, global_limit=7.25),
            PeerMessage(PeerMessageKind.SENT, 0, 0),
            PeerMessage(PeerMessageKind.ENDED, 77, 2, in_flight_at_start=9, latency_us=120_000),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)
            self.assertEqual(len(encode_message(message)), LENGTHS[message.kind])

    def test_numbers_too_large_for_their_field_become_the_largest(self) -> None:
        self.assertEqual(
            decode_message(encode_message(PeerMessage(PeerMessageKind.SENT, 1, 4000))),
            PeerMessage(PeerMessageKind.SENT, 1, 255),
        )
        ended = decode_message(
            encode_message(PeerMessage(PeerMessageKind.ENDED, 1, 0, in_flight_at_start=300, latency_us=10**9))
        )
        self.assertEqual(
            ended, PeerMessage(PeerMessageKind.ENDED, 1, 0, in_flight_at_start=255, latency_us=65_535_000)
        )

    def test_invalid_bytes_are_no_message_and_raise_no_error(self) -> None:
        rng = random.Random(7)
        for length in range(20):
            for _ in range(200):
                data = rng.randbytes(length)
                message = decode_message(data)
                if message is not None:
                    self.assertEqual(len(encode_message(message)), length)
        for data in (
            b"",
            b"\x01",
            b"\x09abcd",
            b"\x01abcde",
            encode_message(PeerMessage(PeerMessageKind.ENDED, 1, 1))[:-1],
        ):
            self.assertIsNone(decode_message(data))


class Configuration(unittest.TestCase):
    def assert_refused(self, peers: Any, bounds: bool, key: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            config(server_list(1, True), peers=peers, bounds={"peers": bounds})
        self.assertIn(key, str(caught.exception))

    def test_error_names_the_invalid_key(self) -> None:
        good = ["127.0.0.1:9001", "127.0.0.1:9002"]
        self.assert_refused({"nodes": good, "self": 0}, False, "settings.bounds.peers")
        self.assert_refused({"nodes": good}, True, "peers.self is missing")
        self.assert_refused({"nodes": good, "self": 2}, True, "peers.self")
        self.assert_refused({"nodes": good, "self": -1}, True, "peers.self")
        self.assert_refused({"self": 0}, True, "peers.nodes is missing")
        self.assert_refused({"nodes": "x", "self": 0}, True, "peers.nodes is not a list")
        self.assert_refused({"nodes": ["127.0.0.1:1", "host:2"], "self": 0}, True, "peers.nodes[1]")
        self.assert_refused({"nodes": ["127.0.0.1:1", 7], "self": 0}, True, "peers.nodes[1]")
        self.assert_refused({"nodes": ["127.0.0.1:1", "127.0.0.1:1"], "self": 0}, True, "twice")
        self.assert_refused(7, True, "peers is not an object")

    def test_peer_messages_are_off_unless_peers_are_configured(self) -> None:
        without_peers = config(server_list(1, True), bounds={"peers": True})
        self.assertEqual((without_peers.peers, without_peers.settings.peers), (None, 0))
        self.assertFalse(Balancer(mock.Mock(now=0), without_peers.settings, 1).has_peers)
        peers = {"nodes": ["127.0.0.1:1", "127.0.0.1:2"], "self": 1}
        with_peers = config(server_list(1, True), peers=peers, bounds={"peers": True})
        self.assertEqual((with_peers.settings.peers, with_peers.settings.peer_index), (2, 1))

    def test_invalid_weight_counts_as_one(self) -> None:
        from coraldeal.net.wire import parse_server_list

        for weight, size in ((2.5, 2.5), (0, 1.0), (-1, 1.0), ("x", 1.0), (None, 1.0), (True, 1.0)):
            server = {**entry("a", "127.0.0.1:1"), "weight": weight}
            self.assertEqual(parse_server_list(server_list(1, True, server), 0).servers[0].entry.size, size)


class PeerTransports(unittest.IsolatedAsyncioTestCase):
    async def open(self, count: int) -> tuple[list[PeerTransport], list[list[tuple[int, PeerMessage]]]]:
        nodes = tuple(("127.0.0.1", port) for port in free_ports(count))
        received: list[list[tuple[int, PeerMessage]]] = [[] for _ in nodes]

        def collector(messages: list[tuple[int, PeerMessage]]) -> Callable[[int, PeerMessage], None]:
            return lambda peer, message: messages.append((peer, message))

        transports = [PeerTransport(nodes, number, collector(received[number])) for number in range(count)]
        for transport in transports:
            await transport.open()
            self.addCleanup(transport.close)
        return transports, received

    async def test_messages_are_received_by_node_number_and_invalid_datagrams_ignored(self) -> None:
        transports, received = await self.open(2)
        unknown_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with unknown_sender, self.assertLogs("coraldeal.carrier") as logs:
            for _ in range(3):
                unknown_sender.sendto(
                    encode_message(PeerMessage(PeerMessageKind.SENT, 1, 1)), transports[0].nodes[0]
                )
            transport = transports[1].transport
            assert transport is not None
            for data in (b"", b"\x07", b"x" * 1000):
                transport.sendto(data, transports[0].nodes[0])
            transports[1].send(0, PeerMessage(PeerMessageKind.SENT, 5, 2))
            await until(lambda: bool(received[0]) and transports[0].unknown == 3)
        self.assertEqual(received[0], [(1, PeerMessage(PeerMessageKind.SENT, 5, 2))])
        self.assertGreaterEqual(transports[0].invalid, 2)
        self.assertEqual(len(logs.output), 2)

    async def test_address_in_use_is_tried_again(self) -> None:
        (predecessor, other), received = await self.open(2)
        successor = PeerTransport(
            predecessor.nodes, 0, lambda peer, message: received[0].append((peer, message))
        )
        self.addCleanup(successor.close)
        with mock.patch("coraldeal.net.peer_transport.BIND_RETRY_INTERVAL", 0.01):
            await successor.open()
            self.assertIsNone(successor.transport)
            successor.send(1, PeerMessage(PeerMessageKind.SENT, 1, 1))
            self.assertEqual(successor.unsent, 1)
            predecessor.close()
            await until(lambda: successor.transport is not None)
        other.send(0, PeerMessage(PeerMessageKind.SENT, 9, 1))
        await until(lambda: received[0] == [(1, PeerMessage(PeerMessageKind.SENT, 9, 1))])


class Server(StandIn):
    """Works on a few requests at once; records the ids of those done, and the most open at one time."""

    def __init__(self) -> None:
        super().__init__(self.work)
        self.slots = asyncio.Semaphore(CONCURRENT_REQUESTS)
        self.done: list[str] = []
        self.open_requests = self.max_open_requests = 0

    async def work(self, seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_requests += 1
        self.max_open_requests = max(self.max_open_requests, self.open_requests)
        try:
            async with self.slots:
                await asyncio.sleep(WORK)
            self.done.append(seen.fields["req-id"])
            writer.write(answer())
        finally:
            self.open_requests -= 1


class MixedNodes(unittest.IsolatedAsyncioTestCase):
    """Two pool nodes, four nodes beside clients and three servers, at two thirds of their capacity."""

    async def asyncSetUp(self) -> None:
        # In debug mode, the event loop takes several times as long for an inquiry.
        asyncio.get_running_loop().set_debug(False)

    async def play(self, greedy: bool = False) -> tuple[dict[str, list[int]], list[Server], float]:
        servers = [Server() for _ in range(3)]
        for server in servers:
            await server.start()
            self.addCleanup(server.stop)
        known_list = server_list(1, True, *(entry(f"s{i}", s.address) for i, s in enumerate(servers)))
        ports = [f"127.0.0.1:{port}" for port in free_ports(4)]
        nodes: list[tuple[str, RunningNode]] = []
        for number in range(2):
            old_config = config(known_list, instances=6, self_index=number)
            nodes.append(("old", await self.enterAsyncContext(RunningNode(old_config))))
        for number in range(4):
            peers = {"nodes": ports, "self": number}
            new_config = config(
                known_list, peers=peers, instances=6, self_index=2 + number, bounds={"peers": True}
            )
            nodes.append(("new", await self.enterAsyncContext(RunningNode(new_config))))
        if greedy:
            # The new kind sends everything at once, ignoring in-flight counts and limits.
            for kind, running in nodes:
                if kind == "new":
                    running.node.balancer._has_room = lambda *_: True  # type: ignore[method-assign]
                    running.node.balancer.has_peers = False
                    for server_state in running.node.balancer.servers.values():
                        server_state.concurrency_limit = 10_000
        statuses: dict[str, list[int]] = {"old": [], "new": []}
        longest = 0.0

        async def client(kind: str, running: RunningNode, initial_delay: float) -> None:
            nonlocal longest
            caller = await running.caller()
            await asyncio.sleep(initial_delay)
            while (started_at := time.monotonic()) < end:
                caller.send("low", b"", "900m")
                statuses[kind].append((await caller.answer())[0])
                duration = time.monotonic() - started_at
                longest = max(longest, duration)
                await asyncio.sleep(REQUEST_INTERVAL_S - duration)

        end = time.monotonic() + 3.0
        client_nodes: list[tuple[str, RunningNode]] = []
        for kind, running in nodes:
            # Each kind has the same traffic: an old node has the clients of two new ones.
            client_nodes += (
                [(kind, running)] * (4 if kind == "old" else 2) * (12 if greedy and kind == "new" else 1)
            )
        await asyncio.gather(
            *(
                client(*kind_and_node, REQUEST_INTERVAL_S * index / len(client_nodes))
                for index, kind_and_node in enumerate(client_nodes)
            )
        )
        return statuses, servers, longest

    def check(self, statuses: dict[str, list[int]], servers: list[Server]) -> None:
        """Raise AssertionError if an inquiry ran twice or a kind was starved."""
        done = [name for server in servers for name in server.done]
        assert len(done) == len(set(done)), "an inquiry ran twice"
        served = {}
        for kind, kind_statuses in statuses.items():
            served[kind] = kind_statuses.count(200) / max(1, len(kind_statuses))
        lowest, highest = sorted(served.values())
        assert lowest >= MIN_SERVED and lowest >= MIN_RATIO * highest, f"served: {served}"
        for kind, kind_statuses in statuses.items():
            assert set(kind_statuses) <= {200, 503}, f"{kind}: {sorted(set(kind_statuses))}"

    async def test_neither_kind_starves_the_other_and_nothing_runs_twice(self) -> None:
        statuses, servers, longest = await self.play()
        self.check(statuses, servers)
        self.assertLess(longest, 1.0, "an answer came after the deadline")
        self.assertGreater(min(len(server.done) for server in servers), 20)

    async def test_greedy_kind_is_detected(self) -> None:
        statuses, servers, _ = await self.play(greedy=True)
        with self.assertRaisesRegex(AssertionError, "served"):
            self.check(statuses, servers)


if __name__ == "__main__":
    unittest.main()
