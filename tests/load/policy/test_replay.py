"""Peak loads replayed on emulated engines: which requests wait, are refused and are served.

Guards against a failure where long prompts arrived at 2.6 times their rate and a burst of the most
urgent requests followed: engines were filled with long requests and urgent ones waited for slots.
Over a third of the urgent ones were late and some got no answer, though almost none were refused.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from lotushill.contracts.yaml_text import parse_file
from lotushill.load.policy.replay import Replay
from lotushill.load.policy.scenario import Burst
from lotushill.load.policy.scenario import Scenario
from lotushill.load.policy.scenario import parse_scenario

if TYPE_CHECKING:
    from lotushill.load.policy.result import Result

SCENARIOS = Path(__file__).parents[3] / "bench" / "scenarios"

AFTER_LOSSES_SECOND = 15
"""First second after the engine losses in the scenario `hall-withdrawn`."""


def scenario(name: str) -> Scenario:
    return parse_scenario(parse_file(SCENARIOS / f"{name}.yaml"))


def scarce(engines: int) -> Scenario:
    """Return a load of two overlapping bursts with far too few engines."""
    bursts = (Burst(1.0, 9.0, 3.0, "letter"), Burst(4.0, 6.0, 2.9, "query"))
    return replace(scenario("overlapping-bursts"), engines=engines, seconds=12.0, bursts=bursts)


def on_time_fraction(result: Result, name: str) -> float:
    tally = result.classes[name]
    return tally.in_time / tally.asked


class TestBursts(unittest.TestCase):
    def test_urgent_requests_find_slots_in_a_burst_of_long_ones(self) -> None:
        result = Replay(scenario("overlapping-bursts"), 1).play()
        self.assertGreater(on_time_fraction(result, "query"), 0.85)
        self.assertGreater(on_time_fraction(result, "triage"), 0.95)
        self.assertGreater(result.credit, 0.64)

    def test_more_urgent_requests_are_served_while_larger_ones_start(self) -> None:
        for engines, seed in ((6, 1), (7, 2), (8, 2)):
            with self.subTest(engines=engines, seed=seed):
                self.assertEqual(Replay(scarce(engines), seed).play().put_behind, [])

    def test_they_are_served_with_a_third_of_the_engines_needed(self) -> None:
        """Two larger requests begin before a burst of the most urgent and occupy slots through it.

        The burst is not predictable. Engines whose slots these requests occupied were considered
        empty, so requests of the middle tier, predicted to begin there after 0.08 s, got no answer
        for 2.4 s: 12 of 98. With the slots counted as occupied, they go to slots that become free.
        """
        self.assertEqual(Replay(scarce(6), 2).play().put_behind, [])

    def test_nor_with_other_seeds_of_that_load(self) -> None:
        """No larger one is sent after the first unanswered one has arrived; none is predictable."""
        for seed in (1, 3, 4, 5, 6, 7, 8):
            with self.subTest(seed=seed):
                self.assertEqual(Replay(scarce(6), seed).play().put_behind, [])

    def test_in_calm_hardly_anybody_is_refused(self) -> None:
        calm = replace(scenario("overlapping-bursts"), bursts=(), seconds=6.0)
        result = Replay(calm, 1).play()
        asked = sum(item.asked for item in result.classes.values())
        refused = sum(item.refused for item in result.classes.values())
        self.assertLess(refused, 0.01 * asked)
        self.assertGreater(result.credit, 0.93)

    def test_a_burst_of_long_requests_alone_takes_all_slots(self) -> None:
        """No slots are reserved for more urgent requests if there are none."""
        load = scenario("overlapping-bursts")
        letters = tuple(item for item in load.classes if item.name == "letter")
        result = Replay(replace(load, classes=letters, seconds=6.0), 1).play()
        self.assertGreater(on_time_fraction(result, "letter"), 0.7)


class TestWithdrawn(unittest.TestCase):
    """Engines of a hall are withdrawn, some of the others crash, and urgent requests burst.

    Guards against a failure where 220 of 664 short urgent requests got no answer while longer ones
    began: engines refused them, since all schedulers had filled the engines' queues, or schedulers
    refused them for lack of capacity while longer requests waited in those queues.
    """

    def test_urgent_requests_are_served_while_longer_ones_start(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                result = Replay(scenario("hall-withdrawn"), seed).play()
                after = [item for item in result.put_behind if item.second >= AFTER_LOSSES_SECOND]
                self.assertEqual([], after)

    def test_engines_refuse_almost_no_requests(self) -> None:
        result = Replay(scenario("hall-withdrawn"), 2).play()
        self.assertLess(result.full_queue_refusals, 0.01 * result.sent)


class TestLimits(unittest.TestCase):
    """Engines state limits.

    Guards against a failure where the requests for half of the engines went to the others.
    """

    def test_few_requests_fail_if_half_of_the_engines_take_one_per_second(self) -> None:
        """With permits for the most urgent, a seventh of the letters were refused or late."""
        result = Replay(scenario("limited-half"), 1).play()
        self.assertGreater(result.credit, 0.98)
        self.assertGreater(on_time_fraction(result, "letter"), 0.95)

    def test_no_urgent_request_is_put_behind_if_the_other_engines_are_full(self) -> None:
        result = Replay(scenario("limited-most"), 1).play()
        self.assertEqual([], result.put_behind)
        self.assertGreater(on_time_fraction(result, "query"), 0.9)

    def test_nor_where_all_have_limits(self) -> None:
        self.assertEqual([], Replay(scenario("limited-all"), 1).play().put_behind)

    def test_urgent_requests_come_first_if_all_engines_have_limits(self) -> None:
        result = Replay(scenario("limited-all"), 1).play()
        self.assertGreater(on_time_fraction(result, "query"), 0.85)
        self.assertGreater(on_time_fraction(result, "query"), on_time_fraction(result, "letter"))


class TestReturns(unittest.TestCase):
    """Long requests demand 1.3 times the capacity that becomes free; refused clients return once.

    With constant retry times, four in ten of the refused clients returned into the same overload
    and were refused finally; in a longer wave, half of them.
    """

    def test_in_a_brief_wave_few_are_refused_again_and_more_are_served(self) -> None:
        """Constant retry times gave 0.34 refused again, a credit of 0.818 and 1,191 served."""
        results = [Replay(scenario("brief-wave"), seed).play() for seed in (1, 2, 3)]
        again = sum(result.refused_again_fraction for result in results) / len(results)
        self.assertLess(again, 0.28)
        self.assertGreater(sum(result.served for result in results), 1191)
        self.assertGreater(sum(result.credit for result in results) / len(results), 0.82)

    def test_a_long_wave_earns_no_less_credit(self) -> None:
        results = [Replay(scenario("long-wave"), seed).play() for seed in (1, 2)]
        self.assertGreater(sum(result.credit for result in results) / len(results), 0.7)
        self.assertLess(max(result.refused_again_fraction for result in results), 0.5)

    def test_clients_that_return_at_once_and_often_gain_nothing(self) -> None:
        load = scenario("long-wave")
        classes = tuple(replace(item, impatient=0.2) for item in load.classes)
        for seed in (1, 2):
            with self.subTest(seed=seed):
                result = Replay(replace(load, classes=classes), seed).play()
                self.assertLess(result.impatient_served_fraction, result.patient_served_fraction)
                self.assertEqual([], result.put_behind)


class TestAllStopped(unittest.TestCase):
    """All gateways start at once, receive nothing from others for 0.6 s, and all callers return.

    When each chose by its own few requests only, all sent to the same few upstreams: of 301
    requests, 154 were on time and 10 got no answer; half of the first events came after 0.56 s.
    """

    def test_the_first_seconds_are_served(self) -> None:
        for gateways in (9, 81):
            for seed in (1, 2):
                with self.subTest(gateways=gateways, seed=seed):
                    load = replace(scenario("all-stopped"), schedulers=gateways)
                    result = Replay(load, seed).play()
                    self.assertGreater(result.windows[0].credit_fraction, 0.85)
                    self.assertEqual(0, sum(item.failed for item in result.classes.values()))

    def test_choosing_by_own_requests_only_earns_less(self) -> None:
        result = Replay(replace(scenario("all-stopped"), drawn=False), 1).play()
        self.assertLess(result.windows[0].credit_fraction, 0.7)


class TestComparable(unittest.TestCase):
    def test_arrivals_do_not_depend_on_decisions(self) -> None:
        load = replace(scenario("overlapping-bursts"), seconds=3.0)
        few = replace(load, engines=4)
        asked = [
            {name: item.asked for name, item in Replay(case, 5).play().classes.items()}
            for case in (load, few)
        ]
        self.assertEqual(*asked)
