from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.returns.schedule import MIN_RETRY_AFTER_SECONDS
from lotushill.returns.schedule import RESERVED_FRACTION
from lotushill.returns.schedule import latest_return
from lotushill.returns.schedule import return_time
from lotushill.returns.start_rate import WINDOW_SECONDS
from lotushill.returns.start_rate import StartRate


class TestSchedule(unittest.TestCase):
    def test_the_time_grows_with_the_backlog(self) -> None:
        seconds = [return_time(backlog, 20.0, 30.0, 0.5).seconds for backlog in range(0, 90, 5)]
        self.assertEqual(sorted(seconds), seconds)
        self.assertAlmostEqual(
            91.0 / (20.0 * RESERVED_FRACTION), return_time(90, 20.0, 30.0, 0.5).seconds
        )

    def test_a_client_with_too_little_time_left_gets_no_promise(self) -> None:
        """A client with 5 s left returns within 1.7 s, whatever Retry-After time it is given."""
        self.assertTrue(return_time(10, 20.0, 5.0, 0.0).promised)
        late = return_time(40, 20.0, 5.0, 0.0)
        self.assertFalse(late.promised)
        self.assertEqual(latest_return(5.0), late.seconds)

    def test_no_promise_is_made_without_free_capacity(self) -> None:
        self.assertFalse(return_time(0, 0.0, 30.0, 0.5).promised)

    @given(st.integers(0, 10_000), st.floats(0.0, 1e4), st.floats(0.0, 1e4), st.floats(0.0, 0.999))
    def test_the_time_never_exceeds_what_the_client_honours(
        self, backlog: int, rate: float, left: float, spread: float
    ) -> None:
        result = return_time(backlog, rate, left, spread)
        self.assertLessEqual(result.seconds, latest_return(left))
        if result.promised:
            self.assertGreaterEqual(result.seconds, MIN_RETRY_AFTER_SECONDS)


class TestRoomRate(unittest.TestCase):
    def test_a_loss_of_upstreams_lowers_the_rate_within_the_window(self) -> None:
        rates = StartRate()
        for number in range(100):
            rates.note("llm", 1, number * 0.05)
        self.assertAlmostEqual(20.0, rates.rate("llm", 1, 5.0), delta=3.0)
        self.assertEqual(0.0, rates.rate("llm", 1, 5.0 + WINDOW_SECONDS + 0.3))
        self.assertEqual(0.0, rates.rate("llm", 0, 5.0))
