"""What happens to the fleet and its source, drawn ahead from the seed: the journal of changes. No I/O.

Times are whole microseconds from the start. The same fleet, seed and options give the same journal.
"""

from __future__ import annotations

from collections import Counter, defaultdict

import numpy as np

from coraldeal.rig.draws import random_stream
from coraldeal.rig.scale.fleet import RACK, SERVERS, Fleet, Place
from coraldeal.rig.scale.journal import OF_SOURCE, Change, Plant, Timeline, Window, weight_of

SECOND = 1_000_000
TENFOLD = 10
# Changes of an hour at the target's rate; they come while a region is cut, in proportion to the fleet.
OF_AN_HOUR = 2376
# Where each trouble begins and ends, as a part of the run. The distributor is away for 3 s at the most; its
# followers are back before the next trouble of the source strikes.
WINDOWS = {
    "rack": (0.02, 0.10),
    "zone": (0.11, 0.22),
    "release": (0.23, 0.36),
    "tenfold": (0.37, 0.45),
    "lost": (0.46, 0.54),
    "silent": (0.63, 0.82),
    "apart": (0.84, 0.98),
}
LOST_MOST = 3 * SECOND
TROUBLES = tuple(WINDOWS)
PLANTS = ("drop", "swap", "stale", "keep-gone")
# A base event is a new setting of weight, a drain with a replacement, or a failure, in these parts; it makes
# one, three or two changes.
EVENTS = {"weight": (0.55, 1), "replace": (0.3, 3), "fail": (0.15, 2)}
# How long a drained server finishes what it has and how long one is away, an hour's run in small.
DRAIN, AWAY = int(1.0 * SECOND), int(0.7 * SECOND)
# How long after its begin a trouble of the source meets a change, and at how many services.
STRIKE, STRUCK = SECOND // 20, 3
# A base event on a server that has another is drawn anew, so many times.
TRIES = 50


def first_id(fleet: Fleet, place: Place) -> str:
    """The server that stands there at the start."""
    return f"{fleet.services[place.service]}-{place.number}"


