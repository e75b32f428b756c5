"""How long connections may rest: learned from closes fixed, random, changing, and from few signs."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

from coraldeal.config import SettingsError
from coraldeal.connections.ages import EDGES, SECOND, Ages, Rests
from coraldeal.interface import Outcome
from coraldeal.net.figures import Figures
from coraldeal.net.host import clock
from coraldeal.net.servers import Servers
from coraldeal.net.unread import has_unread
from coraldeal.net.wire import read_list
from coraldeal.operator import OperatorFile, read_operator
from tests.standins import Seen, StandIn, answer, entry, server_list, until


def chance(number: int) -> float:
    return crc32(f"7 {number}".encode()) / 2**32


class AgesCase(unittest.TestCase):
    def setUp(self) -> None:
        self.ages = Ages(8 * SECOND, 0.01)
        self.server = Rests()
        self.now = 1_000 * SECOND
        self.number = 0

    def live(self, rests: int, close_at: Callable[[float], float], every: float = 0.5) -> int:
        """So many rests, each used again by chance or closed first; how many careful uses met a close."""
        met = 0
        for _ in range(rests):
            self.number += 2
            self.now += int(every * SECOND)
            wanted = int(chance(self.number) * 10 * SECOND)
            closes = int(close_at(chance(self.number + 1)) * SECOND)
            # It is given up at the age up to which it is usable.
            end = min(wanted, self.ages.usable(self.server))
            sure = self.ages.sure(self.server)
            met += wanted <= sure and closes <= wanted
            self.ages.ended(self.server, min(end, closes), closes < end, self.now)
        return met

    def test_nothing_seen(self) -> None:
        self.assertEqual(self.ages.sure(self.server), 8 * SECOND // 10)
        self.assertEqual(self.ages.usable(self.server), 8 * SECOND)

    def test_closes_at_one_age(self) -> None:
        self.assertEqual(self.live(600, lambda _: 5.0), 0)
        self.assertTrue(3.9 * SECOND < self.ages.usable(self.server) <= 5 * SECOND)
        self.assertTrue(1.5 * SECOND < self.ages.sure(self.server) <= 2.5 * SECOND)

    def test_closes_at_random_ages(self) -> None:
        for least, most in ((2.0, 8.0), (0.2, 1.0)):
            with self.subTest(least=least):
                self.setUp()
                # What was taken for sure before the first close may have met one.
                self.live(60, lambda c, a=least, b=most: a + (b - a) * c)  # type: ignore[misc]
                met = self.live(800, lambda c, a=least, b=most: a + (b - a) * c)  # type: ignore[misc]
                self.assertEqual(met, 0)
                self.assertLess(self.ages.sure(self.server), least * SECOND)
                self.assertGreater(self.ages.usable(self.server), least * SECOND * 0.8)

    def test_a_limit_that_changes_is_learned_both_ways(self) -> None:
        self.live(400, lambda _: 6.0)
        self.live(60, lambda _: 0.5)
        self.assertLessEqual(self.ages.usable(self.server), SECOND // 2)
        self.assertLessEqual(self.ages.sure(self.server), SECOND // 4)
        # Minutes later the old limit is back.
        self.live(2000, lambda _: 6.0)
        self.assertGreater(self.ages.usable(self.server), 3 * SECOND)

    def test_a_server_of_which_little_is_known_goes_by_its_tier(self) -> None:
        self.live(400, lambda _: 1.0)
        fresh = Rests()
        self.assertEqual(self.ages.usable(fresh), self.ages.usable(self.server))
        self.assertLessEqual(self.ages.sure(fresh), SECOND // 2)
        for _ in range(40):
            self.ages.ended(fresh, 7 * SECOND, False, self.now)
        self.assertEqual(self.ages.usable(fresh), 8 * SECOND)

    def test_ages_beyond_the_last_step(self) -> None:
        self.ages.ended(self.server, 10 * EDGES[-1], True, self.now)
        self.assertEqual(self.ages.usable(self.server), 8 * SECOND)


class FileCase(unittest.TestCase):
    def test_what_is_wrong_is_named(self) -> None:
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
                read_operator(str(path))
            self.assertIn(wanted, str(caught.exception))
        path.write_text("")
        self.assertEqual(read_operator(str(path)), OperatorFile())
        shipped = Path(__file__).parent.parent / "deploy" / "coraldeal.toml"
        self.assertEqual(read_operator(str(shipped)), OperatorFile())


class OnSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await StandIn().start()
        self.addCleanup(self.server.stop)
        self.ages = Ages(8 * SECOND, 0.01)
        listed = read_list(server_list(1, True, entry("s", self.server.address)), 0).servers
        self.servers = Servers(
            clock, 8 * SECOND, SECOND, lambda: None, lambda server: True, Figures(()), self.ages
        )
        self.addAsyncCleanup(self.servers.close)
        self.servers.learn(listed)
        self.head = b"POST /x HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"

    async def attempt(self, careful: bool = False) -> Outcome:
        return (await self.servers.attempt("s", self.head, SECOND, careful=careful)).outcome

    async def test_what_must_not_run_twice_leaves_connections_that_may_be_closing(self) -> None:
        rests = self.servers.targets["s"].rests
        assert rests is not None
        for _ in range(40):
            self.ages.ended(rests, SECOND // 20, True, clock())
        await self.attempt()
        await asyncio.sleep(0.035)
        # 35 ms old: under the 50 ms at which closes were seen, over half of that.
        self.assertIs(await self.attempt(careful=True), Outcome.SERVED)
        self.assertEqual(self.server.opened, 2)
        await asyncio.sleep(0.02)
        self.assertIs(await self.attempt(), Outcome.SERVED)
        self.assertEqual(self.server.opened, 2)

    async def test_a_close_or_bytes_that_came_and_were_not_read_are_seen_before_the_write(self) -> None:
        async def close(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer())
            await writer.drain()
            self.ending = writer

        ends: list[Callable[[asyncio.StreamWriter], None]] = [
            lambda w: w.close(),
            lambda w: w.transport.abort(),
            lambda w: w.write(b"noise"),
        ]
        for end in ends:
            self.server.play = close
            self.assertIs(await self.attempt(), Outcome.SERVED)
            (connection,) = self.servers.targets["s"].idle
            await asyncio.sleep(0.015)
            assert connection.transport is not None
            # The loop has not looked yet when the next attempt begins.
            connection.transport.pause_reading()
            end(self.ending)
            await asyncio.sleep(0.005)
            self.assertTrue(has_unread(connection.transport))
            self.assertIs(await self.attempt(), Outcome.SERVED)
            for left in list(self.servers.targets["s"].idle):
                left.drop()

    async def test_closes_at_rest_are_learned(self) -> None:
        async def close(seen: Seen, reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer())
            await asyncio.sleep(0.03)
            writer.close()

        self.server.play = close
        for number in range(12):
            self.assertIs(await self.attempt(), Outcome.SERVED)
            await until(lambda number=number: self.server.closed == number + 1)  # type: ignore[misc]
            await until(lambda: not self.servers.targets["s"].idle)
        rests = self.servers.targets["s"].rests
        assert rests is not None
        self.assertEqual(sum(rests.closed), 12)
        self.assertLess(self.ages.sure(rests), SECOND // 20)

    async def test_an_old_connection_is_not_kept(self) -> None:
        self.servers.oldest = 0.05
        await self.attempt()
        await asyncio.sleep(0.06)
        await self.attempt()
        await until(lambda: self.server.closed == 1)
        await self.attempt()
        self.assertEqual(self.server.opened, 2)


if __name__ == "__main__":
    unittest.main()
