"""Whom a node asks for its list: the one place that knows how lists travel from the source. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from coraldeal.relay.route import seeded_shuffle


class Topology(Protocol):
    """How lists travel."""

    name: str

    def addresses(self, region: int, number: int) -> list[str]:
        """Whom a node of this region, with this number, asks: the first, then the others in their order."""


class Direct:
    """Every node asks the source, at its region's own address."""

    name = "direct"

    def __init__(self, doors: Mapping[int, str]) -> None:
        self.doors = doors

    def addresses(self, region: int, number: int) -> list[str]:
        return [self.doors[region]]


class Relays:
    """Nodes ask the relays of their region, each in an order of its own, so that followers spread evenly."""

    name = "relays"

    def __init__(self, regions: Mapping[int, Sequence[str]]) -> None:
        self.regions = regions

    def addresses(self, region: int, number: int) -> list[str]:
        return seeded_shuffle(self.regions[region], str(number))
