"""Bytes that a server sends without a request: they reach no caller, and end their connection."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from unittest import mock

from aiohttp.client_proto import ResponseHandler

from coraldeal.interface import Condition, Entry, Outcome
from coraldeal.net.counters import Counters
from coraldeal.net.host import clock
from coraldeal.net.server_connection import Connection, Endpoint
from coraldeal.net.servers import SETTLE_TIME, ServerPool
from coraldeal.net.wire import STREAMING_THRESHOLD, AttemptEnd, ListEntry
from tests.answer_forms import CHUNKED, DECLINED, FORMS, RECORDED, SURPLUS, AnswerForm, chunked
from tests.standins import Message, Responder, StandIn, serve_well, until

SECOND = 1_000_000
# Seconds behind an answer at which surplus is sent: in the same write, right behind, and once the connection
# may be reused.
MOMENTS = (0.0, 0.003, SETTLE_TIME + 0.005)
# Seconds after which an idle connection is reused.
REUSE_SECONDS = SETTLE_TIME + 0.002

# More calls of the parser than the few reads of one answer need.
MOST_PARSER_CALLS = 1000


class Pool:
    """A pool of connections to one stand-in, which answers each request with the request's id."""

    def __init__(self) -> None:
        self.counters = Counters(())
        self.servers = ServerPool(
            clock, 3 * SECOND, SECOND // 5, lambda: None, lambda server: True, self.counters
        )
        self.sent = 0
        self.server: StandIn

    async def start(self, play: Responder) -> None:
        self.server = await StandIn(play).start()
        self.servers.update_endpoints(
            [ListEntry(Entry("s", "z", 0, Condition.READY, 0), self.server.address)]
        )

    async def stop(self) -> None:
        self.server.stop()
        await self.servers.close()

    async def attempt(self, method: bytes = b"GET") -> tuple[bytes, AttemptEnd]:
        """Send the next request; return its id and the attempt's end."""
        self.sent += 1
        request_id = b"request-%d" % self.sent
        head = b"%b /read/1 HTTP/1.1\r\nHost: s\r\nReq-Id: %b\r\n\r\n" % (method, request_id)
        return request_id, await self.servers.attempt("s", head, SECOND)

    async def has_own_answer(self, form: AnswerForm) -> bool:
        """Send the next request; return whether its attempt ends with the answer made for it."""
        request_id, end = await self.attempt(form.method)
        body = end.answer and end.answer.body
        return end.outcome is form.outcome and body == (request_id if form.has_body else b"")


async def find_surplus_fault(form: AnswerForm, kind: str, moment: float) -> str:
    """Send two requests whose answers are followed by surplus; return what goes wrong, or nothing."""

    async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = form.encode(seen.fields["req-id"].encode())
        surplus = SURPLUS[kind](answer)
        writer.write(answer if moment else answer + surplus)
        if moment:
            await asyncio.sleep(moment)
            writer.write(surplus)

    pool = Pool()
    await pool.start(play)
    case = f"{form.name}, {kind}, {1000 * moment:.0f} ms late"
    try:
        for turn in (1, 2):
            if not await pool.has_own_answer(form):
                return f"{case}: foreign answer"
            # The next request must not cross surplus that is on its way.
            await until(lambda turn=turn: pool.server.closed == turn)  # type: ignore[misc]
    except TimeoutError:
        return f"{case}: the connection is kept"
    finally:
        await pool.stop()
    figures = (len(pool.server.seen), pool.server.opened, pool.counters.surplus_closes)
    return "" if figures == (2, 2, 2) else f"{case}: requests, connections, surplus {figures}"


