"""The view of the settings tree ignores older revisions, and an invalid edit changes nothing."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.settings_view import SettingsView
from lotushill.routing.team import Team
from tests.contracts.test_effective import route

TEAM = Team("bodas", (), None)
GOOD = {"team": "bodas", "policy": {"tier": 3}}


class TestSettingsView(unittest.TestCase):
    def tier(self, view: SettingsView, team: Team | None = TEAM) -> int:
        return view.route_for(route(), team, "svc").urgency.tier

    @given(st.lists(st.integers(0, 40), max_size=20))
    def test_in_any_order_of_arrival_the_newest_revision_is_in_force(
        self, revisions: list[int]
    ) -> None:
        view = SettingsView()
        newest = -1
        for revision in revisions:
            view.replace({"root": {"policy": {"tier": revision % 10}}}, revision)
            newest = max(newest, revision)
            self.assertEqual(newest % 10, self.tier(view))

    def test_a_team_without_an_object_inherits_the_values_of_the_root(self) -> None:
        view = SettingsView()
        view.replace({"root": {"policy": {"tier": 4}}, "team.bodas": GOOD}, 1)
        self.assertEqual(3, self.tier(view))
        self.assertEqual(4, self.tier(view, Team("other", (), None)))
        self.assertEqual(4, self.tier(view, None))

    def test_a_faulty_object_keeps_its_last_good_state_and_is_named(self) -> None:
        view = SettingsView()
        view.replace({"team.bodas": GOOD}, 1)
        view.replace({"team.bodas": {"team": "bodas", "policy": {"tier": "high"}}}, 2)
        self.assertEqual(3, self.tier(view))
        self.assertIn("policy.tier", str(view.faults["team/bodas"]))
        view.replace({}, 3)
        self.assertEqual(5, self.tier(view))
        self.assertEqual({}, view.faults)

    def test_once_the_root_is_removed_the_values_of_the_platform_are_in_force(self) -> None:
        view = SettingsView()
        view.replace({"root": {"policy": {"tier": 4}}}, 1)
        view.replace({}, 2)
        self.assertEqual(5, self.tier(view))

    def test_the_same_objects_have_the_same_fingerprint_at_any_revision(self) -> None:
        first, second = SettingsView(), SettingsView()
        first.replace({"root": {}, "team.bodas": GOOD}, 1)
        second.replace({"team.bodas": GOOD, "root": {}}, 7)
        self.assertEqual(first.fingerprint, second.fingerprint)
        second.replace({"root": {}}, 8)
        self.assertNotEqual(first.fingerprint, second.fingerprint)
