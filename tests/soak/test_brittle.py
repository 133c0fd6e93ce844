"""Engines that say that they are brittle are not sent more than they have room for.

The failure: nothing read the statement. Under overload each gateway sent requests to full engines,
which rejected them, and fell over where all gateways together made them reject too many.
"""

from __future__ import annotations

import unittest

from tests.soak.brittle_engine import EngineShape
from tests.soak.brittle_run import BrittlePlan
from tests.soak.brittle_run import run_brittle
from tests.soak.light_loop import run_light


class TestBrittle(unittest.TestCase):
    def test_overloaded_engines_that_are_brittle_do_not_fall_over(self) -> None:
        plan = BrittlePlan(overload=2.2, seconds=16.0)
        result = run_light(run_brittle(plan))
        self.assertEqual([], result.errors)
        self.assertLessEqual(len(result.falls), plan.max_falls, result.falls)
        self.assertGreater(result.work_fraction, 0.5, result.statuses)


class TestManyDeciders(unittest.TestCase):
    """Several schedulers gave away the same free slot, by models that trail each other.

    Engines that were back together after a fall were sent more than they had slots by all at once,
    as what they state had been forgotten while nobody answered.
    """

    def test_engines_that_end_and_return_together_do_not_fall_over(self) -> None:
        plan = BrittlePlan(
            seconds=20.0,
            gateways=24,
            engines=12,
            shape=EngineShape(slots=6, work_seconds=0.8, max_rejections=3),
            engine_ends=((8.0, 6), (14.0, 6)),
        )
        result = run_light(run_brittle(plan))
        self.assertEqual([], result.errors)
        self.assertLessEqual(len(result.falls), plan.max_falls, result.falls)
        self.assertGreater(result.work_fraction, 0.5, result.statuses)
