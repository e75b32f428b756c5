"""Types shared by the decisions and whatever protocol stands before them; nothing here decides.

All times are whole microseconds. Ids are what the protocol in front uses and are never looked into.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol
from zlib import crc32

InquiryId = int
ServerId = str


class Effect(enum.Enum):
    """What a repeat of an inquiry may do."""

    REDOABLE = "redoable"
    LABELLED = "labelled"
    IRREVERSIBLE = "irreversible"


class Group(enum.Enum):
    """Which servers drop the repeats of a labelled inquiry."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """How an attempt or a probe ended. `proved_not_run` is filled in below."""

    SATISFIED = "satisfied"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    # An answer came that can't be read: the attempt may have run, and nothing says that the server is busy.
    SPOILT = "spoilt"
    WITHDRAWN = "withdrawn"
    MOOT = "moot"

    proved_not_run: bool


for _outcome in Outcome:
    _outcome.proved_not_run = _outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Condition(enum.Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """How much of the list an event brings."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"


@dataclass(frozen=True, slots=True)
class Track:
    """One kind of inquiry."""

    name: str
    effect: Effect
    group: Group
    window_us: int
    expected_time_us: int
    patience_us: int
    payoff: float
    late_payoff: float
    # The zones and the kinds of server that it may be sent to; empty: any.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @property
    def bound_to(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Tracks that are bound alike go to the same servers."""
        return self.zones, self.kinds


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer and its share of the service."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list of servers. `born_us` is 0 for a server that started long ago."""

    server: ServerId
    zone: str
    cell: int
    condition: Condition
    born_us: int
    size: float = 1.0
    kind: str = ""

    @property
    def tag(self) -> int:
        """How nodes name the server to one another: a checksum of its id, of three bytes."""
        return crc32(self.server.encode()) & 0xFFFFFF


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start."""

    layer: int
    instances: int
    self_index: int
    tick_us: int
    zone: str
    tracks: list[Track]
    tenants: list[Tenant]
    beyond_share_payoff: float
    list_is_asked: bool
    ask_every_us: int
    max_attempts: int
    may_withdraw: bool
    may_advise_pause: bool
    max_pause_us: int
    cold_from: float
    warm_after_us: int
    fall_multiple: float
    fall_us: int
    report_fields: list[str] = field(default_factory=list)
    # How many nodes may send each other notes (under 2: none), and which of them this one is.
    peers: int = 0
    peer_index: int = 0


class NoteKind(enum.Enum):
    """What one node tells another of a server."""

    # How full is it? / so full / so many attempts of mine are there now / one of mine has ended.
    ASK = 1
    ANSWER = 2
    SENT = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class Note:
    """A short message between nodes. It may be lost or late, or come from a node that has just begun."""

    kind: NoteKind
    # Which server, see `Entry.tag`.
    tag: int
    # Attempts there: the sender's own, in an answer those of all nodes but the asker.
    attempts: int
    # Of an ended attempt that was satisfied: how many attempts it found there, itself included (0: not
    # known).
    found: int = 0
    latency_us: int = 0
    # In an answer: how many attempts a server of mean size takes, as far as the sender has learned.
    bound: float = 0.0


class Host(Protocol):
    """All that the decisions may do to the world outside. `now` is the clock, in microseconds."""

    @property
    def now(self) -> int: ...

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None:
        """Start the next attempt of an inquiry."""

    def defer(self, inquiry: InquiryId, pause_us: int) -> None:
        """Final answer: not now; asking again does no harm, best after the pause (0: no advice)."""

    def give_up(self, inquiry: InquiryId) -> None:
        """Final answer: failed; promises nothing about the effect."""

    def withdraw(self, inquiry: InquiryId, attempt: int) -> None:
        """Stop waiting for an attempt; its end is still told."""

    def tell(self, peer: int, note: Note) -> None:
        """Send a short message to another node, by its number; it may come late or never."""

    def wake(self, token: str, after_us: int) -> None:
        """Have `alarm(token)` called after this time."""

    def follow_list(self) -> None:
        """Ask for the changes of the list from here on."""

    def log(self, text: str) -> None:
        """One line for on-call staff."""
