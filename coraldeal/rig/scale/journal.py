"""The data of a scale run's timeline: changes of the list, fault windows and a planted fault.

Nothing here does I/O or draws random numbers.
"""

from __future__ import annotations

import msgspec

# Faults of the source itself or of the network path to it.
SOURCE_FAULTS = ("lost", "silent", "apart")
# The lowest digits of a weight hold the server's sequence number, in millionths. Sequence numbers stay below
# half a unit, because base weights are multiples of 0.5.
WEIGHT_SCALE, MAX_SEQUENCES = 1_000_000, 100_000


class Change(msgspec.Struct, array_like=True):
    """One change of the list at the source. Its generation is its index in the timeline plus two."""

    at_us: int
    place: int
    server: str
    # Ready, Terminating, Gone.
    condition: str
    # The number of changes of this server so far, this one included.
    sequence: int
    # The server's weight; its lowest digits hold the sequence number.
    weight: float
    # Whether the server's process has just started.
    restarted: bool
    # The fault that causes the change or in whose window it falls; otherwise "base".
    label: str


class Window(msgspec.Struct, array_like=True):
    """The time span of a fault and the region that it affects; -1: all regions, or none in particular."""

    name: str
    from_us: int
    to_us: int
    region: int = -1


class PlantedFault(msgspec.Struct, array_like=True):
    """A fault planted at one follower that the checker must find: the server, and its changes by index."""

    kind: str
    follower: int
    server: str
    changes: list[int]


class Timeline(msgspec.Struct):
    """All changes and faults of a run."""

    changes: list[Change]
    windows: list[Window]
    plant: PlantedFault | None = None


def generation(index: int) -> int:
    """The generation of the list after the change at this index; the initial list has generation 1."""
    return index + 2


def encode_weight(base: float, sequence: int) -> float:
    """The weight that the list reports: the base weight with the sequence number in its lowest digits.

    This makes every state of a server differ from every other one. A state that a node holds can be matched
    with the change that made it, even behind relays, the wire format and the module.
    """
    return round(base * WEIGHT_SCALE + sequence) / WEIGHT_SCALE


def decode_sequence(weight: float) -> int:
    """The sequence number that `encode_weight` put into a weight."""
    return round(weight * WEIGHT_SCALE) % MAX_SEQUENCES