async def find_cost_of_sound_answers(form: AnswerForm) -> str:
    """Send four requests, answered in small pieces; return what goes wrong, or nothing."""

    async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = form.encode(seen.fields["req-id"].encode())
        for start in range(0, len(answer), 7):
            writer.write(answer[start : start + 7])
            await asyncio.sleep(0)

    pool = Pool()
    await pool.start(play)
    try:
        for _ in range(4):
            if not await pool.has_own_answer(form):
                return f"{form.name}: not its own answer"
            await asyncio.sleep(REUSE_SECONDS)
    finally:
        await pool.stop()
    figures = (len(pool.server.seen), pool.server.opened, pool.counters.surplus_closes)
    return "" if figures == (4, 1, 0) else f"{form.name}: requests, connections, surplus {figures}"


class SurplusTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        # Each pool would write its own line.
        self.enterContext(mock.patch("coraldeal.net.servers.log.warning"))

    async def test_surplus_behind_an_answer_of_any_form_ends_its_connection_and_reaches_nobody(self) -> None:
        # Guards against foreign answers and second runs: review/6, where the end of a chunked answer was not
        # known and a late copy of it was taken for the answer of the connection's next request.
        for form in FORMS:
            cases = [
                find_surplus_fault(form, kind, moment) for kind, moment in itertools.product(SURPLUS, MOMENTS)
            ]
            with self.subTest(form=form.name):
                self.assertEqual([fault for fault in await asyncio.gather(*cases) if fault], [])

    async def test_late_copy_of_a_refusal_is_not_taken_for_the_refusal_of_the_next_request(self) -> None:
        # Guards against a second run of an irreversible request: review/6, where the copy proved to the
        # decisions that a request which its server ran had never run.
        is_copied = asyncio.Event()

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if len(pool.server.seen) > 1:
                await asyncio.sleep(MOMENTS[1])
                writer.write(RECORDED.encode(b"recorded"))
                return
            writer.write(DECLINED.encode(b"queue full"))
            await asyncio.sleep(MOMENTS[1])
            writer.write(DECLINED.encode(b"queue full"))
            is_copied.set()

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        _, end = await pool.attempt(b"POST")
        self.assertIs(end.outcome, Outcome.FULL)
        await is_copied.wait()
        await asyncio.sleep(REUSE_SECONDS)
        _, end = await pool.attempt(b"POST")
        self.assertIs(end.outcome, Outcome.SERVED)
        self.assertEqual(end.answer and end.answer.body, b"recorded")

    async def test_copy_in_the_read_that_ends_an_answer_does_not_keep_the_event_loop_busy(self) -> None:
        # Guards against the endless loop of review/7: a count of the body's bytes became negative, and a
        # negative end of the next piece used up none of the bytes.
        body = bytes(60)
        copy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + b"y" * 16 + b"\r\n\r\n"
        self.assertEqual(len(copy), len(body) - 1)

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # The head and a part of the body are passed to the parser together.
            writer.write(b"HTTP/1.1 200 OK\nContent-Length: 60\n\n" + body[:-1])
            await asyncio.sleep(MOMENTS[1])
            writer.write(body[-1:] + copy + bytes(100))

        calls = 0
        parse = ResponseHandler.data_received

        def count(connection: ResponseHandler, data: bytes) -> None:
            nonlocal calls
            calls += 1
            if calls > MOST_PARSER_CALLS:
                raise RuntimeError("the bytes of one read are passed on without end")
            parse(connection, data)

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        with mock.patch.object(ResponseHandler, "data_received", count):
            _, end = await pool.attempt()
        self.assertLessEqual(calls, MOST_PARSER_CALLS)
        self.assertEqual(end.answer and end.answer.body, body)
        self.assertEqual(pool.counters.surplus_closes, 1)

    async def test_answer_ahead_of_the_first_request_is_taken_for_no_answer(self) -> None:
        # Guards against an unrequested answer on a new connection, which the parser kept for the request.
        async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(RECORDED.encode(b"unasked"))
            received.append(await reader.read(1))
            writer.close()

        open_once = ServerPool._open_once

        async def open_and_wait(servers: ServerPool, endpoint: Endpoint) -> Connection:
            connection = await open_once(servers, endpoint)
            await asyncio.sleep(MOMENTS[1])
            return connection

        received: list[bytes] = []
        pool = Pool()
        await pool.start(serve_well)
        self.addAsyncCleanup(pool.stop)
        server = await asyncio.start_server(greet, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool.servers.update_endpoints([ListEntry(Entry("s", "z", 0, Condition.READY, 0), address)])
        with mock.patch.object(ServerPool, "_open_once", open_and_wait):
            _, end = await pool.attempt()
        # Nothing was written, so another server may get the request.
        self.assertIs(end.outcome, Outcome.CONNECT_FAILED)
        await until(lambda: received == [b""])
        self.assertEqual(pool.counters.surplus_closes, 1)

    async def test_copy_behind_an_answer_whose_end_only_the_parser_sees_ends_the_connection(self) -> None:
        # The parser takes the trailer's line end for an empty line, too.
        odd = b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n\r\n" + chunked(b"own", trailer=b"Z:\r")

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(odd + RECORDED.encode(b"copy"))

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        for turn in (1, 2):
            _, end = await pool.attempt()
            self.assertEqual(end.answer and end.answer.body, b"own")
            await until(lambda turn=turn: pool.server.closed == turn)  # type: ignore[misc]
        self.assertEqual(pool.counters.surplus_closes, 2)

    async def test_late_copy_of_a_load_report_is_not_taken_for_the_answer_of_a_request(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if "req-id" in seen.fields:
                writer.write(RECORDED.encode(b"own"))
                return
            writer.write(RECORDED.encode(b"queue=2"))
            await asyncio.sleep(MOMENTS[1])
            writer.write(RECORDED.encode(b"queue=2"))

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        end = await pool.servers.probe("s", with_report=True)
        self.assertEqual((end.outcome, end.report), (Outcome.SERVED, {"queue": 2.0}))
        await until(lambda: pool.server.closed == 1)
        _, end = await pool.attempt()
        self.assertEqual(end.answer and end.answer.body, b"own")
        self.assertEqual(pool.counters.surplus_closes, 1)

    async def test_sound_answers_of_any_form_share_one_connection(self) -> None:
        # Guards against a cure of surplus that costs sound servers a connection for each answer.
        faults = await asyncio.gather(*[find_cost_of_sound_answers(form) for form in FORMS])
        self.assertEqual([fault for fault in faults if fault], [])

    async def test_surplus_behind_an_answer_that_is_still_streamed_is_not_passed_on(self) -> None:
        # Guards against a copy that arrives while the answer's reader pauses.
        body = bytes(range(256)) * (STREAMING_THRESHOLD // 64)
        answer = b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n\r\n" + chunked(body, 16 * 1024)

        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer)
            await asyncio.sleep(MOMENTS[1])
            writer.write(answer)

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        for turn in (1, 2):
            _, end = await pool.attempt()
            assert end.answer is not None and end.answer.body_stream is not None
            stream = end.answer.body_stream
            received = stream.take_beginning()
            while piece := await stream.read():
                received += piece
                await asyncio.sleep(0.002)
            self.assertEqual(received, body)
            stream.close()
            await until(lambda turn=turn: pool.server.closed == turn)  # type: ignore[misc]
        self.assertEqual((pool.server.opened, pool.counters.surplus_closes), (2, 2))

    async def test_answer_that_the_end_of_the_connection_ends_has_all_bytes_before_it(self) -> None:
        async def play(seen: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nto")
            await asyncio.sleep(MOMENTS[1])
            writer.write(b" the end\r\n\r\n")
            writer.close()

        pool = Pool()
        await pool.start(play)
        self.addAsyncCleanup(pool.stop)
        _, end = await pool.attempt()
        self.assertIs(end.outcome, Outcome.SERVED)
        self.assertEqual(end.answer and end.answer.body, b"to the end\r\n\r\n")
        self.assertEqual(pool.counters.surplus_closes, 0)


if __name__ == "__main__":
    unittest.main()
