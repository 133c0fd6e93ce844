from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.requests.event_stream import EventSplitter


def event(number: int) -> bytes:
    return f"id: {number}\ndata: {'x' * (number % 7)}\n\n".encode()


class TestEventSplitter(unittest.TestCase):
    @given(st.integers(0, 8), st.lists(st.integers(1, 12), min_size=1), st.integers(0, 5))
    def test_only_whole_events_come_out_whatever_the_pieces(
        self, count: int, sizes: list[int], extra: int
    ) -> None:
        whole = b"".join(event(number) for number in range(count))
        data = whole + event(99)[:extra]
        splitter = EventSplitter()
        out = b""
        position = index = 0
        while position < len(data):
            size = sizes[index % len(sizes)]
            out += splitter.feed(data[position : position + size])
            position += size
            index += 1
        self.assertEqual(whole, out)
        self.assertEqual(data[len(whole) :], splitter.partial)
        self.assertEqual(str(count - 1) if count else "", splitter.last_id)

    @given(st.integers(1, 5), st.integers(1, 10))
    def test_a_resumed_run_does_not_repeat_the_partial_event_of_a_broken_one(
        self, before: int, cut: int
    ) -> None:
        splitter = EventSplitter()
        out = splitter.feed(b"".join(event(n) for n in range(before)) + event(before)[:cut])
        splitter.drop_partial()
        out += splitter.feed(event(before) + event(before + 1))
        self.assertEqual(b"".join(event(n) for n in range(before + 2)), out)

    def test_an_event_ends_at_an_empty_line_of_either_line_ending(self) -> None:
        for end in (b"\n\n", b"\r\n\r\n", b"\n\r\n"):
            data = b"id: 7\ndata: x" + end
            for size in range(1, len(data)):
                splitter = EventSplitter()
                self.assertEqual(b"", splitter.feed(data[:size]), data[:size])
                self.assertTrue(splitter.is_inside_event)
                self.assertEqual(data, splitter.feed(data[size:]))
                self.assertFalse(splitter.is_inside_event)

    def test_empty_lines_between_events_are_not_inside_an_event(self) -> None:
        splitter = EventSplitter()
        splitter.feed(event(0))
        for empty_line in (b"\n", b"\r", b"\r\n"):
            splitter.drop_partial()
            splitter.feed(empty_line)
            self.assertFalse(splitter.is_inside_event)
