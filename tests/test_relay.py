"""Tests the relay on loopback sockets, between a simulated source and its followers.

Each test is about one failure: of a source (silent, reset, sending invalid objects), of a follower (slow,
ahead of the relay, beyond the limit) or around the relay's start and shutdown.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.config import SettingsError
from coraldeal.net import discovery as discovery_module
from coraldeal.net.discovery import Discovery
from coraldeal.net.node import Node
from coraldeal.net.wire import ServerList, parse_server_list
from coraldeal.operator import ListsTable, OperatorFile, RelayTable, read_operator_file
from coraldeal.relay import link as link_module
from coraldeal.relay import server as server_module
from coraldeal.relay.server import Relay, parse_query
from tests.standins import (
    CHUNKED_HEAD,
    Message,
    NodeCase,
    RunningNode,
    StandIn,
    answer,
    chunked,
    config,
    entry,
    server_list,
    until,
    watch,
)


def service_entry(service: str, name: str, lifecycle: str = "Ready", **more: Any) -> dict[str, Any]:
    """A list entry of a service, with further fields."""
    return {**entry(name, "127.0.0.1:1", lifecycle), "service": service, **more}


def encode_line(*update: Any) -> bytes:
    """An object of a source, given as the arguments of `server_list`, as a line of the stream."""
    return json.dumps(server_list(*update)).encode() + b"\n"


class Source:
    """A simulated source: it keeps watches open and sends what a test asks for."""

    def __init__(self) -> None:
        self.generation = 10
        self.entries = [service_entry("a", "a1"), service_entry("a", "a2"), service_entry("b", "b1")]
        self.writers: list[asyncio.StreamWriter] = []
        # The first object of a watch, by the generation that the watch asks from; others begin with a
        # heartbeat.
        self.first_objects: dict[int, bytes] = {}
        self.stand_in = StandIn(self.handle_connection)

    async def handle_connection(
        self, seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with the snapshot, or with a watch that lasts until the client closes it."""
        path = seen.line.split()[1]
        if "watch" not in path:
            writer.write(answer(200, encode_line(self.generation, True, *self.entries)))
            return
        after = int(path.partition("after=")[2].partition("&")[0] or -1)
        writer.write(CHUNKED_HEAD)
        if after > self.generation:
            writer.write(chunked(encode_line(self.generation, True, *self.entries)))
        elif after in self.first_objects:
            writer.write(chunked(self.first_objects[after]))
        else:
            writer.write(chunked(b"\n"))
        self.writers.append(writer)
        await reader.read()
        self.writers.remove(writer)

    def broadcast(self, text: bytes) -> None:
        """Sends the text as one HTTP chunk to every watch."""
        for writer in self.writers:
            writer.write(chunked(text))

    def change(self, *entries: dict[str, Any]) -> None:
        """Sends the entries as the delta of a new generation."""
        self.generation += 1
        self.broadcast(encode_line(self.generation, False, *entries))


