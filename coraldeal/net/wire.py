"""Encodes and parses what the node exchanges with others: requests, answers, load reports, the server list.

All functions are pure. Outside this module, a request is an inquiry, and each time it is sent is an attempt.
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
    from coraldeal.net.answers import AnswerStream
    from coraldeal.net.bodies import StreamedBody
    from coraldeal.net.memory import Reservation

READY_PATH = "/ready"
HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
LIST_PATH = "/v1/endpoints"

# A request body of up to this many bytes is always buffered whole, and so is an answer that announces no
# more; longer answers, and those of unknown length, may be streamed.
STREAMING_THRESHOLD = 64 * 1024

CONDITION_BY_LIFECYCLE = {"Ready": Condition.READY, "Terminating": Condition.DRAINING, "Gone": Condition.GONE}
# Microseconds in each unit of a duration.
UNIT_US = {"m": 1000, "u": 1}
METHODS = ("GET", "POST", "HEAD")

# Header fields that belong to one connection, or are written anew for each.
HOP_BY_HOP_FIELDS = {
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
NOT_FORWARDED_TO_SERVERS = HOP_BY_HOP_FIELDS | {b"req-deadline", b"req-retry"}
NOT_FORWARDED_TO_CALLERS = HOP_BY_HOP_FIELDS | {b"srv-load", b"srv-declined", b"date", b"server"}

# The tokens that delimit an object in a stream of JSON: whole strings, braces, and the opening quote of a
# string that is still incomplete.
_DELIMITERS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}"]', re.DOTALL)
# The largest permitted object of a watch, in bytes, so that a faulty source can't use up the memory. A list
# of ten thousand servers has about two million bytes.
MAX_OBJECT_BYTES = 16 * 1024 * 1024

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,9})?)([mu])")

RawHeaders = Iterable[tuple[bytes, bytes]]


class InvalidRequestError(Exception):
    """A caller's request that can't be served; `status` is the HTTP status of the answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request: the fields that the decisions need, and the bytes that are forwarded unchanged."""

    request_id: str
    request_class: str
    tenant: str | None
    # How long the caller will wait, in microseconds; None: as long as its class's deadline.
    time_left_us: int | None
    is_retry: bool
    head: bytes
    # The whole body, or nothing if it is streamed.
    body: bytes
    # A large body, and its length in bytes if that is known.
    body_stream: StreamedBody | None = None
    length: int | None = None
    # The memory reserved for its body and its answer.
    memory: Reservation | None = None

    def encode_attempt(self, wait_us: int) -> bytes:
        """Return the bytes of one attempt, with `wait_us` as the time that the node will wait.

        Of a streamed body they hold the beginning.
        """
        body = self.body if self.body_stream is None else self.body_stream.beginning
        if self.body_stream is not None and self.length is None:
            form = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body)
        else:
            length = len(body) if self.length is None else self.length
            form = b"Content-Length: %d\r\n\r\n%b" % (length, body)
        return b"%bReq-Deadline: %du\r\n%b" % (self.head, max(1, wait_us), form)

    def encode_piece(self, piece: bytes) -> bytes:
        """Return a piece of the body's remainder as it is written; an empty piece encodes the body's end."""
        if self.length is not None:
            return piece
        return b"%x\r\n%b\r\n" % (len(piece), piece)


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a caller."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    # The body, if the answer is streamed.
    body_stream: AnswerStream | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt or a probe ended, with the load report and the answer if there were any."""

    outcome: Outcome
    latency_us: int
    report: dict[str, float] | None = None
    answer: Answer | None = None


class ListEntry(NamedTuple):
    """An entry of the server list, and the address (host:port) at which the server is reached."""

    entry: Entry
    address: str


class ServerList(NamedTuple):
    """A snapshot of the server list, or a delta."""

    version: int
    is_snapshot: bool
    servers: list[ListEntry]
    # When each server started, in Unix milliseconds as in the list; 0: long ago.
    started_ms: Mapping[ServerId, int] = MappingProxyType({})

    def updated_by(self, update: ServerList) -> ServerList:
        """Return the snapshot that results from an update of this snapshot."""
        if update.is_snapshot:
            return update
        servers = {listed.entry.server: listed for listed in [*self.servers, *update.servers]}
        return ServerList(
            update.version,
            True,
            [listed for listed in servers.values() if listed.entry.condition is not Condition.GONE],
            {**self.started_ms, **update.started_ms},
        )


def _parse_duration_us(text: str) -> int:
    match = _DURATION.fullmatch(text)
    if match is None:
        raise InvalidRequestError(400, "Req-Deadline is not a number with the unit m or u")
    return int(float(match[1]) * UNIT_US[match[2]])


