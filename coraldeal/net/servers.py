"""Connections to servers, and the trips and probes that travel on them.

The node stands on the connector and the response protocol of aiohttp's client and not on its session: a
session may send a request again by itself when a reused connection breaks, and does not tell when the last
byte has gone. Here each trip is one write, made once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from coraldeal.interface import Condition, Outcome, ServerId
from coraldeal.net.wire import Listed, RawHeaders, TripEnd, probe_bytes, read_answer, read_report

# The part of a server's idle limit after which a connection is not used again, and how often, as a part of
# it, such connections are looked for and closed.
IDLE_PART = 0.7
SWEEP_PART = 0.1
# What an answer may hold; servers promise far less.
ANSWER_MOST = 1 << 20
# How long a probe may take beyond the time for a connection.
PROBE_WAIT = 0.25


class Pool(aiohttp.TCPConnector):
    """aiohttp's connector, reusing the latest connection first so that the others run out."""

    async def _get(self, key, traces):  # type: ignore[no-untyped-def]
        connections = self._conns.get(key)
        if connections and len(connections) > 1:
            connections.rotate(1)
        return await super()._get(key, traces)

    @property
    def held(self) -> int:
        """Descriptors in use, idle or not."""
        return len(self._acquired) + self.idle

    @property
    def idle(self) -> int:
        return sum(map(len, self._conns.values()))

    def close_overdue(self) -> None:
        """Close what has been idle too long; the connector by itself looks only once in its time-out."""
        self._cleanup()

    def close_one_idle(self) -> bool:
        """Give up the connection that has been idle the longest."""
        oldest = min((c for c in self._conns.values() if c), key=lambda c: c[0][1], default=None)
        if oldest is None:
            return False
        protocol, _ = oldest.popleft()
        protocol.close()
        return True


class Target:
    """Where a server is reached."""

    __slots__ = ("address", "template")

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        self.address = address
        # The connector asks a request for its address alone; one serves all trips.
        self.template = aiohttp.ClientRequest("GET", URL(f"http://{address}/"), loop=loop)


class Servers:
    """All servers that the list has named, and the connections to them."""

    def __init__(
        self, clock: Callable[[], int], idle_us: int, connect_timeout_us: int, make_room: Callable[[], None]
    ) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.targets: dict[ServerId, Target] = {}
        self.make_room = make_room
        connect = connect_timeout_us / 1e6
        self.limits = aiohttp.ClientTimeout(total=None, connect=connect)
        self.probe_wait_us = connect_timeout_us + int(PROBE_WAIT * 1e6)
        idle = idle_us / 1e6
        self.pool = Pool(limit=0, keepalive_timeout=IDLE_PART * idle, happy_eyeballs_delay=None)
        self.sweep_every = SWEEP_PART * idle
        self.sweeper = self.loop.call_later(self.sweep_every, self._sweep)

    async def close(self) -> None:
        self.sweeper.cancel()
        await self.pool.close()

    def _sweep(self) -> None:
        self.pool.close_overdue()
        self.sweeper = self.loop.call_later(self.sweep_every, self._sweep)

    def learn(self, listed: Iterable[Listed]) -> None:
        """Note the addresses of a list or of its changes."""
        for entry, address in listed:
            if entry.condition is Condition.GONE:
                self.targets.pop(entry.server, None)
            elif address:
                known = self.targets.get(entry.server)
                if known is None or known.address != address:
                    self.targets[entry.server] = Target(address, self.loop)

    async def trip(self, server: ServerId, message: bytes, timeout_us: int) -> TripEnd:
        """One trip, from its connection to its end; cancelling it is stopping it."""
        started = self.clock()
        target = self.targets.get(server)
        if target is None:
            # The list took it away between the choice and the send.
            return TripEnd(Outcome.CONNECT_FAILED, 0)
        connection: aiohttp.connector.Connection | None = None
        protocol: ResponseHandler | None = None
        outcome, report, answer = Outcome.CONNECT_FAILED, None, None
        handed_over = False
        try:
            async with asyncio.timeout(timeout_us / 1e6):
                connection, protocol = await self._connect(target)
                protocol.set_response_params(auto_decompress=False, read_until_eof=True)
                handed_over = self._write(protocol, message)
                if not handed_over:
                    raise ConnectionError("closed before the first byte")
                status, fields, raw, body = await self._read(protocol)
            report = read_report(fields.get("Srv-Load"))
            outcome, answer = read_answer(status, fields, raw, body)
        except TimeoutError:
            if handed_over and not _bytes_left(protocol):
                outcome = Outcome.TIMEOUT
        except asyncio.CancelledError:
            outcome = Outcome.WITHDRAWN
        except (OSError, aiohttp.ClientError, aiohttp.http.HttpProcessingError):
            # Proved not run only if the last byte was never written.
            if handed_over and not _bytes_left(protocol):
                outcome = Outcome.RESET
        finally:
            if connection is not None:
                if answer is not None and not _bytes_left(protocol):
                    connection.release()
                else:
                    # Bytes not yet written must not follow: the connection ends at once, not after them.
                    if protocol is not None and _bytes_left(protocol):
                        protocol.abort()
                    connection.close()
        return TripEnd(outcome, self.clock() - started, report, answer)

    async def probe(self, server: ServerId, with_report: bool) -> TripEnd:
        """Ask a server how it is."""
        target = self.targets.get(server)
        if target is None:
            return TripEnd(Outcome.CONNECT_FAILED, 0)
        end = await self.trip(server, probe_bytes(target.address, with_report), self.probe_wait_us)
        if end.outcome is Outcome.SATISFIED and with_report and end.answer is not None:
            text = end.answer.body.decode("latin-1").strip()
            return TripEnd(end.outcome, end.latency_us, read_report(text) or end.report)
        return end

    async def _connect(self, target: Target) -> tuple[aiohttp.connector.Connection, ResponseHandler]:
        """A connection to the server that is fit for a trip."""
        while True:
            self.make_room()
            connection = await self.pool.connect(target.template, [], self.limits)
            protocol = connection.protocol
            assert protocol is not None
            if not protocol.should_close:
                return connection, protocol
            # Something came on it unasked while it was idle: it must not be taken for this trip's answer.
            connection.close()

    def _write(self, protocol: ResponseHandler, message: bytes) -> bool:
        """Hand all bytes to the socket; False if it was closed already and none went out."""
        transport = protocol.transport
        if transport is None or transport.is_closing():
            return False
        # With no room for a backlog the protocol is paused exactly while bytes are left to write.
        transport.set_write_buffer_limits(high=0)
        transport.write(message)
        return not transport.is_closing()

    async def _read(self, protocol: ResponseHandler) -> tuple[int, Mapping[str, str], RawHeaders, bytes]:
        message, payload = await protocol.read()
        while message.code < 200:
            message, payload = await protocol.read()
        body = bytearray()
        while chunk := await payload.readany():
            body += chunk
            if len(body) > ANSWER_MOST:
                raise aiohttp.ClientPayloadError("the answer is too large")
        return message.code, message.headers, message.raw_headers, bytes(body)


def _bytes_left(protocol: ResponseHandler | None) -> bool:
    """Whether some of what was handed over never reached the socket."""
    return protocol is not None and protocol.writing_paused
