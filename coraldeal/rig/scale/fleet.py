"""The fleet of a scale run: servers by service, zone and rack, and which services nodes follow. No I/O.

The fleet is drawn from a seed. Where the target states nothing, this is assumed: the size of a service falls
with its rank to the power 0.6 (the largest of 670 has about 630 of 21,000 servers, the median one 21). A node
follows one, two or three services with probability 0.5, 0.3 and 0.2. The popularity of a service falls with
its own rank in the same way and is independent of its size.
"""

from __future__ import annotations

import msgspec
import numpy as np

from coraldeal.rig.draws import random_stream

# The fleet of the target: numbers of servers, services, zones and regions.
SERVERS, SERVICES, ZONES, REGIONS = 21_000, 670, 41, 11
# Servers in a rack.
RACK_SIZE = 40
# Zones of a smaller fleet have about this many servers or more, so that losing a rack or a zone matters.
MIN_ZONE_SIZE = 50
MIN_SERVICES, MIN_ZONES, MIN_REGIONS = 8, 4, 3
# The exponent of the Zipf distribution of service sizes and popularity.
ZIPF_EXPONENT = 0.6
# The probability that a node follows one, two or three services.
FOLLOWED_PROBABILITIES = (0.5, 0.3, 0.2)
# Base weights of servers in the list, all multiples of 0.5 (`encode_weight`).
WEIGHTS = (0.5, 1.0, 2.0, 4.0)
# The services played with real servers are those whose size is nearest to this.
PLAYED_SERVICE_SIZE = 24


class Place(msgspec.Struct, array_like=True):
    """A slot of the fleet: its address is fixed, while servers in it are replaced."""

    number: int
    service: int
    zone: int
    weight: float


class Follower(msgspec.Struct, array_like=True):
    """A node and the numbers of the services that it follows."""

    number: int
    region: int
    services: list[int]


class Fleet(msgspec.Struct):
    """The servers and followers of a run. A zone's region is its number modulo the number of regions."""

    seed: int
    services: list[str]
    zones: int
    regions: int
    places: list[Place]
    followers: list[Follower]
    # The services whose servers run as stand-ins and answer requests.
    played: list[int]

    def region(self, zone: int) -> int:
        """The region of a zone."""
        return zone % self.regions

    def places_of_service(self, service: int) -> list[Place]:
        """All places of a service."""
        return [place for place in self.places if place.service == service]


def _zipf(count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
    shares = np.arange(1, count + 1, dtype=np.float64) ** -ZIPF_EXPONENT
    return np.asarray(shares / shares.sum())


def _round_within(value: float, minimum: int, maximum: int) -> int:
    return max(minimum, min(maximum, round(value)))


def draw_fleet(servers: int, seed: int, real: int) -> Fleet:
    """Draw `servers` servers with one hollow node each, and `real` nodes that follow played services.

    The same arguments give the same fleet.
    """
    services = _round_within(SERVICES * servers / SERVERS, MIN_SERVICES, SERVICES)
    zones = _round_within(servers / MIN_ZONE_SIZE, MIN_ZONES, ZONES)
    regions = _round_within(REGIONS * zones / ZONES, MIN_REGIONS, REGIONS)
    # Each service has at least one server; the others are distributed by its share.
    sizes = 1 + random_stream(seed, "sizes").multinomial(max(0, servers - services), _zipf(services))
    service_of_place = np.repeat(np.arange(services), sizes)[:servers]
    zone_of_place = random_stream(seed, "zones").permutation(np.arange(len(service_of_place)) % zones)
    weights = random_stream(seed, "weights").choice(len(WEIGHTS), size=len(service_of_place))
    places = [
        Place(
            number, int(service_of_place[number]), int(zone_of_place[number]), WEIGHTS[int(weights[number])]
        )
        for number in range(len(service_of_place))
    ]
    popular = random_stream(seed, "popular").permutation(services)
    draws = random_stream(seed, "followers")
    counts = 1 + draws.choice(len(FOLLOWED_PROBABILITIES), size=len(places), p=FOLLOWED_PROBABILITIES)
    shares = _zipf(services)
    followers = []
    for place in places:
        count = min(int(counts[place.number]), services)
        chosen = sorted({int(popular[rank]) for rank in draws.choice(services, size=count, p=shares)})
        followers.append(Follower(place.number, place.zone % regions, chosen))
    nearest = sorted(
        range(services), key=lambda service: (abs(int(sizes[service]) - PLAYED_SERVICE_SIZE), service)
    )
    played = nearest[: min(2, services)]
    for number in range(real):
        chosen = [played[number % len(played)]]
        followers.append(Follower(len(places) + number, number % regions, chosen))
    names = [f"svc-{number:03d}" for number in range(services)]
    return Fleet(seed, names, zones, regions, places, followers, played)
