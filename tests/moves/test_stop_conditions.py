"""Tests when a run may be stopped in order to be moved: the ways there and back must be open."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.moves.move_plan import Cause
from lotushill.moves.stop_conditions import RETRIES_PER_STOP
from lotushill.moves.stop_conditions import StopConditions
from lotushill.moves.stop_conditions import stop_obstacle

OPEN = StopConditions(
    cause=Cause.SLOW,
    run_ended=False,
    target_accepts=True,
    target_failure_rate=0.0,
    source_accepts=True,
    source_failure_rate=0.0,
    source_limited=False,
)
MAX_FAILURE_RATE = 0.05
RATES = st.sampled_from((0.0, 0.049, MAX_FAILURE_RATE, 1.0))
CONDITIONS = st.builds(
    StopConditions, st.sampled_from(Cause), st.booleans(), st.booleans(), RATES,
    st.booleans(), RATES, st.booleans(),
)  # fmt: skip


class TestStopObstacle(unittest.TestCase):
    def test_nothing_prevents_a_stop_between_two_sound_upstreams(self) -> None:
        for cause in Cause:
            with self.subTest(cause=cause):
                self.assertEqual("", stop_obstacle(replace(OPEN, cause=cause)))

    def test_no_run_that_ended_and_none_whose_target_accepts_no_requests_is_stopped(self) -> None:
        for cause in Cause:
            with self.subTest(cause=cause):
                ended = replace(OPEN, cause=cause, run_ended=True)
                closed = replace(OPEN, cause=cause, target_accepts=False)
                self.assertEqual("run has ended", stop_obstacle(ended))
                self.assertEqual("target accepts no requests", stop_obstacle(closed))

    def test_a_target_that_fails_prevents_a_stop_unless_the_source_leaves(self) -> None:
        failing = replace(OPEN, target_failure_rate=MAX_FAILURE_RATE)
        for cause in (Cause.SLOW, Cause.STALLED):
            with self.subTest(cause=cause):
                obstacle = stop_obstacle(replace(failing, cause=cause))
                self.assertEqual("target fails requests", obstacle)
        self.assertEqual("", stop_obstacle(replace(failing, cause=Cause.LEAVING)))

    def test_the_way_back_is_required_of_a_slow_run_only(self) -> None:
        obstacles = {
            "source accepts no requests": replace(OPEN, source_accepts=False),
            "source fails requests": replace(OPEN, source_failure_rate=MAX_FAILURE_RATE),
            "source has a rate limit": replace(OPEN, source_limited=True),
        }
        for expected, conditions in obstacles.items():
            with self.subTest(expected=expected):
                self.assertEqual(expected, stop_obstacle(conditions))
                for cause in (Cause.LEAVING, Cause.STALLED):
                    self.assertEqual("", stop_obstacle(replace(conditions, cause=cause)))

    def test_a_failure_rate_below_the_threshold_prevents_nothing(self) -> None:
        rates = replace(OPEN, target_failure_rate=0.049, source_failure_rate=0.049)
        self.assertEqual("", stop_obstacle(rates))

    @given(CONDITIONS)
    def test_a_slow_run_is_stopped_only_if_all_ways_are_open(self, given: StopConditions) -> None:
        slow = replace(given, cause=Cause.SLOW)
        is_open = not slow.run_ended and slow.target_accepts and slow.source_accepts
        rates = (slow.target_failure_rate, slow.source_failure_rate)
        is_sound = max(rates) < MAX_FAILURE_RATE and not slow.source_limited
        self.assertEqual(is_open and is_sound, not stop_obstacle(slow))

    @given(CONDITIONS)
    def test_a_condition_that_worsens_never_permits_a_stop(self, given: StopConditions) -> None:
        if not stop_obstacle(given):
            return
        worse = (
            replace(given, run_ended=True),
            replace(given, target_accepts=False),
            replace(given, target_failure_rate=1.0),
            replace(given, source_accepts=False),
            replace(given, source_failure_rate=1.0),
            replace(given, source_limited=True),
        )
        self.assertNotIn("", [stop_obstacle(conditions) for conditions in worse])

    def test_retries_are_reserved_for_the_way_there_and_back(self) -> None:
        self.assertEqual(2, RETRIES_PER_STOP)
