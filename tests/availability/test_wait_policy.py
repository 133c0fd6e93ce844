"""Who waits for the end of a rest, and who is refused at once."""

from __future__ import annotations

import unittest
from pathlib import Path

from lotushill.availability.wait_policy import cooldown_wait
from lotushill.contracts.yaml_text import parse_file
from lotushill.load.policy.replay import Replay
from lotushill.load.policy.scenario import parse_scenario
from lotushill.placement.need import Need

SCENARIOS = Path(__file__).parents[2] / "bench" / "scenarios"


def need(target: float, tier: int = 0) -> Need:
    return Need("s", "r", target, 0.2, 10.0, True, 100, 20, (), tier)


class TestRestPause(unittest.TestCase):
    def test_it_waits_for_an_end_within_its_target(self) -> None:
        self.assertAlmostEqual(0.3, cooldown_wait(0.3, 0.1, need(0.5)) or 0.0)

    def test_it_is_refused_at_once_where_the_end_is_later(self) -> None:
        self.assertIsNone(cooldown_wait(0.5, 0.1, need(0.5)))

    def test_the_more_urgent_look_first(self) -> None:
        pauses = [cooldown_wait(0.3, 0.0, need(2.0, tier)) or 0.0 for tier in range(3)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(3, len(set(pauses)))


class TestReplay(unittest.TestCase):
    """All ten engines turn away for two seconds, as at the end of a stampede of callers.

    Refused at once, 0.835 of the credit was earned and 0.84 of the letters and queries in time.
    """

    def test_waiting_for_the_first_end_serves_more_than_refusing(self) -> None:
        scenario = parse_scenario(parse_file(SCENARIOS / "all-rest-short.yaml"))
        result = Replay(scenario, 1).play()
        self.assertGreater(result.credit, 0.84)

    def test_engines_are_sent_few_requests_that_they_turn_away(self) -> None:
        scenario = parse_scenario(parse_file(SCENARIOS / "all-rest-long.yaml"))
        result = Replay(scenario, 1).play()
        # Each of nine gateways may learn once from each of ten engines, and of three before.
        self.assertLessEqual(result.turned_away, 9 * (10 + 3) + 10)
