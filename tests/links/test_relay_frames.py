"""Bytes of a relay are recovered from pieces of any size, and its own end is not the upstream's."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.relay_frames import END_FRAME
from lotushill.links.relay_frames import MAX_FRAME_BYTES
from lotushill.links.relay_frames import FrameReader
from lotushill.links.relay_frames import FrameTooLongError
from lotushill.links.relay_frames import data_frame

PIECES = st.lists(st.binary(min_size=1, max_size=40), max_size=8)


class TestRelayFrames(unittest.TestCase):
    @given(PIECES, st.integers(1, 60), st.booleans())
    def test_the_bytes_are_recovered(self, pieces: list[bytes], size: int, ends: bool) -> None:
        sent = b"".join(map(data_frame, pieces)) + (END_FRAME if ends else b"")
        reader = FrameReader()
        received = b"".join(
            reader.feed(sent[start : start + size]) for start in range(0, len(sent), size)
        )
        self.assertEqual((b"".join(pieces), ends), (received, reader.has_ended))

    @given(PIECES, st.data())
    def test_a_truncated_sequence_has_not_ended(
        self, pieces: list[bytes], data: st.DataObject
    ) -> None:
        sent = b"".join(map(data_frame, pieces)) + END_FRAME
        reader = FrameReader()
        received = reader.feed(sent[: data.draw(st.integers(0, len(sent) - 1))])
        self.assertTrue(b"".join(pieces).startswith(received))
        self.assertFalse(reader.has_ended)

    def test_a_frame_that_is_too_long_is_rejected(self) -> None:
        with self.assertRaises(FrameTooLongError):
            FrameReader().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
