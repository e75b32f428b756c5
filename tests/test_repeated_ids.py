"""Tests of request ids that come again after their client has left.

They guard against a request that must not run twice and does, at one process of a node or at two.
"""

from __future__ import annotations

import asyncio
import unittest

from coraldeal.net.node import Node
from coraldeal.repeats import RETENTION_US, RecentRequests
from tests.standins import Caller, LateConnects, Message, NodeCase, RunningNode, StandIn, answer, until
from tests.two_processes import TwoProcessesCase


async def answer_later(request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer after half a second, whether or not the caller is still there."""
    await asyncio.sleep(0.5)
    writer.write(answer())


def send(caller: Caller, request_id: str, request_class: str = "write") -> None:
    """Send a request with this id and a small body."""
    head = f"POST /{request_class}/x HTTP/1.1\r\nHost: n\r\nReq-Id: {request_id}\r\nContent-Length: 2\r\n\r\n"
    caller.raw(head.encode() + b"ab")


def runs(server: StandIn, request_id: str) -> int:
    """Return how many requests with this id have reached a server."""
    return sum(message.fields["req-id"] == request_id for message in server.seen)


class RepeatedIdTest(NodeCase):
    async def test_id_that_comes_again_after_its_client_left_does_not_run_twice(self) -> None:
        for may_cancel in (True, False):
            for wait in (0.0, 0.2, 0.7):
                with self.subTest(may_cancel=may_cancel, wait=wait):
                    server = await self.stand_in(answer_later)
                    running = await self.node(server, bounds={"cancel": may_cancel})
                    first = await running.caller()
                    send(first, "a1")
                    await until(lambda s=server: runs(s, "a1") == 1)  # type: ignore[misc]
                    first.leave()
                    await asyncio.sleep(wait)
                    second = await running.caller()
                    send(second, "a1")
                    self.assertEqual((await second.answer())[0], 409)
                    self.assertEqual(runs(server, "a1"), 1)

    async def test_id_that_never_ran_may_come_again(self) -> None:
        server = await self.stand_in()
        running = await self.node(server)
        with LateConnects(server) as point:
            first = await running.caller()
            send(first, "a2")
            await point.reached.wait()
            first.leave()
            await until(lambda: not running.node.inquiries.in_progress)
            point.go.set()
        second = await running.caller()
        send(second, "a2")
        self.assertEqual((await second.answer())[0], 200)
        self.assertEqual(runs(server, "a2"), 1)

    async def test_id_of_a_class_that_may_run_twice_may_come_again(self) -> None:
        server = await self.stand_in(answer_later)
        running = await self.node(server)
        first = await running.caller()
        send(first, "a3", "read")
        await until(lambda: runs(server, "a3") == 1)
        first.leave()
        await until(lambda: not running.node.inquiries.in_progress)
        second = await running.caller()
        send(second, "a3", "read")
        self.assertEqual((await second.answer())[0], 200)


class RepeatedIdAtTwoProcessesTest(TwoProcessesCase):
    async def pair(self) -> tuple[RunningNode, Node]:
        """Start two processes of a node; return the first with the second that now accepts."""
        self.server.respond = answer_later
        running = await self.start()
        return running, running.node

    async def test_id_that_ran_at_the_predecessor_does_not_run_again_at_the_successor(self) -> None:
        for has_left_before in (True, False):
            with self.subTest(has_left_before=has_left_before):
                request_id = f"b{has_left_before}"
                running, predecessor = await self.pair()
                first = await running.caller()
                # A first request, so that the connection belongs to the predecessor.
                send(first, f"{request_id}.0", "read")
                await first.answer()
                if has_left_before:
                    send(first, request_id)
                    await until(lambda r=request_id: runs(self.server, r) == 1)  # type: ignore[misc]
                    first.leave()
                successor = (await self.start(with_list=False)).node
                await until(lambda p=predecessor: p.callers.listener is None)  # type: ignore[misc]
                if not has_left_before:
                    send(first, request_id)
                    await until(lambda r=request_id: runs(self.server, r) == 1)  # type: ignore[misc]
                    first.leave()
                second = await Caller(self.port).open()
                self.addCleanup(second.leave)
                send(second, request_id)
                self.assertEqual((await second.answer())[0], 409)
                self.assertEqual(runs(self.server, request_id), 1)
                self.assertEqual(successor.counters.attempts, 0)
                running.node.stop_requested.set()
                await running.task

    async def test_id_that_ran_at_the_successor_does_not_run_again_at_the_predecessor(self) -> None:
        running, predecessor = await self.pair()
        first = await running.caller()
        send(first, "c0", "read")
        await first.answer()
        await self.start(with_list=False)
        await until(lambda: predecessor.callers.listener is None)
        second = await Caller(self.port).open()
        send(second, "c1")
        await until(lambda: runs(self.server, "c1") == 1)
        second.leave()
        await asyncio.sleep(0.05)
        send(first, "c1")
        self.assertEqual((await first.answer())[0], 409)
        self.assertEqual(runs(self.server, "c1"), 1)


class RestoredIds(unittest.TestCase):
    def test_id_that_both_processes_know_is_remembered_until_the_later_time(self) -> None:
        for own, handed_over in ((10, 4), (4, 10)):
            recent = RecentRequests()
            recent.add("ab", own)
            recent.restore([("ab", handed_over + RETENTION_US)])
            recent.forget_old(9 + RETENTION_US)
            self.assertTrue("ab" in recent)
