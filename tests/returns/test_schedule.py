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
    def test_the_farther_back_the_later(self) -> None:
        seconds = [return_time(backlog, 20.0, 30.0, 0.5).seconds for backlog in range(0, 90, 5)]
        self.assertEqual(sorted(seconds), seconds)
        self.assertAlmostEqual(
            91.0 / (20.0 * RESERVED_FRACTION), return_time(90, 20.0, 30.0, 0.5).seconds
        )

    def test_who_cannot_wait_so_long_is_promised_nothing(self) -> None:
        """A digest with 5 s left comes back within 1.7 s, whatever it is told."""
        self.assertTrue(return_time(10, 20.0, 5.0, 0.0).promised)
        late = return_time(40, 20.0, 5.0, 0.0)
        self.assertFalse(late.promised)
        self.assertEqual(latest_return(5.0), late.seconds)

    def test_without_room_nobody_is_promised_any(self) -> None:
        self.assertFalse(return_time(0, 0.0, 30.0, 0.5).promised)

    @given(st.integers(0, 10_000), st.floats(0.0, 1e4), st.floats(0.0, 1e4), st.floats(0.0, 0.999))
    def test_no_client_is_told_to_wait_longer_than_it_would(
        self, backlog: int, rate: float, left: float, spread: float
    ) -> None:
        found = return_time(backlog, rate, left, spread)
        self.assertLessEqual(found.seconds, latest_return(left))
        if found.promised:
            self.assertGreaterEqual(found.seconds, MIN_RETRY_AFTER_SECONDS)


class TestRoomRate(unittest.TestCase):
    def test_a_loss_of_upstreams_shows_within_the_span(self) -> None:
        rates = StartRate()
        for number in range(100):
            rates.note("llm", 1, number * 0.05)
        self.assertAlmostEqual(20.0, rates.rate("llm", 1, 5.0), delta=3.0)
        self.assertEqual(0.0, rates.rate("llm", 1, 5.0 + WINDOW_SECONDS + 0.3))
        self.assertEqual(0.0, rates.rate("llm", 0, 5.0))
