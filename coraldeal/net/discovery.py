"""Follows the server list with watches at discovery; `list_calls` decides when a call is made."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any
from zlib import crc32

from coraldeal.list_calls import CallLimits, CallPlan
from coraldeal.net.call_log import CallLog
from coraldeal.net.list_call import CallEnd, CallTimeouts, ListCall
from coraldeal.net.wire import ServerList, list_url
from coraldeal.precedence import NO_VERSION, UNKNOWN_ORIGIN, ListStamp

# Seconds without data after which a watch counts as dead: discovery sends a line every 2 s. A change that a
# silent watch has missed must take effect within 6 s of the watch's last data, and any change within 6 s of
# the time at which discovery has it and is reachable, whatever failed before. docs/endings.md has the
# calculation.
LIVENESS_TIMEOUT = 2.5
# Seconds without an answer after which a call counts as hung: discovery handles calls one after another, and
# itself fails those that have waited for 2 to 3 s.
ANSWER_TIMEOUT = 3.05
# Seconds after which a hung call is cancelled. Until then it stays open, since an answer that discovery has
# written counts as received.
MAX_CALL_TIME = 10.0
# Seconds that a connection may take to be established.
CONNECT_TIMEOUT = 0.6
# Seconds between extra calls beside hung ones, and the largest number of calls in flight: first for a
# discovery that all nodes share, then for a node's own agent, whose changes are in force as soon as it is
# reachable.
EXTRA_CALL_AFTER, MAX_CALLS = 1.5, 2
EXTRA_CALL_AFTER_AT_AGENT, MAX_CALLS_AT_AGENT = 0.75, 5
# A call that fails after this many seconds is repeated at once.
LONG_CALL = 1.5
# Seconds from the first call at a new address until calls at former ones are cancelled, so that what arrived
# just as the configuration changed is still read.
SUPERSEDED_CALL_TIME = 0.1
# How many calls and watches at former addresses stay open until the new address has sent a list.
MAX_SUPERSEDED = 4
# All followers of a relay lose it at the same moment, so each continues at another one after a random
# fraction of this many seconds.
MAX_SOURCE_SWITCH_DELAY = 0.5


def _shuffle_sources(sources: Sequence[str], seed: str) -> list[str]:
    # Imported only if sources are configured.
    from coraldeal.relay.route import seeded_shuffle

    return seeded_shuffle(sources, seed)


def call_limits(has_agent: bool, has_sources: bool) -> CallLimits:
    """Return the limits of list calls, by where the list comes from. Several sources are called in turn."""
    extra_after, max_count = (
        (EXTRA_CALL_AFTER_AT_AGENT, MAX_CALLS_AT_AGENT) if has_agent else (EXTRA_CALL_AFTER, MAX_CALLS)
    )
    return CallLimits(
        hung_after=ANSWER_TIMEOUT,
        extra_call_after=extra_after,
        max_in_flight=1 if has_sources else max_count,
        always_extra=has_agent,
        long_call=LONG_CALL,
    )


class Discovery:
    """Keeps one watch of the server list open, and reports each failed watch or series of calls once."""

    def __init__(
        self,
        address: str | None,
        parse: Callable[[Any], ServerList],
        on_list: Callable[[ServerList], None],
        on_failure: Callable[[], None],
        services: Sequence[str] = (),
        sources: Sequence[str] = (),
        seed: str = "",
        has_agent: bool = False,
    ) -> None:
        # Sources of the same list, in this node's own order: when a watch ends, the next source continues it
        # from the current version. Empty: there is only `address`.
        self.sources = _shuffle_sources(sources, seed) if sources else []
        self.seed = seed
        self.address = self.sources[0] if self.sources else address
        # The services whose servers are requested; empty: all that the source lists at this address.
        self.services = services
        self.parse = parse
        self.on_list = on_list
        self.on_failure = on_failure
        # The version that the next call continues from, as counted by the current address.
        self.version = NO_VERSION
        # Where the list in use is from.
        self.stamp = ListStamp(self.origin)
        # Whether the current address has sent a snapshot.
        self.has_snapshot = False
        self.plan = CallPlan(call_limits(has_agent, bool(sources)), seed)
        # The calls and the watch at the current address by number, and those still open at former addresses.
        self.calls: dict[int, ListCall] = {}
        self.superseded: dict[int, ListCall] = {}
        self.watch: ListCall | None = None
        # The number of calls of this process, for operators.
        self.total_calls = 0
        # The timer of the next scheduled call.
        self.next_call: asyncio.TimerHandle | None = None
        # How many sources have failed in a row.
        self.failed_sources = 0
        self.call_log = CallLog()

    @property
    def origin(self) -> str:
        """Return what counts the versions of the list: the current address, or all sources of one list."""
        return self._origin_at(self.address)

    def _origin_at(self, address: str | None) -> str:
        addresses = sorted(self.sources) if self.sources else [address or "none"]
        return " ".join([*addresses, *self.services])

    @property
    def is_watching(self) -> bool:
        """Whether a watch at the current address is open and has sent a list."""
        return self.watch is not None and self.watch.has_list

    def start_from(self, version: int) -> None:
        """Continue from this version: the list in use is the one of the configuration."""
        self.version = version
        self.stamp = ListStamp(self.origin, version)

    def list_handed_over(self, stamp: ListStamp, own_list: ServerList) -> None:
        """Continue from the predecessor's list, which is in use now instead of this process's own one.

        An open call was made to continue the own list, so the changes that answer it are applied to that one.
        """
        for call in [*self.calls.values(), *self.superseded.values()]:
            if not call.has_list:
                call.base = own_list
        if stamp.origin == UNKNOWN_ORIGIN:
            stamp = stamp._replace(origin=self.stamp.origin)
        self.stamp = stamp
        self.version = stamp.version if stamp.origin == self.origin else NO_VERSION
        if stamp.origin == self.origin:
            # The current address has sent a list, through the predecessor.
            self._cancel_superseded()

    def require_snapshot(self) -> None:
        """Have the current address send a snapshot, unless it has sent one.

        The version that the calls continue turned out to be one of another origin, so the changes that answer
        them may leave out any server.
        """
        if self.has_snapshot:
            return
        self.version = NO_VERSION
        for call in self.calls.values():
            call.requires_snapshot = True
        if self.watch is not None and self.is_watching:
            del self.calls[self.watch.number]
            self.watch.cancel()
            self.watch = None
            self._start_call()

    def follow(self) -> None:
        """Watch the list from the current version, unless a watch or a call is open or scheduled."""
        if self.address is not None and not self.calls and self.next_call is None:
            self._start_call()

    def change_address(self, address: str | None) -> None:
        """Watch the list at another address; None: stop watching.

        Changes from the former address stay in force until the new one has sent a list. The versions of two
        addresses may be unrelated, so a snapshot is requested.
        """
        self.address = address
        self.version = NO_VERSION
        self.has_snapshot = False
        self.watch = None
        self.superseded |= self.calls
        self.calls = {}
        max_count = 0 if address is None else MAX_SUPERSEDED
        for number in list(self.superseded)[: max(0, len(self.superseded) - max_count)]:
            self.superseded.pop(number).cancel()
        self._schedule(None)
        loop = asyncio.get_running_loop()
        call_at = self.plan.address_changed(loop.time())
        if address is None:
            return
        if call_at <= loop.time():
            self._start_call()
        else:
            self._schedule(call_at)

    async def close(self) -> None:
        """Cancel all calls and wait for their end."""
        if self.next_call is not None:
            self.next_call.cancel()
        open_calls = [*self.calls.values(), *self.superseded.values()]
        for call in open_calls:
            call.cancel()
        await asyncio.gather(*(call.task for call in open_calls), return_exceptions=True)

    # Making calls.

    def _start_call(self) -> None:
        assert self.address is not None
        now = asyncio.get_running_loop().time()
        self.total_calls += 1
        url = list_url(self.address, self.services, self.version)
        answer_wait = ANSWER_TIMEOUT if self.sources else MAX_CALL_TIME
        timeouts = CallTimeouts(CONNECT_TIMEOUT, ANSWER_TIMEOUT, LIVENESS_TIMEOUT, answer_wait)
        call = ListCall(self.total_calls, self.address, url, self.version, timeouts, self)
        self.calls[call.number] = call
        self.plan.call_started(call.number, now)
        self._schedule(self.plan.extra_call_at())
        if self.superseded:
            asyncio.get_running_loop().call_later(SUPERSEDED_CALL_TIME, self._close_superseded)
        call.start()

    def _close_superseded(self) -> None:
        """Cancel unanswered calls at former addresses, which are only load on discovery.

        Watches there stay open until the new address has sent a list.
        """
        for number, call in list(self.superseded.items()):
            if not call.has_answer:
                self.superseded.pop(number).cancel()

    def _schedule(self, at: float | None) -> None:
        """Schedule the next call at this time of the loop's clock, instead of the one scheduled before."""
        if self.next_call is not None:
            self.next_call.cancel()
            self.next_call = None
        if at is not None and not self.sources:
            self.next_call = asyncio.get_running_loop().call_at(at, self._start_extra_call)

    def _others_out(self, call: ListCall) -> int:
        """Return how many calls and watches are open besides this one."""
        return len(self.calls) + len(self.superseded) - (call.number in self.calls)

    def _start_extra_call(self) -> None:
        """Make the scheduled call; if too many calls are in flight, cancel the one that hangs longest."""
        self.next_call = None
        hung_call = self.plan.make_room(asyncio.get_running_loop().time())
        if hung_call is not None:
            call = self.calls.pop(hung_call)
            self.call_log.failed(call, "it hung", self._others_out(call))
            call.cancel()
        self._start_call()

    # Notifications from calls.

    def list_received(self, call: ListCall, update: ServerList, is_older: bool) -> None:
        """Handle a snapshot or delta, from the current address or from a former one."""
        version = NO_VERSION if is_older else update.version
        if call.number in self.calls:
            self.version = version
            self.has_snapshot = self.has_snapshot or update.is_snapshot
            self.answer_received(call)
            self.call_log.answered(call, update, self._others_out(call))
        elif call.number not in self.superseded:
            return
        call.has_list = True
        if call.base is not None:
            update = call.base.updated_by(update)
            call.base = None
        now_us = int(asyncio.get_running_loop().time() * 1e6)
        self.stamp = ListStamp(self._origin_at(call.address), version, now_us)
        self.on_list(update)

    def answer_received(self, call: ListCall) -> None:
        """Handle the first answer at the current address: make the call the watch, and cancel all others."""
        if self.watch is not None or call.number not in self.calls:
            return
        self.watch = call
        self.plan.call_answered(call.number, asyncio.get_running_loop().time())
        self._schedule(None)
        del self.calls[call.number]
        for other in self.calls.values():
            other.cancel()
        self.calls = {call.number: call}
        self._cancel_superseded()

    def _cancel_superseded(self) -> None:
        for call in self.superseded.values():
            call.cancel()
        self.superseded = {}

    def invalid_received(self, call: ListCall) -> None:
        """Request a snapshot next, since changes may have been missed; the current list stays in use.

        With several sources, only the changes are requested: another source's snapshot may be older.
        """
        if not self.sources and call.number in self.calls:
            self.version = NO_VERSION

    def call_ended(self, call: ListCall, end: CallEnd) -> None:
        """Handle the end of a call or watch that this node didn't cancel."""
        if self.superseded.pop(call.number, None) is not None:
            self.call_log.ended("superseded call over", call, end.reason, self._others_out(call))
            return
        if call.number not in self.calls:
            # The call ended just as it was cancelled.
            return
        del self.calls[call.number]
        if self.watch is call:
            self.call_log.ended("watch over", call, end.reason, self._others_out(call))
        else:
            self.call_log.failed(call, end.reason, self._others_out(call))
        now = asyncio.get_running_loop().time()
        if self.watch is call:
            self.watch = None
            next_at = self.plan.watch_ended(call.started_at, now, end.liveness_expired)
        else:
            next_at = self.plan.call_failed(call.number, now, end.refused)
        if self.sources:
            self._switch_source(call, end)
        elif next_at is None:
            self._schedule(None)
            self.on_failure()
        else:
            self._schedule(next_at)

    def _switch_source(self, call: ListCall, end: CallEnd) -> None:
        """Continue at the next source after a random delay, since all followers of the source do the same.

        A failure is reported once all sources have failed in turn.
        """
        assert self.address is not None
        has_list = call.version != call.requested_version
        self.failed_sources = 0 if end.liveness_expired or has_list else self.failed_sources + 1
        random_fraction = crc32(f"{self.seed} {self.address} {self.version}".encode()) / 2**32
        self.address = self.sources[(self.sources.index(self.address) + 1) % len(self.sources)]
        if self.failed_sources < len(self.sources):
            wait = MAX_SOURCE_SWITCH_DELAY * random_fraction
            asyncio.get_running_loop().call_later(wait, self.follow)
        else:
            self.failed_sources = 0
            self.on_failure()
