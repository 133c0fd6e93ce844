from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.retry_budget import RetryBudget

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
            elif budgets[gateway].try_spend(GATEWAYS, now):
                repeats.append(now)
            window_repeats = sum(1 for at in repeats if at > now - WINDOW)
            window_requests = sum(1 for at in requests if at > now - WINDOW)
            self.assertLessEqual(window_repeats, RATIO * window_requests + SLACK)

    def test_gateways_that_each_spend_the_maximum_stay_within_the_budget(self) -> None:
        budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(GATEWAYS)]
        granted = sum(budget.try_spend(GATEWAYS, 0.0) for budget in budgets for _ in range(100))
        self.assertTrue(0 < granted <= SLACK)

    def test_a_spent_budget_comes_back_with_time(self) -> None:
        budget = RetryBudget(0.0, 10.0, WINDOW)
        granted = sum(budget.try_spend(1, 0.0) for _ in range(100))
        self.assertTrue(0 < granted <= 10)
        self.assertFalse(budget.try_spend(1, WINDOW / 2))
        self.assertTrue(budget.try_spend(1, WINDOW * 1.5))


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["burst", "burst", "requests", "restart", "join"]),
        st.integers(0, 50),
        st.floats(0, 4.0),
    ),
    max_size=60,
)
JOIN_NOTICE_SECONDS = 4.0
"""Seconds until a new member is known to all (tests/membership/test_large_fleet.py)."""


class SharedBudget:
    """Gateways that join, restart and are cut off, each with its share of one retry budget."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.joined = [0.0] * count
        self.budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(count)]
        self.requests: list[float] = []
        self.repeats: list[float] = []

    def known_gateways(self, gateway: int) -> int:
        """Return the number of gateways known to one, which is delayed, and 0 after its start."""
        return sum(
            at <= self.now - JOIN_NOTICE_SECONDS or other == gateway
            for other, at in enumerate(self.joined)
        )

    def start(self, gateway: int) -> None:
        """Start or restart a gateway; a restart loses its counts."""
        self.budgets[gateway : gateway + 1] = [RetryBudget(RATIO, SLACK, WINDOW, self.now)]

    def burst(self, gateway: int) -> None:
        """Let a gateway spend all retries that it is granted."""
        while self.budgets[gateway].try_spend(self.known_gateways(gateway), self.now):
            self.repeats.append(self.now)

    def is_within_budget(self) -> bool:
        """Return whether the last window contains no more retries than allowed."""
        since = self.now - WINDOW
        repeats = sum(at >= since for at in self.repeats)
        return repeats <= RATIO * sum(at >= since for at in self.requests) + SLACK


class TestFleetOfBudgets(unittest.TestCase):
    @given(st.integers(1, 40), _EVENTS)
    def test_the_sum_stays_within_the_budget_while_gateways_join_and_restart(
        self, count: int, events: list[tuple[str, int, float]]
    ) -> None:
        fleet = SharedBudget(count)
        for what, number, pause in events:
            fleet.now += pause
            gateway = number % len(fleet.budgets)
            if what == "burst":
                for item in range(len(fleet.budgets)):
                    fleet.burst(item)
            elif what == "requests":
                for _ in range(number):
                    fleet.budgets[gateway].note_request(fleet.now)
                    fleet.requests.append(fleet.now)
            elif what == "restart":
                fleet.start(gateway)
            else:
                fleet.joined.append(fleet.now)
                fleet.budgets.append(RetryBudget(RATIO, SLACK, WINDOW, fleet.now))
            self.assertTrue(fleet.is_within_budget())

    def test_without_the_number_of_gateways_only_the_share_of_own_requests_is_spent(self) -> None:
        budget = RetryBudget(RATIO, SLACK, WINDOW)
        self.assertFalse(budget.try_spend(0, 0.0))
        for _ in range(100):
            budget.note_request(0.0)
        granted = sum(budget.try_spend(0, 0.0) for _ in range(100))
        self.assertTrue(0 < granted <= RATIO * 100)
