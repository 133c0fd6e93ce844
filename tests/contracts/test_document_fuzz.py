"""Arbitrary settings documents are valid or rejected with faults that name their paths."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.contracts.document import check
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import TeamSettings
from lotushill.contracts.yaml_text import parse
from lotushill.contracts.yaml_text import write

SCALARS = st.none() | st.booleans() | st.integers(-5, 10**12) | st.text("ab:{-", max_size=6)
KEYS = st.sampled_from(
    ["team", "keys", "policy", "services", "classes", "tiers", "pools", "weight", "limits", "tier"]
)
TREES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)


class TestDocuments(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.text(max_size=80))
    def test_any_text_is_parsed_or_a_settings_error(self, text: str) -> None:
        try:
            parse(text, "x")
        except SettingsError as error:
            self.assertTrue(error.faults)

    @settings(max_examples=200)
    @given(TREES)
    def test_any_tree_is_valid_or_has_faults_with_paths(self, tree: Any) -> None:
        for model in (Root, TeamSettings):
            try:
                check(model, tree, "x")
            except SettingsError as error:
                self.assertTrue(all(fault.path and fault.reason for fault in error.faults))

    @given(TREES)
    def test_written_yaml_is_parsed_to_the_same_data(self, tree: Any) -> None:
        self.assertEqual(parse(write(tree), "x"), tree)

    def test_deep_nesting_raises_settings_error(self) -> None:
        with self.assertRaises(SettingsError):
            parse("[" * 20_000, "x")
