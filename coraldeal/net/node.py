"""One node and its phases: starting, ready, draining, ended."""

from __future__ import annotations

import asyncio
import enum
import gc
import logging
import os
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from zlib import crc32

from coraldeal.balance import Balancer
from coraldeal.config import NodeConfig, SettingsError, find_missing_key
from coraldeal.interface import Condition, Effect, Entry, ListKind, ServerId, Settings
from coraldeal.net.callers import MAX_ACCEPTS_PER_TURN, Callers
from coraldeal.net.counters import Counters
from coraldeal.net.discovery import Discovery
from coraldeal.net.host import LoopHost, clock
from coraldeal.net.inquiry import Inquiries
from coraldeal.net.servers import Servers
from coraldeal.net.wire import ServerList, read_list
from coraldeal.starts import Starts

if TYPE_CHECKING:
    from coraldeal.admin.listener import AdminListener
    from coraldeal.connections.ages import ConnectionAges
    from coraldeal.net.handover import NodeHandover
    from coraldeal.operator import OperatorFile

log = logging.getLogger(__name__)

# Descriptors kept for discovery, probes, logs and a rush of callers: so many, or a quarter of a small limit.
RESERVE = 96
# For how long after SIGTERM new connections may still come.
STILL_ACCEPTING = 0.55
# The platform kills a node that was told to end after the longest patience, of which it grants so much, and
# 0.7 s more. What is left is answered before that with time in hand: a node with part of a core is late.
END_PATIENCE = 3.0
END_SLACK = 0.55
# How often the loop's lateness is looked at, and from when on it is told.
LAG_EVERY, LAG_TOLD = 0.5, 0.1
# Waits before the watch is begun again where the list comes by itself. What its agent has counts as told
# whether or not a watch is open, from the moment it is back: no wait may use up the grace of a drain.
REWATCH_LEAST, REWATCH_MOST = 0.1, 0.4

# How many servers a log line names at the most.
SERVERS_NAMED = 8

# What a configuration read anew can't change while the node runs.
RESTART_KEYS = ("name", "host", "port", "operator", "peers")


def _irreversible(settings: Settings) -> dict[str, None]:
    return {track.name: None for track in settings.request_classes if track.effect is Effect.NOT_IDEMPOTENT}


