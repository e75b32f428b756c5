"""Finds the end of a server's answer in the bytes of its connection (RFC 9112, sections 2.1, 6.3 and 7.1).

There is no I/O here: coraldeal/net/server_connection.py feeds it what was read. The content is left to the
HTTP parser; only the position of the last byte is found here, before the parser sees the bytes behind it.

Each part of an answer measures the bytes that arrive for it: how many of them belong to it. As long as it is
not complete, at least one of them does, so that a loop over the bytes ends.
"""

from __future__ import annotations

import re
from collections.abc import Callable

# The largest size of one chunk, in bytes, that the parser represents.
MAX_CHUNK_BYTES = 2**64 - 1
LINE_END = b"\r\n"

# The bytes that may follow the digits of a chunk's size.
_BEHIND_SIZE = b"; \t\r\n"
# The parser takes a bare line feed for the end of a line of a head, too.
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_HEAD_END_BYTES = 3
_PLAIN_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})\r\n")
_HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]*")


class Head:
    """The position in the head of an answer, interim or final, which an empty line ends.

    A head that the parser does not report when it is complete has no end: the parser reports the error.
    """

    __slots__ = ("_is_complete", "_last_bytes", "has_begun", "has_empty_line_ahead")

    # The head of an answer is complete, but the answer is not.
    is_complete = False

    def __init__(self) -> None:
        # The last bytes before the next ones: the head's end may have begun there.
        self._last_bytes = b""
        self._is_complete = False
        # Whether the first byte of the status line has arrived.
        self.has_begun = False
        # Whether bytes of an empty line arrived before it, which belong to no answer.
        self.has_empty_line_ahead = False

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the head, and to empty lines ahead of it."""
        if self._is_complete:
            return len(data)
        start = 0
        if not self.has_begun:
            start = len(data) - len(data.lstrip(LINE_END))
            self.has_empty_line_ahead = self.has_empty_line_ahead or start > 0
            self.has_begun = start < len(data)
        text = self._last_bytes + data[start:]
        head_end = _HEAD_END.search(text)
        if head_end is None:
            self._last_bytes = text[1 - _MAX_HEAD_END_BYTES :]
            return len(data)
        self._is_complete = True
        return start + head_end.end() - len(self._last_bytes)


class FixedBody:
    """The position in a body of a known length."""

    __slots__ = ("_bytes_left",)

    def __init__(self, length: int) -> None:
        self._bytes_left = length

    @property
    def is_complete(self) -> bool:
        """Whether the last byte of the body was measured."""
        return not self._bytes_left

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body."""
        size = min(self._bytes_left, len(data))
        self._bytes_left -= size
        return size


class UnlimitedBody:
    """A body that only the end of its connection ends."""

    __slots__ = ()

    is_complete = False

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body: all."""
        return len(data)


class ChunkedBody:
    """The position in a chunked body, from its first byte on.

    A body that is not chunked as its head states has no known end: all bytes belong to it, and the parser
    reports the error.
    """

    __slots__ = (
        "_bytes_left",
        "_has_digits",
        "_has_return",
        "_line_has_content",
        "_measure_part",
        "_size",
        "is_complete",
    )

    def __init__(self) -> None:
        # Whether the last byte of the body was measured.
        self.is_complete = False
        # The method that measures the part of the body which the next byte belongs to.
        self._measure_part: Callable[[ChunkedBody, bytes, int], int] = ChunkedBody._measure_size
        # The size of the next chunk as far as its digits have arrived, and whether any have.
        self._size = 0
        self._has_digits = False
        # Whether the bytes of the size's line so far end with a carriage return.
        self._has_return = False
        # Bytes of the current chunk that are still to come.
        self._bytes_left = 0
        # Whether the current line of the trailer section has any content: an empty line ends the body.
        self._line_has_content = False

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body."""
        position = 0
        while position < len(data) and not self.is_complete:
            position = self._measure_part(self, data, position)
        return position

    def _skip_whole_chunks(self, data: bytes, position: int) -> int:
        """Return the position behind the plain chunks that arrived whole: one step each, if they are many."""
        if self._has_digits:
            return position
        while line := _PLAIN_SIZE_LINE.match(data, position):
            end = line.end() + int(line[1], 16) + len(LINE_END)
            # The last chunk has no data, and the trailer section behind it.
            if end == line.end() + len(LINE_END) or data[end - len(LINE_END) : end] != LINE_END:
                break
            position = end
        return position

    def _measure_size(self, data: bytes, position: int) -> int:
        position = self._skip_whole_chunks(data, position)
        digits = _HEX_DIGITS.match(data, position)
        assert digits is not None
        if text := digits[0]:
            self._size = (self._size << 4 * len(text)) + int(text, 16)
            self._has_digits = True
        if self._size > MAX_CHUNK_BYTES:
            self._measure_part = ChunkedBody._measure_invalid
        elif digits.end() < len(data):
            is_size = self._has_digits and data[digits.end()] in _BEHIND_SIZE
            self._measure_part = ChunkedBody._measure_extension if is_size else ChunkedBody._measure_invalid
        return digits.end()

    def _measure_extension(self, data: bytes, position: int) -> int:
        """Skip the rest of the line behind a chunk's size."""
        line_end = data.find(b"\n", position)
        has_return, self._has_return = self._has_return, data.endswith(b"\r")
        if line_end < 0:
            return len(data)
        # The parser takes no bare line feed here.
        if not (has_return if line_end == position else data[line_end - 1] == ord("\r")):
            self._measure_part = ChunkedBody._measure_invalid
            return len(data)
        self._measure_part = ChunkedBody._measure_data if self._size else ChunkedBody._measure_trailer
        self._bytes_left, self._size, self._has_digits = self._size, 0, False
        return line_end + 1

    def _measure_data(self, data: bytes, position: int) -> int:
        size = min(self._bytes_left, len(data) - position)
        self._bytes_left -= size
        if not self._bytes_left:
            self._measure_part = ChunkedBody._measure_data_end
        return position + size

    def _measure_data_end(self, data: bytes, position: int) -> int:
        """Skip the line end behind a chunk's data."""
        if data.startswith(LINE_END, position):
            self._measure_part = ChunkedBody._measure_size
            return position + len(LINE_END)
        if data[position] == ord("\n"):
            self._measure_part = ChunkedBody._measure_size
        elif data[position] != ord("\r"):
            self._measure_part = ChunkedBody._measure_invalid
        return position + 1

    def _measure_trailer(self, data: bytes, position: int) -> int:
        line_end = data.find(b"\n", position)
        line = data[position:] if line_end < 0 else data[position:line_end]
        if line.strip(b"\r"):
            self._line_has_content = True
        if line_end < 0:
            return len(data)
        if not self._line_has_content:
            self.is_complete = True
        self._line_has_content = False
        return line_end + 1

    def _measure_invalid(self, data: bytes, position: int) -> int:
        """Leave all bytes to the parser, which reports the error."""
        return len(data)
