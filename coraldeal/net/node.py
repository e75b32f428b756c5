"""One node and its phases: starting, ready, draining, ended."""

from __future__ import annotations

import asyncio
import enum
import gc
import logging
import os
import signal
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from zlib import crc32

from coraldeal.balance import Balancer
from coraldeal.config import NodeConfig, SettingsError, find_missing_key
from coraldeal.interface import Condition, Effect, Entry, ListKind, ServerId, Settings
from coraldeal.limits import plan_limits
from coraldeal.memory import MIB, MemoryBudget, MessageKind
from coraldeal.net.caller_connection import UNUSED_TIMEOUT
from coraldeal.net.callers import MAX_ACCEPTS_PER_TURN, Callers
from coraldeal.net.counters import Counters
from coraldeal.net.discovery import Discovery
from coraldeal.net.host import LoopHost, clock
from coraldeal.net.inquiry import Inquiries
from coraldeal.net.memory import process_size
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import ListEntry, ServerList, parse_server_list
from coraldeal.starts import Starts

if TYPE_CHECKING:
    from coraldeal.admin.listener import AdminListener
    from coraldeal.connections.ages import ConnectionAges
    from coraldeal.net.handover import NodeHandover
    from coraldeal.operator import OperatorFile

log = logging.getLogger(__name__)

# Seconds after SIGTERM for which new connections are accepted.
ACCEPT_AFTER_SIGTERM = 0.55
# The platform kills a node 0.7 s after its longest deadline, counted from SIGTERM; a deadline above
# MAX_DRAIN_DEADLINE seconds counts as that. The node answers its open inquiries by DRAIN_SLACK seconds after
# the deadline, since a node with only a fraction of a core runs late.
MAX_DRAIN_DEADLINE = 3.0
DRAIN_SLACK = 0.55
# The interval in seconds of checks of the event loop's lag, and the lag from which on it is logged.
LAG_CHECK_INTERVAL, LAG_THRESHOLD = 0.5, 0.1
# The smallest and largest delay in seconds until a failed watch of a pushed list is opened again; it doubles
# with each failure. A change counts as received as soon as the node's agent has it and is reachable, with or
# without a watch, so this delay must not use up the grace period of a drain.
MIN_REWATCH_DELAY, MAX_REWATCH_DELAY = 0.1, 0.4

# The longest Retry-After, in microseconds, of a request that is rejected because memory is short.
MEMORY_RETRY_AFTER_US = 1_000_000

# The number of servers that a log line names.
MAX_SERVERS_NAMED = 8

# Settings that a reload can't change: they take effect with the next start.
RESTART_KEYS = ("name", "host", "port", "operator", "peers")


def _classes_with(settings: Settings, *effects: Effect) -> dict[str, None]:
    """Return the names of the request classes that have one of these effects."""
    return {each.name: None for each in settings.request_classes if each.effect in effects}


