"""Tests the pause after which a stream counts as stalled, by the pauses observed before."""

from __future__ import annotations

import random
import unittest

from lotushill.moves.stalls import MIN_THRESHOLD_SECONDS
from lotushill.moves.stalls import StallThresholds
from lotushill.moves.stalls import max_threshold

GAP = 0.4


class TestStallThresholds(unittest.TestCase):
    def test_short_pauses_lower_the_threshold_below_its_maximum(self) -> None:
        stalls, rng = StallThresholds(), random.Random(4)
        for _ in range(3_000):
            stalls.note("s", rng.uniform(0.03, 0.09))
        self.assertEqual(MIN_THRESHOLD_SECONDS, stalls.threshold("s", GAP))
        self.assertLess(stalls.threshold("s", GAP), max_threshold(GAP))

    def test_long_pauses_raise_the_threshold(self) -> None:
        stalls, rng = StallThresholds(), random.Random(4)
        for number in range(6_000):
            reading = 0.25 if number % 20 == 0 else 0.0
            stalls.note("s", rng.uniform(0.03, 0.09) + reading)
        self.assertGreater(stalls.threshold("s", GAP), 1.0)
        self.assertLessEqual(stalls.threshold("s", GAP), max_threshold(GAP))

    def test_pauses_of_a_disturbance_are_waited_out(self) -> None:
        """A seventh of the upstreams decode two and a half times slower for some hundred ms."""
        stalls, rng = StallThresholds(), random.Random(9)
        taken_for_stopped = 0
        for _ in range(20_000):
            slower = 2.5 if rng.random() < 0.15 else 1.0
            pause = rng.uniform(0.03, 0.09) * slower + (0.1 if rng.random() < 0.05 else 0.0)
            taken_for_stopped += pause > stalls.threshold("s", GAP)
            stalls.note("s", pause)
        self.assertEqual(0, taken_for_stopped)

    def test_the_typical_pause_is_known_from_the_first_one_on_and_robust_to_long_ones(self) -> None:
        stalls = StallThresholds()
        self.assertIsNone(stalls.typical_pause("s"))
        for _ in range(100):
            stalls.note("s", 0.05)
        stalls.note("s", 30.0)
        self.assertAlmostEqual(0.05, stalls.typical_pause("s") or 0.0, delta=0.01)

    def test_the_threshold_for_a_first_event_is_known_after_enough_waits(self) -> None:
        waits, rng = StallThresholds(), random.Random(3)
        self.assertIsNone(waits.threshold_if_known("s"))
        for _ in range(2_000):
            waits.note("s", rng.uniform(0.1, 1.5))
        self.assertGreater(waits.threshold_if_known("s") or 0.0, 4.0)

    def test_the_threshold_is_bounded_and_invalid_pauses_are_ignored(self) -> None:
        stalls = StallThresholds()
        before = stalls.long_pause("s")
        for pause in (0.0, -1.0, float("inf"), float("nan")):
            stalls.note("s", pause)
        self.assertEqual(before, stalls.long_pause("s"))
        for _ in range(2_000):
            stalls.note("s", 30.0)
        self.assertEqual(max_threshold(GAP), stalls.threshold("s", GAP))
        self.assertEqual(max_threshold(0.0), stalls.threshold("s", 0.0))
