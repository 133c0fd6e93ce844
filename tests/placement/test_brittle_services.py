"""Brittle upstreams are sent no more requests than they have slots, by the load of all gateways."""

from __future__ import annotations

import unittest

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fleet import Fleet
from lotushill.placement.need import Need
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from tests.placement.placing import placed

NOW = 100.0
SLOTS = 3
SERVICE = Service("app", 50, None)
UPSTREAMS = [Upstream(f"b{n}", "app", f"10.0.0.{n}:80", "z", SLOTS, False) for n in range(2)]
OTHER = Upstream("c0", "other", "10.0.1.0:80", "z", SLOTS, False)
NEED = Need("app", "lookup", 0.4, 0.0, 3.0, False, 0, 0, ())


class TestBrittleServices(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet("z")
        self.stated = StatedLimits()
        self.views = {item.id: item for item in (*UPSTREAMS, OTHER)}

    def state(self, upstream_id: str, max_rejections: float, at: float = NOW) -> None:
        """Let an upstream state a number of rejections in an answer, or none."""
        self.stated.merge(upstream_id, LimitReport(max_rejections, at - 0.01, at))
        self.update(at)

    def update(self, now: float) -> None:
        self.fleet.brittle.update(self.stated.reports(), self.views.get, now)

    def place_until_refused(self, most: int, now: float = NOW) -> tuple[int, NoChoice | None]:
        """Place requests; return how many were placed, and the refusal that ended it."""
        for number in range(most):
            found = self.fleet.choose(NEED, SERVICE, UPSTREAMS, frozenset(), now)
            if isinstance(found, NoChoice):
                return number, found
            assert isinstance(found, Choice)
            self.fleet.start(placed(number, NEED, found), SERVICE, now)
        return most, None

    def test_brittle_upstreams_are_sent_no_more_than_they_have_slots(self) -> None:
        self.state("b0", 6.0)
        count, refused = self.place_until_refused(20)
        self.assertEqual(2 * SLOTS, count)
        assert refused is not None
        self.assertIs(Refusal.NO_ROOM, refused.refusal)
        self.assertGreater(refused.retry_after, 0.0)

    def test_others_are_sent_more(self) -> None:
        self.state(OTHER.id, 6.0)
        self.assertEqual((20, None), self.place_until_refused(20))

    def test_an_answer_without_a_statement_ends_it(self) -> None:
        self.state("b0", 6.0)
        self.state("b0", NO_LIMIT, NOW + 1.0)
        self.assertEqual((20, None), self.place_until_refused(20, NOW + 1.0))

    def test_one_that_has_not_answered_counts_as_brittle_by_the_lowest_number(self) -> None:
        self.state("b0", 6.0)
        self.state("b1", 0.0)
        self.assertEqual(0.0, self.fleet.brittle.max_rejections("app"))
        self.assertIsNone(self.fleet.brittle.max_rejections("other"))

    def test_a_statement_lasts_while_all_upstreams_are_down_and_until_they_are_back(self) -> None:
        self.state("b0", 6.0)
        del self.views["b0"]
        for seconds, is_brittle in ((5.0, True), (9.9, True), (10.1, False)):
            with self.subTest(seconds=seconds):
                self.update(NOW + seconds)
                self.assertEqual(is_brittle, self.fleet.brittle.is_brittle("app"))
