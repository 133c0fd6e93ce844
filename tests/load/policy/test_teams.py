"""One team of 24 sends eight times its usual requests; others keep their credit, engines their use.

Without shares, each team gets capacity in proportion to its requests: eleven teams that by
themselves were served fully kept 0.2 of that beside a twelfth that demanded 1.9 times the capacity.
"""

from __future__ import annotations

import statistics
import unittest
from collections import defaultdict
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from lotushill.contracts.yaml_text import parse_file
from lotushill.load.policy.comparison import overridden_constants
from lotushill.load.policy.replay import Replay
from lotushill.load.policy.result import Tally
from lotushill.load.policy.scenario import Burst
from lotushill.load.policy.scenario import Team
from lotushill.load.policy.scenario import TeamBurst
from lotushill.load.policy.scenario import parse_scenario

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.load.policy.result import Result
    from lotushill.load.policy.scenario import Scenario

SCENARIOS = Path(__file__).parents[3] / "bench" / "scenarios"
BURSTING_TEAM = "much"
SEEDS = (1, 2, 3)
WITHOUT_SHARES = {"shares.shares._CLEARLY_MORE_FACTOR": 1e9}


def scenario(times: float, name: str = "team-at-eight-times") -> Scenario:
    """Return the load at a multiple of the rate that the engines can serve."""
    parsed = parse_scenario(parse_file(SCENARIOS / f"{name}.yaml"))
    classes = tuple(replace(item, rate=item.rate * times) for item in parsed.classes)
    return replace(parsed, classes=classes)


def play(load: Scenario) -> list[Result]:
    return [Replay(load, seed).play() for seed in SEEDS]


def other_team_credits(results: list[Result]) -> list[float]:
    """Return the credit of each team except `BURSTING_TEAM`, in ascending order."""
    sums: defaultdict[str, Tally] = defaultdict(Tally)
    for result in results:
        for name, tally in result.teams.items():
            sums[name].earned += tally.earned
            sums[name].owed += tally.owed
    return sorted(tally.credit_fraction for name, tally in sums.items() if name != BURSTING_TEAM)


def served_count(results: list[Result]) -> int:
    return sum(item.in_time + item.late for one in results for item in one.classes.values())


def served_fraction(tallies: Iterable[Tally]) -> float:
    """Return the served fraction of the requests."""
    counts = list(tallies)
    return sum(item.in_time + item.late for item in counts) / sum(item.asked for item in counts)


class TestTeamAtEightTimes(unittest.TestCase):
    def check(self, times: float) -> None:
        load = scenario(times)
        calm = other_team_credits(play(replace(load, team_bursts=())))
        bursting = play(load)
        with overridden_constants(WITHOUT_SHARES):
            unshared = play(load)
        credits = other_team_credits(bursting)
        self.assertGreater(statistics.mean(credits), 0.95 * statistics.mean(calm))
        tenth = credits[: round(len(credits) / 10)]
        self.assertGreater(statistics.mean(tenth), 0.8 * statistics.mean(credits))
        self.assertGreater(served_count(bursting), 0.95 * served_count(unshared))
        self.assertLess(statistics.mean(other_team_credits(unshared)), 0.95 * statistics.mean(calm))

    def test_at_the_capacity_of_the_engines(self) -> None:
        self.check(1.0)

    def test_beside_twice_as_much(self) -> None:
        self.check(2.0)


class TestTeamAtThirtyTimes(unittest.TestCase):
    def test_a_team_at_thirty_times_is_not_starved_itself(self) -> None:
        """A team counts as starved if it is served under a quarter as often as all teams."""
        load = replace(scenario(2.0), team_bursts=(TeamBurst(BURSTING_TEAM, 3.0, 13.0, 30.0),))
        result = Replay(load, 1).play()
        self.assertGreater(
            served_fraction([result.teams[BURSTING_TEAM]]),
            0.25 * served_fraction(result.teams.values()),
        )


class TestAlone(unittest.TestCase):
    def test_a_team_alone_is_served_as_without_shares(self) -> None:
        load = replace(scenario(1.5), teams=(Team(BURSTING_TEAM),), team_bursts=(), seconds=8.0)
        shared = Replay(load, 1).play()
        with overridden_constants(WITHOUT_SHARES):
            unshared = Replay(load, 1).play()
        self.assertEqual(unshared, shared)

    def test_requests_without_teams_are_served_as_without_shares(self) -> None:
        load = replace(scenario(1.5), teams=(), team_bursts=(), seconds=8.0)
        shared = Replay(load, 1).play()
        with overridden_constants(WITHOUT_SHARES):
            unshared = Replay(load, 1).play()
        self.assertEqual(unshared, shared)


class TestWeights(unittest.TestCase):
    def test_a_team_with_three_shares_gets_three_times_as_much_as_one_with_one(self) -> None:
        teams = (Team("three", share=3.0), Team("one"))
        load = replace(scenario(2.5), teams=teams, team_bursts=(), seconds=20.0)
        done = Replay(load, 1).play().teams
        self.assertEqual(2, len(done))
        ratio = (done["three"].in_time + done["three"].late) / (
            done["one"].in_time + done["one"].late
        )
        self.assertGreater(ratio, 2.0)
        self.assertLess(ratio, 3.6)


class TestTiers(unittest.TestCase):
    def test_no_urgent_request_is_delayed_for_a_share(self) -> None:
        load = scenario(1.0, "overlapping-bursts")
        teams = (Team("some", 11), Team(BURSTING_TEAM))
        bursts = (Burst(1.0, 9.0, 3.0, "letter"), Burst(4.0, 6.0, 2.9, "query"))
        for engines, seed, kind in ((6, 1, "letter"), (8, 2, "triage"), (8, 2, "query")):
            with self.subTest(engines=engines, kind=kind):
                much = (TeamBurst(BURSTING_TEAM, 1.0, 9.0, 6.0, kind),)
                scarce = replace(load, engines=engines, seconds=12.0, bursts=bursts)
                tried = replace(scarce, teams=teams, team_bursts=much)
                self.assertEqual([], Replay(tried, seed).play().put_behind)
