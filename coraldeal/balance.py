"""All decisions of coraldeal: which inquiries are let in, which server gets an attempt, what ends an inquiry.

How it is called: a protocol in front makes one `Balancer` for each node and calls one method for each thing
that happens (`inquiry_arrived`, `attempt_ended`, `servers_listed`, ...). The balancer acts by calling the
`Host` it was handed. Both sides of that border are in coraldeal/interface.py; nothing else goes in or out.

The design (docs/design.md): core tracks pass unmetered; any other inquiry takes a token in a short wait or
is dropped; it is then held until the next server of the rotation is under its learned cap.

Mechanisms beside the design, six at most:
1. rest: a server that does badly at a cap of one, worse than the fleet's median, or whose oldest attempt is
   overdue, is passed over for a while;
2. credit: a further attempt goes only to a server whose answers earned it; attempt time-outs come from
answers;
3. shares: what a tenant sends beyond its part of what a node sees is worth less and comes last;
4. cold budget: a server that has just started gets attempts at a rate within the rule;
5. part of the tier: with many nodes each rotates over a few servers, so that caps bind; while all goes well
   the servers of the node's own zone come first;
6. books: where nodes may send messages, one of them keeps the book of each server: how many attempts of all
   nodes are there. Before an attempt the next few of the rotation are asked for; the least full under its
   bound gets it, and who found none is told of the next free place.
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
SWEEP = SECOND // 4
# What counts as in time, as a multiple of the mean when all is well.
IN_TIME = 1.5
# From what multiple of it on answers are so late that fewer attempts are to wait there: twice what is in
# time.
FAR_LATE = 2 * IN_TIME
# Up to what part of their time answers may take while a node is calm.
CALM = 0.5
# How many times the fleet's median pace marks a server that gives up turns.
SLOWER = 1.2
# Up to what mean cap a node's caps are low.
LOW_CAPS = 2.5
# From what part of its attempts on a server is taken to fail, whatever its failures look like.
MOSTLY = 0.5
# Over how long the first calls for the list are spread: one that fails 3 s later leaves time for another
# within the 6 s after which a change counts as told.
FIRST_CALL_SPREAD = 3 * SECOND // 2
# The longest rest.
REST_MOST = 16 * SECOND
# The largest step of the bucket's rate, and how many times as large its steps up are while a node is calm.
RISE_MOST = 0.05
CALM_RISE = 4
# The part of what is served that is let in whatever fails.
SERVED_PART = 0.8
# The part of the bucket that traffic beyond a share may not use.
RESERVE = 0.75
# In the rotations of how many nodes a server should be.
COMPANY = 4
# What a tenant may leave unused of its share at one node and send later, in inquiries, at the least.
SHARE_DEPTH = 4.0
# Answers that make a mean worth something.
ENOUGH = 20
# The part of their mean that is taken for calm at first.
FIRST_PART = 0.6
# How many servers of the rotation are asked about before an attempt, and how many it has there at the least.
ASKED, WIDTH_ASKED = 3, 5
# How many attempts of all nodes servers take at first and at the least, and how far that moves with an
# answer.
BOUND_START, BOUND_LEAST, BOUND_STEP = 4.0, 2.0, 0.02
# How far a node's bound goes towards one that it is told of, and from what part of it a server is full.
AGREE, NEARLY = 0.1, 0.75
# The part of a server that is open to what pays least, and how many wait at most for a free place there.
LEAST_ROOM, WAITING_MOST = 0.5, 64
# An answer is waited for no longer: two ways between far halls. What was told holds four times as long.
ASK_WAIT = 80_000


class RequestClassState:
    """What is learned of a track, for the life of the instance."""

    __slots__ = ("answers", "calm", "max_attempts", "mean", "median", "slow", "track")

    def __init__(self, track: RequestClass, max_attempts: int) -> None:
        # An inquiry keeps this object, and so the rules that it came with, when the settings change.
        self.track = track
        self.max_attempts = max_attempts
        # Latencies in microseconds: the median, the mean, and a slow one (nine in ten are faster).
        self.median = track.latency_target_us / 8
        self.mean, self.answers = self.median, 0
        self.slow = track.latency_target_us / 3
        # The mean when all is well.
        self.calm = track.latency_target_us / 6

    def under(self, track: RequestClass, max_attempts: int) -> RequestClassState:
        """What was learned, under other rules of the same track."""
        if track == self.track and max_attempts == self.max_attempts:
            return self
        other = RequestClassState(track, max_attempts)
        for name in ("answers", "calm", "mean", "median", "slow"):
            setattr(other, name, getattr(self, name))
        return other

    def learn(self, latency: int, answered: bool) -> None:
        """Move the two quantiles a step towards an attempt's time; one without answer counts as slow."""
        self.slow *= 1.036 if latency > self.slow else 0.996
        if answered:
            self.median *= 1.02 if latency > self.median else 0.98
            self.answers += 1
            self.mean += max(0.01, 1 / (self.answers + 4)) * (latency - self.mean)


@dataclass(slots=True, eq=False)
class Server:
    """What is known of a server, for as long as its process lives."""

    entry: Entry
    # How it is named between nodes.
    tag: int
    cap: int
    warm_at: int
    cold_tokens: float
    cold_at: int
    attempts: dict[tuple[InquiryId, int], Attempt] = field(default_factory=dict)
    halved_at: int = 0
    fail_share: float = 0.0
    strikes: int = 0
    # How long its answers took of late, as a multiple of the calm mean.
    pace: float = 1.0
    answers: int = 0
    turns: float = 0.0
    rest_until: int = 0
    credit: float = 1.0
    # How many attempts of other nodes are there, as its keeper told, and until when that counts.
    told: int = 0
    told_until: int = 0
    # Its place in the node's order: the own zone first, then by chance, so that nodes do not send in step.
    place: str = ""