class _Draw:
    """Things that are to happen to places, and who is busy when."""

    def __init__(self, fleet: Fleet, seconds: float, rate: float, troubles: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.end_us = int(seconds * SECOND)
        self.rate = rate
        self.windows: list[Window] = []
        self.acts: list[tuple[int, int, str, str]] = []
        self.busy: dict[int, list[tuple[int, int]]] = defaultdict(list)
        draws = random_stream(fleet.seed, "troubles")
        silent = 0
        for name in troubles:
            start, end = (int(part * self.end_us) for part in WINDOWS[name])
            region = -1
            if name == "silent":
                silent = region = int(draws.integers(fleet.regions))
            if name == "apart":
                # Another than the one that fell silent, so that each is seen for itself.
                region = (silent + 1 + int(draws.integers(fleet.regions - 1))) % fleet.regions
            if name == "lost":
                end = min(end, start + LOST_MOST)
            self.windows.append(Window(name, start, end, region))

    def window(self, name: str) -> Window | None:
        return next((window for window in self.windows if window.name == name), None)

    def label(self, at_us: int) -> str:
        return next((w.name for w in self.windows if w.from_us <= at_us < w.to_us), "base")

    def act(self, at_us: int, place: int, what: str, label: str) -> None:
        self.acts.append((at_us, place, what, label))

    def keep(self, place: int, start: int, end: int) -> None:
        self.busy[place].append((start, end))

    def free(self, place: int, start: int, end: int) -> bool:
        return all(end < other or start > until for other, until in self.busy[place])

    def groups(self) -> None:
        """A rack, a zone: gone at once, back cold at once."""
        draws = random_stream(self.fleet.seed, "groups")
        by_zone: dict[int, list[int]] = defaultdict(list)
        for place in self.fleet.places:
            by_zone[place.zone].append(place.number)
        for name, part in (("rack", RACK), ("zone", None)):
            window = self.window(name)
            zone = by_zone[int(draws.integers(self.fleet.zones))]
            if window is None:
                continue
            away = (window.to_us - window.from_us) // 2
            for number in zone[:part]:
                self.act(window.from_us, number, "gone", name)
                self.act(window.from_us + away, number, "back", name)
                self.keep(number, window.from_us, window.from_us + away)

    def release(self) -> None:
        """A tenth of a service, three servers at the least, one after another; one stays drained for good."""
        window = self.window("release")
        if window is None:
            return
        fleet = self.fleet
        service = fleet.played[0]
        draws = random_stream(fleet.seed, "release")
        chosen = [int(number) for number in draws.permutation([p.number for p in fleet.of_service(service)])]
        chosen = [number for number in chosen if self.free(number, window.from_us, window.to_us)]
        chosen = chosen[: max(3, len(chosen) // 10) + 1]
        length = window.to_us - window.from_us
        for order, number in enumerate(chosen[1:]):
            start = window.from_us + order * length // (4 * len(chosen))
            self.act(start, number, "drain", "release")
            self.act(start + length * 3 // 8, number, "gone", "release")
            self.act(start + length * 3 // 4, number, "back", "release")
            self.keep(number, start, start + length * 3 // 4)
        for number in chosen[:1]:
            self.act(window.from_us, number, "drain", "release")
            self.keep(number, window.from_us, self.end_us)

    def strikes(self) -> None:
        """A change right after each trouble of the source began, at the services that most follow.

        By chance alone none may fall so early, and the worst that such a trouble makes would not be seen.
        """
        followed = Counter(service for follower in self.fleet.followers for service in follower.services)
        for window in self.windows:
            if window.name not in OF_SOURCE:
                continue
            at = window.from_us + STRIKE
            for service, _ in followed.most_common(STRUCK):
                free = [p.number for p in self.fleet.of_service(service) if self.free(p.number, at, at)]
                for number in free[:1]:
                    self.act(at, number, "weight", window.name)
                    self.keep(number, at, at)

    def base(self) -> None:
        """Changes by chance at the rate of their moment."""
        draws = random_stream(self.fleet.seed, "base")
        mean = sum(part * changes for part, changes in EVENTS.values())
        kinds = list(EVENTS)
        parts = [part for part, _ in EVENTS.values()]
        apart = self.window("apart")
        hour = OF_AN_HOUR * len(self.fleet.places) / SERVERS
        rates = {window.name: self.rate for window in self.windows}
        rates |= {name: TENFOLD * self.rate for name in rates if name in ("tenfold", "lost", "silent")}
        if apart is not None:
            rates["apart"] = max(self.rate, hour * SECOND / (apart.to_us - apart.from_us))
        most = max([self.rate, *rates.values()])
        at = 0.0
        while True:
            # Drawn at the highest rate and thinned out where less is due.
            at += draws.exponential(SECOND * mean / most)
            chance = draws.random()
            if at >= self.end_us - DRAIN - AWAY:
                return
            if chance * most < rates.get(self.label(int(at)), self.rate):
                self._event(int(at), kinds[int(draws.choice(len(kinds), p=parts))], draws)

    def _event(self, at: int, kind: str, draws: np.random.Generator) -> None:
        last = at + (DRAIN + AWAY if kind == "replace" else AWAY)
        for _ in range(TRIES):
            number = int(draws.integers(len(self.fleet.places)))
            if self.free(number, at, last):
                break
        else:
            return
        self.keep(number, at, last)
        label = self.label(at)
        if kind == "weight":
            self.act(at, number, "weight", label)
        elif kind == "replace":
            self.act(at, number, "drain", label)
            self.act(at + DRAIN, number, "gone", self.label(at + DRAIN))
            self.act(last, number, "replace", self.label(last))
        else:
            self.act(at, number, "gone", label)
            self.act(last, number, "back", self.label(last))

    def plant(self, kind: str) -> tuple[int, int]:
        """A server that has no other changes, and a hollow follower of its service: two acts on it."""
        draws = random_stream(self.fleet.seed, f"plant {kind}")
        hollow = self.fleet.followers[: len(self.fleet.places)]
        follower = hollow[int(draws.integers(len(hollow)))]
        places = [
            p.number
            for p in self.fleet.places
            if p.service in follower.services and self.free(p.number, 0, self.end_us)
        ]
        if not places:
            # All its servers have troubles: another follower has one that has none.
            for follower in hollow:
                places = [
                    p.number
                    for p in self.fleet.places
                    if p.service in follower.services and self.free(p.number, 0, self.end_us)
                ]
                if places:
                    break
            else:
                raise ValueError("no server of this fleet is without troubles: nothing can be planted")
        number = places[int(draws.integers(len(places)))]
        self.keep(number, 0, self.end_us)
        first = self.end_us // 3
        self.act(first, number, "weight", self.label(first))
        second = first + SECOND // 5
        self.act(second, number, "gone" if kind == "keep-gone" else "weight", self.label(second))
        return follower.number, number

    def journal(self) -> list[Change]:
        """The acts in their order, as changes of the servers that stand there then."""
        ids = {place.number: first_id(self.fleet, place) for place in self.fleet.places}
        weights = {place.number: place.weight for place in self.fleet.places}
        sequences: dict[str, int] = {}
        lives: dict[int, int] = {}
        changes = []
        for at_us, number, what, label in sorted(self.acts, key=lambda act: act[0]):
            if what == "replace":
                lives[number] = lives.get(number, 0) + 1
                ids[number] = f"{first_id(self.fleet, self.fleet.places[number])}.{lives[number]}"
            server = ids[number]
            sequence = sequences[server] = sequences.get(server, 0) + 1
            condition = {"gone": "Gone", "drain": "Terminating"}.get(what, "Ready")
            if what == "weight":
                weights[number] = 1.0 if weights[number] != 1.0 else 2.0
            weight = weight_of(weights[number], sequence)
            born = what in ("back", "replace")
            changes.append(Change(at_us, number, server, condition, sequence, weight, born, label))
        return changes


def draw_timeline(
    fleet: Fleet, seconds: float, rate: float, troubles: tuple[str, ...] = TROUBLES, plant: str = ""
) -> Timeline:
    """All changes and troubles of a run; `rate` is changes a second where nothing special happens."""
    draw = _Draw(fleet, seconds, rate, troubles)
    draw.groups()
    draw.release()
    planted = draw.plant(plant) if plant else None
    draw.strikes()
    draw.base()
    changes = draw.journal()
    if planted is None:
        return Timeline(changes, draw.windows)
    follower, number = planted
    of_server = [index for index, change in enumerate(changes) if change.place == number]
    server = changes[of_server[0]].server
    meant = {"drop": of_server[1:], "keep-gone": of_server[1:]}.get(plant, of_server)
    return Timeline(changes, draw.windows, Plant(plant, follower, server, meant))
