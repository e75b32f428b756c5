"""Large, slow and piecewise messages, between stand-ins on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from coraldeal.interface import Outcome
from tests.standins import Played, RunningNode, Seen, StandIn, answer, config, entry, server_list, until

MIB = 1024 * 1024
LARGE = random.Random(7).randbytes(MIB) * 5


class BodiesCase(unittest.IsolatedAsyncioTestCase):
    async def node(self, play: Played, **told: Any) -> RunningNode:
        self.server = await StandIn(play).start()
        self.addCleanup(self.server.stop)
        known = server_list(1, True, entry("s0", self.server.address))
        return await self.enterAsyncContext(RunningNode(config(known, **told)))

    async def chunks(self, reader: asyncio.StreamReader) -> bytes:
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body


def digest(data: bytes) -> str:
    return hashlib.md5(data).hexdigest()


class Answers(BodiesCase):
    async def test_a_large_answer_is_passed_on_as_it_comes(self) -> None:
        go_on = asyncio.Event()

        async def play(seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, LARGE)[: 3 * MIB])
            await go_on.wait()
            writer.write(answer(200, LARGE)[3 * MIB :])

        running = await self.node(play)
        caller = await running.caller()
        caller.send("read", b"", "300m")
        head = await caller.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Content-Length: %d\r\n" % len(LARGE), head)
        body = await caller.reader.readexactly(2 * MIB)
        # Its client has what there is; the server's place is free and the patience is over.
        self.assertEqual((running.node.balancer.attempts, running.node.callers.passing), ({}, 1))
        await asyncio.sleep(0.35)
        go_on.set()
        body += await caller.reader.readexactly(len(LARGE) - len(body))
        self.assertEqual(digest(body), digest(LARGE))
        await until(lambda: running.node.callers.passing == 0)
        self.assertEqual(running.node.figures.satisfied["read"], 1)
        # Both connections serve on.
        go_on.set()
        caller.send()
        await caller.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(digest(await caller.reader.readexactly(len(LARGE))), digest(LARGE))
        self.assertEqual(self.server.opened, 1)

    async def test_every_way_an_answer_may_end(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        pieces = b"".join(
            b"%x;a=b\r\n%b\r\n" % (len(LARGE[i : i + 9973]), LARGE[i : i + 9973])
            for i in range(0, len(LARGE), 9973)
        )
        for data, close in (
            (b"HTTP/1.1 103 Early\r\n\r\n" + answer(200, LARGE), False),
            (chunked + pieces + b"0\r\nTrailer: x\r\n\r\n", False),
            (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE, True),
            (b"HTTP/1.0 200 OK\r\n\r\n" + LARGE, True),
        ):

            async def play(
                seen: Seen, reader: Any, writer: asyncio.StreamWriter, data: bytes = data, close: bool = close
            ) -> None:
                writer.write(data)
                if close:
                    writer.close()

            with self.subTest(data[:60]):
                caller = await (await self.node(play)).caller()
                caller.send()
                head = await caller.reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head:
                    body = await self.chunks(caller.reader)
                else:
                    body = await caller.reader.readexactly(len(LARGE))
                self.assertEqual(digest(body), digest(LARGE))

    async def test_one_broken_off_cuts_its_client_and_is_not_sent_again(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + LARGE[:100_000]
        for data in (answer(200, LARGE)[: 2 * MIB], chunked):

            async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter, data: bytes = data) -> None:
                writer.write(data)
                writer.close()

            with self.subTest(data[:60]):
                running = await self.node(play)
                caller = await running.caller()
                caller.send()
                got = await caller.at_end()
                self.assertTrue(got.startswith(b"HTTP/1.1 200"))
                self.assertFalse(got.endswith(b"0\r\n\r\n"))
                self.assertLess(len(got), len(LARGE))
                self.assertEqual(len(self.server.seen), 1)
                figures = running.node.figures
                self.assertEqual((figures.satisfied["read"], figures.given_up["read"]), (0, 1))

    async def test_a_client_that_takes_nothing_holds_little_and_not_for_long(self) -> None:
        sent = 0

        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(answer(200, LARGE * 8)[:100])
            while True:
                writer.write(LARGE[:65536])
                await writer.drain()
                sent += 65536

        running = await self.node(play)
        with (
            mock.patch("coraldeal.net.callers.TAKER_GRACE", 0.3),
            mock.patch("coraldeal.net.bodies.SLOWEST", 10**9),
        ):
            caller = await running.caller()
            caller.send()
            await until(lambda: running.node.callers.passing == 1)
            await until(lambda: running.node.callers.passing == 0)
        self.assertLess(sent, len(LARGE) * 8)
        await until(lambda: running.node.servers.open_connections == 0)


class Bodies(BodiesCase):
    async def test_a_large_body_is_passed_on_and_times_run_from_its_end(self) -> None:
        begun = asyncio.Event()
        got: list[str] = []

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    begun.set()
                    chunked = b"Transfer-Encoding: chunked" in head
                    body = await (self.chunks(reader) if chunked else reader.readexactly(len(LARGE)))
                    got.append(digest(body))
                    writer.write(answer())

        running = await self.node(answer)  # type: ignore[arg-type]
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        running.node.servers.endpoints["s0"].port = server.sockets[0].getsockname()[1]
        head = b"POST /read/x HTTP/1.1\r\nHost: n\r\nReq-Deadline: 300m\r\nReq-Id: "
        pieces = [LARGE[i : i + 99_991] for i in range(0, len(LARGE), 99_991)]
        plain = head + b"1\r\nContent-Length: %d\r\n\r\n" % len(LARGE), pieces
        framed = [b"%x;x=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\nT: x\r\n\r\n"]
        for start, parts in (plain, (head + b"2\r\nTransfer-Encoding: chunked\r\n\r\n", framed)):
            caller = await running.caller()
            caller.raw(start + b"".join(parts[:-1]))
            await asyncio.wait_for(begun.wait(), 5)
            begun.clear()
            # Its patience of 0.3 s does not run while the rest is on its way.
            await asyncio.sleep(0.4)
            self.assertEqual(running.node.figures.attempts, len(got))
            caller.raw(parts[-1])
            self.assertEqual((await caller.answer())[0], 200)
        self.assertEqual((got, running.node.figures.attempts), ([digest(LARGE)] * 2, 2))
        self.assertEqual((running.node.callers.kept, running.node.balancer.attempts), (0, {}))

    async def test_one_kept_whole_may_go_again_and_one_passed_on_is_deferred(self) -> None:
        for size, statuses in ((MIB // 2, (200, 2)), (2 * MIB, (503, 1))):
            with self.subTest(size=size):
                came: list[int] = []

                async def talk(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, came: list[int] = came
                ) -> None:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                    came.append(length)
                    if len(came) == 1:
                        # Reads some of it and breaks off.
                        await reader.readexactly(MIB // 4)
                        writer.transport.abort()
                        return
                    await reader.readexactly(length)
                    writer.write(answer())

                running = await self.node(answer)  # type: ignore[arg-type]
                server = await asyncio.start_server(talk, "127.0.0.1", 0)
                self.addCleanup(server.close)
                running.node.servers.endpoints["s0"].port = server.sockets[0].getsockname()[1]
                caller = await running.caller()
                # The second one's body never comes whole: it did not run, so asking again is harmless.
                length = size if size < MIB else len(LARGE)
                caller.raw(
                    b"POST /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\nContent-Length: %d\r\n\r\n" % length
                )
                caller.raw(LARGE[:size])
                self.assertEqual((await caller.status(), len(came)), statuses)

    async def test_a_caller_that_stops_in_a_large_body_costs_its_server_nothing(self) -> None:
        running = await self.node(answer)  # type: ignore[arg-type]
        ends = []
        real = running.node.balancer.attempt_ended

        def ended(*told: Any) -> None:
            ends.append(told[2])
            real(*told)

        with (
            mock.patch("coraldeal.net.bodies.GRACE", 0.2),
            mock.patch("coraldeal.net.bodies.SLOWEST", 10**9),
            mock.patch("coraldeal.net.callers.LINGER", 0.0),
            mock.patch.object(running.node.balancer, "attempt_ended", ended),
        ):
            caller = await running.caller()
            caller.raw(b"POST /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\nContent-Length: 5000000\r\n\r\n")
            caller.raw(LARGE[: 2 * MIB])
            self.assertEqual(await caller.status(), 408)
        self.assertEqual((ends, self.server.seen), ([Outcome.CANCELLED], []))
        await until(lambda: running.node.servers.open_connections == 0)
        self.assertEqual(running.node.callers.kept, 0)


class Forms(BodiesCase):
    async def test_an_answer_may_take_its_time_behind_what_comes_ahead_of_it(self) -> None:
        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(0.15)
            writer.write(answer())

        caller = await (await self.node(play)).caller()
        with mock.patch("coraldeal.net.servers.ANSWER_STALL_TIMEOUT", 0.05):
            self.assertEqual((await caller.ask("write", b"x"))[0], 200)

    async def test_a_class_dropped_while_its_body_came(self) -> None:
        running = await self.node(answer)  # type: ignore[arg-type]
        caller = await running.caller()
        caller.raw(b"POST /low/x HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\nContent-Length: 2\r\n\r\na")
        await until(lambda: running.node.callers.kept == 1)
        settings = running.node.config.settings
        kept = replace(settings, request_classes=settings.request_classes[:2])
        running.node.load_config = lambda: replace(running.node.config, settings=kept)
        running.node.reload()
        caller.raw(b"b")
        self.assertEqual(await caller.status(), 404)
        self.assertEqual(self.server.seen, [])

    async def test_a_request_cut_at_every_byte(self) -> None:
        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, seen.body))

        running = await self.node(play)
        caller = await running.caller()
        request = (
            b"POST http://app.svc/read/x HTTP/1.1\r\nHost: n\r\nReq-Id: %d\r\nConnection: Keep-Alive\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3;a\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n"
        )
        for at in range(1, len(request % 100)):
            data = request % (100 + at)
            caller.raw(data[:at])
            await asyncio.sleep(0)
            caller.raw(data[at:])
            status, seen = await caller.answer()
            self.assertEqual((status, seen.body), (200, b"abcde"))
        self.assertEqual(self.server.seen[0].line, "POST /read/x HTTP/1.1")

    async def test_pipelined_old_and_bodiless(self) -> None:
        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"" if seen.line.startswith("HEAD") else seen.line.encode()))

        caller = await (await self.node(play)).caller()
        for number in range(3):
            caller.raw(b"GET /read/%d HTTP/1.1\r\nHost: n\r\nReq-Id: %d\r\n\r\n" % (number, number))
        bodies = [(await caller.answer())[1].body for _ in range(3)]
        self.assertEqual(bodies, [b"GET /read/%d HTTP/1.1" % number for number in range(3)])
        caller.raw(b"HEAD /read/x HTTP/1.1\r\nHost: n\r\nReq-Id: 7\r\n\r\n")
        self.assertIn(b" 200 ", await caller.reader.readuntil(b"\r\n\r\n"))
        caller.raw(b"GET /read/x HTTP/1.0\r\nReq-Id: 8\r\nConnection: CLOSE\r\n\r\n")
        self.assertTrue((await caller.at_end()).endswith(b"GET /read/x HTTP/1.1"))

    async def test_a_head_that_begins_late_has_its_own_time(self) -> None:
        async def play(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer())

        with (
            mock.patch("coraldeal.net.callers.QUIET_LONG", 0.4),
            mock.patch("coraldeal.net.callers.HEAD_LONG", 0.5),
        ):
            running = await self.node(play)
            caller = await running.caller()
            self.assertEqual((await caller.ask())[0], 200)
            await asyncio.sleep(0.25)
            caller.raw(b"GET /read/x HTTP/1.1\r\nReq-Id: 1\r\n")
            await asyncio.sleep(0.3)
            caller.raw(b"Host: n\r\n\r\n")
            self.assertEqual((await caller.answer())[0], 200)
            # Byte by byte is no way to keep a connection.
            caller.raw(b"G")
            self.assertEqual(await caller.at_end(), b"")
