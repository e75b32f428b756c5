"""The jobs, messages and records that the processes of a scale run exchange, as msgpack files or JSON lines.

Times are the machine's monotonic clock in whole microseconds.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from coraldeal.rig.scale.journal import PlantedFault, Timeline

T = TypeVar("T")


class InitialServer(msgspec.Struct, array_like=True):
    """A server that the list holds at the start of the run."""

    server: str
    place: int
    service: str
    zone: str
    cell: int
    address: str
    weight: float


class EndpointJob(msgspec.Struct, array_like=True):
    """An address of the source: for a region, or for one node whose services are fixed."""

    region: int
    # The node whose notifications are recorded; -1: the endpoint serves any node and records none.
    node: int = -1
    # The services served here; empty: those that a watch names.
    services: list[str] = []
    planted: bool = False


class SourceJob(msgspec.Struct):
    """The job of the source: endpoints, initial list and timeline; `book` is the path of its records."""

    book: str
    servers: list[InitialServer]
    timeline: Timeline
    doors: list[EndpointJob]


class HollowNodeJob(msgspec.Struct, array_like=True):
    """One hollow node: the addresses it asks for the list, and the services it follows."""

    number: int
    region: int
    zone: str
    # The first is asked; a watch can continue at the others.
    addresses: list[str]
    services: list[str]


class HollowJob(msgspec.Struct):
    """The job of one process of hollow nodes; `book` is the records' path."""

    book: str
    seed: int
    nodes: list[HollowNodeJob]
    # The rate at which watches are opened, per second.
    opened_per_s: float = 200.0
    # A fault planted in a node itself.
    plant: PlantedFault | None = None


class PlayedJob(msgspec.Struct):
    """The job for real servers and callers: `servers` ports, and `rate` inquiries per second per node."""

    book: str
    servers: int
    rate: float


class ReadyMessage(msgspec.Struct):
    """A line from a process: it is ready and has opened these ports."""

    ports: list[int] = []


class Order(msgspec.Struct):
    """A line to a process: start at `begin_us`, with the ports of real nodes for the callers; or stop."""

    begin_us: int = 0
    ports: list[int] = []
    stop: bool = False


class AppliedRecord(msgspec.Struct, array_like=True):
    """The state of a server in a node's module right after the node applied a list message that names it."""

    at_us: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    sequence: int


class NodeRecords(msgspec.Struct, array_like=True):
    """The records of one hollow node: which states it applied when, and what it holds at the end."""

    number: int
    region: int
    services: list[str]
    applied: list[AppliedRecord] = []
    # Full lists received: the time and the generation.
    full_lists: list[tuple[int, int]] = []
    # Condition and sequence by server, at the end of the run.
    final_servers: dict[str, tuple[str, int]] = {}
    # Watches that ended for another reason than silence.
    failures: int = 0


class HollowRecords(msgspec.Struct):
    """The records of one process of hollow nodes; `cpu_s` is its processor time from start to stop."""

    nodes: list[NodeRecords]
    cpu_s: float = 0.0
    # The longest delay of the event loop behind its timers while the timeline was played.
    late_us: int = 0


class NotificationRecord(msgspec.Struct, array_like=True):
    """The time at which the source wrote a server's state to a real node."""

    node: int
    at_us: int
    server: str
    address: str
    condition: str


class SourceRecords(msgspec.Struct):
    """The records of the source.

    `made_us` holds the time of each change, `returned_us` the time at which a partitioned region could reach
    the source again, `told` what the source wrote to real nodes.
    """

    made_us: list[int]
    returned_us: int = 0
    told: list[NotificationRecord] = []
    # Bytes of answers written from start to stop, without TCP and IP headers; then processor time in seconds.
    bytes: int = 0
    cpu_s: float = 0.0
    late_us: int = 0
    # Watches opened while the timeline was played, and how many of them got the full list.
    watches: int = 0
    wholes: int = 0
    # The number of watches that each fault of the source affected.
    struck: dict[str, int] = {}


class ArrivalRecord(msgspec.Struct, array_like=True):
    """The arrival of a request's first byte at a real server."""

    node: int
    at_us: int
    address: str


class PlayedRecords(msgspec.Struct):
    """The records of the real servers and of the callers of real nodes."""

    arrivals: list[ArrivalRecord]
    asked: int = 0
    served: int = 0
    cpu_s: float = 0.0


def write(path: Path, value: msgspec.Struct) -> None:
    """Write a job or the records of a process to a file."""
    path.write_bytes(msgspec.msgpack.encode(value))


def read(path: Path, kind: type[T]) -> T:
    """Read a job or the records of a process; raises msgspec.DecodeError if the file is truncated."""
    return msgspec.msgpack.decode(path.read_bytes(), type=kind)
