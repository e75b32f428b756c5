"""What is still owed at the instant something ends, each crossing forced; docs/endings.md is their table."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.admin.listener import Door
from coraldeal.balance import Balancer
from coraldeal.interface import Condition, Entry, Outcome
from coraldeal.net import callers as callers_module
from coraldeal.net import discovery as discovery_module
from coraldeal.net import node as node_module
from coraldeal.net import servers as servers_module
from coraldeal.net import wire
from coraldeal.net.bodies import Body, Progress
from coraldeal.net.discovery import Discovery
from coraldeal.net.figures import Figures
from coraldeal.net.host import clock
from coraldeal.net.servers import Connection, ServerPool
from coraldeal.net.unread import has_left
from coraldeal.net.wire import AttemptEnd, CallerRequest, JsonObjectStream, ListEntry, parse_server_list
from tests.standins import (
    CHUNKED_HEAD,
    SETTINGS,
    Caller,
    LateConnects,
    NodeCase,
    Played,
    Point,
    RunningNode,
    Seen,
    StandIn,
    answer,
    chunked,
    config,
    entry,
    hang_up,
    never_answer,
    serve_well,
    server_list,
    until,
    watch,
)


def indented(told: dict[str, Any]) -> bytes:
    """With a blank line inside, as printers of JSON may leave one."""
    return json.dumps(told, indent=2).replace("[\n", "[\n\n", 1).encode() + b"\n"


class Watches(NodeCase):
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
            objects = JsonObjectStream()
            whole = [o for at in range(0, len(text), size) for o in objects.feed(text[at : at + size])]
            self.assertEqual([json.loads(one) for one in whole], [first, second, {}])
        for bad in (b"x", b"[]", b"  \n}", b"{} nonsense"):
            with self.subTest(bad=bad), self.assertRaises(ValueError):
                list(JsonObjectStream().feed(bad))

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
            with (
                self.subTest(name),
                mock.patch.multiple(discovery_module, LIVENESS_TIMEOUT=0.2, ANSWER_TIMEOUT=0.2),
            ):
                _, discovery = await self.watched(play, rules=self.rules)
                await until(lambda d=discovery: len(d.seen) >= 3, 3.0)  # type: ignore[misc]
                self.assertIn("after=", discovery.seen[2].line)

    async def test_a_call_that_waited_is_made_anew_and_one_that_failed_at_once_is_told(self) -> None:
        first = watch(json.dumps(server_list(2, False)).encode() + b"\n")

        async def late(seen: Seen, reader: Any, writer: Any) -> None:
            await asyncio.sleep(0.6)
            writer.write(answer(503))

        async def refuse(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(answer(503))

        async def calls(*plays: Played) -> int:
            """How many calls are made until the module is told of a failure."""
            left, told = list(plays), asyncio.Event()

            async def play(seen: Seen, reader: Any, writer: Any) -> None:
                await left.pop(0)(seen, reader, writer)

            stand_in = await self.stand_in(play)
            read = partial(parse_server_list, offset_us=0)
            Discovery(stand_in.address, read, mock.Mock(), told.set).follow()
            await asyncio.wait_for(told.wait(), 10)
            return len(stand_in.seen)

        # Far apart, so that a busy machine confuses none of them.
        with mock.patch.multiple(
            discovery_module, LIVENESS_TIMEOUT=0.4, ANSWER_TIMEOUT=1.6, WAITED_LONG=0.4, FURTHER_AFTER=1.6
        ):
            made = await asyncio.gather(
                calls(first, late, late, refuse),
                calls(late, late, refuse),
                calls(first, refuse),
                calls(refuse),
            )
        self.assertEqual(made, [4, 3, 2, 1])

    async def test_a_watch_that_ends_instead_of_telling_is_opened_anew_without_a_wait(self) -> None:
        loop, ended_at = asyncio.get_running_loop(), 0.0
        line = json.dumps(server_list(2, False)).encode() + b"\n"

        async def ends() -> None:
            nonlocal ended_at
            await asyncio.sleep(1.2)
            ended_at = loop.time()

        plays = [watch(line, then=ends), watch(line)]

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            await plays.pop(0)(seen, reader, writer)

        _, discovery = await self.watched(play, rules={**SETTINGS["rules"], "ask_every_ns": 10 * 10**9})
        await until(lambda: len(discovery.seen) == 2)
        # The module's own wait is 0.4 s at the least.
        self.assertLess(loop.time() - ended_at, 0.4)

    def test_the_sum_of_each_path_to_a_change_is_under_six_seconds(self) -> None:
        rules = {**SETTINGS["rules"], "ask_every_ns": 60 * 10**9}
        waits: list[int] = []
        host = mock.Mock(now=10**9, wake=lambda token, after: waits.append(after))
        balancer = Balancer(host, config(server_list(1, True), rules=rules).settings, 7)
        waits.clear()
        for _ in range(200):
            balancer.list_failed()
        module = max(waits) / 1e6
        pushed = node_module.MAX_REWATCH_DELAY * 1.5
        # What discovery may keep a call waiting before it fails it, and what an answer may take, with this
        # node's own work for it.
        queue, reply = 3.0, 0.3
        silence, hang = discovery_module.LIVENESS_TIMEOUT, discovery_module.ANSWER_TIMEOUT
        self.assertGreater(hang, queue)
        # Lines come every 2 s.
        self.assertGreater(silence, 2.4)
        for wait in (module, pushed):
            for path in (
                silence + discovery_module.CONNECT_TIMEOUT + wait,
                silence + hang,
                silence + queue,
                wait + hang,
                wait + queue + wait,
            ):
                self.assertLess(path + reply, 6.0)

    async def test_a_line_that_came_while_the_loop_stood_still_keeps_its_watch(self) -> None:
        line, point = json.dumps(server_list(2, False)).encode() + b"\n", Point()

        async def more(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(CHUNKED_HEAD + chunked(line))
            await point.stop()
            writer.write(chunked(b"\n"))
            # The node's next turn finds the line and the end of its time at once.
            time.sleep(0.4)
            writer.write(chunked(json.dumps(server_list(3, False)).encode()))
            await reader.read()

        with mock.patch.object(discovery_module, "LIVENESS_TIMEOUT", 0.3):
            node, discovery = await self.watched(more, rules=self.rules)
            await until(lambda: node.node.discovery.version == 2)
            point.go.set()
            await until(lambda: node.node.discovery.version == 3 or len(discovery.seen) > 1)
        self.assertEqual(len(discovery.seen), 1)

    async def test_a_long_list_may_take_its_time(self) -> None:
        entries = [entry(f"n{i}", f"127.0.0.1:{i + 1}") for i in range(2000)]
        text = json.dumps(server_list(2, True, *entries)).encode()
        size = len(text) // 6 + 1
        pieces = [chunked(text[at : at + size]) for at in range(0, len(text), size)]

        async def slowly(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(CHUNKED_HEAD)
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.1)
            await reader.read()

        with mock.patch.multiple(discovery_module, LIVENESS_TIMEOUT=0.3, ANSWER_TIMEOUT=0.3):
            node, discovery = await self.watched(slowly, rules=self.rules)
            await until(lambda: node.node.discovery.version == 2)
        self.assertEqual(len(discovery.seen), 1)

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

        with mock.patch.object(discovery_module, "LIVENESS_TIMEOUT", 0.3):
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

    async def test_a_pushed_list_that_was_away_for_long_is_tried_within_a_drains_grace(self) -> None:
        running = await self.node(await self.stand_in(), discovery="127.0.0.1:1", pushed=True)
        waits: list[float] = []
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "call_later", lambda after, *_: waits.append(after)):
            for _ in range(60):
                running.node._list_failed()
        # 1.5 s, less a connection that does not come up, and not all nodes in step.
        self.assertLess(max(waits) + discovery_module.CONNECT_TIMEOUT, 1.3)
        self.assertGreater(max(waits) - min(waits), 0.1)

    async def test_what_cannot_be_read_is_told_once_with_what_and_where(self) -> None:
        bad = b'{"generation": 7, "reset": true, "instances": [{"instanceId": "s0"}]}'
        with (
            mock.patch.object(node_module, "MIN_REWATCH_DELAY", 0.01),
            self.assertLogs("coraldeal.net.discovery", "INFO") as logs,
        ):
            node, discovery = await self.watched(watch(bad), pushed=True)
            await until(lambda: len(discovery.seen) >= 4)
        self.assertEqual(len(logs.records), 1)
        told = str(logs.records[0].__dict__["pairs"])
        self.assertIn("lifecycle", told)
        self.assertIn("generation", told)
        self.assertEqual(list(node.node.balancer.servers), ["s0"])

    async def test_what_is_whole_is_told_before_what_cannot_be_read_behind_it(self) -> None:
        drains = json.dumps(server_list(2, False, entry("s0", "127.0.0.1:1", "Terminating"))).encode()
        bad = b'{"generation": 3, "reset": false, "instances": [{}]}'
        for name, behind in (("no object", b" nonsense"), ("no list", bad), ("no end", b"{" + b" " * 2000)):
            # In one chunk, so that the node reads both at once; the next watch says nothing more.
            plays = [watch(drains + behind), never_answer]

            async def play(seen: Seen, reader: Any, writer: Any, plays: list[Played] = plays) -> None:
                await plays.pop(0)(seen, reader, writer)

            with self.subTest(name), mock.patch.object(wire, "MAX_OBJECT_BYTES", 1000):
                node, discovery = await self.watched(play, pushed=True)
                await until(lambda d=discovery: len(d.seen) == 2)  # type: ignore[misc]
                self.assertEqual(list(node.node.balancer.servers), [])
                self.assertNotIn("after=", discovery.seen[1].line)

    async def test_what_is_written_is_told_though_its_watch_is_reset_right_behind_it(self) -> None:
        drains = json.dumps(server_list(2, False, entry("s0", "127.0.0.1:1", "Terminating"))).encode()

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            if len(discovery.seen) > 1:
                await reader.read()
            near = writer.get_extra_info("socket")
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.write(CHUNKED_HEAD + chunked(drains))
            writer.transport.abort()

        node, discovery = await self.watched(play, pushed=True)
        await until(lambda: len(discovery.seen) == 2)
        self.assertIn("after=2", discovery.seen[1].line)
        self.assertEqual(list(node.node.balancer.servers), [])

    async def test_an_object_without_end_is_not_kept_for_good(self) -> None:
        line = json.dumps(server_list(2, False)).encode() + b"\n"
        with (
            mock.patch.object(wire, "MAX_OBJECT_BYTES", 1000),
            self.assertLogs("coraldeal.net.discovery", "INFO") as logs,
        ):
            _, discovery = await self.watched(watch(line, b"{" + b" " * 2000), pushed=True)
            await until(lambda: len(discovery.seen) >= 2)
        ends = [record for record in logs.records if record.getMessage() == "watch over"]
        self.assertIn("1000 bytes", str(ends[0].__dict__["pairs"]))
        self.assertNotIn("after=", discovery.seen[1].line)


class Departures(NodeCase):
    """A client that leaves while its request waits: it is not sent on, whatever it waited for.

    Each with withdrawals allowed and not: what was never written needs none.
    """

    async def gone(self, running: RunningNode, caller: Caller) -> None:
        """It leaves, and the node has seen that; what is let go of from here on comes later."""
        held = running.node.callers.held
        caller.leave()
        await until(lambda: running.node.callers.held < held)
        await asyncio.sleep(0.01)

    async def at_rest(self, running: RunningNode) -> None:
        """Nothing is left of it, in the module's books nor in the node's."""
        node = running.node
        await until(lambda: not (node.inquiries.in_hand or node.inquiries.open_ids))
        self.assertEqual((node.balancer.inquiries, node.balancer.attempts), ({}, {}))
        self.assertEqual([server.attempts for server in node.balancer.servers.values()], [{}])
        self.assertEqual((node.servers.connecting, node.callers.kept), (0, 0))

    async def test_while_it_waits_for_a_connection(self) -> None:
        for cancel in (True, False):
            for track in ("read", "write"):
                with self.subTest(cancel=cancel, track=track):
                    server = await self.stand_in()
                    running = await self.node(server, bounds={"cancel": cancel, "connect_timeout_ns": 10**9})
                    caller = await running.caller()
                    with LateConnects(server) as point:
                        caller.send(track, b"x")
                        await point.reached.wait()
                        await self.gone(running, caller)
                        point.go.set()
                        await self.at_rest(running)
                    # Whoever comes next is served; the one that left was never sent.
                    self.assertEqual((await (await running.caller()).ask("low"))[0], 200)
                    self.assertEqual([seen.line.split()[1] for seen in server.seen], ["/low/x?y=%20z"])

    async def test_while_it_waits_for_a_place(self) -> None:
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                point = Point()

                async def play(seen: Seen, reader: Any, writer: Any, point: Point = point) -> None:
                    await point.stop()
                    writer.write(answer())

                server = await self.stand_in(play)
                running = await self.node(server, bounds={"cancel": cancel})
                full = [await running.caller() for _ in range(2)]
                for caller in full:
                    caller.send()
                await until(lambda s=server: len(s.seen) == 2)  # type: ignore[misc]
                waiting = await running.caller()
                waiting.send("write", b"x")
                await until(lambda r=running: len(r.node.inquiries.in_hand) == 3)  # type: ignore[misc]
                await self.gone(running, waiting)
                point.go.set()
                for caller in full:
                    self.assertEqual((await caller.answer())[0], 200)
                await self.at_rest(running)
                self.assertEqual(len(server.seen), 2)

    async def test_while_it_waits_for_a_token(self) -> None:
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                server = await self.stand_in()
                # Tokens are waited for for up to two ticks.
                running = await self.node(server, bounds={"cancel": cancel}, tick_ns=10**8)
                balancer = running.node.balancer
                balancer.tokens, balancer.token_rate = 0.0, 1 / 150_000
                caller = await running.caller()
                caller.send("low")
                await until(lambda b=balancer: b.tokens < 0)  # type: ignore[misc]
                await self.gone(running, caller)
                await asyncio.sleep(0.2)
                await self.at_rest(running)
                self.assertEqual(server.seen, [])

    async def test_while_it_waits_for_another_try(self) -> None:
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                server = await self.stand_in(hang_up)
                running = await self.node(server, bounds={"cancel": cancel, "max_trips": 9})
                (known,) = running.node.balancer.servers.values()
                caller = await running.caller()
                caller.send()
                # One further try is what the server has earned.
                await until(lambda s=server, k=known: len(s.seen) == 2 and not k.attempts)  # type: ignore[misc]
                await self.gone(running, caller)
                server.play = serve_well
                known.retry_budget = 4.0
                for _ in range(3):
                    self.assertEqual((await (await running.caller()).ask())[0], 200)
                await self.at_rest(running)
                self.assertEqual(len(server.seen), 5)

    @mock.patch("coraldeal.net.callers.KEPT_MOST", 1000)
    async def test_unseen_behind_a_body_that_waits_too(self) -> None:
        """Nothing is read from it then, so the loop tells of no departure: neither a close nor a reset."""
        for cancel in (True, False):
            for size, reset in ((900_000, False), (4_000_000, True)):
                with self.subTest(cancel=cancel, reset=reset):
                    point = Point()
                    came: list[bytes] = []

                    async def talk(
                        reader: asyncio.StreamReader, writer: Any, point: Point = point, came: Any = came
                    ) -> None:
                        while data := await reader.read(1 << 16):
                            came.append(data)
                            if len(came) <= 2:
                                await point.stop()
                                writer.write(answer())
                        writer.close()

                    listener = await asyncio.start_server(talk, "127.0.0.1", 0)
                    self.addCleanup(listener.close)
                    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
                    told = config(server_list(1, True, entry("s0", address)), bounds={"cancel": cancel})
                    running = await self.enterAsyncContext(RunningNode(told))
                    full = [await running.caller() for _ in range(2)]
                    for caller in full:
                        caller.send()
                    await until(lambda c=came: len(c) == 2)  # type: ignore[misc]
                    waiting = await running.caller()
                    waiting.send("write", bytes(size))
                    if not reset:
                        # All of it is in the system's hands, and its close right behind.
                        await until(lambda w=waiting: not w.writer.transport.get_write_buffer_size())  # type: ignore[misc]
                    near = running.node.callers.server.connections
                    await until(lambda n=near: any(one._reading_paused for one in n))  # type: ignore[misc]
                    waiting.leave(reset)
                    await asyncio.sleep(0.02)
                    self.assertEqual(len(running.node.inquiries.in_hand), 3)
                    point.go.set()
                    for caller in full:
                        self.assertEqual((await caller.answer())[0], 200)
                    await self.at_rest(running)
                    self.assertEqual(len(came), 2)

    async def test_what_an_inquiry_leaves_out_comes_free_once_also_with_an_answer_passed_on(self) -> None:
        """An attempt that may not be withdrawn outlives its inquiry; its answer comes when nobody waits."""
        for large in (False, True):
            with self.subTest(large=large):
                point = Point()

                async def play(
                    seen: Seen, reader: Any, writer: Any, point: Point = point, large: bool = large
                ) -> None:
                    await point.stop()
                    body = b"." * (100_000 if large else 10)
                    writer.write(CHUNKED_HEAD + chunked(body[:10]))
                    if large:
                        await asyncio.sleep(0.12)
                        writer.write(chunked(body))
                    else:
                        writer.write(chunked(b""))

                server = await self.stand_in(play)
                running = await self.node(server, bounds={"cancel": False})
                caller = await running.caller()
                with mock.patch.object(running.node.balancer, "attempt_ended") as ended:
                    ended.side_effect = type(running.node.balancer).attempt_ended.__get__(
                        running.node.balancer
                    )
                    caller.send("write", b"x")
                    await point.reached.wait()
                    await self.gone(running, caller)
                    self.assertEqual(len(running.node.inquiries.open_ids), 1)
                    point.go.set()
                    await self.at_rest(running)
                self.assertEqual(ended.call_count, 1)
                # Kept for the next attempt, or closed where not all of the answer was read.
                kept = 0 if large else 1
                await until(lambda r=running, kept=kept: r.node.servers.open_connections == kept)  # type: ignore[misc]
                self.assertEqual(len(running.node.servers.endpoints["s0"].idle), kept)

    async def test_behind_requests_that_wait_their_turn_too(self) -> None:
        """So many that nothing more is read: what stands in the line of a client that left goes nowhere."""
        point = Point()

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            await point.stop()
            writer.write(answer())

        server = await self.stand_in(play)
        running = await self.node(server)
        caller = await running.caller()
        for _ in range(400):
            caller.send()
        await point.reached.wait()
        near = running.node.callers.server.connections
        await until(lambda: any(one.transport is not None and not one.transport.is_reading() for one in near))
        caller.leave()
        await asyncio.sleep(0.01)
        point.go.set()
        await self.at_rest(running)
        await until(lambda: running.node.callers.held == 0)
        self.assertEqual(len(server.seen), 1)


GET = b"GET /read/1 HTTP/1.1\r\nHost: s\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n"


class Connections(NodeCase):
    """A connection to a server that ends, or changes hands, as an attempt begins or ends on it."""

    async def asyncSetUp(self) -> None:
        self.servers = ServerPool(clock, 3_000_000, 1_000_000, lambda: None, lambda server: True, Figures(()))
        self.addAsyncCleanup(self.servers.close)

    def learn(self, stand_in: StandIn, name: str = "s") -> None:
        entry = Entry(name, "z", 0, Condition.READY, 0)
        self.servers.update_endpoints([ListEntry(entry, stand_in.address)])

    async def attempt(self, **told: Any) -> AttemptEnd:
        return await self.servers.attempt("s", GET, 5_000_000, **told)

    async def test_a_close_that_came_and_was_not_read_is_no_connection_to_write_on(self) -> None:
        writers = []

        async def keep(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(answer())

        server = await self.stand_in(keep)
        self.learn(server)
        ends: list[Callable[[asyncio.StreamWriter], None]] = [
            lambda w: w.close(),
            lambda w: w.transport.abort(),
            lambda w: w.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"),
        ]
        for number, end in enumerate(ends):
            with self.subTest(number):
                self.assertIs((await self.attempt(not_idempotent=True)).outcome, Outcome.SERVED)
                (connection,) = self.servers.endpoints["s"].idle
                await asyncio.sleep(0.015)
                assert connection.transport is not None
                # The loop has not looked yet when the next attempt begins.
                connection.transport.pause_reading()
                end(writers[-1])
                await asyncio.sleep(0.005)
                attempt = await self.attempt(not_idempotent=True)
                assert attempt.answer is not None
                self.assertEqual((attempt.outcome, attempt.answer.body), (Outcome.SERVED, b"done"))
                self.assertEqual((server.opened, len(server.seen)), (2 * number + 2, 2 * number + 2))
                for left in list(self.servers.endpoints["s"].idle):
                    left.drop()

    async def test_a_server_that_moved_while_its_connection_came_up_gets_nothing_there(self) -> None:
        old, new = await self.stand_in(), await self.stand_in()
        self.learn(old)
        with LateConnects(old) as point:
            attempt = asyncio.create_task(self.attempt())
            await point.reached.wait()
            self.learn(new)
            point.go.set()
            self.assertIs((await attempt).outcome, Outcome.NOT_STARTED)
        await until(lambda: old.closed == 1)
        self.assertEqual(old.seen, [])
        self.assertIs((await self.attempt()).outcome, Outcome.SERVED)
        self.assertEqual(len(new.seen), 1)

    async def test_an_earlier_attempt_is_off_its_connection_before_the_next_one_goes(self) -> None:
        """Or the next would be a second copy, where one may never be out beside another."""
        first: list[asyncio.StreamWriter] = []
        was_off: list[bool] = []

        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            if first:
                was_off.append(has_left(first[0].transport))
                writer.write(answer())
                return
            first.append(writer)
            # Looked at by the system alone: this loop reads nothing here.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await point.stop()

        point = Point()
        running = await self.node(await self.stand_in(play))
        state = running.node.balancer.request_classes["read"]
        # So an attempt is given up after 150 ms, and there is time for another.
        state.p90_latency, state.median_latency = 50_000, 10_000
        self.assertEqual((await (await running.caller()).ask())[0], 200)
        self.assertEqual(was_off, [True])
        point.go.set()

    async def test_a_drain_told_between_choice_and_first_byte(self) -> None:
        for told in ("Terminating", "Gone", "replaced", "left out"):
            with self.subTest(told):
                old, other = await self.stand_in(), await self.stand_in()
                running = await self.node(old, bounds={"connect_timeout_ns": 10**9})
                node, caller = running.node, await running.caller()
                with LateConnects(old) as point:
                    caller.send("write", b"x")
                    await point.reached.wait()
                    changes = [entry("other", other.address)]
                    if told == "left out":
                        node.balancer.start_maintenance("s0")
                    elif told == "replaced":
                        changes.append(entry("new", old.address))
                    else:
                        changes.append(entry("s0", old.address, told))
                    node.apply_list(parse_server_list(server_list(2, False, *changes), 0))
                    if told == "replaced":
                        node.balancer.start_maintenance("new")
                    point.go.set()
                    # Never sent, so even what must not run twice goes to another.
                    self.assertEqual((await caller.answer())[0], 200)
                self.assertEqual((len(old.seen), len(other.seen)), (0, 1))

    async def test_a_attempt_stopped_as_it_ends_leaves_no_connection(self) -> None:
        async def early(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(500))
            await reader.read()

        server = await self.stand_in(early)
        self.learn(server)
        body = Body(Pieces(b"01", ends=False), 0, Progress())  # type: ignore[arg-type]
        call = CallerRequest("1", "read", None, None, False, GET[:-2], b"", body_stream=body, length=10)

        def stop(*told: Any) -> Any:
            attempt.cancel()
            return read(*told)

        read = wire.parse_answer
        with mock.patch.object(servers_module, "parse_answer", stop):
            attempt = asyncio.create_task(
                self.servers.attempt("s", GET, 5_000_000, request=call, on_body_sent=lambda: None)
            )
            (end,) = await asyncio.gather(attempt, return_exceptions=True)
        self.assertIsInstance(end, asyncio.CancelledError)
        await until(lambda: server.closed == 1)
        self.assertEqual((self.servers.open_connections, self.servers.connecting), (0, 0))

    async def test_a_reset_behind_a_bodys_last_byte_may_have_run(self) -> None:
        """Also where who passes the body on has not been told yet that the last byte is out."""
        drained = Point()

        async def break_off(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            await drained.reached.wait()
            writer.transport.abort()

        server = await self.stand_in(break_off)
        self.learn(server)
        body = Body(Pieces(b"0123456789"), 0, Progress())  # type: ignore[arg-type]
        head = b"POST /read/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\n"
        call = CallerRequest("1", "read", None, None, False, head, b"", body_stream=body, length=10)

        async def drain(connection: Connection) -> None:
            if body.read_in_all == 10:
                await drained.stop()

        with mock.patch.object(Connection, "_drain_helper", drain):
            end = await self.servers.attempt("s", head, 5_000_000, request=call, on_body_sent=lambda: None)
        self.assertEqual([seen.body for seen in server.seen], [b"0123456789"])
        self.assertIs(end.outcome, Outcome.RESET)

    async def test_a_caller_that_leaves_within_its_body_is_not_held_against_the_server(self) -> None:
        server = await self.stand_in()
        running = await self.node(server, bounds={"cancel": False})
        with mock.patch.object(
            running.node.balancer, "attempt_ended", wraps=running.node.balancer.attempt_ended
        ) as ended:
            caller = await running.caller()
            caller.raw(b"POST /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\nContent-Length: 5000000\r\n\r\n")
            caller.raw(bytes(2_000_000))
            await until(lambda: server.opened == 1)
            caller.leave()
            await until(lambda: ended.called)
        self.assertIs(ended.call_args.args[2], Outcome.CANCELLED)
        self.assertEqual(server.seen, [])


class Answers(NodeCase):
    """An answer that has begun and does not come to its end."""

    async def test_one_that_never_ends_is_cut_when_its_callers_time_is_over(self) -> None:
        """So that its caller can tell: with no last chunk, and by a reset where only the close ends it."""
        heads = (CHUNKED_HEAD, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for head in heads:
            with self.subTest(head):

                async def dribble(seen: Seen, reader: Any, writer: Any, head: bytes = head) -> None:
                    writer.write(head)
                    while not writer.is_closing():
                        writer.write(chunked(b".") if head is CHUNKED_HEAD else b".")
                        await asyncio.sleep(0.02)

                server = await self.stand_in(dribble)
                running = await self.node(server)
                caller = await running.caller()
                began = clock()
                with self.assertLogs("coraldeal.net.callers", "INFO") as logs:
                    caller.send("read", b"", "600m")
                    came = await caller.at_end()
                self.assertTrue(came.startswith(b"HTTP/1.1 200"), came)
                self.assertFalse(came.endswith(b"0\r\n\r\n"))
                self.assertLess(clock() - began, 1_200_000)
                self.assertIn("caller's time", str(logs.records[0].__dict__["pairs"]))
                await until(lambda s=server: s.closed == 1)  # type: ignore[misc]
                self.assertEqual(running.node.balancer.inquiries, {})

    async def test_a_long_one_of_untold_length_that_began_late_goes_on_while_it_keeps_up(self) -> None:
        """Little of it has come when its caller's time is over; cut off while it still comes, it is lost."""
        point = Point()

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(CHUNKED_HEAD + chunked(b"."))
            await asyncio.sleep(0.12)
            writer.write(chunked(b"."))
            await point.stop()
            for _ in range(100):
                writer.write(chunked(bytes(1600)))
                await asyncio.sleep(0.02)
            writer.write(chunked(b""))

        running = await self.node(await self.stand_in(play))
        caller = await running.caller()
        caller.send("read", b"", "500m")
        began = clock()
        await point.reached.wait()
        await asyncio.sleep(0.4 - (clock() - began) / 1e6)
        point.go.set()
        came = b""
        while not came.endswith(b"0\r\n\r\n"):
            piece = await asyncio.wait_for(caller.reader.read(1 << 16), 5)
            self.assertNotEqual(piece, b"", f"cut behind {len(came)} bytes")
            came += piece
        self.assertGreater(len(came), 160_000)

    async def test_a_large_one_goes_on_while_it_keeps_up(self) -> None:
        for goes_on in (True, False):
            with self.subTest(goes_on=goes_on):
                point = Point()

                async def play(seen: Seen, reader: Any, writer: Any, point: Point = point) -> None:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(1000))
                    await asyncio.sleep(0.12)
                    writer.write(bytes(99_000))
                    await point.stop()
                    writer.write(bytes(100_000))

                server = await self.stand_in(play)
                running = await self.node(server)
                caller = await running.caller()
                with mock.patch("coraldeal.net.bodies.GRACE", 0.3 if not goes_on else 2.0):
                    caller.send("read", b"", "400m")
                    await point.reached.wait()
                    await asyncio.sleep(0.6)
                    if goes_on:
                        point.go.set()
                        status, seen = await caller.answer()
                        self.assertEqual((status, len(seen.body)), (200, 200_000))
                    else:
                        self.assertLess(len(await caller.at_end()), 110_000)
                        point.go.set()
                        await until(lambda s=server: s.closed == 1)  # type: ignore[misc]

    async def test_one_cut_by_the_nodes_end_is_seen_to_be_cut(self) -> None:
        """Also by a caller of HTTP/1.0, for whom a close would be the end of the whole."""
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

        async def play(seen: Seen, reader: Any, writer: Any) -> None:
            writer.write(head + b"half")
            await asyncio.sleep(0.12)
            writer.write(b" of it")
            await reader.read()

        running = await self.node(await self.stand_in(play))
        caller = await running.caller()
        caller.raw(b"GET /read/x HTTP/1.0\r\nHost: n\r\nReq-Id: 1\r\n\r\n")
        await caller.reader.readuntil(b"half of it")
        await running.node.callers.close()
        with self.assertRaises(ConnectionError):
            await caller.reader.read()


