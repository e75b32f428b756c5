"""Holds a source's list of servers and derives the snapshot or delta that each follower needs.

The module does no I/O and reads no clock. The generations are those of the source. Each entry is kept with
the generation of its last change, and each removed entry as a tombstone. So the changes after any generation
are derived from this state alone, coalesced to the last change of each entry; no log is needed.
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections.abc import Iterable
from typing import Any, NamedTuple

from coraldeal.net.wire import parse_server_list

# How many tombstones are kept. Beyond that the oldest is dropped, and a follower that has not received it
# gets a snapshot.
MAX_TOMBSTONES = 10_000
# How many generations before its first snapshot a relay asks the source for changes, so that it can send
# deltas to followers that come from another relay. At 57,000 changes a day this is 50 minutes.
BACKFILL_GENERATIONS = 2_000
# How many gaps (ranges of generations received as one object) are kept. Beyond that `delta_floor` rises past
# the oldest one.
MAX_GAPS = 4_096
# For how many start generations an encoded text is cached, per service and per subscription.
MAX_CACHED_TEXTS = 16

# The lifecycle of a removed entry.
GONE = "Gone"


class EntryUpdate(NamedTuple):
    """An entry as it is forwarded.

    `encoded` holds all fields of the entry, also those that this module doesn't know.
    """

    name: str
    service: str
    removed: bool
    encoded: bytes


class ListUpdate(NamedTuple):
    """One object of a source: a snapshot (the whole list) or a delta (changes of it)."""

    generation: int
    is_snapshot: bool
    entries: list[EntryUpdate]

    def present_names(self) -> dict[str, None]:
        """The names that have an entry in this update, whether or not they have a tombstone in it too."""
        return {entry.name: None for entry in self.entries if not entry.removed}


class InvalidUpdate(ValueError):
    """An object from a source cannot be applied; the text says what is wrong and where."""


class OutOfOrderUpdate(InvalidUpdate):
    """An object is older than the list held, or differs from it at the same generation."""


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not a JSON number")


def _encode_entry(item: Any) -> bytes:
    return json.dumps(item, separators=(",", ":")).encode()


def _encode_tombstone(encoded: bytes) -> bytes:
    """The tombstone of an encoded entry for whose removal the source sent no text of its own."""
    return _encode_entry({**json.loads(encoded), "lifecycle": GONE})


def _parse_entry(item: dict[str, Any]) -> EntryUpdate:
    service = item.get("service", "")
    if not isinstance(service, str):
        raise ValueError(f"service is not a string: {service!r}")
    return EntryUpdate(str(item["instanceId"]), service, item["lifecycle"] == GONE, _encode_entry(item))


def _keep_last_updates(entries: list[EntryUpdate]) -> list[EntryUpdate]:
    """Keeps the last update of each name, and a tombstone for each other service that names it."""
    last = {entry.name: entry for entry in entries}
    if len(last) == len(entries):
        return entries
    last_by_service = {(entry.name, entry.service): entry for entry in entries}
    return [
        entry
        if entry.removed or entry is last[entry.name]
        else entry._replace(removed=True, encoded=_encode_tombstone(entry.encoded))
        for entry in last_by_service.values()
    ]


def parse_update(text: bytes) -> ListUpdate:
    """Parses one object of a source; raises InvalidUpdate for an object that a node could not read either."""
    try:
        values = json.loads(text, parse_constant=_reject_constant)
        parse_server_list(values, 0)
        generation = values["generation"]
        if not isinstance(generation, int) or isinstance(generation, bool) or generation < 0:
            raise ValueError(f"generation is not an integer of 0 or more: {generation!r}")
        return ListUpdate(
            generation,
            bool(values["reset"]),
            _keep_last_updates([_parse_entry(item) for item in values["instances"]]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise InvalidUpdate(f"unreadable, {type(error).__name__}: {error}, in {text[:60]!r}") from None


class Change(NamedTuple):
    """The last change of an entry: the entry as it has been since then, or its tombstone."""

    generation: int
    removed: bool
    encoded: bytes


class Service:
    """The entries and tombstones of one service, ordered by their last changes."""

    __slots__ = ("changes", "encoded_changes", "last_changed", "name", "subscriptions")

    def __init__(self, name: str) -> None:
        self.name = name
        self.changes: dict[str, Change] = {}
        # The generation of the newest change; -1: none.
        self.last_changed = -1
        # The subscriptions that name this service.
        self.subscriptions: dict[Subscription, None] = {}
        # The tombstones and the entries changed after a generation, by that generation; encoded once for all
        # subscriptions.
        self.encoded_changes: dict[int, tuple[list[bytes], list[bytes]]] = {}

    def record_change(self, name: str, change: Change) -> None:
        """Stores an entry's last change as the newest one of the service."""
        self.changes.pop(name, None)
        self.changes[name] = change
        self.last_changed = change.generation
        self.encoded_changes.clear()
        for subscription in self.subscriptions:
            subscription.last_changed = change.generation

    def backdate(self, generation: int) -> None:
        """Records that nothing in this service has changed since the given generation."""
        self.changes = {name: change._replace(generation=generation) for name, change in self.changes.items()}
        self.last_changed = min(self.last_changed, generation)
        self.encoded_changes.clear()

    def drop_tombstone(self, name: str) -> None:
        """Forgets a tombstone."""
        self.changes.pop(name, None)
        self.encoded_changes.clear()

    def encode_changes(self, after: int) -> tuple[list[bytes], list[bytes]]:
        """The tombstones and the entries changed after a generation, each joined into at most one text.

        With `after` -1 these are all entries and no tombstones.
        """
        cached = self.encoded_changes.get(after)
        if cached is not None:
            return cached
        removed: list[bytes] = []
        present: list[bytes] = []
        for change in reversed(self.changes.values()):
            if change.generation <= after:
                break
            (removed if change.removed else present).append(change.encoded)
        if after < 0:
            removed = []
        joined = (
            [b",".join(reversed(removed))] if removed else [],
            [b",".join(reversed(present))] if present else [],
        )
        if len(self.encoded_changes) >= MAX_CACHED_TEXTS:
            self.encoded_changes.clear()
        self.encoded_changes[after] = joined
        return joined


