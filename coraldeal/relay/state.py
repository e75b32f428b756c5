"""What a relay holds of its source's list, and what that comes to for each follower. No I/O, no clock.

The generations are the source's. Of each entry the generation of its last change is kept, of one that is gone
a tombstone, so what changed after any generation is told from state alone, folded, without a log.
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections.abc import Iterable
from typing import Any, NamedTuple

from coraldeal.net.wire import read_list

# Tombstones kept; beyond these the oldest goes, and whoever has not heard of it is told the whole list.
TOMBSTONES_MOST = 10_000
# How far behind its first list a relay asks for the changes, so that it knows for those who come by then what
# they have missed: 50 minutes at 57,000 changes a day.
BACKFILL = 2_000
# Of how many objects that came folded the ends are kept, before the floor goes up.
GAPS_MOST = 4_096
# For how many different places in history one text is kept beside the newest state.
TEXTS_MOST = 16

GONE = "Gone"


class Line(NamedTuple):
    """An entry as it is passed on: its bytes hold all fields, known here or not."""

    name: str
    service: str
    gone: bool
    text: bytes


class Told(NamedTuple):
    """A whole list or changes of it."""

    version: int
    whole: bool
    lines: list[Line]

    def there(self) -> dict[str, None]:
        """The names that are there, whatever is told of their past."""
        return {line.name: None for line in self.lines if not line.gone}


class Unusable(ValueError):
    """What came from a source cannot be taken; the text says what and where."""


class OutOfOrder(Unusable):
    """An older word, or another one of the same generation."""


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is no figure of JSON")


def _text(item: Any) -> bytes:
    return json.dumps(item, separators=(",", ":")).encode()


def _gone(text: bytes) -> bytes:
    """The tombstone of an entry of which no more is told."""
    return _text({**json.loads(text), "lifecycle": GONE})


def _line(item: dict[str, Any]) -> Line:
    service = item.get("service", "")
    if not isinstance(service, str):
        raise ValueError(f"service is no text: {service!r}")
    return Line(str(item["instanceId"]), service, item["lifecycle"] == GONE, _text(item))


def _last(lines: list[Line]) -> list[Line]:
    """Of each name the last line, and before it that it is gone from where else it was."""
    last = {line.name: line for line in lines}
    if len(last) == len(lines):
        return lines
    kept = {(line.name, line.service): line for line in lines}
    return [
        line if line.gone or line is last[line.name] else line._replace(gone=True, text=_gone(line.text))
        for line in kept.values()
    ]


def read_told(text: bytes) -> Told:
    """One object of a source; raises Unusable for one that a node could not read either."""
    try:
        values = json.loads(text, parse_constant=_refuse_constant)
        read_list(values, 0)
        version = values["generation"]
        if not isinstance(version, int) or isinstance(version, bool) or version < 0:
            raise ValueError(f"generation is no whole number: {version!r}")
        return Told(version, bool(values["reset"]), _last([_line(item) for item in values["instances"]]))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise Unusable(f"unreadable, {type(error).__name__}: {error}, in {text[:60]!r}") from None


class Change(NamedTuple):
    """An entry's last change: the entry since, or its tombstone."""

    version: int
    gone: bool
    text: bytes


