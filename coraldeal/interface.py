"""Types shared by the decisions (coraldeal/balance.py) and the protocol in front of them. No logic.

All times are whole microseconds. Ids come from the protocol and are never parsed.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol
from zlib import crc32

InquiryId = int
ServerId = str


class Effect(enum.Enum):
    """Whether an inquiry may be executed more than once."""

    IDEMPOTENT = "redoable"
    IDEMPOTENT_BY_KEY = "labelled"
    NOT_IDEMPOTENT = "irreversible"


class Group(enum.Enum):
    """Which servers share the idempotency keys they have seen, and so drop a repeat of one."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """How an attempt or a probe ended. `proved_not_run` is filled in below."""

    SERVED = "satisfied"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    # An answer that can't be parsed: the server may have executed the attempt, and nothing shows that it is
    # overloaded.
    MALFORMED = "spoilt"
    CANCELLED = "withdrawn"
    NOT_STARTED = "moot"

    proved_not_run: bool


for _outcome in Outcome:
    _outcome.proved_not_run = _outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class Condition(enum.Enum):
    """A server's lifecycle state in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """Whether an update holds changes, the complete list, or a list known before discovery answered."""

    CHANGES = "changes"
    SNAPSHOT = "whole"
    REMEMBERED = "remembered"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The rules for one class of inquiries."""

    name: str
    effect: Effect
    group: Group
    # How long a server remembers an idempotency key.
    dedup_window_us: int
    latency_target_us: int
    deadline_us: int
    # What an answer is worth within the latency target, and after it but before the deadline.
    worth: float
    late_worth: float
    # The zones and server kinds that inquiries may be sent to; empty: any.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @property
    def placement(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """The permitted zones and kinds. Classes with equal placement use the same servers."""
        return self.zones, self.kinds


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its share of the service's capacity."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Entry:
    """A server in the server list. `started_at_us` is 0 for a server that started long ago."""

    server: ServerId
    zone: str
    cell: int
    condition: Condition
    started_at_us: int
    size: float = 1.0
    kind: str = ""

    @property
    def tag(self) -> int:
        """A three-byte checksum of the server's id, which names the server in peer messages."""
        return crc32(self.server.encode()) & 0xFFFFFF


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one node."""

    # 0 is the layer that clients connect to; higher layers get their inquiries from another balancer.
    layer: int
    # How many nodes share the servers, and this node's number among them.
    instances: int
    self_index: int
    # The resolution of the host's timers.
    tick_us: int
    zone: str
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    # The factor applied to the worth of an inquiry whose tenant is beyond its share.
    beyond_share_worth: float
    # Whether the node has to request the server list; otherwise discovery pushes it.
    list_is_pulled: bool
    pull_interval_us: int
    max_attempts: int
    may_cancel: bool
    # Whether a rejection may carry Retry-After, and its longest value.
    may_send_retry_after: bool
    max_retry_after_us: int
    # A server that has just started can do this fraction of its full rate, which grows linearly to 1 over the
    # warm-up time.
    cold_capacity: float
    warm_up_us: int
    # A cold server collapses when it receives clearly more than this multiple of its current rate within the
    # window.
    collapse_multiple: float
    collapse_window_us: int
    report_fields: list[str] = field(default_factory=list)
    # How many nodes exchange peer messages (below 2: none), and this node's number among them.
    peers: int = 0
    peer_index: int = 0


class PeerMessageKind(enum.Enum):
    """What one node tells or asks another about a server."""

    # A query for the server's in-flight count.
    ASK = 1
    # The reply to a query.
    ANSWER = 2
    # The sender has started an attempt at the server.
    SENT = 3
    # An attempt of the sender at the server has ended.
    ENDED = 4


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message between nodes about one server. It may be lost or late; its sender may have just started."""

    kind: PeerMessageKind
    # The server, see `Entry.tag`.
    tag: int
    # Attempts in flight at the server: the sender's own; in a reply, those of all nodes but the recipient.
    attempts: int
    # For a served attempt that ended: how many attempts were in flight at the server when it was sent, itself
    # included (0: unknown).
    in_flight_at_start: int = 0
    latency_us: int = 0
    # In a reply: the sender's estimate of the attempts of all nodes that a server of mean size can take.
    global_limit: float = 0.0


class Host(Protocol):
    """Everything the decisions may do outside themselves. `now` is the clock, in microseconds."""

    @property
    def now(self) -> int:
        """The time on the host's clock, in microseconds."""

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None:
        """Start the next attempt of an inquiry."""

    def reject(self, inquiry: InquiryId, retry_after_us: int) -> None:
        """Answer the inquiry as rejected; a retry is safe, at best after `retry_after_us` (0: no advice)."""

    def fail(self, inquiry: InquiryId) -> None:
        """Answer the inquiry as failed; it may or may not have been executed."""

    def cancel(self, inquiry: InquiryId, attempt: int) -> None:
        """Cancel an attempt. Its end is still reported through `attempt_ended`."""

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        """Send a message to the node with this number; it may arrive late or never."""

    def wake(self, token: str, after_us: int) -> None:
        """Schedule a call of `alarm(token)` after this time."""

    def follow_list(self) -> None:
        """Request the server list and its further changes from discovery."""

    def log(self, text: str) -> None:
        """Write one log line for operators."""