class Subscription:
    """A set of services, shared by all followers that ask for the same ones."""

    __slots__ = ("encoded_objects", "follower_count", "key", "last_changed", "services")

    def __init__(self, key: tuple[str, ...], services: dict[str, Service]) -> None:
        self.key = key
        # The services named by the followers; where they name none, all services of the list.
        self.services = services
        self.follower_count = 0
        # The generation of the last change in any of the services; -1: none.
        self.last_changed = max((service.last_changed for service in services.values()), default=-1)
        # The encoded objects up to the current generation, by the generation that they start from.
        self.encoded_objects: dict[int, bytes] = {}


class Cursor:
    """A follower's position: the subscription and the last generation that the follower has received."""

    __slots__ = ("epoch", "generation", "needs_snapshot", "subscription")

    def __init__(self, subscription: Subscription, generation: int, epoch: int, needs_snapshot: bool) -> None:
        self.subscription = subscription
        # The last generation received, from this relay or elsewhere (-1: none), and its epoch (-1: not the
        # current one).
        self.generation = generation
        self.epoch = epoch
        # Whether no delta can bring the follower up to date.
        self.needs_snapshot = needs_snapshot


class ListState:
    """The list of one source at its newest generation."""

    __slots__ = (
        "ambiguous_until", "delta_floor", "encoded_at", "entries", "epoch", "gaps", "generation", "services",
        "subscriptions", "tombstones",
    )  # fmt: skip

    def __init__(self) -> None:
        # The newest generation received; -1: no list yet.
        self.generation = -1
        # Counts the source's histories: a source that was reset to an earlier generation begins a new epoch.
        self.epoch = 0
        # Followers at this generation or above can get deltas; below it they need a snapshot.
        self.delta_floor = 0
        # Ranges of generations that were received as one object, so that the steps between are unknown.
        self.gaps: list[tuple[int, int]] = []
        # Generations up to this one exist in an earlier epoch too, so a follower that comes with one of them
        # gets a snapshot.
        self.ambiguous_until = 0
        self.services: dict[str, Service] = {}
        # The service of each entry that exists, by the entry's name.
        self.entries: dict[str, Service] = {}
        # The generation of each tombstone, by its service and name; the oldest first.
        self.tombstones: dict[tuple[str, str], int] = {}
        self.subscriptions: dict[tuple[str, ...], Subscription] = {}
        # The epoch and generation that the encoded objects of the subscriptions belong to.
        self.encoded_at = (-1, -1)

    # Updates from the source.

    def apply_update(self, update: ListUpdate, is_first: bool, after: int = -1) -> bool:
        """Applies one object of the source; true if it begins a new epoch.

        `is_first` says that the object is the first thing received on a new watch, and `after` is the
        generation that this watch asked from. Only then can an older object mean that the source itself was
        reset: the source sent it knowing what is held here. Raises OutOfOrderUpdate, with nothing applied,
        for any other older object.
        """
        # The cached objects are invalid from here on; a backfill changes them at the same generation.
        self.encoded_at = (-1, -1)
        if self.generation < 0 and not update.is_snapshot:
            raise OutOfOrderUpdate(f"delta of generation {update.generation} before any snapshot")
        if self.generation < 0:
            self.delta_floor = update.generation
        elif update.generation < self.generation or (
            update.generation == self.generation and self._differs_from(update)
        ):
            if is_first and update.is_snapshot and (after < 0 or after >= self.generation):
                self._begin_epoch(update.generation)
                self._apply_snapshot(update)
                return True
            what = "older" if update.generation < self.generation else "other"
            raise OutOfOrderUpdate(
                f"{what} data of generation {update.generation}, held is generation {self.generation}"
            )
        if update.is_snapshot:
            self._apply_snapshot(update)
            return False
        # The watch asked from before the first snapshot. What this update doesn't name has not changed since
        # then, so the floor for deltas goes down to `after`.
        is_backfill = is_first and 0 <= after < self.generation == self.delta_floor
        if is_backfill:
            self.delta_floor = after
            for service in self.services.values():
                service.backdate(after)
        self._apply_entries(update, is_backfill)
        return False

    def _differs_from(self, update: ListUpdate) -> bool:
        present = update.present_names()
        for entry in update.entries:
            service = self.entries.get(entry.name)
            if entry.removed:
                if service is not None and entry.name not in present:
                    return True
            elif (
                service is None
                or service.name != entry.service
                or service.changes[entry.name].encoded != entry.encoded
            ):
                return True
        return update.is_snapshot and any(name not in present for name in self.entries)

    def _begin_epoch(self, generation: int) -> None:
        self.epoch += 1
        self.ambiguous_until = max(self.ambiguous_until, self.generation)
        self.delta_floor = self.generation = generation
        self.gaps.clear()
        self.entries.clear()
        self.tombstones.clear()
        for service in self.services.values():
            service.changes.clear()
            service.encoded_changes.clear()
            service.last_changed = -1
        for subscription in self.subscriptions.values():
            subscription.last_changed = generation

    def _apply_snapshot(self, update: ListUpdate) -> None:
        """Applies a snapshot as changes: entries missing from it are removed, the others updated."""
        present = update.present_names()
        for name in [name for name in self.entries if name not in present]:
            self._remove_entry(name, update.generation, None)
        self._apply_entries(update, is_backfill=False)

    def _apply_entries(self, update: ListUpdate, is_backfill: bool) -> None:
        present = update.present_names()
        if update.entries and 0 <= self.generation < update.generation - 1:
            # Entries that were added and removed between the two generations are unknown here, and may be
            # unknown to the source of this object too.
            self.gaps.append((self.generation, update.generation))
            if len(self.gaps) > MAX_GAPS:
                self.delta_floor = max(self.delta_floor, self.gaps.pop(0)[1])
        moved = {entry.name: None for entry in update.entries if entry.removed and entry.name in present}
        for entry in update.entries:
            self._apply_entry(entry, update.generation, is_backfill, entry.name in moved)
        self.generation = update.generation
        self._trim_tombstones()

    def _apply_entry(self, entry: EntryUpdate, generation: int, is_backfill: bool, is_moved: bool) -> None:
        """Applies one entry; `is_moved`: this update removes it from one service and adds it to another."""
        current_service = self.entries.get(entry.name)
        if entry.removed:
            if current_service is not None and (not is_moved or current_service.name == entry.service):
                self._remove_entry(entry.name, generation, entry.encoded)
            if current_service is None or (current_service.name != entry.service and entry.service):
                service = self._get_or_create_service(entry.service)
                # A later update replaces an existing tombstone too: the entry may have been added and removed
                # again within the changes that the update coalesces.
                if is_backfill or generation > self.generation or entry.name not in service.changes:
                    self._add_tombstone(service, entry.name, generation, entry.encoded)
            return
        if (
            current_service is not None
            and current_service.name == entry.service
            and current_service.changes[entry.name].encoded == entry.encoded
        ):
            if is_backfill or is_moved:
                # The entry is recorded as changed though it is the same: followers that get its tombstone
                # from the other service must get the entry after that.
                current_service.record_change(entry.name, Change(generation, False, entry.encoded))
                self._mark_unfiltered_subscription(generation)
            return
        if current_service is not None and current_service.name != entry.service:
            # The entry has moved: followers of its old service alone must see it removed.
            self._remove_entry(entry.name, generation, None)
        service = self._get_or_create_service(entry.service)
        self.tombstones.pop((service.name, entry.name), None)
        service.record_change(entry.name, Change(generation, False, entry.encoded))
        self.entries[entry.name] = service
        self._mark_unfiltered_subscription(generation)

    def _remove_entry(self, name: str, generation: int, encoded: bytes | None) -> None:
        """Replaces an entry by a tombstone: the source's own text or, with None, the entry marked as gone."""
        service = self.entries.pop(name)
        if encoded is None:
            encoded = _encode_tombstone(service.changes[name].encoded)
        self._add_tombstone(service, name, generation, encoded)

    def _add_tombstone(self, service: Service, name: str, generation: int, encoded: bytes) -> None:
        service.record_change(name, Change(generation, True, encoded))
        self.tombstones.pop((service.name, name), None)
        self.tombstones[service.name, name] = generation
        self._mark_unfiltered_subscription(generation)

    def _trim_tombstones(self) -> None:
        """Drops the oldest tombstones beyond the limit; a follower that missed one needs a snapshot."""
        while len(self.tombstones) > MAX_TOMBSTONES:
            (service, name), generation = next(iter(self.tombstones.items()))
            del self.tombstones[service, name]
            self.services[service].drop_tombstone(name)
            self.delta_floor = max(self.delta_floor, generation)

    def _mark_unfiltered_subscription(self, generation: int) -> None:
        """Records the change at the subscription to all services, which no service lists."""
        if (subscription := self.subscriptions.get(())) is not None:
            subscription.last_changed = generation

    def _get_or_create_service(self, name: str) -> Service:
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = Service(name)
        return service

    # Updates for the followers.

    def add_follower(self, services: Iterable[str], after: int) -> Cursor:
        """Registers a follower that has received generation `after` (-1: nothing) and returns its cursor.

        No services named means all services. The caller passes the cursor to `remove_follower` at the end.
        """
        key = tuple(sorted(dict.fromkeys(services)))
        subscription = self.subscriptions.get(key)
        if subscription is None:
            subscribed = {name: self._get_or_create_service(name) for name in key} if key else self.services
            subscription = self.subscriptions[key] = Subscription(key, subscribed)
            for name in key:
                subscribed[name].subscriptions[subscription] = None
        subscription.follower_count += 1
        needs_snapshot = after < max(self.delta_floor, self.ambiguous_until) or self._is_in_gap(after)
        return Cursor(subscription, after, self.epoch if after >= 0 else -1, needs_snapshot)

    def remove_follower(self, cursor: Cursor) -> None:
        """Ends a follower's subscription and forgets services that are empty and no longer subscribed to."""
        subscription = cursor.subscription
        subscription.follower_count -= 1
        if subscription.follower_count:
            return
        del self.subscriptions[subscription.key]
        for name in subscription.key:
            service = self.services[name]
            del service.subscriptions[subscription]
            if not service.subscriptions and not service.changes:
                del self.services[name]

    def is_ahead(self, cursor: Cursor) -> bool:
        """Whether a follower has received a newer generation elsewhere than the one held here.

        Such a follower is sent nothing until it is clear whether its generation is of the current epoch.
        """
        return cursor.generation > self.generation and cursor.epoch == self.epoch

    def invalidate_if_ahead(self, cursor: Cursor, source_generation: int) -> None:
        """Treats a follower's generation as one of another epoch if the source itself is at a lower one.

        The source was asked after the follower came. Where the list held here is ahead of the source too,
        nothing is known about the follower yet: the list has to be fetched again first.
        """
        if self.is_ahead(cursor) and cursor.generation > source_generation >= self.generation:
            cursor.epoch = -1

    def _is_in_gap(self, generation: int) -> bool:
        """Whether a generation lies inside a gap: a follower at it may hold entries that are unknown here."""
        at = bisect_left(self.gaps, (generation, 0)) - 1
        return at >= 0 and generation < self.gaps[at][1]

    def has_update(self, cursor: Cursor) -> bool:
        """Whether a follower has to be sent a delta or a snapshot."""
        if cursor.epoch != self.epoch:
            return self.generation >= 0
        if cursor.generation > self.generation:
            return False
        if cursor.needs_snapshot or cursor.subscription.last_changed > cursor.generation:
            return True
        return bool(self.gaps) and self._is_in_gap(cursor.generation)

    def encode_update(self, cursor: Cursor) -> bytes:
        """Encodes what a follower has not received as one object, and advances its cursor to the present."""
        generation = cursor.generation
        is_snapshot = (
            cursor.needs_snapshot
            or cursor.epoch != self.epoch
            or generation < self.delta_floor
            or self._is_in_gap(generation)
        )
        text = self._encode_object(cursor.subscription, -1 if is_snapshot else cursor.generation)
        cursor.generation, cursor.epoch, cursor.needs_snapshot = self.generation, self.epoch, False
        return text

    def encode_heartbeat(self, cursor: Cursor) -> bytes:
        """Encodes the sign that the source is alive, for a follower that has no update to receive.

        The sign is a blank line, or an empty delta where the generation has risen: a follower that knows the
        current generation needs only a small delta when it goes on elsewhere. A follower that is ahead is
        sent nothing, so the result is empty.
        """
        if self.is_ahead(cursor):
            return b""
        if cursor.generation == self.generation:
            return b"\n"
        cursor.generation = self.generation
        return b'{"generation":%d,"reset":false,"instances":[]}\n' % self.generation

    def _encode_object(self, subscription: Subscription, after: int) -> bytes:
        """Encodes the delta after a generation, or the snapshot for -1; caches it if followers share it."""
        if self.encoded_at != (self.epoch, self.generation):
            self.encoded_at = (self.epoch, self.generation)
            for each in self.subscriptions.values():
                each.encoded_objects.clear()
        text = subscription.encoded_objects.get(after)
        if text is None:
            removed: list[bytes] = []
            present: list[bytes] = []
            for service in subscription.services.values():
                if service.last_changed > after:
                    service_removed, service_present = service.encode_changes(after)
                    removed += service_removed
                    present += service_present
            # Tombstones come before entries, so that an entry that moved between services ends up present.
            text = b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (
                self.generation,
                b"true" if after < 0 else b"false",
                b",".join(removed + present),
            )
            if len(subscription.encoded_objects) >= MAX_CACHED_TEXTS:
                subscription.encoded_objects.clear()
            if subscription.follower_count > 1:
                subscription.encoded_objects[after] = text
        return text
