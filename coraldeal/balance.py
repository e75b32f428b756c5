"""All decisions of coraldeal: admission of inquiries, choice of servers, retries and final answers.

The protocol in front creates one `Balancer` per node and calls one method for each event (`inquiry_arrived`,
`attempt_ended`, `servers_listed`, ...). The balancer acts only by calling the `Host` that it was given. Both
interfaces are in coraldeal/interface.py; there is no other input or output.

The design (docs/design.md): inquiries of core classes, those worth more than the mean, are admitted without a
limit. Any other inquiry takes a token from a token bucket within a short wait or is dropped. An admitted
inquiry is queued until the next server in turn is below its learned concurrency limit.

Mechanisms beside the design, six at most:
1. outlier ejection: a server that fails at a concurrency limit of one, more often than the median of all
   servers, gets no attempts for a while; nor does one whose oldest attempt is overdue;
2. retry budget: a retry goes only to a server whose answers have earned it; timeouts of attempts follow the
   latencies of answers;
3. tenant shares: what a tenant sends beyond its share of the traffic at a node is worth less and comes last;
4. slow start: a server that has just started gets attempts at a limited rate;
5. subsets: with many nodes each node uses only a few servers, so that concurrency limits take effect; while
   the node is unloaded, servers of its own zone come first;
6. in-flight counts: where nodes may exchange messages, one node owns the count of each server's attempts from
   all nodes. Before an attempt the next few servers in turn are queried. The least loaded one below its
   global limit gets it, and a node that found no room is notified of the next free place.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import chain, islice
from zlib import crc32

from coraldeal.interface import (
    Condition,
    Effect,
    Entry,
    Group,
    Host,
    InquiryId,
    ListKind,
    Outcome,
    PeerMessage,
    PeerMessageKind,
    RequestClass,
    ServerId,
    Settings,
)

SECOND = 1_000_000
SWEEP_INTERVAL = SECOND // 4
# A latency ratio is a server's latency divided by the baseline of the class. Up to this one answers are in
# time, and a limit that was used up may rise.
IN_TIME_RATIO = 1.5
# Above this latency ratio answers are so late that the limit falls: twice what is in time.
FAR_LATE_RATIO = 2 * IN_TIME_RATIO
# A node is unloaded while its answers take up to this fraction of the latency target.
UNLOADED_TARGET_RATIO = 0.5
# A server slower than this multiple of the median latency ratio gives up some of its turns.
SLOW_SERVER_RATIO = 1.2
# A node's concurrency limits count as low up to this mean.
LOW_MEAN_LIMIT = 2.5
# From this failure rate on a server mostly fails, and even resets and malformed answers lower its limit.
MOSTLY_FAILING = 0.5
# The spread of the nodes' first list calls, in microseconds: a call that fails after 3 s leaves time for
# another within the 6 s by which nodes have to know a change.
FIRST_CALL_SPREAD = 3 * SECOND // 2
# The longest ejection, in microseconds.
MAX_EJECTION = 16 * SECOND
# The largest relative step of the token rate, and the factor on steps up while the node is unloaded.
MAX_RATE_STEP = 0.05
UNLOADED_STEP_FACTOR = 4
# This fraction of what is served is admitted, whatever fails.
SERVED_FRACTION = 0.8
# The fraction of the bucket that traffic beyond a tenant's share may not use.
RESERVED_FRACTION = 0.75
# How many nodes should have a server in their subsets.
NODES_PER_SERVER = 4
# What a tenant may save up of its share at one node, in inquiries; larger shares save up one second's worth.
MIN_SHARE_BURST = 4.0
# After this many answers a mean latency is meaningful.
ENOUGH_ANSWERS = 20
# The first baseline latency, as a fraction of the mean of the first answers.
FIRST_BASELINE_FRACTION = 0.6
# How many servers are queried before an attempt, and the smallest subset of a node that queries.
MAX_CANDIDATES, MIN_QUERIED_SUBSET = 3, 5
# The limit on the attempts of all nodes at a server: its start, its minimum, and the relative step per
# answer.
GLOBAL_LIMIT_START, MIN_GLOBAL_LIMIT, GLOBAL_LIMIT_STEP = 4.0, 2.0, 0.02
# How far a node's global limit moves towards one in a reply, and the fraction of it from which a server
# counts as fully loaded.
LIMIT_AGREEMENT, FULLY_LOADED = 0.1, 0.75
# The fraction of a server's global limit that is open to the least valuable inquiries, and how many nodes may
# wait for a free place at a server.
MIN_ROOM, MAX_WAITING_NODES = 0.5, 64
# The longest wait for replies to a query, in microseconds: a round trip between distant zones. A reply stays
# valid four times as long.
QUERY_TIMEOUT = 80_000


class RequestClassState:
    """A request class and what the node has learned about its latencies."""

    __slots__ = (
        "answers",
        "baseline_latency",
        "max_attempts",
        "mean_latency",
        "median_latency",
        "p90_latency",
        "request_class",
    )

    def __init__(self, request_class: RequestClass, max_attempts: int) -> None:
        # An inquiry keeps this object, so new settings don't change the rules under which it was admitted.
        self.request_class = request_class
        self.max_attempts = max_attempts
        # Latencies of attempts in microseconds, guessed from the target until answers arrive.
        self.median_latency = request_class.latency_target_us / 8
        self.mean_latency, self.answers = self.median_latency, 0
        self.p90_latency = request_class.latency_target_us / 3
        # The mean latency of unloaded servers.
        self.baseline_latency = request_class.latency_target_us / 6

    def with_rules(self, request_class: RequestClass, max_attempts: int) -> RequestClassState:
        """Return what was learned combined with new rules for the same class; itself if they are equal."""
        if request_class == self.request_class and max_attempts == self.max_attempts:
            return self
        other = RequestClassState(request_class, max_attempts)
        for name in ("answers", "baseline_latency", "mean_latency", "median_latency", "p90_latency"):
            setattr(other, name, getattr(self, name))
        return other

    def learn(self, latency: int, answered: bool) -> None:
        """Move the quantiles a step towards an attempt's latency; an attempt without an answer raises p90."""
        self.p90_latency *= 1.036 if latency > self.p90_latency else 0.996
        if answered:
            self.median_latency *= 1.02 if latency > self.median_latency else 0.98
            self.answers += 1
            self.mean_latency += max(0.01, 1 / (self.answers + 4)) * (latency - self.mean_latency)


@dataclass(slots=True, eq=False)
class Server:
    """What the node knows about a server, for as long as the server's process lives."""

    entry: Entry
    # The server's name in peer messages.
    tag: int
    concurrency_limit: int
    warm_at: int
    slow_start_tokens: float
    slow_start_refilled_at: int
    attempts: dict[tuple[InquiryId, int], Attempt] = field(default_factory=dict)
    limit_lowered_at: int = 0
    failure_rate: float = 0.0
    consecutive_ejections: int = 0
    # Recent latencies as a multiple of the class's baseline latency.
    latency_ratio: float = 1.0
    answers: int = 0
    # The fractions of turns that a slow server has been granted since its last attempt.
    turn_weight: float = 0.0
    ejected_until: int = 0
    # Retries that the server may still get.
    retry_budget: float = 1.0
    # The attempts of other nodes here, as the owner of the in-flight counts reported, and how long that
    # holds.
    peer_attempts: int = 0
    peer_attempts_valid_until: int = 0
    # The sort key in the node's order: its own zone first, then pseudo-random, so that nodes don't send to
    # the servers in step.
    sort_key: str = ""


