"""Messages between the experiment's process and the child processes that it starts, as lines of JSON.

A child reads its job and then parent messages from its standard input, and answers on its standard output.
The end of its input ends the child, so that no child outlives the experiment's process.
"""

from __future__ import annotations

import msgspec

from coraldeal.rig.experiment import Experiment
from coraldeal.rig.timeline import Step


class ServersJob(msgspec.Struct):
    """The stand-in servers of one process: whole groups of each tier."""

    process: str
    # Path of the file for the records of the process.
    book: str
    experiment: Experiment
    seed: int
    # For each tier the indices of the servers in this process.
    places: list[list[int]]
    steps: list[Step]


class CallersJob(msgspec.Struct):
    """The callers of one process."""

    process: str
    # Path of the file for the records of the process.
    book: str
    experiment: Experiment
    seed: int
    # The index of this process among those of callers.
    number: int
    # The number, zone and port of each node or server that callers send to.
    targets: list[tuple[int, str, int]]
    # Whether the targets are nodes; otherwise servers of the first tier.
    to_nodes: bool


class Begin(msgspec.Struct, tag="begin"):
    """Start the load and the timeline; the times are of the rig's clock, in microseconds."""

    start_us: int
    end_us: int


class Nodes(msgspec.Struct, tag="nodes"):
    """The number and port of the node through which each server calls the next tier."""

    ports: dict[str, tuple[int, int]]


class Stop(msgspec.Struct, tag="stop"):
    """Write the records and end."""


class Ready(msgspec.Struct, tag="ready"):
    """A child is up; a process of servers gives the port of each server for each zone of origin."""

    ports: dict[str, dict[str, int]] = {}


class Progress(msgspec.Struct, tag="progress"):
    """The progress of a child, for a live view."""

    # For each server: phase, requests in flight, requests served, speed as a fraction of the configured
    # speed.
    servers: dict[str, tuple[str, int, int, float]] = {}
    counts: dict[str, int] = {}


class Failed(msgspec.Struct, tag="failed"):
    """A child can't continue, and why."""

    why: str


ParentMessage = Begin | Nodes | Stop
ChildMessage = Ready | Progress | Failed
