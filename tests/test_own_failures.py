"""Connects that fail with an error of the node's machine are retried, and never count against a server."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from coraldeal.net.servers import LOCAL_CONNECT_ERRORS, TRANSIENT_CONNECT_ERRORS
from tests.standins import NodeCase, RunningNode, StandIn

REQUESTS = 10


class FailingConnects:
    """Makes those connects to these servers fail with an error whose number `fails` selects."""

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
    def assert_unaffected(self, running: RunningNode) -> None:
        for server in running.node.balancer.servers.values():
            self.assertEqual(
                (server.failure_rate, server.consecutive_ejections, server.ejected_until), (0.0, 0, 0)
            )
            self.assertGreaterEqual(server.concurrency_limit, 2)

    async def test_transient_failure_costs_no_request_and_does_not_count_against_servers(self) -> None:
        for error in sorted(LOCAL_CONNECT_ERRORS | TRANSIENT_CONNECT_ERRORS):
            with self.subTest(errno.errorcode[error]):
                servers = [await self.stand_in() for _ in range(2)]
                running = await self.node(*servers)
                with FailingConnects(servers, lambda number: number % 2 == 1, error) as failing:
                    for _ in range(REQUESTS):
                        caller = await running.caller()
                        self.assertEqual((await caller.ask())[0], 200)
                        # Each request needs a new connection.
                        while running.node.servers.close_one_idle():
                            pass
                    self.assertGreater(failing.tries, REQUESTS)
                self.assert_unaffected(running)

    async def test_persistent_local_failure_is_a_rejection_and_does_not_count_against_servers(self) -> None:
        for error in sorted(LOCAL_CONNECT_ERRORS):
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
                self.assert_unaffected(running)
                self.assertEqual((await (await running.caller()).ask())[0], 200)

    async def test_unreachable_server_counts_as_failed(self) -> None:
        servers = [await self.stand_in() for _ in range(2)]
        running = await self.node(*servers)
        with FailingConnects(servers[:1], lambda _: True, errno.EHOSTUNREACH):
            for _ in range(REQUESTS):
                await (await running.caller()).ask()
        self.assertGreater(running.node.balancer.servers["s0"].failure_rate, 0.0)