class Service:
    """The entries and tombstones of one service, in the order of their last changes."""

    __slots__ = ("changed", "changes", "interests", "name", "texts")

    def __init__(self, name: str) -> None:
        self.name = name
        self.changes: dict[str, Change] = {}
        # The generation of the newest of them.
        self.changed = -1
        # Who asks for this service among others.
        self.interests: dict[Interest, None] = {}
        # Encoded once for all of them: what changed after a generation, tombstones and entries apart.
        self.texts: dict[int, tuple[list[bytes], list[bytes]]] = {}

    def put(self, name: str, change: Change) -> None:
        self.changes.pop(name, None)
        self.changes[name] = change
        self.changed = change.version
        self.texts.clear()
        for interest in self.interests:
            interest.changed = change.version

    def date_back(self, version: int) -> None:
        """Nothing here has changed since."""
        self.changes = {name: change._replace(version=version) for name, change in self.changes.items()}
        self.changed = min(self.changed, version)
        self.texts.clear()

    def drop(self, name: str) -> None:
        """Forget a tombstone."""
        self.changes.pop(name, None)
        self.texts.clear()

    def after(self, version: int) -> tuple[list[bytes], list[bytes]]:
        """What changed after a generation, joined: tombstones, then entries; -1: all entries alone."""
        known = self.texts.get(version)
        if known is not None:
            return known
        gone: list[bytes] = []
        there: list[bytes] = []
        for change in reversed(self.changes.values()):
            if change.version <= version:
                break
            (gone if change.gone else there).append(change.text)
        if version < 0:
            gone = []
        joined = (
            [b",".join(reversed(gone))] if gone else [],
            [b",".join(reversed(there))] if there else [],
        )
        if len(self.texts) >= TEXTS_MOST:
            self.texts.clear()
        self.texts[version] = joined
        return joined


class Interest:
    """The services that followers ask for, one object for all who ask for the same."""

    __slots__ = ("changed", "followers", "key", "parts", "texts")

    def __init__(self, key: tuple[str, ...], parts: dict[str, Service]) -> None:
        self.key = key
        # Its services; where none is named, all that there are.
        self.parts = parts
        self.followers = 0
        # The generation of the last change in any of them.
        self.changed = max((part.changed for part in parts.values()), default=-1)
        # Whole objects as they were told last, by the generation they start from.
        self.texts: dict[int, bytes] = {}


class Cursor:
    """How far a follower has been told."""

    __slots__ = ("epoch", "interest", "version", "whole")

    def __init__(self, interest: Interest, version: int, epoch: int, whole: bool) -> None:
        self.interest = interest
        # The last generation it was told, here or elsewhere, and of which history, -1: of another one.
        self.version = version
        self.epoch = epoch
        # Whether nothing but a whole list can be right for it.
        self.whole = whole


