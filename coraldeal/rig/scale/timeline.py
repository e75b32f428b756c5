"""Draws the timeline of a scale run from its seed: all changes of the list and all injected faults. No I/O.

Times are whole microseconds from the start. The same fleet, seed and options give the same timeline.
"""

from __future__ import annotations

from collections import Counter, defaultdict

import numpy as np

from coraldeal.rig.draws import random_stream
from coraldeal.rig.scale.fleet import RACK_SIZE, SERVERS, Fleet, Place
from coraldeal.rig.scale.journal import SOURCE_FAULTS, Change, PlantedFault, Timeline, Window, encode_weight

SECOND = 1_000_000
# The factor on the rate of changes in the windows "tenfold", "lost" and "silent".
TENFOLD = 10
# Changes in an hour at the target's rate. While a region is partitioned, as many occur, scaled to the fleet.
CHANGES_PER_HOUR = 2376
# The start and end of each fault, as fractions of the run. rack and zone: all its servers end at once;
# release: servers of a service restart one after another; tenfold: ten times the changes; lost: the source
# resets all connections and refuses new ones; silent: the open watches of a region get nothing more; apart: a
# region is partitioned from the source. The source is lost for at most 3 s, so that its followers have
# reconnected before its next fault.
FAULT_WINDOWS = {
    "rack": (0.02, 0.10),
    "zone": (0.11, 0.22),
    "release": (0.23, 0.36),
    "tenfold": (0.37, 0.45),
    "lost": (0.46, 0.54),
    "silent": (0.63, 0.82),
    "apart": (0.84, 0.98),
}
# The longest time for which the source is lost.
MAX_LOST_US = 3 * SECOND
INJECTED_FAULTS = tuple(FAULT_WINDOWS)
# One follower misses a change, gets two changes in the wrong order, gets changes with an old state, or keeps
# a server that is gone.
PLANTED_FAULTS = ("drop", "swap", "stale", "keep-gone")
# The kinds of base events: a new weight, a drain with a replacement, a failure. To the right, the share of
# all base events and the number of changes that one event makes.
BASE_EVENTS = {"weight": (0.55, 1), "replace": (0.3, 3), "fail": (0.15, 2)}
# How long a server drains and how long a server is down: the times of an hour's run, scaled down.
DRAIN_US, DOWNTIME_US = int(1.0 * SECOND), int(0.7 * SECOND)
# The delay from the start of a fault of the source to the change that it must meet, and the number of
# services that get such a change.
CHANGE_DELAY_US, CHANGED_SERVICES = SECOND // 20, 3
# How often a base event is drawn again when its server is reserved for another event.
MAX_REDRAWS = 50


def initial_server_id(fleet: Fleet, place: Place) -> str:
    """The id of the server that occupies the place at the start."""
    return f"{fleet.services[place.service]}-{place.number}"


