"""Inheritance along the levels of the tree."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.effective import resolve
from lotushill.contracts.effective import trace
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team

LEVELS = ("root", "team", "service", "class")
VALUES: dict[str, st.SearchStrategy[Any]] = {
    "deadline": st.sampled_from([1.0, 2.0, 3.0]),
    "repeatable": st.booleans(),
    "max_output_tokens": st.integers(1, 9),
    "tier": st.sampled_from(["high", "low"]),
}
POLICIES = st.fixed_dictionaries({}, optional=VALUES)


def make_tree(policies: dict[str, dict[str, Any]]) -> tuple[Root, Team]:
    """Return a tree of one class with the policies of its four levels."""
    root = Root.model_validate(
        {
            "tiers": ["high", "low"],
            "pools": {"pool": {"kind": "service"}},
            "policy": {"pool": "pool", "tier": "low"} | policies["root"],
        }
    )
    leaf = {"policy": policies["class"]}
    service = {"policy": policies["service"], "classes": {"klass": leaf}}
    team = {"team": "team", "policy": policies["team"], "services": {"svc": service}}
    return root, Team.model_validate(team)


class TestInheritance(unittest.TestCase):
    @given(st.fixed_dictionaries(dict.fromkeys(LEVELS, POLICIES)))
    def test_the_nearest_level_that_sets_a_value_wins(
        self, policies: dict[str, dict[str, Any]]
    ) -> None:
        root, team = make_tree(policies)
        contract = resolve(root, team, "svc", "klass")
        origins = trace(root, team, "svc", "klass")
        for name in VALUES:
            setters = [level for level in LEVELS if name in policies[level]]
            if not setters:
                continue
            expected = policies[setters[-1]][name]
            self.assertEqual(getattr(contract, name), expected)
            self.assertEqual(origins[name].value, expected)
            self.assertEqual(origins[name].level.split()[0], setters[-1])

    def test_a_tier_that_the_root_lacks_is_named_by_its_path(self) -> None:
        policies: dict[str, dict[str, Any]] = {level: {} for level in LEVELS}
        policies["class"] = {"tier": "none"}
        root, team = make_tree(policies)
        with self.assertRaises(SettingsError) as caught:
            resolve(root, team, "svc", "klass")
        (fault,) = caught.exception.faults
        self.assertEqual(fault.path, "services.svc.classes.klass.policy.tier")

    def test_early_refusal_needs_a_target(self) -> None:
        policies: dict[str, dict[str, Any]] = {level: {} for level in LEVELS}
        policies["team"] = {"refuse_early": True}
        root, team = make_tree(policies)
        with self.assertRaises(SettingsError):
            resolve(root, team, "svc", "klass")
