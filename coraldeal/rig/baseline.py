"""The node program with a baseline policy, as a comparison, or with a planted fault, as a test of the rig.

`python -m coraldeal.rig.baseline POLICY --config FILE` runs a node whose decisions are those of a class
below. Baselines keep only the rules that every policy must keep: nothing is executed twice, drains are
respected, each inquiry has one answer. A planted fault breaks one rule on purpose: a rig that does not detect
it proves nothing.
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

# Microseconds kept of the time left, so that the final answer arrives before the deadline.
MARGIN_US = 10_000


class _InquiryState:
    """The state of one inquiry."""

    __slots__ = ("attempts", "deadline", "name", "open_at", "ran_on", "request_class")

    def __init__(self, name: InquiryId, request_class: RequestClass, deadline: int) -> None:
        self.name = name
        self.request_class = request_class
        # The time by which the inquiry must be answered, in microseconds of the host's clock.
        self.deadline = deadline
        self.attempts = 0
        # The server of the open attempt.
        self.open_at: ServerId | None = None
        # The server where an attempt may have run.
        self.ran_on: Entry | None = None


class RandomBalancer:
    """The simplest policy, which chooses servers at random.

    It accepts every inquiry, sends it at once, and retries what may run again as often as the settings allow.
    Its public methods are those that the node calls on its balancer.
    """

    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        self.host = host
        self.settings = settings
        self.seed = seed
        self.draws = 0
        self.request_classes = {spec.name: spec for spec in settings.request_classes}
        self.is_first_layer = settings.layer == 0
        self.servers: dict[ServerId, Entry] = {}
        self.names: list[ServerId] = []
        # Open attempts of each server.
        self.load: dict[ServerId, int] = {}
        self.inquiries: dict[InquiryId, _InquiryState] = {}
        self.turn = 0
        if settings.list_is_pulled:
            host.wake("list", 1000)

    def draw(self) -> float:
        """Return the next random number from 0 to 1; the sequence depends on the seed alone."""
        self.draws += 1
        return crc32(f"{self.seed} {self.draws}".encode()) / 2**32

    def choose(self, names: list[ServerId]) -> ServerId:
        """Return one of the servers that may take the attempt."""
        return names[int(self.draw() * len(names))]

    def inquiry_arrived(
        self, name: InquiryId, request_class: str, tenant: str | None, time_left_us: int, repeat: bool
    ) -> None:
        """Start the first attempt of an inquiry whose deadline is `time_left_us` microseconds away."""
        inquiry = self.inquiries[name] = _InquiryState(
            name, self.request_classes[request_class], self.host.now + time_left_us - MARGIN_US
        )
        self.attempt(inquiry)

    def attempt(self, inquiry: _InquiryState) -> None:
        """Send the next attempt, or the final answer if no attempt is possible."""
        time_left = inquiry.deadline - self.host.now
        names = self.names
        ran_on = inquiry.ran_on
        if ran_on is not None and inquiry.request_class.effect is Effect.IDEMPOTENT_BY_KEY:
            names = [name for name in names if self.servers[name].cell == ran_on.cell]
        if time_left <= 0 or not names or inquiry.attempts >= self.settings.max_attempts:
            self.answer(inquiry)
            return
        server = inquiry.open_at = self.choose(names)
        inquiry.attempts += 1
        self.load[server] += 1
        self.host.send(inquiry.name, server, time_left)

    def answer(self, inquiry: _InquiryState) -> None:
        """Reject the inquiry if its caller may safely retry it, otherwise fail it."""
        del self.inquiries[inquiry.name]
        may_retry = inquiry.ran_on is None or inquiry.request_class.effect is Effect.IDEMPOTENT
        if self.is_first_layer and may_retry:
            self.host.reject(inquiry.name, 0)
        else:
            self.host.fail(inquiry.name)

    def attempt_ended(
        self,
        name: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        is_final: bool,
        report: dict[str, float] | None,
    ) -> None:
        """Continue an inquiry whose attempt ended; `is_final`: the inquiry already has its final answer."""
        inquiry = self.inquiries.get(name)
        if inquiry is None or inquiry.open_at is None:
            return
        server, inquiry.open_at = inquiry.open_at, None
        if server in self.load:
            self.load[server] -= 1
        if is_final:
            del self.inquiries[name]
            return
        if not outcome.proved_not_run and inquiry.ran_on is None:
            inquiry.ran_on = self.servers.get(server) or Entry(server, "", -1, Condition.GONE, 0)
        if inquiry.ran_on is not None and inquiry.request_class.effect is Effect.NOT_IDEMPOTENT:
            self.answer(inquiry)
        else:
            self.attempt(inquiry)

    def may_start_attempt(self, name: InquiryId) -> bool:
        """Allow every attempt that was sent to begin."""
        return True

    def may_send(self, server: ServerId) -> bool:
        """Return whether the server is in the list."""
        return server in self.servers

    def client_disconnected(self, name: InquiryId) -> None:
        """Forget the inquiry, and cancel its open attempt if the settings allow it."""
        inquiry = self.inquiries.pop(name, None)
        if inquiry is not None and inquiry.open_at is not None:
            if inquiry.open_at in self.load:
                self.load[inquiry.open_at] -= 1
            if self.settings.may_cancel:
                self.host.cancel(name, inquiry.attempts - 1)

    def alarm(self, token: str) -> None:
        """Ask for the list again when its timer expires."""
        if token == "list":
            self.host.follow_list()

    def peer_message_received(self, peer: int, message: PeerMessage) -> None:
        """Ignore the message: baselines neither send nor use messages between nodes."""

    def list_failed(self) -> None:
        """Ask for the list again after 0.5 s."""
        self.host.wake("list", 500_000)

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        """Replace or change the servers in use; only those in the condition Ready are used."""
        servers = dict(self.servers) if kind is ListKind.CHANGES else {}
        for entry in entries:
            if entry.condition is Condition.READY:
                servers[entry.server] = entry
            else:
                servers.pop(entry.server, None)
        self.servers = servers
        self.names = list(servers)
        for name in servers:
            self.load.setdefault(name, 0)


class RoundRobin(RandomBalancer):
    """Chooses the servers in turn, from a random first one."""

    def choose(self, names: list[ServerId]) -> ServerId:
        """Return the next of the servers in turn."""
        if not self.turn:
            self.turn = int(self.draw() * 1000)
        self.turn += 1
        return names[self.turn % len(names)]


class LeastRequests(RandomBalancer):
    """Chooses, of two random servers, the one with fewer open attempts, as many proxies do."""

    def choose(self, names: list[ServerId]) -> ServerId:
        """Return the one of two randomly drawn servers that has fewer open attempts."""
        first, second = super().choose(names), super().choose(names)
        return first if self.load[first] <= self.load[second] else second


class SendsTwice(RandomBalancer):
    """Planted fault: retries a request that must not run twice, after an error."""

    def attempt_ended(
        self,
        name: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        is_final: bool,
        report: dict[str, float] | None,
    ) -> None:
        """Treat every outcome but SERVED as CONNECT_FAILED, and continue the inquiry."""
        # After CONNECT_FAILED every request may be retried, since the server never received it.
        reported = outcome if outcome is Outcome.SERVED else Outcome.CONNECT_FAILED
        super().attempt_ended(name, number, reported, latency_us, is_final, report)


class LosesOne(RandomBalancer):
    """Planted fault: forgets one inquiry in twenty, and the node's own time-out does not answer it either."""

    def attempt(self, inquiry: _InquiryState) -> None:
        """Forget one inquiry in twenty before its first attempt; otherwise send the next attempt."""
        if inquiry.attempts == 0 and self.draw() < 0.05:
            del self.inquiries[inquiry.name]
            return
        super().attempt(inquiry)