def _without(headers: RawHeaders, dropped: Collection[bytes]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def request_class_of(target: str) -> str:
    """Return the name of the request class: the first segment of the path."""
    return path_of(target).partition("?")[0].lstrip("/").partition("/")[0]


def path_of(target: str) -> str:
    """Return the path and query of a request target, which may be in absolute form (http://host/path)."""
    if target[:7].lower() == "http://":
        return "/" + target[7:].partition("/")[2]
    return target


def parse_request(
    method: str,
    target: str,
    fields: Mapping[str, str],
    raw: RawHeaders,
    body: bytes,
    request_classes: Collection[str],
) -> CallerRequest:
    """Parse a caller's request, with as much of its body as was read; raises InvalidRequestError."""
    target = path_of(target)
    request_class = request_class_of(target)
    if not target.startswith("/") or request_class not in request_classes:
        raise InvalidRequestError(404, "the first part of the path names no class of request known here")
    if method not in METHODS:
        raise InvalidRequestError(405, "the method is none of GET, POST and HEAD")
    request_id = fields.get("Req-Id", "").strip()
    if not request_id:
        raise InvalidRequestError(400, "Req-Id is missing")
    deadline = fields.get("Req-Deadline")
    dropped = NOT_FORWARDED_TO_SERVERS
    if "Connection" in fields:
        dropped = dropped | {name.strip().lower().encode() for name in fields["Connection"].split(",")}
    lines = b"".join(b"%b: %b\r\n" % pair for pair in _without(raw, dropped))
    return CallerRequest(
        request_id=request_id,
        request_class=request_class,
        tenant=fields.get("Req-Owner"),
        time_left_us=None if deadline is None else _parse_duration_us(deadline),
        is_retry=fields.get("Req-Retry") == "1",
        head=f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape") + lines,
        body=body,
    )


def encode_probe(address: str, with_report: bool) -> bytes:
    """Return the bytes of a health check, or of a load report request."""
    path = LOAD_PATH if with_report else HEALTH_PATH
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def parse_answer(
    status: int,
    fields: Mapping[str, str],
    raw: RawHeaders,
    body: bytes,
    body_stream: AnswerStream | None = None,
) -> tuple[Outcome, Answer]:
    """Return an attempt's outcome and the caller's answer, from a server's answer."""
    if status == 200:
        forwarded = _without(raw, NOT_FORWARDED_TO_CALLERS)
        headers = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in forwarded)
        return Outcome.SERVED, Answer(200, body, headers, body_stream)
    declined = status in (503, 504) and fields.get("Srv-Declined") == "1"
    return (Outcome.FULL if declined else Outcome.ERROR), Answer(status)


def parse_load_report(text: str | None) -> dict[str, float] | None:
    """Parse a load report. Invalid values are skipped, since a report must not fail an answer."""
    if not text:
        return None
    report = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < math.inf:
            report[name.strip()] = number
    return report or None


def rejection(retry_after_us: int) -> Answer:
    """Return the answer of a rejected request: a retry is safe, best after this time (0: unknown)."""
    return Answer(
        503, headers=(("Retry-After", f"{retry_after_us / 1e6:.3f}"),) if retry_after_us > 0 else ()
    )


def failure(status: int = 502) -> Answer:
    """Return the answer of a failed request, which may or may not have been executed."""
    return Answer(status)


def _parse_size(weight: Any) -> float:
    """Return a server's size. An invalid weight must not end the watch, so it counts as 1."""
    usable = isinstance(weight, int | float) and not isinstance(weight, bool) and 0 < weight < math.inf
    return float(weight) if usable else 1.0


def list_url(address: str, services: Sequence[str], after: int | None = None) -> URL:
    """Return the URL of the server list, or of a watch after the version `after` (-1: from the start)."""
    query = [] if after is None else ["watch=1"]
    if after is not None and after >= 0:
        query.append(f"after={after}")
    if services:
        query.append("services=" + ",".join(quote(name, safe="") for name in services))
    # Encoded here: a comma within a name must not become a separator of names.
    return URL(f"http://{address}{LIST_PATH}" + ("?" + "&".join(query) if query else ""), encoded=True)


class JsonObjectStream:
    """Splits a stream of bytes into JSON objects, however the stream is cut into pieces and lines."""

    __slots__ = ("buffer", "has_started", "open_braces", "scanned")

    def __init__(self) -> None:
        # The bytes of the incomplete object.
        self.buffer = b""
        # How many of these bytes were scanned, and how many braces are open after them.
        self.scanned = self.open_braces = 0
        # Whether the object has started; white space between objects belongs to none.
        self.has_started = False

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Yield each object that this piece completes.

        After them, raises ValueError if an object doesn't start with a brace or exceeds MAX_OBJECT_BYTES.
        """
        self.buffer += piece
        while self._skip_blanks() and (end := self._find_end()) > 0:
            json_object = self.buffer[:end]
            self.buffer, self.scanned, self.has_started = self.buffer[end:], 0, False
            yield json_object
        if len(self.buffer) > MAX_OBJECT_BYTES:
            raise ValueError(f"an object of more than {MAX_OBJECT_BYTES} bytes")

    def _skip_blanks(self) -> bool:
        if not self.has_started:
            self.buffer = self.buffer.lstrip()
            self.has_started = bool(self.buffer)
            if self.has_started and self.buffer[:1] != b"{":
                raise ValueError(f"no object begins with {self.buffer[:40]!r}")
        return self.has_started

    def _find_end(self) -> int:
        """Return the end of the object that has started, or 0 if it is incomplete; resumes the last scan."""
        for delimiter in _DELIMITERS.finditer(self.buffer, self.scanned):
            token = delimiter[0]
            if token == b'"':
                self.scanned = delimiter.start()
                return 0
            self.scanned = delimiter.end()
            self.open_braces += (token == b"{") - (token == b"}")
            if not self.open_braces:
                return self.scanned
        return 0


def parse_server_list(values: Any, offset_us: int) -> ServerList:
    """Parse discovery's list; `offset_us` is the Unix time at which the node's clock was 0.

    Raises ValueError, KeyError, TypeError or AttributeError if `values` is not a list of servers.
    """
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
            # An unknown lifecycle state must not end the watch: such a server gets no new requests.
            condition=CONDITION_BY_LIFECYCLE.get(item["lifecycle"], Condition.DRAINING),
            started_at_us=max(1, started * 1000 - offset_us) if started else 0,
            size=_parse_size(item.get("weight")),
            kind=str(item.get("machineType") or ""),
        )
        servers.append(ListEntry(entry, str(item.get("hostPort") or "")))
        started_ms[entry.server] = started
    return ServerList(int(values["generation"]), bool(values["reset"]), servers, started_ms)