def _parse_list(values: Any) -> ServerList:
    """Parse a list, with start times by the current wall clock; `Starts` decides which of them count."""
    return parse_server_list(values, time.time_ns() // 1000 - clock())


def _abbreviate(servers: Sequence[ServerId]) -> str:
    """Return the first MAX_SERVERS_NAMED names, and the number of the others."""
    more = len(servers) - MAX_SERVERS_NAMED
    return ",".join(servers[:MAX_SERVERS_NAMED]) + (f",+{more}" if more > 0 else "")


class Phase(enum.Enum):
    """The phases of a node's lifecycle, in order."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


class Node:
    """Connects the modules of one node and controls its phases from start to end."""

    def __init__(
        self,
        config: NodeConfig,
        load_config: Callable[[], NodeConfig] | None = None,
        operator_file: OperatorFile | None = None,
    ) -> None:
        self.config = config
        self.load_config = load_config
        self.phase = Phase.STARTING
        self.stop_requested = asyncio.Event()
        # The fraction of the node's limits that this process may use.
        self.share = 1.0
        settings = config.settings
        self.counters = Counters(request_class.name for request_class in settings.request_classes)
        self.servers = ServerPool(
            clock,
            config.conn_idle_us,
            config.connect_timeout_us,
            self._make_room,
            self._may_send,
            self.counters,
            *self._connection_settings(operator_file),
        )
        self.inquiries = Inquiries(self.servers)
        self._apply_effects(settings)
        deadlines = {
            request_class.name: request_class.deadline_us for request_class in settings.request_classes
        }
        self.memory = MemoryBudget()
        # What the process held before its first request.
        self.process_size = process_size()
        self.callers = Callers(
            deadlines,
            self.inquiries.handle_inquiry,
            self._is_ready,
            self._is_crowded,
            self._make_room,
            self.counters,
            self.memory,
            self._memory_retry_after_us,
            self._may_accept,
        )
        self._apply_limits()
        # An accepted connection holds its descriptor for four loop iterations before the idle one that makes
        # room for it is closed: with this limit, a burst uses up a sixth of the reserve.
        self.callers.accepts_per_turn = max(1, min(MAX_ACCEPTS_PER_TURN, self.reserve // 24))
        self.starts = Starts()
        self.discovery = Discovery(
            config.discovery,
            _parse_list,
            self.apply_list,
            self._list_failed,
            *self._list_sources(operator_file),
            str(config.seed),
            has_agent=not settings.list_is_pulled,
        )
        self.host = LoopHost(self.inquiries, self.discovery)
        self.balancer = Balancer(self.host, settings, config.seed)
        self.host.balancer = self.inquiries.balancer = self.balancer
        # Seconds, before a random factor, until a pushed list is watched again after a failure.
        self.rewatch_delay = MIN_REWATCH_DELAY
        # How many random numbers were drawn; each is computed from the seed and this number.
        self.random_draws = 0
        self.rewatch_timer: asyncio.TimerHandle | None = None
        # Whether any list was received: from the configuration, the predecessor process or discovery.
        self.has_list = False
        self.admin_listener: AdminListener | None = None
        self.handover: NodeHandover | None = None

    def _connection_settings(self, operator_file: OperatorFile | None) -> tuple[ConnectionAges | None, float]:
        """Return what the operator's file sets for connections: the ages to learn, and the maximum age."""
        if operator_file is None or not operator_file.connections.learn:
            return None, operator_file.connections.oldest_seconds if operator_file is not None else 0.0
        from coraldeal.connections.ages import ConnectionAges

        return ConnectionAges(
            self.config.conn_idle_us, operator_file.connections.risk
        ), operator_file.connections.oldest_seconds

    def _list_sources(self, operator_file: OperatorFile | None) -> tuple[Sequence[str], Sequence[str]]:
        """Return the services to request and the sources, as the operator's file names them."""
        return (
            ((), ()) if operator_file is None else (operator_file.lists.services, operator_file.lists.sources)
        )

    async def run(self) -> None:
        """Run the node until SIGTERM or SIGINT has been handled."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        # Without a handler, SIGHUP would end the process.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # `serve` blocks these signals until their handlers are installed; pending ones arrive now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGHUP))
        if self.config.known_list is not None:
            known_list = _parse_list(self.config.known_list)
            self.discovery.start_from(known_list.version)
            self.apply_list(known_list, ListKind.REMEMBERED)
        if not self.config.settings.list_is_pulled:
            self.discovery.follow()
        if self.config.peers is not None:
            from coraldeal.net.peer_transport import PeerTransport

            peer_transport = PeerTransport(
                self.config.peers, self.config.settings.peer_index, self.balancer.peer_message_received
            )
            await peer_transport.open()
            self.host.peer_transport = peer_transport
        await self._listen()
        self._check_lag(loop.time())
        # The objects created so far live as long as the process: exclude them from garbage collections.
        gc.freeze()
        self.process_size = process_size()
        self._apply_limits()
        self._log_limits()
        self._enter(Phase.READY)
        if self.handover is not None:
            self.handover.link.start_serving()
        await self.stop_requested.wait()
        await self._drain()

    async def _listen(self) -> None:
        """Listen for callers and, if the configuration names an address, for operators and a successor."""
        operator = self.config.operator
        if operator is None:
            await self.callers.listen(self.config.host, self.config.port)
            return
        from coraldeal.net.admin_interface import open_admin_listener

        if folder := os.environ.get("TMPDIR"):
            from coraldeal.net.handover import NodeHandover

            self.handover = NodeHandover(self, folder)
            await self.handover.start()
        else:
            await self.callers.listen(self.config.host, self.config.port)
        self.admin_listener = await open_admin_listener(self, operator)

    def reload(self) -> None:
        """Handle SIGHUP: apply the current configuration; one that is invalid changes nothing."""
        if self.load_config is None or self.phase is Phase.ENDED:
            return
        old = self.config
        try:
            new = self.load_config()
            if missing_key := find_missing_key(new.raw_values, old.raw_values):
                raise SettingsError(f"setting {missing_key} is missing, but the current configuration has it")
        except Exception as error:
            # Whatever is wrong with the file, the node continues with the configuration that it has.
            self.counters.reload_errors += 1
            log.error("configuration kept", extra={"pairs": {"why": error}})
            return
        self.counters.reloads += 1
        # The nodes that exchange peer messages can change only with a restart.
        current_settings = old.settings
        settings = replace(new.settings, peers=current_settings.peers, peer_index=current_settings.peer_index)
        new = replace(new, settings=settings)
        self.config = replace(new, **{key: getattr(old, key) for key in RESTART_KEYS})
        self._apply_limits()
        if new.settings != old.settings:
            # Open inquiries keep the settings that they arrived under.
            self.balancer.settings_changed(new.settings)
            self.callers.deadlines_us = {
                request_class.name: request_class.deadline_us
                for request_class in new.settings.request_classes
            }
            self.counters.add_request_classes(self.callers.deadlines_us)
            self._apply_effects(new.settings)
        self.servers.apply_settings(new.conn_idle_us, new.connect_timeout_us)
        if new.discovery != old.discovery and not self.discovery.sources:
            self.discovery.change_address(new.discovery)
        if not new.settings.list_is_pulled:
            self.discovery.follow()
        # The other settings were used when the node was created, so a change of them needs a restart.
        needs_restart = [key for key in RESTART_KEYS if getattr(new, key) != getattr(old, key)]
        pairs = {"discovery": new.discovery, "sockets": new.sockets, "needs_restart": ",".join(needs_restart)}
        log.info("configuration read anew", extra={"pairs": pairs})

    def _apply_effects(self, settings: Settings) -> None:
        """Apply which request classes must not run twice."""
        self.inquiries.not_idempotent_classes = _classes_with(settings, Effect.NOT_IDEMPOTENT)
        self.inquiries.repeat_sensitive_classes = _classes_with(
            settings, Effect.NOT_IDEMPOTENT, Effect.IDEMPOTENT_BY_KEY
        )

    async def _drain(self) -> None:
        """Serve connected callers for a while, then answer all open inquiries and close.

        Callers use their connections for as long as these stay open. If a node closed them at once, all its
        callers would move to its neighbours, or find no node while these restart too.
        """
        self._enter(Phase.DRAINING)
        if self.host.peer_transport is not None:
            # A successor process binds the same address.
            self.host.peer_transport.close()
        if self.handover is not None:
            self.handover.link.ownership.shutdown_started()
        request_classes = self.config.settings.request_classes
        longest_deadline = max((request_class.deadline_us for request_class in request_classes), default=0)
        longest_latency_target = max(
            (request_class.latency_target_us for request_class in request_classes), default=0
        )
        # The platform may kill the process soon after this time.
        end_us = clock() + min(longest_deadline, int(MAX_DRAIN_DEADLINE * 1e6)) + int(DRAIN_SLACK * 1e6)
        self.inquiries.answer_all_by(end_us)
        if self.handover is not None and self.handover.link.ownership.successor_accepts:
            # A successor accepts new connections: closing each one behind its answer moves the caller there.
            self.callers.is_closing = True
        else:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM)
            await self.callers.stop_listening()
        await self._wait_for_disconnects(end_us - longest_latency_target)
        self.callers.begin_closing()
        await self._wait_for_disconnects(end_us)
        await self.callers.close()
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.handover is not None:
            await self.handover.link.close()
            await self.callers.stop_listening()
        await self.discovery.close()
        await self.servers.close()
        self._enter(Phase.ENDED)

    async def _wait_for_disconnects(self, until: int) -> None:
        """Wait until no caller is connected, but no longer than this time of the node's clock."""
        while self.callers.connection_count and clock() < until:
            await asyncio.sleep(0.01)

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        pairs = {"node": self.config.name, "phase": phase.value, "in_hand": len(self.inquiries.in_progress)}
        log.info("phase", extra={"pairs": pairs})

    def can_serve(self) -> bool:
        """Return whether this process can answer inquiries now: it is ready, and has received a list."""
        return self.phase is Phase.READY and (self.has_list or self.discovery.address is None)

    def _is_ready(self) -> bool:
        return self.phase is Phase.READY

    def _check_lag(self, scheduled_at: float) -> None:
        """Log a warning if the event loop runs late, so that the decisions aren't blamed for its delays."""
        loop = asyncio.get_running_loop()
        lateness = loop.time() - scheduled_at
        if lateness > LAG_THRESHOLD:
            log.warning("loop ran late", extra={"pairs": {"late_ms": int(lateness * 1000)}})
        scheduled_at = loop.time() + LAG_CHECK_INTERVAL
        loop.call_at(scheduled_at, self._check_lag, scheduled_at)

    def _random(self, purpose: str) -> float:
        """Return a number from 0 up to 1 that follows from the seed, the purpose and the number of draws."""
        self.random_draws += 1
        return crc32(f"{self.config.seed} {purpose} {self.random_draws}".encode()) / 2**32

    def _may_send(self, server: ServerId) -> bool:
        return self.balancer.may_send(server)

    # Limits on descriptors and memory.

    def set_share(self, share: float) -> None:
        """Limit this process to a fraction of the node's limits, while two processes serve as this node."""
        self.share = share
        self._apply_limits()
        self.balancer.set_share(share)

    def _apply_limits(self) -> None:
        """Limit connections, requests and messages to what the configuration and this process leave."""
        config = self.config
        self.limits = plan_limits(config.sockets, config.memory_bytes, self.share, self.process_size)
        self.callers.max_buffered_bytes = self.limits.buffered_bytes
        self.memory.set_limit(self.limits.message_bytes)

    def _log_limits(self) -> None:
        """Log the limits, with a warning where memory allows fewer connections than descriptors."""
        limits = self.limits
        pairs: dict[str, Any] = {
            "connections": limits.connections,
            "requests": limits.requests,
            "sockets": self.config.sockets,
            "process_mb": self.process_size.resident // MIB,
            "private_mb": self.process_size.private // MIB,
            "messages_kb": (limits.message_bytes or 0) // 1024,
        }
        if limits.is_memory_short:
            log.warning("memory allows fewer connections than descriptors", extra={"pairs": pairs})
        else:
            log.info("limits", extra={"pairs": pairs})

    @property
    def limit(self) -> int:
        """How many connections this process may have, beside a reserve."""
        return self.limits.connections

    @property
    def reserve(self) -> int:
        """How many descriptors are kept free."""
        return self.limits.reserve

    def _may_accept(self) -> bool:
        """Return whether a further connection may be accepted, closing an idle one for it if necessary.

        Where callers with unfinished requests hold most connections, the others are left for servers, and new
        callers wait in the backlog. Silent callers are accepted: room is made for the next ones by closing
        them. While the node ends, what waits in the backlog is accepted in any case.
        """
        callers = self.callers.connection_count
        if self.phase is not Phase.READY or (
            callers < self.limits.callers
            and callers + self.servers.descriptors_in_use < self.limit + self.reserve // 2
        ):
            return True
        return (
            self.callers.close_one_idle(urgent=False, min_idle_seconds=UNUSED_TIMEOUT)
            or self.callers.has_idle()
        )

    def _is_crowded(self, is_large: bool) -> bool:
        """Return whether another inquiry, with a large body or answer or not, could exceed the limits."""
        # The rest of an answer that waits for memory holds as much as a request in progress.
        waiting = len(self.memory.queues[MessageKind.ANSWER])
        return self.limits.is_crowded(
            len(self.inquiries.in_progress) + waiting, self.callers.streaming_answers - waiting, is_large
        )

    def _make_room(self) -> None:
        """Close idle connections while the descriptor limit is exceeded; called when one is opened."""
        excess = self.callers.connection_count + self.servers.descriptors_in_use - self.limit
        while excess > 0 and (
            self.servers.close_one_idle() or self.callers.close_one_idle(urgent=excess > self.reserve // 2)
        ):
            excess -= 1

    def _memory_retry_after_us(self) -> int:
        """Return the Retry-After of a request rejected for memory, spread by chance; 0: none is allowed."""
        settings = self.config.settings
        if not settings.may_send_retry_after:
            return 0
        longest_us = min(MEMORY_RETRY_AFTER_US, settings.max_retry_after_us)
        return int(longest_us * (0.5 + 0.5 * self._random("memory")))

    # The server list.

    def current_list(self) -> ServerList:
        """Return the list in use as a snapshot, with start times by this node's clock."""
        endpoints = self.servers.endpoints
        servers = [
            ListEntry(entry, endpoints[entry.server].address)
            for entry in self.balancer.listed.values()
            if entry.server in endpoints
        ]
        started_ms = self.starts.listed_ms(listed.entry.server for listed in servers)
        return ServerList(self.discovery.stamp.version, True, servers, started_ms)

    def apply_start_times(self, servers: Collection[ServerId]) -> None:
        """Apply the start times of these servers, which have changed since the list in use was applied."""
        current = self.current_list()
        listed = [listed for listed in current.servers if listed.entry.server in servers]
        if listed:
            self.apply_list(ServerList(current.version, False, listed))

    def apply_list(self, update: ServerList, kind: ListKind | None = None) -> None:
        """Apply a snapshot or delta of the server list; `kind` overrides the kind that the update states."""
        self.has_list = True
        entries = self.starts.resolve((listed.entry for listed in update.servers), update.started_ms, clock())
        replaced = self.servers.update_endpoints(
            [ListEntry(entry, listed.address) for entry, listed in zip(entries, update.servers, strict=True)],
            update.is_snapshot,
        )
        self.rewatch_delay = MIN_REWATCH_DELAY
        kind = kind or (ListKind.SNAPSHOT if update.is_snapshot else ListKind.CHANGES)
        removed = [Entry(server, "", 0, Condition.GONE, 0) for server in replaced]
        before = dict.fromkeys(self.balancer.servers)
        self.balancer.servers_listed(kind, removed + entries)
        self._log_changes(before, update.version)

    def _log_changes(self, before: dict[ServerId, None], version: int) -> None:
        """Log an update that takes servers out of use or adds new ones."""
        after = self.balancer.servers
        left = [server for server in before if server not in after]
        joined = [server for server in after if server not in before]
        if left or joined:
            pairs = {
                "version": version,
                "left": _abbreviate(left),
                "joined": _abbreviate(joined),
                "in_use": len(after),
            }
            log.info("servers changed", extra={"pairs": pairs})

    def _list_failed(self) -> None:
        if self.phase is Phase.ENDED:
            return
        if self.config.settings.list_is_pulled:
            self.balancer.list_failed()
            return
        # The decisions don't request a pushed list, so the watch is renewed here.
        if self.rewatch_timer is not None:
            # Schedule one retry at a time, however many failures there were.
            self.rewatch_timer.cancel()
        wait = self.rewatch_delay * (0.5 + self._random("watch"))
        self.rewatch_timer = asyncio.get_running_loop().call_later(wait, self.discovery.follow)
        self.rewatch_delay = min(2 * self.rewatch_delay, MAX_REWATCH_DELAY)
