"""The network's words to and from our types: headers, answers, load reports, the list of servers. All pure.

Beyond this file a request is an inquiry and an attempt is an attempt.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import quote

from yarl import URL

from coraldeal.interface import Condition, Entry, Outcome, ServerId

if TYPE_CHECKING:
    from coraldeal.net.bodies import StreamedBody
    from coraldeal.net.servers import Rest

READY_PATH = "/ready"
HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
LIST_PATH = "/v1/endpoints"

# Up to what length an answer, and a body in any case, is taken whole.
BODY_MOST = 64 * 1024

CONDITIONS = {"Ready": Condition.READY, "Terminating": Condition.DRAINING, "Gone": Condition.GONE}
UNITS = {"m": 1000, "u": 1}
METHODS = ("GET", "POST", "HEAD")

# What belongs to one connection, or is written anew for each.
OF_THE_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
NOT_TO_SERVERS = OF_THE_HOP | {b"req-deadline", b"req-retry"}
NOT_TO_CALLERS = OF_THE_HOP | {b"srv-load", b"srv-declined", b"date", b"server"}

# What frames an object in a stream of JSON: whole strings, braces, and the quote of a string not yet whole.
_FRAME = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}"]', re.DOTALL)
# An object of a watch may hold so many bytes; a list of ten thousand servers has some two million.
OBJECT_MOST = 16 * 1024 * 1024

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,9})?)([mu])")

RawHeaders = Iterable[tuple[bytes, bytes]]


class BadCall(Exception):
    """A request that no inquiry can be made of."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request: the fields that decisions need, and the bytes that go on unchanged."""

    request_id: str
    track: str
    tenant: str | None
    # How long the caller will wait; None: as long as the track's patience.
    left_us: int | None
    repeat: bool
    head: bytes
    body: bytes
    # What is still to come of a large body, and the length of all of it where that is known.
    rest: StreamedBody | None = None
    length: int | None = None

    def written(self, wait_us: int) -> bytes:
        """The bytes of one attempt, which tell the server how long the node will wait."""
        if self.rest is not None and self.length is None:
            form = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(self.body), self.body)
        else:
            length = len(self.body) if self.length is None else self.length
            form = b"Content-Length: %d\r\n\r\n%b" % (length, self.body)
        return b"%bReq-Deadline: %du\r\n%b" % (self.head, max(1, wait_us), form)

    def framed(self, piece: bytes) -> bytes:
        """One more piece of the rest, empty for its end, as it is written."""
        if self.length is not None:
            return piece
        return b"%x\r\n%b\r\n" % (len(piece), piece)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller is told at the end."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    # What is still to come of it, where it is passed on as it comes.
    rest: Rest | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt or a probe ended, with the answer where there was one."""

    outcome: Outcome
    latency_us: int
    report: dict[str, float] | None = None
    answer: Answer | None = None


class Listed(NamedTuple):
    """A line of the list of servers and where that server is reached from here."""

    entry: Entry
    address: str


class ServerList(NamedTuple):
    """A whole list or changes of it."""

    version: int
    whole: bool
    servers: list[Listed]
    # When each started, in Unix milliseconds as the list words it, 0 for long ago.
    started_ms: Mapping[ServerId, int] = MappingProxyType({})


def _duration_us(text: str) -> int:
    match = _DURATION.fullmatch(text)
    if match is None:
        raise BadCall(400, "Req-Deadline is not a number with the unit m or u")
    return int(float(match[1]) * UNITS[match[2]])


def _kept(headers: RawHeaders, dropped: Collection[bytes]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def track_of(target: str) -> str:
    """The first part of the path."""
    return path_of(target).partition("?")[0].lstrip("/").partition("/")[0]


def path_of(target: str) -> str:
    """A target in absolute form without its scheme and host."""
    if target[:7].lower() == "http://":
        return "/" + target[7:].partition("/")[2]
    return target


def read_call(
    method: str, target: str, fields: Mapping[str, str], raw: RawHeaders, body: bytes, tracks: Collection[str]
) -> Call:
    """An inquiry from a caller's request, with as much of its body as has come."""
    target = path_of(target)
    track = track_of(target)
    if not target.startswith("/") or track not in tracks:
        raise BadCall(404, "the first part of the path names no class of request known here")
    if method not in METHODS:
        raise BadCall(405, "the method is none of GET, POST and HEAD")
    request_id = fields.get("Req-Id", "").strip()
    if not request_id:
        raise BadCall(400, "Req-Id is missing")
    deadline = fields.get("Req-Deadline")
    dropped = NOT_TO_SERVERS
    if "Connection" in fields:
        dropped = dropped | {name.strip().lower().encode() for name in fields["Connection"].split(",")}
    lines = b"".join(b"%b: %b\r\n" % pair for pair in _kept(raw, dropped))
    return Call(
        request_id=request_id,
        track=track,
        tenant=fields.get("Req-Owner"),
        left_us=None if deadline is None else _duration_us(deadline),
        repeat=fields.get("Req-Retry") == "1",
        head=f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape") + lines,
        body=body,
    )


