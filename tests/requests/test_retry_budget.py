"""Tests that all gateways together stay within the retry budget in every window."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.retry_budget import ReservedRetries
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


RESERVED_COUNT = 2
"""Retries that are reserved for one request."""
_USES = st.lists(
    st.tuples(
        st.integers(0, GATEWAYS - 1),
        st.sampled_from(["request", "reserve", "reserve", "spend", "spend", "unsent", "release"]),
        st.integers(0, 50),
        st.floats(0, 0.2),
    ),
    max_size=400,
)


class ReservingGateway:
    """One gateway's share of a budget, and the requests for which it holds reserved retries."""

    def __init__(self) -> None:
        self.budget = RetryBudget(RATIO, SLACK, WINDOW)
        self.reserved: list[ReservedRetries] = []

    def reserve(self, now: float) -> None:
        """Reserve retries for one more request, if they are left."""
        if self.budget.try_reserve(RESERVED_COUNT, GATEWAYS, now):
            held = ReservedRetries(self.budget, RESERVED_COUNT, lambda: GATEWAYS)
            self.reserved.append(held)

    def spend(self, number: int, now: float) -> bool:
        """Spend a retry of one of the requests; return whether it was spent."""
        if not self.reserved:
            return self.budget.try_spend(GATEWAYS, now)
        return self.reserved[number % len(self.reserved)].try_spend(now)

    def spend_unsent(self, number: int, now: float) -> None:
        """Spend a retry of one of the requests and take it back, as nothing was sent."""
        if not self.reserved:
            return
        held = self.reserved[number % len(self.reserved)]
        if held.try_spend(now):
            held.take_back()

    def release(self, number: int) -> None:
        """End one of the requests."""
        if self.reserved:
            self.reserved.pop(number % len(self.reserved)).release()


def spend_all(budget: RetryBudget, gateways: int, now: float) -> int:
    """Spend all retries that are left; return their number."""
    count = 0
    while budget.try_spend(gateways, now):
        count += 1
    return count


class TestReservedRetries(unittest.TestCase):
    @given(_USES)
    def test_gateways_that_reserve_stay_within_the_budget_in_every_window(
        self, uses: list[tuple[int, str, int, float]]
    ) -> None:
        gateways = [ReservingGateway() for _ in range(GATEWAYS)]
        now = 0.0
        requests: list[float] = []
        repeats: list[float] = []
        for index, use, number, pause in uses:
            now += pause
            gateway = gateways[index]
            if use == "request":
                gateway.budget.note_request(now)
                requests.append(now)
            elif use == "reserve":
                gateway.reserve(now)
            elif use == "spend" and gateway.spend(number, now):
                repeats.append(now)
            elif use == "unsent":
                gateway.spend_unsent(number, now)
            elif use == "release":
                gateway.release(number)
            window_repeats = sum(1 for at in repeats if at > now - WINDOW)
            window_requests = sum(1 for at in requests if at > now - WINDOW)
            self.assertLessEqual(window_repeats, RATIO * window_requests + SLACK)

    @given(_USES)
    def test_no_reservation_outlasts_its_request(
        self, uses: list[tuple[int, str, int, float]]
    ) -> None:
        gateway, now = ReservingGateway(), 0.0
        for _, use, number, pause in uses:
            now += pause
            if use == "reserve":
                gateway.reserve(now)
            elif use == "spend":
                gateway.spend(number, now)
            elif use == "unsent":
                gateway.spend_unsent(number, now)
            elif use == "release":
                gateway.release(number)
        while gateway.reserved:
            gateway.release(0)
        later = now + 2 * WINDOW
        fresh = RetryBudget(RATIO, SLACK, WINDOW)
        self.assertEqual(spend_all(fresh, 1, later), spend_all(gateway.budget, 1, later))

    def test_reserved_retries_are_left_to_no_other_request(self) -> None:
        budget = RetryBudget(0.0, 10.0, WINDOW)
        self.assertTrue(budget.try_reserve(6, 1, 0.0))
        self.assertFalse(budget.try_reserve(3, 1, 0.0))
        self.assertEqual(2, spend_all(budget, 1, 0.0))
        self.assertEqual(2, spend_all(budget, 1, 2 * WINDOW))

    def test_a_reservation_beyond_the_budget_reserves_nothing(self) -> None:
        budget = RetryBudget(0.0, 10.0, WINDOW)
        self.assertFalse(budget.try_reserve(9, 1, 0.0))
        self.assertEqual(8, spend_all(budget, 1, 0.0))

    def test_a_retry_beyond_the_reserved_ones_comes_from_the_budget(self) -> None:
        budget = RetryBudget(0.0, 10.0, WINDOW)
        self.assertTrue(budget.try_reserve(2, 1, 0.0))
        held = ReservedRetries(budget, 2, lambda: 1)
        self.assertEqual([True] * 8, [held.try_spend(0.0) for _ in range(8)])
        self.assertFalse(held.try_spend(0.0))

    def test_a_retry_that_was_taken_back_is_spent_again_without_the_budget(self) -> None:
        budget = RetryBudget(0.0, 2.5, WINDOW)
        self.assertTrue(budget.try_reserve(2, 1, 0.0))
        held = ReservedRetries(budget, 2, lambda: 1)
        for _ in range(5):
            self.assertTrue(held.try_spend(0.0))
            held.take_back()
        self.assertEqual([True, True, False], [held.try_spend(0.0) for _ in range(3)])

    def test_a_retry_taken_back_leaves_those_of_others_counted(self) -> None:
        """Another request makes a retry while this one waits for a connection.

        The latest retry counted is the one of the other request, which counts for a window.
        """
        budget = RetryBudget(0.0, 10.0, WINDOW)
        self.assertTrue(budget.try_reserve(1, 1, 0.0))
        held = ReservedRetries(budget, 1, lambda: 1)
        held.try_spend(0.0)
        self.assertTrue(budget.try_spend(1, 0.35))
        held.take_back()
        held.release()
        self.assertEqual(7, spend_all(budget, 1, WINDOW + 0.1))

    def test_a_retry_can_be_taken_back_after_its_window(self) -> None:
        """The host is suspended between the choice of an upstream and the connection to it."""
        budget = RetryBudget(0.0, 10.0, WINDOW)
        self.assertTrue(budget.try_reserve(1, 1, 0.0))
        held = ReservedRetries(budget, 1, lambda: 1)
        held.try_spend(0.0)
        self.assertFalse(budget.try_reserve(100, 1, 2 * WINDOW))
        held.take_back()
        held.release()
        self.assertEqual(8, spend_all(budget, 1, 2 * WINDOW))

    def test_reservations_stay_within_the_budget_while_gateways_join(self) -> None:
        """A lone gateway reserves its whole share, and spends it when the share is a ninth.

        Each request may hold its reservation as long as its source does not answer.
        """
        alone = RetryBudget(RATIO, SLACK, WINDOW)
        gateways = 1
        held: list[ReservedRetries] = []
        while alone.try_reserve(RESERVED_COUNT, gateways, 0.0):
            held.append(ReservedRetries(alone, RESERVED_COUNT, lambda: gateways))
        joined = [RetryBudget(RATIO, SLACK, WINDOW, 0.0) for _ in range(GATEWAYS - 1)]
        gateways = GATEWAYS
        now = WINDOW + JOIN_NOTICE_SECONDS
        spent = sum(spend_all(budget, gateways, now) for budget in joined)
        spent += sum(item.try_spend(now) for item in held for _ in range(RESERVED_COUNT))
        self.assertLessEqual(spent, SLACK)
