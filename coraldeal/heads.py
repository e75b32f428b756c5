"""Limits the heads of requests: how many bytes and fields one may have, and what its connection holds for it.

The parser stores each field several times, so that a head of many short fields holds far more than its bytes.
There is no I/O here: coraldeal/net/caller_connection.py feeds the meter with what a connection has read.
"""

from __future__ import annotations

from coraldeal.memory import SMALL_HEAD_BYTES, head_bytes

# The most bytes and fields of one head; one with more is answered 431.
MAX_HEAD_BYTES = 32 * 1024
MAX_HEAD_FIELDS = 128
HEAD_END = b"\r\n\r\n"


class HeadMeter:
    """Measures the heads of one connection: the one being received, and those of requests in progress."""

    __slots__ = ("bytes", "completed_bytes", "is_too_large", "last_bytes", "lines")

    def __init__(self) -> None:
        # Of the head that is incomplete: its bytes, its lines, and its last bytes, in which HEAD_END may have
        # begun.
        self.bytes = 0
        self.lines = 0
        self.last_bytes = b""
        # The memory that completed heads hold until their requests have ended, in bytes.
        self.completed_bytes = 0
        # Whether a head has more bytes or fields than it may have.
        self.is_too_large = False

    @property
    def reservation(self) -> int:
        """The bytes of memory to reserve for the heads of the connection; 0: they need none."""
        held = self.completed_bytes + (head_bytes(self.bytes, self.lines) if self.bytes else 0)
        return held if held > SMALL_HEAD_BYTES else 0

    def add(self, data: bytes) -> None:
        """Measure bytes that were read while a head was awaited or being received."""
        size, lines = len(data), data.count(b"\n")
        if not self.bytes and size <= MAX_HEAD_BYTES and 0 <= data.find(HEAD_END) == size - len(HEAD_END):
            # One whole head, as usual.
            self.is_too_large = self.is_too_large or lines > MAX_HEAD_FIELDS + 2
            self.completed_bytes += head_bytes(size, lines)
            return
        text = self.last_bytes + data
        end = text.find(HEAD_END)
        if end < 0:
            self._extend(size, lines, text)
            return
        end += len(HEAD_END)
        head = text[len(self.last_bytes) : end]
        self._extend(len(head), head.count(b"\n"), b"")
        self._complete(1, self.bytes, self.lines)
        # Further requests may follow in the same read, the last of them incomplete.
        last_end = text.rfind(HEAD_END) + len(HEAD_END)
        if last_end > end:
            between = text[end:last_end]
            self._complete(between.count(HEAD_END), len(between), between.count(b"\n"))
        rest = text[last_end:]
        self._extend(len(rest), rest.count(b"\n"), rest)

    def expect_body(self) -> None:
        """Record that what followed the last complete head belongs to its body."""
        self._start_head()

    def requests_ended(self, waiting_bytes: int = 0) -> None:
        """Record that no request is in progress any more; heads not yet parsed hold `waiting_bytes`."""
        self.completed_bytes = waiting_bytes

    def _start_head(self) -> None:
        self.bytes = self.lines = 0
        self.last_bytes = b""

    def _complete(self, heads: int, size: int, lines: int) -> None:
        self.completed_bytes += head_bytes(size, lines) + head_bytes(0, 0) * (heads - 1)
        self._start_head()

    def _extend(self, size: int, lines: int, text: bytes) -> None:
        self.bytes += size
        self.lines += lines
        self.last_bytes = text[1 - len(HEAD_END) :]
        # The request line and the empty line are no fields.
        if self.bytes > MAX_HEAD_BYTES or self.lines > MAX_HEAD_FIELDS + 2:
            self.is_too_large = True
