"""Decisions of a gateway while it does not know the load of its fleet."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from lotushill.membership.schedulers import MAX_SMALL_FLEET_GATEWAYS
from lotushill.routing.upstream import Upstream
from lotushill.starting.draw import UpstreamCredit
from lotushill.starting.draw import draw_upstream
from lotushill.starting.ready_wait import MAX_READY_WAIT_SECONDS
from lotushill.starting.ready_wait import ready_retry_after_seconds
from lotushill.starting.ready_wait import ready_wait_seconds
from lotushill.starting.startup_phase import STARTUP_SECONDS
from lotushill.starting.startup_phase import StartupPhase

UPSTREAMS = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:1", "h0", 16, False) for n in range(20)]


class TestStartupPhase(unittest.TestCase):
    def setUp(self) -> None:
        self.start = StartupPhase(MAX_SMALL_FLEET_GATEWAYS, 100.0)

    def test_few_reachable_members_of_many_are_not_a_small_fleet(self) -> None:
        self.assertFalse(self.start.has_usable_model(3, 82, False, 100.3))
        self.assertFalse(self.start.has_usable_model(16, 82, True, 100.3))

    def test_scheduler_without_a_model_does_not_know_the_fleet(self) -> None:
        self.assertFalse(self.start.has_usable_model(80, 82, False, 100.5))
        self.assertTrue(self.start.has_usable_model(80, 82, True, 100.5))

    def test_small_fleet_is_known_once_more_than_half_is_reachable(self) -> None:
        self.assertFalse(self.start.has_usable_model(4, 9, False, 100.2))
        self.assertTrue(self.start.has_usable_model(5, 9, False, 100.2))
        self.assertTrue(self.start.has_usable_model(1, 1, False, 100.2))

    def test_isolated_gateway_does_not_know_the_fleet_before_the_list_is_read(self) -> None:
        self.assertFalse(self.start.has_usable_model(1, 0, False, 100.0))

    def test_few_members_after_the_startup_phase_are_one_side_of_a_partition(self) -> None:
        self.assertTrue(self.start.has_usable_model(3, 82, False, 100.0 + STARTUP_SECONDS))


class TestDraw(unittest.TestCase):
    def test_gateways_without_knowledge_spread_their_requests(self) -> None:
        seen = [UpstreamCredit(item, 0, 0) for item in UPSTREAMS]
        taken = Counter(draw_upstream(seen, random.Random(n))[0].id for n in range(2000))
        self.assertEqual(20, len(taken))
        self.assertLess(max(taken.values()), 1.5 * 2000 / 20)

    def test_upstream_without_an_answer_gets_no_second_request(self) -> None:
        seen = [UpstreamCredit(item, 1, 0) for item in UPSTREAMS[1:]] + [
            UpstreamCredit(UPSTREAMS[0], 0, 0)
        ]
        for number in range(50):
            self.assertEqual([UPSTREAMS[0]], draw_upstream(seen, random.Random(number)))

    def test_credit_grows_with_answers(self) -> None:
        seen = [UpstreamCredit(UPSTREAMS[0], 3, 3), UpstreamCredit(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[0]], draw_upstream(seen, random.Random(1)))

    def test_no_request_is_refused_for_lack_of_credit(self) -> None:
        seen = [UpstreamCredit(UPSTREAMS[0], 2, 0), UpstreamCredit(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[1]], draw_upstream(seen, random.Random(1)))
        self.assertEqual([], draw_upstream([], random.Random(1)))


class TestReadyWait(unittest.TestCase):
    def test_wait_ends_before_clients_leave(self) -> None:
        for left in (0.3, 1.0, 2.7, 15.0):
            self.assertLess(ready_wait_seconds(left), left / 3.0)
            self.assertLessEqual(ready_wait_seconds(left), MAX_READY_WAIT_SECONDS)

    def test_retry_after_times_are_spread(self) -> None:
        rng = random.Random(1)
        times = sorted(ready_retry_after_seconds(rng.random()) for _ in range(100))
        self.assertGreater(times[80] - times[20], 0.3)
