"""The same node program with plain decisions, to compare with, or with a planted fault, to be caught.

`python -m coraldeal.rig.baseline POLICY --config FILE` runs a node whose module is one of these. Baselines
are not the design and keep only the rules that every policy must: no effect twice, drains kept, one answer. A
planted fault breaks one rule on purpose: a rig that does not catch it proves nothing.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any
from zlib import crc32

from coraldeal import __main__ as command
from coraldeal.interface import (
    Condition,
    Effect,
    Entry,
    Host,
    InquiryId,
    ListKind,
    Outcome,
    PeerMessage,
    RequestClass,
    ServerId,
    Settings,
)
from coraldeal.net import node as node_module

MARGIN = 10_000


class _Asked:
    """One inquiry."""

    __slots__ = ("attempts", "end", "name", "out", "ran_on", "track")

    def __init__(self, name: InquiryId, track: RequestClass, end: int) -> None:
        self.name = name
        self.track = track
        self.end = end
        self.attempts = 0
        self.out: ServerId | None = None
        # The server where an attempt may have run.
        self.ran_on: Entry | None = None


class Plain:
    """All inquiries are let in and sent at once; what may run again goes again, as often as allowed."""

    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        self.host = host
        self.settings = settings
        self.seed = seed
        self.draws = 0
        self.tracks = {track.name: track for track in settings.request_classes}
        self.front = settings.layer == 0
        self.servers: dict[ServerId, Entry] = {}
        self.names: list[ServerId] = []
        self.load: dict[ServerId, int] = {}
        self.asked: dict[InquiryId, _Asked] = {}
        self.turn = 0
        if settings.list_is_pulled:
            host.wake("list", 1000)

    def chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.seed} {self.draws}".encode()) / 2**32

    def choose(self, names: list[ServerId]) -> ServerId:
        """One of those that may take the attempt."""
        return names[int(self.chance() * len(names))]

    def inquiry_arrived(
        self, name: InquiryId, track: str, tenant: str | None, left_us: int, repeat: bool
    ) -> None:
        asked = self.asked[name] = _Asked(name, self.tracks[track], self.host.now + left_us - MARGIN)
        self.go(asked)

    def go(self, asked: _Asked) -> None:
        """An attempt, or the final answer."""
        left = asked.end - self.host.now
        names = self.names
        first = asked.ran_on
        if first is not None and asked.track.effect is Effect.IDEMPOTENT_BY_KEY:
            names = [name for name in names if self.servers[name].cell == first.cell]
        if left <= 0 or not names or asked.attempts >= self.settings.max_attempts:
            self.conclude(asked)
            return
        server = asked.out = self.choose(names)
        asked.attempts += 1
        self.load[server] += 1
        self.host.send(asked.name, server, left)

    def conclude(self, asked: _Asked) -> None:
        del self.asked[asked.name]
        harmless = asked.ran_on is None or asked.track.effect is Effect.IDEMPOTENT
        if self.front and harmless:
            self.host.reject(asked.name, 0)
        else:
            self.host.fail(asked.name)

    def attempt_ended(
        self,
        name: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        over: bool,
        report: dict[str, float] | None,
    ) -> None:
        asked = self.asked.get(name)
        if asked is None or asked.out is None:
            return
        server, asked.out = asked.out, None
        if server in self.load:
            self.load[server] -= 1
        if over:
            del self.asked[name]
            return
        if not outcome.proved_not_run and asked.ran_on is None:
            asked.ran_on = self.servers.get(server) or Entry(server, "", -1, Condition.GONE, 0)
        if asked.ran_on is not None and asked.track.effect is Effect.NOT_IDEMPOTENT:
            self.conclude(asked)
        else:
            self.go(asked)

    def may_start_attempt(self, inquiry_id: InquiryId) -> bool:
        return True

    def may_send(self, server: ServerId) -> bool:
        return server in self.servers

    def client_disconnected(self, name: InquiryId) -> None:
        asked = self.asked.pop(name, None)
        if asked is not None and asked.out is not None:
            if asked.out in self.load:
                self.load[asked.out] -= 1
            if self.settings.may_cancel:
                self.host.cancel(name, asked.attempts - 1)

    def alarm(self, token: str) -> None:
        if token == "list":
            self.host.follow_list()

    def peer_message_received(self, peer: int, message: PeerMessage) -> None:
        """Baselines send no notes and heed none."""

    def list_failed(self) -> None:
        self.host.wake("list", 500_000)

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        told = dict(self.servers) if kind is ListKind.CHANGES else {}
        for entry in entries:
            if entry.condition is Condition.READY:
                told[entry.server] = entry
            else:
                told.pop(entry.server, None)
        self.servers = told
        self.names = list(told)
        for name in told:
            self.load.setdefault(name, 0)


class RoundRobin(Plain):
    """One after the other, from a place drawn by chance."""

    def choose(self, names: list[ServerId]) -> ServerId:
        if not self.turn:
            self.turn = int(self.chance() * 1000)
        self.turn += 1
        return names[self.turn % len(names)]


class LeastRequests(Plain):
    """Of two drawn by chance the one with fewer attempts out, as many proxies do."""

    def choose(self, names: list[ServerId]) -> ServerId:
        first, second = super().choose(names), super().choose(names)
        return first if self.load[first] <= self.load[second] else second


class SendsTwice(Plain):
    """Planted fault: what must not run twice goes again after an error."""

    def attempt_ended(
        self,
        name: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        over: bool,
        report: dict[str, float] | None,
    ) -> None:
        told = outcome if outcome is Outcome.SERVED else Outcome.CONNECT_FAILED
        super().attempt_ended(name, number, told, latency_us, over, report)


class LosesOne(Plain):
    """Planted fault: one in twenty inquiries is forgotten, and not even the node's own guard answers it."""

    def go(self, asked: _Asked) -> None:
        if asked.attempts == 0 and self.chance() < 0.05:
            del self.asked[asked.name]
            return
        super().go(asked)


class SendsAfterDrain(Plain):
    """Planted fault: what the list says of drains is not heard."""

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        kept = [entry for entry in entries if entry.condition is Condition.READY]
        super().servers_listed(ListKind.CHANGES, kept)


class FloodsCold(Plain):
    """Planted fault: all goes to the server that has started last."""

    def choose(self, names: list[ServerId]) -> ServerId:
        return max(names, key=lambda name: (self.servers[name].started_at_us, name))


POLICIES: dict[str, type[Plain]] = {
    "random": Plain,
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "fault_sends_twice": SendsTwice,
    "fault_loses_one": LosesOne,
    "fault_sends_after_drain": SendsAfterDrain,
    "fault_floods_cold": FloodsCold,
}


def main() -> int:
    if len(sys.argv) < 2 or sys.argv[1] not in POLICIES:
        print(f"coraldeal.rig.baseline: the policies are {', '.join(POLICIES)}", file=sys.stderr)
        return 2
    chosen = POLICIES[sys.argv[1]]
    # The node program is the product's own; only what decides is another.
    vars(node_module)["Balancer"] = chosen
    if chosen is LosesOne:
        from coraldeal.net import inquiry

        # The node's own guard would answer 504: it is taken away with the fault.
        vars(inquiry)["asyncio"] = _Unguarded()
    return command.main(["serve", *sys.argv[2:]])


class _Unguarded:
    """asyncio without its time-outs, for one module."""

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    def timeout(self, _: float) -> _NoGuard:
        return _NoGuard()


class _NoGuard:
    """A time-out that never comes."""

    async def __aenter__(self) -> None:
        return None

    async def __aexit__(self, *_: object) -> None:
        return None


if __name__ == "__main__":
    sys.exit(main())