class Follower:
    """A follower: it reads the objects and heartbeats of a watch, or the head of another response."""

    def __init__(self, address: str, query: str) -> None:
        self.address, self.query = address, query
        self.objects: list[dict[str, Any]] = []
        self.heartbeats = 0
        self.head = b""
        self.has_ended = False
        self.has_last_chunk = False

    async def open(self) -> Follower:
        """Sends the request, waits for the head of the response and starts to read the body."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 26)
        self.writer.write(f"GET /v1/endpoints{self.query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        self.head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        self.read_task = asyncio.get_running_loop().create_task(self._read())
        return self

    @property
    def status(self) -> int:
        """The status of the response."""
        return int(self.head.split()[1])

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                text = (await self.reader.readexactly(size + 2))[:-2]
                if text == b"\n":
                    self.heartbeats += 1
                else:
                    self.objects.append(json.loads(text))
            self.has_last_chunk = True
        self.has_ended = True

    def names(self, index: int = -1) -> list[str]:
        """The names in one of the objects received."""
        return [item["instanceId"] for item in self.objects[index]["instances"]]

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
        self.read_task.cancel()


class RelayCase(NodeCase):
    """Starts sources, relays and followers, and closes them after the test."""

    async def start_source(self) -> Source:
        source = Source()
        await source.stand_in.start()
        self.addCleanup(source.stand_in.stop)
        return source

    async def start_relay(self, *sources: str, max_descriptors: int | None = None, **table: Any) -> Relay:
        relay = Relay(RelayTable("127.0.0.1:0", sources, **table), "7", max_descriptors)
        await relay.listen()
        self.addAsyncCleanup(self.close_relay, relay)
        return relay

    async def close_relay(self, relay: Relay) -> None:
        with mock.patch.object(server_module, "SHUTDOWN_SPREAD_S", 0):
            await relay.close()

    async def start_ready_relay(self, *sources: str, **options: Any) -> Relay:
        """A relay that serves followers already."""
        relay = await self.start_relay(*sources, **options)
        await until(relay._is_ready)
        return relay

    async def open_follower(self, relay: Relay | str, query: str = "?watch=1") -> Follower:
        address = relay if isinstance(relay, str) else relay.address
        follower = await Follower(address, query).open()
        self.addCleanup(follower.close)
        return follower


class Forwarding(RelayCase):
    """What followers receive of the snapshots and deltas of a source."""

    async def test_a_follower_of_some_services_gets_only_their_entries_with_the_sources_generations(
        self,
    ) -> None:
        source = await self.start_source()
        relay = await self.start_ready_relay(source.stand_in.address)
        of_a = await self.open_follower(relay, "?watch=1&services=a")
        of_b = await self.open_follower(relay, "?watch=1&after=10&services=b,no%2Cne")
        await until(lambda: bool(of_a.objects))
        self.assertEqual(of_a.objects[0], server_list(10, True, *source.entries[:2]))
        source.change(service_entry("a", "a1", "Terminating", odd=[1]))
        await until(lambda: len(of_a.objects) == 2)
        self.assertEqual(
            of_a.objects[1], server_list(11, False, service_entry("a", "a1", "Terminating", odd=[1]))
        )
        self.assertEqual(of_b.objects, [])
        self.assertIn(b"Age: 0\r\n", of_a.head)
        snapshot = await self.open_follower(relay, "?services=b")
        self.assertIn(b"Age: 0\r\n", snapshot.head)
        self.assertEqual(parse_query("/x?watch=1&services=b,no%2Cne"), (True, -1, ("b", "no,ne")))

    async def test_a_node_behind_two_relays_follows_the_source(self) -> None:
        source = await self.start_source()
        server = await self.stand_in()
        source.entries = [{**service_entry("a", "s0"), "hostPort": server.address}, service_entry("b", "b1")]
        first = await self.start_ready_relay(source.stand_in.address)
        second = await self.start_ready_relay(first.address)
        operator_file = OperatorFile(lists=ListsTable((second.address,), ("a",)))
        running = RunningNode(config(server_list(1, True), pushed=True))
        with mock.patch("tests.standins.Node", lambda settings: Node(settings, None, operator_file)):
            node = await self.enterAsyncContext(running)
        await until(lambda: list(node.node.balancer.servers) == ["s0"])
        self.assertEqual((await (await node.caller()).ask())[0], 200)
        source.change(service_entry("a", "s0", "Gone"))
        await until(lambda: not node.node.balancer.servers)
        self.assertEqual(node.node.discovery.version, 11)

    async def test_a_slow_follower_has_one_write_buffered_and_gets_later_changes_coalesced(self) -> None:
        source = await self.start_source()
        with mock.patch.object(server_module, "SEND_BUFFER_BYTES", 4096):
            relay = await self.start_ready_relay(source.stand_in.address)
            connection = await asyncio.open_connection(*relay.address.split(":"), limit=1024)
            reader, writer = connection
            self.addCleanup(writer.close)
            writer.write(b"GET /v1/endpoints?watch=1&after=10&services=a HTTP/1.1\r\nHost: r\r\n\r\n")
            await until(lambda: len(relay.followers) == 1)
            slow = next(iter(relay.followers))
            padding = "x" * 300_000
            for count in range(40):
                source.change(service_entry("a", "a1", padding=padding, cell=count))
                await until(lambda: relay.state.generation == source.generation)
                self.assertLess(slow.transport.get_write_buffer_size(), 700_000)
            self.assertLess(relay.objects_sent, 30)
            sent_before = relay.objects_sent
            source.change(service_entry("a", "a2", "Gone"))
            text = b""
            while b'"Gone"' not in text[-400_000:]:
                text += await asyncio.wait_for(reader.read(1 << 20), 5)
            self.assertLessEqual(relay.objects_sent, sent_before + 2)
            self.assertNotIn(b'"reset":true', text)
            self.assertIn(b'"cell":39', text)


class Liveness(RelayCase):
    """What counts as a sign of a live source, and which heartbeats and ages a relay forwards."""

    async def test_a_silent_source_stops_the_heartbeats_at_every_relay(self) -> None:
        source = await self.start_source()
        with mock.patch.object(server_module, "MIN_HEARTBEAT_INTERVAL_US", 0):
            first = await self.start_ready_relay(source.stand_in.address)
            second = await self.start_ready_relay(first.address)
            follower = await self.open_follower(second, "?watch=1&after=10&services=b")
            for count in range(1, 4):
                source.broadcast(b"\n")
                await until(lambda count=count: follower.heartbeats >= count)  # type: ignore[misc]
            heartbeats = follower.heartbeats
            await asyncio.sleep(0.2)
            self.assertEqual((follower.heartbeats, follower.objects), (heartbeats, []))
            # A change of another service is a heartbeat too: an empty delta with the new generation.
            source.change(service_entry("a", "a1"))
            await until(lambda: len(follower.objects) == 1)
            self.assertEqual(follower.objects[0], server_list(11, False))

    async def test_a_reconnect_to_a_stale_relay_does_not_count_as_liveness(self) -> None:
        source = await self.start_source()
        first = await self.start_ready_relay(source.stand_in.address)
        second = await self.start_ready_relay(first.address)
        source.stand_in.stop()
        for writer in list(source.writers):
            writer.transport.abort()
        stale_us = first.selector.last_contact_us - 20_000_000
        first.selector.last_contact_us = second.selector.last_contact_us = stale_us
        follower = await self.open_follower(second, "?watch=1&after=10&services=b")
        second.link.reconnect()
        await until(lambda: len(first.followers) == 1)
        fresh = await self.open_follower(first, "?watch=1")
        await until(lambda: bool(fresh.objects))
        await asyncio.sleep(0.1)
        self.assertEqual((follower.heartbeats, follower.objects, fresh.names()), (0, [], ["a1", "a2", "b1"]))
        self.assertRegex(fresh.head, rb"Age: 2\d\r\n")
        self.assertLess(second.selector.last_contact_us, stale_us + 2_000_000)

    async def test_a_silent_or_closed_source_is_replaced_from_the_generation_held(self) -> None:
        good = await self.start_source()
        for fault in ("silent", "aborted", "closed"):

            async def respond(seen: Message, reader: Any, writer: Any, fault: str = fault) -> None:
                if "watch" not in seen.line:
                    writer.write(answer(200, encode_line(10, True, service_entry("a", "a1"))))
                    return
                writer.write(CHUNKED_HEAD + chunked(b"\n"))
                await (asyncio.sleep(0.05) if fault != "silent" else reader.read())
                (writer.transport.abort if fault == "aborted" else writer.close)()

            with self.subTest(fault), mock.patch.object(link_module, "LIVENESS_TIMEOUT_US", 300_000):
                faulty = await self.stand_in(respond)
                good.first_objects = {10: encode_line(11, False, service_entry("a", "a9"))}
                relay = await self.start_relay(faulty.address, good.stand_in.address)
                relay.selector.addresses, relay.selector.index = [faulty.address, good.stand_in.address], 0
                await until(relay._is_ready)
                follower = await self.open_follower(relay, "?watch=1&after=10")
                await until(lambda f=follower: bool(f.objects), 3.0)  # type: ignore[misc]
                self.assertEqual((follower.objects[0]["reset"], follower.names()), (False, ["a9"]))
                self.assertIn("after=10", good.stand_in.seen[-1].line)


class InvalidSources(RelayCase):
    """Sources that send invalid or older objects, or were reset to an earlier generation."""

    async def test_an_invalid_object_is_logged_once_and_not_forwarded(self) -> None:
        valid = encode_line(11, False, service_entry("a", "bad"))
        for name, text, reason in (
            ("unreadable", valid.replace(b"instanceId", b"id"), "unreadable, KeyError"),
            ("no object", b"[1]\n", "no object begins"),
            ("oversized", b"{" + b" " * 3000, "more than 2000 bytes"),
            (
                "out of order",
                encode_line(9, False, service_entry("a", "bad")),
                "older data of generation 9, held is generation 10",
            ),
            (
                "out of order, snapshot",
                encode_line(9, True, service_entry("a", "bad")),
                "older data of generation 9",
            ),
        ):
            source = await self.start_source()
            with (
                self.subTest(name),
                mock.patch("coraldeal.net.wire.MAX_OBJECT_BYTES", 2000),
                self.assertLogs("coraldeal.relay.link", "WARNING") as logs,
            ):
                relay = await self.start_ready_relay(source.stand_in.address)
                follower = await self.open_follower(relay, "?watch=1&after=10")
                await until(lambda s=source: len(s.writers) == 1)  # type: ignore[misc]
                source.broadcast(text)
                await until(lambda s=source: len(s.stand_in.seen) >= 3)  # type: ignore[misc]
                await until(lambda s=source: bool(s.writers))  # type: ignore[misc]
                # The relay opens the next watch from the generation held, and goes on.
                self.assertIn("after=10", source.stand_in.seen[-1].line)
                source.generation = 10
                source.change(service_entry("a", "good"))
                await until(lambda f=follower: bool(f.objects))  # type: ignore[misc]
                self.assertEqual((len(follower.objects), follower.names()), (1, ["good"]))
                pairs = [record.__dict__["pairs"] for record in logs.records]
                self.assertEqual(len(pairs), 1)
                self.assertIn(reason, pairs[0]["why"])
                self.assertEqual(pairs[0]["source"], source.stand_in.address)

    async def test_a_reset_source_begins_a_new_epoch_at_every_relay(self) -> None:
        source = await self.start_source()
        with mock.patch.object(server_module, "GENERATION_QUERY_INTERVAL_S", 0.05):
            first = await self.start_ready_relay(source.stand_in.address)
            second = await self.start_ready_relay(first.address)
            follower = await self.open_follower(second, "?watch=1&after=10")
            source.generation, source.entries = 4, [service_entry("a", "old")]
            for writer in list(source.writers):
                writer.transport.abort()
            await until(lambda: bool(follower.objects))
            self.assertEqual(follower.objects[-1], server_list(4, True, service_entry("a", "old")))
            self.assertEqual((first.state.epoch, second.state.epoch), (1, 1))

    async def test_a_follower_ahead_gets_a_snapshot_only_if_the_source_is_behind_it_too(self) -> None:
        source = await self.start_source()
        with mock.patch.object(server_module, "GENERATION_QUERY_INTERVAL_S", 0.05):
            relay = await self.start_ready_relay(source.stand_in.address)
            # The source is at a newer generation, but the relay has not received its delta.
            source.generation = 12
            ahead = await self.open_follower(relay, "?watch=1&after=12")
            other_epoch = await self.open_follower(relay, "?watch=1&after=90")
            await until(lambda: bool(other_epoch.objects))
            self.assertEqual(
                (other_epoch.objects[0]["generation"], other_epoch.objects[0]["reset"]), (10, True)
            )
            source.broadcast(b"\n")
            await until(lambda: other_epoch.heartbeats > 0)
            self.assertEqual((ahead.objects, ahead.heartbeats), ([], 0))
            source.broadcast(
                encode_line(12, False, service_entry("a", "a1"))
                + encode_line(13, False, service_entry("a", "a2", "Terminating"))
            )
            await until(lambda: bool(ahead.objects))
            self.assertEqual((ahead.objects[0]["reset"], ahead.names(0)), (False, ["a2"]))


class StartAndShutdown(RelayCase):
    """The answers before the first snapshot, at shutdown and at the limit of followers."""

    async def test_before_the_first_snapshot_a_follower_gets_503(self) -> None:
        with self.assertLogs("coraldeal.relay", "INFO") as logs:
            relay = await self.start_relay("127.0.0.1:1")
            follower = await self.open_follower(relay)
            self.assertEqual(follower.status, 503)
            self.assertIn(b"Retry-After: 1\r\n", follower.head)
            await until(lambda: len(logs.records) >= 2)
        self.assertEqual(logs.records[0].getMessage(), "relay up, no list yet")
        self.assertIn("127.0.0.1:1", str(logs.records[1].__dict__["pairs"]["source"]))

    async def test_an_empty_snapshot_counts_as_a_list(self) -> None:
        source = await self.start_source()
        source.generation, source.entries = 0, []
        relay = await self.start_ready_relay(source.stand_in.address)
        follower = await self.open_follower(relay)
        await until(lambda: bool(follower.objects))
        self.assertEqual(follower.objects[0], server_list(0, True))
        source.change(service_entry("a", "a1"))
        await until(lambda: len(follower.objects) == 2)

    async def test_a_restarted_relay_sends_deltas_to_earlier_followers(self) -> None:
        source = await self.start_source()
        source.first_objects = {
            0: encode_line(10, False, service_entry("a", "a2"), service_entry("b", "b0", "Gone"))
        }
        relay = await self.start_ready_relay(source.stand_in.address)
        followers = [await self.open_follower(relay, "?watch=1&after=7") for _ in range(20)]
        await until(lambda: all(follower.objects for follower in followers))
        for follower in followers:
            self.assertEqual((follower.objects[0]["reset"], follower.names(0)), (False, ["b0", "a2"]))

    async def test_at_shutdown_every_watch_ends_with_the_last_chunk(self) -> None:
        source = await self.start_source()
        relay = await self.start_ready_relay(source.stand_in.address)
        followers = [await self.open_follower(relay, "?watch=1&after=10") for _ in range(5)]
        await until(lambda: len(relay.followers) == 5)
        with mock.patch.object(server_module, "SHUTDOWN_SPREAD_S", 0.2):
            await relay.close()
        await until(lambda: all(follower.has_ended for follower in followers))
        self.assertTrue(all(follower.has_last_chunk for follower in followers))

    async def test_at_the_limit_a_new_follower_gets_503_and_served_ones_go_on(self) -> None:
        source = await self.start_source()
        with self.assertLogs("coraldeal.relay.server", "WARNING") as logs:
            relay = await self.start_ready_relay(source.stand_in.address, max_descriptors=16)
            self.assertEqual((relay.limit, relay.reserve), (12, 4))
            served = [await self.open_follower(relay, "?watch=1&after=10") for _ in range(12)]
            beyond_limit = await self.open_follower(relay, "?watch=1&after=10")
            self.assertEqual(beyond_limit.status, 503)
            idle_connections = [await asyncio.open_connection(*relay.address.split(":")) for _ in range(6)]
            source.change(service_entry("a", "a1"))
            await until(lambda: all(follower.objects for follower in served))
            self.assertIn("followers at their limit", logs.output[0])
            for _, writer in idle_connections:
                writer.close()
        served[0].close()
        await until(lambda: len(relay.followers) == 11)
        with mock.patch.object(server_module, "REQUEST_TIMEOUT_S", 0.1):
            next_follower = await self.open_follower(relay, "?watch=1&after=11")
        self.assertEqual(next_follower.status, 200)


class SourceFailover(RelayCase):
    """A node's watch, which is reopened at the next of several relays or sources."""

    async def test_after_a_silent_or_ended_watch_a_node_gets_deltas_from_another_relay(self) -> None:
        source = await self.start_source()
        good = await self.start_ready_relay(source.stand_in.address)
        snapshot = encode_line(10, True, service_entry("a", "a1"))
        for name, respond in (
            ("silent", watch(snapshot)),
            ("ended", watch(snapshot, then=lambda: asyncio.sleep(0))),
        ):
            with self.subTest(name), mock.patch.object(discovery_module, "LIVENESS_TIMEOUT", 0.3):
                faulty = await self.stand_in(respond)
                lists: list[ServerList] = []
                failures: list[int] = []
                discovery = Discovery(
                    None,
                    lambda text: parse_server_list(text, 0),
                    lists.append,
                    lambda: failures.append(1),  # noqa: B023
                    ("a",),
                    (faulty.address, good.address),
                    "7",
                )
                discovery.sources = [faulty.address, good.address]
                discovery.address = faulty.address
                discovery.follow()
                await until(lambda: len(good.followers) == 1)
                source.change(service_entry("a", "a1", "Terminating"))
                await until(lambda received=lists: len(received) == 2)  # type: ignore[misc]
                self.assertEqual((lists[1].is_snapshot, failures), (False, []))
                await discovery.close()
                await until(lambda: not good.followers)
                source.generation -= 1
                good.state.generation = 10

    async def test_failure_of_all_sources_is_reported_and_each_node_has_its_own_order(self) -> None:
        failed = asyncio.Event()
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        with mock.patch.object(discovery_module, "MAX_SOURCE_SWITCH_DELAY", 0.01):
            discovery = Discovery(
                None, lambda t: parse_server_list(t, 0), print, failed.set, (), addresses, "7"
            )
            discovery.follow()
            await asyncio.wait_for(failed.wait(), 3)
        first_addresses = {
            Discovery(
                None, lambda t: parse_server_list(t, 0), print, print, (), addresses, str(seed)
            ).address: None
            for seed in range(40)
        }
        self.assertEqual(sorted(map(str, first_addresses)), addresses)


