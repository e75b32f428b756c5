"""Whom a node asks for its list: the one place that knows how lists travel from the source."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Topology(Protocol):
    """How lists travel."""

    def address(self, region: int, number: int) -> str:
        """Whom a node of this region, with this number, asks."""


class Direct:
    """Every node asks the source, at its region's own address."""

    def __init__(self, doors: Mapping[int, str]) -> None:
        self.doors = doors

    def address(self, region: int, number: int) -> str:
        return self.doors[region]
