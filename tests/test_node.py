"""A whole node between stand-ins: answers, ends, phases, descriptors, the list."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.config import SettingsError
from coraldeal.interface import Outcome
from coraldeal.net import discovery as discovery_module
from coraldeal.net.host import clock
from coraldeal.net.node import Phase
from tests.standins import (
    SETTINGS,
    Caller,
    NodeCase,
    RunningNode,
    Seen,
    StandIn,
    config,
    entry,
    hang_up,
    never_answer,
    serve_well,
    server_list,
    until,
)

ROOT = Path(__file__).parent.parent


class Inquiries(NodeCase):
    async def test_ready_and_served_unchanged(self) -> None:
        server = await self.stand_in()
        caller = await (await self.node(server)).caller()
        caller.raw(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
        self.assertEqual((await caller.answer())[0], 200)
        status, seen = await caller.ask("low", b"\x00body", "1500m", "Idempotency-Key: k1")
        self.assertEqual((status, seen.body), (200, b"done"))
        (request,) = server.seen
        self.assertEqual((request.line, request.body), ("POST /low/x?y=%20z HTTP/1.1", b"\x00body"))
        self.assertEqual(request.fields["idempotency-key"], "k1")
        self.assertRegex(request.fields["req-deadline"], r"^\d+u$")

    async def test_goes_again_where_it_may_and_only_there(self) -> None:
        server = await self.stand_in(hang_up)
        caller = await (await self.node(server)).caller()
        self.assertEqual((await caller.ask("write", b"x"))[0], 502)
        self.assertEqual(len(server.seen), 1)
        self.assertEqual((await caller.ask("read"))[0], 503)
        self.assertGreater(len(server.seen), 2)

    async def test_a_bound_track_is_sent_to_its_kind_alone_though_that_fails(self) -> None:
        own, other = await self.stand_in(hang_up), await self.stand_in()
        entries = [{**entry("own", own.address), "machineType": "m2"}, entry("other", other.address)]
        tracks = [
            {**track, "shapes_open": ["m2"]} if track["name"] == "read" else track
            for track in SETTINGS["tracks"]
        ]
        running = RunningNode(config(server_list(1, True, *entries), tracks=tracks))
        caller = await (await self.enterAsyncContext(running)).caller()
        self.assertEqual((await caller.ask("read"))[0], 503)
        self.assertEqual((len(own.seen), len(other.seen)), (2, 0))
        # What is not bound goes on to the server that answers.
        self.assertEqual((await caller.ask("low"))[0], 200)
        self.assertEqual(len(other.seen), 1)

    async def test_client_gone_is_told_and_its_attempt_stopped(self) -> None:
        server = await self.stand_in(never_answer)
        running = await self.node(server)
        node, caller = running.node, await running.caller()
        with mock.patch.object(node.balancer, "attempt_ended", wraps=node.balancer.attempt_ended) as ended:
            caller.send()
            await until(lambda: len(server.seen) == 1)
            caller.leave()
            await until(lambda: server.closed == 1)
            await until(lambda: not node.inquiries.in_hand)
        self.assertIs(ended.call_args.args[2], Outcome.CANCELLED)
        self.assertEqual((node.balancer.inquiries, node.balancer.attempts), ({}, {}))

    async def test_client_gone_while_attempts_may_not_be_stopped(self) -> None:
        server = await self.stand_in(never_answer)
        bounds = {"cancel": False}
        running = await self.node(server, bounds=bounds)
        node, caller = running.node, await running.caller()
        caller.send("read", b"", "400m")
        await until(lambda: len(server.seen) == 1)
        caller.leave()
        await until(lambda: not node.balancer.inquiries)
        self.assertEqual((len(node.balancer.attempts), server.closed), (1, 0))
        await until(lambda: not node.balancer.attempts and not node.inquiries.in_hand)

    async def test_broken_and_oversized_input(self) -> None:
        server = await self.stand_in()
        node = await self.node(server)
        head = b"POST /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\n"
        for status, data in (
            (400, b"nonsense\r\n\r\n"),
            (400, b"GET /read HTTP/1.1\r\nHost: n\r\n\r\n"),
            (400, head + b"Req-Deadline: soon\r\n\r\n"),
            (400, b"GET /read HTTP/1.1\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"),
            (404, b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n"),
            (400, head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            (408, head + b"Content-Length: 10\r\n\r\nhalf"),
            (413, head + b"Content-Length: 160000000\r\n\r\nnot all of it"),
            (408, head + b"Transfer-Encoding: chunked\r\n\r\n" + b"80\r\n%b\r\n" % bytes(128) * 3),
            (400, head + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            (400, head + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"),
            (400, head + b"Content-Length: -2\r\n\r\nab"),
            (400, head + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            (400, head + b"Req-Id: 2\r\n\r\n"),
            (400, head + b"Upgrade: websocket\r\nConnection: upgrade\r\n\r\n"),
            (400, head.replace(b"1.1", b"2.0") + b"\r\n"),
        ):
            with self.subTest(data=data[-40:]), mock.patch("coraldeal.net.bodies.GRACE", 0.1):
                caller = await node.caller()
                caller.raw(data)
                self.assertEqual(await caller.status(), status)
                await caller.at_end()
        expecting = await node.caller()
        expecting.raw(head + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        self.assertEqual(await expecting.status(), 100)
        expecting.leave()
        self.assertEqual((await (await node.caller()).ask("read", bytes(65_536)))[0], 200)
        self.assertEqual([len(seen.body) for seen in server.seen], [65_536])

    async def test_an_id_in_hand_is_turned_away_and_the_open_one_goes_on(self) -> None:
        go_on = asyncio.Event()

        async def play(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await go_on.wait()
            await serve_well(seen, reader, writer)

        server = await self.stand_in(play)
        node = await self.node(server)
        first, second = await node.caller(), await node.caller()
        request = b"GET /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: same\r\n\r\n"
        first.raw(request)
        await until(lambda: len(server.seen) == 1)
        second.raw(request)
        self.assertEqual((await second.answer())[0], 409)
        go_on.set()
        self.assertEqual((await first.answer())[0], 200)
        self.assertEqual((len(server.seen), node.node.inquiries.open_ids), (1, set()))

    async def test_silence_a_head_without_end_and_staying_on_are_closed(self) -> None:
        with mock.patch("coraldeal.net.callers.QUIET_LONG", 0.2):
            node = await self.node(await self.stand_in())
            silent, endless, staying = [await node.caller() for _ in range(3)]
            self.assertEqual((await staying.ask())[0], 200)
            endless.raw(b"GET /read/x HTTP/1.1\r\nHost: n\r\nX: ")
            for caller in (silent, endless, staying):
                self.assertEqual(await caller.at_end(), b"")
        self.assertEqual(node.node.callers.held, 0)

    async def test_a_flood_of_what_cannot_be_read_is_told_in_one_line(self) -> None:
        node = await self.node(await self.stand_in())
        with self.assertLogs(None, "INFO") as logs:
            for _ in range(30):
                caller = await node.caller()
                caller.raw(b"nonsense\r\n\r\n")
                self.assertEqual(await caller.status(), 400)
        self.assertEqual(len(logs.output), 1)
        self.assertEqual(sum(node.node.callers.away.values()), 29)

    async def test_a_bug_is_logged_answered_and_costs_no_other_inquiry(self) -> None:
        node = await self.node(await self.stand_in())
        caller = await node.caller()
        with (
            mock.patch.object(node.node.balancer, "inquiry_arrived", side_effect=KeyError("bug")),
            self.assertLogs("coraldeal.net.inquiry", "ERROR") as logs,
        ):
            self.assertEqual((await caller.ask())[0], 500)
        self.assertIn("inquiry failed", logs.output[0])
        self.assertEqual((await caller.ask())[0], 200)

    async def test_a_bug_in_a_attempt_frees_its_place(self) -> None:
        node = await self.node(await self.stand_in())
        caller = await node.caller()
        with (
            mock.patch("coraldeal.net.servers.parse_answer", side_effect=KeyError("bug")),
            self.assertLogs("coraldeal.net.inquiry", "ERROR"),
        ):
            self.assertEqual((await caller.ask())[0], 500)
        await until(lambda: not node.node.balancer.attempts)
        self.assertEqual((await caller.ask())[0], 200)

    async def test_an_inquiry_that_the_module_forgets_is_answered_in_time(self) -> None:
        node = await self.node(await self.stand_in())
        caller = await node.caller()
        with (
            mock.patch.object(node.node.balancer, "inquiry_arrived"),
            self.assertLogs("coraldeal.net.inquiry", "WARNING"),
        ):
            self.assertEqual((await caller.ask("read", b"", "50m"))[0], 504)
        self.assertEqual(node.node.inquiries.in_hand, {})

    async def test_patience_runs_on_while_a_request_lies_unread(self) -> None:
        node = await self.node(await self.stand_in())
        caller = await node.caller()
        self.assertEqual((await caller.ask())[0], 200)
        live = node.node.callers.live
        with mock.patch.object(node.node.callers, "live", wraps=live) as lived:
            caller.send("read", b"", "800m")
            time.sleep(0.2)  # the node's loop stands still, the request is there
            await caller.answer()
        _, left_us, unread_us, _ = lived.call_args.args
        self.assertEqual(left_us, 800_000)
        self.assertGreater(unread_us, 180_000)
        call = lived.call_args.args[0]
        with (
            mock.patch.object(node.node.balancer, "inquiry_arrived"),
            self.assertLogs("coraldeal.net.inquiry", "WARNING"),
        ):
            before = clock()
            self.assertEqual((await live(call, 400_000, 350_000, lambda: True)).status, 504)
        self.assertLess(clock() - before, 300_000)

    async def test_nothing_comes_back_inside_the_modules_own_call(self) -> None:
        refusing = await self.stand_in()
        refusing.stop()
        node = await self.node(refusing)
        balancer, inside, reentered, told = node.node.balancer, 0, [], []

        def watched(name: str) -> Any:
            method = getattr(type(balancer), name)

            def call(*args: Any) -> Any:
                nonlocal inside
                told.append((name, args))
                if inside:
                    reentered.append(name)
                inside += 1
                try:
                    return method(balancer, *args)
                finally:
                    inside -= 1

            return call

        for name in (
            "inquiry_arrived",
            "attempt_ended",
            "client_disconnected",
            "alarm",
            "peer_message_received",
            "servers_listed",
        ):
            setattr(balancer, name, watched(name))
        caller = await node.caller()
        self.assertEqual((await caller.ask("read", b"", "300m"))[0], 503)
        ends = [args[2] for name, args in told if name == "attempt_ended"]
        self.assertIn(Outcome.CONNECT_FAILED, ends)
        self.assertIn("alarm", [name for name, _ in told])
        self.assertEqual(reentered, [])


class TimeToEnd(NodeCase):
    """The platform kills 3.7 s after it told a node to end, also where callers would wait for longer."""

    async def test_what_is_in_hand_is_answered_before_the_kill_and_the_node_ends(self) -> None:
        longer = {"expected_time_ns": 4 * 10**9, "patience_ns": 9 * 10**9}
        tracks = [{**track, **longer} for track in SETTINGS["tracks"]]
        server = await self.stand_in(never_answer)
        with mock.patch("coraldeal.net.node.MAX_DRAIN_DEADLINE", 0.1):
            running = await self.node(server, tracks=tracks)
            caller = await running.caller()
            caller.send("write", b"x", "9000m")
            await until(lambda: len(server.seen) == 1)
            began = clock()
            running.node.stop_requested.set()
            self.assertGreaterEqual((await caller.answer())[0], 500)
            self.assertLess(clock() - began, 800_000)
            self.assertEqual(await caller.at_end(), b"")
            await until(lambda: running.node.phase is Phase.ENDED, 1.0)


# What is tested here is who makes room among connections that are all new or all in use; on a busy machine
# the quiet timer would close them first, or they would be old by the time they ask.
@mock.patch("coraldeal.net.callers.QUIET_LONG", 60.0)
@mock.patch("coraldeal.net.callers.SILENT_LONG", 60.0)
class Descriptors(NodeCase):
    async def test_idle_callers_make_room_for_new_ones(self) -> None:
        server = await self.stand_in()
        node = await self.node(server, sockets=140)
        self.assertEqual(node.node.limit, 105)
        callers = [await node.caller() for _ in range(100)]
        for caller in callers:
            self.assertEqual((await caller.ask())[0], 200)
        more = [await node.caller() for _ in range(60)]
        for caller in more:
            self.assertEqual((await caller.ask())[0], 200)
        await until(lambda: node.node.callers.held + node.node.servers.descriptors_in_use <= 105)
        self.assertEqual(await callers[0].at_end(), b"")

    async def test_callers_that_send_nothing_cannot_use_up_the_reserve(self) -> None:
        node = await self.node(await self.stand_in(), sockets=140)
        for _ in range(200):
            await node.caller()
        self.assertLess(node.node.callers.held, 130)
        self.assertEqual((await (await node.caller()).ask())[0], 200)

    async def test_those_that_say_nothing_go_before_those_between_two_requests(self) -> None:
        with mock.patch("coraldeal.net.callers.SILENT_LONG", 0.0):
            node = await self.node(await self.stand_in(), sockets=140)
            usual = await node.caller()
            self.assertEqual((await usual.ask())[0], 200)
            for _ in range(150):
                await node.caller()
            await until(lambda: node.node.callers.held <= 120)
            self.assertEqual((await usual.ask())[0], 200)

    async def test_beyond_the_limit_an_inquiry_is_refused_not_lost(self) -> None:
        server = await self.stand_in(never_answer)
        longer = {"expected_time_ns": 30 * 10**9, "patience_ns": 60 * 10**9}
        tracks = [{**track, **longer} for track in SETTINGS["tracks"]]
        node = await self.node(server, sockets=140, tracks=tracks)
        callers = [await node.caller() for _ in range(53)]
        for caller in callers:
            caller.send("read", b"", "60000m")
        await until(lambda: len(node.node.inquiries.in_hand) == 53)
        # None is idle: new ones go over the limit, and must not be closed before what they bring is read.
        late = [await node.caller() for _ in range(60)]
        for caller in late:
            self.assertEqual((await caller.ask())[0], 503)
        for caller in callers:
            caller.leave()
        await until(lambda: not node.node.inquiries.in_hand)


class ListOfServers(NodeCase):
    async def discovery(self, *lines: Any, status: int = 200, hold: bool = True) -> StandIn:
        async def play(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if status != 200:
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in lines:
                data = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
                # In two pieces: a line is not a chunk.
                for piece in (data[:9], data[9:]):
                    writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                    await writer.drain()
            if hold:
                await reader.read()
            writer.close()

        return await self.stand_in(play)

    async def test_begins_with_what_it_knew_and_watches_from_there(self) -> None:
        old, new = await self.stand_in(), await self.stand_in()
        changes = server_list(2, False, entry("s0", old.address, "Gone"), entry("new", new.address))
        discovery = await self.discovery(changes, b"")
        node = await self.node(old, discovery=discovery.address)
        self.assertEqual((await (await node.caller()).ask())[0], 200)
        self.assertEqual(len(old.seen), 1)
        await until(lambda: "new" in node.node.balancer.servers)
        self.assertEqual(discovery.seen[0].line, "GET /v1/endpoints?watch=1&after=1 HTTP/1.1")
        self.assertEqual((await (await node.caller()).ask())[0], 200)
        self.assertEqual((len(old.seen), len(new.seen)), (1, 1))

    async def test_keeps_its_list_and_asks_again_when_discovery_fails(self) -> None:
        server = await self.stand_in()
        discovery = await self.discovery(status=503)
        node = await self.node(server, discovery=discovery.address)
        await until(lambda: len(discovery.seen) >= 2)
        self.assertEqual((await (await node.caller()).ask())[0], 200)

    async def test_silence_is_a_dead_watch(self) -> None:
        discovery = await self.discovery(server_list(2, False))
        with mock.patch.object(discovery_module, "LIVENESS_TIMEOUT", 0.1):
            await self.node(await self.stand_in(), discovery=discovery.address)
            await until(lambda: len(discovery.seen) >= 2)
        self.assertIn("after=2", discovery.seen[1].line)

    async def test_what_cannot_be_read_ends_the_watch_and_the_whole_list_is_asked_for(self) -> None:
        discovery = await self.discovery(server_list(2, False), b'{"generation": 3}')
        node = await self.node(await self.stand_in(), discovery=discovery.address)
        await until(lambda: len(discovery.seen) >= 2)
        self.assertEqual(discovery.seen[1].line, "GET /v1/endpoints?watch=1 HTTP/1.1")
        self.assertEqual(list(node.node.balancer.servers), ["s0"])

    async def test_a_line_cut_short_is_no_news_and_the_watch_goes_on_from_the_last_whole_one(self) -> None:
        whole = json.dumps(server_list(3, False, entry("s0", "127.0.0.1:1", "Gone"))).encode()
        for last in (b"", b"0\r\n\r\n"):
            # Cut anywhere, before the object's last byte too; the answer's own end is whole or not.
            for cut in (1, len(whole) // 2, len(whole) - 1):

                async def play(
                    seen: Seen, reader: Any, writer: asyncio.StreamWriter, cut: int = cut, last: bytes = last
                ) -> None:
                    first = json.dumps(server_list(2, False)).encode() + b"\n"
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    for piece in (first, whole[:cut]):
                        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                    writer.write(last)
                    writer.close()

                with self.subTest(cut=cut, last=last):
                    discovery = await self.stand_in(play)
                    node = await self.node(await self.stand_in(), discovery=discovery.address)
                    await until(lambda discovery=discovery: len(discovery.seen) >= 2)  # type: ignore[misc]
                    self.assertEqual(discovery.seen[1].line, "GET /v1/endpoints?watch=1&after=2 HTTP/1.1")
                    self.assertEqual(list(node.node.balancer.servers), ["s0"])

    async def test_a_new_configuration_moves_the_watch_and_a_faulty_one_changes_nothing(self) -> None:
        server, added = await self.stand_in(), await self.stand_in()
        first = await self.discovery(server_list(1, False))
        second = await self.discovery(server_list(1, True, entry("new", added.address)))
        node = await self.node(server, discovery=first.address)
        await until(lambda: len(first.seen) == 1)
        anew = [SettingsError("setting seed is not text"), replace(node.told, discovery=second.address)]
        with (
            mock.patch.object(node.node, "load_config", side_effect=anew),
            self.assertLogs("coraldeal.net.node", "INFO") as logs,
        ):
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: len(logs.output) == 1)
            self.assertEqual((node.node.discovery.address, first.closed), (first.address, 0))
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: "new" in node.node.balancer.servers)
        self.assertIn("setting seed", str(logs.records[0].__dict__["pairs"]))
        self.assertEqual(second.seen[0].line, "GET /v1/endpoints?watch=1 HTTP/1.1")
        await until(lambda: first.closed == 1)
        self.assertEqual(len(first.seen), 1)

    async def test_a_list_that_is_pushed_is_watched_from_the_start_and_again(self) -> None:
        discovery = await self.discovery(server_list(2, False), hold=False)
        with mock.patch("coraldeal.net.node.MIN_REWATCH_DELAY", 0.01):
            node = await self.node(await self.stand_in(), discovery=discovery.address, pushed=True)
            await until(lambda: len(discovery.seen) >= 3)
        self.assertEqual(node.node.balancer.list_wait, 0)


class Ending(unittest.IsolatedAsyncioTestCase):
    """The program itself, by its command line."""

    async def asyncSetUp(self) -> None:
        self.server = await StandIn(self.slow).start()
        self.addCleanup(self.server.stop)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        free = await StandIn().start()
        self.port = int(free.address.rpartition(":")[2])
        free.stop()
        await free.server.wait_closed()
        path = self.path = Path(folder) / "config.json"
        known = server_list(1, True, entry("s0", self.server.address))
        told = {"listen": f"127.0.0.1:{self.port}", "known": known, "seed": "1", "settings": SETTINGS}
        path.write_text(json.dumps(told))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "coraldeal", "serve", "--config", path], cwd=ROOT, stderr=subprocess.PIPE
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)
        for _ in range(500):
            try:
                self.caller = await self.open()
                break
            except ConnectionError:
                await asyncio.sleep(0.02)
        self.caller.raw(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
        self.assertEqual((await self.caller.answer())[0], 200)

    async def open(self) -> Caller:
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        return caller

    async def slow(self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.8 if len(self.server.seen) == 1 else 0)
        await serve_well(seen, reader, writer)

    async def test_all_in_hand_and_all_that_still_comes_is_answered(self) -> None:
        # Once for a file that is as it was, once for none: neither ends the program.
        for text in (self.path.read_text(), "{"):
            self.path.write_text(text)
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        silent, idle = await self.open(), await self.open()
        idle.raw(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
        await idle.answer()
        self.caller.send()
        await until(lambda: len(self.server.seen) == 1)
        self.process.send_signal(signal.SIGTERM)
        ready = 200
        while ready == 200:
            probe = await self.open()
            probe.raw(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
            ready, _ = await probe.answer()
        self.assertEqual(ready, 503)
        for caller in (idle, await self.open()):
            status, seen = await caller.ask()
            self.assertEqual((status, seen.fields.get("connection")), (200, None))
        self.assertEqual(await silent.at_end(), b"")
        with self.assertRaises(ConnectionError):
            await self.open()
        # Nobody new is taken, and those who are connected are served on.
        self.assertEqual((await idle.ask())[0], 200)
        status, seen = await self.caller.answer()
        self.assertEqual((status, seen.body), (200, b"done"))
        # What can't be answered any more is told so before the end, and the connection closed.
        self.server.play = never_answer
        self.caller.send("read", b"", "9000m")
        self.assertGreaterEqual((await self.caller.answer())[0], 500)
        self.assertEqual(await self.caller.at_end(), b"")
        self.assertEqual(await idle.at_end(), b"")
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.assertEqual(self.process.returncode, 0)
