"""Attempts on their connections: what went out, how often, and how its end is told."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Iterator
from random import Random
from typing import Any
from unittest import mock

from coraldeal.interface import Condition, Entry, Outcome
from coraldeal.net.counters import Counters
from coraldeal.net.host import clock
from coraldeal.net.servers import Servers
from coraldeal.net.wire import AttemptEnd, Listed
from tests.standins import (
    Message,
    Responder,
    StandIn,
    answer,
    hang_up,
    never_answer,
    serve_well,
    until,
)

GET = b"GET /read/1 HTTP/1.1\r\nHost: s\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n"
# More than the sockets between two ends hold, so that some of it stays unwritten.
LARGE = 64 << 20
SECOND = 1_000_000


def post(size: int) -> bytes:
    return b"POST /read/1 HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)


class Counted(dict[str, Any]):
    """A dictionary that counts how many of its entries were looked through one after the other."""

    seen = 0

    def _all(self, found: Any) -> Iterator[Any]:
        for one in found:
            self.seen += 1
            yield one

    def __iter__(self) -> Iterator[Any]:
        return self._all(super().__iter__())

    def items(self) -> Any:
        return self._all(super().items())

    def values(self) -> Any:
        return self._all(super().values())


def entry(name: str, condition: Condition = Condition.READY) -> Entry:
    return Entry(name, "z", 0, condition, 0)


class Trips(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.opened = 0
        self.servers = Servers(clock, 3 * SECOND, SECOND // 5, self.count, lambda server: True, Counters(()))
        self.addAsyncCleanup(self.servers.close)

    def count(self) -> None:
        self.opened += 1

    async def stand_in(self, play: Responder = serve_well) -> StandIn:
        stand_in = await StandIn(play).start()
        self.addCleanup(stand_in.stop)
        self.servers.learn([Listed(entry("s"), stand_in.address)])
        return stand_in

    async def attempt(self, message: bytes = GET, timeout_us: int = 5 * SECOND) -> AttemptEnd:
        return await self.servers.attempt("s", message, timeout_us)

    async def test_satisfied_with_report(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early\r\n\r\n" + answer(200, b"ok", "Srv-Load: queue=2"))

        server = await self.stand_in(play)
        end = await self.attempt(post(3))
        self.assertIs(end.outcome, Outcome.SERVED)
        self.assertEqual((end.report, end.answer and end.answer.body), ({"queue": 2.0}, b"ok"))
        self.assertEqual((server.seen[0].line, server.seen[0].body), ("POST /read/1 HTTP/1.1", bytes(3)))

    async def test_other_answers(self) -> None:
        replies = [answer(500), answer(503, b"", "Srv-Declined: 1"), answer(302, b"", "Location: /read/2")]

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(replies[len(server.seen) - 1])

        server = await self.stand_in(play)
        ends = [(await self.attempt()).outcome for _ in replies]
        self.assertEqual(ends, [Outcome.ERROR, Outcome.FULL, Outcome.ERROR])
        self.assertEqual(len(server.seen), 3, "a redirect is not followed")

    async def test_body_goes_on_as_it_came_though_it_says_it_is_compressed(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"not gzip", "Content-Encoding: gzip", "Set-Cookie: a=b"))

        server = await self.stand_in(play)
        end = await self.attempt()
        self.assertEqual(end.answer and end.answer.body, b"not gzip")
        await self.attempt()
        self.assertNotIn("cookie", server.seen[1].fields)

    async def test_a_request_on_a_broken_reused_connection_goes_out_once(self) -> None:
        server = await self.stand_in()
        self.assertIs((await self.attempt()).outcome, Outcome.SERVED)
        server.respond = hang_up
        await asyncio.sleep(0.05)
        # A GET: a client session would repeat it here by itself.
        self.assertIs((await self.attempt()).outcome, Outcome.RESET)
        await until(lambda: server.closed == 1)
        self.assertEqual((len(server.seen), server.opened), (2, 1))

    async def test_refused_connection_is_proved_not_run(self) -> None:
        server = await self.stand_in()
        server.stop()
        await server.server.wait_closed()
        self.assertIs((await self.attempt()).outcome, Outcome.CONNECT_FAILED)

    async def test_connection_that_never_comes_up(self) -> None:
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for _ in range(4):
            filling = socket.socket()
            self.addCleanup(filling.close)
            filling.setblocking(False)
            filling.connect_ex(full.getsockname())
        self.servers.learn([Listed(entry("s"), f"127.0.0.1:{full.getsockname()[1]}")])
        end = await self.attempt()
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)
        self.assertGreaterEqual(end.latency_us, SECOND // 5 - 2000)

    async def unread(self, after: str) -> tuple[AttemptEnd, int]:
        """A server that takes a part of a large message; the attempt ends by `after`; how much it got."""
        took = 0
        begun = asyncio.Event()
        read_on = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal took
            took += len(await reader.read(1000))
            begun.set()
            if after == "reset":
                writer.transport.abort()
            await read_on.wait()
            try:
                while data := await reader.read(1 << 20):
                    took += len(data)
            except ConnectionError:
                pass
            finished.set()
            writer.close()

        finished = asyncio.Event()
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.servers.learn([Listed(entry("s"), f"127.0.0.1:{server.sockets[0].getsockname()[1]}")])
        attempt = asyncio.create_task(
            self.attempt(post(LARGE), SECOND // 5 if after == "time" else 5 * SECOND)
        )
        await begun.wait()
        if after == "stop":
            attempt.cancel()
        end = await attempt
        read_on.set()
        await finished.wait()
        return end, took

    async def test_break_before_the_last_byte_is_proved_not_run(self) -> None:
        end, _ = await self.unread("reset")
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)

    async def test_time_out_before_the_last_byte_is_proved_not_run_and_the_rest_never_follows(self) -> None:
        end, took = await self.unread("time")
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)
        self.assertLess(took, LARGE)

    async def test_stop_before_the_last_byte_lets_the_rest_never_follow(self) -> None:
        end, took = await self.unread("stop")
        self.assertIs(end.outcome, Outcome.CANCELLED)
        self.assertLess(took, LARGE)

    async def test_break_after_the_last_byte_is_a_reset(self) -> None:
        async def cut(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            writer.close()

        for play in (hang_up, cut):
            with self.subTest(play=play):
                await self.stand_in(play)
                self.assertIs((await self.attempt()).outcome, Outcome.RESET)

    async def raw(self, data: bytes, later: bytes = b"") -> tuple[StandIn, AttemptEnd]:
        """A server that answers with these bytes and keeps the connection."""

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(data)
            if later:
                await asyncio.sleep(0.003)
                writer.write(later)

        server = await self.stand_in(play)
        with mock.patch("coraldeal.net.servers.STALL", 0.1):
            end = await self.attempt()
        return server, end

    async def test_an_answer_that_is_none_is_spoilt_and_its_connection_closed(self) -> None:
        for data in (
            b"what?\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nSrv-Load: in",
            b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            with self.subTest(data=data[:80]):
                server, end = await self.raw(data)
                self.assertIs(end.outcome, Outcome.MALFORMED)
                self.assertFalse(end.outcome.proved_not_run)
                await until(lambda server=server: server.closed == 1)  # type: ignore[misc]

    async def test_a_good_answer_is_kept_and_what_comes_with_it_is_not_the_next_ones(self) -> None:
        good = answer(200, b"good", "Srv-Load: queue=2")
        early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        for data, later in (
            (good + answer(200, b"copy"), b""),
            (good + b"\x00\xffnoise\r\n\r\n", b""),
            (good, answer(200, b"copy")),
            (good, b"\x00noise"),
            (early + good + good, b""),
        ):
            with self.subTest(data=data, later=later):
                server, end = await self.raw(data, later)
                self.assertEqual(end.answer and end.answer.body, b"good")
                server.respond = serve_well
                end = await self.attempt()
                self.assertEqual(end.answer and end.answer.body, b"done")
                self.assertEqual(server.opened, 2)
        for load in ("\xff\xfe", "queue=nan,inflight=-1,x=inf", "queue=", "=,,=;", "q" * 5000):
            with self.subTest(load=load):
                server, end = await self.raw(answer(200, b"good", f"Srv-Load: {load}"))
                self.assertEqual((end.answer and end.answer.body, end.report), (b"good", None))

    async def test_a_new_server_at_a_gone_ones_address_starts_afresh(self) -> None:
        server = await self.stand_in()
        await self.attempt()
        lost = self.servers.learn([Listed(entry("t"), server.address)])
        self.assertEqual((lost, list(self.servers.targets)), (["s"], ["t"]))
        await until(lambda: server.closed == 1)
        self.servers.learn([Listed(entry("u"), "127.0.0.1:1")], whole=True)
        self.assertEqual(list(self.servers.targets), ["u"])
        self.assertEqual(self.servers.held, 0)

    def learned_plainly(self, targets: dict[str, str], listed: list[Listed], whole: bool) -> list[str]:
        """What `learn` does, said by looking through all servers each time: addresses by server, in order."""
        told = {one.server: (one.condition, address) for one, address in listed}
        for server in list(targets):
            if told.get(server, (Condition.GONE if whole else None, ""))[0] is Condition.GONE:
                del targets[server]
        lost = []
        for server, (condition, address) in told.items():
            if condition is Condition.GONE or not address or targets.get(server) == address:
                continue
            targets.pop(server, None)
            for other in [name for name, at in targets.items() if at == address]:
                del targets[other]
                lost.append(other)
            targets[server] = address
        return lost

    async def test_lists_drawn_by_chance_are_learned_as_by_looking_through_all(self) -> None:
        draw = Random(1)
        targets: dict[str, str] = {}
        conditions = (*[Condition.READY] * 4, Condition.DRAINING, Condition.GONE)
        for turn in range(400):
            listed = [
                Listed(
                    entry(f"s{draw.randrange(12)}", draw.choice(conditions)),
                    draw.choice(("", *[f"127.0.0.1:{draw.randrange(1, 9)}"] * 5)),
                )
                for _ in range(draw.choice((1, 2, 12)))
            ]
            whole = draw.random() < 0.1
            with self.subTest(turn=turn):
                lost = self.servers.learn(listed, whole)
                self.assertEqual(lost, self.learned_plainly(targets, listed, whole))
                now = {name: target.address for name, target in self.servers.targets.items()}
                self.assertEqual(list(now.items()), list(targets.items()))

    async def test_a_list_costs_as_much_as_it_is_long(self) -> None:
        def line(number: int, port: int) -> Listed:
            return Listed(entry(f"s{number}"), f"127.0.0.1:{port}")

        count = 500
        targets = self.servers.targets = Counted()
        self.servers.learn([line(number, 1000 + number) for number in range(count)], whole=True)
        self.servers.learn([line(number, 1000 + number) for number in range(count)], whole=True)
        self.assertLessEqual(targets.seen, 2 * count)
        targets.seen = 0
        self.assertEqual(self.servers.learn([line(count, 1007)]), ["s7"])
        self.servers.learn([Listed(entry("s8", Condition.DRAINING), "127.0.0.1:1008")])
        self.servers.learn([Listed(entry("s9", Condition.GONE), "")])
        self.assertEqual(targets.seen, 0, "a change looks through no other server")
        self.assertEqual(len(targets), count - 1)

    async def test_the_longest_idle_goes_first_and_is_found_without_looking_through_servers(self) -> None:
        ends = {name: await StandIn(serve_well).start() for name in ("a", "b", "c")}
        for end in ends.values():
            self.addCleanup(end.stop)
        self.servers.learn([Listed(entry(name), end.address) for name, end in ends.items()])
        self.servers.learn([Listed(entry(f"s{i}"), f"127.0.0.1:{i + 1}") for i in range(100)])
        for name in ("b", "c", "a", "b"):
            await self.servers.attempt(name, GET, 5 * SECOND)
            # Longer than a connection settles, so that the next attempt there takes it.
            await asyncio.sleep(0.02)
        targets = self.servers.targets = Counted(self.servers.targets)
        left = list(ends)
        for name in ("c", "a", "b"):
            self.assertTrue(self.servers.close_one_idle())
            left = [one for one in left if one != name]
            self.assertEqual([one for one in ends if targets[one].idle], sorted(left))
        await until(lambda: all(end.closed == 1 for end in ends.values()))
        self.assertFalse(self.servers.close_one_idle())
        self.servers.sweeper.cancel()
        self.servers._sweep()
        self.assertEqual(targets.seen, 0)

    async def test_time_out_and_stop_close_the_connection(self) -> None:
        server = await self.stand_in(never_answer)
        self.assertIs((await self.attempt(timeout_us=SECOND // 20)).outcome, Outcome.TIMEOUT)
        await until(lambda: server.closed == 1)
        attempt = asyncio.create_task(self.attempt())
        await until(lambda: len(server.seen) == 2)
        attempt.cancel()
        self.assertIs((await attempt).outcome, Outcome.CANCELLED)
        await until(lambda: server.closed == 2)

    async def test_latest_connection_is_reused_and_idle_ones_are_closed_early(self) -> None:
        let_go = asyncio.Event()

        async def together(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ports.append(writer.get_extra_info("peername")[1])
            if len(ports) == 2:
                let_go.set()
            await let_go.wait()
            if len(ports) == 2 and writer.get_extra_info("peername")[1] == ports[1]:
                await asyncio.sleep(0.02)
            writer.write(answer())

        ports: list[int] = []
        server = await self.stand_in(together)
        await asyncio.gather(self.attempt(), self.attempt())
        await asyncio.sleep(0.05)
        await self.attempt()
        self.assertEqual(ports[2], ports[1], "the connection used last goes first")
        self.assertEqual(self.servers.held, 2)
        # The other end would close after 3 s.
        await until(lambda: server.closed == 2, 2.9)

    async def test_what_came_unasked_is_no_answer(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"asked"))
            if len(server.seen) == 1:
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(answer(200, b"unasked"))

        server = await self.stand_in(play)
        await self.attempt()
        await asyncio.sleep(0.1)
        end = await self.attempt()
        self.assertEqual(end.answer and end.answer.body, b"asked")
        self.assertEqual(server.opened, 2)

    async def test_a_server_taken_off_the_list_gets_nothing(self) -> None:
        server = await self.stand_in()
        self.servers.learn([Listed(entry("s", Condition.GONE), "")])
        self.assertIs((await self.attempt()).outcome, Outcome.CONNECT_FAILED)
        self.assertEqual(server.seen, [])

    async def test_probe(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"inflight=3,queue=1"))

        server = await self.stand_in(play)
        end = await self.servers.probe("s", with_report=True)
        self.assertEqual((end.outcome, end.report), (Outcome.SERVED, {"inflight": 3.0, "queue": 1.0}))
        await self.servers.probe("s", with_report=False)
        lines = [seen.line for seen in server.seen]
        self.assertEqual(lines, ["GET /status/load HTTP/1.1", "GET /health HTTP/1.1"])
