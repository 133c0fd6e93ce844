"""Views sent to peers: a large configuration is in force in a whole hall within three seconds.

Guards against a slow transfer of views. After a change with a thousand routes in a fleet of 76
gateways, eight requests were handled by the previous configuration more than three seconds after
the new one was acknowledged. By calculation, not from a log: a hall's reader on a host with
10 Mbit/s takes 4.4 s to send 303 KB to each of 18 others.
"""

from __future__ import annotations

import json
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.event_log import EventLog
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.packed_text import compress_text
from lotushill.links.packed_text import decompress_text
from lotushill.membership.membership import Membership
from lotushill.membership.membership_options import MembershipOptions
from lotushill.peering.view_exchange import ViewExchange

MEMBERS = 18
NARROW_LINK_BYTES_PER_SECOND = 1_250_000.0
"""Bytes per second of a link with 10 Mbit/s."""
IN_FORCE_SECONDS = 3.0
RNG = random.Random(7)


def route(number: int) -> dict[str, object]:
    name = f"{RNG.getrandbits(32):x}"
    return {
        "name": f"r-{name}",
        "host": f"h{number % 40}.example",
        "pathPrefix": f"/{RNG.getrandbits(36):x}/",
        "kind": "stream",
        "timeoutMs": 5000,
        "targetLatencyMs": 835,
        "priority": 1,
        "service": "lede88a",
        "maxAttempts": 2,
        "public": False,
        "sessionAffinity": True,
        "streamResume": True,
        "targetGapMs": 500,
    }


TEXT = json.dumps({"version": 15, "routes": [route(n) for n in range(1100)]})


class Links:
    """Collects the posted messages."""

    def __init__(self) -> None:
        self.posted: list[ViewPage] = []

    def post(self, peer: str, *messages: ViewPage) -> None:
        self.posted += messages


class TestViewExchange(unittest.TestCase):
    def setUp(self) -> None:
        own = MemberState("a", "10.0.0.1:1", "h0", "r", 1, MemberPhase.ALIVE)
        self.links = Links()
        self.received: list[str] = []
        self.exchange = ViewExchange(
            Membership(own, (), MembershipOptions(), random.Random(1)),
            self.links,  # type: ignore[arg-type]
            random.Random(1),
            lambda _: (15, TEXT),
            lambda _kind, _revision, text: self.received.append(text),
            EventLog("a", lambda _: None),
        )

    def test_a_thousand_routes_reach_a_hall_over_a_narrow_link_in_time(self) -> None:
        for number in range(MEMBERS):
            self.exchange.answer(f"m{number}", ViewPull(ViewKind.CONFIGURATION, 11))
        sent = sum(len(page.packed) + len(page.text) for page in self.links.posted)
        self.assertEqual(MEMBERS, len(self.links.posted))
        self.assertLess(sent / NARROW_LINK_BYTES_PER_SECOND, IN_FORCE_SECONDS / 2)

    def test_received_view_equals_the_sent_one(self) -> None:
        self.exchange.answer("m", ViewPull(ViewKind.CONFIGURATION, 11))
        self.assertTrue(self.exchange.receive(self.links.posted[0]))
        self.assertEqual([TEXT], self.received)

    def test_unpacked_page_of_an_older_process_is_accepted(self) -> None:
        self.assertTrue(self.exchange.receive(ViewPage(ViewKind.CONFIGURATION, 15, "{}")))
        self.assertEqual(["{}"], self.received)

    def test_malformed_packed_views_are_rejected(self) -> None:
        for packed in (b"x", compress_text(TEXT)[:-9], compress_text("a" * 17_000_000)):
            page = ViewPage(ViewKind.CONFIGURATION, 15, packed=packed)
            self.assertFalse(self.exchange.receive(page))
        self.assertEqual([], self.received)


class TestPackedText(unittest.TestCase):
    @given(st.text())
    def test_unpack_returns_the_packed_text(self, text: str) -> None:
        self.assertEqual(text, decompress_text(compress_text(text)))

    @given(st.binary(max_size=64))
    def test_other_bytes_raise_malformed_frame_error(self, data: bytes) -> None:
        try:
            decompress_text(data)
        except MalformedFrameError:
            return


if __name__ == "__main__":
    unittest.main()
