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
    def test_what_goes_in_comes_out(self, message: Datagram) -> None:
        self.assertEqual(message, from_datagram(to_datagram(message)))

    @given(st.binary(max_size=60))
    def test_other_bytes_are_malformed_or_another_message(self, data: bytes) -> None:
        try:
            from_datagram(data)
        except MalformedFrameError:
            pass
