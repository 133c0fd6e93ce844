"""Tests that the whole fleet complies with a team's limit, and uses it while there is demand.

In virtual time, over a network that loses one datagram in fifty, with four times the demand.
"""

from __future__ import annotations

import unittest

from lotushill.load.limits.emulated_fleet import EmulatedFleet
from lotushill.load.limits.emulated_fleet import Fault
from lotushill.load.limits.emulated_fleet import Outcome
from lotushill.load.limits.emulated_fleet import Play
from lotushill.load.limits.emulated_fleet import allowed
from lotushill.load.limits.ways import TEAM

LEAST_USED = 0.8


def play(
    gateways: int,
    rate: float,
    fault: Fault = Fault.NONE,
    seed: int = 1,
    seconds: float = 24.0,
    demand: float = 4.0,
) -> Outcome:
    found = Play(gateways, rate, TEAM, fault, seed, demand, seconds)
    return EmulatedFleet(found).run()


class TestTeamLimits(unittest.TestCase):
    def test_in_calm_the_limit_holds_and_most_of_it_is_used(self) -> None:
        for gateways, rate in ((1, 4), (9, 4), (81, 4), (9, 50)):
            with self.subTest(gateways=gateways, rate=rate):
                outcome = play(gateways, rate)
                self.assertLessEqual(outcome.most, 4 * rate + 3)
                self.assertGreater(outcome.used, LEAST_USED)

    def test_kills_cuts_freezes_and_joins_do_not_break_it(self) -> None:
        faults = (Fault.KILL, Fault.FREEZE, Fault.CUT, Fault.JOIN, Fault.ROLL)
        for fault in faults:
            for gateways, rate, seed in ((9, 1, 1), (9, 4, 2), (9, 50, 1), (81, 4, 3)):
                with self.subTest(fault=fault, gateways=gateways, rate=rate):
                    outcome = play(gateways, rate, fault, seed, 16.0)
                    self.assertLessEqual(outcome.most, allowed(rate))

    def test_while_two_are_held_for_the_counting_one_it_is_at_most_doubled(self) -> None:
        """Half of the gateways hold one for lost that is alive, throughout the test."""
        for rate in (4, 50):
            with self.subTest(rate=rate):
                outcome = play(9, rate, Fault.DISAGREE, seconds=16.0)
                self.assertLessEqual(outcome.most, 2 * 4 * rate + 5)

    def test_a_team_within_its_limit_is_hardly_ever_held_back(self) -> None:
        self.assertGreater(play(9, 20, demand=0.5).used, 0.9 * 0.5)

    def test_asks_are_bounded_whatever_the_demand(self) -> None:
        calm, pressed = (play(9, 4, demand=demand) for demand in (4.0, 100.0))
        self.assertLess(pressed.datagrams, 4 * calm.datagrams + 50)
