"""The end of a chunked body is found where it is, however the bytes arrive."""

from __future__ import annotations

import itertools
import unittest
from random import Random

from coraldeal.framing import ChunkedBody, FixedBody, Head
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


class HeadTest(unittest.TestCase):
    def test_end_of_a_head_is_found_however_it_is_cut(self) -> None:
        # Guards against a part of a body that is passed to the parser uncounted, together with its head.
        for head in (
            b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
            b"HTTP/1.1 200 OK\nX: y\n\n",
            b"HTTP/1.1 200 OK\r\nX: y\n\r\n",
            b"\r\n\nHTTP/1.1 200 OK\r\n\r\n",
        ):
            for first, second in itertools.combinations(range(len(head) + 1), 2):
                with self.subTest(head=head, first=first, second=second):
                    part = Head()
                    taken = [
                        part.measure(piece)
                        for piece in (head[:first], head[first:second], head[second:] + b"\r\n\r\nbody")
                        if piece
                    ]
                    # A cut behind the head leaves the last piece to the parser.
                    expected = len(head) + (8 if second == len(head) else 0)
                    self.assertEqual(sum(taken), expected)
                    self.assertEqual(part.has_empty_line_ahead, not head.startswith(b"HTTP"))


class FixedBodyTest(unittest.TestCase):
    def test_body_takes_its_length_and_nothing_more(self) -> None:
        body = FixedBody(5)
        self.assertEqual([body.measure(piece) for piece in (b"abc", b"defg", b"h")], [3, 2, 0])
        self.assertTrue(body.is_complete)


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
            b"4\ngood\r\n",
            b"0;a\n\r\n",
        ):
            with self.subTest(data=data):
                for cuts in ([], list(range(1, len(data)))):
                    following = b"0\r\n\r\n" * 3
                    body, taken = measure(data + following, cuts)
                    self.assertFalse(body.is_complete)
                    self.assertEqual(taken, len(data + following))


if __name__ == "__main__":
    unittest.main()
