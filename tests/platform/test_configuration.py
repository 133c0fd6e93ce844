from __future__ import annotations

import copy
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lotushill.platform.configuration import parse_table
from lotushill.platform.upstreams import parse_upstream
from lotushill.routing.exceptions import InvalidTableError
from lotushill.routing.route import RouteKind
from lotushill.views.exceptions import MalformedEntryError

SPEC: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-one",
            "host": "shop.example",
            "pathPrefix": "/one/",
            "kind": "stream",
            "timeoutMs": 12000,
            "targetLatencyMs": 250,
            "priority": 0,
            "service": "llm",
            "maxAttempts": 2,
            "public": False,
            "sessionAffinity": True,
            "streamResume": True,
            "targetGapMs": 150,
        },
        {
            "name": "r-two",
            "host": "shop.example",
            "pathPrefix": "/two/",
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 400,
            "priority": 2,
            "backends": [{"service": "llm", "weight": 90}, {"service": "app", "weight": 10}],
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/health",
            "maxConns": 310,
            "engine": {"slots": 48, "kvCapacity": 532839, "stride": 6, "models": [{"name": "m"}]},
        },
        {"name": "app", "healthPath": "/health", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "bakery", "apiKeys": ["k1", "k2"], "priority": 1}, {"name": "kiosk"}],
    "something": {"unknown": True},
}


class TestTable(unittest.TestCase):
    def test_all_fields_are_parsed(self) -> None:
        table = parse_table(SPEC)
        one = table.find_route("shop.example", "/one/x")
        two = table.find_route("shop.example", "/two/x")
        assert one is not None and two is not None
        self.assertEqual(
            (RouteKind.STREAM, True, 12.0, 0.25, 0.15),
            (one.kind, one.resumable, one.timeout, one.target, one.target_gap),
        )
        self.assertEqual((2, 0, False), (one.max_attempts, one.urgency.tier, one.public))
        self.assertTrue(one.repeatable)
        self.assertFalse(two.repeatable)
        self.assertEqual(["llm", "app"], [item.service for item in two.services])
        engine = table.services["llm"].engine
        assert engine is not None
        self.assertEqual(
            (48, 532839, 6), (engine.slots, engine.memory_tokens, engine.tokens_per_event)
        )
        self.assertIsNone(table.services["app"].engine)
        self.assertEqual((16384, 15.0), (table.limits.header_bytes, table.limits.idle_seconds))
        team = table.team("k2")
        self.assertEqual(("bakery", 1), (team.name, team.priority) if team else None)

    @given(st.sampled_from(["version", "name", "kind", "pathPrefix", "timeoutMs", "host"]))
    def test_a_missing_field_is_named_in_the_error(self, field: str) -> None:
        spec = copy.deepcopy(SPEC)
        spec.pop(field, None)
        spec["routes"][0].pop(field, None)
        with self.assertRaises(InvalidTableError) as caught:
            parse_table(spec)
        self.assertIn(field, str(caught.exception))

    @given(st.recursive(st.none() | st.integers() | st.text(max_size=3), st.lists, max_leaves=5))
    def test_other_data_raises_invalid_table_error(self, spec: Any) -> None:
        with self.assertRaises(InvalidTableError):
            parse_table(spec)


class TestUpstream(unittest.TestCase):
    SPEC = {
        "service": "llm",
        "address": "10.0.0.9:80",
        "zone": "z",
        "version": "v1",
        "slots": 48,
        "state": "ready",
        "coldRemainingMs": 1500,
        "seqNo": 4,
    }

    def test_all_fields_are_parsed(self) -> None:
        upstream = parse_upstream("i-1", self.SPEC)
        self.assertEqual(("i-1", "llm", "10.0.0.9:80", "z", 48, False, 1.5), (
            upstream.id, upstream.service, upstream.address, upstream.hall, upstream.slots,
            upstream.draining, upstream.slow_seconds,
        ))  # fmt: skip

    def test_a_draining_upstream_is_marked_as_draining(self) -> None:
        upstream = parse_upstream("i-1", {**self.SPEC, "state": "draining"})
        self.assertTrue(upstream and upstream.draining)

    def test_a_malformed_entry_raises_malformed_entry_error(self) -> None:
        for spec in ({"service": "llm"}, None):
            with self.assertRaises(MalformedEntryError):
                parse_upstream("i-1", spec)