@dataclass(slots=True, eq=False)
class Book:
    """What a node keeps of one server for all nodes."""

    # Attempts by node, and when it told of them.
    attempts: dict[int, tuple[int, int]] = field(default_factory=dict)
    # Nodes that found no room, the first to be told first.
    waiting: list[int] = field(default_factory=list)
    # Latencies, in microseconds, of attempts that found it nearly empty, and full.
    light: float = 0.0
    full: float = 0.0

    def total(self, peer: int, oldest: int) -> int:
        """Attempts of all other nodes there. One that has said nothing for long has none: it may be gone."""
        return sum(count for other, (count, at) in self.attempts.items() if other != peer and at >= oldest)


@dataclass(slots=True, eq=False)
class Inquiry:
    """One inquiry, from its arrival to its final answer."""

    name: InquiryId
    state: RequestClassState
    # Where it may go.
    rotation: Rotation
    worth: float
    # Until when an answer earns all it can, and until when it earns anything.
    end: int
    late_end: int
    # How long it has once all of it has come.
    span: int
    attempts: int = 0
    out: Attempt | None = None
    # The first attempt that may have run: its server and when it was sent.
    ran_on: Server | None = None
    ran_at: int = 0
    over: bool = False
    # The servers asked about for its next attempt, and how many answers are still to come.
    choices: list[Server] = field(default_factory=list)
    awaited: int = 0

    @property
    def placed(self) -> bool:
        """Whether it needs no place: it is over, has an attempt out, or servers are being asked about."""
        return self.over or self.out is not None or bool(self.choices)


@dataclass(slots=True, eq=False)
class Rotation:
    """The servers open to a track, in the node's order; tracks bound alike share one."""

    ranked: list[Server] = field(default_factory=list)
    # Who comes before them, how many get attempts, which these are, and which of them stand in the own zone.
    first: dict[Server, None] = field(default_factory=dict)
    width: int = 2
    servers: list[Server] = field(default_factory=list)
    near: list[Server] = field(default_factory=list)
    turn: int = 0
    near_turn: int = 0
    median_fail_share: float = 0.0
    median_pace: float = 1.0
    # Inquiries by worth and last call. What has no place here must not keep others from places elsewhere.
    held: list[tuple[float, int, int, Inquiry]] = field(default_factory=list)


class Attempt:
    """One try at an inquiry, from its sending to its end."""

    __slots__ = ("filled", "found", "inquiry", "number", "overdue_at", "sent_at", "server")

    def __init__(self, inquiry: Inquiry, server: Server, now: int) -> None:
        self.inquiry = inquiry
        self.number = inquiry.attempts
        self.server = server
        self.sent_at = now
        self.overdue_at = now + int(2 * inquiry.state.slow)
        self.filled = len(server.attempts) + 1 >= server.cap
        # How many attempts of all nodes were there, itself included; 0: nobody told of late.
        self.found = server.told + len(server.attempts) + 1 if server.told_until >= now else 0


