"""Brittle upstreams are sent no more requests than they have slots, by the load of all gateways."""

from __future__ import annotations

import unittest

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
NEED = Need("app", "lookup", 0.4, 0.0, 3.0, False, 0, 0, ())


class TestBrittleServices(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet("z")

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
        self.fleet.brittle.note_stated("app", NOW)
        count, refused = self.place_until_refused(20)
        self.assertEqual(2 * SLOTS, count)
        assert refused is not None
        self.assertIs(Refusal.NO_ROOM, refused.refusal)
        self.assertGreater(refused.retry_after, 0.0)

    def test_others_are_sent_more(self) -> None:
        self.fleet.brittle.note_stated("another service", NOW)
        self.assertEqual((20, None), self.place_until_refused(20))

    def test_a_statement_that_is_not_repeated_is_forgotten(self) -> None:
        self.fleet.brittle.note_stated("app", NOW)
        self.assertEqual((20, None), self.place_until_refused(20, NOW + 10.0))
