"""Tests that all reclaimable engines of a hall are replaced when none are available anywhere.

In a fleet whose halls had all engines that they may have, the order for the hall remained
unchanged, so nothing was ordered in place of the lost engines for eight seconds, and a burst
arrived in that time.
"""

from __future__ import annotations

import unittest

from lotushill.duties.duty_record import StandingOrders
from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.routing.service import ScalingProfile

SLOTS = 16
MAX_ENGINES = 23
BOOT_SECONDS = 4.0
STEP_SECONDS = 0.5
SCALING = ScalingProfile(
    1, MAX_ENGINES, 0.18, BOOT_SECONDS, (("a", 0.85), ("b", 1.2), ("c", 1.0), ("d", 1.1))
)


class Platform:
    """Starts and stops engines as ordered; engines of each kind serve after their boot time."""

    def __init__(self) -> None:
        self.engines = {hall: [2, 16] for hall in "abcd"}
        self.booting: list[tuple[float, str, int, int]] = []
        self.shortage_until = 0.0
        self.refused: list[str] = []

    def order(self, hall: str, kind: int, wanted: int, now: float) -> bool:
        """Order engines of a kind, 1 for reclaimable ones; return whether they are available."""
        coming = sum(n for _, h, k, n in self.booting if (h, k) == (hall, kind))
        more = wanted - self.engines[hall][kind] - coming
        if more > 0 and kind and now < self.shortage_until:
            return False
        if more > 0:
            self.booting.append((now + BOOT_SECONDS, hall, kind, more))
        elif wanted < self.engines[hall][kind]:
            self.engines[hall][kind] = wanted
        return True

    def advance(self, now: float) -> None:
        """Let the engines serve that have finished booting."""
        for item in [item for item in self.booting if item[0] <= now]:
            self.booting.remove(item)
            self.engines[item[1]][item[2]] += item[3]

    def total(self) -> int:
        return sum(sum(kinds) for kinds in self.engines.values())


class TestReclaim(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform()
        self.sizing = EngineSizing(45, -60.0)
        self.orders = {hall: StandingOrders(2, 16) for hall in "abcd"}
        self.totals_by_time: dict[float, int] = {}

    def run_orders(self, end: float, reclaimed_at: float, demand: int, start: float = 0.0) -> None:
        """Order twice per second; hall a loses its reclaimable engines at `reclaimed_at`."""
        now = start
        while now < end:
            self.platform.advance(now)
            if now == reclaimed_at:
                self.platform.engines["a"][1] = 0
            self.sizing.record_demand(demand, now)
            halls = {
                hall: HallEngines(sum(self.platform.engines[hall]), self.orders[hall])
                for hall in "abcd"
            }
            self.orders = self.sizing.orders(SCALING, SLOTS, halls, now)
            for hall, wanted in self.orders.items():
                self.platform.order(hall, 0, wanted.ordinary, now)
                if not self.platform.order(hall, 1, wanted.reclaimable, now):
                    self.sizing.record_shortage(hall, now)
            self.totals_by_time[now] = self.platform.total()
            now += STEP_SECONDS

    def test_lost_engines_are_replaced_after_one_start(self) -> None:
        self.platform.shortage_until = 28.0
        self.run_orders(40.0, 20.0, 340)
        before = self.totals_by_time[19.5]
        self.assertLess(self.totals_by_time[20.0], before - 15)
        self.assertGreaterEqual(self.totals_by_time[26.0], 0.97 * before)
        self.assertGreaterEqual(
            min(self.totals_by_time[t / 2] for t in range(52, 80)), 0.9 * before
        )

    def test_no_ordinary_engines_are_ordered_without_a_shortage(self) -> None:
        self.run_orders(40.0, 20.0, 340)
        self.assertGreaterEqual(self.totals_by_time[26.0], 0.97 * self.totals_by_time[19.5])
        self.assertEqual(8, sum(item.ordinary for item in self.orders.values()))

    def test_ordinary_engines_are_returned_after_the_shortage(self) -> None:
        self.platform.shortage_until = 28.0
        self.run_orders(75.0, 20.0, 340)
        self.assertLessEqual(sum(item.ordinary for item in self.orders.values()), 12)
        self.assertGreaterEqual(self.totals_by_time[74.5], 0.97 * self.totals_by_time[19.5])

    def test_no_serving_engine_is_returned_in_a_shortage(self) -> None:
        """Ordinary engines serve only after their boot time; until then serving ones are kept."""
        self.platform.shortage_until = 40.0
        self.run_orders(19.5, -1.0, 340)
        before = self.totals_by_time[19.0]
        self.run_orders(30.0, 20.0, 500, start=19.5)
        self.assertGreaterEqual(min(self.totals_by_time.values()), before - 16)
        self.assertGreaterEqual(self.totals_by_time[29.5], before)

    def test_successor_replaces_engines_lost_together_with_the_holder(self) -> None:
        self.platform.shortage_until = 30.0
        self.platform.engines["a"][1] = 0
        self.sizing = EngineSizing(45, 22.0, ordered=72)
        halls = {
            hall: HallEngines(sum(self.platform.engines[hall]), self.orders[hall])
            for hall in "abcd"
        }
        self.sizing.take_over(halls, 22.0)
        self.run_orders(30.0, -1.0, 340, start=22.0)
        self.assertGreaterEqual(self.totals_by_time[28.0], 70)

    def test_hall_at_its_engine_limit_keeps_almost_all_capacity(self) -> None:
        """No other hall may have more engines, so all replacements come in the hall itself."""
        self.platform.engines = {hall: [2, 21] for hall in "abcd"}
        self.orders = {hall: StandingOrders(2, 21) for hall in "abcd"}
        self.platform.shortage_until = 28.0
        self.run_orders(40.0, 20.0, 600)
        self.assertGreaterEqual(self.totals_by_time[26.0], 0.95 * 92)


if __name__ == "__main__":
    unittest.main()
