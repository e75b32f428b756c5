"""Which source a relay follows next, after what wait, and how old what it has heard is. No I/O, no clock.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

SECOND = 1_000_000
# A sign of life comes every 2 s, through a relay `BEAT_SPACING` later at the most. The relay notices a
# silence when its followers do, who heard the same one, and is at another source while they turn elsewhere.
SILENCE = 2_500_000
# Waits before the next source where one failed at once, and how far they grow once all have failed: as a
# node's own, since what the relay misses meanwhile all its followers miss.
RETRY_LEAST, RETRY_MOST = 100_000, 400_000
# What a source has said this long ago or longer, by its own word, is no sign that it lives.
OLD = 1 * SECOND
# Signs of life need not be passed on more often than this; two such hops leave a follower, who gives up a
# watch that says nothing for 2.5 s, a tenth of a second of lateness.
BEAT_SPACING = 200_000


def in_own_order(addresses: Sequence[str], seed: str) -> list[str]:
    """Addresses in an order drawn one by one, another for each seed, so that followers part evenly.

    Also those who lose the same relay: checksums of texts that are alike differ alike, so that the second
    draw would follow from the first but for the digits between.
    """
    left = list(addresses)
    order = []
    for draw in range(len(left)):
        digits = crc32(f"{seed} order {draw}".encode())
        order.append(left.pop(crc32(b"%d" % digits) * len(left) >> 32))
    return order


class Route:
    """The sources of one list: one after the other, in this relay's own order."""

    __slots__ = ("addresses", "at", "draws", "failures", "heard_us", "seed")

    def __init__(self, addresses: Sequence[str], seed: str) -> None:
        self.addresses = in_own_order(addresses, seed)
        self.seed = seed
        self.at = 0
        self.draws = 0
        # Links in a row that brought no sign of life.
        self.failures = 0
        # When the source was last heard, by its own word or that of a relay before; -1: never.
        self.heard_us = -1

    @property
    def address(self) -> str:
        return self.addresses[self.at]

    def heard(self, now_us: int, age_us: int = 0) -> bool:
        """Something whole came that was `age_us` old; whether that says that the source lives now."""
        self.failures = 0
        self.heard_us = max(self.heard_us, now_us - age_us)
        return age_us < OLD

    def age_us(self, now_us: int) -> int:
        """How long ago the source was last heard."""
        return max(0, now_us - self.heard_us)

    def ended(self, silent: bool, stay: bool = False) -> int:
        """A link has ended; the wait before the next one.

        A silence has taken long enough. `stay`: the same source is to be asked for its whole list.
        """
        self.failures += 1
        if not stay:
            self.at = (self.at + 1) % len(self.addresses)
        if silent:
            return 0
        self.draws += 1
        chance = crc32(f"{self.seed} wait {self.draws}".encode()) / 2**32
        rounds = min(self.failures // len(self.addresses), 8)
        return int(min(RETRY_LEAST << rounds, RETRY_MOST) * (0.5 + chance))
