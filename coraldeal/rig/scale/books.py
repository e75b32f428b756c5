"""What the processes of a scale run are told and write down, in files of msgpack.

Times are the machine's monotonic clock in whole microseconds.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from coraldeal.rig.scale.journal import Plant, Timeline

T = TypeVar("T")


class Standing(msgspec.Struct, array_like=True):
    """A server as the list begins with it."""

    server: str
    place: int
    service: str
    zone: str
    cell: int
    address: str
    weight: float


class DoorJob(msgspec.Struct, array_like=True):
    """An address of the source: of a region, or of one node whose services stand fixed."""

    region: int
    # The node whose watch is written down; -1: any may come.
    node: int = -1
    # Empty: those that a watch names.
    services: list[str] = []
    planted: bool = False


class SourceJob(msgspec.Struct):
    """All that the source does."""

    book: str
    servers: list[Standing]
    timeline: Timeline
    doors: list[DoorJob]


class HollowNode(msgspec.Struct, array_like=True):
    """One hollow node: whom it asks, and for what."""

    number: int
    region: int
    zone: str
    # The first is asked; the others are there for a watch that can go on elsewhere.
    addresses: list[str]
    services: list[str]


class HollowJob(msgspec.Struct):
    """Hollow nodes for one process."""

    book: str
    seed: int
    nodes: list[HollowNode]
    # Watches are opened so many a second.
    opened_per_s: float = 200.0
    # A fault of a node itself.
    plant: Plant | None = None


class PlayedJob(msgspec.Struct):
    """Servers and callers for the real nodes: as many ports, and so many inquiries a second for each node."""

    book: str
    servers: int
    rate: float


class Told(msgspec.Struct):
    """One line from a process: that it is ready, with what it has opened."""

    ports: list[int] = []


class Order(msgspec.Struct):
    """One line to a process: begin at this time, with the ports of real nodes for callers; or end."""

    begin_us: int = 0
    ports: list[int] = []
    stop: bool = False


class ListedRow(msgspec.Struct, array_like=True):
    """What the module of a node held of a server right after it was told of it."""

    at_us: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    sequence: int


class NodeBook(msgspec.Struct, array_like=True):
    """One hollow node: what came into force when, and what it holds at the end."""

    number: int
    region: int
    services: list[str]
    rows: list[ListedRow] = []
    # Whole lists told: when, and of which generation.
    wholes: list[tuple[int, int]] = []
    held: dict[str, tuple[str, int]] = {}
    # Watches that ended otherwise than by silence.
    failures: int = 0


class HollowBook(msgspec.Struct):
    """One process of hollow nodes; seconds of processor from begin to stop."""

    nodes: list[NodeBook]
    cpu_s: float = 0.0
    # The latest that the loop ran behind its timers while the timeline was played.
    late_us: int = 0


class ToldRow(msgspec.Struct, array_like=True):
    """When the source wrote a server's state to a real node."""

    node: int
    at_us: int
    server: str
    address: str
    condition: str


class SourceBook(msgspec.Struct):
    """The source: when each change was made, when a cut region could reach it again, what it wrote."""

    made_us: list[int]
    returned_us: int = 0
    told: list[ToldRow] = []
    # Bytes of answers written from begin to stop, without those of TCP and IP, and seconds of processor.
    bytes: int = 0
    cpu_s: float = 0.0
    late_us: int = 0
    # Watches that began while the timeline was played, and how many of these were told the whole list.
    watches: int = 0
    wholes: int = 0
    # How many watches each trouble of the source struck.
    struck: dict[str, int] = {}


class ArrivalRow(msgspec.Struct, array_like=True):
    """The first byte of a request at a real server."""

    node: int
    at_us: int
    address: str


class PlayedBook(msgspec.Struct):
    """Real servers and the callers of real nodes."""

    arrivals: list[ArrivalRow]
    asked: int = 0
    served: int = 0
    cpu_s: float = 0.0


def write(path: Path, value: msgspec.Struct) -> None:
    path.write_bytes(msgspec.msgpack.encode(value))


def read(path: Path, kind: type[T]) -> T:
    """Raises msgspec.DecodeError where the file is cut off."""
    return msgspec.msgpack.decode(path.read_bytes(), type=kind)
