"""One value that cannot be represented makes no other value of an answer unreadable."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.tolerant_json import parse_json

PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)
BRACKETS = 'a "string" with [brackets] and a \\" {'


class TestTolerantJson(unittest.TestCase):
    @given(PLAIN)
    def test_ordinary_values_are_parsed_unchanged(self, value: object) -> None:
        self.assertEqual(value, parse_json(json.dumps(value)))

    def test_an_entry_that_is_nested_too_deep_costs_only_itself(self) -> None:
        """After one entry was nested a thousand levels deep, no new engine was ever known."""
        for opening, closing in (("[", "]"), ('{"a":', "}")):
            deep = opening * 100_000 + "1" + closing * 100_000
            entries = f'[{{"name": {json.dumps(BRACKETS)}}}, {{"spec": {deep}}}, {{"name": "c"}}]'
            parsed = parse_json(entries)
            self.assertEqual([{"name": BRACKETS}, {"name": "c"}], [parsed[0], parsed[2]])

    def test_a_number_of_too_many_digits_costs_only_itself(self) -> None:
        parsed = parse_json(f'[{{"slots": {"9" * 5_000}}}, {{"slots": 8}}]')
        self.assertEqual([{"slots": float("inf")}, {"slots": 8}], parsed)

    @given(st.text('[]{}",:0a', max_size=30))
    def test_malformed_text_raises_a_value_error(self, text: str) -> None:
        for prefix in ("", "[" * 5_000):
            try:
                parse_json(prefix + text)
            except ValueError:
                pass
