"""Tests when groups of requests are isolated, for how long, and what prevents it."""

from __future__ import annotations

import unittest

from lotushill.quarantine.group import Group
from lotushill.quarantine.group import groups_of
from lotushill.quarantine.isolation import Isolation

CALLER = Group("s", "bakery on r")
PATH = Group("s", "bakery on r, /p/deadly")


class TestGroups(unittest.TestCase):
    def test_request_belongs_to_groups_of_route_and_path(self) -> None:
        groups = groups_of("s", "bakery", "r", b"/p/deadly?at=3")
        self.assertEqual((CALLER, PATH), groups)
        self.assertTrue(PATH.is_within(CALLER))
        self.assertFalse(CALLER.is_within(PATH))
        self.assertFalse(PATH.is_within(Group("s", "bakery on r2")))


class TestIsolation(unittest.TestCase):
    def setUp(self) -> None:
        self.isolation = Isolation()

    def record_failures(self, group: Group, *times: float, completions: int = 0) -> None:
        for at in times:
            self.isolation.record_upstream_failure(group, f"u{at}", "gw", completions, at)

    def test_three_rounds_of_failures_isolate(self) -> None:
        self.record_failures(PATH, 1.0, 2.1)
        self.assertFalse(self.isolation.is_isolated((PATH,), 3.0))
        self.record_failures(PATH, 3.2)
        self.assertTrue(self.isolation.is_isolated((CALLER, PATH), 3.2))
        self.assertEqual(frozenset(("s",)), self.isolation.isolated_services(3.2))

    def test_simultaneous_failures_do_not_isolate(self) -> None:
        self.record_failures(PATH, 1.0, 1.1, 1.2, 1.3, 1.4, 1.9)
        self.assertFalse(self.isolation.is_isolated((PATH,), 2.0))

    def test_old_failures_do_not_isolate(self) -> None:
        self.record_failures(PATH, 1.0, 2.1, 13.0)
        self.assertFalse(self.isolation.is_isolated((PATH,), 13.0))

    def test_failure_reported_by_several_gateways_counts_once(self) -> None:
        for number in range(9):
            self.isolation.record_upstream_failure(PATH, "u1", f"gw{number}", 0, 1.0 + number)
        self.assertFalse(self.isolation.is_isolated((PATH,), 10.0))

    def test_group_with_mostly_completed_requests_is_a_bystander(self) -> None:
        self.record_failures(CALLER, 1.0, 2.1, 3.2, completions=7)
        self.assertFalse(self.isolation.is_isolated((CALLER,), 3.2))

    def test_completions_reported_later_end_the_isolation(self) -> None:
        self.record_failures(CALLER, 1.0, 2.1, 3.2)
        self.assertTrue(self.isolation.needs_completion_reports(CALLER, 3.3))
        for number in range(12):
            self.isolation.record_peer_completions(CALLER, f"gw{number}", 4, 3.3)
        self.assertFalse(self.isolation.is_isolated((CALLER,), 3.4))
        self.assertFalse(self.isolation.needs_completion_reports(CALLER, 3.4))

    def test_old_completions_do_not_protect_a_group_that_becomes_harmful(self) -> None:
        """A group is harmless for a long time; then a release of its client crashes upstreams."""
        for number in range(12):
            self.isolation.record_upstream_failure(CALLER, "u0", f"gw{number}", 10, 1.0)
        for number in range(1, 16):
            at = 1.0 + 1.5 * number
            self.isolation.record_upstream_failure(CALLER, f"u{number}", "gw0", 0, at)
            if at < 9.0:
                self.assertFalse(self.isolation.is_isolated((CALLER,), at))
        self.assertTrue(self.isolation.is_isolated((CALLER,), at))

    def test_many_other_groups_do_not_evict_an_isolated_one(self) -> None:
        self.record_failures(PATH, 1.0, 2.1, 3.2)
        for number in range(600):
            self.record_failures(Group("s", f"other {number}"), 4.0 + number / 1000)
        self.assertTrue(self.isolation.is_isolated((PATH,), 5.0))

    def test_smallest_of_nested_groups_is_isolated(self) -> None:
        for at in (1.0, 2.1, 3.2):
            self.record_failures(PATH, at)
            self.record_failures(CALLER, at)
        self.assertEqual([PATH], self.isolation.isolated_groups(3.2))

    def test_caller_is_isolated_if_no_smaller_group_explains_the_failures(self) -> None:
        for number, at in enumerate((1.0, 2.1, 3.2)):
            self.record_failures(Group("s", f"bakery on r, /p/{number}"), at)
            self.record_failures(CALLER, at)
        self.assertEqual([CALLER], self.isolation.isolated_groups(3.2))

    def test_pause_doubles_with_each_failure_during_isolation(self) -> None:
        self.record_failures(PATH, 1.0, 2.1, 3.2)
        self.assertEqual(0.0, self.isolation.retry_delay((PATH,), 3.3))
        waits = []
        at = 4.0
        for _ in range(7):
            self.record_failures(PATH, at)
            waits.append(round(self.isolation.retry_delay((PATH,), at), 3))
            at += waits[-1] + 0.1
        self.assertEqual([1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0], waits)
        self.assertTrue(self.isolation.is_isolated((PATH,), at))

    def test_completions_do_not_end_the_isolation_of_a_confirmed_cause(self) -> None:
        self.record_failures(PATH, 1.0, 2.1, 3.2, 4.0)
        self.isolation.record_peer_completions(PATH, "gw1", 100, 4.1)
        self.assertTrue(self.isolation.is_isolated((PATH,), 4.2))

    def test_isolation_ends_and_its_evidence_expires(self) -> None:
        self.record_failures(PATH, 1.0, 2.1, 3.2)
        self.assertFalse(self.isolation.is_isolated((PATH,), 24.0))
        self.isolation.expire(24.0)
        self.assertTrue(self.isolation.is_empty)

    def test_evidence_is_bounded(self) -> None:
        for number in range(5000):
            self.record_failures(Group("s", f"g{number}"), float(number))
        self.assertLessEqual(len(self.isolation._evidence), 512)
