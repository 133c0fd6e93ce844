"""Estimated engine paces: long-term pace, short disturbances, and the reference of comparison."""

from __future__ import annotations

import random
import unittest

from lotushill.placement.engine_pace import EnginePace
from lotushill.placement.engine_pace import LongTermPace
from lotushill.placement.engine_pace import ServiceEnginePaces


class Engines:
    """Engines of given slowness, each with a stream that reports at regular intervals."""

    def __init__(self, slowness: list[float], seed: int = 1) -> None:
        self.slowness = slowness
        self.service = ServiceEnginePaces()
        self.paces = [EnginePace() for _ in slowness]
        self.rng = random.Random(seed)
        self.now = 0.0
        for number, pace in enumerate(self.paces):
            self.service.add(f"e{number}", pace)

    def run(self, seconds: float, disturbed: int | None = None, every: float = 0.1) -> None:
        """Advance the time; one engine may be disturbed, 2.5 times slower than its own pace."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += every
            for number, pace in enumerate(self.paces):
                ratio = self.slowness[number] * self.rng.lognormvariate(0.0, 0.08)
                ratio *= 2.5 if number == disturbed else 1.0
                pace.note_stream_ratio(ratio, self.now)
                pace.note_pause(0.03 * ratio, self.now)
                pace.note_prefill_time(2e-5 * ratio * self.rng.lognormvariate(0.0, 0.3), self.now)
            self.service.update_long_term(self.now)

    def deviating(self) -> dict[str, float]:
        return {item.upstream: item.step_slowness for item in self.service.deviating_paces()}


class TestLongTermPace(unittest.TestCase):
    def test_slow_engines_are_detected_within_seconds_and_stay_detected(self) -> None:
        engines = Engines([1.82] * 3 + [0.83] * 9)
        engines.run(2.0)
        self.assert_slow(engines)
        # No requests are sent to them for a minute.
        self.assertGreater(engines.paces[0].step_slowness(engines.now + 60.0), 1.7)

    def test_equal_engines_have_no_long_term_difference(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                engines = Engines([1.0] * 12, seed)
                engines.run(20.0)
                self.assertEqual(0, engines.service.change_count)

    def assert_slow(self, engines: Engines) -> None:
        """Check that exactly the first three engines have about their true slowness."""
        self.assertEqual({"e0", "e1", "e2"}, set(engines.deviating()))
        for steps in engines.deviating().values():
            self.assertAlmostEqual(1.82 / 0.83, steps, delta=0.4)

    def test_disturbance_changes_the_short_term_pace_only(self) -> None:
        engines = Engines([1.82] * 3 + [0.83] * 9)
        engines.run(6.0)
        engines.run(0.6, disturbed=5)
        self.assertGreater(engines.paces[5].step_slowness(engines.now), 1.4)
        self.assert_slow(engines)
        engines.run(6.0)
        self.assert_slow(engines)
        self.assertLess(engines.paces[5].step_slowness(engines.now), 1.15)

    def test_permanent_change_updates_the_long_term_pace(self) -> None:
        engines = Engines([1.0] * 8)
        engines.run(6.0)
        engines.slowness[2] = 2.0
        engines.run(6.0)
        self.assertEqual({"e2"}, set(engines.deviating()))
        engines.slowness[2] = 1.0
        engines.run(6.0)
        self.assertEqual({}, engines.deviating())

    def test_reference_is_the_median_engine_and_not_the_median_request(
        self,
    ) -> None:
        """The slow engines receive no more requests after 4 s, and the reference stays the same."""
        engines = Engines([1.82] * 3 + [0.83] * 9)
        engines.run(4.0)
        for _ in range(400):
            engines.now += 0.05
            for pace in engines.paces[3:]:
                pace.note_pause(0.03 * 0.83, engines.now)
            engines.service.update_long_term(engines.now)
        self.assert_slow(engines)

    def test_long_term_pace_is_reset_after_minutes_without_samples(self) -> None:
        engines = Engines([1.82] * 3 + [0.83] * 9)
        engines.run(4.0)
        for seconds, names in ((60.0, {"e0", "e1", "e2"}), (61.0, set())):
            engines.now += seconds
            engines.paces[5].note_pause(0.03 * 0.83, engines.now)
            engines.service.update_long_term(engines.now)
            self.assertEqual(names, set(engines.deviating()))

    def test_two_engines_are_not_compared(self) -> None:
        engines = Engines([2.0, 1.0])
        engines.run(10.0)
        self.assertEqual(0, engines.service.change_count)


class TestReportedPace(unittest.TestCase):
    def test_reported_pace_holds_until_own_samples_exist(self) -> None:
        engines = Engines([1.0] * 6)
        engines.service.adopt_reported(LongTermPace("e1", 2.2, 1.0), engines.paces[1])
        self.assertTrue(engines.service.has_deviating)
        self.assertEqual(2.2, engines.paces[1].step_slowness(50.0))
        engines.run(4.0)
        self.assertEqual({}, engines.deviating())

    def test_reported_pace_does_not_replace_own_samples(self) -> None:
        engines = Engines([1.0] * 6)
        engines.run(4.0)
        engines.service.adopt_reported(LongTermPace("e1", 2.2, 1.0), engines.paces[1])
        self.assertEqual({}, engines.deviating())
