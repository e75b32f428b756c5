"""What callers, servers and the list wrote down, each for itself; the rules are checked from these alone.

One msgpack file a process. Times are the machine's monotonic clock in whole microseconds; 0 where a thing
never came.
"""

from __future__ import annotations

from pathlib import Path

import msgspec


class TryRow(msgspec.Struct, array_like=True):
    """One try of a caller at one inquiry, as the caller saw it."""

    # The inquiry's place in the plan, the number of the try, the id that went out with it.
    inquiry: int
    number: int
    id: str
    track: str
    tenant: str
    # Which node it went to, and in which tier; -1: straight to a server.
    node: int
    layer: int
    intended_us: int
    # When its first and last byte were handed over.
    sent_us: int = 0
    end_us: int = 0
    patience_us: int = 0
    # 0: no whole answer.
    status: int = 0
    # `whole`: an answer that can be read; `own`: made by a server for this very request.
    whole: bool = False
    own: bool = False
    # Why there is none: "" or left, closed, refused, silent, unreadable, ended (the experiment was over).
    why: str = ""
    # Whether more came after its answer, on the same connection, with nothing asked.
    surplus: bool = False
    # What the answer advised, in microseconds; -1: nothing.
    advice_us: int = -1


class AttemptRow(msgspec.Struct, array_like=True):
    """One request as a server saw it."""

    server: str
    # Which process of that server, counted from its first.
    life: int
    layer: int
    zone: str
    id: str
    mark: str
    track: str
    first_us: int
    last_us: int = 0
    end_us: int = 0
    # How it ended here: served, repeated, error, declined, called_off, killed, spoilt, reset, silent, open.
    how: str = "open"
    ran: bool = False
    work_us: int = 0
    wait_us: int = 0


class ServerRow(msgspec.Struct, array_like=True):
    """Something that happened to a server."""

    server: str
    life: int
    layer: int
    at_us: int
    # up, draining, killed, fell, ended.
    what: str


class ToldRow(msgspec.Struct, array_like=True):
    """When the list told a node of a server."""

    node: int
    layer: int
    at_us: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    generation: int


class ListRow(msgspec.Struct, array_like=True):
    """Something that happened to the list of a tier itself."""

    layer: int
    at_us: int
    # `has`: it knows this of a server from now on; `down`, `up`: it can't be reached, or can again.
    what: str
    server: str = ""
    # Ready, Terminating, Gone.
    condition: str = ""


class LateRow(msgspec.Struct, array_like=True):
    """A loop of the rig itself that ran late."""

    process: str
    at_us: int
    late_us: int


class Book(msgspec.Struct):
    """All rows of one process."""

    process: str = ""
    tries: list[TryRow] = []
    attempts: list[AttemptRow] = []
    servers: list[ServerRow] = []
    told: list[ToldRow] = []
    lists: list[ListRow] = []
    late: list[LateRow] = []
    # CPU seconds this process used while the load ran.
    cpu_s: float = 0.0

    def take_in(self, other: Book) -> None:
        """All of another's rows too."""
        self.tries += other.tries
        self.attempts += other.attempts
        self.servers += other.servers
        self.told += other.told
        self.lists += other.lists
        self.late += other.late
        self.cpu_s += other.cpu_s

    def write(self, path: Path) -> None:
        path.write_bytes(msgspec.msgpack.encode(self))


def read_book(path: Path) -> Book:
    """A book from its file; raises msgspec.DecodeError where it is cut off."""
    return msgspec.msgpack.decode(path.read_bytes(), type=Book)
