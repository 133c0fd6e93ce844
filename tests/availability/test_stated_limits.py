"""What is believed of an upstream's limit, whatever the order in which its words come."""

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

    def test_without_a_word_there_is_none(self) -> None:
        self.assertEqual(NO_LIMIT, self.limits.rate("e1"))
        self.assertFalse(self.limits.merge("e1", LimitReport(NO_LIMIT, 1.0, 1.1)))
        self.assertTrue(self.limits.empty)

    def test_a_later_word_holds_higher_or_lower_or_none(self) -> None:
        for number, rate in enumerate((1.0, 4.0, 0.2, NO_LIMIT, 3.0)):
            self.assertTrue(self.limits.merge("e1", LimitReport(rate, number, number + 0.5)))
            self.assertEqual(rate, self.limits.rate("e1"))

    def test_the_same_again_is_no_news_and_makes_it_fresh(self) -> None:
        self.limits.merge("e1", LimitReport(1.0, 1.0, 1.1))
        self.assertFalse(self.limits.merge("e1", LimitReport(1.0, 2.0, 2.1)))
        self.assertEqual(2.1, self.limits.reports()["e1"].received_at)

    def test_a_word_that_is_known_to_be_earlier_changes_nothing(self) -> None:
        self.limits.merge("e1", LimitReport(4.0, 5.0, 5.1))
        for rate in (1.0, 50.0, NO_LIMIT):
            self.assertFalse(self.limits.merge("e1", LimitReport(rate, 1.0, 4.9)))
        self.assertEqual(4.0, self.limits.rate("e1"))

    def test_of_two_whose_order_is_not_known_the_lower_holds(self) -> None:
        self.limits.merge("e1", LimitReport(4.0, 5.0, 6.0))
        self.assertFalse(self.limits.merge("e1", LimitReport(NO_LIMIT, 5.5, 6.5)))
        self.assertTrue(self.limits.merge("e1", LimitReport(1.0, 4.0, 5.5)))
        self.assertEqual(1.0, self.limits.rate("e1"))

    def test_a_later_life_has_none(self) -> None:
        self.limits.merge("e1@1", LimitReport(1.0, 1.0, 1.1))
        self.assertEqual(NO_LIMIT, self.limits.rate("e1@2"))

    def test_what_is_over_or_gone_is_dropped_after_a_while(self) -> None:
        self.limits.merge("gone", LimitReport(1.0, 1.0, 1.1))
        self.limits.merge("over", LimitReport(1.0, 1.0, 1.1))
        self.limits.merge("over", LimitReport(NO_LIMIT, 2.0, 2.1))
        self.limits.merge("limited", LimitReport(1.0, 1.0, 1.1))
        self.limits.forget({"over", "limited"}, 5.0)
        self.assertEqual({"gone", "over", "limited"}, set(self.limits.reports()))
        self.limits.forget({"over", "limited"}, 100.0)
        self.assertEqual({"limited"}, set(self.limits.reports()))

    @given(st.permutations(range(6)))
    def test_words_of_one_after_the_other_lead_to_the_last_in_any_order(
        self, order: list[int]
    ) -> None:
        """Answers that cross on their way to several gateways, and their news."""
        rates = (1.0, NO_LIMIT, 4.0, 0.2, 50.0, 2.0)
        limits = StatedLimits()
        for number in order:
            limits.merge("e1", LimitReport(rates[number], number, number + 0.4))
        self.assertEqual(rates[-1], limits.rate("e1"))
