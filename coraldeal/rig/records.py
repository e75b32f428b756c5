"""Records that callers, servers and lists write, each for itself; the rules are checked from these alone.

Each process writes one msgpack file. Times are the machine's monotonic clock in whole microseconds; 0 means
that the event never happened. Array-like structures are written by position: the order of their fields is the
format. A layer is the index of a tier: 0 is the tier that the nodes call.
"""

from __future__ import annotations

from pathlib import Path

import msgspec


class TryRecord(msgspec.Struct, array_like=True):
    """One try of a caller at one inquiry, as the caller saw it."""

    # The inquiry's index in the plan, the number of the try, and the request id that was sent.
    inquiry: int
    number: int
    id: str
    request_class: str
    tenant: str
    # The node that the try was sent to, and its layer; node -1: the try went straight to a server.
    node: int
    layer: int
    intended_us: int
    # When the request was written to the connection, and when the try ended.
    sent_us: int = 0
    end_us: int = 0
    # Time left for the try when it was sent, in microseconds.
    deadline_us: int = 0
    # HTTP status; 0: no complete answer.
    status: int = 0
    # `is_complete`: an answer that can be parsed; `is_own`: a server made the answer for this very request.
    is_complete: bool = False
    is_own: bool = False
    # Why there is no answer: "" or left, closed, refused, silent, unreadable, ended (the experiment ended).
    # `again` and `resent`: the request was sent to the next node, or once more on a new connection.
    failure: str = ""
    # Whether more bytes followed the answer on the same connection, with no request open.
    has_surplus: bool = False
    # The value of Retry-After, in microseconds; -1: the answer had none.
    retry_after_us: int = -1


class AttemptRecord(msgspec.Struct, array_like=True):
    """One request as a server saw it."""

    server: str
    # The number of the server's process: 0 is the first, and each restart adds 1.
    incarnation: int
    layer: int
    # The zone that the request came from.
    zone: str
    id: str
    idempotency_key: str
    request_class: str
    # When the first and the last byte of the request arrived, and when the request ended.
    first_us: int
    last_us: int = 0
    end_us: int = 0
    # The result: served, repeated, error, declined, called_off, killed, spoilt, reset, silent, open.
    result: str = "open"
    # Whether the server began the work.
    ran: bool = False
    work_us: int = 0
    wait_us: int = 0


class ServerRecord(msgspec.Struct, array_like=True):
    """A change in the life of a server process."""

    server: str
    incarnation: int
    layer: int
    at_us: int
    # up, draining, killed, fell, ended.
    event: str


class NotificationRecord(msgspec.Struct, array_like=True):
    """The list notified a node of a server's condition."""

    node: int
    layer: int
    at_us: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    generation: int


class ListRecord(msgspec.Struct, array_like=True):
    """A change of a tier's list itself."""

    layer: int
    at_us: int
    # `has`: the list holds this condition of the server from now on; `down`, `up`: the list is unreachable,
    # or reachable again.
    event: str
    server: str = ""
    # Ready, Terminating, Gone.
    condition: str = ""


class LatenessRecord(msgspec.Struct, array_like=True):
    """An event loop of the rig itself ran late by `late_us`."""

    process: str
    at_us: int
    late_us: int


class Records(msgspec.Struct):
    """All records of one process."""

    process: str = ""
    tries: list[TryRecord] = []
    attempts: list[AttemptRecord] = []
    servers: list[ServerRecord] = []
    # Notifications of nodes by the list.
    told: list[NotificationRecord] = []
    lists: list[ListRecord] = []
    late: list[LatenessRecord] = []
    # CPU seconds that this process used while the load ran.
    cpu_s: float = 0.0

    def merge(self, other: Records) -> None:
        """Add all records and the CPU time of another process."""
        self.tries += other.tries
        self.attempts += other.attempts
        self.servers += other.servers
        self.told += other.told
        self.lists += other.lists
        self.late += other.late
        self.cpu_s += other.cpu_s

    def write(self, path: Path) -> None:
        """Write the records to a msgpack file; raises OSError."""
        path.write_bytes(msgspec.msgpack.encode(self))


def read_records(path: Path) -> Records:
    """Read records from their file; raises OSError, and msgspec.DecodeError if the file is truncated."""
    return msgspec.msgpack.decode(path.read_bytes(), type=Records)