class Balancer:
    """The decisions of one node."""

    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        self.host = host
        self.seed = seed
        self.draws = self.order = 0
        self.tracks: dict[str, RequestClassState] = {}
        # By the zones and kinds that tracks are bound to; the first is that of tracks that may go anywhere.
        self.whole = Rotation()
        self.rotations: dict[tuple[tuple[str, ...], tuple[str, ...]], Rotation] = {((), ()): self.whole}
        self._take(settings)
        self.list_wait = self.list_wait_least
        self.list_is_failing = False
        self.list_due = 0
        self.part = 1.0
        # What the list says, who is left out by hand and since when, and the rest: who may be sent to.
        self.listed: dict[ServerId, Entry] = {}
        self.left_out: dict[ServerId, int] = {}
        self.servers: dict[ServerId, Server] = {}
        self.calm, self.ask_after = True, 0
        self.mean_size, self.bound = 1.0, BOUND_START
        self.heard_until = host.now + SECOND
        self.inquiries: dict[InquiryId, Inquiry] = {}
        self.attempts: dict[tuple[InquiryId, int], Attempt] = {}
        self.books: dict[int, Book] = {}
        self.by_tag: dict[int, Server] = {}
        # Inquiries that wait for an answer about a server, by its tag.
        self.asking: dict[int, list[Inquiry]] = {}
        self.last_calls: list[tuple[int, int, Inquiry]] = []
        self.watching_held = False
        self.share_tokens = {name: (1.0, host.now) for name in self.share}
        # The bucket: rates are tokens a microsecond. It starts open, until own arrivals are known.
        self.started = self.refilled_at = host.now
        self.seen = self.metered = self.sent = self.served = 0
        # Of all that came, of what was metered, of attempts (of late, and usually), of metered ones served.
        self.seen_rate = self.arrival_rate = self.send_rate = self.served_rate = self.usual_rate = 0.0
        self.rate, self.rise, self.floor = 1000 / SECOND, 0.01, 1 / SECOND
        self.tokens = self.burst = 100.0
        # How long answers took of late, from any server, as a part of the time they have.
        self.pace = 0.0
        host.wake("sweep", SWEEP)
        if settings.list_is_pulled:
            self._wake_for_list(
                int(self._chance() * min(settings.pull_interval_us * 4 // 5, FIRST_CALL_SPREAD))
            )

    # Settings.

    def _take(self, settings: Settings) -> None:
        """Settings, and the few figures that decisions make of them."""
        self.settings = settings
        worths = [track.worth for track in settings.request_classes]
        self.core_worth = sum(worths) / max(1, len(worths))
        known, most = self.tracks, settings.max_attempts
        self.tracks = {
            t.name: known[t.name].under(t, most) if t.name in known else RequestClassState(t, most)
            for t in settings.request_classes
        }
        for track in settings.request_classes:
            self.rotations.setdefault(track.placement, Rotation())
        self.front = settings.layer == 0
        self.max_pause = settings.max_retry_after_us if settings.may_send_retry_after else 0
        self.margin = max(2 * settings.tick_us, 5_000)
        self.token_wait = max(2 * settings.tick_us, 10_000)
        self.may_message = settings.peers > 1
        # Steps of the golden section fall evenly, however nodes are numbered over zones.
        self.place = settings.self_index * 0.6180339887 % 1.0
        # The list's service takes a call of each node in some seconds: calls are spread by chance. A change
        # counts as told after 6 s, so two waits and a call between them that fails after 3 s stay under that.
        self.list_wait_most = min(settings.pull_interval_us, SECOND) * 4 // 5
        self.list_wait_least = min(settings.pull_interval_us // 10, self.list_wait_most)
        promised = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.share = {t.name: t.quota_per_s / promised for t in settings.tenants if promised > 0}
        self.longest = max((track.deadline_us for track in settings.request_classes), default=SECOND)
        self.shortest = min((track.latency_target_us for track in settings.request_classes), default=SECOND)
        self.ask_wait = min(ASK_WAIT, self.shortest // 6)
        self.most_worth = max(worths, default=1.0)

    def settings_changed(self, settings: Settings) -> None:
        """Other settings hold for what arrives from now on; what was learned stays where its track does."""
        self._take(settings)
        full = (1.0, self.host.now)
        self.share_tokens = {name: self.share_tokens.get(name, full) for name in self.share}
        self.draw_servers()

    def take_part(self, part: float) -> None:
        """This process has such a part of what the node may send to cold servers."""
        for server in self.servers.values():
            server.cold_tokens *= min(1.0, part / self.part)
        self.part = part

    # An inquiry's path.

    def inquiry_arrived(
        self, name: InquiryId, track: str, tenant: str | None, time_left_us: int, repeat: bool
    ) -> None:
        """A new inquiry: let in or dropped, then sent or held."""
        now = self.host.now
        state = self.tracks[track]
        # What it is worth now: a track's worth, or little of it beyond the tenant's share.
        within = tenant is None or self._within_share(tenant, now)
        worth = state.track.worth * (1.0 if within else self.settings.beyond_share_worth)
        # Until when an answer is worth most. Of a later try's time the client has used up a part already.
        useful = state.track.latency_target_us
        if self.front and repeat:
            useful -= max(0, state.track.deadline_us - time_left_us)
        span = min(useful, time_left_us) - self.margin
        late_end = now + (time_left_us - self.margin if state.track.late_worth > 0 else span)
        rotation = self.rotations[state.track.placement]
        inquiry = Inquiry(name, state, rotation, worth, now + span, late_end, span)
        self.inquiries[name] = inquiry
        self.seen += 1
        if inquiry.end - now < state.median / 2:
            self._conclude(inquiry, self.max_pause)
            return
        # Core inquiries pass; any other takes a token within a short wait or is dropped.
        if worth <= self.core_worth:
            self.metered += 1
            # Beyond a share nothing waits behind others: it would mostly be turned away in the end.
            wait = self._take_token(within, now) if within or not rotation.held else -1
            if wait < 0:
                self._conclude(inquiry, int(state.median * self._chance()))
                return
            if wait > 0:
                self.host.wake(f"token {name}", wait)
                return
        # Let in: to the next server of the rotation that is under its cap, or held until there is one.
        self._place(inquiry, now)

    def may_begin(self, name: InquiryId) -> bool:
        """Whether the attempt out may still write its first byte, which may have waited for a connection."""
        inquiry = self.inquiries.get(name)
        if inquiry is None or inquiry.ran_on is None or inquiry.state.track.effect is Effect.IDEMPOTENT:
            return True
        return self._in_window(inquiry, self.host.now)

    def body_coming(self, name: InquiryId) -> None:
        """A large body is passed on to the attempt out as it comes: until its last byte no time counts.

        Nor does its place: the server has not begun, and one slow sender would hold others back.
        """
        inquiry = self.inquiries.get(name)
        if inquiry is not None and inquiry.out is not None:
            inquiry.out.overdue_at = inquiry.end = inquiry.late_end = 1 << 62
            inquiry.out.server.attempts.pop((name, inquiry.out.number), None)
            self._fill(self.host.now)

    def body_sent(self, name: InquiryId) -> None:
        """Its last byte was passed on: the server begins, and the inquiry's time."""
        inquiry, now = self.inquiries.get(name), self.host.now
        if inquiry is not None and inquiry.out is not None:
            inquiry.end = inquiry.late_end = now + inquiry.span
            inquiry.out.sent_at, inquiry.out.overdue_at = now, now + int(2 * inquiry.state.slow)
            inquiry.out.server.attempts[name, inquiry.out.number] = inquiry.out

    def body_spent(self, name: InquiryId) -> None:
        """Part of it is passed on and gone: no further attempt can carry it."""
        inquiry = self.inquiries.get(name)
        if inquiry is not None:
            inquiry.attempts = inquiry.state.max_attempts

    def attempt_ended(
        self,
        name: InquiryId,
        number: int,
        outcome: Outcome,
        latency_us: int,
        over: bool,
        report: dict[str, float] | None,
    ) -> None:
        """An attempt has its outcome: judge the server, then go on with the inquiry where it is not over."""
        now = self.host.now
        attempt = self.attempts.pop((name, number), None)
        if attempt is None:
            return
        attempt.server.attempts.pop((name, number), None)
        if self.may_message:
            found = attempt.found if outcome is Outcome.SERVED else 0
            self._tell_keeper(PeerMessageKind.ENDED, attempt.server, found, latency_us)
        self._judge(attempt, outcome, latency_us, now)
        inquiry = attempt.inquiry
        inquiry.out = None
        if over and not inquiry.over:
            self._forget(inquiry)
        elif not inquiry.over:
            if not outcome.proved_not_run and inquiry.ran_on is None:
                inquiry.ran_on, inquiry.ran_at = attempt.server, attempt.sent_at
            if self._may_go_again(inquiry, now):
                self._place(inquiry, now)
            else:
                self._conclude(inquiry, int(inquiry.state.median))
        self._fill(now)

    def client_left(self, name: InquiryId) -> None:
        """The client has gone: nothing is owed, and what is out for it is called off."""
        inquiry = self.inquiries.get(name)
        if inquiry is None:
            return
        self._forget(inquiry)
        if inquiry.out is not None and self.settings.may_cancel:
            self.host.cancel(name, inquiry.out.number)

    def alarm(self, token: str) -> None:
        """A time asked for with `wake` has come."""
        now = self.host.now
        if token == "sweep":
            self._sweep(now)
        elif token == "held":
            self._watch_held(now)
        elif token == "list" and now + self.margin >= self.list_due:
            self.host.follow_list()
        elif token.startswith("choose "):
            inquiry = self.inquiries.get(int(token[7:]))
            if inquiry is not None and inquiry.choices:
                self._choose(inquiry, now)
        elif token.startswith("token "):
            inquiry = self.inquiries.get(int(token[6:]))
            if inquiry is not None:
                self._place(inquiry, now)

    # Books of servers: what nodes tell one another.

    def note_came(self, peer: int, note: PeerMessage) -> None:
        """Another node asks how full a server is, answers, or tells of its own attempts there."""
        now = self.host.now
        server = self.by_tag.get(note.tag)
        if server is None:
            return
        if note.kind is PeerMessageKind.ANSWER:
            # Nodes agree on the bound: each keeper learns a little of it, all draw towards each other.
            self.bound += AGREE * (note.global_limit - self.bound)
            if peer != self.settings.peer_index:
                self.heard_until = now + self.longest
            server.told, server.told_until = note.attempts, now + 4 * self.ask_wait
            for inquiry in self.asking.pop(note.tag, ()):
                inquiry.awaited -= 1
                if inquiry.awaited == 0 and inquiry.choices:
                    self._choose(inquiry, now)
            self._offer(server, now)
            return
        book = self.books.setdefault(note.tag, Book())
        book.attempts[peer] = note.attempts, now
        if note.kind is PeerMessageKind.ASK:
            total = self._answer(note.tag, peer, now)
            if (
                total + note.attempts + 1 > self._limit(server) * LEAST_ROOM
                and len(book.waiting) < WAITING_MOST
            ):
                book.waiting.append(peer)
            return
        if note.kind is PeerMessageKind.ENDED:
            self._learn_bound(book, server, note.in_flight_at_start, note.latency_us)
        if book.waiting:
            # Who found the server full is told at each change there: told at ends alone they found less.
            self._answer(note.tag, book.waiting.pop(0), now)

    def _answer(self, tag: int, peer: int, now: int) -> int:
        total = self.books[tag].total(peer, now - self.longest)
        self._tell(peer, PeerMessage(PeerMessageKind.ANSWER, tag, total, global_limit=self.bound))
        return total

    def _tell(self, peer: int, note: PeerMessage) -> None:
        tell = self.note_came if peer == self.settings.peer_index else self.host.send_to_peer
        tell(peer, note)

    def _tell_keeper(
        self, kind: PeerMessageKind, server: Server, found: int = 0, latency_us: int = 0
    ) -> None:
        note = PeerMessage(kind, server.tag, len(server.attempts), found, latency_us)
        self._tell(server.tag % self.settings.peers, note)

    def _learn_bound(self, book: Book, server: Server, found: int, latency: int) -> None:
        """Full servers should answer little later than idle ones, and in half of the shortest expected time.

        Where none is ever idle, what was learned of idle ones is wrong: by that alone the bound ran away.
        """
        if 0 < found <= BOUND_LEAST:
            book.light += (0.1 if book.light else 1.0) * (latency - book.light)
        elif found >= self._limit(server) * NEARLY:
            book.full += (0.1 if book.full else 1.0) * (latency - book.full)
            good = book.full < min(IN_TIME * book.light, CALM * self.shortest)
            self.bound = max(BOUND_LEAST, self.bound * (1 + BOUND_STEP if good else 1 - BOUND_STEP))

    def _limit(self, server: Server) -> float:
        """How many attempts of all nodes a server takes, by its size."""
        return self.bound * server.entry.size / self.mean_size

    def _fits(self, inquiry: Inquiry, server: Server, now: int) -> bool:
        """Whether a server has room for it by its book: what pays little leaves some for what pays more.

        Where no node has answered for long, messages do not get through: the node's own caps decide alone.
        """
        room = min(1.0, LEAST_ROOM + 2 * (1 - LEAST_ROOM) * inquiry.worth / self.most_worth)
        return self._fill_of(server, now) + 1 <= self._limit(server) * room or self.heard_until < now

    def _fill_of(self, server: Server, now: int) -> float:
        """Attempts of all nodes at a server; one that nobody told of late counts as half full."""
        return len(server.attempts) + (server.told if server.told_until >= now else self._limit(server) / 2)

    def _bind(self, inquiry: Inquiry, server: Server, now: int) -> None:
        """Send, where books are kept after asking how full the next few servers of the rotation are."""
        if not self.may_message:
            self._send(inquiry, server, now)
            return
        choices = [server]
        while len(choices) < ASKED:
            other = self._next_server(inquiry, now)
            if other is None or other in choices:
                break
            choices.append(other)
        inquiry.choices, inquiry.awaited = choices, len(choices)
        self.host.wake(f"choose {inquiry.name}", self.ask_wait)
        for one in choices:
            # A keeper that is gone for good never answers: who waits no more goes.
            waiting = [other for other in self.asking.get(one.tag, ()) if other.choices]
            self.asking[one.tag] = [*waiting, inquiry]
            self._tell_keeper(PeerMessageKind.ASK, one)

    def _choose(self, inquiry: Inquiry, now: int) -> None:
        """The least full of the servers asked about."""
        choices, inquiry.choices = inquiry.choices, []
        if inquiry.placed:
            return
        # The list may have changed while they were asked about.
        open_ = inquiry.rotation.ranked
        ready = [s for s in choices if s in open_ and len(s.attempts) < s.cap]
        ready = [server for server in ready if self._fits(inquiry, server, now)]
        if ready:
            least_full = min(ready, key=lambda server: (self._fill_of(server, now) + 1) / server.entry.size)
            self._send(inquiry, least_full, now)
        else:
            # Its keepers will tell of a free place; in case that gets lost it asks again after a while.
            self.ask_after = now + 3 * self.ask_wait
            self._hold(inquiry, now)

    def _offer(self, server: Server, now: int) -> None:
        """A place at this server may be free: the first of what is held takes it."""
        for rotation in self._by_worth():
            held = rotation.held
            while held and held[0][3].placed:
                heappop(held)
            if not held or server not in rotation.ranked:
                continue
            inquiry = held[0][3]
            if self._ready_from([server], 0, inquiry, now) == 0 and self._fits(inquiry, server, now):
                heappop(held)
                self._send(inquiry, server, now)
                return

    # The list of servers.

    def servers_listed(self, kind: ListKind, entries: list[Entry]) -> None:
        """The list, or changes of it, as told. A server that drains or is gone leaves at once."""
        if kind is not ListKind.REMEMBERED:
            self.list_wait = self.list_wait_least
            self.list_is_failing = False
        if kind is not ListKind.CHANGES:
            self.listed = {}
        for entry in entries:
            self.listed[entry.server] = entry
            if entry.condition is Condition.GONE:
                del self.listed[entry.server]
        self.draw_servers([entry.server for entry in entries] if kind is ListKind.CHANGES else None)

    def leave_out(self, server: ServerId, sure: bool = False) -> bool:
        """By hand: nothing goes there until it is put back, whatever the list says. False: unknown."""
        if sure or server in self.listed:
            self.left_out.setdefault(server, self.host.now)
            self.draw_servers([server])
        return server in self.left_out

    def put_back(self, server: ServerId) -> bool:
        """By hand: the list alone speaks for this server again, taken for just started; False: unknown."""
        since, entry = self.left_out.pop(server, None), self.listed.get(server)
        if since is not None and entry is not None:
            if entry.started_at_us < since:
                self.listed[server] = replace(entry, started_at_us=self.host.now)
            self.draw_servers([server])
        return since is not None or entry is not None

    def may_send(self, server: ServerId) -> bool:
        """Whether an attempt chosen before may still begin: it may have left the rotation since."""
        return server in self.servers

    def draw_servers(self, changed: list[ServerId] | None = None) -> None:
        """Who may be sent to: what the list calls ready and nobody left out; of these alone, or all anew."""
        now, ranked = self.host.now, self.whole.ranked
        caps = [server.cap for server in self.whole.servers]
        mean_cap = round(sum(caps) / len(caps)) if caps else 2
        names = dict.fromkeys([*self.servers, *self.listed] if changed is None else changed)
        old = {name: self.servers.pop(name) for name in names if name in self.servers}
        for server in old.values() if changed else ():
            del ranked[bisect_left(ranked, server.place, key=lambda s: s.place)]
        for name in names if len(names) == 1 else [name for name in self.listed if name in names]:
            entry, known = self.listed.get(name), old.get(name)
            if entry is None or entry.condition is not Condition.READY or name in self.left_out:
                continue
            if known is None or known.entry.started_at_us < entry.started_at_us:
                # A restart is a new, cold server; a whole attempt of each node at once is too much: half of
                # one.
                warm_at = entry.started_at_us + self.settings.warm_up_us if entry.started_at_us else 0
                known = Server(entry, entry.tag, mean_cap, warm_at, self._chance(), now)
                known.place = f"0{crc32(f'{self.seed} {name}'.encode()):08x}{name}"
            known.place = f"{entry.zone != self.settings.zone:d}{known.place[1:]}"
            known.entry, self.servers[name] = entry, known
            if changed:
                insort(ranked, known, key=lambda s: s.place)
        ranked = sorted(self.servers.values(), key=lambda s: s.place) if changed is None else ranked
        told = [self.servers[n] for n in self.listed if n in self.servers] if self.may_message else []
        self.mean_size = sum(server.entry.size for server in told) / len(told) if told else self.mean_size
        self.by_tag = {server.tag: server for server in told}
        self.books = {tag: book for tag, book in self.books.items() if tag in self.by_tag}
        self.asking = {tag: waiting for tag, waiting in self.asking.items() if tag in self.by_tag}
        for (zones, kinds), rotation in self.rotations.items():
            own = [s for s in ranked if s.entry.zone in zones] if zones else ranked
            own = rotation.ranked = [s for s in own if s.entry.kind in kinds] if kinds else own
            width = -(-COMPANY * len(own) // self.settings.instances)
            width = rotation.width = max(WIDTH_ASKED if self.may_message else 2, width)
            # With many nodes the first few, COMPANY nodes to a server, spread by the node's number: chance
            # alone would be uneven. Replacements come by chance, so that the nodes of a bad server part.
            near = (bisect_left(own, "1", key=lambda s: s.place) or len(own)) if width < len(own) else 0
            ring = sorted(own[:near], key=lambda s: crc32(s.entry.server.encode()))
            at = int(self.place * len(ring))
            rotation.first = dict.fromkeys((ring[at:] + ring[:at])[:width])
        self._draw_rotations(now)
        self._fill(now)

    def _draw_rotations(self, now: int) -> None:
        """All servers of the node's order, or with many nodes the first not at rest, so that caps bind."""
        for rotation in self.rotations.values():
            first, ranked, width = rotation.first, rotation.ranked, rotation.width
            order = chain(first, (s for s in ranked if s not in first)) if first else ranked
            awake = (s for s in order if s.rest_until <= now) if first else ranked
            rotation.servers = list(islice(awake, width)) or list(dict.fromkeys([*first, *ranked]))[:width]
            rotation.near = [s for s in rotation.servers if s.entry.zone == self.settings.zone]

    def list_failed(self) -> None:
        """The list did not answer or broke off: ask again after a growing wait, out of step with others."""
        if not self.list_is_failing:
            # One line for each series of failures: more would hide what comes between them.
            self.host.log(f"list of servers failed; asking again in about {self.list_wait // 1000} ms")
        self.list_is_failing = True
        self._wake_for_list(int(self.list_wait * (0.5 + self._chance())))
        self.list_wait = min(2 * self.list_wait, self.list_wait_most)

    def _wake_for_list(self, wait: int) -> None:
        """One call is due at a time: what was to be made before gives way, or calls would go on in series."""
        self.list_due = self.host.now + wait
        self.host.wake("list", wait)

    # Admission.

    def _within_share(self, tenant: str, now: int) -> bool:
        """Count an inquiry against its tenant's share of what this node sees: nodes see one mix of tenants.

        Deeper down all are within: a drop there would look like a failure of the server above.
        """
        share = self.share.get(tenant)
        if share is None or not self.front or not self.seen_rate or now - self.started < SECOND:
            # In its first second a node does not know what it sees yet.
            return True
        rate = share * self.seen_rate
        tokens, since = self.share_tokens[tenant]
        # Deep enough that the noise of a trickle is no surge; a tenant beyond its share never fills it.
        tokens = min(max(SHARE_DEPTH, rate * SECOND), tokens + (now - since) * rate)
        within = tokens >= 1
        self.share_tokens[tenant] = (tokens - 1 if within else tokens, now)
        return within

    def _take_token(self, within: bool, now: int) -> int:
        """Take or reserve a token; the wait for it, or -1 where it would be too long."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        # One tenant's surge must not drain the bucket for all: beyond a share, most of it stays untouched.
        short = (1.0 if within else 1.0 + self.burst * RESERVE) - self.tokens
        wait = int(short / self.rate) + 1 if short > 0 else 0
        if wait > self.token_wait:
            return -1
        self.tokens -= 1
        return wait

    def _fell(self) -> None:
        """A send failed: from a rate that admits all down to where it matters, then step by step.

        Eight steps down for one up let the rate settle at a ninth of sends failed.
        """
        if self.host.now - self.started < SECOND:
            # A new node does not know its own arrivals yet; one early failure must not shut the bucket.
            return
        self.rate = max(self.floor, min(self.rate, 2 * self.arrival_rate) * (1 - 8 * self.rise))

    def _rose(self) -> None:
        """A send was served: a step up."""
        if self.rate < 4 * self.arrival_rate:
            # With nothing held and quick answers there is room: without larger steps servers stood idle for
            # twenty seconds after a bad one while most traffic was dropped.
            self.rate *= 1 + (min(RISE_MOST, CALM_RISE * self.rise) if self.calm else self.rise)

    # The rotation.

    def _next_server(self, inquiry: Inquiry, now: int) -> Server | None:
        """The next server in the rotation that may take this inquiry's next attempt."""
        rotation = inquiry.rotation
        # Crossings cost: while all goes well, the servers of the node's own zone come first.
        found = self._ready_from(rotation.near, rotation.near_turn, inquiry, now) if self.calm else -1
        if found >= 0:
            rotation.near_turn = (found + 1) % len(rotation.near)
            return rotation.near[found]
        found = self._ready_from(rotation.servers, rotation.turn, inquiry, now)
        if found < 0:
            return None
        rotation.turn = (found + 1) % len(rotation.servers)
        return rotation.servers[found]

    def _ready_from(self, servers: list[Server], turn: int, inquiry: Inquiry, now: int) -> int:
        """The place in the rotation, from this turn on, of the first server ready; -1 if none is."""
        further = inquiry.attempts > 0
        usual_pace = SLOWER * inquiry.rotation.median_pace
        skipped = -1
        for step in range(turn, turn + len(servers)):
            place = step % len(servers)
            server = servers[place]
            attempts = server.attempts
            if len(attempts) >= server.cap or server.rest_until > now:
                continue
            if attempts and next(iter(attempts.values())).overdue_at <= now:
                continue
            if further and (server.credit < 1 or not self._in_group(inquiry, server)):
                continue
            if server.warm_at > now and not self._cold_room(server, now):
                continue
            if server.pace > usual_pace:
                # Slower than most: it gives up turns in proportion, unless no other server is ready.
                server.turns += usual_pace / server.pace
                if server.turns < 1:
                    skipped = place if skipped < 0 else skipped
                    continue
                server.turns -= 1
            return place
        return skipped

    def _place(self, inquiry: Inquiry, now: int) -> None:
        """Bind to the next server, or hold."""
        server = self._next_server(inquiry, now)
        if server is None:
            self._hold(inquiry, now)
        else:
            self._bind(inquiry, server, now)

    def _send(self, inquiry: Inquiry, server: Server, now: int) -> None:
        timeout = inquiry.late_end - now
        if inquiry.attempts > 0:
            server.credit -= 1
        # A silent server must not hold the inquiry to its end, if it could go elsewhere after that.
        track = inquiry.state.track
        patient = int(3 * inquiry.state.slow)
        repeatable = (
            track.effect is not Effect.NOT_IDEMPOTENT and inquiry.attempts + 1 < inquiry.state.max_attempts
        )
        if repeatable and timeout - patient > inquiry.state.median:
            timeout = patient
        attempt = Attempt(inquiry, server, now)
        key = inquiry.name, attempt.number
        self.attempts[key] = server.attempts[key] = attempt
        inquiry.attempts += 1
        inquiry.out = attempt
        self.sent += 1
        if server.warm_at > now:
            server.cold_tokens -= 1
        self.host.send(inquiry.name, server.entry.server, timeout)
        if self.may_message:
            self._tell_keeper(PeerMessageKind.SENT, server)

    def _hold(self, inquiry: Inquiry, now: int) -> None:
        """Hold by worth, then by last call: short expected times would go by behind long ones."""
        self.order += 1
        last_call = inquiry.end - int(inquiry.state.slow)
        heappush(inquiry.rotation.held, (-inquiry.worth, last_call, self.order, inquiry))
        heappush(self.last_calls, (last_call, self.order, inquiry))
        if not self.watching_held:
            self.watching_held = True
            self.host.wake("held", self.token_wait)

    def _by_worth(self) -> list[Rotation]:
        """What is worth most comes first, wherever it may go: rotations share servers."""
        return sorted(self.rotations.values(), key=lambda rotation: rotation.held[:1])

    def _fill(self, now: int) -> None:
        """Give free places to held inquiries."""
        for rotation in self._by_worth():
            held = rotation.held
            aside: list[tuple[float, int, int, Inquiry]] = []
            while held and now >= self.ask_after:
                inquiry = held[0][3]
                if inquiry.placed:
                    heappop(held)
                    continue
                server = self._next_server(inquiry, now)
                if server is not None:
                    heappop(held)
                    self._bind(inquiry, server, now)
                elif inquiry.attempts > 0 and len(aside) < 8:
                    # Where only this one's choice of servers is narrow, the next may still be placed.
                    aside.append(heappop(held))
                else:
                    break
            for item in aside:
                heappush(held, item)

    def _watch_held(self, now: int) -> None:
        """Last calls: what cannot be satisfied in time any more is answered now."""
        self._fill(now)
        while self.last_calls and self.last_calls[0][0] <= now:
            inquiry = heappop(self.last_calls)[2]
            if not inquiry.placed:
                if inquiry.worth <= self.core_worth:
                    # A token was given for a send that no server had room for.
                    self._fell()
                self._conclude(inquiry, int(inquiry.state.median))
        self.watching_held = any(rotation.held for rotation in self.rotations.values())
        if self.watching_held:
            self.host.wake("held", self.token_wait)
        else:
            self.last_calls.clear()

    def _cold_room(self, server: Server, now: int) -> bool:
        """A budget of attempts for a cold server, by what a warm one usually gets, also in a burst."""
        rules = self.settings
        warmth = (
            rules.cold_capacity
            + (1 - rules.cold_capacity) * (now - server.entry.started_at_us) / rules.warm_up_us
        )
        per_server = min(self.send_rate, self.usual_rate) / max(1, len(self.whole.servers))
        rate = 0.5 * rules.crash_multiple * warmth * per_server * self.part
        most = max(1.0, rate * rules.crash_window_us / 4)
        server.cold_tokens = min(most, server.cold_tokens + (now - server.cold_at) * rate)
        server.cold_at = now
        return server.cold_tokens >= 1

    # What an attempt's end tells.

    def _judge(self, attempt: Attempt, outcome: Outcome, latency: int, now: int) -> None:
        server, state = attempt.server, attempt.inquiry.state
        if outcome is Outcome.CANCELLED and now >= attempt.overdue_at:
            # The client left while a silent server held its attempt.
            outcome = Outcome.TIMEOUT
        if outcome is Outcome.SERVED:
            state.learn(latency, True)
            if state.answers == ENOUGH and len(self.whole.servers) == len(self.whole.ranked):
                # The guess was a sixth of their time: caps would stay low on a wide network.
                # The first answers may have come under load, so not all of their mean counts.
                state.calm = max(state.calm, FIRST_PART * state.mean)
            server.fail_share *= 0.8
            server.credit = min(4.0, server.credit + 0.1)
            self.served += attempt.inquiry.worth <= self.core_worth
            self._rose()
            # One answer says little, for inquiries differ: in time is a server whose answers of late were.
            self.pace += 0.1 * (latency / state.track.latency_target_us - self.pace)
            server.answers += 1
            server.pace += max(0.1, 1 / (server.answers + 2)) * (latency / state.calm - server.pace)
            server.strikes = 0
            # A cap rises only where it was used up: otherwise the answer says nothing about it.
            if attempt.filled and server.pace <= IN_TIME:
                server.cap += 1
            elif server.pace > FAR_LATE and server.cap > 1 and attempt.sent_at > server.halved_at:
                # Late without failing: what all nodes hold there keeps it slow, also once the burst is over.
                server.cap, server.halved_at = server.cap - 1, now
        elif outcome is Outcome.NOT_STARTED and attempt.number > 0:
            # It never began: what a further attempt costs is given back.
            server.credit = min(4.0, server.credit + 1)
        elif outcome in (Outcome.MALFORMED, Outcome.RESET) and server.fail_share < MOSTLY:
            # It wrote its answer badly or dropped a connection: no sign of load, unless it does little else.
            server.fail_share += 0.2 * (1 - server.fail_share)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_STARTED):
            if outcome is Outcome.TIMEOUT or attempt.inquiry.end - now < 4 * self.margin:
                # An error at the very end is a time-out too: deeper down the time ran out a little earlier.
                state.learn(latency, False)
            if outcome is not Outcome.CONNECT_FAILED:
                # A connection that is late or refused says nothing of load: the server alone answers for it.
                self._fell()
            if attempt.inquiry.end - attempt.sent_at < state.slow:
                # It was sent with too little time left for a usual answer: that is not the server's failure.
                return
            lowest = server.cap == 1
            if attempt.sent_at > server.halved_at:
                # Attempts sent before the last halving tell of the same trouble: half was enough.
                server.cap, server.halved_at = max(1, server.cap // 2), now
            server.fail_share += 0.2 * (1 - server.fail_share)
            if lowest and server.fail_share > attempt.inquiry.rotation.median_fail_share:
                self._rest(server, now, outcome.value)

    def _rest(self, server: Server, now: int, why: str) -> None:
        """Out of the rotation, for longer each time until it does well again."""
        least = int(2 * min((track.calm for track in self.tracks.values()), default=self.margin))
        if server.strikes > 0:
            # It failed its trial too. A trial costs an attempt: where a node sends little, a short rest
            # would be over before the next one.
            least = max(least, int(min(10 / max(self.send_rate, 1e-9), REST_MOST)))
        server.rest_until = now + min(least << min(server.strikes, 3), REST_MOST)
        server.strikes += 1
        # Another takes its turns until it is back: a narrow rotation must not wait for one at rest, and
        # one that lost its place for good would drive all nodes to the few that have not failed yet.
        self._draw_rotations(now)
        if server.strikes == 3:
            self.host.log(f"resting {server.entry.server}: {why}, fail share {server.fail_share:.2f}")

    def _may_go_again(self, inquiry: Inquiry, now: int) -> bool:
        """Whether rules and time allow a further attempt."""
        if inquiry.attempts >= inquiry.state.max_attempts or inquiry.end - now < inquiry.state.median:
            return False
        if inquiry.ran_on is None or inquiry.state.track.effect is Effect.IDEMPOTENT:
            return True
        return inquiry.state.track.effect is Effect.IDEMPOTENT_BY_KEY and self._in_window(inquiry, now)

    def _in_window(self, inquiry: Inquiry, now: int) -> bool:
        """Whether the group that got a labelled inquiry surely remembers it when another attempt arrives."""
        return now < inquiry.ran_at + inquiry.state.track.dedup_window_us - self.margin

    def _in_group(self, inquiry: Inquiry, server: Server) -> bool:
        """Whether a further attempt to this server keeps the rule on effects."""
        first, track = inquiry.ran_on, inquiry.state.track
        if first is None or track.effect is Effect.IDEMPOTENT:
            return True
        if not self._in_window(inquiry, self.host.now):
            return False
        if track.group is Group.CELL:
            return server.entry.cell == first.entry.cell
        return track.group is Group.ALL or server.entry.zone == first.entry.zone

    def _conclude(self, inquiry: Inquiry, pause: int) -> None:
        """The final answer: at the front a deferral where a repeat does no harm, else a give-up."""
        track = inquiry.state.track
        harmless = (
            inquiry.ran_on is None
            or track.effect is Effect.IDEMPOTENT
            or (track.effect is Effect.IDEMPOTENT_BY_KEY and track.group is Group.ALL)
        )
        self._forget(inquiry)
        if self.front and harmless:
            self.host.reject(inquiry.name, min(pause, self.max_pause))
        else:
            self.host.fail(inquiry.name)

    def _forget(self, inquiry: Inquiry) -> None:
        inquiry.over = True
        del self.inquiries[inquiry.name]

    # What goes on in the background.

    def _sweep(self, now: int) -> None:
        """Four times a second: rates, the bucket's size, the calm means, the fleet's medians."""
        self.host.wake("sweep", SWEEP)
        self._draw_rotations(now)
        servers, ranked = self.whole.servers, self.whole.ranked
        weight = 0.5 if now - self.started < 2 * SECOND else 0.1
        self.arrival_rate += weight * (self.metered / SWEEP - self.arrival_rate)
        # In an outage of all, what was sent before stays the measure of what servers that come back may get.
        able = any(server.rest_until <= now and server.warm_at <= now for server in servers)
        if able or self.sent / SWEEP > self.send_rate:
            self.send_rate += weight * (self.sent / SWEEP - self.send_rate)
        self.usual_rate += max(0.02, SWEEP / (now - self.started + 1)) * (self.send_rate - self.usual_rate)
        self.seen_rate += weight * (self.seen / SWEEP - self.seen_rate)
        self.served_rate += weight * (self.served / SWEEP - self.served_rate)
        self.seen = self.metered = self.sent = self.served = 0
        # The rate follows within seconds, whether answers are many or few: few of them take larger steps.
        self.rise = min(RISE_MOST, max(0.005, 0.2 / (self.send_rate * SECOND + 1)))
        # A drop deeper down wastes what the tiers above have done, so the floor there lets the usual traffic
        # pass. At the front a tenth of it: where servers choke or a hall is lost there may be no more.
        self.floor = max(self.arrival_rate * 1.2, 1 / SECOND)
        if self.front:
            # Nor is less let in than was served a moment ago, the surer the more attempts tell of it: holds
            # that end in a row must not shut a bucket that others still pass well.
            served = SERVED_PART * (1 - self.rise / RISE_MOST) * self.served_rate
            # Nor, while nothing waits and answers are quick, less than its caps have room for: failures that
            # say nothing of load would keep it at its floor for good, beside servers that are hardly used.
            slowest = max((state.mean for state in self.tracks.values()), default=SECOND)
            room = sum(s.cap for s in servers if s.rest_until <= now) / slowest if self.calm else 0.0
            served = max(served, SERVED_PART * min(room, self.arrival_rate))
            self.floor = max(self.arrival_rate * 0.1, served, 1 / SECOND / self.settings.instances)
        self.rate = max(self.floor, self.rate)
        self.burst = max(8.0, self.rate * SECOND / 2)
        # Where a node uses the whole tier and all its caps are low, answers don't take long for its load:
        # the network is wide, or all servers are slow. Caps would stay low for a minute else.
        low = servers == ranked and sum(server.cap for server in servers) <= LOW_CAPS * len(servers)
        drift = 1.02 if low else 1.002
        for state in self.tracks.values():
            if state.answers >= ENOUGH:
                state.calm = min(state.calm * drift, state.mean)
        self.calm = not self.watching_held and self.pace <= CALM
        for rotation in self.rotations.values():
            middle = len(rotation.servers) // 2
            if rotation.servers:
                rotation.median_fail_share = sorted(s.fail_share for s in rotation.servers)[middle]
                rotation.median_pace = sorted(s.pace for s in rotation.servers)[middle]

    def _chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.seed} {self.draws}".encode()) / 2**32
