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
from lotushill.load.policy.comparison import figures_in_force
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
MUCH = "much"
SEEDS = (1, 2, 3)
WITHOUT = {"shares.shares._CLEARLY_MORE_FACTOR": 1e9}


def scenario(times: float, name: str = "team-at-eight-times") -> Scenario:
    """Return the load at a multiple of the rate that the engines can serve."""
    found = parse_scenario(parse_file(SCENARIOS / f"{name}.yaml"))
    classes = tuple(replace(item, rate=item.rate * times) for item in found.classes)
    return replace(found, classes=classes)


def play(load: Scenario) -> list[Result]:
    return [Replay(load, seed).play() for seed in SEEDS]


def others(results: list[Result]) -> list[float]:
    """Return the credit of each team except `MUCH`, which bursts, in ascending order."""
    sums: defaultdict[str, Tally] = defaultdict(Tally)
    for result in results:
        for name, tally in result.teams.items():
            sums[name].earned += tally.earned
            sums[name].owed += tally.owed
    return sorted(tally.share for name, tally in sums.items() if name != MUCH)


def served(results: list[Result]) -> int:
    return sum(item.in_time + item.late for one in results for item in one.classes.values())


def rate_served(tallies: Iterable[Tally]) -> float:
    """Return the served fraction of the requests."""
    found = list(tallies)
    return sum(item.in_time + item.late for item in found) / sum(item.asked for item in found)


class TestTeamAtEightTimes(unittest.TestCase):
    def check(self, times: float) -> None:
        load = scenario(times)
        calm = others(play(replace(load, team_bursts=())))
        loud = play(load)
        with figures_in_force(WITHOUT):
            unshared = play(load)
        found = others(loud)
        self.assertGreater(statistics.mean(found), 0.95 * statistics.mean(calm))
        tenth = found[: round(len(found) / 10)]
        self.assertGreater(statistics.mean(tenth), 0.8 * statistics.mean(found))
        self.assertGreater(served(loud), 0.95 * served(unshared))
        self.assertLess(statistics.mean(others(unshared)), 0.95 * statistics.mean(calm))

    def test_beside_what_the_engines_bear(self) -> None:
        self.check(1.0)

    def test_beside_twice_as_much(self) -> None:
        self.check(2.0)


class TestManyTimes(unittest.TestCase):
    def test_a_team_at_thirty_times_is_not_starved_itself(self) -> None:
        """A team counts as starved if it is served under a quarter as often as all teams."""
        load = replace(scenario(2.0), team_bursts=(TeamBurst(MUCH, 3.0, 13.0, 30.0),))
        result = Replay(load, 1).play()
        self.assertGreater(
            rate_served([result.teams[MUCH]]), 0.25 * rate_served(result.teams.values())
        )


class TestAlone(unittest.TestCase):
    def test_a_team_alone_is_served_as_without_shares(self) -> None:
        load = replace(scenario(1.5), teams=(Team(MUCH),), team_bursts=(), seconds=8.0)
        shared = Replay(load, 1).play()
        with figures_in_force(WITHOUT):
            unshared = Replay(load, 1).play()
        self.assertEqual(unshared, shared)

    def test_so_are_requests_without_teams(self) -> None:
        load = replace(scenario(1.5), teams=(), team_bursts=(), seconds=8.0)
        shared = Replay(load, 1).play()
        with figures_in_force(WITHOUT):
            unshared = Replay(load, 1).play()
        self.assertEqual(unshared, shared)


class TestWeights(unittest.TestCase):
    def test_of_two_teams_that_want_all_one_of_three_shares_gets_thrice_as_much(self) -> None:
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
    def test_no_urgent_request_is_put_behind_for_a_share(self) -> None:
        load = scenario(1.0, "overlapping-bursts")
        teams = (Team("some", 11), Team(MUCH))
        bursts = (Burst(1.0, 9.0, 3.0, "letter"), Burst(4.0, 6.0, 2.9, "query"))
        for engines, seed, kind in ((6, 1, "letter"), (8, 2, "triage"), (8, 2, "query")):
            with self.subTest(engines=engines, kind=kind):
                much = (TeamBurst(MUCH, 1.0, 9.0, 6.0, kind),)
                scarce = replace(load, engines=engines, seconds=12.0, bursts=bursts)
                tried = replace(scarce, teams=teams, team_bursts=much)
                self.assertEqual([], Replay(tried, seed).play().put_behind)
