"""The forms that an answer can take on a connection that stays open, and what may follow one unasked."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coraldeal.interface import Outcome

# The size of a chunk of an answer that is sent in many.
SMALL_CHUNK_BYTES = 3


def chunked(body: bytes, chunk_bytes: int = 1 << 20, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """Return a body in chunked encoding, with this extension behind each size, and these trailer lines."""
    pieces = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    chunks = [b"%x%b\r\n%b\r\n" % (len(piece), extension, piece) for piece in pieces]
    return b"".join(chunks) + b"0%b\r\n%b\r\n" % (extension, trailer)


def _head(status: int, *fields: bytes) -> bytes:
    return b"HTTP/1.1 %d Any\r\n%b\r\n" % (status, b"".join(field + b"\r\n" for field in fields))


CHUNKED = b"Transfer-Encoding: chunked"


def _length(body: bytes) -> bytes:
    return _head(200, b"Content-Length: %d" % len(body)) + body


def _interim(body: bytes) -> bytes:
    return _head(100) + _head(103, b"Link: </x>") + _head(200, CHUNKED) + chunked(body)


def _declined(body: bytes) -> bytes:
    return _head(503, b"Srv-Declined: 1", CHUNKED) + chunked(body)


@dataclass(frozen=True)
class AnswerForm:
    """One form of an answer: its bytes for a body, and what an attempt makes of it."""

    name: str
    encode: Callable[[bytes], bytes]
    outcome: Outcome = Outcome.SERVED
    method: bytes = b"GET"
    has_body: bool = True


RECORDED = AnswerForm("chunked", lambda body: _head(200, CHUNKED) + chunked(body))
DECLINED = AnswerForm("declined", _declined, Outcome.FULL, has_body=False)
FORMS = (
    AnswerForm("length", _length),
    RECORDED,
    AnswerForm("many chunks", lambda body: _head(200, CHUNKED) + chunked(body, SMALL_CHUNK_BYTES)),
    AnswerForm("extensions", lambda body: _head(200, CHUNKED) + chunked(body, 5, b' ;a="b;c";d')),
    AnswerForm("trailer", lambda body: _head(200, CHUNKED) + chunked(body, trailer=b"X: y\r\nZ:\r\n")),
    AnswerForm(
        "sizes in capitals",
        lambda body: _head(200, CHUNKED) + b"00%X\r\n%b\r\n000\r\n\r\n" % (len(body), body),
    ),
    AnswerForm("interim responses", _interim),
    DECLINED,
    AnswerForm("error", lambda body: _head(500, CHUNKED) + chunked(body), Outcome.ERROR, has_body=False),
    AnswerForm("bare line feeds", lambda body: _length(body).replace(b"\r\n", b"\n")),
    AnswerForm(
        "bare line feeds, chunked",
        lambda body: _head(200, CHUNKED).replace(b"\r\n", b"\n") + chunked(body, trailer=b"X: y\n"),
    ),
    AnswerForm("204", lambda body: _head(204), Outcome.ERROR, has_body=False),
    AnswerForm("304", lambda body: _head(304, b"Content-Length: 9"), Outcome.ERROR, has_body=False),
    AnswerForm("HEAD, length", lambda body: _head(200, b"Content-Length: 9"), method=b"HEAD", has_body=False),
    AnswerForm("HEAD, chunked", lambda body: _head(200, CHUNKED), method=b"HEAD", has_body=False),
)
# What follows an answer unasked: its own bytes are passed to the function.
SURPLUS: dict[str, Callable[[bytes], bytes]] = {
    "copy": lambda answer: answer,
    "two copies": lambda answer: answer + answer,
    "empty line": lambda answer: b"\r\n",
    "one byte": lambda answer: b"\n",
    "half a head": lambda answer: b"HTTP/1.1 200 OK\r\nX",
    "last chunk": lambda answer: b"0\r\n\r\n",
    "noise": lambda answer: b"\x00\xff noise \r\n\r\n",
}
