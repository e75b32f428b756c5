"""How long idle connections may be reused, learned from closes at fixed, random and changing ages."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

from coraldeal.config import SettingsError
from coraldeal.connections.ages import AGE_EDGES, SECOND, ConnectionAges, IdlePeriods
from coraldeal.interface import Outcome
from coraldeal.net.counters import Counters
from coraldeal.net.host import clock
from coraldeal.net.servers import ServerPool
from coraldeal.net.unread import has_unread
from coraldeal.net.wire import parse_server_list
from coraldeal.operator import OperatorFile, read_operator_file
from tests.standins import Message, StandIn, answer, entry, server_list, until


def chance(number: int) -> float:
    return crc32(f"7 {number}".encode()) / 2**32


class AgesCase(unittest.TestCase):
    def setUp(self) -> None:
        self.ages = ConnectionAges(8 * SECOND, 0.01)
        self.server = IdlePeriods()
        self.now = 1_000 * SECOND
        self.number = 0

    def simulate(self, count: int, close_at: Callable[[float], float], every: float = 0.5) -> int:
        """Idle periods that end by a random reuse or by a close; how many safe reuses crossed a close."""
        crossed = 0
        for _ in range(count):
            self.number += 2
            self.now += int(every * SECOND)
            reused = int(chance(self.number) * 10 * SECOND)
            closes = int(close_at(chance(self.number + 1)) * SECOND)
            # The node closes the connection at its usable age.
            end = min(reused, self.ages.usable_age(self.server))
            safe = self.ages.safe_age(self.server)
            crossed += reused <= safe and closes <= reused
            self.ages.record(self.server, min(end, closes), closes < end, self.now)
        return crossed

    def test_without_observations_a_tenth_of_the_limit_is_safe(self) -> None:
        self.assertEqual(self.ages.safe_age(self.server), 8 * SECOND // 10)
        self.assertEqual(self.ages.usable_age(self.server), 8 * SECOND)

    def test_closes_at_one_age_bound_the_safe_and_usable_age(self) -> None:
        self.assertEqual(self.simulate(600, lambda _: 5.0), 0)
        self.assertTrue(3.9 * SECOND < self.ages.usable_age(self.server) <= 5 * SECOND)
        self.assertTrue(1.5 * SECOND < self.ages.safe_age(self.server) <= 2.5 * SECOND)

    def test_closes_at_random_ages_bound_the_safe_and_usable_age(self) -> None:
        for lowest, highest in ((2.0, 8.0), (0.2, 1.0)):
            with self.subTest(lowest=lowest):
                self.setUp()
                # Before the first close was seen, a reuse that counted as safe may have crossed one.
                self.simulate(60, lambda c, a=lowest, b=highest: a + (b - a) * c)  # type: ignore[misc]
                crossed = self.simulate(800, lambda c, a=lowest, b=highest: a + (b - a) * c)  # type: ignore[misc]
                self.assertEqual(crossed, 0)
                self.assertLess(self.ages.safe_age(self.server), lowest * SECOND)
                self.assertGreater(self.ages.usable_age(self.server), lowest * SECOND * 0.8)

    def test_limit_that_falls_and_rises_is_learned(self) -> None:
        self.simulate(400, lambda _: 6.0)
        self.simulate(60, lambda _: 0.5)
        self.assertLessEqual(self.ages.usable_age(self.server), SECOND // 2)
        self.assertLessEqual(self.ages.safe_age(self.server), SECOND // 4)
        # Minutes later the old limit is back.
        self.simulate(2000, lambda _: 6.0)
        self.assertGreater(self.ages.usable_age(self.server), 3 * SECOND)

    def test_server_with_few_observations_uses_those_of_all_servers(self) -> None:
        self.simulate(400, lambda _: 1.0)
        fresh = IdlePeriods()
        self.assertEqual(self.ages.usable_age(fresh), self.ages.usable_age(self.server))
        self.assertLessEqual(self.ages.safe_age(fresh), SECOND // 2)
        for _ in range(40):
            self.ages.record(fresh, 7 * SECOND, False, self.now)
        self.assertEqual(self.ages.usable_age(fresh), 8 * SECOND)

    def test_age_beyond_the_last_step_is_accepted(self) -> None:
        self.ages.record(self.server, 10 * AGE_EDGES[-1], True, self.now)
        self.assertEqual(self.ages.usable_age(self.server), 8 * SECOND)


class FileCase(unittest.TestCase):
    def test_invalid_operator_file_names_the_fault(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "own.toml"
        for text, wanted in (
            ("[connections]\nrisk = 2", "connections.risk: 2 is not between 0 and 1"),
            ("[connections]\nrisk = true", "connections.risk: True is not a number"),
            ("[connections]\nrisk = nan", "connections.risk: nan is not a number"),
            ("[connections]\nlearn = 1", "connections.learn: 1 is not true or false"),
            ("[connections]\nlearns = true", "connections.learns: no such key"),
            ("[connection]\nlearn = true", "connection: no such table; there are connections"),
            ("connections = 3", "connections: is not a table"),
            ("[connections]\noldest_seconds = -1", "connections.oldest_seconds: -1 is below 0"),
            ("[connections", "own.toml"),
        ):
            path.write_text(text)
            with self.subTest(text), self.assertRaises(SettingsError) as caught:
                read_operator_file(str(path))
            self.assertIn(wanted, str(caught.exception))
        path.write_text("")
        self.assertEqual(read_operator_file(str(path)), OperatorFile())
        shipped = Path(__file__).parent.parent / "deploy" / "coraldeal.toml"
        self.assertEqual(read_operator_file(str(shipped)), OperatorFile())


class OnSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await StandIn().start()
        self.addCleanup(self.server.stop)
        self.ages = ConnectionAges(8 * SECOND, 0.01)
        listed = parse_server_list(server_list(1, True, entry("s", self.server.address)), 0).servers
        self.servers = ServerPool(
            clock, 8 * SECOND, SECOND, lambda: None, lambda server: True, Counters(()), self.ages
        )
        self.addAsyncCleanup(self.servers.close)
        self.servers.update_endpoints(listed)
        self.head = b"POST /x HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"

    async def attempt(self, not_idempotent: bool = False) -> Outcome:
        return (await self.servers.attempt("s", self.head, SECOND, not_idempotent=not_idempotent)).outcome

    async def test_not_idempotent_attempt_does_not_reuse_a_connection_that_may_be_closing(self) -> None:
        periods = self.servers.endpoints["s"].idle_periods
        assert periods is not None
        for _ in range(40):
            self.ages.record(periods, SECOND // 20, True, clock())
        await self.attempt()
        await asyncio.sleep(0.035)
        # 35 ms idle: below the 50 ms at which closes were seen, above half of that.
        self.assertIs(await self.attempt(not_idempotent=True), Outcome.SERVED)
        self.assertEqual(self.server.opened, 2)
        await asyncio.sleep(0.02)
        self.assertIs(await self.attempt(), Outcome.SERVED)
        self.assertEqual(self.server.opened, 2)

    async def test_unread_close_or_bytes_are_noticed_before_the_write(self) -> None:
        async def close(seen: Message, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer())
            await writer.drain()
            self.ending = writer

        ends: list[Callable[[asyncio.StreamWriter], None]] = [
            lambda w: w.close(),
            lambda w: w.transport.abort(),
            lambda w: w.write(b"noise"),
        ]
        for end in ends:
            self.server.respond = close
            self.assertIs(await self.attempt(), Outcome.SERVED)
            (connection,) = self.servers.endpoints["s"].idle
            await asyncio.sleep(0.015)
            assert connection.transport is not None
            # The event loop has not read yet when the next attempt starts.
            connection.transport.pause_reading()
            end(self.ending)
            await asyncio.sleep(0.005)
            self.assertTrue(has_unread(connection.transport))
            self.assertIs(await self.attempt(), Outcome.SERVED)
            for left in list(self.servers.endpoints["s"].idle):
                left.drop()

    async def test_closes_of_idle_connections_are_recorded(self) -> None:
        async def close(seen: Message, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer())
            await asyncio.sleep(0.03)
            writer.close()

        self.server.respond = close
        for number in range(12):
            self.assertIs(await self.attempt(), Outcome.SERVED)
            await until(lambda number=number: self.server.closed == number + 1)  # type: ignore[misc]
            await until(lambda: not self.servers.endpoints["s"].idle)
        periods = self.servers.endpoints["s"].idle_periods
        assert periods is not None
        self.assertEqual(sum(periods.closed), 12)
        self.assertLess(self.ages.safe_age(periods), SECOND // 20)

    async def test_connection_older_than_the_limit_is_closed(self) -> None:
        self.servers.max_age = 0.05
        await self.attempt()
        await asyncio.sleep(0.06)
        await self.attempt()
        await until(lambda: self.server.closed == 1)
        await self.attempt()
        self.assertEqual(self.server.opened, 2)


if __name__ == "__main__":
    unittest.main()