class State:
    """The list of one source at its newest generation."""

    __slots__ = (
        "doubt", "entries", "epoch", "floor", "gaps", "interests", "services", "told_at", "tombstones",
        "version",
    )  # fmt: skip

    def __init__(self) -> None:
        self.version = -1
        # Histories are counted: a source that was set back begins another.
        self.epoch = 0
        # From here on changes can be told; before it only a whole list.
        self.floor = 0
        # From which generation to which one object came, the steps between them unknown.
        self.gaps: list[tuple[int, int]] = []
        # A generation up to this one may be of the history before: who comes with it gets a whole list.
        self.doubt = 0
        self.services: dict[str, Service] = {}
        # The service of each entry there is.
        self.entries: dict[str, Service] = {}
        # The oldest tombstones first.
        self.tombstones: dict[tuple[str, str], int] = {}
        self.interests: dict[tuple[str, ...], Interest] = {}
        # Of which generation the texts of interests are.
        self.told_at = (-1, -1)

    # What the source tells.

    def take(self, told: Told, fresh: bool, after: int = -1) -> bool:
        """One object of the source; whether it begins another history. Raises OutOfOrder, nothing taken then.

        `fresh`: it is the first sign on a link set anew, and `after` is the generation asked for there: only
        then is an older word one that the source stands by.
        """
        # Texts of the generation held are good no longer, also where it does not move.
        self.told_at = (-1, -1)
        if self.version < 0 and not told.whole:
            raise OutOfOrder(f"changes of {told.version} without a list before")
        if self.version < 0:
            self.floor = told.version
        elif told.version < self.version or (told.version == self.version and self._differs(told)):
            if fresh and told.whole and (after < 0 or after >= self.version):
                self._begin_anew(told.version)
                self._fold(told)
                return True
            what = "older" if told.version < self.version else "other"
            raise OutOfOrder(f"{what} words of generation {told.version}, held is {self.version}")
        if told.whole:
            self._fold(told)
            return False
        # Asked for from before the first list: the floor goes down to there, for all else is as it was then.
        backfill = fresh and 0 <= after < self.version == self.floor
        if backfill:
            self.floor = after
            for service in self.services.values():
                service.date_back(after)
        self._put_all(told, backfill)
        return False

    def _differs(self, told: Told) -> bool:
        there = told.there()
        for line in told.lines:
            held = self.entries.get(line.name)
            if line.gone:
                if held is not None and line.name not in there:
                    return True
            elif held is None or held.name != line.service or held.changes[line.name].text != line.text:
                return True
        return told.whole and any(name not in there for name in self.entries)

    def _begin_anew(self, version: int) -> None:
        self.epoch += 1
        self.doubt = max(self.doubt, self.version)
        self.floor = self.version = version
        self.gaps.clear()
        self.entries.clear()
        self.tombstones.clear()
        for service in self.services.values():
            service.changes.clear()
            service.texts.clear()
            service.changed = -1
        for interest in self.interests.values():
            interest.changed = version

    def _fold(self, told: Told) -> None:
        """A whole list: what it differs in has changed, what it lacks is gone."""
        there = told.there()
        for name in [name for name in self.entries if name not in there]:
            self._remove(name, told.version, None)
        self._put_all(told, again=False)

    def _put_all(self, told: Told, again: bool) -> None:
        there = told.there()
        if told.lines and 0 <= self.version < told.version - 1:
            # What came and went in between is not known here, nor perhaps where this comes from.
            self.gaps.append((self.version, told.version))
            if len(self.gaps) > GAPS_MOST:
                self.floor = max(self.floor, self.gaps.pop(0)[1])
        moved = {line.name: None for line in told.lines if line.gone and line.name in there}
        for line in told.lines:
            self._put(line, told.version, again, line.name in moved)
        self.version = told.version
        self._bury()

    def _put(self, line: Line, version: int, again: bool, moved: bool) -> None:
        """One line; `moved`: the same object tells that it is gone from one service and in another one."""
        held = self.entries.get(line.name)
        if line.gone:
            if held is not None and (not moved or held.name == line.service):
                self._remove(line.name, version, line.text)
            if held is None or (held.name != line.service and line.service):
                service = self._service(line.service)
                # Also where a tombstone is there: it may have been back, and gone again, in what was folded.
                if again or version > self.version or line.name not in service.changes:
                    self._entomb(service, line.name, version, line.text)
            return
        if held is not None and held.name == line.service and held.changes[line.name].text == line.text:
            if again or moved:
                # Also where nothing is new about it: who is told that it is gone elsewhere must be told this.
                held.put(line.name, Change(version, False, line.text))
                self._all_changed(version)
            return
        if held is not None and held.name != line.service:
            # It has moved: for those who follow its old service alone it is gone.
            self._remove(line.name, version, None)
        service = self._service(line.service)
        self.tombstones.pop((service.name, line.name), None)
        service.put(line.name, Change(version, False, line.text))
        self.entries[line.name] = service
        self._all_changed(version)

    def _remove(self, name: str, version: int, text: bytes | None) -> None:
        """Gone; the tombstone is the source's own word, or the entry with another lifecycle."""
        service = self.entries.pop(name)
        if text is None:
            text = _gone(service.changes[name].text)
        self._entomb(service, name, version, text)

    def _entomb(self, service: Service, name: str, version: int, text: bytes) -> None:
        service.put(name, Change(version, True, text))
        self.tombstones.pop((service.name, name), None)
        self.tombstones[service.name, name] = version
        self._all_changed(version)

    def _bury(self) -> None:
        """Tombstones beyond their number go, the oldest first; who missed one of these needs a whole list."""
        while len(self.tombstones) > TOMBSTONES_MOST:
            (service, name), version = next(iter(self.tombstones.items()))
            del self.tombstones[service, name]
            self.services[service].drop(name)
            self.floor = max(self.floor, version)

    def _all_changed(self, version: int) -> None:
        if (every := self.interests.get(())) is not None:
            every.changed = version

    def _service(self, name: str) -> Service:
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = Service(name)
        return service

    # What followers are told.

    def follow(self, services: Iterable[str], after: int) -> Cursor:
        """A follower that has been told up to `after`, -1: nothing. `leave` when it has gone."""
        key = tuple(sorted(dict.fromkeys(services)))
        interest = self.interests.get(key)
        if interest is None:
            parts = {name: self._service(name) for name in key} if key else self.services
            interest = self.interests[key] = Interest(key, parts)
            for name in key:
                parts[name].interests[interest] = None
        interest.followers += 1
        whole = after < max(self.floor, self.doubt) or self._is_lost(after)
        return Cursor(interest, after, self.epoch if after >= 0 else -1, whole)

    def leave(self, cursor: Cursor) -> None:
        interest = cursor.interest
        interest.followers -= 1
        if interest.followers:
            return
        del self.interests[interest.key]
        for name in interest.key:
            part = self.services[name]
            del part.interests[interest]
            if not part.interests and not part.changes:
                del self.services[name]

    def is_ahead(self, cursor: Cursor) -> bool:
        """Whether it has heard elsewhere what is not held here yet; nothing is told until that is clear."""
        return cursor.version > self.version and cursor.epoch == self.epoch

    def deny(self, cursor: Cursor, version: int) -> None:
        """The source, asked since this follower came, is at a lower generation: it is of another history.

        Nothing is clear where what is held here is above that too; it has to be asked for anew first.
        """
        if self.is_ahead(cursor) and cursor.version > version >= self.version:
            cursor.epoch = -1

    def _is_lost(self, version: int) -> bool:
        """Whether it lies within what came here folded, so that it may have heard what is not known here."""
        at = bisect_left(self.gaps, (version, 0)) - 1
        return at >= 0 and version < self.gaps[at][1]

    def has_news(self, cursor: Cursor) -> bool:
        if cursor.epoch != self.epoch:
            return self.version >= 0
        if cursor.version > self.version:
            return False
        if cursor.whole or cursor.interest.changed > cursor.version:
            return True
        return bool(self.gaps) and self._is_lost(cursor.version)

    def news(self, cursor: Cursor) -> bytes:
        """What it has not been told, in one object that counts as told from now on."""
        version = cursor.version
        whole = cursor.whole or cursor.epoch != self.epoch or version < self.floor or self._is_lost(version)
        text = self._told(cursor.interest, -1 if whole else cursor.version)
        cursor.version, cursor.epoch, cursor.whole = self.version, self.epoch, False
        return text

    def beat(self, cursor: Cursor) -> bytes:
        """The sign that the source lives, for who has no news: a blank line, or the generation if that moved.

        Whoever knows the generation of now is told little wherever it goes on. Empty: nothing may be told.
        """
        if self.is_ahead(cursor):
            return b""
        if cursor.version == self.version:
            return b"\n"
        cursor.version = self.version
        return b'{"generation":%d,"reset":false,"instances":[]}\n' % self.version

    def _told(self, interest: Interest, after: int) -> bytes:
        if self.told_at != (self.epoch, self.version):
            self.told_at = (self.epoch, self.version)
            for known in self.interests.values():
                known.texts.clear()
        text = interest.texts.get(after)
        if text is None:
            gone: list[bytes] = []
            there: list[bytes] = []
            for part in interest.parts.values():
                if part.changed > after:
                    away, here = part.after(after)
                    gone += away
                    there += here
            # An entry that moved from one service to another is gone first and then there.
            text = b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (
                self.version,
                b"true" if after < 0 else b"false",
                b",".join(gone + there),
            )
            if len(interest.texts) >= TEXTS_MOST:
                interest.texts.clear()
            if interest.followers > 1:
                interest.texts[after] = text
        return text
