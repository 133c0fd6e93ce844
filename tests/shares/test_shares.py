"""Tests of the accounts of teams and of the decision which team is over its share."""

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
class FakeSentRequest:
    request: int
    team: int
    prefill_tokens: int = 1000
    prompt: int = 5000
    memory: int = 5100
    tier: int = 0
    seconds: float = 2.0
    age: float = 0.0


@dataclass(frozen=True)
class FakeShareRequest:
    team: str
    share: float = 1.0
    tier: int = 0
    service: str = "llm"


class TestWork(unittest.TestCase):
    def test_work_at_an_engine_is_prompt_tokens_and_ten_times_output_tokens(self) -> None:
        self.assertEqual(2000.0, predicted_work(FakeSentRequest(1, 1), ENGINES))

    def test_work_at_a_plain_service_is_its_seconds(self) -> None:
        self.assertEqual(2.0, predicted_work(FakeSentRequest(1, 1), PLAIN))


class TestTeamShares(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = TeamShares()
        self.requests = 0

    def start_requests(self, team: str, count: int, tier: int = 0, share: float = 1.0) -> None:
        """Start `count` requests of a team at time 0."""
        self.shares.note_demand(FakeShareRequest(team, share, tier), 0.0)
        for _ in range(count):
            self.requests += 1
            sent = FakeSentRequest(self.requests, team_number(team), tier=tier)
            self.shares.note_start(sent, ENGINES, 0.0)

    def is_over(self, team: str, now: float = 0.0, tier: int = 0, share: float = 1.0) -> bool:
        return self.shares.is_over_share(FakeShareRequest(team, share, tier), now)

    def test_a_single_team_is_never_over_its_share(self) -> None:
        self.start_requests("much", 100)
        self.assertFalse(self.is_over("much"))

    def test_the_team_with_the_most_work_gives_way_to_active_teams(self) -> None:
        self.start_requests("much", 10)
        self.start_requests("some", 2)
        self.assertTrue(self.is_over("much"))
        self.assertFalse(self.is_over("some"))

    def test_a_team_gives_way_to_an_active_team_without_work(self) -> None:
        self.start_requests("much", 10)
        self.shares.note_demand(FakeShareRequest("some"), 0.0)
        self.assertTrue(self.is_over("much"))

    def test_teams_over_their_share_are_listed_with_their_standing(self) -> None:
        self.start_requests("much", 10)
        self.start_requests("some", 2)
        (listed,) = self.shares.teams_over_share(0.0)
        self.assertEqual(
            ("llm", 0, team_number("much")), (listed.service, listed.tier, listed.team)
        )
        self.assertAlmostEqual(5.0, listed.times)
        self.assertAlmostEqual(5.0, self.shares.relative_standing(FakeShareRequest("much"), 0.0))

    def test_a_team_does_not_give_way_to_inactive_teams(self) -> None:
        self.start_requests("much", 10)
        self.start_requests("some", 2)
        self.shares.note_demand(FakeShareRequest("much"), 6.0)
        self.assertFalse(self.is_over("much", 6.0))

    def test_nearly_even_teams_are_served_in_order_of_arrival(self) -> None:
        for team, count in (("a", 10), ("b", 11), ("c", 13)):
            self.start_requests(team, count)
        self.assertEqual([], [team for team in "abc" if self.is_over(team)])

    def test_a_team_is_not_starved_however_many_requests_it_sends(self) -> None:
        """A team keeps about a third of the fraction of requests that is placed for all teams."""
        self.start_requests("much", 10)
        self.start_requests("some", 2)
        for _ in range(100):
            self.shares.note_arrival(FakeShareRequest("some"), 0.0)
            self.shares.note_placed(FakeShareRequest("some"), 0.0)
        for number in range(40):
            self.shares.note_arrival(FakeShareRequest("much"), 0.0)
            if number < 20:
                self.shares.note_placed(FakeShareRequest("much"), 0.0)
        self.assertTrue(self.is_over("much"))
        for _ in range(200):
            self.shares.note_arrival(FakeShareRequest("much"), 0.0)
        self.assertFalse(self.is_over("much"))

    def test_shares_are_weighted(self) -> None:
        self.start_requests("large", 30, share=3.0)
        self.start_requests("small", 10)
        self.assertFalse(self.is_over("large", share=3.0))
        self.assertFalse(self.is_over("small"))
        self.start_requests("small", 10)
        self.assertTrue(self.is_over("small"))

    def test_capacity_unused_by_small_teams_is_divided_among_the_others(self) -> None:
        """Of four large teams and twenty small ones, only the team with the most work gives way."""
        for number in range(20):
            self.start_requests(f"small{number}", 1)
        for number in range(3):
            self.start_requests(f"large{number}", 6)
        self.start_requests("much", 22)
        self.assertTrue(self.is_over("much"))
        self.assertFalse(self.is_over("large0"))

    def test_tiers_are_accounted_separately(self) -> None:
        self.start_requests("much", 10, tier=1)
        self.start_requests("some", 1, tier=0)
        self.assertFalse(self.is_over("much", tier=1))

    def test_recent_work_decays_within_seconds(self) -> None:
        self.start_requests("much", 4)
        for request in range(1, 5):
            self.shares.note_end(request, 2.0)
        before = self.shares.standing("llm", "much", 1.0, 2.0)
        self.assertAlmostEqual(8000.0, before)
        self.assertLess(self.shares.standing("llm", "much", 1.0, 22.0), 0.15 * before)

    def test_a_request_that_ended_early_is_charged_for_its_run_time(self) -> None:
        self.start_requests("cut", 1)
        self.shares.note_end(1, 0.5)
        self.assertAlmostEqual(500.0, self.shares.standing("llm", "cut", 1.0, 0.5))

    def test_a_request_that_never_reached_an_upstream_costs_nothing(self) -> None:
        self.start_requests("lost", 1)
        self.shares.note_end(1, 0.5, ran=False)
        self.assertEqual(0.0, self.shares.standing("llm", "lost", 1.0, 0.5))

    def test_a_repeated_update_counts_once(self) -> None:
        self.start_requests("team", 1)
        self.shares.note_start(FakeSentRequest(1, team_number("team")), ENGINES, 1.0)
        self.shares.note_end(1, 2.0)
        self.shares.note_end(1, 2.0)
        self.assertAlmostEqual(2000.0, self.shares.standing("llm", "team", 1.0, 2.0))

    def test_a_request_received_late_is_charged_from_its_start(self) -> None:
        self.shares.note_start(FakeSentRequest(7, team_number("team"), age=1.0), ENGINES, 5.0)
        self.shares.note_end(7, 5.0)
        self.assertAlmostEqual(1000.0, self.shares.standing("llm", "team", 1.0, 5.0))

    def test_accounts_of_idle_teams_are_dropped(self) -> None:
        self.start_requests("gone", 1)
        self.shares.note_end(1, 2.0)
        self.shares.forget(63.0)
        self.assertEqual(0.0, self.shares.standing("llm", "gone", 1.0, 2.0))
