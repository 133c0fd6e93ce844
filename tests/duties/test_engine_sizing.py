"""Tests engine orders in bursts, in steady load and when halls lose all reclaimable engines."""

from __future__ import annotations

import unittest

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.duties.duty_record import StandingOrders
from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.duties.engine_sizing import engines_lost_to_limits
from lotushill.routing.service import ScalingProfile

SLOTS = 12
SCALING = ScalingProfile(1, 28, 0.22)
HALLS = ("a", "b", "c", "d")


def all_halls(engines: int, ordered: StandingOrders | None = None) -> dict[str, HallEngines]:
    return {hall: HallEngines(engines, ordered) for hall in HALLS}


def total(orders: dict[str, StandingOrders]) -> int:
    return sum(item.ordinary + item.reclaimable for item in orders.values())


class TestEngineSizing(unittest.TestCase):
    def setUp(self) -> None:
        self.sizing = EngineSizing(56, 0.0)

    def test_initial_engines_are_kept_before_any_demand(
        self,
    ) -> None:
        only = ScalingProfile(1, 28, None)
        self.assertEqual(total(self.sizing.orders(only, SLOTS, all_halls(14), 1.0)), 56)
        orders = self.sizing.orders(SCALING, SLOTS, all_halls(14), 1.0)
        self.assertGreater(total(orders), 56)
        self.assertGreater(orders["a"].reclaimable, orders["a"].ordinary)

    def test_capacity_lost_to_rate_limits_is_ordered_in_addition(self) -> None:
        """Half of 56 engines accept one request of 1.4 s per second: 1.4 in progress, not seven."""
        for second in range(40):
            self.sizing.record_demand(200, float(second))
        rates = [1.0] * 28 + [NO_LIMIT] * 28
        lost = engines_lost_to_limits(rates, 1.4, SLOTS)
        self.assertAlmostEqual(28 * (1 - 1.4 / 7.2), lost)
        only = ScalingProfile(1, 28, None)
        before = total(self.sizing.orders(only, SLOTS, all_halls(14), 40.0))
        after = total(self.sizing.orders(only, SLOTS, all_halls(14), 40.0, lost))
        self.assertAlmostEqual(before + lost, after, delta=len(HALLS))

    def test_limit_above_the_capacity_of_an_engine_loses_nothing(self) -> None:
        self.assertEqual(0.0, engines_lost_to_limits([NO_LIMIT, 50.0], 1.4, SLOTS))

    def test_capacity_for_twice_the_demand_exists_before_a_burst(self) -> None:
        for second in range(40):
            self.sizing.record_demand(200, float(second))
        self.assertLess(self.sizing.required_engines(SLOTS, 40.0), 70)
        wanted = self.sizing.required_engines(SLOTS, 40.0)
        self.assertGreaterEqual(wanted * SLOTS, 2 * 200)

    def test_burst_orders_engines_at_once_and_returns_them_late(self) -> None:
        self.sizing.record_demand(200, 30.0)
        calm = total(self.sizing.orders(SCALING, SLOTS, all_halls(14), 30.0))
        self.sizing.record_demand(380, 31.0)
        burst = total(self.sizing.orders(SCALING, SLOTS, all_halls(14), 31.0))
        self.assertGreater(burst, calm)
        self.sizing.record_demand(200, 55.0)
        self.assertEqual(total(self.sizing.orders(SCALING, SLOTS, all_halls(14), 55.0)), burst)
        self.sizing.record_demand(200, 70.0)
        self.assertLess(total(self.sizing.orders(SCALING, SLOTS, all_halls(14), 70.0)), burst)

    def test_other_halls_replace_one_without_reclaimable_engines(self) -> None:
        self.sizing.record_demand(200, 30.0)
        before = self.sizing.orders(SCALING, SLOTS, all_halls(14), 30.0)
        self.sizing.record_shortage("a", 30.5)
        during = self.sizing.orders(SCALING, SLOTS, all_halls(14), 31.0)
        self.assertGreater(during["b"].reclaimable, before["b"].reclaimable)
        after = self.sizing.orders(SCALING, SLOTS, all_halls(14), 40.0)
        self.assertEqual(after, before)

    def test_ordinary_engines_are_ordered_in_a_general_shortage(self) -> None:
        self.sizing.record_demand(200, 30.0)
        for hall in HALLS:
            self.sizing.record_shortage(hall, 30.0)
        orders = self.sizing.orders(SCALING, SLOTS, all_halls(4, StandingOrders(3, 11)), 30.5)
        self.assertGreaterEqual(orders["a"].ordinary, 14)

    def test_ordinary_engine_is_returned_only_after_its_replacement_serves(self) -> None:
        self.sizing.record_demand(200, 0.0)
        orders = self.sizing.orders(SCALING, SLOTS, all_halls(14), 0.5)
        self.assertEqual(orders["a"].ordinary, 14)
        later = self.sizing.orders(SCALING, SLOTS, all_halls(34, orders["a"]), 6.0)
        self.assertLess(later["a"].ordinary, 6)

    def test_orders_stay_within_the_limits_of_the_service(self) -> None:
        self.sizing.record_demand(100_000, 30.0)
        orders = self.sizing.orders(SCALING, SLOTS, all_halls(14), 30.0)
        self.assertEqual({item.ordinary + item.reclaimable for item in orders.values()}, {28})
        only = ScalingProfile(1, 28, None)
        orders = self.sizing.orders(only, SLOTS, all_halls(14), 30.0)
        self.assertEqual(orders["a"], StandingOrders(28, 0))
