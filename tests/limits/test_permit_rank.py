"""Tests which requests get the permits of an upstream with a limit."""

from __future__ import annotations

import unittest

from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits
from lotushill.limits.permit_rank import PermitRanks
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream

SERVICE = Service("llm", 600, EngineProfile(4, 100_000, 1))
UPSTREAMS = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:1", "h0", 4, False) for n in range(2)]


class TestPermitRanks(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.fleet, self.limits = Fleet("h0"), StatedLimits()
        self.ranks = PermitRanks(self.fleet, self.limits, lambda _: UPSTREAMS)
        for route, prompt in (("letters", 6000), ("queries", 600)):
            self.fleet.shedding.typical_requests.note_prompt(
                "llm", route_number(route), prompt, prompt
            )
        self.limits.merge("e0", LimitReport(1.0, 0.0, 0.1))

    def ranks_of_both_routes(self) -> tuple[int, int]:
        self.now += 1.0
        letters = self.ranks.rank("llm", "letters", 2, 6000, self.now)
        return letters, self.ranks.rank("llm", "queries", 0, 600, self.now)

    def occupy_slots(self, count: int) -> None:
        for number in range(count):
            placed = Placed(number, "e1", 10, 20, 0.0, 1.0, 0.0)
            self.fleet.start(placed, SERVICE, 0.0)

    def test_long_requests_rank_first_while_they_relieve_the_other_engines(self) -> None:
        self.occupy_slots(3)
        self.assertEqual((0, 1), self.ranks_of_both_routes())

    def test_urgent_requests_rank_first_if_the_other_engines_are_full(self) -> None:
        self.occupy_slots(4)
        self.assertEqual((2, 0), self.ranks_of_both_routes())

    def test_urgent_requests_rank_first_if_all_engines_have_limits(self) -> None:
        self.limits.merge("e1", LimitReport(1.0, 0.0, 0.1))
        self.assertEqual((2, 0), self.ranks_of_both_routes())

    def test_many_permit_requests_at_one_moment_scan_the_upstreams_once(self) -> None:
        scans = []

        def upstreams(service: str) -> list[Upstream]:
            scans.append(service)
            return UPSTREAMS

        ranks = PermitRanks(self.fleet, self.limits, upstreams)
        for number in range(100):
            ranks.rank("llm", "queries", 0, 600, 100.0 + number * 0.001)
        self.assertEqual(["llm", "llm"], scans)
