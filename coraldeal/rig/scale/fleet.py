"""The fleet of a scale run: servers by service, zone and rack, and who follows what. No I/O.

Drawn from a seed. Assumed, where the target says nothing: sizes of services fall with their rank to the
power 0.6 (the largest of 670 has some 630 of 21,000 servers, the middle one 21); a node follows one, two or
three services in five, three and two cases of ten; how popular a service is falls alike and has nothing to
do with its size.
"""

from __future__ import annotations

import msgspec
import numpy as np

from coraldeal.rig.draws import random_stream

# The target: so many servers stand in so many services, zones and regions.
SERVERS, SERVICES, ZONES, REGIONS = 21_000, 670, 41, 11
RACK = 40
# A smaller fleet has zones of no fewer servers than this, so that a rack or a zone is worth losing.
ZONE_LEAST = 50
SERVICES_LEAST, ZONES_LEAST, REGIONS_LEAST = 8, 4, 3
SKEW = 0.6
FOLLOWED = (0.5, 0.3, 0.2)
# Sizes of servers, as the list tells them, all multiples of a half (`weight_of`).
WEIGHTS = (0.5, 1.0, 2.0, 4.0)
# Services that are played with real servers have as near to this many as there are.
PLAYED = 24


class Place(msgspec.Struct, array_like=True):
    """Where a server stands: its address stays, servers come and go."""

    number: int
    service: int
    zone: int
    weight: float


class Follower(msgspec.Struct, array_like=True):
    """A node and the services that it follows, by number."""

    number: int
    region: int
    services: list[int]


class Fleet(msgspec.Struct):
    """Servers and followers. A zone's region is its number modulo the number of regions."""

    seed: int
    services: list[str]
    zones: int
    regions: int
    places: list[Place]
    followers: list[Follower]
    # The services whose servers are real stand-ins.
    played: list[int]

    def region(self, zone: int) -> int:
        return zone % self.regions

    def of_service(self, service: int) -> list[Place]:
        return [place for place in self.places if place.service == service]


def _zipf(count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    parts = np.arange(1, count + 1, dtype=np.float64) ** -SKEW
    return np.asarray(parts / parts.sum())


def _within(value: float, least: int, most: int) -> int:
    return max(least, min(most, round(value)))


def draw_fleet(servers: int, seed: int, real: int) -> Fleet:
    """As many servers, each with its hollow node, and `real` further nodes for services played in full."""
    services = _within(SERVICES * servers / SERVERS, SERVICES_LEAST, SERVICES)
    zones = _within(servers / ZONE_LEAST, ZONES_LEAST, ZONES)
    regions = _within(REGIONS * zones / ZONES, REGIONS_LEAST, REGIONS)
    # Each service has a server; the rest fall to it by its part.
    sizes = 1 + random_stream(seed, "sizes").multinomial(max(0, servers - services), _zipf(services))
    of_place = np.repeat(np.arange(services), sizes)[:servers]
    zone_of = random_stream(seed, "zones").permutation(np.arange(len(of_place)) % zones)
    weights = random_stream(seed, "weights").choice(len(WEIGHTS), size=len(of_place))
    places = [
        Place(number, int(of_place[number]), int(zone_of[number]), WEIGHTS[int(weights[number])])
        for number in range(len(of_place))
    ]
    popular = random_stream(seed, "popular").permutation(services)
    draws = random_stream(seed, "followers")
    counts = 1 + draws.choice(len(FOLLOWED), size=len(places), p=FOLLOWED)
    parts = _zipf(services)
    followers = []
    for place in places:
        count = min(int(counts[place.number]), services)
        chosen = sorted({int(popular[rank]) for rank in draws.choice(services, size=count, p=parts)})
        followers.append(Follower(place.number, place.zone % regions, chosen))
    near = sorted(range(services), key=lambda service: (abs(int(sizes[service]) - PLAYED), service))
    played = near[: min(2, services)]
    for number in range(real):
        chosen = [played[number % len(played)]]
        followers.append(Follower(len(places) + number, number % regions, chosen))
    names = [f"svc-{number:03d}" for number in range(services)]
    return Fleet(seed, names, zones, regions, places, followers, played)