@dataclass(slots=True, eq=False)
class InFlightCounts:
    """The attempts of all nodes at one server, kept by the node that owns the server's counts."""

    # By node: its attempts, and when it reported them.
    by_node: dict[int, tuple[int, int]] = field(default_factory=dict)
    # Nodes that found no room, in the order in which they are notified.
    waiting_nodes: list[int] = field(default_factory=list)
    # Mean latencies in microseconds of attempts sent while the server was nearly idle, and fully loaded.
    idle_latency: float = 0.0
    loaded_latency: float = 0.0

    def total(self, peer: int, oldest: int) -> int:
        """Sum the attempts of all nodes but `peer`, without reports before `oldest`: the node may be dead."""
        return sum(count for other, (count, at) in self.by_node.items() if other != peer and at >= oldest)


@dataclass(slots=True, eq=False)
class Inquiry:
    """An inquiry from its arrival to its final answer."""

    id: InquiryId
    class_state: RequestClassState
    # The servers that it may be sent to.
    subset: Subset
    worth: float
    # Until when an answer has its full worth, and until when it has any.
    full_worth_until: int
    worth_until: int
    # The time allowed once the whole body has arrived.
    allowed_time: int
    attempts: int = 0
    current_attempt: Attempt | None = None
    # The server of the first attempt that may have been executed, and when that attempt was sent.
    executed_on: Server | None = None
    executed_at: int = 0
    is_finished: bool = False
    # The servers queried for the next attempt, and how many replies are missing.
    candidates: list[Server] = field(default_factory=list)
    missing_replies: int = 0

    @property
    def needs_no_server(self) -> bool:
        """Whether it is finished, has an attempt in flight, or has queries in flight."""
        return self.is_finished or self.current_attempt is not None or bool(self.candidates)


@dataclass(slots=True, eq=False)
class Subset:
    """The servers of one placement, in the node's order. Classes with equal placement share a subset."""

    # All servers that the placement permits, by sort key.
    ranked: list[Server] = field(default_factory=list)
    # The servers chosen first, how many are used, those in use, and those in use that are in the node's zone.
    preferred: dict[Server, None] = field(default_factory=dict)
    size: int = 2
    servers: list[Server] = field(default_factory=list)
    local_servers: list[Server] = field(default_factory=list)
    next_turn: int = 0
    next_local_turn: int = 0
    median_failure_rate: float = 0.0
    median_latency_ratio: float = 1.0
    # Waiting inquiries by worth, then latest start. Each subset has a queue of its own, so that inquiries
    # without a server here don't delay those of other servers.
    queue: list[tuple[float, int, int, Inquiry]] = field(default_factory=list)


class Attempt:
    """An attempt at an inquiry, from its sending to its end."""

    __slots__ = (
        "in_flight_at_start",
        "inquiry",
        "number",
        "overdue_at",
        "sent_at",
        "server",
        "used_up_limit",
    )

    def __init__(self, inquiry: Inquiry, server: Server, now: int) -> None:
        self.inquiry = inquiry
        self.number = inquiry.attempts
        self.server = server
        self.sent_at = now
        self.overdue_at = now + int(2 * inquiry.class_state.p90_latency)
        self.used_up_limit = len(server.attempts) + 1 >= server.concurrency_limit
        # The attempts of all nodes at the server, including this one; 0: no recent reply.
        self.in_flight_at_start = (
            server.peer_attempts + len(server.attempts) + 1 if server.peer_attempts_valid_until >= now else 0
        )


