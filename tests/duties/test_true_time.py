from __future__ import annotations

import unittest

from lotushill.duties.true_time import TrueTime


class Clocks:
    def __init__(self) -> None:
        self.steady = 100.0
        self.error = 0.0

    def wall(self) -> float:
        return 1_000_000.0 + self.steady + self.error


class TestTrueTime(unittest.TestCase):
    def setUp(self) -> None:
        self.clocks = Clocks()
        self.time = TrueTime(self.clocks.wall, lambda: self.clocks.steady)

    def test_step_of_the_local_clock_has_no_effect(self) -> None:
        before = self.time.now()
        self.clocks.error = 3.0
        self.assertEqual(self.time.now(), before)

    def test_a_minority_of_wrong_clocks_does_not_change_the_time(self) -> None:
        truth = 1_000_100.0
        for member, off in (("a", 0.001), ("b", -0.001), ("c", 2.5), ("d", 0.0), ("e", -4.0)):
            self.time.add_sample(member, truth + off)
        self.assertAlmostEqual(self.time.now(), truth, delta=0.002)

    def test_process_started_with_a_wrong_clock_follows_the_others(self) -> None:
        self.clocks.error = 5.0
        time = TrueTime(self.clocks.wall, lambda: self.clocks.steady)
        for member in ("a", "b", "c"):
            time.add_sample(member, 1_000_100.0)
        self.assertAlmostEqual(time.now(), 1_000_100.0, delta=0.002)

    def test_received_time_is_adopted(self) -> None:
        self.time.set_time(2_000_000.0)
        self.clocks.steady += 1.5
        self.assertEqual(self.time.now(), 2_000_001.5)
