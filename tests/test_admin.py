"""The operators' door: its lines, its bad callers, its figures against the stand-ins' own books, retuning."""

from __future__ import annotations

import asyncio
import copy
import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.admin import listener
from coraldeal.admin.commands import answer
from coraldeal.config import SettingsError, lacking, node_config, read_node_config
from coraldeal.net.servers import Connection, Endpoint
from coraldeal.net.wire import parse_server_list
from tests.standins import (
    SETTINGS,
    RunningNode,
    StandIn,
    config,
    entry,
    hang_up,
    serve_well,
    server_list,
    until,
)


class Desk:
    def can_serve(self) -> bool:
        return False

    def figures(self) -> dict[str, Any]:
        return {"loads": 1}

    def leave_out(self, server: str) -> bool:
        return server == "a"

    def put_back(self, server: str) -> bool:
        return server == "a"


class Lines(unittest.TestCase):
    def test_each_line_has_its_answer(self) -> None:
        for line, wanted in (
            (b"status", b"ERR this process"),
            (b" stats \r", b'{"loads":1}\nEND\n'),
            (b"maint-on a", b"OK\n"),
            (b"maint-on b", b"ERR no server b\n"),
            (b"maint-off a", b"OK\n"),
            (b"maint-off b", b"ERR no server b\n"),
            (b"maint-on", b"ERR maint-on takes one"),
            (b"maint-on a b", b"ERR maint-on takes one"),
            (b"status now", b"ERR status takes nothing"),
            (b"", b"ERR no such call"),
            (b"STATS", b"ERR no such call"),
            (b"\xff\xfe", b"ERR the line is not text"),
        ):
            with self.subTest(line):
                got = answer(line, Desk())
                self.assertTrue(got.startswith(wanted), got)
                self.assertTrue(got.endswith(b"\n"))


class DoorCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, *servers: StandIn, **told: Any) -> RunningNode:
        entries = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        given = replace(config(server_list(1, True, *entries), **told), operator=("127.0.0.1", 0))
        running = await self.enterAsyncContext(RunningNode(given))
        await until(lambda: running.node.can_serve())
        door = running.node.admin_listener
        assert door is not None and door.listener is not None
        self.port = door.listener.sockets[0].getsockname()[1]
        return running

    async def stand_in(self, play: Any = serve_well) -> StandIn:
        stand_in = await StandIn(play).start()
        self.addCleanup(stand_in.stop)
        return stand_in

    async def call(self, text: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text)
        try:
            return await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    async def figures(self) -> Any:
        text, _, end = (await self.call(b"stats\n")).partition(b"\n")
        self.assertEqual(end, b"END\n")
        return json.loads(text)


class Door(DoorCase):
    async def test_bad_callers_cost_no_one_else(self) -> None:
        await self.start(await self.stand_in())
        silent = [
            await asyncio.open_connection("127.0.0.1", self.port) for _ in range(listener.CALLERS_MOST + 4)
        ]
        silent[-1][1].write(b"stat")
        self.assertEqual(await self.call(b"status\r\n"), b"OK\n")
        self.assertEqual(await self.call(b"status\nmaint-on s0\n"), b"OK\n")
        self.assertEqual((await self.figures())["skipped_servers"], 0)
        self.assertIn(b"too long", await self.call(b"x" * (listener.LINE_MOST + 1)))
        silent[-1][1].write(b"us\n")
        self.assertEqual(await asyncio.wait_for(silent[-1][0].read(), 5), b"OK\n")
        # The oldest of too many have gone.
        self.assertEqual(await asyncio.wait_for(silent[0][0].read(), 5), b"")
        for _, writer in silent:
            writer.close()

    async def test_figures_are_those_of_the_stand_ins(self) -> None:
        good, bad = await self.stand_in(), await self.stand_in(hang_up)
        running = await self.start(good, bad)
        caller = await running.caller()
        statuses = [(await caller.ask(track))[0] for track in ("read", "write", "low") * 8]
        caller.raw(b"GET /read/x HTTP/1.1\r\nHost: n\r\n\r\n")
        statuses.append(await caller.status())
        figures = await self.figures()
        total = {name: sum(figures[name].values()) for name in ("passed", "dropped", "bad_gateway")}
        self.assertEqual(total["passed"], statuses.count(200))
        self.assertEqual(total["dropped"], statuses.count(503))
        self.assertEqual(total["bad_gateway"], statuses.count(502) + statuses.count(400))
        self.assertEqual(figures["passed"]["write"] + figures["bad_gateway"]["write"], 8)
        self.assertEqual(figures["upstream_tries"], len(good.seen) + len(bad.seen))
        self.assertEqual((figures["in_progress"], figures["known_servers"]), (0, 2))

    async def test_left_out_while_a_attempt_connects(self) -> None:
        servers = [await self.stand_in(), await self.stand_in()]
        running = await self.start(*servers)
        caller = await running.caller()
        connect = running.node.servers._connect
        out: list[int] = []

        async def slowly(target: Endpoint, careful: bool = False) -> Connection:
            if not out:
                out.extend(i for i, server in enumerate(servers) if server.address == target.address)
                self.assertEqual(await self.call(b"maint-on s%d\n" % out[0]), b"OK\n")
            return await connect(target, careful)

        with mock.patch.object(running.node.servers, "_connect", slowly):
            self.assertEqual((await caller.ask("write", b"x"))[0], 200)
        self.assertEqual([len(server.seen) for server in servers], [out[0], 1 - out[0]])


