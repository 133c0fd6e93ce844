from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.baseline_pause import BaselinePause
from lotushill.placement.pauses import Pauses

BASELINE_SECONDS = 0.024
CHUNK_SECONDS = 0.053
TOKENS = 3
BOUND = TOKENS * CHUNK_SECONDS


def pause(waiting: float, slowness: float, rng: random.Random) -> float:
    """Return a pause of an engine that processes one prompt chunk per step."""
    return slowness * (BASELINE_SECONDS + min(waiting, BOUND)) * rng.uniform(0.95, 1.05)


def trained_pauses(rng: random.Random, count: int = 400) -> Pauses:
    pauses = Pauses()
    for _ in range(count):
        pauses.note(pause(0.0, 1.0, rng), 0.0, 10, 1.0)
        waiting = rng.uniform(0.02, 0.6)
        pauses.note(pause(waiting, 1.0, rng), waiting, 10, 1.0)
    return pauses


class TestPauses(unittest.TestCase):
    def test_first_events_that_arrive_together_do_not_give_a_zero_pause(self) -> None:
        """Guards against a division by zero that aborted streams in mid-answer.

        The first two events of a service arrived in one read, so the typical pause was 0 s, and the
        next pause was divided by it. `request.ended` recorded the fault ten times in 16 s, at
        gateways that had just started and for streams whose first event had arrived.
        """
        pauses = Pauses()
        for _ in range(3):
            self.assertIsNotNone(pauses.note(0.0, 0.0, 10, 1.0))
        self.assertGreater(pauses.during_prefill(0.0, 10, 1.0), 0.0)

    @given(st.integers(0, 2**32), st.floats(0.0, 3.0), st.floats(0.7, 1.6))
    def test_prediction_matches_the_engine(
        self, seed: int, waiting: float, slowness: float
    ) -> None:
        rng = random.Random(seed)
        pauses = trained_pauses(rng)
        likely = pauses.during_prefill(waiting * slowness, 10, slowness)
        self.assertAlmostEqual(
            likely, slowness * (BASELINE_SECONDS + min(waiting, BOUND)), delta=0.03
        )

    @given(st.integers(0, 2**32))
    def test_many_queued_prompts_lengthen_a_pause_no_more_than_a_few(self, seed: int) -> None:
        pauses = trained_pauses(random.Random(seed))
        few = pauses.exceed_probability(2 * BOUND, 10, 1.0, 0.3)
        many = pauses.exceed_probability(50 * BOUND, 10, 1.0, 0.3)
        self.assertAlmostEqual(few, many, delta=0.1)
        self.assertLess(many, 0.1)

    def test_slow_upstream_misses_pauses_that_a_typical_one_meets(self) -> None:
        pauses = trained_pauses(random.Random(1))
        self.assertLess(pauses.exceed_probability(1.0, 10, 1.0, 0.24), 0.35)
        self.assertGreater(pauses.exceed_probability(1.0, 10, 1.5, 0.24), 0.7)

    def test_bound_is_learned_within_a_few_pauses(self) -> None:
        rng = random.Random(2)
        pauses = Pauses()
        self.assertFalse(pauses.bound_known)
        for _ in range(10):
            pauses.note(pause(0.0, 1.0, rng), 0.0, 10, 1.0)
        for _ in range(3):
            pauses.note(pause(1.0, 1.0, rng), 1.0, 10, 1.0)
        self.assertTrue(pauses.bound_known)
        self.assertAlmostEqual(BOUND, pauses.bound, delta=0.04)

    def test_unobserved_prefill_does_not_change_the_baseline(self) -> None:
        rng = random.Random(3)
        pauses = trained_pauses(rng)
        before = pauses.baseline.at(10)
        for _ in range(20):
            pauses.note(pause(1.0, 1.0, rng), 0.0, 10, 1.0)
        self.assertAlmostEqual(before, pauses.baseline.at(10), places=6)


class TestBaselinePause(unittest.TestCase):
    def test_pause_grows_with_the_running_requests(self) -> None:
        quiet = BaselinePause()
        rng = random.Random(4)
        for _ in range(3000):
            running = rng.randrange(1, 60)
            quiet.note(running, 0.02 + 0.0002 * running)
        self.assertAlmostEqual(0.022, quiet.at(10), delta=0.001)
        self.assertAlmostEqual(0.030, quiet.at(50), delta=0.001)

    def test_pause_is_constant_without_variance_of_the_running_requests(self) -> None:
        quiet = BaselinePause()
        for _ in range(100):
            quiet.note(5, 0.025)
        self.assertAlmostEqual(0.025, quiet.at(60), places=4)
