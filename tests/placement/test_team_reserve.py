"""Room that a team over its share leaves to others, decided before a request is sent."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fleet import Fleet
from lotushill.placement.placed_message import placed_message
from lotushill.placement.team_reserve import has_to_wait
from lotushill.placement.team_reserve import reserved_slots
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from tests.placement.test_fleet import NO_UPSTREAMS
from tests.placement.test_fleet import PLAIN
from tests.placement.test_fleet import long
from tests.placement.test_fleet import short
from tests.placement.test_fleet import upstreams

ENGINE = Service("llm", 100, EngineProfile(10, 400_000, 5))


class TestFreeUpstreams(unittest.TestCase):
    def choice(self, **changes: object) -> Choice:
        return replace(Choice(upstreams("s", 1)[0], 0.0, 0.1, 0, 0, 1.0), **changes)  # type: ignore[arg-type]

    def test_reserved_slots_are_a_tenth_rounded_down(self) -> None:
        self.assertEqual((10, 1, 0), tuple(reserved_slots(slots) for slots in (100, 10, 4)))

    def test_one_free_upstream_is_enough(self) -> None:
        need = short()
        taken = (self.choice(is_full=True), self.choice(wait_seconds=0.5 * need.target))
        self.assertTrue(has_to_wait(need, taken, True))
        self.assertFalse(has_to_wait(need, (*taken, self.choice()), True))

    def test_a_plain_instance_is_free_below_its_slots(self) -> None:
        self.assertFalse(has_to_wait(short(), (self.choice(running=3),), False))
        self.assertTrue(has_to_wait(short(), (self.choice(running=4),), False))


class TestFleet(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet("z")
        self.count = 0

    def ask(
        self, team: str, service: Service, now: float = 0.0, kind: str = "long", tier: int = 0
    ) -> Choice | NoChoice:
        """Place one request of a team; if it is placed, it keeps running."""
        self.count += 1
        need = long(self.count) if kind == "long" else short()
        need = replace(need, team=team, tier=tier, service=service.name)
        candidates = upstreams(service.name, 2)
        found = self.fleet.choose(need, service, candidates, NO_UPSTREAMS, now)
        if isinstance(found, Choice):
            message = placed_message(self.count, need, found, service.engine is not None)
            self.fleet.start(message, service, now)
            self.fleet.load(found.upstream.id).begin(self.count, now)
        return found

    def ask_until_refused(self, team: str, service: Service, kind: str = "long") -> NoChoice:
        for _ in range(40):
            found = self.ask(team, service, kind=kind)
            if isinstance(found, NoChoice):
                return found
        raise AssertionError("never refused")

    def test_last_slots_are_reserved_for_teams_with_less_usage(self) -> None:
        self.assertIsInstance(self.ask("some", ENGINE), Choice)
        refused = self.ask_until_refused("much", ENGINE)
        self.assertEqual(Refusal.SHARE, refused.refusal)
        self.assertGreater(refused.standing, 1.5)
        self.assertIsInstance(self.ask("some", ENGINE), Choice)

    def test_all_slots_are_available_without_demand_of_other_teams(self) -> None:
        refused = self.ask_until_refused("much", ENGINE)
        self.assertNotEqual(Refusal.SHARE, refused.refusal)

    def test_plain_service_instances_are_shared_between_teams(self) -> None:
        self.assertIsInstance(self.ask("some", PLAIN, kind="short"), Choice)
        refused = self.ask_until_refused("much", PLAIN, kind="short")
        self.assertEqual(Refusal.SHARE, refused.refusal)
        self.assertEqual(9, self.count)
        self.assertIsInstance(self.ask("some", PLAIN, kind="short"), Choice)

    def test_shares_do_not_delay_requests_behind_larger_less_urgent_ones(self) -> None:
        self.ask("some", PLAIN, kind="short")
        self.ask("some", PLAIN, tier=2)
        for _ in range(20):
            self.assertIsInstance(self.ask("much", PLAIN, kind="short"), Choice)
