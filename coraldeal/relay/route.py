"""Selects the source that a relay follows next and the delay before it, and tracks the age of the data.

The module does no I/O and reads no clock. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

SECOND_US = 1_000_000
# How long a watch may bring nothing before the relay drops it. Heartbeats come every 2 s, and a relay in
# between delays them by up to `MIN_HEARTBEAT_INTERVAL_US`. The relay's followers use the same timeout and see
# the same silence, so the relay is connected to another source by the time they turn to another relay.
LIVENESS_TIMEOUT_US = 2_500_000
# The delay before the next source after a failure, and the limit of its exponential growth once every source
# has failed. A node uses the same delays: all followers of the relay miss what the relay misses meanwhile.
MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 100_000, 400_000
# Data that is this old or older, by its `Age` header, doesn't show that the source is alive now.
STALE_AGE_US = 1 * SECOND_US
# Heartbeats are passed on to a follower at most once in this time. Two relays in a row then add 0.4 s to the
# source's 2 s, which leaves 0.1 s until a follower's liveness timeout of 2.5 s.
MIN_HEARTBEAT_INTERVAL_US = 200_000


def seeded_shuffle(addresses: Sequence[str], seed: str) -> list[str]:
    """The addresses in a pseudo-random order that depends on the seed, so that followers spread evenly.

    Followers that lose the same relay spread evenly over the others too. That needs the two nested checksums:
    CRC-32 maps similar differences between texts to similar differences between checksums, so with a single
    one the second draw would follow from the first but for the changed digits.
    """
    remaining = list(addresses)
    order = []
    for draw in range(len(remaining)):
        digits = crc32(f"{seed} order {draw}".encode())
        order.append(remaining.pop(crc32(b"%d" % digits) * len(remaining) >> 32))
    return order


class SourceSelector:
    """The sources of one list, tried one after another in an order of this relay's own."""

    __slots__ = ("addresses", "consecutive_failures", "delay_draws", "index", "last_contact_us", "seed")

    def __init__(self, addresses: Sequence[str], seed: str) -> None:
        self.addresses = seeded_shuffle(addresses, seed)
        self.seed = seed
        self.index = 0
        # How many retry delays were drawn: the counter of the seeded jitter.
        self.delay_draws = 0
        # Watches in a row that brought neither data nor a heartbeat.
        self.consecutive_failures = 0
        # When the source was last known to be alive, by its own data or the report of a relay in between; -1:
        # never.
        self.last_contact_us = -1

    @property
    def address(self) -> str:
        """The address of the current source."""
        return self.addresses[self.index]

    def record_contact(self, now_us: int, age_us: int = 0) -> bool:
        """Records a complete object or heartbeat that is `age_us` old; true if it shows a live source."""
        self.consecutive_failures = 0
        self.last_contact_us = max(self.last_contact_us, now_us - age_us)
        return age_us < STALE_AGE_US

    def age_us(self, now_us: int) -> int:
        """The time since the source was last known to be alive."""
        return max(0, now_us - self.last_contact_us)

    def record_end(self, timed_out: bool, stay: bool = False) -> int:
        """Records that a watch has ended, moves on to the next source and returns the delay before it.

        After a liveness timeout the delay is 0, since the timeout took long enough. `stay` keeps the current
        source, which is asked for its snapshot next.
        """
        self.consecutive_failures += 1
        if not stay:
            self.index = (self.index + 1) % len(self.addresses)
        if timed_out:
            return 0
        self.delay_draws += 1
        jitter = crc32(f"{self.seed} wait {self.delay_draws}".encode()) / 2**32
        rounds = min(self.consecutive_failures // len(self.addresses), 8)
        return int(min(MIN_RETRY_DELAY_US << rounds, MAX_RETRY_DELAY_US) * (0.5 + jitter))
