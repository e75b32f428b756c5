"""Encodes messages between nodes as bytes, the same on the simulator's wire and on sockets.

A message has one byte for its kind, three for the server's tag and one for the number of attempts. A reply
adds one byte for the limit, in quarters of an attempt. The end of an attempt adds one byte for the number of
attempts in flight at its start, and two for its latency in milliseconds. The kind is also the only version:
data of an unknown kind, or whose length is not that of its kind, is not a valid message.
"""

from __future__ import annotations

from coraldeal.interface import PeerMessage, PeerMessageKind

# The length of a message in bytes, by its kind.
LENGTHS = {
    PeerMessageKind.ASK: 5,
    PeerMessageKind.ANSWER: 6,
    PeerMessageKind.SENT: 5,
    PeerMessageKind.ENDED: 8,
}
KINDS = {kind.value: kind for kind in PeerMessageKind}


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message; a number too large for its field becomes the largest that fits."""
    head = (
        bytes((message.kind.value,)) + message.tag.to_bytes(3, "big") + bytes((min(message.attempts, 255),))
    )
    if message.kind is PeerMessageKind.ANSWER:
        return head + bytes((min(round(message.global_limit * 4), 255),))
    if message.kind is PeerMessageKind.ENDED:
        return (
            head
            + bytes((min(message.in_flight_at_start, 255),))
            + min(message.latency_us // 1000, 65_535).to_bytes(2, "big")
        )
    return head


def decode_message(data: bytes) -> PeerMessage | None:
    """Return the message encoded in the bytes, or None if they are not a valid message."""
    kind = KINDS.get(data[0]) if data else None
    if kind is None or len(data) != LENGTHS[kind]:
        return None
    tag, attempts = int.from_bytes(data[1:4], "big"), data[4]
    if kind is PeerMessageKind.ANSWER:
        return PeerMessage(kind, tag, attempts, global_limit=data[5] / 4)
    if kind is PeerMessageKind.ENDED:
        return PeerMessage(
            kind,
            tag,
            attempts,
            in_flight_at_start=data[5],
            latency_us=int.from_bytes(data[6:8], "big") * 1000,
        )
    return PeerMessage(kind, tag, attempts)