def _read_list(values: Any) -> ServerList:
    """Starts are by the wall clock as it is now: `Starts` says which of them count."""
    return read_list(values, time.time_ns() // 1000 - clock())


def _some(servers: Sequence[ServerId]) -> str:
    """The first few by name, the others by their number."""
    more = len(servers) - SERVERS_NAMED
    return ",".join(servers[:SERVERS_NAMED]) + (f",+{more}" if more > 0 else "")


class Phase(enum.Enum):
    """Where a node is in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


class Node:
    """Puts the parts together and leads them from start to end."""

    def __init__(
        self,
        config: NodeConfig,
        read_anew: Callable[[], NodeConfig] | None = None,
        own: OperatorFile | None = None,
    ) -> None:
        self.config = config
        self.read_anew = read_anew
        self.phase = Phase.STARTING
        self.ending = asyncio.Event()
        self.part = 1.0
        self._share_out(config.sockets)
        settings = config.settings
        self.figures = Counters(track.name for track in settings.request_classes)
        self.servers = Servers(
            clock,
            config.conn_idle_us,
            config.connect_timeout_us,
            self._make_room,
            self._may_send,
            self.figures,
            *self._connections(own),
        )
        self.inquiries = Inquiries(self.servers)
        self.inquiries.not_idempotent_classes = _irreversible(settings)
        patience = {track.name: track.deadline_us for track in settings.request_classes}
        live = self.inquiries.handle_inquiry
        self.callers = Callers(
            patience, live, self._is_ready, self._is_crowded, self._make_room, self.figures
        )
        # A connection taken has its descriptor four turns before the one that makes room for it is closed: a
        # rush uses up a sixth of the reserve.
        self.callers.accepts_per_turn = max(1, min(MAX_ACCEPTS_PER_TURN, self.reserve // 24))
        self.starts = Starts()
        self.discovery = Discovery(
            config.discovery,
            _read_list,
            self.take_list,
            self._list_failed,
            *self._lists(own),
            str(config.seed),
            has_agent=not settings.list_is_pulled,
        )
        self.host = LoopHost(self.inquiries, self.discovery)
        self.balancer = Balancer(self.host, settings, config.seed)
        self.host.balancer = self.inquiries.balancer = self.balancer
        self.rewatch_wait = REWATCH_LEAST
        self.draws = 0
        self.rewatch: asyncio.TimerHandle | None = None
        # Whether a list was ever told, as of old, by the process before or by discovery.
        self.has_list = False
        self.door: AdminListener | None = None
        self.succession: NodeHandover | None = None

    def _connections(self, own: OperatorFile | None) -> tuple[ConnectionAges | None, float]:
        """What the operator's own file asks of connections to servers."""
        if own is None or not own.connections.learn:
            return None, own.connections.oldest_seconds if own is not None else 0.0
        from coraldeal.connections.ages import ConnectionAges

        return ConnectionAges(self.config.conn_idle_us, own.connections.risk), own.connections.oldest_seconds

    def _lists(self, own: OperatorFile | None) -> tuple[Sequence[str], Sequence[str]]:
        """The services asked for and the sources, where the operator's own file names them."""
        return ((), ()) if own is None else (own.lists.services, own.lists.sources)

    async def run(self) -> None:
        """The node's whole life."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        # Guards against the end that SIGHUP is by default.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # What came in the first moments was kept waiting (`serve`) and comes now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGHUP))
        if self.config.known_list is not None:
            known = _read_list(self.config.known_list)
            self.discovery.version = known.version
            self.take_list(known, ListKind.REMEMBERED)
        if not self.config.settings.list_is_pulled:
            self.discovery.follow()
        if self.config.peers is not None:
            from coraldeal.net.carrier import Carrier

            carrier = Carrier(
                self.config.peers, self.config.settings.peer_index, self.balancer.peer_message_received
            )
            await carrier.open()
            self.host.peer_transport = carrier
        await self._listen()
        self._watch_lag(loop.time())
        # What was made so far stays: it need not be looked through again at each collection.
        gc.freeze()
        self._enter(Phase.READY)
        if self.succession is not None:
            self.succession.link.start_serving()
        await self.ending.wait()
        await self._drain()

    async def _listen(self) -> None:
        """Open for callers and, where the configuration names a door, for operators and a later process."""
        operator = self.config.operator
        if operator is None:
            await self.callers.listen(self.config.host, self.config.port)
            return
        from coraldeal.net.admin_interface import open_admin_listener

        if folder := os.environ.get("TMPDIR"):
            from coraldeal.net.handover import NodeHandover

            self.succession = NodeHandover(self, folder)
            await self.succession.start()
        else:
            await self.callers.listen(self.config.host, self.config.port)
        self.door = await open_admin_listener(self, operator)

    def reload(self) -> None:
        """SIGHUP: go by the configuration as it stands now; one that cannot be used changes nothing."""
        if self.read_anew is None or self.phase is Phase.ENDED:
            return
        old = self.config
        try:
            new = self.read_anew()
            if lacks := find_missing_key(new.raw_values, old.raw_values):
                raise SettingsError(f"setting {lacks} is missing, and the one before had it")
        except Exception as error:
            # Whatever is wrong with a file, the node goes on by the one that it has.
            self.figures.reload_errors += 1
            log.error("configuration kept", extra={"pairs": {"why": error}})
            return
        self.figures.reloads += 1
        # Who exchanges notes is as at the start, whatever else changes.
        known = old.settings
        settings = replace(new.settings, peers=known.peers, peer_index=known.peer_index)
        new = replace(new, settings=settings)
        self.config = replace(new, **{key: getattr(old, key) for key in RESTART_KEYS})
        self._share_out(new.sockets)
        if new.settings != old.settings:
            # Inquiries in hand keep the rules that they came with.
            self.balancer.settings_changed(new.settings)
            self.callers.deadlines_us = {
                track.name: track.deadline_us for track in new.settings.request_classes
            }
            self.figures.add_request_classes(self.callers.deadlines_us)
            self.inquiries.not_idempotent_classes = _irreversible(new.settings)
        self.servers.go_by(new.conn_idle_us, new.connect_timeout_us)
        if new.discovery != old.discovery and not self.discovery.sources:
            self.discovery.move(new.discovery)
        if not new.settings.list_is_pulled:
            self.discovery.follow()
        # All else shapes what was made at the start.
        waiting = [key for key in RESTART_KEYS if getattr(new, key) != getattr(old, key)]
        pairs = {"discovery": new.discovery, "sockets": new.sockets, "needs_restart": ",".join(waiting)}
        log.info("configuration read anew", extra={"pairs": pairs})

    async def _drain(self) -> None:
        """Serve on where callers are connected, then answer all in hand and close.

        Callers use the connections they have for as long as these stay open: those of a node that closes them
        at once must all go to its neighbours, or find nobody while these restart too.
        """
        self._enter(Phase.DRAINING)
        if self.host.peer_transport is not None:
            # A process that takes over binds the same address.
            self.host.peer_transport.close()
        if self.succession is not None:
            self.succession.link.ownership.shutdown_started()
        tracks = self.config.settings.request_classes
        longest = max((track.deadline_us for track in tracks), default=0)
        expected = max((track.latency_target_us for track in tracks), default=0)
        # No later than this the platform may kill.
        end = clock() + min(longest, int(END_PATIENCE * 1e6)) + int(END_SLACK * 1e6)
        self.inquiries.answer_all_by(end)
        if self.succession is not None and self.succession.link.ownership.successor_accepts:
            # A newcomer takes all who connect: each answer sends its caller there.
            self.callers.is_closing = True
        else:
            await asyncio.sleep(STILL_ACCEPTING)
            await self.callers.stop_listening()
        await self._while_held(end - expected)
        self.callers.begin_closing()
        await self._while_held(end)
        await self.callers.close()
        if self.door is not None:
            self.door.close()
        if self.succession is not None:
            await self.succession.link.close()
            await self.callers.stop_listening()
        await self.discovery.close()
        await self.servers.close()
        self._enter(Phase.ENDED)

    async def _while_held(self, until: int) -> None:
        """Wait for this time, or until no caller is connected."""
        while self.callers.connection_count and clock() < until:
            await asyncio.sleep(0.01)

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        pairs = {"node": self.config.name, "phase": phase.value, "in_hand": len(self.inquiries.in_progress)}
        log.info("phase", extra={"pairs": pairs})

    def can_serve(self) -> bool:
        """Whether this process answers inquiries now: it takes them, and has been told of servers."""
        return self.phase is Phase.READY and (self.has_list or self.discovery.address is None)

    def _is_ready(self) -> bool:
        return self.phase is Phase.READY

    def _watch_lag(self, due: float) -> None:
        """Tell of a loop that runs late, before decisions are blamed for it."""
        loop = asyncio.get_running_loop()
        late = loop.time() - due
        if late > LAG_TOLD:
            log.warning("loop ran late", extra={"pairs": {"late_ms": int(late * 1000)}})
        due = loop.time() + LAG_EVERY
        loop.call_at(due, self._watch_lag, due)

    def _may_send(self, server: ServerId) -> bool:
        return self.balancer.may_send(server)

    # Descriptors.

    def take_part(self, part: float) -> None:
        """While two processes are this node, each keeps to its part of what the node may do."""
        self.part = part
        self._share_out(self.config.sockets)
        self.balancer.set_share(part)

    def _share_out(self, sockets: int) -> None:
        sockets = int(sockets * self.part)
        self.reserve: int = min(RESERVE, sockets // 4)
        self.limit = sockets - self.reserve

    def _is_crowded(self) -> bool:
        """Whether one more inquiry could want more descriptors than there are: each holds two at the most."""
        return 2 * (len(self.inquiries.in_progress) + self.callers.streaming_answers) >= self.limit

    def _make_room(self) -> None:
        """Before a connection is opened and after one was taken: idle ones go first."""
        over = self.callers.connection_count + self.servers.held - self.limit
        while over > 0 and (
            self.servers.close_one_idle() or self.callers.close_one_idle(urgent=over > self.reserve // 2)
        ):
            over -= 1

    # The list.

    def take_list(self, told: ServerList, kind: ListKind | None = None) -> None:
        self.has_list = True
        lost = self.servers.learn(told.servers, told.whole)
        self.rewatch_wait = REWATCH_LEAST
        kind = kind or (ListKind.SNAPSHOT if told.whole else ListKind.CHANGES)
        gone = [Entry(server, "", 0, Condition.GONE, 0) for server in lost]
        before = dict.fromkeys(self.balancer.servers)
        entries = self.starts.resolve((listed.entry for listed in told.servers), told.started_ms, clock())
        self.balancer.servers_listed(kind, gone + entries)
        self._log_changes(before, told.version)

    def _log_changes(self, before: dict[ServerId, None], version: int) -> None:
        """One line for a list that takes servers out of use or brings new ones into it."""
        after = self.balancer.servers
        left = [server for server in before if server not in after]
        joined = [server for server in after if server not in before]
        if left or joined:
            pairs = {"version": version, "left": _some(left), "joined": _some(joined), "in_use": len(after)}
            log.info("servers changed", extra={"pairs": pairs})

    def _list_failed(self) -> None:
        if self.phase is Phase.ENDED:
            return
        if self.config.settings.list_is_pulled:
            self.balancer.list_failed()
            return
        # Where the list is to come by itself the module does not ask for it: the watch is the network's.
        self.draws += 1
        chance = crc32(f"{self.config.seed} watch {self.draws}".encode()) / 2**32
        if self.rewatch is not None:
            # One wait at a time, however many failures there were.
            self.rewatch.cancel()
        wait = self.rewatch_wait * (0.5 + chance)
        self.rewatch = asyncio.get_running_loop().call_later(wait, self.discovery.follow)
        self.rewatch_wait = min(2 * self.rewatch_wait, REWATCH_MOST)
