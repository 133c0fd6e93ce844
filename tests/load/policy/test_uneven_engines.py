"""Placement on engines of unequal pace with temporary disturbances, replayed on emulated engines.

Guards against a failure with a quarter of the engines less than half as fast as the others: some
seconds after its last use, each slow engine was treated as a normal one again. Pauses during the
prefill of long prompts, twice as long on these engines, then made short streams late.
"""

from __future__ import annotations

import statistics
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from lotushill.contracts.yaml_text import parse_file
from lotushill.load.policy import known_paces
from lotushill.load.policy.replay import Replay
from lotushill.load.policy.scenario import Scenario
from lotushill.load.policy.scenario import parse_scenario
from lotushill.placement import engine_pace

SCENARIOS = Path(__file__).parents[3] / "bench" / "scenarios"
SEEDS = (1, 2, 3)
SLOW_ENGINES = {"e0", "e4", "e8"}


def uneven() -> Scenario:
    return parse_scenario(parse_file(SCENARIOS / "uneven-engines.yaml"))


def mean_credit(scenario: Scenario) -> float:
    return statistics.mean(Replay(scenario, seed).play().credit for seed in SEEDS)


class TestUnevenEngines(unittest.TestCase):
    def test_learned_paces_serve_about_as_well_as_known_ones(self) -> None:
        learned = mean_credit(uneven())
        with mock.patch.object(known_paces, "KNOWN", 1.0):
            known = mean_credit(uneven())
        self.assertGreater(learned, known - 0.03)
        self.assertGreater(learned, 0.85)

    def test_all_schedulers_know_the_slow_ones_and_no_others_after_some_seconds(self) -> None:
        for seed in SEEDS:
            replay = Replay(replace(uneven(), seconds=9.0), seed)
            replay.play()
            for fleet in replay.fleets:
                with self.subTest(seed=seed):
                    paces = fleet.engine_paces.for_service("llm").deviating_paces()
                    slow = {item.upstream for item in paces if item.step_slowness > 1.5}
                    self.assertEqual(SLOW_ENGINES, slow)

    def test_long_term_paces_do_not_change_choices_among_even_engines(self) -> None:
        even = replace(uneven(), paces=(1.0,), disturbances=None, seconds=12.0)
        result = Replay(even, 1).play()
        with mock.patch.object(engine_pace, "_MIN_ENGINES", 1_000):
            without = Replay(even, 1).play()
        self.assertEqual(without.classes, result.classes)
        self.assertEqual(without.work_seconds, result.work_seconds)


class TestHalls(unittest.TestCase):
    """The demand on one hall is over twice its capacity, on the others half of theirs or less."""

    def test_an_overloaded_hall_uses_the_capacity_of_others(self) -> None:
        even = replace(uneven(), hall_demand=(1.0, 1.0, 1.0, 1.0))
        skewed = replace(uneven(), hall_demand=(3.5, 1.2, 0.8, 0.5))
        self.assertGreater(mean_credit(skewed), mean_credit(even) - 0.02)
        result = Replay(skewed, 1).play()
        halls = [sum(result.work_seconds[hall :: skewed.halls]) for hall in range(skewed.halls)]
        self.assertLess(max(halls), 1.25 * statistics.mean(halls))


class TestDisturbances(unittest.TestCase):
    def test_disturbed_engines_do_not_depend_on_decisions(self) -> None:
        disturbances = []
        for rate in (1.0, 4.0):
            kinds = tuple(replace(kind, rate=rate) for kind in uneven().classes)
            replay = Replay(replace(uneven(), classes=kinds, seconds=3.0), 7)
            replay.play()
            disturbances.append([engine.disturbance for engine in replay.engines])
        self.assertEqual(*disturbances)


if __name__ == "__main__":
    unittest.main()
