"""Who gets what an upstream with a limit takes."""

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
            self.fleet.shedding.usual.note_prompt("llm", route_number(route), prompt, prompt)
        self.limits.merge("e0", LimitReport(1.0, 0.0, 0.1))

    def ranked(self) -> tuple[int, int]:
        self.now += 1.0
        letters = self.ranks.rank("llm", "letters", 2, 6000, self.now)
        return letters, self.ranks.rank("llm", "queries", 0, 600, self.now)

    def hold(self, count: int) -> None:
        for number in range(count):
            placed = Placed(number, "e1", 10, 20, 0.0, 1.0, 0.0)
            self.fleet.start(placed, SERVICE, 0.0)

    def test_the_long_ones_first_where_they_relieve_the_others_most(self) -> None:
        self.hold(3)
        self.assertEqual((0, 1), self.ranked())

    def test_the_urgent_ones_first_where_the_others_are_full(self) -> None:
        self.hold(4)
        self.assertEqual((2, 0), self.ranked())

    def test_and_where_all_have_limits(self) -> None:
        self.limits.merge("e1", LimitReport(1.0, 0.0, 0.1))
        self.assertEqual((2, 0), self.ranked())

    def test_many_asks_at_one_moment_look_at_the_upstreams_once(self) -> None:
        looks = []

        def upstreams(service: str) -> list[Upstream]:
            looks.append(service)
            return UPSTREAMS

        ranks = PermitRanks(self.fleet, self.limits, upstreams)
        for number in range(100):
            ranks.rank("llm", "queries", 0, 600, 100.0 + number * 0.001)
        self.assertEqual(["llm", "llm"], looks)
