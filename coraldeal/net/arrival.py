"""Tells when the last byte of a request body has arrived, whether or not the node has read it.

A request's time counts from its last byte. A body that is forwarded is read only as fast as its server takes
it, so the last byte may lie in the system's buffer long before the node reads it. Once that buffer is full,
the caller may have written all of it, and its time runs too, though the rest can't arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp.streams import StreamReader

from coraldeal.net.unread import (
    is_window_closed,
    last_unread_bytes,
    seconds_since_last_byte,
    unread_bytes,
)

# Seconds between two checks whether the last byte has arrived.
ARRIVAL_CHECK_INTERVAL = 0.1
# The most bytes that a sender's system holds of what was written: a longer remainder is not written yet.
MAX_SENDER_BUFFER_BYTES = 4 * 1024 * 1024
# The end of a chunked body: of its last chunk, or of the last trailer field.
CHUNKED_BODY_END = b"\r\n\r\n"


class BodyArrival:
    """Watches the arrival of one request body."""

    __slots__ = (
        "_arrived_at",
        "_held_back_at",
        "_state_at_check",
        "_was_complete",
        "content",
        "last_read",
        "length",
        "transport",
    )

    def __init__(
        self,
        content: StreamReader,
        transport: asyncio.Transport | None,
        length: int | None,
        last_read: Callable[[], bytes],
    ) -> None:
        self.content = content
        self.transport = transport
        # The length of the whole body in bytes; None: it is chunked.
        self.length = length
        # Returns the last four bytes that were read from the connection.
        self.last_read = last_read
        self._arrived_at: float | None = None
        # Since when the caller can't send the rest because the node does not read.
        self._held_back_at: float | None = None
        # Of a chunked body: what had been read and what was unread at the last check, and its result, which
        # holds while neither changes.
        self._state_at_check: tuple[int, int, bytes] | None = None
        self._was_complete = False

    def arrived_at(self) -> float | None:
        """Return when the last byte arrived, in seconds of the event loop's clock; None if it has not yet.

        While the caller can't send the rest because the node does not read, it counts as arrived.
        The end of a chunked body is recognized by its last bytes alone, so that a piece of the body that ends
        like a chunked body counts as its end until more arrives.
        """
        if self._arrived_at is None and (self.content.is_eof() or self._is_complete()):
            self._arrived_at = asyncio.get_running_loop().time() - seconds_since_last_byte(self.transport)
            if self._held_back_at is not None:
                # Its last byte may have been written by then.
                self._arrived_at = min(self._arrived_at, self._held_back_at)
            if self.length is None and not self.content.is_eof():
                # More may follow.
                arrived_at, self._arrived_at = self._arrived_at, None
                return arrived_at
        if self._arrived_at is None:
            return self._held_back_since()
        return self._arrived_at

    def _held_back_since(self) -> float | None:
        """Return since when the caller has not been able to send a rest that it may have written.

        None once the node has read all that has arrived: then the caller has not written the rest.
        """
        unread = unread_bytes(self.transport)
        rest = 0 if self.length is None else self.length - self.content.total_bytes - unread
        if not unread:
            self._held_back_at = None
        elif (
            self._held_back_at is None
            and rest <= MAX_SENDER_BUFFER_BYTES
            and is_window_closed(self.transport)
        ):
            now = asyncio.get_running_loop().time()
            self._held_back_at = now - seconds_since_last_byte(self.transport)
        return self._held_back_at

    def _is_complete(self) -> bool:
        unread = unread_bytes(self.transport)
        if self.length is not None:
            return self.content.total_bytes + unread >= self.length
        if seconds_since_last_byte(self.transport) < ARRIVAL_CHECK_INTERVAL:
            # More may be under way, and to look at the end of a long queue costs time.
            return False
        state = (unread, self.content.total_bytes, self.last_read())
        if state != self._state_at_check:
            last = last_unread_bytes(self.transport, len(CHUNKED_BODY_END))
            self._was_complete = (self.last_read() + last)[-len(CHUNKED_BODY_END) :] == CHUNKED_BODY_END
            self._state_at_check = state
        return self._was_complete
