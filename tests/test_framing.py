"""The end of a chunked body is found where it is, however the bytes arrive."""

from __future__ import annotations

import unittest
from random import Random

from coraldeal.framing import ChunkedBody
from tests.answer_forms import SURPLUS, chunked


def measure(data: bytes, cuts: list[int]) -> tuple[ChunkedBody, int]:
    """Measure a body that arrives cut at these positions; return its framing and the bytes it took."""
    body = ChunkedBody()
    total = 0
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        piece = data[start:end]
        taken = body.measure(piece)
        total += taken
        if taken < len(piece):
            break
    return body, total


class ChunkedBodyTest(unittest.TestCase):
    def test_end_of_a_drawn_body_is_found_whatever_follows_it(self) -> None:
        # Guards against bytes behind a chunked answer reaching the parser as a part of it.
        rng = Random(6)
        for turn in range(2000):
            data = chunked(
                rng.randbytes(rng.randrange(60)),
                rng.choice((1, 2, 16, 17, 1 << 20)),
                rng.choice((b"", b" ", b";a=b", b' ; a="0;\t"')),
                rng.choice((b"", b"X: y\r\n", b"X: y\r\n z\r\nA:\r\n", b"A: b\n")),
            )
            surplus = rng.choice(list(SURPLUS.values()))(data) if turn % 3 else b""
            cuts = sorted(rng.sample(range(len(data)), min(len(data), rng.randrange(6))))
            with self.subTest(turn=turn, data=data, surplus=surplus, cuts=cuts):
                body, taken = measure(data + surplus, cuts)
                self.assertTrue(body.is_complete)
                self.assertEqual(taken, len(data))
                self.assertEqual(body.measure(b"more"), 0)

    def test_part_of_a_body_is_not_complete(self) -> None:
        data = chunked(b"some text", 4, b";x", b"A: b\r\n")
        for end in range(len(data)):
            body, taken = measure(data[:end], [])
            self.assertEqual((body.is_complete, taken), (False, end))

    def test_body_that_is_not_chunked_has_no_end(self) -> None:
        for data in (
            b"zz\r\n",
            b"\r\n",
            b" 4\r\ngood\r\n0\r\n\r\n",
            b"0x4\r\n",
            b"4\r\ngoodX\r\n0\r\n\r\n",
            b"f" * 17 + b"\r\n",
            b"-1\r\n",
        ):
            with self.subTest(data=data):
                for cuts in ([], list(range(1, len(data)))):
                    following = b"0\r\n\r\n" * 3
                    body, taken = measure(data + following, cuts)
                    self.assertFalse(body.is_complete)
                    self.assertEqual(taken, len(data + following))


if __name__ == "__main__":
    unittest.main()
