"""Malformed entries of upstreams are rejected and do not affect the other entries."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.event_log import EventLog
from lotushill.gateway.store_views import StoreViews
from lotushill.links.messages import ViewKind
from lotushill.platform.object_store import ObjectStore
from lotushill.platform.upstreams import parse_upstream
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.exceptions import MalformedViewError
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from tests.entries import entry

GOOD = entry("llm", "10.0.0.1:80")
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
FIELDS = st.sampled_from([*GOOD, "born"])


class TestEntries(unittest.TestCase):
    def test_an_entry_with_a_missing_or_mistyped_field_is_rejected(self) -> None:
        wrong: dict[str, tuple[Any, ...]] = {
            "service": (None, "", 5, ["llm"]),
            "address": (None, 5, "here", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "a.b:80"),
            "zone": (None, 3, {}),
            "version": (None, 1),
            "slots": (None, 0, -1, 2.5, "4", True, float("inf"), 10**30),
            "state": (None, "", "READY", "standby", 1),
            "coldRemainingMs": (None, -1, "0", float("nan"), float("inf")),
            "seqNo": (None, "1", 1.5),
            "born": (None, "x", 1.5, -1, True),
        }
        for name, values in wrong.items():
            for value in values:
                with self.subTest(field=name, value=value), self.assertRaises(MalformedEntryError):
                    parse_upstream("i-1", {**GOOD, name: value})
            if name != "born":
                missing = {field: value for field, value in GOOD.items() if field != name}
                with self.subTest(missing=name), self.assertRaises(MalformedEntryError):
                    parse_upstream("i-1", missing)

    def test_a_name_that_is_invalid_in_a_header_is_rejected(self) -> None:
        for name in ("", "a b", "a\r\nTenant: x", "ü", "i-1@5", "x" * 300):
            with self.subTest(name=name), self.assertRaises(MalformedEntryError):
                parse_upstream(name, GOOD)

    @given(PLAIN | st.tuples(FIELDS, PLAIN).map(lambda item: {**GOOD, item[0]: item[1]}))
    @settings(max_examples=300)
    def test_any_plain_data_is_an_upstream_or_a_typed_error(self, spec: Any) -> None:
        try:
            upstream = parse_upstream("i-1", spec)
        except MalformedEntryError:
            return
        self.assertEqual("i-1", upstream.name)
        self.assertGreaterEqual(upstream.slots, 1)


class TestIncarnations(unittest.TestCase):
    def test_a_restarted_instance_is_a_new_upstream_with_the_same_name(self) -> None:
        first = parse_upstream("i-1", {**GOOD, "born": 1700})
        again = parse_upstream("i-1", {**GOOD, "born": 1800})
        self.assertNotEqual(first.id, again.id)
        self.assertEqual(("i-1", "i-1"), (first.name, again.name))

    def test_without_a_start_time_the_name_is_the_id(self) -> None:
        self.assertEqual("i-1", parse_upstream("i-1", GOOD).id)


class TestViewOfEntries(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        log = EventLog("gw", lambda line: self.lines.append(json.loads(line)))

        self.views = StoreViews(ObjectStore("127.0.0.1:1"), random.Random(1), log, lambda: None)
        self.revision = 0

    def list_entries(self, **specs: Any) -> None:
        self.revision += 1
        objects = tuple(StoredObject(name, self.revision, spec) for name, spec in specs.items())
        self.views._upstreams._on_list(ObjectList(objects, self.revision))

    def ready_ids(self) -> list[str]:
        return [item.id for item in self.views.upstreams.of("llm")]

    def ignored_entries(self) -> list[str]:
        return [line["object"] for line in self.lines if line["event"] == "entry.ignored"]

    def test_a_malformed_entry_affects_no_other_and_later_changes_are_applied(self) -> None:
        bad = {**GOOD, "slots": float("inf")}
        self.list_entries(a=GOOD, b=bad, c=GOOD)
        self.assertEqual(["a", "c"], self.ready_ids())
        self.list_entries(a={**GOOD, "state": "draining"}, b=bad, c=GOOD)
        self.assertEqual(["c"], self.ready_ids())

    def test_each_fault_is_logged_once_until_it_changes(self) -> None:
        for number in range(4):
            self.list_entries(a=GOOD, b={**GOOD, "state": "?", "seqNo": number})
        self.list_entries(a=GOOD, b={**GOOD, "address": 5})
        self.assertEqual(["b", "b"], self.ignored_entries())
        self.assertEqual(2, self.views.upstream_faults.total_count)

    def test_an_upstream_whose_entry_becomes_malformed_is_removed_even_after_an_outage(
        self,
    ) -> None:
        self.list_entries(a=GOOD, b=GOOD)
        self.views.upstreams.replace([], 2, {"a": 1e12, "b": 1e12})
        self.revision = 2
        self.list_entries(a="spoilt", b=GOOD)
        self.assertEqual(["b"], self.ready_ids())

    def test_a_drained_upstream_that_restarts_under_its_name_is_available_again(self) -> None:
        self.list_entries(a={**GOOD, "born": 1})
        self.list_entries(a={**GOOD, "born": 1, "state": "draining"})
        self.list_entries(a={**GOOD, "born": 2})
        self.assertEqual(["a@2"], self.ready_ids())
        self.assertIsNone(self.views.upstreams.find("a@1"))

    def test_a_former_incarnation_is_not_kept_with_the_current_one(self) -> None:
        self.list_entries(a={**GOOD, "born": 1})
        self.views.upstreams.replace([], 2, {"a@1": 1e12})
        self.revision = 2
        self.list_entries(a={**GOOD, "born": 2})
        self.assertEqual(["a@2"], self.ready_ids())

    @given(st.sampled_from(list(ViewKind)), st.binary(max_size=60) | PLAIN.map(json.dumps))
    @settings(max_examples=200)
    def test_any_data_of_a_peer_is_applied_or_a_typed_error(
        self, kind: ViewKind, text: bytes | str
    ) -> None:
        decoded = text.decode("latin-1") if isinstance(text, bytes) else text
        try:
            self.views.receive_from_peer(kind, 10**6, decoded)
        except MalformedViewError:
            pass