def probe_bytes(address: str, with_report: bool) -> bytes:
    """The bytes of a probe."""
    path = LOAD_PATH if with_report else HEALTH_PATH
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def read_answer(
    status: int, fields: Mapping[str, str], raw: RawHeaders, body: bytes, rest: Rest | None = None
) -> tuple[Outcome, Answer]:
    """A server's answer to an attempt."""
    if status == 200:
        kept = _kept(raw, NOT_TO_CALLERS)
        headers = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in kept)
        return Outcome.SERVED, Answer(200, body, headers, rest)
    declined = status in (503, 504) and fields.get("Srv-Declined") == "1"
    return (Outcome.FULL if declined else Outcome.ERROR), Answer(status)


def read_report(text: str | None) -> dict[str, float] | None:
    """A load report; a figure that is none is passed over, for a report must not fail an answer."""
    if not text:
        return None
    report = {}
    for pair in text.split(","):
        name, _, figure = pair.partition("=")
        try:
            number = float(figure)
        except ValueError:
            continue
        if 0 <= number < math.inf:
            report[name.strip()] = number
    return report or None


def deferral(pause_us: int) -> Answer:
    """Not now; asking again does no harm."""
    return Answer(503, headers=(("Retry-After", f"{pause_us / 1e6:.3f}"),) if pause_us > 0 else ())


def failure(status: int = 502) -> Answer:
    """Failed; promises nothing about the effect."""
    return Answer(status)


def _size(weight: Any) -> float:
    """A server's size; one that is none must not end the watch, so it counts as usual."""
    usable = isinstance(weight, int | float) and not isinstance(weight, bool) and 0 < weight < math.inf
    return float(weight) if usable else 1.0


def list_url(address: str, services: Sequence[str], after: int | None = None) -> URL:
    """Where the list is asked for, a watch where `after` is named; -1: from nothing on."""
    query = [] if after is None else ["watch=1"]
    if after is not None and after >= 0:
        query.append(f"after={after}")
    if services:
        query.append("services=" + ",".join(quote(name, safe="") for name in services))
    # As it stands: a comma within a name must not become one between two.
    return URL(f"http://{address}{LIST_PATH}" + ("?" + "&".join(query) if query else ""), encoded=True)


class Objects:
    """JSON objects out of a stream of bytes, however these are cut into pieces or the objects into lines."""

    __slots__ = ("at", "begun", "depth", "held")

    def __init__(self) -> None:
        # What has come of the object not yet whole, how far that was looked through, how many braces are open
        # there, and whether it has begun: blanks between two objects are no sign of one.
        self.held = b""
        self.at = self.depth = 0
        self.begun = False

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Each object that is whole with this piece; behind them ValueError for what can't begin one, or is
        too long."""
        self.held += piece
        while self._began() and (end := self._end()) > 0:
            whole = self.held[:end]
            self.held, self.at, self.begun = self.held[end:], 0, False
            yield whole
        if len(self.held) > OBJECT_MOST:
            raise ValueError(f"an object of more than {OBJECT_MOST} bytes")

    def _began(self) -> bool:
        if not self.begun:
            self.held = self.held.lstrip()
            self.begun = bool(self.held)
            if self.begun and self.held[:1] != b"{":
                raise ValueError(f"no object begins with {self.held[:40]!r}")
        return self.begun

    def _end(self) -> int:
        """Where the object ends that has begun; 0: not yet. Goes on from where the last look ended."""
        for found in _FRAME.finditer(self.held, self.at):
            sign = found[0]
            if sign == b'"':
                self.at = found.start()
                return 0
            self.at = found.end()
            self.depth += (sign == b"{") - (sign == b"}")
            if not self.depth:
                return self.at
        return 0


def read_list(values: Any, offset_us: int) -> ServerList:
    """Discovery's list. Unix time less `offset_us` is the node's clock; 0 stays 0, for long ago."""
    if isinstance(values, str | bytes):
        values = json.loads(values)
    servers = []
    started_ms = {}
    for item in values["instances"]:
        started = int(item.get("startedAtMs") or 0)
        entry = Entry(
            server=str(item["instanceId"]),
            zone=str(item.get("zone") or ""),
            cell=int(item.get("cell") or 0),
            # A word not known here must not end the watch; what is not said to be ready gets nothing new.
            condition=CONDITIONS.get(item["lifecycle"], Condition.DRAINING),
            started_at_us=max(1, started * 1000 - offset_us) if started else 0,
            size=_size(item.get("weight")),
            kind=str(item.get("machineType") or ""),
        )
        servers.append(Listed(entry, str(item.get("hostPort") or "")))
        started_ms[entry.server] = started
    return ServerList(int(values["generation"]), bool(values["reset"]), servers, started_ms)
