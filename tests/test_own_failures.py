"""Connects that fail on the node's own machine: tried again, and never held against a server."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from coraldeal.net.servers import OWN_FAILURES, PASSING_FAILURES
from tests.standins import NodeCase, RunningNode, StandIn

REQUESTS = 10


class FailingConnects:
    """While it lasts, connects to these servers fail as told: by their number, with this error."""

    def __init__(self, servers: list[StandIn], fails: Callable[[int], bool], error: int) -> None:
        self.ports = [int(server.address.rpartition(":")[2]) for server in servers]
        self.fails = fails
        self.error = error
        self.tries = 0

    def __enter__(self) -> FailingConnects:
        real, this = socket.socket.connect, self

        def connect(near: socket.socket, address: Any) -> None:
            if address[1] in this.ports:
                this.tries += 1
                if this.fails(this.tries):
                    raise OSError(this.error, "forced")
            real(near, address)

        self.patch = mock.patch.object(socket.socket, "connect", connect)
        self.patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.patch.stop()


class OwnFailures(NodeCase):
    def unjudged(self, running: RunningNode) -> None:
        for server in running.node.balancer.servers.values():
            self.assertEqual(
                (server.failure_rate, server.consecutive_ejections, server.ejected_until), (0.0, 0, 0)
            )
            self.assertGreaterEqual(server.concurrency_limit, 2)

    async def test_one_that_lasts_a_moment_costs_no_request_and_no_server_its_name(self) -> None:
        for error in sorted(OWN_FAILURES | PASSING_FAILURES):
            with self.subTest(errno.errorcode[error]):
                servers = [await self.stand_in() for _ in range(2)]
                running = await self.node(*servers)
                with FailingConnects(servers, lambda number: number % 2 == 1, error) as failing:
                    for _ in range(REQUESTS):
                        caller = await running.caller()
                        self.assertEqual((await caller.ask())[0], 200)
                        # A new connection for each.
                        while running.node.servers.close_one_idle():
                            pass
                    self.assertGreater(failing.tries, REQUESTS)
                self.unjudged(running)

    async def test_one_that_stays_is_a_rejection_and_no_judgement(self) -> None:
        for error in sorted(OWN_FAILURES):
            with self.subTest(errno.errorcode[error]):
                servers = [await self.stand_in() for _ in range(2)]
                running = await self.node(*servers)
                with (
                    FailingConnects(servers, lambda _: True, error),
                    self.assertLogs("coraldeal.net.servers", "WARNING") as logs,
                ):
                    for _ in range(REQUESTS):
                        self.assertEqual((await (await running.caller()).ask())[0], 503)
                self.assertEqual(len(logs.records), 1)
                self.unjudged(running)
                self.assertEqual((await (await running.caller()).ask())[0], 200)

    async def test_a_server_that_cannot_be_reached_is_judged(self) -> None:
        servers = [await self.stand_in() for _ in range(2)]
        running = await self.node(*servers)
        with FailingConnects(servers[:1], lambda _: True, errno.EHOSTUNREACH):
            for _ in range(REQUESTS):
                await (await running.caller()).ask()
        self.assertGreater(running.node.balancer.servers["s0"].failure_rate, 0.0)
