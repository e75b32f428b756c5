"""What the experiment's own process tells those that it starts, line by line as JSON on their standard input.

A child answers with lines on its standard output. Its input at an end is its own end: none is left behind
when the experiment's process dies.
"""

from __future__ import annotations

import msgspec

from coraldeal.rig.experiment import Experiment
from coraldeal.rig.timeline import Step


class ServersJob(msgspec.Struct):
    """Stand-in servers for one process: whole groups of each tier."""

    process: str
    book: str
    experiment: Experiment
    seed: int
    # For each tier the places of the servers that are here.
    places: list[list[int]]
    steps: list[Step]


class CallersJob(msgspec.Struct):
    """Callers for one process."""

    process: str
    book: str
    experiment: Experiment
    seed: int
    number: int
    # The number, zone and port of each node or server that is sent to.
    targets: list[tuple[int, str, int]]
    to_nodes: bool


class Begin(msgspec.Struct, tag="begin"):
    """The clock's times at which the load and the timeline start and end."""

    start_us: int
    end_us: int


class Nodes(msgspec.Struct, tag="nodes"):
    """The node of its own that each server calls the next tier through: its number and port."""

    ports: dict[str, tuple[int, int]]


class Stop(msgspec.Struct, tag="stop"):
    """Write the book and end."""


class Ready(msgspec.Struct, tag="ready"):
    """A child is up; servers tell the port of each server for each zone of origin."""

    ports: dict[str, dict[str, int]] = {}


class Progress(msgspec.Struct, tag="progress"):
    """How it stands, for a live view."""

    # For servers: phase, in hand, served, speed as a part of the usual.
    servers: dict[str, tuple[str, int, int, float]] = {}
    counts: dict[str, int] = {}


class Failed(msgspec.Struct, tag="failed"):
    """A child that can't go on."""

    why: str


Order = Begin | Nodes | Stop
Told = Ready | Progress | Failed
