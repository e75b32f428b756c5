"""What is still owed at the instant something ends, each crossing forced; docs/endings.md is their table."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any
from unittest import mock

from coraldeal.net import discovery as discovery_module
from coraldeal.net import wire
from coraldeal.net.wire import Objects
from tests.standins import (
    SETTINGS,
    Played,
    RunningNode,
    Seen,
    StandIn,
    chunked,
    config,
    entry,
    never_answer,
    serve_well,
    server_list,
    until,
    watch,
)


class EndingCase(unittest.IsolatedAsyncioTestCase):
    async def stand_in(self, play: Played = serve_well) -> StandIn:
        stand_in = await StandIn(play).start()
        self.addCleanup(stand_in.stop)
        return stand_in

    async def node(self, *servers: StandIn, **told: Any) -> RunningNode:
        entries = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        return await self.enterAsyncContext(RunningNode(config(server_list(1, True, *entries), **told)))


def indented(told: dict[str, Any]) -> bytes:
    """With a blank line inside, as printers of JSON may leave one."""
    return json.dumps(told, indent=2).replace("[\n", "[\n\n", 1).encode() + b"\n"


class Watches(EndingCase):
    """A watch that ends in silence, in the middle of an object, or at a discovery that was set back."""

    def setUp(self) -> None:
        # The module's own wait for a further call is 100 s: what comes within a test is opened at once.
        self.rules = {**SETTINGS["rules"], "ask_every_ns": 1000 * 10**9}

    async def watched(self, play: Played, **told: Any) -> tuple[RunningNode, StandIn]:
        discovery = await self.stand_in(play)
        # Lists are pushed, so that the first call is at once too; the waits after it are the module's or not.
        node = await self.node(await self.stand_in(), discovery=discovery.address, **told)
        node.node.discovery.follow()
        return node, discovery

    def test_objects_are_found_however_they_are_cut(self) -> None:
        first = {"a": 'a } in "quotes" \\', "b": [{"c": {}}, "{{"], "d": "\n"}
        second = {"e": "é\t"}
        text = indented(first) + b"\n\n" + json.dumps(second).encode() + json.dumps({}).encode() + b"\n"
        for size in range(1, len(text) + 1):
            objects = Objects()
            whole = [o for at in range(0, len(text), size) for o in objects.feed(text[at : at + size])]
            self.assertEqual([json.loads(one) for one in whole], [first, second, {}])
        for bad in (b"x", b"[]", b"  \n}", b"{} nonsense"):
            with self.subTest(bad=bad), self.assertRaises(ValueError):
                Objects().feed(bad)

    async def test_an_indented_list_is_read_and_so_is_what_follows(self) -> None:
        new, other = await self.stand_in(), await self.stand_in()
        told = indented(server_list(2, True, entry("new", new.address)))
        more = indented(server_list(3, False, entry("other", other.address)))
        node, discovery = await self.watched(watch(told[:50], told[50:] + more[:7], more[7:]))
        await until(lambda: list(node.node.balancer.servers) == ["new", "other"])
        self.assertEqual(len(discovery.seen), 1)

    async def test_an_object_is_news_with_its_last_brace(self) -> None:
        told = json.dumps(server_list(3, False, entry("s0", "127.0.0.1:1", "Gone"))).encode()
        node, _ = await self.watched(watch(told))
        await until(lambda: not node.node.balancer.servers)

    async def test_a_watch_that_fell_silent_is_opened_anew_at_once(self) -> None:
        line = json.dumps(server_list(2, False)).encode() + b"\n"
        dribble = chunked(*([b" "] * 400))

        async def dribbles(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await watch(line, b'{"generation": 3,', then=lambda: self.drip(writer, dribble))(
                seen, reader, writer
            )

        for name, play in (
            ("from the first byte", never_answer),
            ("behind its first line", watch(line)),
            ("within an object", watch(line, b'{"generation": 3,')),
            ("that dribbles", dribbles),
        ):
            with self.subTest(name), mock.patch.object(discovery_module, "SILENCE", 0.2):
                _, discovery = await self.watched(play, rules=self.rules)
                await until(lambda d=discovery: len(d.seen) >= 3, 3.0)  # type: ignore[misc]
                self.assertIn("after=", discovery.seen[2].line)

    async def drip(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        for at in range(0, len(data), 6):
            if writer.is_closing():
                break
            writer.write(data[at : at + 6])
            await asyncio.sleep(0.01)

    async def test_blank_lines_keep_a_watch(self) -> None:
        line = json.dumps(server_list(2, False)).encode() + b"\n"
        blanks = chunked(*([b"\n"] * 80))

        async def beats(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await watch(line, then=lambda: self.drip(writer, blanks))(seen, reader, writer)

        with mock.patch.object(discovery_module, "SILENCE", 0.3):
            node, discovery = await self.watched(beats, rules=self.rules)
            await until(lambda: discovery.closed == 1)
        self.assertEqual(len(discovery.seen), 1)

    async def test_versions_that_go_back_ask_for_the_whole_list(self) -> None:
        old = json.dumps(server_list(40, True, entry("a", "127.0.0.1:1"), entry("b", "127.0.0.1:2"))).encode()
        back = json.dumps(server_list(3, False, entry("a", "127.0.0.1:1", "Terminating"))).encode()
        node, discovery = await self.watched(watch(old, back), pushed=True)
        await until(lambda: len(discovery.seen) >= 2)
        self.assertEqual(discovery.seen[1].line, "GET /v1/endpoints?watch=1 HTTP/1.1")
        # What was told of a drain holds all the same.
        self.assertNotIn("a", node.node.balancer.servers)

    async def test_an_object_without_end_is_not_kept_for_good(self) -> None:
        line = json.dumps(server_list(2, False)).encode() + b"\n"
        with (
            mock.patch.object(wire, "OBJECT_MOST", 1000),
            self.assertLogs("coraldeal.net.discovery", "INFO") as logs,
        ):
            _, discovery = await self.watched(watch(line, b"{" + b" " * 2000), pushed=True)
            await until(lambda: len(discovery.seen) >= 2)
        self.assertIn("1000 bytes", str(logs.records[0].__dict__["pairs"]))
        self.assertNotIn("after=", discovery.seen[1].line)
