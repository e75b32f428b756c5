"""A client that has closed its connection has gone: no attempt begins after that, first or further.

Each crossing is forced on real sockets. Where the loop can't have seen the departure only the system knows
of it, and is asked right before the first byte; docs/endings.md is the table. Each is played with a client
that stays too, to show that the attempt would have begun.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
import time
from typing import Any
from unittest import mock

from tests.standins import (
    Caller,
    LateConnects,
    NodeCase,
    Point,
    RunningNode,
    Seen,
    StandIn,
    answer,
    hang_up,
    serve_well,
    until,
)

# So many requests at once that a node reads no further before the first is answered.
MANY = 400


class RefusedOnce(LateConnects):
    """The first connection is refused, those after it come up when the test lets them."""

    refused = False

    async def _connect(self, protocol: Any, host: Any = None, port: Any = None, **told: Any) -> Any:
        if port in self.ports and not self.refused:
            self.refused = True
            raise ConnectionRefusedError
        return await super()._connect(protocol, host, port, **told)


class Departed(NodeCase):
    async def at_rest(self, running: RunningNode) -> None:
        node = running.node
        await until(lambda: not (node.inquiries.in_hand or node.inquiries.open_ids))
        self.assertEqual((node.balancer.inquiries, node.balancer.attempts), ({}, {}))

    async def paused(self, running: RunningNode) -> None:
        """The node reads no further from some caller: it can't see that one leave."""
        near = running.node.callers.server.connections
        await until(lambda: any(one.transport is not None and not one.transport.is_reading() for one in near))

    async def gone(self, running: RunningNode, caller: Caller) -> None:
        """It leaves, and the node has seen that."""
        held = running.node.callers.held
        caller.leave()
        await until(lambda: running.node.callers.held < held)

    def delivered(self, caller: Caller) -> bool:
        """Whether the node's system has all that was sent: what it has no room for keeps a close back."""
        near: socket.socket = caller.writer.get_extra_info("socket")
        unsent = fcntl.ioctl(near.fileno(), termios.TIOCOUTQ, bytes(4))
        return not (caller.writer.transport.get_write_buffer_size() or int.from_bytes(unsent, sys.byteorder))

    def leave(self, caller: Caller, how: str) -> None:
        if how == "half":
            caller.writer.write_eof()
        elif how != "stays":
            caller.leave(reset=how == "reset")

    async def test_unseen_while_the_attempt_before_is_out(self) -> None:
        """Its end is a reset, so there would be another."""
        for cancel in (True, False):
            for how in ("stays", "close", "half", "reset"):
                with self.subTest(cancel=cancel, how=how):
                    point = Point()

                    async def play(seen: Seen, reader: Any, writer: Any, point: Point = point) -> None:
                        if point.go.is_set():
                            writer.write(answer())
                        else:
                            await point.stop()
                            await hang_up(seen, reader, writer)

                    server = await self.stand_in(play)
                    running = await self.node(server, bounds={"cancel": cancel})
                    caller = await running.caller()
                    for _ in range(MANY):
                        caller.send()
                    await point.reached.wait()
                    await self.paused(running)
                    await until(lambda c=caller: self.delivered(c))  # type: ignore[misc]
                    self.leave(caller, how)
                    await asyncio.sleep(0.01)
                    self.assertEqual(len(running.node.inquiries.in_hand), 1)
                    point.go.set()
                    if how == "stays":
                        self.assertEqual(await caller.status(), 200)
                        self.assertEqual(server.seen[0].fields["req-id"], server.seen[1].fields["req-id"])
                    else:
                        await self.at_rest(running)
                        await until(lambda r=running: r.node.callers.held == 0)  # type: ignore[misc]
                        self.assertEqual(len(server.seen), 1)
                        # The rest of its line has gone with it, and cost no connections.
                        self.assertLessEqual(server.opened, 3)

    async def test_while_a_further_attempt_waits_for_its_connection(self) -> None:
        for cancel in (True, False):
            for how in ("stays", "close"):
                with self.subTest(cancel=cancel, how=how):
                    server = await self.stand_in()
                    running = await self.node(server, bounds={"cancel": cancel, "connect_timeout_ns": 10**9})
                    caller = await running.caller()
                    with LateConnects(server) as point:

                        async def play(seen: Seen, reader: Any, writer: Any, point: Point = point) -> None:
                            point.go.clear()
                            point.reached.clear()
                            await hang_up(seen, reader, writer)

                        server.play = play
                        point.go.set()
                        caller.send()
                        await until(lambda s=server: len(s.seen) == 1)  # type: ignore[misc]
                        await point.reached.wait()
                        server.play = serve_well
                        if how == "stays":
                            point.go.set()
                            self.assertEqual(await caller.status(), 200)
                        else:
                            await self.gone(running, caller)
                            point.go.set()
                            await self.at_rest(running)
                    self.assertEqual(len(server.seen), 2 if how == "stays" else 1)

    async def test_in_the_turn_in_which_its_connection_is_up(self) -> None:
        """The loop stood still for longer than the rule's tenth of a second, and the attempt comes first."""
        for how in ("stays", "close"):
            with self.subTest(how=how):
                server = await self.stand_in()
                running = await self.node(server, bounds={"connect_timeout_ns": 10**9})
                point, servers = Point(), running.node.servers
                real = servers._connect

                async def late(*told: Any, real: Any = real, point: Point = point) -> Any:
                    connection = await real(*told)
                    await point.stop()
                    return connection

                caller = await running.caller()
                with mock.patch.object(servers, "_connect", late):
                    caller.send()
                    await point.reached.wait()
                    # Nothing is awaited from here on: neither the caller's loop nor the node's takes a turn.
                    near: socket.socket = caller.writer.get_extra_info("socket")
                    if how == "close":
                        near.shutdown(socket.SHUT_RDWR)
                    time.sleep(0.12)
                    point.go.set()
                    if how == "stays":
                        self.assertEqual(await caller.status(), 200)
                    await self.at_rest(running)
                await asyncio.sleep(0.02)
                self.assertEqual(len(server.seen), 1 if how == "stays" else 0)

    async def test_with_its_sending_shut_it_has_gone(self) -> None:
        """To the node that is a close: an end of its bytes is all that the network tells of either."""
        server = await self.stand_in()
        running = await self.node(server, bounds={"connect_timeout_ns": 10**9})
        caller = await running.caller()
        with LateConnects(server) as point:
            caller.send()
            await point.reached.wait()
            caller.writer.write_eof()
            self.assertEqual(await caller.at_end(), b"")
            point.go.set()
            await self.at_rest(running)
        await asyncio.sleep(0.02)
        self.assertEqual(server.seen, [])

    async def test_an_attempt_that_outlives_its_inquiry_is_the_last(self) -> None:
        """Where none may be withdrawn it ends when nobody is there; what it failed by may be tried again."""
        for how in ("stays", "close"):
            with self.subTest(how=how):
                point = Point()

                async def play(seen: Seen, reader: Any, writer: Any, point: Point = point) -> None:
                    if point.go.is_set():
                        writer.write(answer())
                    else:
                        await point.stop()
                        await hang_up(seen, reader, writer)

                server = await self.stand_in(play)
                running = await self.node(server, bounds={"cancel": False})
                caller = await running.caller()
                caller.send()
                await point.reached.wait()
                if how == "close":
                    await self.gone(running, caller)
                    self.assertEqual(len(running.node.balancer.attempts), 1)
                point.go.set()
                if how == "stays":
                    self.assertEqual(await caller.status(), 200)
                await self.at_rest(running)
                await asyncio.sleep(0.02)
                self.assertEqual(len(server.seen), 2 if how == "stays" else 1)

    @mock.patch("coraldeal.net.callers.KEPT_MOST", 1000)
    async def test_unseen_behind_a_body_whose_first_attempt_was_refused(self) -> None:
        """Nothing of it was passed on yet, so there would be another; it lies unread, the close behind it."""
        for how in ("stays", "close", "reset"):
            with self.subTest(how=how):
                came: list[bytes] = []

                async def talk(reader: asyncio.StreamReader, writer: Any, came: list[bytes] = came) -> None:
                    while data := await reader.read(1 << 16):
                        came.append(data)
                        if sum(map(len, came)) > 750_000:
                            writer.write(answer())
                    writer.close()

                stand_in = StandIn()
                stand_in.server = await asyncio.start_server(talk, "127.0.0.1", 0)
                self.addCleanup(stand_in.stop)
                stand_in.address = f"127.0.0.1:{stand_in.server.sockets[0].getsockname()[1]}"
                running = await self.node(stand_in, bounds={"connect_timeout_ns": 10**9})
                caller = await running.caller()
                with RefusedOnce(stand_in) as point:
                    caller.send("write", bytes(750_000))
                    await point.reached.wait()
                    await self.paused(running)
                    await until(lambda c=caller: self.delivered(c))  # type: ignore[misc]
                    self.leave(caller, how)
                    await asyncio.sleep(0.01)
                    self.assertEqual(len(running.node.inquiries.in_hand), 1)
                    point.go.set()
                    if how == "stays":
                        self.assertEqual(await caller.status(), 200)
                    await self.at_rest(running)
                await asyncio.sleep(0.02)
                self.assertEqual(bool(came), how == "stays")
