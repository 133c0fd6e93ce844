from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.hop_headers import end_to_end_headers
from lotushill.placement.memory_copies import MemoryCopies
from lotushill.platform import request_head
from lotushill.routing.demand import MAX_TOKENS
from lotushill.routing.demand import PromptPart
from lotushill.routing.urgency import Urgency

HEADERS = [
    (b"host", b"shop.example:80"),
    (b"attempt-id", b"9c41"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"length-hint", b"60"),
    (b"deadline-ms", b"15000"),
    (b"authorization", b"Bearer the-key"),
    (b"tenant", b"forged"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-kept", b"2"),
]


class TestDemand(unittest.TestCase):
    def test_all_headers_are_parsed(self) -> None:
        demand = request_head.read_demand(HEADERS)
        self.assertEqual(
            ("9c41", "shop.example", "the-key"), (demand.request_id, demand.host, demand.api_key)
        )
        self.assertEqual(
            (15.0, 1460, 80, 60),
            (demand.time_left, demand.prompt_tokens, demand.output_limit, demand.output_hint),
        )
        self.assertEqual(
            (PromptPart(0x5C1E07A2, 800), PromptPart(0x91BD3F06, 410), PromptPart(0xE4402B7D, 250)),
            demand.parts,
        )

    @given(st.integers(), st.floats(), st.floats())
    def test_numbers_of_any_size_are_bounded(self, size: int, tokens: float, ms: float) -> None:
        """A negative size of a part ended gateways that passed it on."""
        demand = request_head.read_demand(
            [
                (b"token-usage", f"{tokens},{size}".encode()),
                (b"prompt-prefix", f"ab:5,cd:{size}".encode()),
                (b"deadline-ms", str(ms).encode()),
            ]
        )
        counts = [
            demand.prompt_tokens,
            demand.output_limit,
            *(part.tokens for part in demand.parts),
        ]
        self.assertTrue(all(0 <= count <= MAX_TOKENS for count in counts), counts)
        self.assertEqual(0 if size < 0 else 2, len(demand.parts))
        self.assertTrue(demand.time_left is None or 0.0 <= demand.time_left < float("inf"))

    @given(st.sampled_from([name for name, _ in HEADERS]), st.binary(max_size=20))
    def test_malformed_headers_raise_no_error(self, name: bytes, value: bytes) -> None:
        request_head.read_demand([(name, value)])


class TestForwarded(unittest.TestCase):
    def test_the_key_the_forged_team_and_hop_headers_are_not_forwarded(self) -> None:
        kept = dict(request_head.forwarded_headers(HEADERS, b"body"))
        for name in (b"authorization", b"tenant", b"x-hop", b"connection", b"deadline-ms"):
            self.assertNotIn(name, kept)
        self.assertEqual(
            (b"2", b"m", b"4"), (kept[b"x-kept"], kept[b"model"], kept[b"content-length"])
        )

    def test_an_attempt_names_the_engine_to_fetch_cached_parts_from(self) -> None:
        copies = MemoryCopies(fetch_from="10.0.0.2:80")
        added = dict(request_head.attempt_headers("i-1", 1.0, Urgency(0), "", "", copies))
        self.assertEqual(b"10.0.0.2:80", added[b"kv-fetch"])

    def test_headers_that_an_attempt_adds(self) -> None:
        added = dict(request_head.attempt_headers("i-7", 1.25, Urgency(12), "bakery", "41"))
        self.assertEqual(
            {
                b"target-instance": b"i-7",
                b"deadline-ms": b"1250",
                b"request-priority": b"9",
                b"tenant": b"bakery",
                b"last-event-id": b"41",
            },
            added,
        )


class TestAnswers(unittest.TestCase):
    def test_the_signature_is_forwarded_and_hop_by_hop_headers_are_not(self) -> None:
        kept = end_to_end_headers(
            [(b"response-signature", b"s"), (b"connection", b"close"), (b"keep-alive", b"x")]
        )
        self.assertEqual([(b"response-signature", b"s")], kept)
