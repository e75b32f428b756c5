"""Remembers the ids of requests that may have run and must not run twice. No I/O; times are microseconds.

A client that has left may send its request again with the same id, here or at the other process of an
upgrade. Servers need not know it as a copy, so it has to be recognized here.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

# For how long an id is remembered, and how many ids at most: the oldest are forgotten first.
RETENTION_US = 30_000_000
MAX_IDS = 4096
# Bytes of an id's digest. Digests bound the memory, since callers choose the ids.
DIGEST_BYTES = 8


def digest_of(request_id: str) -> str:
    """Return the digest of a request id, as hexadecimal digits."""
    return blake2b(request_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES).hexdigest()


class RecentRequests:
    """The digests of ids whose requests may have run, with the time at which each is forgotten."""

    def __init__(self) -> None:
        self.forget_at: OrderedDict[str, int] = OrderedDict()

    def add(self, digest: str, now_us: int) -> None:
        """Remember an id whose request is about to be sent to a server."""
        self._insert(digest, now_us + RETENTION_US)

    def discard(self, digest: str) -> None:
        """Forget an id whose request has surely not run."""
        self.forget_at.pop(digest, None)

    def __contains__(self, digest: str) -> bool:
        return digest in self.forget_at

    def forget_old(self, now_us: int) -> None:
        """Forget the ids that have been remembered long enough."""
        while self.forget_at and next(iter(self.forget_at.values())) <= now_us:
            self.forget_at.popitem(last=False)

    def export(self) -> list[tuple[str, int]]:
        """Return each digest and when it is forgotten, for another process of the node."""
        return list(self.forget_at.items())

    def restore(self, exported: list[tuple[str, int]]) -> None:
        """Add what another process has exported; both share the clock, and the later time counts."""
        for digest, forget_at in sorted(exported, key=lambda item: item[1]):
            self._insert(str(digest), int(forget_at))

    def _insert(self, digest: str, forget_at: int) -> None:
        self.forget_at[digest] = max(self.forget_at.pop(digest, 0), forget_at)
        if len(self.forget_at) > MAX_IDS:
            self.forget_at.popitem(last=False)
