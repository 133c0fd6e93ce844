"""Who has had more than its share of a service."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.team import team_number
from lotushill.shares.shares import TeamShares
from lotushill.shares.work import predicted_work

ENGINES = Service("llm", 600, EngineProfile(12, 400_000, 10))
PLAIN = Service("llm", 600, None)


@dataclass(frozen=True)
class Sent:
    request: int
    team: int
    prefill_tokens: int = 1000
    prompt: int = 5000
    memory: int = 5100
    tier: int = 0
    seconds: float = 2.0
    age: float = 0.0


@dataclass(frozen=True)
class Ask:
    team: str
    share: float = 1.0
    tier: int = 0
    service: str = "llm"


class TestWork(unittest.TestCase):
    def test_an_engine_is_charged_what_it_reads_and_ten_times_what_it_makes(self) -> None:
        self.assertEqual(2000.0, predicted_work(Sent(1, 1), ENGINES))

    def test_a_plain_service_its_seconds(self) -> None:
        self.assertEqual(2.0, predicted_work(Sent(1, 1), PLAIN))


class TestShares(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = TeamShares()
        self.requests = 0

    def run_for(self, team: str, count: int, tier: int = 0, share: float = 1.0) -> None:
        """Let a team ask for so many requests, which all run from the start."""
        self.shares.note_demand(Ask(team, share, tier), 0.0)
        for _ in range(count):
            self.requests += 1
            sent = Sent(self.requests, team_number(team), tier=tier)
            self.shares.note_start(sent, ENGINES, 0.0)

    def over(self, team: str, now: float = 0.0, tier: int = 0, share: float = 1.0) -> bool:
        return self.shares.is_over_share(Ask(team, share, tier), now)

    def test_a_team_alone_is_never_over_its_share(self) -> None:
        self.run_for("much", 100)
        self.assertFalse(self.over("much"))

    def test_who_has_most_gives_way_to_teams_that_ask(self) -> None:
        self.run_for("much", 10)
        self.run_for("some", 2)
        self.assertTrue(self.over("much"))
        self.assertFalse(self.over("some"))

    def test_it_gives_way_also_to_one_that_got_nothing(self) -> None:
        self.run_for("much", 10)
        self.shares.note_demand(Ask("some"), 0.0)
        self.assertTrue(self.over("much"))

    def test_operators_are_told_who_is_ahead_and_by_how_much(self) -> None:
        self.run_for("much", 10)
        self.run_for("some", 2)
        (found,) = self.shares.teams_over_share(0.0)
        self.assertEqual(("llm", 0, team_number("much")), (found.service, found.tier, found.team))
        self.assertAlmostEqual(5.0, found.times)
        self.assertAlmostEqual(5.0, self.shares.relative_standing(Ask("much"), 0.0))

    def test_but_not_to_teams_that_ask_no_more(self) -> None:
        self.run_for("much", 10)
        self.run_for("some", 2)
        self.shares.note_demand(Ask("much"), 6.0)
        self.assertFalse(self.over("much", 6.0))

    def test_even_teams_are_served_as_they_come(self) -> None:
        for team, count in (("a", 10), ("b", 11), ("c", 13)):
            self.run_for(team, count)
        self.assertEqual([], [team for team in "abc" if self.over(team)])

    def test_a_team_is_not_starved_however_much_it_asks(self) -> None:
        """Of a team's requests a third of the part stays that is placed of all."""
        self.run_for("much", 10)
        self.run_for("some", 2)
        for _ in range(100):
            self.shares.note_arrival(Ask("some"), 0.0)
            self.shares.note_placed(Ask("some"), 0.0)
        for number in range(40):
            self.shares.note_arrival(Ask("much"), 0.0)
            if number < 20:
                self.shares.note_placed(Ask("much"), 0.0)
        self.assertTrue(self.over("much"))
        for _ in range(200):
            self.shares.note_arrival(Ask("much"), 0.0)
        self.assertFalse(self.over("much"))

    def test_the_weight_of_a_share_counts(self) -> None:
        self.run_for("large", 30, share=3.0)
        self.run_for("small", 10)
        self.assertFalse(self.over("large", share=3.0))
        self.assertFalse(self.over("small"))
        self.run_for("small", 10)
        self.assertTrue(self.over("small"))

    def test_what_small_teams_leave_is_divided_among_those_that_want_it(self) -> None:
        """Of four large teams beside twenty small ones, only the one with most gives way."""
        for number in range(20):
            self.run_for(f"small{number}", 1)
        for number in range(3):
            self.run_for(f"large{number}", 6)
        self.run_for("much", 22)
        self.assertTrue(self.over("much"))
        self.assertFalse(self.over("large0"))

    def test_tiers_do_not_mix(self) -> None:
        self.run_for("much", 10, tier=1)
        self.run_for("some", 1, tier=0)
        self.assertFalse(self.over("much", tier=1))

    def test_recent_work_is_forgotten_within_seconds(self) -> None:
        self.run_for("much", 4)
        for request in range(1, 5):
            self.shares.note_end(request, 2.0)
        before = self.shares.standing("llm", "much", 1.0, 2.0)
        self.assertAlmostEqual(8000.0, before)
        self.assertLess(self.shares.standing("llm", "much", 1.0, 22.0), 0.15 * before)

    def test_what_ended_early_costs_its_part_alone(self) -> None:
        self.run_for("cut", 1)
        self.shares.note_end(1, 0.5)
        self.assertAlmostEqual(500.0, self.shares.standing("llm", "cut", 1.0, 0.5))

    def test_what_never_reached_an_upstream_costs_nothing(self) -> None:
        self.run_for("lost", 1)
        self.shares.note_end(1, 0.5, ran=False)
        self.assertEqual(0.0, self.shares.standing("llm", "lost", 1.0, 0.5))

    def test_what_is_told_twice_counts_once(self) -> None:
        self.run_for("team", 1)
        self.shares.note_start(Sent(1, team_number("team")), ENGINES, 1.0)
        self.shares.note_end(1, 2.0)
        self.shares.note_end(1, 2.0)
        self.assertAlmostEqual(2000.0, self.shares.standing("llm", "team", 1.0, 2.0))

    def test_a_request_heard_of_late_is_charged_from_its_start(self) -> None:
        self.shares.note_start(Sent(7, team_number("team"), age=1.0), ENGINES, 5.0)
        self.shares.note_end(7, 5.0)
        self.assertAlmostEqual(1000.0, self.shares.standing("llm", "team", 1.0, 5.0))

    def test_teams_that_are_gone_leave_nothing(self) -> None:
        self.run_for("gone", 1)
        self.shares.note_end(1, 2.0)
        self.shares.forget(63.0)
        self.assertEqual(0.0, self.shares.standing("llm", "gone", 1.0, 2.0))
