"""Who comes back as promised goes first, once; who comes early or often gains nothing."""

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


def busy(until: float = 2.0) -> ReturnPromises:
    """Return the promises of a gateway that hears of 40 requests a second that begin."""
    found = ReturnPromises()
    for number in range(int(until * RATE)):
        found.start_rate.note("llm", 1, number / RATE)
    return found


def asker(caller: int, now: float, tier: int = 1) -> Requester:
    return Requester(caller, "llm", tier, now, 5.0)


class TestPromises(unittest.TestCase):
    def test_who_comes_at_its_time_is_due_once(self) -> None:
        returns = busy()
        due = 2.0 + returns.retry_after(asker(7, 2.0), 0.0, 2.0)
        self.assertFalse(returns.is_due(7, 2.0))
        self.assertTrue(returns.is_due(7, due))
        self.assertTrue(returns.note_placed(7, due))
        self.assertFalse(returns.is_due(7, due))
        self.assertFalse(returns.note_placed(7, due))
        self.assertEqual(0, len(returns))

    def test_a_place_is_not_kept_for_ever(self) -> None:
        returns = busy()
        due = 2.0 + returns.retry_after(asker(7, 2.0), 0.0, 2.0)
        self.assertFalse(returns.is_due(7, due + GRACE_SECONDS + 0.1))

    def test_returns_are_spread_over_the_time_when_room_comes(self) -> None:
        returns = busy()
        pauses = [returns.retry_after(asker(n, 2.0), 0.5, 2.0) for n in range(1, 25)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertAlmostEqual(24 / (RATE * RESERVED_FRACTION), pauses[-1], delta=0.2)

    def test_a_request_that_waits_keeps_the_time_it_was_told_first(self) -> None:
        returns = busy()
        for number in range(1, 20):
            returns.retry_after(asker(number, 2.0), 0.0, 2.0)
        first = returns.retry_after(asker(20, 2.0), 0.0, 2.0)
        again = returns.retry_after(asker(20, 2.0), 0.0, 2.03)
        self.assertAlmostEqual(first - 0.03, again)
        self.assertEqual(20, len(returns))

    def test_who_comes_early_is_sent_away_until_its_time(self) -> None:
        returns = busy()
        for number in range(1, 20):
            returns.retry_after(asker(number, 2.0), 0.0, 2.0)
        told = returns.retry_after(asker(20, 2.0), 0.0, 2.0)
        for seconds in (0.05, 0.1, 0.3):
            early = asker(20, 2.0 + seconds)
            self.assertAlmostEqual(told - seconds, returns.seconds_early(early, 2.0 + seconds))
            self.assertFalse(returns.is_due(20, 2.0 + seconds))

    def test_but_it_is_welcome_when_nobody_else_is_refused(self) -> None:
        returns = busy()
        for number in range(1, 30):
            returns.retry_after(asker(number, 2.0), 0.0, 2.0)
        self.assertEqual(0.0, returns.seconds_early(asker(29, 2.6), 2.6))

    def test_no_more_than_the_reserve_goes_first(self) -> None:
        """Promised while there was room for 40 a second; then half of the upstreams are lost."""
        returns = busy()
        due = [2.0 + returns.retry_after(asker(n, 2.0), 0.0, 2.0) for n in range(1, 25)]
        for number in range(60):
            returns.start_rate.note("llm", 1, 2.0 + number / 20)
        now = max(due)
        placed = 0
        for number in range(1, 25):
            if returns.is_due(number, now):
                placed += returns.note_placed(number, now)
        self.assertLessEqual(placed, RESERVED_FRACTION * 20 + 2)
        self.assertGreater(placed, 4)

    def test_none_goes_first_while_a_more_urgent_tier_is_refused(self) -> None:
        returns = busy()
        due = 2.0 + returns.retry_after(asker(7, 2.0, tier=1), 0.0, 2.0)
        returns.retry_after(asker(8, due, tier=0), 0.0, due)
        self.assertTrue(returns.has_place(7, due))
        self.assertFalse(returns.is_due(7, due))

    def test_a_storm_of_refusals_is_bounded(self) -> None:
        returns = busy()
        for number in range(1, 3 * MAX_PROMISES):
            returns.retry_after(asker(number, 2.0), 0.0, 2.0)
            self.assertLessEqual(len(returns), MAX_PROMISES)
        returns.retry_after(asker(1, 20.0), 0.0, 20.0)
        self.assertLessEqual(len(returns), 1)

    def test_more_urgent_tiers_come_first_in_the_backlog(self) -> None:
        returns = busy()
        for number in range(1, 10):
            returns.retry_after(asker(number, 2.0, tier=1), 0.0, 2.0)
        returns.start_rate.note("llm", 0, 2.0)
        for number in range(40):
            returns.start_rate.note("llm", 0, 2.0 + number / 1000)
        urgent = returns.retry_after(asker(99, 2.0, tier=0), 0.0, 2.1)
        self.assertLess(urgent, returns.retry_after(asker(98, 2.1), 0.0, 2.1))

    @given(st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(1, 6), st.booleans()), max_size=60))
    def test_places_are_counted_truly(self, steps: list[tuple[float, int, bool]]) -> None:
        returns, now = busy(), 2.0
        for pause, caller, placed in steps:
            now += pause
            if placed:
                before = returns.has_place(caller, now)
                self.assertEqual(before, returns.note_placed(caller, now))
            else:
                returns.retry_after(asker(caller, now), 0.3, now)
            self.assertGreaterEqual(len(returns), 0)
            self.assertLessEqual(len(returns), 6)
        returns.due_states(now + 100.0)
        self.assertEqual(0, len(returns))


