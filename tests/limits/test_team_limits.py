"""Tests that the whole fleet complies with a team's limit, and uses it while there is demand.

In virtual time, over a network that loses one datagram in fifty, with four times the demand.
"""

from __future__ import annotations

import unittest

from lotushill.load.limits.emulated_fleet import EmulatedFleet
from lotushill.load.limits.emulated_fleet import Fault
from lotushill.load.limits.emulated_fleet import Outcome
from lotushill.load.limits.emulated_fleet import Play
from lotushill.load.limits.emulated_fleet import max_requests_per_window
from lotushill.load.limits.schemes import TEAM_SCHEME

MIN_USED_FRACTION = 0.8


def simulate(
    gateways: int,
    rate: float,
    fault: Fault = Fault.NONE,
    seed: int = 1,
    seconds: float = 24.0,
    demand: float = 4.0,
) -> Outcome:
    scenario = Play(gateways, rate, TEAM_SCHEME, fault, seed, demand, seconds)
    return EmulatedFleet(scenario).run()


class TestTeamLimits(unittest.TestCase):
    def test_without_faults_the_limit_holds_and_most_of_it_is_used(self) -> None:
        for gateways, rate in ((1, 4), (9, 4), (81, 4), (9, 50)):
            with self.subTest(gateways=gateways, rate=rate):
                outcome = simulate(gateways, rate)
                self.assertLessEqual(outcome.max_in_window, 4 * rate + 3)
                self.assertGreater(outcome.used_fraction, MIN_USED_FRACTION)

    def test_kills_partitions_freezes_and_joins_do_not_break_the_limit(self) -> None:
        faults = (Fault.KILL, Fault.FREEZE, Fault.CUT, Fault.JOIN, Fault.ROLL)
        for fault in faults:
            for gateways, rate, seed in ((9, 1, 1), (9, 4, 2), (9, 50, 1), (81, 4, 3)):
                with self.subTest(fault=fault, gateways=gateways, rate=rate):
                    outcome = simulate(gateways, rate, fault, seed, 16.0)
                    self.assertLessEqual(outcome.max_in_window, max_requests_per_window(rate))

    def test_with_two_limit_owners_at_once_the_limit_is_at_most_doubled(self) -> None:
        """Half of the gateways hold one for lost that is alive, throughout the test."""
        for rate in (4, 50):
            with self.subTest(rate=rate):
                outcome = simulate(9, rate, Fault.DISAGREE, seconds=16.0)
                self.assertLessEqual(outcome.max_in_window, 2 * 4 * rate + 5)

    def test_a_team_within_its_limit_is_hardly_ever_delayed(self) -> None:
        self.assertGreater(simulate(9, 20, demand=0.5).used_fraction, 0.9 * 0.5)

    def test_permit_requests_are_bounded_whatever_the_demand(self) -> None:
        calm, pressed = (simulate(9, 4, demand=demand) for demand in (4.0, 100.0))
        self.assertLess(pressed.datagrams_per_second, 4 * calm.datagrams_per_second + 50)