class Yes(DoorCase):
    async def test_only_with_a_list(self) -> None:
        given = config(server_list(1, True), discovery="127.0.0.1:1")
        running = RunningNode(replace(given, known=None, operator=("127.0.0.1", 0)))
        await self.enterAsyncContext(running)
        await until(lambda: running.node.admin_listener is not None and running.node.phase.value == "ready")
        door = running.node.admin_listener
        assert door is not None and door.listener is not None
        self.port = door.listener.sockets[0].getsockname()[1]
        self.assertTrue((await self.call(b"status\n")).startswith(b"ERR"))
        running.node.apply_list(parse_server_list(server_list(1, True), 0))
        self.assertEqual(await self.call(b"status\n"), b"OK\n")


class Retuning(DoorCase):
    async def test_what_is_taken_and_what_is_turned_down(self) -> None:
        running = await self.start(await self.stand_in())
        node = running.node
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        told: dict[str, Any] = {"listen": "127.0.0.1:1", "seed": "7", "settings": SETTINGS}
        node.config = replace(node.config, given=told)
        path = folder / "config.json"
        node.load_config = lambda: read_node_config(str(path), {})
        bad: list[tuple[str, str]] = [("", "JSON"), (json.dumps(told)[:-9], "JSON"), ("[]", "object")]
        for key, value, word in (
            ("patience_ns", 0, "above 0"),
            ("patience_ns", -1, "above 0"),
            ("patience_ns", True, "whole number"),
            ("patience_ns", "2s", "whole number"),
            ("expected_time_ns", float("nan"), "whole number"),
            ("payoff", float("inf"), "finite"),
            ("payoff", None, "a number"),
        ):
            values = copy.deepcopy(told)
            values["settings"]["tracks"][0][key] = value
            bad.append((json.dumps(values), word))
        for attempts in (0, -2, "three", True, float("nan"), 2.5):
            values = copy.deepcopy(told)
            values["settings"]["bounds"]["max_trips"] = attempts
            bad.append((json.dumps(values), "max_trips"))
        for lost in ("expected_time_ns", "payoff", "name"):
            values = copy.deepcopy(told)
            del values["settings"]["tracks"][2][lost]
            bad.append((json.dumps(values), lost))
        for lost in ("bounds", "tracks"):
            values = copy.deepcopy(told)
            del values["settings"][lost]
            bad.append((json.dumps(values), lost))
        before = node.balancer.request_classes
        for count, (text, word) in enumerate(bad, 1):
            path.write_text(text)
            with self.assertLogs("coraldeal.net.node", "ERROR") as logs:
                node.reload()
            self.assertIn(word, str(logs.records[0].__dict__["pairs"]["why"]))
            self.assertEqual((await self.figures())["load_errors"], count)
        self.assertIs(node.balancer.request_classes, before)
        values = copy.deepcopy(told)
        values["settings"]["tracks"][1].update(name="fresh", effect="retryable")
        path.write_text(json.dumps(values))
        node.reload()
        figures = await self.figures()
        self.assertEqual(
            (figures["loads"], figures["passed"]), (1, {"read": 0, "write": 0, "low": 0, "fresh": 0})
        )
        caller = await running.caller()
        self.assertEqual((await caller.ask("fresh"))[0], 200)
        self.assertEqual((await caller.ask("write"))[0], 404)

    def test_a_key_that_was_there_is_missed_by_its_path(self) -> None:
        before = {"a": {"b": 1}, "c": [{"d": 1, "e": 2}, {"d": 1}]}
        self.assertEqual(lacking({"a": {"b": 2}, "c": [{"d": 3}]}, before), "")
        self.assertEqual(lacking({"a": {}, "c": []}, before), "a.b")
        self.assertEqual(lacking({"a": {"b": 2}, "c": [{"d": 1}, {"e": 1}]}, before), "c[1].d")
        # All tracks were labelled, bound ones, and one is to be redoable anywhere.
        bound = {"name": "a", "effect": "dedup", "window_ns": 1, "group": "all", "allowed_in": ["z"]}
        after = {"name": "a", "effect": "retryable"}
        self.assertEqual(lacking({"tracks": [after]}, {"tracks": [bound]}), "")
        self.assertEqual(lacking({"tracks": [{"name": "a"}]}, {"tracks": [bound]}), "tracks[0].effect")
        needed = {**SETTINGS, "tracks": [{**SETTINGS["tracks"][0], "effect": "dedup", "group": "all"}]}
        with self.assertRaisesRegex(SettingsError, "window_ns"):
            node_config({"listen": "127.0.0.1:1", "settings": needed}, {})
        with self.assertRaisesRegex(SettingsError, "operator"):
            node_config({"listen": "127.0.0.1:1", "settings": SETTINGS, "operator": "nowhere"}, {})
