"""Tests that a promised return has priority once, and early or repeated returns gain nothing."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.returns.promise import GRACE_SECONDS
from lotushill.returns.promise import Requester
from lotushill.returns.promises import MAX_PROMISES
from lotushill.returns.promises import ReturnPromises
from lotushill.returns.schedule import RESERVED_FRACTION

RATE = 40


def busy_promises(until: float = 2.0) -> ReturnPromises:
    """Return the promises of a gateway that has seen 40 requests start per second."""
    promises = ReturnPromises()
    for number in range(int(until * RATE)):
        promises.start_rate.note("llm", 1, number / RATE)
    return promises


def requester(caller: int, now: float, tier: int = 1) -> Requester:
    return Requester(caller, "llm", tier, now, 5.0)


class TestPromises(unittest.TestCase):
    def test_a_promise_is_valid_once_at_its_due_time(self) -> None:
        returns = busy_promises()
        due = 2.0 + returns.retry_after(requester(7, 2.0), 0.0, 2.0)
        self.assertFalse(returns.is_due(7, 2.0))
        self.assertTrue(returns.is_due(7, due))
        self.assertTrue(returns.note_placed(7, due))
        self.assertFalse(returns.is_due(7, due))
        self.assertFalse(returns.note_placed(7, due))
        self.assertEqual(0, len(returns))

    def test_a_promise_expires(self) -> None:
        returns = busy_promises()
        due = 2.0 + returns.retry_after(requester(7, 2.0), 0.0, 2.0)
        self.assertFalse(returns.is_due(7, due + GRACE_SECONDS + 0.1))

    def test_returns_are_spread_at_the_rate_of_freed_capacity(self) -> None:
        returns = busy_promises()
        pauses = [returns.retry_after(requester(n, 2.0), 0.5, 2.0) for n in range(1, 25)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertAlmostEqual(24 / (RATE * RESERVED_FRACTION), pauses[-1], delta=0.2)

    def test_a_repeated_refusal_keeps_the_first_due_time(self) -> None:
        returns = busy_promises()
        for number in range(1, 20):
            returns.retry_after(requester(number, 2.0), 0.0, 2.0)
        first = returns.retry_after(requester(20, 2.0), 0.0, 2.0)
        again = returns.retry_after(requester(20, 2.0), 0.0, 2.03)
        self.assertAlmostEqual(first - 0.03, again)
        self.assertEqual(20, len(returns))

    def test_an_early_return_is_refused_until_its_due_time(self) -> None:
        returns = busy_promises()
        for number in range(1, 20):
            returns.retry_after(requester(number, 2.0), 0.0, 2.0)
        delay = returns.retry_after(requester(20, 2.0), 0.0, 2.0)
        for seconds in (0.05, 0.1, 0.3):
            early = requester(20, 2.0 + seconds)
            self.assertAlmostEqual(delay - seconds, returns.seconds_early(early, 2.0 + seconds))
            self.assertFalse(returns.is_due(20, 2.0 + seconds))

    def test_an_early_return_is_accepted_while_no_other_is_refused(self) -> None:
        returns = busy_promises()
        for number in range(1, 30):
            returns.retry_after(requester(number, 2.0), 0.0, 2.0)
        self.assertEqual(0.0, returns.seconds_early(requester(29, 2.6), 2.6))

    def test_returns_with_priority_are_limited_to_the_reserve(self) -> None:
        """The promises are made at a capacity of 40 per second; then half of it is lost."""
        returns = busy_promises()
        due = [2.0 + returns.retry_after(requester(n, 2.0), 0.0, 2.0) for n in range(1, 25)]
        for number in range(60):
            returns.start_rate.note("llm", 1, 2.0 + number / 20)
        now = max(due)
        placed = 0
        for number in range(1, 25):
            if returns.is_due(number, now):
                placed += returns.note_placed(number, now)
        self.assertLessEqual(placed, RESERVED_FRACTION * 20 + 2)
        self.assertGreater(placed, 4)

    def test_returns_have_no_priority_while_a_more_urgent_tier_is_refused(self) -> None:
        returns = busy_promises()
        due = 2.0 + returns.retry_after(requester(7, 2.0, tier=1), 0.0, 2.0)
        returns.retry_after(requester(8, due, tier=0), 0.0, due)
        self.assertTrue(returns.has_due_promise(7, due))
        self.assertFalse(returns.is_due(7, due))

    def test_number_of_promises_is_bounded(self) -> None:
        returns = busy_promises()
        for number in range(1, 3 * MAX_PROMISES):
            returns.retry_after(requester(number, 2.0), 0.0, 2.0)
            self.assertLessEqual(len(returns), MAX_PROMISES)
        returns.retry_after(requester(1, 20.0), 0.0, 20.0)
        self.assertLessEqual(len(returns), 1)

    def test_the_backlog_counts_only_tiers_at_least_as_urgent(self) -> None:
        returns = busy_promises()
        for number in range(1, 10):
            returns.retry_after(requester(number, 2.0, tier=1), 0.0, 2.0)
        returns.start_rate.note("llm", 0, 2.0)
        for number in range(40):
            returns.start_rate.note("llm", 0, 2.0 + number / 1000)
        urgent = returns.retry_after(requester(99, 2.0, tier=0), 0.0, 2.1)
        self.assertLess(urgent, returns.retry_after(requester(98, 2.1), 0.0, 2.1))

    @given(st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(1, 6), st.booleans()), max_size=60))
    def test_open_promises_are_counted_correctly(
        self, steps: list[tuple[float, int, bool]]
    ) -> None:
        returns, now = busy_promises(), 2.0
        for pause, caller, placed in steps:
            now += pause
            if placed:
                before = returns.has_due_promise(caller, now)
                self.assertEqual(before, returns.note_placed(caller, now))
            else:
                returns.retry_after(requester(caller, now), 0.3, now)
            self.assertGreaterEqual(len(returns), 0)
            self.assertLessEqual(len(returns), 6)
        returns.due_states(now + 100.0)
        self.assertEqual(0, len(returns))


class TestUpdates(unittest.TestCase):
    def test_a_promise_is_valid_at_another_gateway(self) -> None:
        here, there = busy_promises(), busy_promises()
        delay = here.retry_after(requester(7, 2.0), 0.9, 2.0)
        self.assertEqual([], here.due_states(2.05))
        there.merge(here.due_states(2.11), 2.13)
        self.assertTrue(there.is_due(7, 2.0 + delay + 0.02))

    def test_a_promise_used_at_another_gateway_is_used_here(self) -> None:
        here, there = busy_promises(), busy_promises()
        delay = here.retry_after(requester(7, 2.0), 0.9, 2.0)
        there.merge(here.due_states(2.11), 2.11)
        there.note_placed(7, 2.0 + delay)
        here.merge(there.due_states(2.0 + delay), 2.0 + delay)
        self.assertFalse(here.is_due(7, 2.0 + delay))

    def test_each_promise_is_sent_twice(self) -> None:
        returns = busy_promises()
        returns.retry_after(requester(7, 2.0), 0.0, 2.0)
        sent = [len(returns.due_states(2.0 + tick * 0.05)) for tick in range(60)]
        self.assertEqual(2, sum(sent))

    def test_the_earlier_of_two_due_times_is_valid(self) -> None:
        """A waiting request queries several schedulers; its client receives the last answer."""
        here, there = busy_promises(), busy_promises()
        for number in range(50, 60):
            there.retry_after(requester(number, 2.0), 0.0, 2.0)
        first = here.retry_after(requester(7, 2.0), 0.0, 2.0)
        second = there.retry_after(requester(7, 2.0), 0.0, 2.03) + 0.03
        self.assertLess(first, second)
        there.merge(here.due_states(2.11), 2.11)
        here.merge(there.due_states(2.2), 2.2)
        for returns in (here, there):
            self.assertEqual(0.0, returns.seconds_early(requester(7, 2.0 + first), 2.0 + first))

    def test_implausible_times_are_ignored(self) -> None:
        here, there = busy_promises(), ReturnPromises()
        here.retry_after(requester(7, 2.0), 0.0, 2.0)
        state = here.due_states(2.2)[0]
        there.merge([replace(state, due_in=value) for value in (float("nan"), 1e9)], 2.2)
        self.assertEqual(0, len(there))
