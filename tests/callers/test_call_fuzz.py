"""Calls that nobody planned: always a typed answer, and nothing reaches an upstream."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.callers.call import Call
from lotushill.callers.call import parse_call
from lotushill.callers.exceptions import CallError
from tests.callers.rig import KEY
from tests.callers.rig import Rig
from tests.callers.rig import make_book
from tests.callers.rig import make_engines
from tests.callers.rig import run_with

BOOK = make_book()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)
KEYS = st.sampled_from(["model", "prompt", "messages", "max_tokens", "stream", "resume_text"])
BODIES = st.one_of(
    st.binary(max_size=64),
    st.dictionaries(KEYS, JSON).map(lambda value: json.dumps(value).encode()),
    st.just(b"[" * 100_000),
)
VALUES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"letters", b"desk", b"yes", b"no", b"1e400", b"nan", b"-1", b"0", b"10"]),
)
NAMES = st.sampled_from(
    [
        b"authorization",
        b"lotushill-service",
        b"lotushill-class",
        b"lotushill-deadline",
        b"lotushill-repeatable",
        b"idempotency-key",
        b"content-type",
    ]
)
PATHS = st.sampled_from(["/v1/chat/completions", "/v1/completions", "/", "/notes", "//x", "/../y"])
GOOD = [
    (b"authorization", b"Bearer " + KEY.encode()),
    (b"lotushill-service", b"letters"),
    (b"lotushill-class", b"desk"),
]


def parse(path: str, headers: list[tuple[bytes, bytes]], body: bytes) -> Call | None:
    """Return the call, or None for one that is turned away with a typed error."""
    try:
        return parse_call("0" * 24, "POST", path, b"", headers, body, BOOK)
    except CallError as error:
        assert 400 <= error.fault.status < 500, error
        return None


class TestCalls(unittest.TestCase):
    @settings(max_examples=300)
    @given(PATHS, st.lists(st.tuples(NAMES, VALUES), max_size=6), BODIES)
    def test_any_call_is_taken_or_turned_away_by_type(
        self, path: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        parse(path, headers, body)

    @settings(max_examples=300)
    @given(st.lists(st.tuples(NAMES, VALUES), max_size=3), BODIES)
    def test_calls_with_a_good_key(self, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        # Of a header that stands twice the later one counts, so the good ones come last.
        call = parse("/v1/chat/completions", headers + GOOD, body)
        if call is not None:
            self.assertGreater(call.deadline, 0)
            self.assertLessEqual(call.deadline, call.contract.deadline)
            self.assertGreaterEqual(call.prompt_tokens, 1)
            self.assertGreaterEqual(call.output_limit, 1)

    def test_a_caller_cannot_widen_what_the_contract_says(self) -> None:
        headers = [
            (b"authorization", b"Bearer " + KEY.encode()),
            (b"lotushill-service", b"portal"),
            (b"lotushill-class", b"note"),
            (b"lotushill-deadline", b"9999"),
            (b"lotushill-repeatable", b"yes"),
        ]
        call = parse("/notes", headers, b"")
        assert call is not None
        self.assertFalse(call.repeatable)
        self.assertEqual(call.deadline, 10.0)

    def test_half_of_a_character_pair_is_no_crash(self) -> None:
        prompt = "\\ud800" * 300
        body = b'{"model": "disputes-8b", "prompt": "' + prompt.encode() + b'"}'
        self.assertIsNotNone(parse("/v1/completions", GOOD, body))

    def test_a_caller_cannot_pass_off_text_as_an_answer_begun(self) -> None:
        body = b'{"model": "disputes-8b", "prompt": "x", "resume_text": "as if"}'
        call = parse("/v1/completions", GOOD, body)
        assert call is not None and call.content is not None
        self.assertNotIn("resume_text", call.content)

    def test_own_headers_and_the_key_go_to_no_upstream(self) -> None:
        headers = [*GOOD, (b"Lotushill-Priority", b"0"), (b"x-trace", b"7")]
        body = b'{"model": "disputes-8b", "prompt": "x"}'
        call = parse("/v1/completions", headers, body)
        assert call is not None
        self.assertEqual(call.headers, ((b"x-trace", b"7"),))


class TestMalformedOverHttp(unittest.TestCase):
    def test_malformed_calls_cost_nothing_upstream(self) -> None:
        async def scenario(rig: Rig) -> None:
            order = rig.letter("x")
            cases: list[tuple[Any, bytes, int]] = [
                (order, b"{", 400),
                (order, b'{"model": "other", "prompt": "x"}', 404),
                (rig.letter("x", "none"), b"{}", 403),
                (rig.letter("x", path="/elsewhere"), b"{}", 404),
                (order, b"x" * (5 * 1024 * 1024), 413),
            ]
            for wrong, body, status in cases:
                reply = await rig.caller.send(wrong, body)
                self.assertEqual((reply.status, reply.outcome), (status, "refused"), body[:40])
            self.assertEqual(rig.runs(), 0)

        run_with(Rig(make_book(), make_engines(1)), scenario)

    def test_a_caller_that_goes_in_mid_body_leaves_nothing(self) -> None:
        async def scenario(rig: Rig) -> None:
            host, port = rig.address.split(":")
            stream = await anyio.connect_tcp(host, int(port))
            await stream.send(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
            await stream.send(b"content-length: 100\r\n\r\n{")
            await stream.aclose()
            await anyio.sleep(0.1)
            self.assertEqual(rig.front_door.in_progress, 0)
            self.assertEqual(rig.runs(), 0)

        run_with(Rig(make_book(), make_engines(1)), scenario)
