"""Notes between nodes as bytes, the same on the simulator's wire and on sockets.

A byte for the kind, three for the server, one for the attempts; an answer goes on with the bound in quarters,
the end of an attempt with what it found and its latency in milliseconds, two bytes. The first byte is the
only version: a kind that is not known, or a length that is not its own, is no note.
"""

from __future__ import annotations

from coraldeal.interface import PeerMessage, PeerMessageKind

LENGTHS = {
    PeerMessageKind.ASK: 5,
    PeerMessageKind.ANSWER: 6,
    PeerMessageKind.SENT: 5,
    PeerMessageKind.ENDED: 8,
}
KINDS = {kind.value: kind for kind in PeerMessageKind}


def pack(note: PeerMessage) -> bytes:
    """The bytes of a note; figures too large for their place are told as the largest that fits."""
    head = bytes((note.kind.value,)) + note.tag.to_bytes(3, "big") + bytes((min(note.attempts, 255),))
    if note.kind is PeerMessageKind.ANSWER:
        return head + bytes((min(round(note.global_limit * 4), 255),))
    if note.kind is PeerMessageKind.ENDED:
        return (
            head
            + bytes((min(note.in_flight_at_start, 255),))
            + min(note.latency_us // 1000, 65_535).to_bytes(2, "big")
        )
    return head


def unpack(words: bytes) -> PeerMessage | None:
    """The note of some bytes; None: they are none."""
    kind = KINDS.get(words[0]) if words else None
    if kind is None or len(words) != LENGTHS[kind]:
        return None
    tag, attempts = int.from_bytes(words[1:4], "big"), words[4]
    if kind is PeerMessageKind.ANSWER:
        return PeerMessage(kind, tag, attempts, global_limit=words[5] / 4)
    if kind is PeerMessageKind.ENDED:
        return PeerMessage(
            kind,
            tag,
            attempts,
            in_flight_at_start=words[5],
            latency_us=int.from_bytes(words[6:8], "big") * 1000,
        )
    return PeerMessage(kind, tag, attempts)
