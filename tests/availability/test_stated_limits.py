"""Tests the known limit of an upstream for every order in which its limit reports arrive."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits


class TestStatedLimits(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = StatedLimits()

    def test_without_a_report_there_is_no_limit(self) -> None:
        self.assertEqual(NO_LIMIT, self.limits.rate("e1"))
        self.assertFalse(self.limits.merge("e1", LimitReport(NO_LIMIT, 1.0, 1.1)))
        self.assertTrue(self.limits.empty)

    def test_a_later_report_applies_whether_higher_lower_or_no_limit(self) -> None:
        for number, rate in enumerate((1.0, 4.0, 0.2, NO_LIMIT, 3.0)):
            self.assertTrue(self.limits.merge("e1", LimitReport(rate, number, number + 0.5)))
            self.assertEqual(rate, self.limits.rate("e1"))

    def test_the_same_rate_again_is_no_change_but_updates_the_report(self) -> None:
        self.limits.merge("e1", LimitReport(1.0, 1.0, 1.1))
        self.assertFalse(self.limits.merge("e1", LimitReport(1.0, 2.0, 2.1)))
        self.assertEqual(2.1, self.limits.reports()["e1"].received_at)

    def test_a_report_known_to_be_earlier_changes_nothing(self) -> None:
        self.limits.merge("e1", LimitReport(4.0, 5.0, 5.1))
        for rate in (1.0, 50.0, NO_LIMIT):
            self.assertFalse(self.limits.merge("e1", LimitReport(rate, 1.0, 4.9)))
        self.assertEqual(4.0, self.limits.rate("e1"))

    def test_of_two_reports_of_unknown_order_the_lower_rate_applies(self) -> None:
        self.limits.merge("e1", LimitReport(4.0, 5.0, 6.0))
        self.assertFalse(self.limits.merge("e1", LimitReport(NO_LIMIT, 5.5, 6.5)))
        self.assertTrue(self.limits.merge("e1", LimitReport(1.0, 4.0, 5.5)))
        self.assertEqual(1.0, self.limits.rate("e1"))

    def test_a_later_incarnation_has_no_limit(self) -> None:
        self.limits.merge("e1@1", LimitReport(1.0, 1.0, 1.1))
        self.assertEqual(NO_LIMIT, self.limits.rate("e1@2"))

    def test_ended_limits_and_those_of_unknown_upstreams_are_dropped_after_a_while(self) -> None:
        self.limits.merge("gone", LimitReport(1.0, 1.0, 1.1))
        self.limits.merge("over", LimitReport(1.0, 1.0, 1.1))
        self.limits.merge("over", LimitReport(NO_LIMIT, 2.0, 2.1))
        self.limits.merge("limited", LimitReport(1.0, 1.0, 1.1))
        self.limits.retain_only({"over", "limited"}, 5.0)
        self.assertEqual({"gone", "over", "limited"}, set(self.limits.reports()))
        self.limits.retain_only({"over", "limited"}, 100.0)
        self.assertEqual({"limited"}, set(self.limits.reports()))

    @given(st.permutations(range(6)))
    def test_successive_reports_lead_to_the_last_one_in_any_order(self, order: list[int]) -> None:
        """Answers cross on their way to several gateways, and so does the gossip about them."""
        rates = (1.0, NO_LIMIT, 4.0, 0.2, 50.0, 2.0)
        limits = StatedLimits()
        for number in order:
            limits.merge("e1", LimitReport(rates[number], number, number + 0.4))
        self.assertEqual(rates[-1], limits.rate("e1"))