class TestNews(unittest.TestCase):
    def test_a_caller_may_return_to_another_gateway(self) -> None:
        here, there = busy(), busy()
        told = here.retry_after(asker(7, 2.0), 0.9, 2.0)
        self.assertEqual([], here.due_states(2.05))
        there.merge(here.due_states(2.11), 2.13)
        self.assertTrue(there.is_due(7, 2.0 + told + 0.02))

    def test_what_was_used_there_is_used_here(self) -> None:
        here, there = busy(), busy()
        told = here.retry_after(asker(7, 2.0), 0.9, 2.0)
        there.merge(here.due_states(2.11), 2.11)
        there.note_placed(7, 2.0 + told)
        here.merge(there.due_states(2.0 + told), 2.0 + told)
        self.assertFalse(here.is_due(7, 2.0 + told))

    def test_each_is_told_twice_and_no_more(self) -> None:
        returns = busy()
        returns.retry_after(asker(7, 2.0), 0.0, 2.0)
        told = [len(returns.due_states(2.0 + tick * 0.05)) for tick in range(60)]
        self.assertEqual(2, sum(told))

    def test_of_two_times_told_the_earlier_counts(self) -> None:
        """A request that waits asks several schedulers; its client hears the last one."""
        here, there = busy(), busy()
        for number in range(50, 60):
            there.retry_after(asker(number, 2.0), 0.0, 2.0)
        first = here.retry_after(asker(7, 2.0), 0.0, 2.0)
        second = there.retry_after(asker(7, 2.0), 0.0, 2.03) + 0.03
        self.assertLess(first, second)
        there.merge(here.due_states(2.11), 2.11)
        here.merge(there.due_states(2.2), 2.2)
        for returns in (here, there):
            self.assertEqual(0.0, returns.seconds_early(asker(7, 2.0 + first), 2.0 + first))

    def test_figures_without_sense_are_passed_over(self) -> None:
        here, there = busy(), ReturnPromises()
        here.retry_after(asker(7, 2.0), 0.0, 2.0)
        state = here.due_states(2.2)[0]
        there.merge([replace(state, due_in=value) for value in (float("nan"), 1e9)], 2.2)
        self.assertEqual(0, len(there))
