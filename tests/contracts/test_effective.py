"""Inheritance of values over the levels of the tree."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.effective import PLATFORM
from lotushill.contracts.effective import resolve
from lotushill.contracts.effective import trace
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import TeamSettings
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.team import Team
from lotushill.routing.urgency import DEFAULT_TEAM_RANK
from lotushill.routing.urgency import Urgency

LEVELS = ("root", "root service", "root class", "team", "service", "class")
VALUES: dict[str, st.SearchStrategy[Any]] = {
    "deadline": st.sampled_from([1.0, 2.0, 3.0]),
    "tier": st.integers(0, 9),
    "max_attempts": st.integers(1, 16),
    "repeatable": st.booleans(),
    "share": st.sampled_from([0.5, 1.0, 4.0]),
}
POLICIES = st.fixed_dictionaries({}, optional=VALUES)
TREES = st.fixed_dictionaries(dict.fromkeys(LEVELS, POLICIES))


def route(may_repeat: bool = True, max_attempts: int = 4) -> Route:
    return Route(
        "klass", "h", "/", RouteKind.IDEMPOTENT, (WeightedService("svc", 1.0),), 9.0, 0.4, 0.2,
        Urgency(5),
        max_attempts, False, False, may_repeat,
    )  # fmt: skip


def make_tree(policies: dict[str, dict[str, Any]]) -> tuple[Root, TeamSettings]:
    """Return a tree with one class, given the policy of each level."""

    def services(service: str, klass: str) -> dict[str, Any]:
        service_class = {"policy": policies.get(klass, {})}
        return {"svc": {"policy": policies.get(service, {}), "classes": {"klass": service_class}}}

    root = {"policy": policies.get("root", {}), "services": services("root service", "root class")}
    team = {
        "team": "team",
        "policy": policies.get("team", {}),
        "services": services("service", "class"),
    }
    return Root.model_validate(root), TeamSettings.model_validate(team)


class TestInheritance(unittest.TestCase):
    @given(TREES)
    def test_the_most_specific_level_that_sets_a_value_takes_precedence(
        self, policies: dict[str, dict[str, Any]]
    ) -> None:
        root, team = make_tree(policies)
        origins = trace(root, team, route(), None, "svc")
        for name in VALUES:
            setting_levels = [level for level in LEVELS if name in policies[level]]
            if setting_levels:
                self.assertEqual(policies[setting_levels[-1]][name], origins[name].value)
            else:
                self.assertEqual(PLATFORM, origins[name].level)

    @given(TREES, st.booleans(), st.integers(1, 4))
    def test_the_settings_tree_never_increases_the_number_of_attempts(
        self, policies: dict[str, dict[str, Any]], may_repeat: bool, attempts: int
    ) -> None:
        root, team = make_tree(policies)
        resolved = resolve(root, team, route(may_repeat, attempts), None, "svc")
        self.assertLessEqual(resolved.max_attempts, attempts)
        self.assertLessEqual(resolved.repeatable, may_repeat)

    def test_a_share_is_inherited_and_defaults_to_1(self) -> None:
        root, team = make_tree({"root": {"share": 2.0}, "class": {"share": 3.0}})
        self.assertEqual(2.0, resolve(root, None, route(), None, "svc").share)
        self.assertEqual(3.0, resolve(root, team, route(), None, "svc").share)
        self.assertEqual(1.0, resolve(None, None, route(), None, "svc").share)

    def test_a_share_out_of_range_is_rejected(self) -> None:
        for share in (0.0, -1.0, 1e9):
            with self.assertRaises(ValueError):
                make_tree({"team": {"share": share}})

    def test_without_a_tree_the_values_of_the_platform_are_in_force(self) -> None:
        self.assertEqual(route(), resolve(Root(), None, route(), None, "svc"))

    def test_the_priority_of_a_team_orders_requests_within_the_tier_of_the_route(self) -> None:
        for priority, rank in ((2, 2), (0, 0), (None, DEFAULT_TEAM_RANK)):
            team = Team("team", (), priority)
            resolved = resolve(Root(), None, route(), team, "svc").urgency
            self.assertEqual(Urgency(route().urgency.tier, rank), resolved)
            root, settings = make_tree({"class": {"tier": 7}})
            resolved = resolve(root, settings, route(), team, "svc").urgency
            self.assertEqual(Urgency(7, rank), resolved)

    def test_values_of_one_service_do_not_apply_to_another(self) -> None:
        root, team = make_tree({"service": {"deadline": 1.0}, "class": {"deadline": 2.0}})
        self.assertEqual(9.0, resolve(root, team, route(), None, "other").timeout)