class OperatorTables(unittest.TestCase):
    """The tables `[relay]` and `[lists]` of the operator's file."""

    def test_an_invalid_key_raises_an_error_that_names_it(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "operator.toml"
        for text, message in (
            ('[relay]\nlisten = "x"', "relay.listen: .* address:port"),
            ("[relay]\nlisten = 5", "relay.listen: 5 is not text"),
            ('[relay]\nsources = "127.0.0.1:1"', "relay.sources: .* list of texts"),
            ('[relay]\nsources = ["127.0.0.1:1", "127.0.0.1:1"]', "relay.sources: .* different"),
            ("[relay]\nfollowers = 0", "relay.followers: 0 is below 1"),
            ("[relay]\nfollowers = 1.5", "relay.followers: 1.5 is not a whole number"),
            ("[lists]\nsources = [1]", "lists.sources: .* list of texts"),
            ('[lists]\nsource = ["127.0.0.1:1"]', "lists.source: no such key"),
        ):
            path.write_text(text)
            with self.subTest(text), self.assertRaisesRegex(SettingsError, message):
                read_operator_file(str(path))
        path.write_text('[relay]\nlisten = "127.0.0.1:0"\nsources = ["127.0.0.1:1"]\nfollowers = 5')
        self.assertEqual(
            read_operator_file(str(path)).relay, RelayTable("127.0.0.1:0", ("127.0.0.1:1",), (), 5)
        )
        with self.assertRaisesRegex(SettingsError, "relay needs both"):
            asyncio.run(self.create_relay_without_table())

    async def create_relay_without_table(self) -> Relay:
        return Relay(RelayTable(), "7")
