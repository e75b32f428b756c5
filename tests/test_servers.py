"""Attempts over pooled connections: which bytes are sent, how often, and which outcome is reported."""

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
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import AttemptEnd, ListEntry
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
# Bytes of a body that exceeds the socket buffers of both ends, so that part of it stays unwritten.
LARGE = 64 << 20
SECOND = 1_000_000


def post(size: int) -> bytes:
    return b"POST /read/1 HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)


class CountingDict(dict[str, Any]):
    """A dictionary that counts the entries that were iterated over."""

    iterated = 0

    def _count(self, entries: Any) -> Iterator[Any]:
        for each in entries:
            self.iterated += 1
            yield each

    def __iter__(self) -> Iterator[Any]:
        return self._count(super().__iter__())

    def items(self) -> Any:
        return self._count(super().items())

    def values(self) -> Any:
        return self._count(super().values())


def entry(name: str, condition: Condition = Condition.READY) -> Entry:
    return Entry(name, "z", 0, condition, 0)


class Attempts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.opened = 0
        self.servers = ServerPool(
            clock, 3 * SECOND, SECOND // 5, self.count_opened, lambda server: True, Counters(())
        )
        self.addAsyncCleanup(self.servers.close)

    def count_opened(self) -> None:
        self.opened += 1

    async def stand_in(self, play: Responder = serve_well) -> StandIn:
        stand_in = await StandIn(play).start()
        self.addCleanup(stand_in.stop)
        self.servers.update_endpoints([ListEntry(entry("s"), stand_in.address)])
        return stand_in

    async def attempt(self, message: bytes = GET, timeout_us: int = 5 * SECOND) -> AttemptEnd:
        return await self.servers.attempt("s", message, timeout_us)

    async def test_answer_200_is_served_and_its_load_report_is_parsed(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early\r\n\r\n" + answer(200, b"ok", "Srv-Load: queue=2"))

        server = await self.stand_in(play)
        end = await self.attempt(post(3))
        self.assertIs(end.outcome, Outcome.SERVED)
        self.assertEqual((end.report, end.answer and end.answer.body), ({"queue": 2.0}, b"ok"))
        self.assertEqual((server.seen[0].line, server.seen[0].body), ("POST /read/1 HTTP/1.1", bytes(3)))

    async def test_errors_declines_and_redirects_have_their_outcomes(self) -> None:
        replies = [answer(500), answer(503, b"", "Srv-Declined: 1"), answer(302, b"", "Location: /read/2")]

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(replies[len(server.seen) - 1])

        server = await self.stand_in(play)
        ends = [(await self.attempt()).outcome for _ in replies]
        self.assertEqual(ends, [Outcome.ERROR, Outcome.FULL, Outcome.ERROR])
        self.assertEqual(len(server.seen), 3, "a redirect was followed")

    async def test_body_with_a_content_encoding_is_forwarded_unchanged(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"not gzip", "Content-Encoding: gzip", "Set-Cookie: a=b"))

        server = await self.stand_in(play)
        end = await self.attempt()
        self.assertEqual(end.answer and end.answer.body, b"not gzip")
        await self.attempt()
        self.assertNotIn("cookie", server.seen[1].fields)

    async def test_request_on_a_broken_reused_connection_is_sent_once(self) -> None:
        server = await self.stand_in()
        self.assertIs((await self.attempt()).outcome, Outcome.SERVED)
        server.respond = hang_up
        await asyncio.sleep(0.05)
        # aiohttp's client session would repeat a GET here by itself.
        self.assertIs((await self.attempt()).outcome, Outcome.RESET)
        await until(lambda: server.closed == 1)
        self.assertEqual((len(server.seen), server.opened), (2, 1))

    async def test_refused_connection_is_a_connect_failure(self) -> None:
        server = await self.stand_in()
        server.stop()
        await server.server.wait_closed()
        self.assertIs((await self.attempt()).outcome, Outcome.CONNECT_FAILED)

    async def test_connection_that_is_never_established_fails_after_the_connect_timeout(self) -> None:
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for _ in range(4):
            filling = socket.socket()
            self.addCleanup(filling.close)
            filling.setblocking(False)
            filling.connect_ex(full.getsockname())
        self.servers.update_endpoints([ListEntry(entry("s"), f"127.0.0.1:{full.getsockname()[1]}")])
        end = await self.attempt()
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)
        self.assertGreaterEqual(end.latency_us, SECOND // 5 - 2000)

    async def end_partly_written(self, after: str) -> tuple[AttemptEnd, int]:
        """Send a large message to a server that reads part of it before the attempt ends.

        `after` says how it ends: "reset", "time" or "stop". Returns the attempt's end and the number of bytes
        that the server received in all.
        """
        received = 0
        has_started = asyncio.Event()
        read_on = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received
            received += len(await reader.read(1000))
            has_started.set()
            if after == "reset":
                writer.transport.abort()
            await read_on.wait()
            try:
                while data := await reader.read(1 << 20):
                    received += len(data)
            except ConnectionError:
                pass
            finished.set()
            writer.close()

        finished = asyncio.Event()
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.servers.update_endpoints(
            [ListEntry(entry("s"), f"127.0.0.1:{server.sockets[0].getsockname()[1]}")]
        )
        attempt = asyncio.create_task(
            self.attempt(post(LARGE), SECOND // 5 if after == "time" else 5 * SECOND)
        )
        await has_started.wait()
        if after == "stop":
            attempt.cancel()
        end = await attempt
        read_on.set()
        await finished.wait()
        return end, received

    async def test_reset_before_the_last_byte_is_a_connect_failure(self) -> None:
        end, _ = await self.end_partly_written("reset")
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)

    async def test_timeout_before_the_last_byte_is_a_connect_failure_and_nothing_more_is_sent(self) -> None:
        end, received = await self.end_partly_written("time")
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)
        self.assertLess(received, LARGE)

    async def test_cancellation_before_the_last_byte_stops_the_sending(self) -> None:
        end, received = await self.end_partly_written("stop")
        self.assertIs(end.outcome, Outcome.CANCELLED)
        self.assertLess(received, LARGE)

    async def test_connection_end_after_the_last_byte_is_a_reset(self) -> None:
        async def cut(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            writer.close()

        for play in (hang_up, cut):
            with self.subTest(play=play):
                await self.stand_in(play)
                self.assertIs((await self.attempt()).outcome, Outcome.RESET)

    async def answer_raw(self, data: bytes, later: bytes = b"") -> tuple[StandIn, AttemptEnd]:
        """Run an attempt at a server that answers with these bytes and keeps the connection open.

        `later` is sent 3 ms behind the answer.
        """

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(data)
            if later:
                await asyncio.sleep(0.003)
                writer.write(later)

        server = await self.stand_in(play)
        with mock.patch("coraldeal.net.servers.ANSWER_STALL_TIMEOUT", 0.1):
            end = await self.attempt()
        return server, end

    async def test_malformed_answer_is_reported_and_its_connection_closed(self) -> None:
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
                server, end = await self.answer_raw(data)
                self.assertIs(end.outcome, Outcome.MALFORMED)
                self.assertFalse(end.outcome.proved_not_run)
                await until(lambda server=server: server.closed == 1)  # type: ignore[misc]

    async def test_bytes_behind_a_valid_answer_are_not_taken_for_the_next_answer(self) -> None:
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
                server, end = await self.answer_raw(data, later)
                self.assertEqual(end.answer and end.answer.body, b"good")
                server.respond = serve_well
                end = await self.attempt()
                self.assertEqual(end.answer and end.answer.body, b"done")
                self.assertEqual(server.opened, 2)
        for load in ("\xff\xfe", "queue=nan,inflight=-1,x=inf", "queue=", "=,,=;", "q" * 5000):
            with self.subTest(load=load):
                server, end = await self.answer_raw(answer(200, b"good", f"Srv-Load: {load}"))
                self.assertEqual((end.answer and end.answer.body, end.report), (b"good", None))

    async def test_new_server_at_the_address_of_another_replaces_it(self) -> None:
        server = await self.stand_in()
        await self.attempt()
        replaced = self.servers.update_endpoints([ListEntry(entry("t"), server.address)])
        self.assertEqual((replaced, list(self.servers.endpoints)), (["s"], ["t"]))
        await until(lambda: server.closed == 1)
        self.servers.update_endpoints([ListEntry(entry("u"), "127.0.0.1:1")], is_snapshot=True)
        self.assertEqual(list(self.servers.endpoints), ["u"])
        self.assertEqual(self.servers.descriptors_in_use, 0)

    def expected_update(
        self, endpoints: dict[str, str], listed: list[ListEntry], is_snapshot: bool
    ) -> list[str]:
        """Apply a list to the addresses by server as `update_endpoints` should; return the replaced servers.

        A plain implementation that searches all servers each time.
        """
        states = {one.server: (one.condition, address) for one, address in listed}
        for server in list(endpoints):
            if states.get(server, (Condition.GONE if is_snapshot else None, ""))[0] is Condition.GONE:
                del endpoints[server]
        replaced = []
        for server, (condition, address) in states.items():
            if condition is Condition.GONE or not address or endpoints.get(server) == address:
                continue
            endpoints.pop(server, None)
            for other in [name for name, at in endpoints.items() if at == address]:
                del endpoints[other]
                replaced.append(other)
            endpoints[server] = address
        return replaced

    async def test_random_lists_are_applied_as_by_a_search_of_all_servers(self) -> None:
        draw = Random(1)
        endpoints: dict[str, str] = {}
        conditions = (*[Condition.READY] * 4, Condition.DRAINING, Condition.GONE)
        for turn in range(400):
            listed = [
                ListEntry(
                    entry(f"s{draw.randrange(12)}", draw.choice(conditions)),
                    draw.choice(("", *[f"127.0.0.1:{draw.randrange(1, 9)}"] * 5)),
                )
                for _ in range(draw.choice((1, 2, 12)))
            ]
            is_snapshot = draw.random() < 0.1
            with self.subTest(turn=turn):
                replaced = self.servers.update_endpoints(listed, is_snapshot)
                self.assertEqual(replaced, self.expected_update(endpoints, listed, is_snapshot))
                now = {name: target.address for name, target in self.servers.endpoints.items()}
                self.assertEqual(list(now.items()), list(endpoints.items()))

    async def test_applying_a_delta_iterates_over_no_other_server(self) -> None:
        def line(number: int, port: int) -> ListEntry:
            return ListEntry(entry(f"s{number}"), f"127.0.0.1:{port}")

        count = 500
        endpoints = self.servers.endpoints = CountingDict()
        self.servers.update_endpoints(
            [line(number, 1000 + number) for number in range(count)], is_snapshot=True
        )
        self.servers.update_endpoints(
            [line(number, 1000 + number) for number in range(count)], is_snapshot=True
        )
        self.assertLessEqual(endpoints.iterated, 2 * count)
        endpoints.iterated = 0
        self.assertEqual(self.servers.update_endpoints([line(count, 1007)]), ["s7"])
        self.servers.update_endpoints([ListEntry(entry("s8", Condition.DRAINING), "127.0.0.1:1008")])
        self.servers.update_endpoints([ListEntry(entry("s9", Condition.GONE), "")])
        self.assertEqual(endpoints.iterated, 0, "a delta iterates over other servers")
        self.assertEqual(len(endpoints), count - 1)

    async def test_longest_idle_connection_is_closed_first_without_iterating_over_servers(self) -> None:
        ends = {name: await StandIn(serve_well).start() for name in ("a", "b", "c")}
        for end in ends.values():
            self.addCleanup(end.stop)
        self.servers.update_endpoints([ListEntry(entry(name), end.address) for name, end in ends.items()])
        self.servers.update_endpoints([ListEntry(entry(f"s{i}"), f"127.0.0.1:{i + 1}") for i in range(100)])
        for name in ("b", "c", "a", "b"):
            await self.servers.attempt(name, GET, 5 * SECOND)
            # Longer than the settle time, so that the next attempt at this server reuses the connection.
            await asyncio.sleep(0.02)
        endpoints = self.servers.endpoints = CountingDict(self.servers.endpoints)
        left = list(ends)
        for name in ("c", "a", "b"):
            self.assertTrue(self.servers.close_one_idle())
            left = [one for one in left if one != name]
            self.assertEqual([one for one in ends if endpoints[one].idle], sorted(left))
        await until(lambda: all(end.closed == 1 for end in ends.values()))
        self.assertFalse(self.servers.close_one_idle())
        self.servers.sweeper.cancel()
        self.servers._sweep()
        self.assertEqual(endpoints.iterated, 0)

    async def test_timeout_and_cancellation_close_the_connection(self) -> None:
        server = await self.stand_in(never_answer)
        self.assertIs((await self.attempt(timeout_us=SECOND // 20)).outcome, Outcome.TIMEOUT)
        await until(lambda: server.closed == 1)
        attempt = asyncio.create_task(self.attempt())
        await until(lambda: len(server.seen) == 2)
        attempt.cancel()
        self.assertIs((await attempt).outcome, Outcome.CANCELLED)
        await until(lambda: server.closed == 2)

    async def test_connection_used_last_is_reused_and_idle_ones_are_closed_before_the_server_does(
        self,
    ) -> None:
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
        self.assertEqual(ports[2], ports[1], "the connection used last is not reused first")
        self.assertEqual(self.servers.descriptors_in_use, 2)
        # The server would close them after 3 s.
        await until(lambda: server.closed == 2, 2.9)

    async def test_unrequested_answer_is_discarded_with_its_connection(self) -> None:
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

    async def test_server_removed_from_the_list_gets_nothing(self) -> None:
        server = await self.stand_in()
        self.servers.update_endpoints([ListEntry(entry("s", Condition.GONE), "")])
        self.assertIs((await self.attempt()).outcome, Outcome.CONNECT_FAILED)
        self.assertEqual(server.seen, [])

    async def test_probe_requests_the_load_report_or_the_health_check(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(200, b"inflight=3,queue=1"))

        server = await self.stand_in(play)
        end = await self.servers.probe("s", with_report=True)
        self.assertEqual((end.outcome, end.report), (Outcome.SERVED, {"inflight": 3.0, "queue": 1.0}))
        await self.servers.probe("s", with_report=False)
        lines = [seen.line for seen in server.seen]
        self.assertEqual(lines, ["GET /status/load HTTP/1.1", "GET /health HTTP/1.1"])
