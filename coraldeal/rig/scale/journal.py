"""The journal of a scale run: changes, troubles, a planted fault; no I/O, and nothing that draws."""

from __future__ import annotations

import msgspec

# Troubles of the source itself, or of the way to it.
OF_SOURCE = ("lost", "silent", "apart")
# A weight's smallest digits hold the server's sequence: in millionths, under the half that sizes are made of.
STEP, SEQUENCES = 1_000_000, 100_000


class Change(msgspec.Struct, array_like=True):
    """One change at the source. Its generation is its place in the journal and two."""

    at_us: int
    place: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    # How often this server has changed, itself included, and its size, which holds that too.
    sequence: int
    weight: float
    # Whether its process has just started.
    born: bool
    # The trouble that it belongs to, or in whose window it falls; or base.
    label: str


class Window(msgspec.Struct, array_like=True):
    """A trouble's time, and the region that it strikes; -1: all or none."""

    name: str
    from_us: int
    to_us: int
    region: int = -1


class Plant(msgspec.Struct, array_like=True):
    """A fault for one follower, which the run must find: which server, and which changes by their place."""

    kind: str
    follower: int
    server: str
    changes: list[int]


class Timeline(msgspec.Struct):
    """All that happens in a run."""

    changes: list[Change]
    windows: list[Window]
    plant: Plant | None = None


def generation(index: int) -> int:
    """The source's list begins at generation 1."""
    return index + 2


def weight_of(base: float, sequence: int) -> float:
    """A server's size as it is told: its smallest digits hold how often this server has changed.

    So every state of a server differs from every other, and a list can be read back into the journal also
    where relays, the wire and the module lie between.
    """
    return round(base * STEP + sequence) / STEP


def sequence_of(weight: float) -> int:
    return round(weight * STEP) % SEQUENCES
