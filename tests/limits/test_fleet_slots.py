"""Gateways never make a brittle engine reject more than it bears, and keep its slots in use.

In virtual time, at twice what the engines bear, over a network that loses datagrams. Each gateway
asks for slots of engines that it draws at random, so that all decide without knowing of the others.
"""

from __future__ import annotations

import unittest

from tests.limits.virtual_slots import Fault
from tests.limits.virtual_slots import Outcome
from tests.limits.virtual_slots import Play
from tests.limits.virtual_slots import VirtualSlots

MIN_WORK_FRACTION = 0.9


class TestSlots(unittest.TestCase):
    def run_play(self, play: Play) -> Outcome:
        """Run a play and check that engines fall no more often than is allowed."""
        outcome = VirtualSlots(play).run()
        self.assertLessEqual(outcome.falls, play.max_falls, (play, outcome))
        return outcome

    def test_all_slots_are_in_use_and_no_engine_falls(self) -> None:
        for play in (
            Play(9, seconds=8.0),
            Play(9, seconds=8.0, loss=0.2, engines=4),
            Play(9, seconds=8.0, few=2, engines=4),
            Play(61, seconds=7.0, engines=4),
        ):
            with self.subTest(play=play):
                outcome = self.run_play(play)
                self.assertEqual(0, outcome.falls)
                self.assertGreater(outcome.work_fraction, MIN_WORK_FRACTION)

    def test_hundreds_of_gateways_keep_to_the_slots(self) -> None:
        outcome = self.run_play(Play(360, seconds=6.5, engines=4))
        self.assertEqual(0, outcome.falls)
        self.assertGreater(outcome.work_fraction, MIN_WORK_FRACTION)

    def test_engines_that_bear_next_to_nothing(self) -> None:
        for most in (0, 1, 40):
            with self.subTest(most=most):
                play = Play(9, seconds=8.0, engines=4, max_rejections=most)
                self.assertGreater(self.run_play(play).work_fraction, MIN_WORK_FRACTION)

    def test_engines_that_end_and_return_together_or_in_turn(self) -> None:
        for fault in (Fault.ENGINES_END, Fault.ENGINES_FLAP, Fault.ENGINES_ADDED):
            with self.subTest(fault=fault):
                outcome = self.run_play(Play(9, fault, seconds=12.0, engines=4))
                self.assertGreater(outcome.work_fraction, MIN_WORK_FRACTION)

    def test_bursts(self) -> None:
        outcome = self.run_play(Play(9, Fault.BURST, seconds=10.0, engines=4))
        self.assertGreater(outcome.work_fraction, MIN_WORK_FRACTION)

    def test_gateways_that_are_killed_frozen_cut_off_or_restarted(self) -> None:
        for fault in (
            Fault.KILL_OWNERS,
            Fault.KILL_HALF,
            Fault.FREEZE_OWNERS,
            Fault.CUT_HALL,
            Fault.CUT_HALF,
            Fault.CUT_SINGLE,
            Fault.ROLL,
        ):
            with self.subTest(fault=fault):
                self.run_play(Play(9, fault, seconds=13.0, engines=4, slots=6))

    def test_all_slots_are_in_use_again_three_seconds_after_that(self) -> None:
        """Owners that had just started did not try slots for up to ten seconds.

        They had not heard what their engines bear when they were first asked, and took it for next
        to nothing.
        """
        for fault in (Fault.KILL_OWNERS, Fault.KILL_HALF, Fault.CUT_HALL, Fault.ROLL):
            for seed in (1, 2):
                with self.subTest(fault=fault, seed=seed):
                    play = Play(9, fault, seed, slots=6, seconds=15.5, measured_from=14.0)
                    self.assertGreater(self.run_play(play).work_fraction, MIN_WORK_FRACTION)