class Closings(NodeCase):
    """A caller's connection that the node closes while a request lies there that it has not read."""

    async def test_a_request_that_lies_unread_is_answered_whatever_closes_idle_connections(self) -> None:
        server = await self.stand_in()
        for fresh in (True, False):
            for way in ("end", "stop", "room", "quiet"):
                with self.subTest(way=way, fresh=fresh):
                    running = await self.node(server)
                    node, caller = running.node, await running.caller()
                    await until(lambda n=node: n.callers.held == 1)  # type: ignore[misc]
                    (connection,) = node.callers.server.connections
                    assert isinstance(connection, callers_module._Connection)
                    if not fresh:
                        self.assertEqual((await caller.ask())[0], 200)
                        await until(lambda c=connection: c._waiter is not None)  # type: ignore[misc]
                    # In the system's hands with this line, and the loop has no turn until all is done.
                    caller.send()
                    with mock.patch.object(callers_module, "SILENT_LONG", 0.0):
                        if way == "end":
                            node.callers.begin_closing()
                        elif way == "stop":
                            node.callers._close_idle(asked_too=False)
                        elif way == "room":
                            self.assertFalse(node.callers.close_one_idle(pressed=True))
                        else:
                            connection._next_keepalive_close_time = 0.0
                            connection._process_keepalive()
                    self.assertEqual((await caller.answer())[0], 200)

    async def test_what_is_idle_and_brought_nothing_is_closed_as_before(self) -> None:
        running = await self.node(await self.stand_in())
        caller, silent = await running.caller(), await running.caller()
        self.assertEqual((await caller.ask())[0], 200)
        await until(lambda: running.node.callers.held == 2)
        with mock.patch.object(callers_module, "SILENT_LONG", 0.0):
            running.node.callers._close_idle(asked_too=False)
        self.assertEqual(await silent.at_end(), b"")
        self.assertEqual((await caller.ask())[0], 200)
        running.node.callers.begin_closing()
        self.assertEqual(await caller.at_end(), b"")

    async def test_connections_in_the_systems_queue_are_taken_before_the_listening_ends(self) -> None:
        running = await self.node(await self.stand_in())
        # More than the loop takes in one turn; it has seen none of them when the listening is to end.
        waiting = [socket.create_connection(("127.0.0.1", running.port)) for _ in range(50)]
        for number, near in enumerate(waiting):
            near.sendall(b"GET /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: %d\r\n\r\n" % number)
        await running.node.callers.stop_listening()
        for near in waiting:
            reader, writer = await asyncio.open_connection(sock=near)
            self.addCleanup(writer.close)
            line = await asyncio.wait_for(reader.readline(), 5)
            self.assertIn(line.split()[1], (b"200", b"503"))
        with self.assertRaises(ConnectionError):
            await running.caller()

    async def test_no_call_at_the_operators_door_gives_way_unread(self) -> None:
        door = Door(mock.Mock(can_serve=lambda: True))
        await door.open("127.0.0.1", 0)
        self.addCleanup(door.close)
        assert door.listener is not None
        port = door.listener.sockets[0].getsockname()[1]
        # All in the system's queue at once, more than are kept.
        calls = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        for near in calls:
            near.sendall(b"status\n")
        for near in calls:
            reader, writer = await asyncio.open_connection(sock=near)
            self.addCleanup(writer.close)
            self.assertTrue((await asyncio.wait_for(reader.readline(), 5)).startswith(b"OK"))


