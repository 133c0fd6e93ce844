"""Frames are decoded to the encoded message; invalid or forged bytes raise typed errors."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.exceptions import ForgedFrameError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.limit_messages import LimitNews
from lotushill.links.messages import LeavingNews
from lotushill.links.messages import ModelPage
from lotushill.links.messages import ModelPull
from lotushill.links.messages import Ping
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.links.messages import Pong
from lotushill.links.messages import RosterPage
from lotushill.links.messages import RosterPull
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.messages import WaitingNews
from lotushill.links.messages import WorkPage
from lotushill.links.messages import WorkPull
from lotushill.links.origin_messages import EndedNews
from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk
from lotushill.links.origin_messages import OriginNews
from lotushill.links.quarantine_messages import ClearedNews
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import SuspectNews
from lotushill.links.return_messages import ReturnNews
from lotushill.links.seal import Seal
from lotushill.links.slot_messages import SlotAnswer
from lotushill.links.slot_messages import SlotAsk
from lotushill.links.slot_messages import SlotReport
from lotushill.links.slot_messages import SlotReportAck

TEXTS = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=12)
SMALL = st.integers(0, 255)
st.register_type_strategy(str, TEXTS)
st.register_type_strategy(int, SMALL)
st.register_type_strategy(float, st.floats(0, 1000, width=32))
KINDS: list[Any] = [
    ReturnNews,
    Ping,
    Pong,
    ViewPull,
    ViewPage,
    RosterPull,
    RosterPage,
    ModelPull,
    ModelPage,
    PlacementAsk,
    PlacementAnswer,
    WorkPull,
    WorkPage,
    SuspectNews,
    ClearedNews,
    LeavingNews,
    GroupNews,
    WaitingNews,
    OriginNews,
    EndedNews,
    OriginAsk,
    OriginAnswer,
    LimitNews,
    SlotAsk,
    SlotAnswer,
    SlotReport,
    SlotReportAck,
]


class TestCodec(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.sampled_from(KINDS).flatmap(st.from_type))
    def test_each_message_is_decoded_as_it_was_encoded(self, message: Any) -> None:
        self.assertEqual(decode(encode(message)), message)

    @settings(max_examples=300)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_malformed_frame_errors(self, data: bytes) -> None:
        try:
            decode(data)
        except MalformedFrameError:
            pass

    @settings(max_examples=300)
    @given(st.data())
    def test_damaged_frames_are_malformed_or_another_message(self, data: st.DataObject) -> None:
        frame = bytearray(encode(Ping("entry-0", 7, "entry-1", ())))
        index = data.draw(st.integers(0, len(frame) - 1))
        frame[index] ^= data.draw(st.integers(1, 255))
        try:
            decode(bytes(frame))
        except MalformedFrameError:
            pass


class TestSeal(unittest.TestCase):
    OLD, NEW = b"old-old-old-old-", b"new-new-new-new-"

    def test_keys_rotate_without_downtime(self) -> None:
        before, during, after = Seal((self.OLD,)), Seal((self.NEW, self.OLD)), Seal((self.NEW,))
        self.assertEqual(during.open(before.sign(b"x")), b"x")
        self.assertEqual(after.open(during.sign(b"x")), b"x")
        with self.assertRaises(ForgedFrameError):
            after.open(before.sign(b"x"))

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_rejected_as_forged(self, data: bytes) -> None:
        with self.assertRaises(ForgedFrameError):
            Seal((self.OLD,)).open(data)

    def test_a_frame_is_valid_only_in_its_context(self) -> None:
        seal = Seal((self.OLD,))
        with self.assertRaises(ForgedFrameError):
            seal.open(seal.sign(b"x", b"1"), b"2")
