"""Tests that a gateway that becomes a scheduler receives the pace of each engine.

Without it, the gateway took all engines for equally fast, and until it had learned otherwise from
its own streams it placed a fifth and more of its requests on engines known as slow to all others.
"""

from __future__ import annotations

import unittest

from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.load_records import upstream_number
from lotushill.links.pace_records import MAX_PACES_PER_PAGE
from lotushill.links.pace_records import pack_paces
from lotushill.links.pace_records import unpack_paces
from lotushill.placement.engine_pace import LongTermPace
from lotushill.placement.fleet import Fleet
from lotushill.scheduling.shared_load import SharedLoad
from tests.scheduling.virtual_fleet import SERVICE
from tests.scheduling.virtual_fleet import VirtualFleet

SLOW = ("e0", "e4", "e8")


def uneven_fleet(gateways: int) -> VirtualFleet:
    """Return a fleet that has run for some seconds, with a quarter of the engines slow."""
    fleet = VirtualFleet(gateways, engines=12, seed=3)
    for name in SLOW:
        fleet.engines[name].slow = 2.2
    fleet.run(320.0 / gateways + 8.0)
    return fleet


class TestNewScheduler(unittest.TestCase):
    def test_a_new_scheduler_knows_the_paces_found_by_another(self) -> None:
        for gateways in (16, 81):
            with self.subTest(gateways=gateways):
                self.check_new_scheduler(uneven_fleet(gateways))

    def check_new_scheduler(self, fleet: VirtualFleet) -> None:
        new_fleet = Fleet("h0")
        shared_load = SharedLoad(
            "new", new_fleet, lambda: fleet.now, lambda _: SERVICE, lambda _: None
        )
        names = {upstream_number(name): name for name in fleet.engines}
        page = pack_paces(fleet.schedulers[0].load.paces())
        shared_load.merge_paces(unpack_paces(page, names.get))
        slow = set()
        for name in fleet.engines:
            known = fleet.schedulers[0].fleet.load(name).pace
            received = new_fleet.load(name).pace
            self.assertEqual(known.is_known, received.is_known)
            self.assertAlmostEqual(
                known.long_term_step_slowness, received.long_term_step_slowness, places=4
            )
            if received.step_slowness(fleet.now) > 1.5:
                slow.add(name)
        self.assertTrue(slow)
        self.assertLessEqual(slow, set(SLOW))

    def test_all_schedulers_of_a_fleet_find_the_same_paces(self) -> None:
        fleet = uneven_fleet(81)
        for scheduler in fleet.schedulers:
            paces = scheduler.fleet.engine_paces.for_service(SERVICE.name).deviating_paces()
            self.assertEqual(set(SLOW), {item.upstream for item in paces})


class TestRecords(unittest.TestCase):
    def names(self, number: int) -> str | None:
        return {upstream_number("e1"): "e1"}.get(number)

    def test_unknown_upstreams_and_impossible_paces_are_left_out(self) -> None:
        records = [
            LongTermPace("e1", 2.0, 1.0),
            LongTermPace("e2", 2.0, 1.0),
            LongTermPace("e1", float("nan"), 1.0),
            LongTermPace("e1", 0.0, 1.0),
            LongTermPace("e1", 1.0, float("inf")),
        ]
        self.assertEqual(records[:1], unpack_paces(pack_paces(records), self.names))

    def test_a_page_is_bounded(self) -> None:
        records = [LongTermPace("e1", 2.0, 1.0)] * (MAX_PACES_PER_PAGE + 5)
        page = pack_paces(records)
        self.assertEqual(MAX_PACES_PER_PAGE, len(unpack_paces(page, self.names)))
        for wrong in (page + page[:16], page[:-1]):
            with self.assertRaises(MalformedFrameError):
                unpack_paces(wrong, self.names)
