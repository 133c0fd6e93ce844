"""Datagrams are decoded to the encoded message; invalid bytes raise MalformedFrameError."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.datagram import Datagram
from lotushill.links.datagram import from_datagram
from lotushill.links.datagram import to_datagram
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews
from lotushill.links.messages import Ping

RECORDS = st.binary(max_size=40)
MESSAGES = st.one_of(
    st.builds(LoadNews, RECORDS),
    st.builds(LoadBatch, st.text(max_size=12), RECORDS),
    st.builds(Ping, st.just("gw"), st.integers(0, 99), st.just(""), st.just(())),
)


class TestDatagram(unittest.TestCase):
    @given(MESSAGES)
    def test_each_message_is_decoded_as_it_was_encoded(self, message: Datagram) -> None:
        self.assertEqual(message, from_datagram(to_datagram(message)))

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_malformed_or_a_message(self, data: bytes) -> None:
        try:
            from_datagram(data)
        except MalformedFrameError:
            pass
