from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.routing.limits import ClientLimits
from lotushill.routing.table import RoutingTable
from lotushill.routing.upstream import Upstream
from lotushill.views.configuration_view import ConfigurationView
from lotushill.views.upstream_view import UpstreamView


def table(version: int) -> RoutingTable:
    return RoutingTable(version, (), (), (), ClientLimits())


def upstream(name: str, draining: bool = False) -> Upstream:
    return Upstream(name, "s", "10.0.0.1:80", "z", 4, draining)


class TestConfigurationView(unittest.TestCase):
    @given(st.lists(st.integers(0, 50), max_size=30))
    def test_updates_in_any_order_never_revert_the_revision(self, revisions: list[int]) -> None:
        view = ConfigurationView()
        highest = -1
        for revision in revisions:
            replaced = view.replace(table(revision), revision)
            self.assertEqual(revision > highest, replaced)
            highest = max(highest, revision)
            self.assertEqual(highest, view.revision)

    def test_a_lower_version_at_a_higher_revision_is_rejected(self) -> None:
        view = ConfigurationView()
        view.replace(table(5), 10)
        self.assertFalse(view.replace(table(4), 11))


class TestUpstreamView(unittest.TestCase):
    def test_an_older_list_changes_nothing(self) -> None:
        view = UpstreamView()
        view.replace([upstream("a")], 5)
        self.assertFalse(view.replace([upstream("b")], 4))
        self.assertEqual(["a"], [item.id for item in view.of("s")])

    def test_a_draining_upstream_gets_no_requests_and_never_returns(self) -> None:
        view = UpstreamView()
        view.replace([upstream("a", draining=True)], 1)
        view.replace([upstream("a")], 2)
        self.assertEqual([], view.of("s"))

    def test_an_upstream_missing_from_a_newer_list_is_removed(self) -> None:
        view = UpstreamView()
        view.replace([upstream("a"), upstream("b")], 1)
        view.replace([upstream("b")], 2)
        self.assertIsNone(view.find("a"))

    def test_a_lapsed_upstream_is_kept_until_its_removal_time(self) -> None:
        view = UpstreamView()
        view.replace([upstream("a"), upstream("b"), upstream("c", draining=True)], 1)
        view.replace([], 2, {"a": 5.0, "c": 5.0})
        self.assertEqual(["a"], [item.id for item in view.of("s")])
        view.replace([], 3)
        self.assertEqual({"a": 5.0}, view.lapsed)
        self.assertEqual((), view.expire(4.9))
        self.assertEqual(("a",), view.expire(5.0))
        self.assertEqual([], view.of("s"))

    def test_a_lapsed_upstream_that_is_listed_again_is_no_longer_lapsed(self) -> None:
        view = UpstreamView()
        view.replace([upstream("a")], 1)
        view.replace([], 2, {"a": 5.0})
        view.replace([upstream("a")], 3)
        self.assertEqual((), view.expire(9.0))
        view.replace([], 4)
        self.assertEqual((), view.all())

    def test_it_is_not_loaded_before_the_first_list(self) -> None:
        self.assertFalse(UpstreamView().is_loaded)