class _TimelineDraw:
    """Collects the events of places, and reserves each place for one event at a time.

    An event is a time, a place, a kind ("gone", "back", "drain", "replace" or "weight") and a label.
    """

    def __init__(self, fleet: Fleet, seconds: float, rate: float, injected_faults: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.end_us = int(seconds * SECOND)
        self.rate = rate
        self.windows: list[Window] = []
        self.events: list[tuple[int, int, str, str]] = []
        self.reserved: dict[int, list[tuple[int, int]]] = defaultdict(list)
        draws = random_stream(fleet.seed, "troubles")
        silent = 0
        for name in injected_faults:
            start, end = (int(fraction * self.end_us) for fraction in FAULT_WINDOWS[name])
            region = -1
            if name == "silent":
                silent = region = int(draws.integers(fleet.regions))
            if name == "apart":
                # Another region than the silent one, so that the effects of the two faults stay separate.
                region = (silent + 1 + int(draws.integers(fleet.regions - 1))) % fleet.regions
            if name == "lost":
                end = min(end, start + MAX_LOST_US)
            self.windows.append(Window(name, start, end, region))

    def find_window(self, name: str) -> Window | None:
        """The window of a fault, if the run injects it."""
        return next((window for window in self.windows if window.name == name), None)

    def label_at(self, at_us: int) -> str:
        """The fault in whose window this time falls, or "base"."""
        return next((w.name for w in self.windows if w.from_us <= at_us < w.to_us), "base")

    def add_event(self, at_us: int, place: int, kind: str, label: str) -> None:
        """Add an event of a place."""
        self.events.append((at_us, place, kind, label))

    def reserve(self, place: int, start: int, end: int) -> None:
        """Reserve a place for one event, from `start` to `end`."""
        self.reserved[place].append((start, end))

    def is_free(self, place: int, start: int, end: int) -> bool:
        """Whether the place is not reserved at any time from `start` to `end`."""
        return all(end < other or start > until for other, until in self.reserved[place])

    def add_group_failures(self) -> None:
        """Add the failure of a rack and of a zone: all servers end at once, and restart cold at once."""
        draws = random_stream(self.fleet.seed, "groups")
        by_zone: dict[int, list[int]] = defaultdict(list)
        for place in self.fleet.places:
            by_zone[place.zone].append(place.number)
        for name, count in (("rack", RACK_SIZE), ("zone", None)):
            window = self.find_window(name)
            zone = by_zone[int(draws.integers(self.fleet.zones))]
            if window is None:
                continue
            downtime = (window.to_us - window.from_us) // 2
            for number in zone[:count]:
                self.add_event(window.from_us, number, "gone", name)
                self.add_event(window.from_us + downtime, number, "back", name)
                self.reserve(number, window.from_us, window.from_us + downtime)

    def add_release(self) -> None:
        """Add a release: a tenth of a service, at least three servers, drain and restart one after another.

        One further server drains at the start and never ends.
        """
        window = self.find_window("release")
        if window is None:
            return
        fleet = self.fleet
        service = fleet.played[0]
        draws = random_stream(fleet.seed, "release")
        chosen = [
            int(number) for number in draws.permutation([p.number for p in fleet.places_of_service(service)])
        ]
        chosen = [number for number in chosen if self.is_free(number, window.from_us, window.to_us)]
        chosen = chosen[: max(3, len(chosen) // 10) + 1]
        length = window.to_us - window.from_us
        for order, number in enumerate(chosen[1:]):
            start = window.from_us + order * length // (4 * len(chosen))
            self.add_event(start, number, "drain", "release")
            self.add_event(start + length * 3 // 8, number, "gone", "release")
            self.add_event(start + length * 3 // 4, number, "back", "release")
            self.reserve(number, start, start + length * 3 // 4)
        for number in chosen[:1]:
            self.add_event(window.from_us, number, "drain", "release")
            self.reserve(number, window.from_us, self.end_us)

    def add_changes_after_source_faults(self) -> None:
        """Add a change right after the start of each fault of the source, at the most followed services.

        Random changes alone may all come later, and the run would miss the worst delay that such a fault
        causes.
        """
        followed = Counter(service for follower in self.fleet.followers for service in follower.services)
        for window in self.windows:
            if window.name not in SOURCE_FAULTS:
                continue
            at = window.from_us + CHANGE_DELAY_US
            for service, _ in followed.most_common(CHANGED_SERVICES):
                free = [
                    p.number for p in self.fleet.places_of_service(service) if self.is_free(p.number, at, at)
                ]
                for number in free[:1]:
                    self.add_event(at, number, "weight", window.name)
                    self.reserve(number, at, at)

    def add_base_events(self) -> None:
        """Add random events at the rate that holds at their time."""
        draws = random_stream(self.fleet.seed, "base")
        changes_per_event = sum(share * changes for share, changes in BASE_EVENTS.values())
        kinds = list(BASE_EVENTS)
        shares = [share for share, _ in BASE_EVENTS.values()]
        apart = self.find_window("apart")
        changes_per_hour = CHANGES_PER_HOUR * len(self.fleet.places) / SERVERS
        rates = {window.name: self.rate for window in self.windows}
        rates |= {name: TENFOLD * self.rate for name in rates if name in ("tenfold", "lost", "silent")}
        if apart is not None:
            rates["apart"] = max(self.rate, changes_per_hour * SECOND / (apart.to_us - apart.from_us))
        max_rate = max([self.rate, *rates.values()])
        at = 0.0
        while True:
            # Events are drawn at the highest rate; some are discarded where a lower rate holds.
            at += draws.exponential(SECOND * changes_per_event / max_rate)
            chance = draws.random()
            if at >= self.end_us - DRAIN_US - DOWNTIME_US:
                return
            if chance * max_rate < rates.get(self.label_at(int(at)), self.rate):
                self._add_base_event(int(at), kinds[int(draws.choice(len(kinds), p=shares))], draws)

    def _add_base_event(self, at: int, kind: str, draws: np.random.Generator) -> None:
        last = at + (DRAIN_US + DOWNTIME_US if kind == "replace" else DOWNTIME_US)
        for _ in range(MAX_REDRAWS):
            number = int(draws.integers(len(self.fleet.places)))
            if self.is_free(number, at, last):
                break
        else:
            return
        self.reserve(number, at, last)
        label = self.label_at(at)
        if kind == "weight":
            self.add_event(at, number, "weight", label)
        elif kind == "replace":
            self.add_event(at, number, "drain", label)
            self.add_event(at + DRAIN_US, number, "gone", self.label_at(at + DRAIN_US))
            self.add_event(last, number, "replace", self.label_at(last))
        else:
            self.add_event(at, number, "gone", label)
            self.add_event(last, number, "back", self.label_at(last))

    def add_planted_fault(self, kind: str) -> tuple[int, int]:
        """Add two events of a server that has no others, for a hollow follower of its service to get wrong.

        Returns the numbers of the follower and of the server's place. Raises ValueError if every followed
        server has other events.
        """
        draws = random_stream(self.fleet.seed, f"plant {kind}")
        hollow = self.fleet.followers[: len(self.fleet.places)]
        follower = hollow[int(draws.integers(len(hollow)))]
        places = [
            p.number
            for p in self.fleet.places
            if p.service in follower.services and self.is_free(p.number, 0, self.end_us)
        ]
        if not places:
            # All servers that this follower follows have other events: look for one of another follower.
            for follower in hollow:
                places = [
                    p.number
                    for p in self.fleet.places
                    if p.service in follower.services and self.is_free(p.number, 0, self.end_us)
                ]
                if places:
                    break
            else:
                raise ValueError(
                    "every followed server of this fleet has other events: no fault can be planted"
                )
        number = places[int(draws.integers(len(places)))]
        self.reserve(number, 0, self.end_us)
        first = self.end_us // 3
        self.add_event(first, number, "weight", self.label_at(first))
        second = first + SECOND // 5
        self.add_event(second, number, "gone" if kind == "keep-gone" else "weight", self.label_at(second))
        return follower.number, number

    def changes(self) -> list[Change]:
        """The events in order of time, as changes of the servers that occupy the places then."""
        ids = {place.number: initial_server_id(self.fleet, place) for place in self.fleet.places}
        weights = {place.number: place.weight for place in self.fleet.places}
        sequences: dict[str, int] = {}
        replacements: dict[int, int] = {}
        changes = []
        for at_us, number, kind, label in sorted(self.events, key=lambda event: event[0]):
            if kind == "replace":
                replacements[number] = replacements.get(number, 0) + 1
                ids[number] = (
                    f"{initial_server_id(self.fleet, self.fleet.places[number])}.{replacements[number]}"
                )
            server = ids[number]
            sequence = sequences[server] = sequences.get(server, 0) + 1
            condition = {"gone": "Gone", "drain": "Terminating"}.get(kind, "Ready")
            if kind == "weight":
                weights[number] = 1.0 if weights[number] != 1.0 else 2.0
            weight = encode_weight(weights[number], sequence)
            restarted = kind in ("back", "replace")
            changes.append(Change(at_us, number, server, condition, sequence, weight, restarted, label))
        return changes


def draw_timeline(
    fleet: Fleet,
    seconds: float,
    rate: float,
    injected_faults: tuple[str, ...] = INJECTED_FAULTS,
    plant: str = "",
) -> Timeline:
    """Draw all changes and faults of a run; `rate` is changes per second outside the faults' windows.

    Raises ValueError if the fault named by `plant` can't be planted in this fleet.
    """
    draw = _TimelineDraw(fleet, seconds, rate, injected_faults)
    draw.add_group_failures()
    draw.add_release()
    planted = draw.add_planted_fault(plant) if plant else None
    draw.add_changes_after_source_faults()
    draw.add_base_events()
    changes = draw.changes()
    if planted is None:
        return Timeline(changes, draw.windows)
    follower, number = planted
    of_server = [index for index, change in enumerate(changes) if change.place == number]
    server = changes[of_server[0]].server
    affected = {"drop": of_server[1:], "keep-gone": of_server[1:]}.get(plant, of_server)
    return Timeline(changes, draw.windows, PlantedFault(plant, follower, server, affected))
