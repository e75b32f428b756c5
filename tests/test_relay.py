"""The relay on loopback: one test for each hard case, between a stand-in of the source and followers."""

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
from coraldeal.net.wire import ServerList, read_list
from coraldeal.operator import ListsTable, OperatorFile, RelayTable, read_operator
from coraldeal.relay import link as link_module
from coraldeal.relay import server as server_module
from coraldeal.relay.server import Relay, parse_query
from tests.standins import (
    CHUNKED_HEAD,
    NodeCase,
    RunningNode,
    Seen,
    StandIn,
    answer,
    chunked,
    config,
    entry,
    server_list,
    until,
    watch,
)


def of(service: str, name: str, lifecycle: str = "Ready", **more: Any) -> dict[str, Any]:
    return {**entry(name, "127.0.0.1:1", lifecycle), "service": service, **more}


def line(*told: Any) -> bytes:
    return json.dumps(server_list(*told)).encode() + b"\n"


class Source:
    """A source that holds watches and says what a test wants."""

    def __init__(self) -> None:
        self.version = 10
        self.entries = [of("a", "a1"), of("a", "a2"), of("b", "b1")]
        self.writers: list[asyncio.StreamWriter] = []
        # What a watch is told first, by what it asked `after`; None: nothing.
        self.first: dict[int, bytes] = {}
        self.stand_in = StandIn(self.play)

    async def play(self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        path = seen.line.split()[1]
        if "watch" not in path:
            writer.write(answer(200, line(self.version, True, *self.entries)))
            return
        after = int(path.partition("after=")[2].partition("&")[0] or -1)
        writer.write(CHUNKED_HEAD)
        if after > self.version:
            writer.write(chunked(line(self.version, True, *self.entries)))
        elif after in self.first:
            writer.write(chunked(self.first[after]))
        else:
            writer.write(chunked(b"\n"))
        self.writers.append(writer)
        await reader.read()
        self.writers.remove(writer)

    def say(self, text: bytes) -> None:
        for writer in self.writers:
            writer.write(chunked(text))

    def change(self, *entries: dict[str, Any]) -> None:
        self.version += 1
        self.say(line(self.version, False, *entries))


class Follower:
    """A follower's connection, read as it comes."""

    def __init__(self, address: str, query: str) -> None:
        self.address, self.query = address, query
        self.told: list[dict[str, Any]] = []
        self.beats = 0
        self.head = b""
        self.ended = False
        self.last_chunk = False

    async def open(self) -> Follower:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 26)
        self.writer.write(f"GET /v1/endpoints{self.query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        self.head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    @property
    def status(self) -> int:
        return int(self.head.split()[1])

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                text = (await self.reader.readexactly(size + 2))[:-2]
                if text == b"\n":
                    self.beats += 1
                else:
                    self.told.append(json.loads(text))
            self.last_chunk = True
        self.ended = True

    def names(self, at: int = -1) -> list[str]:
        return [item["instanceId"] for item in self.told[at]["instances"]]

    def leave(self) -> None:
        self.writer.close()
        self.task.cancel()


class RelayCase(NodeCase):
    async def source(self) -> Source:
        source = Source()
        await source.stand_in.start()
        self.addCleanup(source.stand_in.stop)
        return source

    async def relay(self, *sources: str, sockets: int | None = None, **table: Any) -> Relay:
        relay = Relay(RelayTable("127.0.0.1:0", sources, **table), "7", sockets)
        await relay.listen()
        self.addAsyncCleanup(self.end, relay)
        return relay

    async def end(self, relay: Relay) -> None:
        with mock.patch.object(server_module, "SHUTDOWN_SPREAD_S", 0):
            await relay.close()

    async def ready(self, *sources: str, **told: Any) -> Relay:
        relay = await self.relay(*sources, **told)
        await until(relay._is_ready)
        return relay

    async def follower(self, relay: Relay | str, query: str = "?watch=1") -> Follower:
        address = relay if isinstance(relay, str) else relay.address
        follower = await Follower(address, query).open()
        self.addCleanup(follower.leave)
        return follower


class Passing(RelayCase):
    async def test_only_what_was_asked_for_with_the_sources_generations(self) -> None:
        source = await self.source()
        relay = await self.ready(source.stand_in.address)
        of_a = await self.follower(relay, "?watch=1&services=a")
        of_b = await self.follower(relay, "?watch=1&after=10&services=b,no%2Cne")
        await until(lambda: bool(of_a.told))
        self.assertEqual(of_a.told[0], server_list(10, True, *source.entries[:2]))
        source.change(of("a", "a1", "Terminating", odd=[1]))
        await until(lambda: len(of_a.told) == 2)
        self.assertEqual(of_a.told[1], server_list(11, False, of("a", "a1", "Terminating", odd=[1])))
        self.assertEqual(of_b.told, [])
        self.assertIn(b"Age: 0\r\n", of_a.head)
        whole = await self.follower(relay, "?services=b")
        self.assertIn(b"Age: 0\r\n", whole.head)
        self.assertEqual(parse_query("/x?watch=1&services=b,no%2Cne"), (True, -1, ("b", "no,ne")))

    async def test_a_node_cannot_tell_a_relay_from_its_source(self) -> None:
        source = await self.source()
        server = await self.stand_in()
        source.entries = [{**of("a", "s0"), "hostPort": server.address}, of("b", "b1")]
        first = await self.ready(source.stand_in.address)
        second = await self.ready(first.address)
        own = OperatorFile(lists=ListsTable((second.address,), ("a",)))
        running = RunningNode(config(server_list(1, True), pushed=True))
        with mock.patch("tests.standins.Node", lambda told: Node(told, None, own)):
            node = await self.enterAsyncContext(running)
        await until(lambda: list(node.node.balancer.servers) == ["s0"])
        self.assertEqual((await (await node.caller()).ask())[0], 200)
        source.change(of("a", "s0", "Gone"))
        await until(lambda: not node.node.balancer.servers)
        self.assertEqual(node.node.discovery.version, 11)

    async def test_a_slow_follower_is_owed_one_write_and_gets_the_rest_folded(self) -> None:
        source = await self.source()
        with mock.patch.object(server_module, "SEND_BUFFER_BYTES", 4096):
            relay = await self.ready(source.stand_in.address)
            near = await asyncio.open_connection(*relay.address.split(":"), limit=1024)
            reader, writer = near
            self.addCleanup(writer.close)
            writer.write(b"GET /v1/endpoints?watch=1&after=10&services=a HTTP/1.1\r\nHost: r\r\n\r\n")
            await until(lambda: len(relay.followers) == 1)
            slow = next(iter(relay.followers))
            big = "x" * 300_000
            for count in range(40):
                source.change(of("a", "a1", note=big, cell=count))
                await until(lambda: relay.state.generation == source.version)
                self.assertLess(slow.transport.get_write_buffer_size(), 700_000)
            self.assertLess(relay.objects_sent, 30)
            told = relay.objects_sent
            source.change(of("a", "a2", "Gone"))
            text = b""
            while b'"Gone"' not in text[-400_000:]:
                text += await asyncio.wait_for(reader.read(1 << 20), 5)
            self.assertLessEqual(relay.objects_sent, told + 2)
            self.assertNotIn(b'"reset":true', text)
            self.assertIn(b'"cell":39', text)


class Life(RelayCase):
    async def test_a_silent_source_makes_silence_at_every_hop(self) -> None:
        source = await self.source()
        with mock.patch.object(server_module, "MIN_HEARTBEAT_INTERVAL_US", 0):
            first = await self.ready(source.stand_in.address)
            second = await self.ready(first.address)
            follower = await self.follower(second, "?watch=1&after=10&services=b")
            for count in range(1, 4):
                source.say(b"\n")
                await until(lambda count=count: follower.beats >= count)  # type: ignore[misc]
            beats = follower.beats
            await asyncio.sleep(0.2)
            self.assertEqual((follower.beats, follower.told), (beats, []))
            # A change of what it does not follow is life too, and tells the generation.
            source.change(of("a", "a1"))
            await until(lambda: len(follower.told) == 1)
            self.assertEqual(follower.told[0], server_list(11, False))

    async def test_who_connects_anew_to_a_stale_relay_takes_it_for_no_life(self) -> None:
        source = await self.source()
        first = await self.ready(source.stand_in.address)
        second = await self.ready(first.address)
        source.stand_in.stop()
        for writer in list(source.writers):
            writer.transport.abort()
        old = first.selector.last_contact_us - 20_000_000
        first.selector.last_contact_us = second.selector.last_contact_us = old
        follower = await self.follower(second, "?watch=1&after=10&services=b")
        second.link.reconnect()
        await until(lambda: len(first.followers) == 1)
        fresh = await self.follower(first, "?watch=1")
        await until(lambda: bool(fresh.told))
        await asyncio.sleep(0.1)
        self.assertEqual((follower.beats, follower.told, fresh.names()), (0, [], ["a1", "a2", "b1"]))
        self.assertRegex(fresh.head, rb"Age: 2\d\r\n")
        self.assertLess(second.selector.last_contact_us, old + 2_000_000)

    async def test_a_silent_a_hanging_and_a_dead_source_are_left_with_after(self) -> None:
        good = await self.source()
        for bad in ("silent", "dead", "hang up"):

            async def play(seen: Seen, reader: Any, writer: Any, bad: str = bad) -> None:
                if "watch" not in seen.line:
                    writer.write(answer(200, line(10, True, of("a", "a1"))))
                    return
                writer.write(CHUNKED_HEAD + chunked(b"\n"))
                await (asyncio.sleep(0.05) if bad != "silent" else reader.read())
                (writer.transport.abort if bad == "dead" else writer.close)()

            with self.subTest(bad), mock.patch.object(link_module, "LIVENESS_TIMEOUT_US", 300_000):
                other = await self.stand_in(play)
                good.first = {10: line(11, False, of("a", "a9"))}
                relay = await self.relay(other.address, good.stand_in.address)
                relay.selector.addresses, relay.selector.index = [other.address, good.stand_in.address], 0
                await until(relay._is_ready)
                follower = await self.follower(relay, "?watch=1&after=10")
                await until(lambda f=follower: bool(f.told), 3.0)  # type: ignore[misc]
                self.assertEqual((follower.told[0]["reset"], follower.names()), (False, ["a9"]))
                self.assertIn("after=10", good.stand_in.seen[-1].line)


class Refusals(RelayCase):
    async def test_what_cannot_be_taken_is_told_once_and_passed_to_nobody(self) -> None:
        cut = line(11, False, of("a", "bad"))
        for name, text, word in (
            ("unreadable", cut.replace(b"instanceId", b"id"), "unreadable, KeyError"),
            ("no object", b"[1]\n", "no object begins"),
            ("oversized", b"{" + b" " * 3000, "more than 2000 bytes"),
            (
                "out of order",
                line(9, False, of("a", "bad")),
                "older data of generation 9, held is generation 10",
            ),
            ("out of order, whole", line(9, True, of("a", "bad")), "older data of generation 9"),
        ):
            source = await self.source()
            with (
                self.subTest(name),
                mock.patch("coraldeal.net.wire.OBJECT_MOST", 2000),
                self.assertLogs("coraldeal.relay.link", "WARNING") as logs,
            ):
                relay = await self.ready(source.stand_in.address)
                follower = await self.follower(relay, "?watch=1&after=10")
                await until(lambda s=source: len(s.writers) == 1)  # type: ignore[misc]
                source.say(text)
                await until(lambda s=source: len(s.stand_in.seen) >= 3)  # type: ignore[misc]
                await until(lambda s=source: bool(s.writers))  # type: ignore[misc]
                # The next link asks from what is held, and goes on.
                self.assertIn("after=10", source.stand_in.seen[-1].line)
                source.version = 10
                source.change(of("a", "good"))
                await until(lambda f=follower: bool(f.told))  # type: ignore[misc]
                self.assertEqual((len(follower.told), follower.names()), (1, ["good"]))
                pairs = [record.__dict__["pairs"] for record in logs.records]
                self.assertEqual(len(pairs), 1)
                self.assertIn(word, pairs[0]["why"])
                self.assertEqual(pairs[0]["source"], source.stand_in.address)

    async def test_a_source_set_back_is_another_history_at_every_hop(self) -> None:
        source = await self.source()
        with mock.patch.object(server_module, "GENERATION_QUERY_INTERVAL_S", 0.05):
            first = await self.ready(source.stand_in.address)
            second = await self.ready(first.address)
            follower = await self.follower(second, "?watch=1&after=10")
            source.version, source.entries = 4, [of("a", "old")]
            for writer in list(source.writers):
                writer.transport.abort()
            await until(lambda: bool(follower.told))
            self.assertEqual(follower.told[-1], server_list(4, True, of("a", "old")))
            self.assertEqual((first.state.epoch, second.state.epoch), (1, 1))

    async def test_a_follower_ahead_waits_unless_the_source_itself_is_behind_it(self) -> None:
        source = await self.source()
        with mock.patch.object(server_module, "GENERATION_QUERY_INTERVAL_S", 0.05):
            relay = await self.ready(source.stand_in.address)
            # The source has gone on, but what it says has not come here.
            source.version = 12
            ahead = await self.follower(relay, "?watch=1&after=12")
            wrong = await self.follower(relay, "?watch=1&after=90")
            await until(lambda: bool(wrong.told))
            self.assertEqual((wrong.told[0]["generation"], wrong.told[0]["reset"]), (10, True))
            source.say(b"\n")
            await until(lambda: wrong.beats > 0)
            self.assertEqual((ahead.told, ahead.beats), ([], 0))
            source.say(line(12, False, of("a", "a1")) + line(13, False, of("a", "a2", "Terminating")))
            await until(lambda: bool(ahead.told))
            self.assertEqual((ahead.told[0]["reset"], ahead.names(0)), (False, ["a2"]))


class Phases(RelayCase):
    async def test_nobody_is_answered_before_there_is_a_list(self) -> None:
        with self.assertLogs("coraldeal.relay", "INFO") as logs:
            relay = await self.relay("127.0.0.1:1")
            follower = await self.follower(relay)
            self.assertEqual(follower.status, 503)
            self.assertIn(b"Retry-After: 1\r\n", follower.head)
            await until(lambda: len(logs.records) >= 2)
        self.assertEqual(logs.records[0].getMessage(), "relay up, no list yet")
        self.assertIn("127.0.0.1:1", str(logs.records[1].__dict__["pairs"]["source"]))

    async def test_an_empty_source_is_a_list(self) -> None:
        source = await self.source()
        source.version, source.entries = 0, []
        relay = await self.ready(source.stand_in.address)
        follower = await self.follower(relay)
        await until(lambda: bool(follower.told))
        self.assertEqual(follower.told[0], server_list(0, True))
        source.change(of("a", "a1"))
        await until(lambda: len(follower.told) == 2)

    async def test_a_restarted_relay_tells_followers_of_before_only_changes(self) -> None:
        source = await self.source()
        source.first = {0: line(10, False, of("a", "a2"), of("b", "b0", "Gone"))}
        relay = await self.ready(source.stand_in.address)
        followers = [await self.follower(relay, "?watch=1&after=7") for _ in range(20)]
        await until(lambda: all(follower.told for follower in followers))
        for follower in followers:
            self.assertEqual((follower.told[0]["reset"], follower.names(0)), (False, ["b0", "a2"]))

    async def test_at_the_end_watches_end_in_order(self) -> None:
        source = await self.source()
        relay = await self.ready(source.stand_in.address)
        followers = [await self.follower(relay, "?watch=1&after=10") for _ in range(5)]
        await until(lambda: len(relay.followers) == 5)
        with mock.patch.object(server_module, "SHUTDOWN_SPREAD_S", 0.2):
            await relay.close()
        await until(lambda: all(follower.ended for follower in followers))
        self.assertTrue(all(follower.last_chunk for follower in followers))

    async def test_at_the_limit_those_who_are_served_are_served_on(self) -> None:
        source = await self.source()
        with self.assertLogs("coraldeal.relay.server", "WARNING") as logs:
            relay = await self.ready(source.stand_in.address, sockets=16)
            self.assertEqual((relay.limit, relay.reserve), (12, 4))
            held = [await self.follower(relay, "?watch=1&after=10") for _ in range(12)]
            late = await self.follower(relay, "?watch=1&after=10")
            self.assertEqual(late.status, 503)
            near = [await asyncio.open_connection(*relay.address.split(":")) for _ in range(6)]
            source.change(of("a", "a1"))
            await until(lambda: all(follower.told for follower in held))
            self.assertIn("followers at their limit", logs.output[0])
            for _, writer in near:
                writer.close()
        held[0].leave()
        await until(lambda: len(relay.followers) == 11)
        with mock.patch.object(server_module, "REQUEST_TIMEOUT_S", 0.1):
            again = await self.follower(relay, "?watch=1&after=11")
        self.assertEqual(again.status, 200)


class Alternatives(RelayCase):
    """A node's watch that goes on at the next of several sources."""

    async def test_it_goes_on_elsewhere_with_after_when_a_relay_dies_or_falls_silent(self) -> None:
        source = await self.source()
        good = await self.ready(source.stand_in.address)
        whole = line(10, True, of("a", "a1"))
        for name, play in (
            ("silent", watch(whole)),
            ("ended", watch(whole, then=lambda: asyncio.sleep(0))),
        ):
            with self.subTest(name), mock.patch.object(discovery_module, "SILENCE", 0.3):
                bad = await self.stand_in(play)
                told: list[ServerList] = []
                failures: list[int] = []
                discovery = Discovery(
                    None,
                    lambda text: read_list(text, 0),
                    told.append,
                    lambda: failures.append(1),  # noqa: B023
                    ("a",),
                    (bad.address, good.address),
                    "7",
                )
                discovery.sources = [bad.address, good.address]
                discovery.address = bad.address
                discovery.follow()
                await until(lambda: len(good.followers) == 1)
                source.change(of("a", "a1", "Terminating"))
                await until(lambda t=told: len(t) == 2)  # type: ignore[misc]
                self.assertEqual((told[1].whole, failures), (False, []))
                await discovery.close()
                await until(lambda: not good.followers)
                source.version -= 1
                good.state.generation = 10

    async def test_all_failed_is_told_and_orders_differ(self) -> None:
        failed = asyncio.Event()
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        with mock.patch.object(discovery_module, "GO_ON_WITHIN", 0.01):
            discovery = Discovery(None, lambda t: read_list(t, 0), print, failed.set, (), addresses, "7")
            discovery.follow()
            await asyncio.wait_for(failed.wait(), 3)
        firsts = {
            Discovery(None, lambda t: read_list(t, 0), print, print, (), addresses, str(seed)).address: None
            for seed in range(40)
        }
        self.assertEqual(sorted(map(str, firsts)), addresses)


class Tables(unittest.TestCase):
    def test_keys_are_checked_and_named(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "own.toml"
        for text, word in (
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
            with self.subTest(text), self.assertRaisesRegex(SettingsError, word):
                read_operator(str(path))
        path.write_text('[relay]\nlisten = "127.0.0.1:0"\nsources = ["127.0.0.1:1"]\nfollowers = 5')
        self.assertEqual(read_operator(str(path)).relay, RelayTable("127.0.0.1:0", ("127.0.0.1:1",), (), 5))
        with self.assertRaisesRegex(SettingsError, "relay needs both"):
            asyncio.run(self.make())

    async def make(self) -> Relay:
        return Relay(RelayTable(), "7")