class ProgramCase(unittest.IsolatedAsyncioTestCase):
    """The program itself, as a process of its own, before one stand-in."""

    async def asyncSetUp(self) -> None:
        self.server = await StandIn(self.play).start()
        self.addCleanup(self.server.stop)
        self.point = Point()
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "config.json"
        self.port = await self.free_port()
        known = server_list(1, True, entry("s0", self.server.address))
        self.told = {"listen": f"127.0.0.1:{self.port}", "known": known, "seed": "1", "settings": SETTINGS}
        self.path.write_text(json.dumps(self.told))

    async def free_port(self) -> int:
        free = await StandIn().start()
        free.stop()
        await free.server.wait_closed()
        return int(free.address.rpartition(":")[2])

    async def play(self, seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
        await self.point.stop()
        writer.write(answer())

    def start(self, source: str) -> subprocess.Popen[bytes]:
        """The program as a process that runs this source with `main` at hand."""
        preamble = "import os, signal, sys; from coraldeal.__main__ import main\n"
        command = [sys.executable, "-c", preamble + source, "serve", "--config", str(self.path)]
        process = subprocess.Popen(command, cwd=Path(__file__).parent.parent, stderr=subprocess.PIPE)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    async def caller(self) -> Caller:
        async with asyncio.timeout(10):
            while True:
                try:
                    caller = await Caller(self.port).open()
                    break
                except ConnectionError:
                    await asyncio.sleep(0.02)
        self.addCleanup(caller.leave)
        return caller

    async def ended(self, process: subprocess.Popen[bytes]) -> tuple[int, str]:
        _, errors = await asyncio.to_thread(process.communicate, timeout=10)
        return process.returncode, errors.decode()


class Signals(ProgramCase):
    """Told to end or to read its file anew at moments that suit it badly."""

    async def test_in_the_first_moments_they_wait_until_they_can_be_heeded(self) -> None:
        # Both come at the first line of `serve`, as early as the test can force it.
        source = """
import coraldeal.__main__ as program
def read(args, env=None, real=program._read):
    if not hasattr(read, "sent"):
        read.sent = [os.kill(os.getpid(), number) for number in (signal.SIGHUP, signal.SIGTERM)]
    return real(args, env or os.environ)
program._read = read
sys.exit(main())
"""
        status, errors = await self.ended(self.start(source))
        self.assertEqual(status, 0, errors)
        self.assertIn("configuration read anew", errors)
        self.assertIn("phase=ended", errors)

    async def test_told_to_end_twice_and_to_read_anew_meanwhile_with_all_in_hand_answered(self) -> None:
        process = self.start("sys.exit(main())")
        caller, sender = await self.caller(), await self.caller()
        caller.send("write", b"x")
        await self.point.reached.wait()
        # A body that comes in part before the first signal and in full behind the last.
        sender.raw(b"POST /write/x HTTP/1.1\r\nHost: n\r\nReq-Id: body\r\nContent-Length: 4\r\n\r\nab")
        process.send_signal(signal.SIGTERM)
        for text in (json.dumps(self.told), "{", json.dumps(self.told)):
            self.path.write_text(text)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        sender.raw(b"cd")
        await until(lambda: len(self.server.seen) == 2)
        self.point.go.set()
        self.assertEqual((await caller.answer())[0], 200)
        self.assertEqual((await sender.answer())[0], 200)
        self.assertEqual(self.server.seen[1].body, b"abcd")
        status, errors = await self.ended(process)
        self.assertEqual(status, 0, errors)
        self.assertEqual(errors.count("configuration read anew"), 2, errors)
        self.assertEqual(errors.count("configuration kept"), 1, errors)
        self.assertIn("phase=ended in_hand=0", errors)


class Crowds(ProgramCase):
    """Idle clients that would fill the descriptors of a process that may have few."""

    async def test_a_rush_leaves_descriptors_for_discoverys_return_for_attempts_and_for_the_door(
        self,
    ) -> None:
        discovery_port, door_port = await self.free_port(), await self.free_port()
        self.point.go.set()
        for limit in (128, 512):
            with self.subTest(limit=limit):
                new = await StandIn().start()
                self.addCleanup(new.stop)
                addresses = {
                    "discovery": f"127.0.0.1:{discovery_port}",
                    "operator": f"127.0.0.1:{door_port}",
                }
                self.path.write_text(json.dumps({**self.told, **addresses}))
                few = f"import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, {limit}))\n"
                process = self.start(few + "sys.exit(main())")
                usual = await self.caller()
                self.assertEqual((await usual.ask())[0], 200)
                # All in the system's queue before the node has its next turn; discovery is down.
                process.send_signal(signal.SIGSTOP)
                idle = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(700)]
                process.send_signal(signal.SIGCONT)
                told = json.dumps(server_list(2, True, entry("new", new.address))).encode()
                discovery = StandIn(watch(told))
                discovery.server = await asyncio.start_server(
                    discovery._talk, "127.0.0.1", discovery_port, reuse_address=True
                )
                self.addCleanup(discovery.stop)
                reader, writer = await asyncio.open_connection("127.0.0.1", door_port)
                writer.write(b"status\n")
                self.assertTrue((await asyncio.wait_for(reader.read(), 5)).startswith(b"OK"))
                writer.close()
                await until(lambda d=discovery: d.seen, 6.0)  # type: ignore[misc]
                async with asyncio.timeout(5):
                    while not new.seen:
                        # One at a time: in a crowd a new connection may be shut unread, and a used one too.
                        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                            self.assertEqual((await (await self.caller()).ask())[0], 200)
                        await asyncio.sleep(0.05)
                discovery.stop()
                for near in idle:
                    near.close()
                process.send_signal(signal.SIGTERM)
                status, errors = await self.ended(process)
                self.assertEqual(status, 0, errors)
                # Not one connection found no descriptor: the listener would rest for a second then.
                self.assertNotIn("Too many open files", errors)


class Pieces:
    """A body's content: some pieces, and then its end, or nothing more."""

    def __init__(self, *pieces: bytes, ends: bool = True) -> None:
        self.pieces = [*pieces, b""] if ends else [*pieces]

    async def readany(self) -> bytes:
        if not self.pieces:
            await asyncio.Event().wait()
        return self.pieces.pop(0)
