from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.gateway.retry_budget import RetryBudget

RATIO, SLACK, WINDOW, GATEWAYS = 0.2, 58.0, 10.0, 9

_STEPS = st.lists(
    st.tuples(st.integers(0, GATEWAYS - 1), st.booleans(), st.floats(0, 0.2)), max_size=400
)


class TestRetryBudget(unittest.TestCase):
    @given(_STEPS)
    def test_all_gateways_together_stay_within_the_budget_in_every_window(
        self, steps: list[tuple[int, bool, float]]
    ) -> None:
        budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(GATEWAYS)]
        now = 0.0
        requests: list[float] = []
        repeats: list[float] = []
        for gateway, is_repeat, pause in steps:
            now += pause
            if not is_repeat:
                budgets[gateway].note_request(now)
                requests.append(now)
            elif budgets[gateway].spend(GATEWAYS, now):
                repeats.append(now)
            window_repeats = sum(1 for at in repeats if at > now - WINDOW)
            window_requests = sum(1 for at in requests if at > now - WINDOW)
            self.assertLessEqual(window_repeats, RATIO * window_requests + SLACK)

    def test_gateways_that_each_take_all_they_can_stay_within_it_together(self) -> None:
        budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(GATEWAYS)]
        granted = sum(budget.spend(GATEWAYS, 0.0) for budget in budgets for _ in range(100))
        self.assertTrue(0 < granted <= SLACK)

    def test_a_spent_budget_comes_back_with_time(self) -> None:
        budget = RetryBudget(0.0, 10.0, WINDOW)
        granted = sum(budget.spend(1, 0.0) for _ in range(100))
        self.assertTrue(0 < granted <= 10)
        self.assertFalse(budget.spend(1, WINDOW / 2))
        self.assertTrue(budget.spend(1, WINDOW * 1.5))
