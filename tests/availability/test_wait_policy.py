"""Tests which requests wait for the end of a cooldown and which are refused at once."""

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


class TestCooldownWait(unittest.TestCase):
    def test_a_request_waits_for_an_end_within_its_target(self) -> None:
        self.assertAlmostEqual(0.3, cooldown_wait(0.3, 0.1, need(0.5)) or 0.0)

    def test_a_request_is_refused_at_once_if_the_end_is_later(self) -> None:
        self.assertIsNone(cooldown_wait(0.5, 0.1, need(0.5)))

    def test_more_urgent_requests_check_first(self) -> None:
        pauses = [cooldown_wait(0.3, 0.0, need(2.0, tier)) or 0.0 for tier in range(3)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(3, len(set(pauses)))


class TestReplay(unittest.TestCase):
    """All ten engines reject requests for two seconds, as at the end of a stampede of callers.

    When requests were refused at once, 0.835 of the credit was earned, and 0.84 of the letters and
    queries were in time.
    """

    def test_waiting_for_the_first_end_serves_more_than_refusing(self) -> None:
        scenario = parse_scenario(parse_file(SCENARIOS / "all-rest-short.yaml"))
        result = Replay(scenario, 1).play()
        self.assertGreater(result.credit, 0.84)

    def test_engines_get_few_requests_that_they_reject(self) -> None:
        scenario = parse_scenario(parse_file(SCENARIOS / "all-rest-long.yaml"))
        result = Replay(scenario, 1).play()
        # Each of nine gateways may be rejected once by each of ten engines, and by three earlier.
        self.assertLessEqual(result.cooldown_refusals, 9 * (10 + 3) + 10)
