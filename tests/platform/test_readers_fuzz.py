"""Every parser of external data returns a value or raises its own error, for any data or bytes."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.contracts.settings_view import SettingsView
from lotushill.duties.duty_record import from_spec
from lotushill.duties.duty_record import to_spec
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonAnswer
from lotushill.links.load_records import unpack_loads
from lotushill.platform import object_store
from lotushill.platform.configuration import parse_table
from lotushill.quarantine.hold_view import HoldView
from lotushill.routing.exceptions import InvalidTableError
from lotushill.views.exceptions import StoreUnavailableError
from tests.platform.test_configuration import SPEC

SCALARS = (
    st.none() | st.booleans() | st.integers() | st.just(10**400) | st.floats() | st.text(max_size=8)
)
PLAIN = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of every value in plain data."""
    paths = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            paths += _paths(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            paths += _paths(inner, (*path, index))
    return paths


def _replaced(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return plain data with the value at a path replaced."""
    if not path:
        return new
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[path[0]] = _replaced(value[path[0]], path[1:], new)
    return copied


def malformed_variants(good: Any) -> st.SearchStrategy[Any]:
    """Return plain data that differs from valid data in one value or completely."""
    path_and_value = st.tuples(st.sampled_from(_paths(good)), PLAIN)
    return PLAIN | path_and_value.map(lambda item: _replaced(good, item[0], item[1]))


RECORD = {
    "holder": "gw",
    "life": 1,
    "beat": 2,
    "settled": 3,
    "reports": {"4": {"team": 5}},
    "checkpoint": {"at": 1.5, "windows": {"6": {"team": 7}}},
    "orders": {"llm/east": [1, 2]},
    "bases": {"llm": 3},
}
PAGE = {
    "items": [{"metadata": {"name": "a", "revision": 3}, "spec": {}}],
    "more": False,
    "at": 4,
}
EVENTS = {"events": [{"object": PAGE["items"][0], "gone": False}], "at": 4}  # type: ignore[index]


class TestReaders(unittest.TestCase):
    @given(malformed_variants(SPEC))
    @settings(max_examples=400)
    def test_a_configuration_is_parsed_or_a_typed_error(self, spec: Any) -> None:
        try:
            parse_table(spec)
        except InvalidTableError:
            pass

    @given(malformed_variants(RECORD))
    @settings(max_examples=400)
    def test_a_duty_record_that_is_parsed_can_be_written(self, spec: Any) -> None:
        record = from_spec(spec)
        if record is not None:
            json.dumps(to_spec(record))

    @given(malformed_variants(PAGE), malformed_variants(EVENTS))
    @settings(max_examples=400)
    def test_answers_of_the_store_are_parsed_or_a_typed_error(self, page: Any, events: Any) -> None:
        for read, body in ((object_store._parse_page, page), (object_store._parse_events, events)):
            try:
                object_store._parse(read, body)
            except StoreUnavailableError:
                pass

    @given(st.dictionaries(st.text(max_size=34), PLAIN, max_size=4))
    def test_each_hold_is_parsed_or_counted_as_a_fault(self, objects: dict[str, Any]) -> None:
        view = HoldView()
        view.replace(objects, 1)
        self.assertEqual(len(objects), len(view.holds) + len(view.faults))

    @given(st.dictionaries(st.sampled_from(("root", "team.a", "x")), PLAIN, max_size=3))
    def test_the_settings_view_accepts_any_objects(self, objects: dict[str, Any]) -> None:
        SettingsView().replace(objects, 1)

    @given(st.binary(max_size=80) | PLAIN.map(lambda value: json.dumps(value).encode()))
    @settings(max_examples=300)
    def test_the_body_of_an_answer_is_parsed_or_a_typed_error(self, content: bytes) -> None:
        try:
            JsonAnswer(200, content).read()
        except NoAnswerError:
            pass

    def test_bytes_that_are_not_utf8_affect_only_their_own_value(self) -> None:
        found = JsonAnswer(200, b'{"a": "\xff\xfe", "b": 1}').read()
        self.assertEqual(1, found["b"])

    def test_very_deep_nesting_raises_no_answer_error(self) -> None:
        with self.assertRaises(NoAnswerError):
            JsonAnswer(200, b"[" * 100_000).read()

    @given(st.binary(max_size=200))
    @settings(max_examples=300)
    def test_load_records_are_parsed_or_a_typed_error(self, data: bytes) -> None:
        try:
            unpack_loads(data, lambda _: "u")
        except MalformedFrameError:
            pass
