"""Decides how many connections and requests a process may hold, from its descriptors and memory. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from coraldeal.memory import BUFFERED_BODY_COPIES, ProcessSize, plan_memory

# Descriptors reserved for discovery, probes, logs and a burst of callers. A small limit reserves a quarter.
DESCRIPTOR_RESERVE = 96
# The fraction of the connections that callers may have.
CALLERS_FRACTION = 3 / 4
# The fraction of the requests in progress that may have large bodies or answers.
LARGE_REQUESTS_FRACTION = 3 / 4
# The fraction of the memory of messages that bodies buffered for further attempts may take.
BUFFERED_FRACTION = 1 / 16
# The bytes of all bodies buffered for further attempts, at most.
MAX_BUFFERED_TOTAL = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What one process of a node may hold."""

    # Descriptors kept free, and connections of callers and to servers together.
    reserve: int
    connections: int
    requests: int
    # Bytes of messages in transit (None: unlimited), and of bodies buffered for further attempts.
    message_bytes: int | None
    buffered_bytes: int
    # Whether memory allows fewer connections than descriptors.
    is_memory_short: bool = False

    @property
    def callers(self) -> int:
        """The connections of callers that may have unfinished requests; the others are left for servers."""
        return int(CALLERS_FRACTION * self.connections)

    def is_crowded(self, in_progress: int, streaming: int, is_large: bool) -> bool:
        """Return whether another request could exceed the limits; each holds two descriptors at most.

        Large bodies and answers take long, so some places are left for requests without them. The memory of
        answers that are being streamed is reserved, so they count as connections only.
        """
        most = self.requests * (LARGE_REQUESTS_FRACTION if is_large else 1)
        return in_progress >= most or 2 * (in_progress + streaming) >= self.connections


def plan_limits(
    descriptors: int, memory_bytes: int | None, share: float, process: ProcessSize
) -> ProcessLimits:
    """Return the limits of a process that may use a `share` of the node's descriptors and memory."""
    descriptors = int(descriptors * share)
    reserve = min(DESCRIPTOR_RESERVE, descriptors // 4)
    connections = descriptors - reserve
    if memory_bytes is None:
        return ProcessLimits(reserve, connections, (connections + 1) // 2, None, MAX_BUFFERED_TOTAL)
    plan = plan_memory(int(memory_bytes * share), process, connections)
    buffered = min(MAX_BUFFERED_TOTAL, int(plan.message_bytes * BUFFERED_FRACTION))
    return ProcessLimits(
        reserve,
        plan.connections,
        plan.requests,
        plan.message_bytes - BUFFERED_BODY_COPIES * buffered,
        buffered,
        plan.connections < connections,
    )