class Balancer:
    """The decisions of one node."""

    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        self.host = host
        self.seed = seed
        self.draws = self.order = 0
        self.request_classes: dict[str, RequestClassState] = {}
        # By placement; the first is that of classes that may use any server.
        self.default_subset = Subset()
        self.subsets: dict[tuple[tuple[str, ...], tuple[str, ...]], Subset] = {((), ()): self.default_subset}
        self._apply_settings(settings)
        self.list_wait = self.min_list_wait
        self.list_is_failing = False
        self.next_list_call_at = 0
        self.share = 1.0
        # The server list, the servers in maintenance and since when, and the servers that may get attempts.
        self.listed: dict[ServerId, Entry] = {}
        self.in_maintenance: dict[ServerId, int] = {}
        self.servers: dict[ServerId, Server] = {}
        self.is_unloaded, self.queue_paused_until = True, 0
        self.mean_size, self.global_limit = 1.0, GLOBAL_LIMIT_START
        self.peers_reachable_until = host.now + SECOND
        self.inquiries: dict[InquiryId, Inquiry] = {}
        self.attempts: dict[tuple[InquiryId, int], Attempt] = {}
        self.in_flight_counts: dict[int, InFlightCounts] = {}
        self.servers_by_tag: dict[int, Server] = {}
        # Inquiries that wait for a reply about a server, by the server's tag.
        self.pending_queries: dict[int, list[Inquiry]] = {}
        self.latest_starts: list[tuple[int, int, Inquiry]] = []
        self.is_watching_queues = False
        self.tenant_tokens = {name: (1.0, host.now) for name in self.tenant_shares}
        # The token bucket: rates are in tokens per microsecond. It starts open, since a new node does not
        # know its arrival rate.
        self.started_at = self.refilled_at = host.now
        self.seen_count = self.metered_count = self.sent_count = self.served_count = 0
        # Rates of all arrivals, metered arrivals, attempts (recent), metered inquiries served, and attempts
        # (long-term).
        self.seen_rate = self.metered_rate = self.send_rate = self.served_rate = self.usual_send_rate = 0.0
        self.token_rate, self.rate_step, self.min_token_rate = 1000 / SECOND, 0.01, 1 / SECOND
        self.tokens = self.bucket_size = 100.0
        # Recent latencies of all servers, as a fraction of the latency target.
        self.target_ratio = 0.0
        host.wake("sweep", SWEEP_INTERVAL)
        if settings.list_is_pulled:
            self._schedule_list_call(
                int(self._random() * min(settings.pull_interval_us * 4 // 5, FIRST_CALL_SPREAD))
            )

    # Settings.

    def _apply_settings(self, settings: Settings) -> None:
        """Store the settings and the values derived from them."""
        self.settings = settings
        worths = [request_class.worth for request_class in settings.request_classes]
        self.core_worth = sum(worths) / max(1, len(worths))
        states, max_attempts = self.request_classes, settings.max_attempts
        self.request_classes = {
            rules.name: states[rules.name].with_rules(rules, max_attempts)
            if rules.name in states
            else RequestClassState(rules, max_attempts)
            for rules in settings.request_classes
        }
        for request_class in settings.request_classes:
            self.subsets.setdefault(request_class.placement, Subset())
        self.is_front = settings.layer == 0
        self.max_retry_after = settings.max_retry_after_us if settings.may_send_retry_after else 0
        self.margin = max(2 * settings.tick_us, 5_000)
        self.max_token_wait = max(2 * settings.tick_us, 10_000)
        self.has_peers = settings.peers > 1
        # The golden ratio spreads nodes evenly, however their numbers are distributed over the zones.
        self.ring_position = settings.self_index * 0.6180339887 % 1.0
        # Discovery gets a call from every node within seconds, so waits are randomized. A change has to be
        # known within 6 s: two waits, with a call between them that fails after 3 s, take less.
        self.max_list_wait = min(settings.pull_interval_us, SECOND) * 4 // 5
        self.min_list_wait = min(settings.pull_interval_us // 10, self.max_list_wait)
        total_quota = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.tenant_shares = {
            t.name: t.quota_per_s / total_quota for t in settings.tenants if total_quota > 0
        }
        self.longest_deadline = max((c.deadline_us for c in settings.request_classes), default=SECOND)
        self.shortest_target = min((c.latency_target_us for c in settings.request_classes), default=SECOND)
        self.query_timeout = min(QUERY_TIMEOUT, self.shortest_target // 6)
        self.max_worth = max(worths, default=1.0)

    def settings_changed(self, settings: Settings) -> None:
        """Apply new settings to further inquiries. What was learned about a class stays while it exists."""
        self._apply_settings(settings)
        full = (1.0, self.host.now)
        self.tenant_tokens = {name: self.tenant_tokens.get(name, full) for name in self.tenant_shares}
        self.update_servers()

    def set_share(self, share: float) -> None:
        """Set this process's fraction of the attempts that the node may send to cold servers."""
        for server in self.servers.values():
            server.slow_start_tokens *= min(1.0, share / self.share)
        self.share = share

    # An inquiry's path.

    def inquiry_arrived(
        self, inquiry_id: InquiryId, class_name: str, tenant: str | None, time_left_us: int, is_retry: bool
    ) -> None:
        """Handle a new inquiry: admit or drop it, then send or queue it."""
        now = self.host.now
        class_state = self.request_classes[class_name]
        # The worth of the class, reduced when the tenant is beyond its share.
        within = tenant is None or self._is_within_share(tenant, now)
        worth = class_state.request_class.worth * (1.0 if within else self.settings.beyond_share_worth)
        # The client has already used up part of a retry's time.
        time_to_target = class_state.request_class.latency_target_us
        if self.is_front and is_retry:
            time_to_target -= max(0, class_state.request_class.deadline_us - time_left_us)
        allowed_time = min(time_to_target, time_left_us) - self.margin
        worth_until = now + (
            time_left_us - self.margin if class_state.request_class.late_worth > 0 else allowed_time
        )
        subset = self.subsets[class_state.request_class.placement]
        inquiry = Inquiry(
            inquiry_id, class_state, subset, worth, now + allowed_time, worth_until, allowed_time
        )
        self.inquiries[inquiry_id] = inquiry
        self.seen_count += 1
        if inquiry.full_worth_until - now < class_state.median_latency / 2:
            self._finish(inquiry, self.max_retry_after)
            return
        # Inquiries of core classes are admitted; any other takes a token within a short wait or is dropped.
        if worth <= self.core_worth:
            self.metered_count += 1
            # An inquiry beyond its tenant's share is not queued behind others: it would mostly be rejected in
            # the end.
            wait = self._take_token(within, now) if within or not subset.queue else -1
            if wait < 0:
                self._finish(inquiry, int(class_state.median_latency * self._random()))
                return
            if wait > 0:
                self.host.wake(f"token {inquiry_id}", wait)
                return
        # Admitted: to the next server below its concurrency limit, or into the queue until there is one.
        self._dispatch(inquiry, now)

    def may_start_attempt(self, inquiry_id: InquiryId) -> bool:
        """Return whether the current attempt may still be written after its wait for a connection."""
        inquiry = self.inquiries.get(inquiry_id)
        if (
            inquiry is None
            or inquiry.executed_on is None
            or inquiry.class_state.request_class.effect is Effect.IDEMPOTENT
        ):
            return True
        return self._is_in_dedup_window(inquiry, self.host.now)

    def body_stream_started(self, inquiry_id: InquiryId) -> None:
        """Handle that a large body is forwarded as it arrives: time limits are off until its last byte.

        The attempt also leaves the server's in-flight count: the server has not started on it, and a slow
        client would block others.
        """
        inquiry = self.inquiries.get(inquiry_id)
        if inquiry is not None and inquiry.current_attempt is not None:
            inquiry.current_attempt.overdue_at = inquiry.full_worth_until = inquiry.worth_until = 1 << 62
            inquiry.current_attempt.server.attempts.pop((inquiry_id, inquiry.current_attempt.number), None)
            self._dispatch_queued(self.host.now)

    def body_stream_ended(self, inquiry_id: InquiryId) -> None:
        """Handle that the body's last byte was forwarded: the server starts, and time limits are on again."""
        inquiry, now = self.inquiries.get(inquiry_id), self.host.now
        if inquiry is not None and inquiry.current_attempt is not None:
            inquiry.full_worth_until = inquiry.worth_until = now + inquiry.allowed_time
            inquiry.current_attempt.sent_at, inquiry.current_attempt.overdue_at = (
                now,
                now + int(2 * inquiry.class_state.p90_latency),
            )
            inquiry.current_attempt.server.attempts[inquiry_id, inquiry.current_attempt.number] = (
                inquiry.current_attempt
            )

    def body_not_replayable(self, inquiry_id: InquiryId) -> None:
        """Handle that part of the body was forwarded and not kept: no further attempt can carry it."""
        inquiry = self.inquiries.get(inquiry_id)
        if inquiry is not None:
            inquiry.attempts = inquiry.class_state.max_attempts

    def attempt_ended(
        self,
        inquiry_id: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        is_final: bool,
        report: dict[str, float] | None,
    ) -> None:
        """Handle an attempt's outcome: update the server, then retry or finish the inquiry.

        With `is_final` the inquiry already has its answer.
        """
        now = self.host.now
        attempt = self.attempts.pop((inquiry_id, number), None)
        if attempt is None:
            return
        attempt.server.attempts.pop((inquiry_id, number), None)
        if self.has_peers:
            in_flight_at_start = attempt.in_flight_at_start if outcome is Outcome.SERVED else 0
            self._notify_owner(PeerMessageKind.ENDED, attempt.server, in_flight_at_start, latency_us)
        self._record_outcome(attempt, outcome, latency_us, now)
        inquiry = attempt.inquiry
        inquiry.current_attempt = None
        if is_final and not inquiry.is_finished:
            self._remove(inquiry)
        elif not inquiry.is_finished:
            if not outcome.proved_not_run and inquiry.executed_on is None:
                inquiry.executed_on, inquiry.executed_at = attempt.server, attempt.sent_at
            if self._may_retry(inquiry, now):
                self._dispatch(inquiry, now)
            else:
                self._finish(inquiry, int(inquiry.class_state.median_latency))
        self._dispatch_queued(now)

    def client_disconnected(self, inquiry_id: InquiryId) -> None:
        """Handle that the client is gone: no answer is sent, and the attempt in flight is cancelled."""
        inquiry = self.inquiries.get(inquiry_id)
        if inquiry is None:
            return
        self._remove(inquiry)
        if inquiry.current_attempt is not None and self.settings.may_cancel:
            self.host.cancel(inquiry_id, inquiry.current_attempt.number)

    def alarm(self, token: str) -> None:
        """Handle a wake-up that was scheduled with `Host.wake`."""
        now = self.host.now
        if token == "sweep":
            self._sweep(now)
        elif token == "held":
            self._watch_queues(now)
        elif token == "list" and now + self.margin >= self.next_list_call_at:
            self.host.follow_list()
        elif token.startswith("choose "):
            inquiry = self.inquiries.get(int(token[7:]))
            if inquiry is not None and inquiry.candidates:
                self._choose_candidate(inquiry, now)
        elif token.startswith("token "):
            inquiry = self.inquiries.get(int(token[6:]))
            if inquiry is not None:
                self._dispatch(inquiry, now)

    # In-flight counts and peer messages.

    def peer_message_received(self, peer: int, message: PeerMessage) -> None:
        """Handle a query for a server's in-flight count, a reply, or a report of another node's attempts."""
        now = self.host.now
        server = self.servers_by_tag.get(message.tag)
        if server is None:
            return
        if message.kind is PeerMessageKind.ANSWER:
            # Nodes agree on the global limit: each owner learns a little of it, and all move towards each
            # other.
            self.global_limit += LIMIT_AGREEMENT * (message.global_limit - self.global_limit)
            if peer != self.settings.peer_index:
                self.peers_reachable_until = now + self.longest_deadline
            server.peer_attempts, server.peer_attempts_valid_until = (
                message.attempts,
                now + 4 * self.query_timeout,
            )
            for inquiry in self.pending_queries.pop(message.tag, ()):
                inquiry.missing_replies -= 1
                if inquiry.missing_replies == 0 and inquiry.candidates:
                    self._choose_candidate(inquiry, now)
            self._offer_place(server, now)
            return
        counts = self.in_flight_counts.setdefault(message.tag, InFlightCounts())
        counts.by_node[peer] = message.attempts, now
        if message.kind is PeerMessageKind.ASK:
            total = self._reply(message.tag, peer, now)
            if (
                total + message.attempts + 1 > self._global_limit_of(server) * MIN_ROOM
                and len(counts.waiting_nodes) < MAX_WAITING_NODES
            ):
                counts.waiting_nodes.append(peer)
            return
        if message.kind is PeerMessageKind.ENDED:
            self._learn_global_limit(counts, server, message.in_flight_at_start, message.latency_us)
        if counts.waiting_nodes:
            # A waiting node is notified at each change of the count: notified at ends alone, nodes found
            # fewer free places.
            self._reply(message.tag, counts.waiting_nodes.pop(0), now)

    def _reply(self, tag: int, peer: int, now: int) -> int:
        """Send a node the in-flight count of a server without its own attempts, and return the count."""
        total = self.in_flight_counts[tag].total(peer, now - self.longest_deadline)
        self._send_message(
            peer, PeerMessage(PeerMessageKind.ANSWER, tag, total, global_limit=self.global_limit)
        )
        return total

    def _send_message(self, peer: int, message: PeerMessage) -> None:
        """Send a message to a node, or handle it at once where the node is this one."""
        deliver = self.peer_message_received if peer == self.settings.peer_index else self.host.send_to_peer
        deliver(peer, message)

    def _notify_owner(
        self, kind: PeerMessageKind, server: Server, in_flight_at_start: int = 0, latency_us: int = 0
    ) -> None:
        """Send a message about a server to the node that owns its in-flight counts."""
        message = PeerMessage(kind, server.tag, len(server.attempts), in_flight_at_start, latency_us)
        self._send_message(server.tag % self.settings.peers, message)

    def _learn_global_limit(
        self, counts: InFlightCounts, server: Server, in_flight_at_start: int, latency: int
    ) -> None:
        """Move the global limit a step by the latency of an attempt at a fully loaded server.

        It rises while fully loaded servers answer little later than idle ones and within half of the shortest
        latency target. The second condition is needed where no server is ever idle: the idle latency is wrong
        there, and by the first alone the limit grew without bound.
        """
        if 0 < in_flight_at_start <= MIN_GLOBAL_LIMIT:
            counts.idle_latency += (0.1 if counts.idle_latency else 1.0) * (latency - counts.idle_latency)
        elif in_flight_at_start >= self._global_limit_of(server) * FULLY_LOADED:
            counts.loaded_latency += (0.1 if counts.loaded_latency else 1.0) * (
                latency - counts.loaded_latency
            )
            in_time = counts.loaded_latency < min(
                IN_TIME_RATIO * counts.idle_latency, UNLOADED_TARGET_RATIO * self.shortest_target
            )
            self.global_limit = max(
                MIN_GLOBAL_LIMIT,
                self.global_limit * (1 + GLOBAL_LIMIT_STEP if in_time else 1 - GLOBAL_LIMIT_STEP),
            )

    def _global_limit_of(self, server: Server) -> float:
        """Return how many attempts of all nodes a server takes, by its size."""
        return self.global_limit * server.entry.size / self.mean_size

    def _has_room(self, inquiry: Inquiry, server: Server, now: int) -> bool:
        """Return whether a server is below its global limit; inquiries of less worth leave some room.

        Where no node has replied for long, messages do not get through, and only the node's own concurrency
        limits apply.
        """
        room = min(1.0, MIN_ROOM + 2 * (1 - MIN_ROOM) * inquiry.worth / self.max_worth)
        return (
            self._total_attempts(server, now) + 1 <= self._global_limit_of(server) * room
            or self.peers_reachable_until < now
        )

    def _total_attempts(self, server: Server, now: int) -> float:
        """Return the attempts of all nodes at a server; half its limit is assumed without a recent reply."""
        return len(server.attempts) + (
            server.peer_attempts
            if server.peer_attempts_valid_until >= now
            else self._global_limit_of(server) / 2
        )

    def _query_or_send(self, inquiry: Inquiry, server: Server, now: int) -> None:
        """Send the inquiry; with peer messages, first query the load of the next few servers in turn."""
        if not self.has_peers:
            self._send(inquiry, server, now)
            return
        candidates = [server]
        while len(candidates) < MAX_CANDIDATES:
            other = self._next_server(inquiry, now)
            if other is None or other in candidates:
                break
            candidates.append(other)
        inquiry.candidates, inquiry.missing_replies = candidates, len(candidates)
        self.host.wake(f"choose {inquiry.id}", self.query_timeout)
        for candidate in candidates:
            # An owner that is gone never replies: inquiries that no longer wait for it are removed here.
            waiting = [other for other in self.pending_queries.get(candidate.tag, ()) if other.candidates]
            self.pending_queries[candidate.tag] = [*waiting, inquiry]
            self._notify_owner(PeerMessageKind.ASK, candidate)

    def _choose_candidate(self, inquiry: Inquiry, now: int) -> None:
        """Send the inquiry to the least loaded of the queried servers, or queue it if none has room."""
        candidates, inquiry.candidates = inquiry.candidates, []
        if inquiry.needs_no_server:
            return
        # The server list may have changed during the query.
        permitted = inquiry.subset.ranked
        ready = [s for s in candidates if s in permitted and len(s.attempts) < s.concurrency_limit]
        ready = [server for server in ready if self._has_room(inquiry, server, now)]
        if ready:
            least_loaded = min(
                ready, key=lambda server: (self._total_attempts(server, now) + 1) / server.entry.size
            )
            self._send(inquiry, least_loaded, now)
        else:
            # The owners notify the node of a free place; in case that message is lost, the queue is tried
            # again after a while.
            self.queue_paused_until = now + 3 * self.query_timeout
            self._enqueue(inquiry, now)

    def _offer_place(self, server: Server, now: int) -> None:
        """Send the first queued inquiry that may use this server to it, if the server has room."""
        for subset in self._subsets_by_worth():
            queue = subset.queue
            while queue and queue[0][3].needs_no_server:
                heappop(queue)
            if not queue or server not in subset.ranked:
                continue
            inquiry = queue[0][3]
            if self._find_ready([server], 0, inquiry, now) == 0 and self._has_room(inquiry, server, now):
                heappop(queue)
                self._send(inquiry, server, now)
                return

    # The server list.

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        """Apply a server list or its changes. A server that drains or is gone gets no more attempts."""
        if kind is not ListKind.REMEMBERED:
            self.list_wait = self.min_list_wait
            self.list_is_failing = False
        if kind is not ListKind.CHANGES:
            self.listed = {}
        for entry in entries:
            self.listed[entry.server] = entry
            if entry.condition is Condition.GONE:
                del self.listed[entry.server]
        self.update_servers([entry.server for entry in entries] if kind is ListKind.CHANGES else None)

    def start_maintenance(self, server: ServerId, force: bool = False) -> bool:
        """Stop sending to a server until `end_maintenance`, whatever the list says.

        Returns False for a server that is not listed, unless `force` is set.
        """
        if force or server in self.listed:
            self.in_maintenance.setdefault(server, self.host.now)
            self.update_servers([server])
        return server in self.in_maintenance

    def end_maintenance(self, server: ServerId) -> bool:
        """Send to a server again as the list says, as if it had just started. Returns False if unknown."""
        since, entry = self.in_maintenance.pop(server, None), self.listed.get(server)
        if since is not None and entry is not None:
            if entry.started_at_us < since:
                self.listed[server] = replace(entry, started_at_us=self.host.now)
            self.update_servers([server])
        return since is not None or entry is not None

    def may_send(self, server: ServerId) -> bool:
        """Return whether an attempt chosen earlier may still start: the server may have left since."""
        return server in self.servers

    def update_servers(self, changed: list[ServerId] | None = None) -> None:
        """Update the servers that may get attempts: those that are listed as ready and not in maintenance.

        With `changed` only these servers are updated; otherwise all of them.
        """
        now, ranked = self.host.now, self.default_subset.ranked
        limits = [server.concurrency_limit for server in self.default_subset.servers]
        mean_limit = round(sum(limits) / len(limits)) if limits else 2
        names = dict.fromkeys([*self.servers, *self.listed] if changed is None else changed)
        previous = {name: self.servers.pop(name) for name in names if name in self.servers}
        for server in previous.values() if changed else ():
            del ranked[bisect_left(ranked, server.sort_key, key=lambda s: s.sort_key)]
        for name in names if len(names) == 1 else [name for name in self.listed if name in names]:
            entry, server_state = self.listed.get(name), previous.get(name)
            if entry is None or entry.condition is not Condition.READY or name in self.in_maintenance:
                continue
            if server_state is None or server_state.entry.started_at_us < entry.started_at_us:
                # A restarted server counts as new and cold. It starts with a random part of a token, half of
                # one on average: a whole attempt of every node at once is too much for it.
                warm_at = entry.started_at_us + self.settings.warm_up_us if entry.started_at_us else 0
                server_state = Server(entry, entry.tag, mean_limit, warm_at, self._random(), now)
                server_state.sort_key = f"0{crc32(f'{self.seed} {name}'.encode()):08x}{name}"
            server_state.sort_key = f"{entry.zone != self.settings.zone:d}{server_state.sort_key[1:]}"
            server_state.entry, self.servers[name] = entry, server_state
            if changed:
                insort(ranked, server_state, key=lambda s: s.sort_key)
        ranked = sorted(self.servers.values(), key=lambda s: s.sort_key) if changed is None else ranked
        ready = [self.servers[n] for n in self.listed if n in self.servers] if self.has_peers else []
        self.mean_size = sum(server.entry.size for server in ready) / len(ready) if ready else self.mean_size
        self.servers_by_tag = {server.tag: server for server in ready}
        self.in_flight_counts = {
            tag: counts for tag, counts in self.in_flight_counts.items() if tag in self.servers_by_tag
        }
        self.pending_queries = {
            tag: waiting for tag, waiting in self.pending_queries.items() if tag in self.servers_by_tag
        }
        for (zones, kinds), subset in self.subsets.items():
            permitted = [s for s in ranked if s.entry.zone in zones] if zones else ranked
            permitted = subset.ranked = (
                [s for s in permitted if s.entry.kind in kinds] if kinds else permitted
            )
            size = -(-NODES_PER_SERVER * len(permitted) // self.settings.instances)
            size = subset.size = max(MIN_QUERIED_SUBSET if self.has_peers else 2, size)
            # With many nodes each node prefers a few servers, NODES_PER_SERVER nodes to a server. They follow
            # from the node's number, since a random choice would be uneven. Replacements of ejected servers
            # are pseudo-random, so that the nodes of a bad server move to different ones.
            local = (
                (bisect_left(permitted, "1", key=lambda s: s.sort_key) or len(permitted))
                if size < len(permitted)
                else 0
            )
            ring = sorted(permitted[:local], key=lambda s: crc32(s.entry.server.encode()))
            at = int(self.ring_position * len(ring))
            subset.preferred = dict.fromkeys((ring[at:] + ring[:at])[:size])
        self._update_subsets(now)
        self._dispatch_queued(now)

    def _update_subsets(self, now: int) -> None:
        """Choose the servers in use: all in the node's order, or with many nodes the first not ejected."""
        for subset in self.subsets.values():
            preferred, ranked, size = subset.preferred, subset.ranked, subset.size
            order = chain(preferred, (s for s in ranked if s not in preferred)) if preferred else ranked
            usable = (s for s in order if s.ejected_until <= now) if preferred else ranked
            subset.servers = list(islice(usable, size)) or list(dict.fromkeys([*preferred, *ranked]))[:size]
            subset.local_servers = [s for s in subset.servers if s.entry.zone == self.settings.zone]

    def list_failed(self) -> None:
        """Handle a failed list call: call again after a growing, randomized wait."""
        if not self.list_is_failing:
            # Only the first failure of a series is logged, or the lines would hide others.
            self.host.log(f"list of servers failed; asking again in about {self.list_wait // 1000} ms")
        self.list_is_failing = True
        self._schedule_list_call(int(self.list_wait * (0.5 + self._random())))
        self.list_wait = min(2 * self.list_wait, self.max_list_wait)

    def _schedule_list_call(self, wait: int) -> None:
        """Schedule the next list call in place of an earlier schedule, which would start a second series."""
        self.next_list_call_at = self.host.now + wait
        self.host.wake("list", wait)

    # Admission.

    def _is_within_share(self, tenant: str, now: int) -> bool:
        """Count an inquiry against its tenant's share of what this node receives.

        All nodes receive the same mix of tenants. Behind the front layer every inquiry is within the share: a
        drop there would look like a failure of the server above.
        """
        share = self.tenant_shares.get(tenant)
        if share is None or not self.is_front or not self.seen_rate or now - self.started_at < SECOND:
            # In its first second a node does not know its arrival rate.
            return True
        rate = share * self.seen_rate
        tokens, since = self.tenant_tokens[tenant]
        # Deep enough that random bunching of a low rate does not count as a surge. A tenant beyond its share
        # never fills it.
        tokens = min(max(MIN_SHARE_BURST, rate * SECOND), tokens + (now - since) * rate)
        within = tokens >= 1
        self.tenant_tokens[tenant] = (tokens - 1 if within else tokens, now)
        return within

    def _take_token(self, within: bool, now: int) -> int:
        """Take or reserve a token. Returns the wait for it in microseconds, or -1 if that is too long."""
        self.tokens = min(self.bucket_size, self.tokens + (now - self.refilled_at) * self.token_rate)
        self.refilled_at = now
        # Beyond a tenant's share most of the bucket is reserved: one tenant's surge must not drain it for
        # all.
        missing = (1.0 if within else 1.0 + self.bucket_size * RESERVED_FRACTION) - self.tokens
        wait = int(missing / self.token_rate) + 1 if missing > 0 else 0
        if wait > self.max_token_wait:
            return -1
        self.tokens -= 1
        return wait

    def _lower_token_rate(self) -> None:
        """Lower the token rate after a failed attempt, first to twice the arrival rate if it is above.

        A step down is as large as eight steps up, so the rate settles where a ninth of the attempts fail.
        """
        if self.host.now - self.started_at < SECOND:
            # A new node does not know its arrival rate yet; one early failure must not shut the bucket.
            return
        self.token_rate = max(
            self.min_token_rate, min(self.token_rate, 2 * self.metered_rate) * (1 - 8 * self.rate_step)
        )

    def _raise_token_rate(self) -> None:
        """Raise the token rate one step after a served attempt."""
        if self.token_rate < 4 * self.metered_rate:
            # An unloaded node has room. Without larger steps, servers stood idle for twenty seconds after one
            # of them had failed, while most of the traffic was dropped.
            self.token_rate *= 1 + (
                min(MAX_RATE_STEP, UNLOADED_STEP_FACTOR * self.rate_step)
                if self.is_unloaded
                else self.rate_step
            )

    # Choice of servers.

    def _next_server(self, inquiry: Inquiry, now: int) -> Server | None:
        """Return the next server in turn that may take this inquiry's next attempt, if any."""
        subset = inquiry.subset
        # Traffic between zones is costly, so an unloaded node uses the servers of its own zone first.
        index = (
            self._find_ready(subset.local_servers, subset.next_local_turn, inquiry, now)
            if self.is_unloaded
            else -1
        )
        if index >= 0:
            subset.next_local_turn = (index + 1) % len(subset.local_servers)
            return subset.local_servers[index]
        index = self._find_ready(subset.servers, subset.next_turn, inquiry, now)
        if index < 0:
            return None
        subset.next_turn = (index + 1) % len(subset.servers)
        return subset.servers[index]

    def _find_ready(self, servers: list[Server], turn: int, inquiry: Inquiry, now: int) -> int:
        """Return the index of the first server, from `turn` on, that may take the attempt; -1 if none may."""
        is_retry = inquiry.attempts > 0
        slow_ratio = SLOW_SERVER_RATIO * inquiry.subset.median_latency_ratio
        skipped = -1
        for step in range(turn, turn + len(servers)):
            index = step % len(servers)
            server = servers[index]
            attempts = server.attempts
            if len(attempts) >= server.concurrency_limit or server.ejected_until > now:
                continue
            if attempts and next(iter(attempts.values())).overdue_at <= now:
                continue
            if is_retry and (server.retry_budget < 1 or not self._may_retry_at(inquiry, server)):
                continue
            if server.warm_at > now and not self._has_slow_start_token(server, now):
                continue
            if server.latency_ratio > slow_ratio:
                # A slow server gives up turns in proportion to its latency, unless no other server is ready.
                server.turn_weight += slow_ratio / server.latency_ratio
                if server.turn_weight < 1:
                    skipped = index if skipped < 0 else skipped
                    continue
                server.turn_weight -= 1
            return index
        return skipped

    def _dispatch(self, inquiry: Inquiry, now: int) -> None:
        """Choose a server for the inquiry, or queue it."""
        server = self._next_server(inquiry, now)
        if server is None:
            self._enqueue(inquiry, now)
        else:
            self._query_or_send(inquiry, server, now)

    def _send(self, inquiry: Inquiry, server: Server, now: int) -> None:
        """Start an attempt of the inquiry at the server."""
        timeout = inquiry.worth_until - now
        if inquiry.attempts > 0:
            server.retry_budget -= 1
        # Where a retry is permitted, the timeout leaves time for it after a server that does not answer.
        request_class = inquiry.class_state.request_class
        retry_timeout = int(3 * inquiry.class_state.p90_latency)
        may_repeat = (
            request_class.effect is not Effect.NOT_IDEMPOTENT
            and inquiry.attempts + 1 < inquiry.class_state.max_attempts
        )
        if may_repeat and timeout - retry_timeout > inquiry.class_state.median_latency:
            timeout = retry_timeout
        attempt = Attempt(inquiry, server, now)
        key = inquiry.id, attempt.number
        self.attempts[key] = server.attempts[key] = attempt
        inquiry.attempts += 1
        inquiry.current_attempt = attempt
        self.sent_count += 1
        if server.warm_at > now:
            server.slow_start_tokens -= 1
        self.host.send(inquiry.id, server.entry.server, timeout)
        if self.has_peers:
            self._notify_owner(PeerMessageKind.SENT, server)

    def _enqueue(self, inquiry: Inquiry, now: int) -> None:
        """Queue the inquiry by worth, then by latest start: arrival order would let short targets expire."""
        self.order += 1
        latest_start = inquiry.full_worth_until - int(inquiry.class_state.p90_latency)
        heappush(inquiry.subset.queue, (-inquiry.worth, latest_start, self.order, inquiry))
        heappush(self.latest_starts, (latest_start, self.order, inquiry))
        if not self.is_watching_queues:
            self.is_watching_queues = True
            self.host.wake("held", self.max_token_wait)

    def _subsets_by_worth(self) -> list[Subset]:
        """Return the subsets, the most valuable queued inquiry first: subsets may share servers."""
        return sorted(self.subsets.values(), key=lambda subset: subset.queue[:1])

    def _dispatch_queued(self, now: int) -> None:
        """Send queued inquiries to servers that have room."""
        for subset in self._subsets_by_worth():
            queue = subset.queue
            skipped: list[tuple[float, int, int, Inquiry]] = []
            while queue and now >= self.queue_paused_until:
                inquiry = queue[0][3]
                if inquiry.needs_no_server:
                    heappop(queue)
                    continue
                server = self._next_server(inquiry, now)
                if server is not None:
                    heappop(queue)
                    self._query_or_send(inquiry, server, now)
                elif inquiry.attempts > 0 and len(skipped) < 8:
                    # A retry may use fewer servers than the next inquiry, which may still find one.
                    skipped.append(heappop(queue))
                else:
                    break
            for item in skipped:
                heappush(queue, item)

    def _watch_queues(self, now: int) -> None:
        """Dispatch queued inquiries, and finish those that can no longer be answered in time."""
        self._dispatch_queued(now)
        while self.latest_starts and self.latest_starts[0][0] <= now:
            inquiry = heappop(self.latest_starts)[2]
            if not inquiry.needs_no_server:
                if inquiry.worth <= self.core_worth:
                    # The bucket gave out a token for an attempt that no server had room for.
                    self._lower_token_rate()
                self._finish(inquiry, int(inquiry.class_state.median_latency))
        self.is_watching_queues = any(subset.queue for subset in self.subsets.values())
        if self.is_watching_queues:
            self.host.wake("held", self.max_token_wait)
        else:
            self.latest_starts.clear()

    def _has_slow_start_token(self, server: Server, now: int) -> bool:
        """Refill a cold server's tokens, by the usual rate of a warm server, and return whether one is left.

        The usual rate also holds in a burst, when the current rate would be higher.
        """
        rules = self.settings
        capacity = (
            rules.cold_capacity
            + (1 - rules.cold_capacity) * (now - server.entry.started_at_us) / rules.warm_up_us
        )
        per_server = min(self.send_rate, self.usual_send_rate) / max(1, len(self.default_subset.servers))
        rate = 0.5 * rules.collapse_multiple * capacity * per_server * self.share
        max_tokens = max(1.0, rate * rules.collapse_window_us / 4)
        server.slow_start_tokens = min(
            max_tokens, server.slow_start_tokens + (now - server.slow_start_refilled_at) * rate
        )
        server.slow_start_refilled_at = now
        return server.slow_start_tokens >= 1

    # Outcomes of attempts.

    def _record_outcome(self, attempt: Attempt, outcome: Outcome, latency: int, now: int) -> None:
        """Update the server's limit and budgets, the class's latencies and the token rate."""
        server, class_state = attempt.server, attempt.inquiry.class_state
        if outcome is Outcome.CANCELLED and now >= attempt.overdue_at:
            # The client left while the server did not answer.
            outcome = Outcome.TIMEOUT
        if outcome is Outcome.SERVED:
            class_state.learn(latency, True)
            if class_state.answers == ENOUGH_ANSWERS and len(self.default_subset.servers) == len(
                self.default_subset.ranked
            ):
                # The first baseline is a guess, a sixth of the latency target. With a high network latency it
                # is too low, and limits would stay low. Only part of the mean replaces it, since the first
                # answers may have come under load.
                class_state.baseline_latency = max(
                    class_state.baseline_latency, FIRST_BASELINE_FRACTION * class_state.mean_latency
                )
            server.failure_rate *= 0.8
            server.retry_budget = min(4.0, server.retry_budget + 0.1)
            self.served_count += attempt.inquiry.worth <= self.core_worth
            self._raise_token_rate()
            # Inquiries differ, so a server is judged by the mean of its recent answers.
            self.target_ratio += 0.1 * (
                latency / class_state.request_class.latency_target_us - self.target_ratio
            )
            server.answers += 1
            server.latency_ratio += max(0.1, 1 / (server.answers + 2)) * (
                latency / class_state.baseline_latency - server.latency_ratio
            )
            server.consecutive_ejections = 0
            # The limit rises only where it was used up; otherwise the answer says nothing about it.
            if attempt.used_up_limit and server.latency_ratio <= IN_TIME_RATIO:
                server.concurrency_limit += 1
            elif (
                server.latency_ratio > FAR_LATE_RATIO
                and server.concurrency_limit > 1
                and attempt.sent_at > server.limit_lowered_at
            ):
                # Late answers without failures: the attempts of all nodes keep the server slow, even after
                # the burst that made it so.
                server.concurrency_limit, server.limit_lowered_at = server.concurrency_limit - 1, now
        elif outcome is Outcome.NOT_STARTED and attempt.number > 0:
            # The retry never started: the server's budget gets its cost back.
            server.retry_budget = min(4.0, server.retry_budget + 1)
        elif outcome in (Outcome.MALFORMED, Outcome.RESET) and server.failure_rate < MOSTLY_FAILING:
            # A malformed answer or a reset is no sign of overload, unless the server does little else.
            server.failure_rate += 0.2 * (1 - server.failure_rate)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_STARTED):
            if outcome is Outcome.TIMEOUT or attempt.inquiry.full_worth_until - now < 4 * self.margin:
                # An error at the very end counts as a timeout: a layer further down timed out a little
                # earlier.
                class_state.learn(latency, False)
            if outcome is not Outcome.CONNECT_FAILED:
                # A late or refused connection is no sign of overload, so only the server is held responsible.
                self._lower_token_rate()
            if attempt.inquiry.full_worth_until - attempt.sent_at < class_state.p90_latency:
                # The attempt was sent with too little time for a usual answer: not the server's failure.
                return
            was_lowest = server.concurrency_limit == 1
            if attempt.sent_at > server.limit_lowered_at:
                # Attempts sent before the limit was lowered failed for the same cause: one halving is enough.
                server.concurrency_limit, server.limit_lowered_at = max(1, server.concurrency_limit // 2), now
            server.failure_rate += 0.2 * (1 - server.failure_rate)
            if was_lowest and server.failure_rate > attempt.inquiry.subset.median_failure_rate:
                self._eject(server, now, outcome.value)

    def _eject(self, server: Server, now: int, why: str) -> None:
        """Eject a server, for twice as long each time until it serves an attempt."""
        shortest = int(
            2 * min((c.baseline_latency for c in self.request_classes.values()), default=self.margin)
        )
        if server.consecutive_ejections > 0:
            # The server failed the attempt after its ejection too. Such a trial costs an attempt, and where a
            # node sends little, a short ejection would be over before the next one.
            shortest = max(shortest, int(min(10 / max(self.send_rate, 1e-9), MAX_EJECTION)))
        server.ejected_until = now + min(shortest << min(server.consecutive_ejections, 3), MAX_EJECTION)
        server.consecutive_ejections += 1
        # Another server takes its turns until it is back. A small subset must not wait for an ejected server;
        # and if a failure cost a server its place for good, all nodes would move to the few that have not
        # failed yet.
        self._update_subsets(now)
        if server.consecutive_ejections == 3:
            self.host.log(f"resting {server.entry.server}: {why}, failure rate {server.failure_rate:.2f}")

    def _may_retry(self, inquiry: Inquiry, now: int) -> bool:
        """Return whether the class's rules and the time left permit a further attempt."""
        if (
            inquiry.attempts >= inquiry.class_state.max_attempts
            or inquiry.full_worth_until - now < inquiry.class_state.median_latency
        ):
            return False
        if inquiry.executed_on is None or inquiry.class_state.request_class.effect is Effect.IDEMPOTENT:
            return True
        return (
            inquiry.class_state.request_class.effect is Effect.IDEMPOTENT_BY_KEY
            and self._is_in_dedup_window(inquiry, now)
        )

    def _is_in_dedup_window(self, inquiry: Inquiry, now: int) -> bool:
        """Return whether the first server's group will still know the key when another attempt arrives."""
        return now < inquiry.executed_at + inquiry.class_state.request_class.dedup_window_us - self.margin

    def _may_retry_at(self, inquiry: Inquiry, server: Server) -> bool:
        """Return whether a retry at this server can't execute the inquiry twice against the class's rules."""
        first, request_class = inquiry.executed_on, inquiry.class_state.request_class
        if first is None or request_class.effect is Effect.IDEMPOTENT:
            return True
        if not self._is_in_dedup_window(inquiry, self.host.now):
            return False
        if request_class.group is Group.CELL:
            return server.entry.cell == first.entry.cell
        return request_class.group is Group.ALL or server.entry.zone == first.entry.zone

    def _finish(self, inquiry: Inquiry, retry_after: int) -> None:
        """Answer the inquiry: rejected at the front layer if a retry is safe, otherwise failed."""
        request_class = inquiry.class_state.request_class
        retry_is_safe = (
            inquiry.executed_on is None
            or request_class.effect is Effect.IDEMPOTENT
            or (request_class.effect is Effect.IDEMPOTENT_BY_KEY and request_class.group is Group.ALL)
        )
        self._remove(inquiry)
        if self.is_front and retry_is_safe:
            self.host.reject(inquiry.id, min(retry_after, self.max_retry_after))
        else:
            self.host.fail(inquiry.id)

    def _remove(self, inquiry: Inquiry) -> None:
        """Mark the inquiry as finished and drop it from the open ones."""
        inquiry.is_finished = True
        del self.inquiries[inquiry.id]

    # Periodic work.

    def _sweep(self, now: int) -> None:
        """Update rates, the bucket's size, baseline latencies and medians, four times a second."""
        self.host.wake("sweep", SWEEP_INTERVAL)
        self._update_subsets(now)
        servers, ranked = self.default_subset.servers, self.default_subset.ranked
        weight = 0.5 if now - self.started_at < 2 * SECOND else 0.1
        self.metered_rate += weight * (self.metered_count / SWEEP_INTERVAL - self.metered_rate)
        # In an outage of all servers the send rate before it is kept: it measures what servers that come back
        # may get.
        any_available = any(server.ejected_until <= now and server.warm_at <= now for server in servers)
        if any_available or self.sent_count / SWEEP_INTERVAL > self.send_rate:
            self.send_rate += weight * (self.sent_count / SWEEP_INTERVAL - self.send_rate)
        self.usual_send_rate += max(0.02, SWEEP_INTERVAL / (now - self.started_at + 1)) * (
            self.send_rate - self.usual_send_rate
        )
        self.seen_rate += weight * (self.seen_count / SWEEP_INTERVAL - self.seen_rate)
        self.served_rate += weight * (self.served_count / SWEEP_INTERVAL - self.served_rate)
        self.seen_count = self.metered_count = self.sent_count = self.served_count = 0
        # Steps are larger where answers are few, so that the token rate follows within seconds at any rate.
        self.rate_step = min(MAX_RATE_STEP, max(0.005, 0.2 / (self.send_rate * SECOND + 1)))
        # Behind the front layer a drop wastes the work of the layers above, so the minimum lets the usual
        # traffic pass. At the front it is a tenth of that: more may be too much where servers are overloaded
        # or a zone is lost.
        self.min_token_rate = max(self.metered_rate * 1.2, 1 / SECOND)
        if self.is_front:
            # The minimum is also close to what was served a moment ago, the closer the more attempts support
            # it: a series of expired inquiries must not shut a bucket whose other inquiries are served well.
            served = SERVED_FRACTION * (1 - self.rate_step / MAX_RATE_STEP) * self.served_rate
            # On an unloaded node it is close to what the concurrency limits have room for. Without that,
            # failures that say nothing about load kept the rate at its minimum for good, beside servers that
            # were hardly used.
            slowest = max((c.mean_latency for c in self.request_classes.values()), default=SECOND)
            room = (
                sum(s.concurrency_limit for s in servers if s.ejected_until <= now) / slowest
                if self.is_unloaded
                else 0.0
            )
            served = max(served, SERVED_FRACTION * min(room, self.metered_rate))
            self.min_token_rate = max(self.metered_rate * 0.1, served, 1 / SECOND / self.settings.instances)
        self.token_rate = max(self.min_token_rate, self.token_rate)
        self.bucket_size = max(8.0, self.token_rate * SECOND / 2)
        # Where a node uses all servers and all its limits are low, its own load can't be why answers are
        # late: the network latency is high, or all servers are slow. The baseline rises faster then, or the
        # limits would stay low for a minute.
        is_low = servers == ranked and (
            sum(server.concurrency_limit for server in servers) <= LOW_MEAN_LIMIT * len(servers)
        )
        drift = 1.02 if is_low else 1.002
        for class_state in self.request_classes.values():
            if class_state.answers >= ENOUGH_ANSWERS:
                class_state.baseline_latency = min(
                    class_state.baseline_latency * drift, class_state.mean_latency
                )
        self.is_unloaded = not self.is_watching_queues and self.target_ratio <= UNLOADED_TARGET_RATIO
        for subset in self.subsets.values():
            middle = len(subset.servers) // 2
            if subset.servers:
                subset.median_failure_rate = sorted(s.failure_rate for s in subset.servers)[middle]
                subset.median_latency_ratio = sorted(s.latency_ratio for s in subset.servers)[middle]

    def _random(self) -> float:
        """Draw a number from 0 up to 1, reproducible by the seed and the number of draws."""
        self.draws += 1
        return crc32(f"{self.seed} {self.draws}".encode()) / 2**32
