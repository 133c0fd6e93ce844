"""A gateway that becomes a scheduler knows at once how fast each engine is.

It held all engines for alike, and until its own streams had told otherwise a fifth and more of what
it placed went to engines that everybody else knew to be slow.
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


def uneven(gateways: int) -> VirtualFleet:
    """Return a fleet of which a quarter of the engines are slow, after some seconds."""
    fleet = VirtualFleet(gateways, engines=12, seed=3)
    for name in SLOW:
        fleet.engines[name].slow = 2.2
    fleet.run(320.0 / gateways + 8.0)
    return fleet


class TestNewcomer(unittest.TestCase):
    def test_it_knows_at_once_what_another_scheduler_has_found(self) -> None:
        for gateways in (16, 81):
            with self.subTest(gateways=gateways):
                self.check_newcomer(uneven(gateways))

    def check_newcomer(self, fleet: VirtualFleet) -> None:
        newcomer = Fleet("h0")
        news = SharedLoad("new", newcomer, lambda: fleet.now, lambda _: SERVICE, lambda _: None)
        names = {upstream_number(name): name for name in fleet.engines}
        page = pack_paces(fleet.schedulers[0].load.paces())
        news.merge_paces(unpack_paces(page, names.get))
        slow = set()
        for name in fleet.engines:
            known = fleet.schedulers[0].fleet.load(name).pace
            told = newcomer.load(name).pace
            self.assertEqual(known.is_known, told.is_known)
            self.assertAlmostEqual(
                known.long_term_step_slowness, told.long_term_step_slowness, places=4
            )
            if told.step_slowness(fleet.now) > 1.5:
                slow.add(name)
        self.assertTrue(slow)
        self.assertLessEqual(slow, set(SLOW))

    def test_all_schedulers_of_a_fleet_find_the_same(self) -> None:
        fleet = uneven(81)
        for scheduler in fleet.schedulers:
            paces = scheduler.fleet.engine_paces.for_service(SERVICE.name).deviating_paces()
            self.assertEqual(set(SLOW), {item.upstream for item in paces})


class TestRecords(unittest.TestCase):
    def names(self, number: int) -> str | None:
        return {upstream_number("e1"): "e1"}.get(number)

    def test_unknown_upstreams_and_impossible_paces_are_left_out(self) -> None:
        told = [
            LongTermPace("e1", 2.0, 1.0),
            LongTermPace("e2", 2.0, 1.0),
            LongTermPace("e1", float("nan"), 1.0),
            LongTermPace("e1", 0.0, 1.0),
            LongTermPace("e1", 1.0, float("inf")),
        ]
        self.assertEqual(told[:1], unpack_paces(pack_paces(told), self.names))

    def test_a_page_is_bounded(self) -> None:
        told = [LongTermPace("e1", 2.0, 1.0)] * (MAX_PACES_PER_PAGE + 5)
        page = pack_paces(told)
        self.assertEqual(MAX_PACES_PER_PAGE, len(unpack_paces(page, self.names)))
        for wrong in (page + page[:16], page[:-1]):
            with self.assertRaises(MalformedFrameError):
                unpack_paces(wrong, self.names)
