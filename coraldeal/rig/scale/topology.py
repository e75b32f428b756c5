"""The addresses that a node asks for its list: the only module that knows how lists travel. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from coraldeal.relay.route import seeded_shuffle


class Topology(Protocol):
    """The way in which lists travel from the source to the nodes."""

    name: str

    def addresses(self, region: int, number: int) -> list[str]:
        """The addresses for node `number` of this region: the one it asks first, then the others in order."""


class Direct:
    """A topology in which every node asks the source at its region's endpoint."""

    name = "direct"

    def __init__(self, endpoints: Mapping[int, str]) -> None:
        self.endpoints = endpoints

    def addresses(self, region: int, number: int) -> list[str]:
        """The endpoint of the region, for every node of it."""
        return [self.endpoints[region]]


class Relays:
    """A topology in which nodes ask the relays of their region.

    Each node has its own order of relays, so that followers are spread evenly.
    """

    name = "relays"

    def __init__(self, regions: Mapping[int, Sequence[str]]) -> None:
        self.regions = regions

    def addresses(self, region: int, number: int) -> list[str]:
        """All relays of the region, in the order of this node."""
        return seeded_shuffle(self.regions[region], str(number))