class SendsAfterDrain(RandomBalancer):
    """Planted fault: ignores the drains in the list."""

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        """Add the ready servers of the list or update, and remove none."""
        ready = [entry for entry in entries if entry.condition is Condition.READY]
        super().servers_listed(ListKind.CHANGES, ready)


class FloodsCold(RandomBalancer):
    """Planted fault: sends everything to the server that has started last."""

    def choose(self, names: list[ServerId]) -> ServerId:
        """Return the server with the latest start time."""
        return max(names, key=lambda name: (self.servers[name].started_at_us, name))


POLICIES: dict[str, type[RandomBalancer]] = {
    "random": RandomBalancer,
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "fault_sends_twice": SendsTwice,
    "fault_loses_one": LosesOne,
    "fault_sends_after_drain": SendsAfterDrain,
    "fault_floods_cold": FloodsCold,
}


def main() -> int:
    """Run a node with the policy named on the command line; returns the exit status."""
    if len(sys.argv) < 2 or sys.argv[1] not in POLICIES:
        print(
            f"coraldeal.rig.baseline: the first argument must be a policy: {', '.join(POLICIES)}",
            file=sys.stderr,
        )
        return 2
    policy = POLICIES[sys.argv[1]]
    # The node program is unchanged; only the class that decides is replaced.
    vars(node_module)["Balancer"] = policy
    if policy is LosesOne:
        from coraldeal.net import inquiry

        # The node's own time-out would answer 504, so this fault also removes it.
        vars(inquiry)["asyncio"] = _AsyncioWithoutTimeouts()
    return command.main(["serve", *sys.argv[2:]])


class _AsyncioWithoutTimeouts:
    """The asyncio module, with a `timeout` that never expires."""

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    def timeout(self, _: float) -> _NoTimeout:
        return _NoTimeout()


class _NoTimeout:
    """A time-out that never expires."""

    async def __aenter__(self) -> None:
        return None

    async def __aexit__(self, *_: object) -> None:
        return None


if __name__ == "__main__":
    sys.exit(main())
