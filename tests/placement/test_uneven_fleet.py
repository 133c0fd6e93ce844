"""Placement on upstreams of different pace: plain instances, and upstreams of unknown pace."""

from __future__ import annotations

import unittest
from collections import Counter

from lotushill.placement.choice import Choice
from lotushill.placement.engine_pace import LongTermPace
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Outcome
from lotushill.placement.need import Need
from lotushill.placement.placed_message import placed_message
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream

ENGINE = Service("llm", 100, EngineProfile(16, 400_000, 6))
PLAIN = Service("app", 100, None)
NO_UPSTREAMS: frozenset[str] = frozenset()


def upstreams(service: str, count: int, slots: int) -> list[Upstream]:
    return [Upstream(f"u{n}", service, f"10.0.0.{n}:80", "z", slots, False) for n in range(count)]


class TestUnknownPace(unittest.TestCase):
    """A new engine was empty and received all requests of a burst, however slow it was."""

    def setUp(self) -> None:
        self.fleet = Fleet("z")
        self.known = upstreams("llm", 12, 16)
        for number, item in enumerate(self.known[:-1]):
            reported = LongTermPace(item.id, 2.2 if number < 3 else 1.0, 1.0)
            self.fleet.adopt_reported_pace(reported, "llm")

    def fill(self, count: int) -> Counter[str]:
        sent: Counter[str] = Counter()
        for number in range(count):
            need = Need("llm", "chat", 0.8, 0.5, 15.0, True, 800, 290, ())
            choice = self.fleet.choose(need, ENGINE, self.known, NO_UPSTREAMS, 0.01)
            assert isinstance(choice, Choice), choice
            self.fleet.start(placed_message(number, need, choice, True), ENGINE, 0.01)
            sent[choice.upstream.id] += 1
        return sent

    def test_unknown_engine_receives_few_requests(self) -> None:
        sent = self.fill(96)
        self.assertLessEqual(1, sent["u11"])
        self.assertLessEqual(sent["u11"], 4)

    def test_unknown_engine_is_not_starved_under_high_load(self) -> None:
        self.assertGreater(self.fill(190)["u11"], 8)

    def test_engine_is_filled_like_others_once_its_pace_is_known(self) -> None:
        self.fleet.adopt_reported_pace(LongTermPace("u11", 1.0, 1.0), "llm")
        self.assertGreater(self.fill(96)["u11"], 4)


class TestPlain(unittest.TestCase):
    """One instance of a plain service is less than half as fast as the others."""

    def serve(self, seconds: dict[str, float], count: int) -> tuple[Fleet, Counter[str]]:
        """Serve a hundred requests per second; return where the last half of them were sent."""
        fleet, sent = Fleet("z"), Counter[str]()
        known = upstreams("app", len(seconds), 6)
        due: list[tuple[float, int, str]] = []
        for number in range(count):
            now = number * 0.01
            for ends, other, name in [item for item in due if item[0] <= now]:
                due.remove((ends, other, name))
                fleet.begin(Began(other, seconds[name]), ends)
                fleet.end(Ended(other, Outcome.WHOLE, seconds[name]), ends)
            need = Need("app", "order", 0.415, 0.0, 2.7, False, 0, 0, ())
            choice = fleet.choose(need, PLAIN, known, NO_UPSTREAMS, now)
            assert isinstance(choice, Choice), choice
            fleet.start(placed_message(number, need, choice, False), PLAIN, now)
            due.append((now + seconds[choice.upstream.id], number, choice.upstream.id))
            sent[choice.upstream.id] += number >= count / 2
        return fleet, sent

    def test_slow_instance_is_detected_and_stays_detected(self) -> None:
        fleet, sent = self.serve({"u0": 0.18, "u1": 0.08, "u2": 0.08, "u3": 0.08}, 2000)
        (slow,) = fleet.engine_paces.for_service("app").deviating_paces()
        self.assertEqual("u0", slow.upstream)
        self.assertAlmostEqual(2.25, slow.prefill_slowness, delta=0.3)
        self.assertLess(sent["u0"], min(sent["u1"], sent["u2"], sent["u3"]))

    def test_equal_instances_have_no_long_term_difference(self) -> None:
        fleet, _ = self.serve(dict.fromkeys(("u0", "u1", "u2", "u3"), 0.08), 600)
        self.assertEqual([], fleet.engine_paces.for_service("app").deviating_paces())
