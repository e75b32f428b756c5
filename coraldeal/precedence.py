"""Which process of a node knows better, when one hands over what it knows to the other. No I/O, no clock.

What a process was told by discovery itself takes precedence over what its predecessor hands over, and that
over the list of the configuration, which no discovery has confirmed. The order in which the three arrive
doesn't matter. Versions are compared only between lists of one origin, since each origin counts on its own.
"""

from __future__ import annotations

from typing import NamedTuple

# The origin of a list whose sender doesn't say it: a predecessor of an earlier program version.
UNKNOWN_ORIGIN = ""
# The version of a list that its origin can't continue from. It is not compared.
NO_VERSION = -1


class ListStamp(NamedTuple):
    """Where a process's server list is from, and how recent it is."""

    # The discovery, or the set of sources, that counts the versions.
    origin: str
    version: int = NO_VERSION
    # When that origin sent the list or its last changes to a process of this node, in microseconds of the
    # system's monotonic clock; 0: it never did, so that the list is one of a configuration.
    told_at_us: int = 0

    @property
    def is_told(self) -> bool:
        """Whether discovery itself sent the list to a process of this node."""
        return self.told_at_us > 0


def replaces_own_list(handed_over: ListStamp, own: ListStamp, origin: str, is_watching: bool) -> bool:
    """Return whether the predecessor's list replaces this process's own one.

    `origin` is what this process follows now, and `is_watching` says whether it has an open watch there that
    has sent a list. Such a watch also sends all that the predecessor may have been told in between.
    """
    if handed_over.origin == UNKNOWN_ORIGIN:
        handed_over = handed_over._replace(origin=own.origin)
    if handed_over.origin != own.origin:
        if own.is_told:
            return handed_over.is_told and handed_over.origin == origin
        return handed_over.is_told or own.version == NO_VERSION
    if own.is_told:
        return (
            not is_watching
            and handed_over.version > own.version != NO_VERSION
            and handed_over.told_at_us > own.told_at_us
        )
    return handed_over.version >= own.version or handed_over.version == NO_VERSION
