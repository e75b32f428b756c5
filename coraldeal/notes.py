"""Notes between nodes as bytes, the same on the simulator's wire and on sockets.

A byte for the kind, three for the server, one for the attempts; an answer goes on with the bound in quarters,
the end of an attempt with what it found and its latency in milliseconds, two bytes. The first byte is the
only version: a kind that is not known, or a length that is not its own, is no note.
"""

from __future__ import annotations

from coraldeal.interface import Note, NoteKind

LENGTHS = {NoteKind.ASK: 5, NoteKind.ANSWER: 6, NoteKind.SENT: 5, NoteKind.ENDED: 8}
KINDS = {kind.value: kind for kind in NoteKind}


def pack(note: Note) -> bytes:
    """The bytes of a note; figures too large for their place are told as the largest that fits."""
    head = bytes((note.kind.value,)) + note.tag.to_bytes(3, "big") + bytes((min(note.attempts, 255),))
    if note.kind is NoteKind.ANSWER:
        return head + bytes((min(round(note.bound * 4), 255),))
    if note.kind is NoteKind.ENDED:
        return head + bytes((min(note.found, 255),)) + min(note.latency_us // 1000, 65_535).to_bytes(2, "big")
    return head


def unpack(words: bytes) -> Note | None:
    """The note of some bytes; None: they are none."""
    kind = KINDS.get(words[0]) if words else None
    if kind is None or len(words) != LENGTHS[kind]:
        return None
    tag, attempts = int.from_bytes(words[1:4], "big"), words[4]
    if kind is NoteKind.ANSWER:
        return Note(kind, tag, attempts, bound=words[5] / 4)
    if kind is NoteKind.ENDED:
        return Note(kind, tag, attempts, found=words[5], latency_us=int.from_bytes(words[6:8], "big") * 1000)
    return Note(kind, tag, attempts)
