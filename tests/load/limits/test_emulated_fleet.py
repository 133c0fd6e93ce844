"""Gateways jointly keep to a limit, whichever gateway owns it, and use it while there is demand.

The plays run in virtual time over a network that loses one datagram in fifty, with a demand of four
times the engine's limit. The limit is compared with the requests that arrive in any four seconds.
"""

from __future__ import annotations

import unittest

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.load.limits.emulated_fleet import EmulatedFleet
from lotushill.load.limits.emulated_fleet import Fault
from lotushill.load.limits.emulated_fleet import Outcome
from lotushill.load.limits.emulated_fleet import Play
from lotushill.load.limits.emulated_fleet import max_requests_per_window

MIN_USED_FRACTION = 0.8


def play(*args: int | float, **kwargs: object) -> Outcome:
    return EmulatedFleet(Play(*args, **kwargs)).run()  # type: ignore[arg-type]


class TestWithoutFaults(unittest.TestCase):
    def test_arrivals_stay_within_the_limit_and_use_most_of_it(self) -> None:
        for gateways, rate, seconds in ((9, 0.2, 100.0), (9, 1, 40.0), (9, 4, 20.0), (81, 1, 30.0)):
            with self.subTest(gateways=gateways, rate=rate):
                outcome = play(gateways, rate, seconds=seconds)
                self.assertLessEqual(outcome.max_in_window, 4 * rate + 2)
                self.assertGreater(outcome.used_fraction, MIN_USED_FRACTION)

    def test_the_limit_is_kept_and_used_with_hundreds_of_gateways(self) -> None:
        outcome = play(360, 4, seconds=12.0)
        self.assertLessEqual(outcome.max_in_window, 4 * 4 + 2)
        self.assertGreater(outcome.used_fraction, MIN_USED_FRACTION)

    def test_uncoordinated_shares_exceed_the_limit(self) -> None:
        """The alternative to a limit owner: buckets per gateway can be full at the same moment."""
        self.assertGreater(
            play(360, 4, scheme="shares", seconds=12.0).max_in_window, max_requests_per_window(4)
        )

    def test_datagrams_are_bounded_under_high_demand(self) -> None:
        calm, overloaded = (play(9, 4, demand=demand) for demand in (4.0, 100.0))
        self.assertLess(overloaded.datagrams_per_second, 3 * calm.datagrams_per_second + 50)
        self.assertLessEqual(overloaded.max_in_window, 4 * 4 + 2)


class TestFaults(unittest.TestCase):
    def test_faults_of_gateways_do_not_break_the_limit(self) -> None:
        for fault in Fault:
            for gateways, rate, seed in ((9, 1, 1), (9, 4, 2), (81, 0.2, 3)):
                with self.subTest(fault=fault, gateways=gateways, rate=rate, seed=seed):
                    outcome = play(gateways, rate, fault=fault, seed=seed)
                    self.assertLessEqual(outcome.max_in_window, max_requests_per_window(rate))

    def test_faults_do_not_break_a_high_limit(self) -> None:
        for fault in (Fault.KILL, Fault.CUT, Fault.DISAGREE):
            with self.subTest(fault=fault):
                outcome = play(9, 50, fault=fault, seconds=16.0)
                self.assertLessEqual(outcome.max_in_window, max_requests_per_window(50))


class TestChanges(unittest.TestCase):
    def count_arrivals(self, outcome: Outcome, since: float, until: float) -> int:
        return sum(since <= at < until for at in outcome.arrival_times)

    def test_a_lower_limit_holds_soon_for_all(self) -> None:
        outcome = play(81, 20, changes=((8.0, 1.0),), seconds=14.0)
        self.assertLessEqual(self.count_arrivals(outcome, 9.0, 13.0), 4 * 1 + 2)

    def test_a_higher_limit_is_used_soon(self) -> None:
        outcome = play(81, 1, demand=80.0, changes=((8.0, 20.0),), seconds=15.0)
        self.assertGreater(self.count_arrivals(outcome, 10.5, 14.5), MIN_USED_FRACTION * 4 * 20)

    def test_after_its_end_no_gateway_requests_permits(self) -> None:
        for rate in (0.2, 4):
            with self.subTest(rate=rate):
                demand = 40.0 / rate
                outcome = play(9, rate, demand=demand, changes=((8.0, NO_LIMIT),))
                self.assertGreater(self.count_arrivals(outcome, 18.0, 22.0), 0.85 * 4 * 40.0)
