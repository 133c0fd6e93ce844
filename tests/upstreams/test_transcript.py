"""Streams cut anywhere: whole events go on, and the text is what was given."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.upstreams.transcript import Transcript

TEXTS = st.lists(st.text(st.characters(codec="utf-8"), min_size=1, max_size=6), max_size=8)


def event(text: str) -> bytes:
    """Return one event of a stream."""
    return b"data: " + json.dumps({"choices": [{"delta": {"content": text}}]}).encode() + b"\n\n"


class TestTranscript(unittest.TestCase):
    @given(TEXTS, st.data())
    def test_cuts_fall_between_events(self, texts: list[str], data: st.DataObject) -> None:
        stream = b"".join(event(text) for text in texts) + b"data: [DONE]\n\n"
        cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=6)))
        transcript = Transcript()
        given_out = b""
        for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
            events = transcript.feed(stream[start:end])
            self.assertTrue(not events or events.endswith(b"\n\n"))
            given_out += events
            transcript.commit(events)
        self.assertEqual(given_out, stream)
        self.assertEqual(transcript.text(), "".join(texts))
        self.assertEqual(transcript.tokens, len(texts))
        self.assertTrue(transcript.done)

    def test_text_that_looks_like_the_protocol_is_text(self) -> None:
        transcript = Transcript()
        transcript.commit(transcript.feed(event("data: [DONE]") + event("data: x\n\ndata: y")))
        self.assertFalse(transcript.done)
        self.assertEqual(transcript.tokens, 2)
        transcript.commit(transcript.feed(b": still there\n\ndata: [DONE]\n\n"))
        self.assertTrue(transcript.done)
        self.assertEqual(transcript.tokens, 2)

    def test_a_broken_attempt_leaves_nothing_of_a_half_event(self) -> None:
        transcript = Transcript()
        transcript.commit(transcript.feed(event("a") + event("b")[:10]))
        transcript.restart()
        transcript.commit(transcript.feed(event("b")))
        self.assertEqual(transcript.text(), "ab")

    @given(st.binary(max_size=100))
    def test_any_bytes_make_no_crash(self, data: bytes) -> None:
        transcript = Transcript()
        transcript.commit(transcript.feed(data + b"\n\n"))
        transcript.text()
