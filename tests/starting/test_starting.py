"""What a gateway does while it knows nothing of what its fleet runs."""

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


class TestKnowledge(unittest.TestCase):
    def setUp(self) -> None:
        self.start = StartupPhase(MAX_SMALL_FLEET_GATEWAYS, 100.0)

    def test_few_of_many_are_not_taken_for_a_small_fleet(self) -> None:
        self.assertFalse(self.start.knows_fleet(3, 82, False, 100.3))
        self.assertFalse(self.start.knows_fleet(16, 82, True, 100.3))

    def test_a_scheduler_that_was_told_nothing_does_not_know(self) -> None:
        self.assertFalse(self.start.knows_fleet(80, 82, False, 100.5))
        self.assertTrue(self.start.knows_fleet(80, 82, True, 100.5))

    def test_a_small_fleet_is_known_once_half_of_it_is_heard(self) -> None:
        self.assertFalse(self.start.knows_fleet(4, 9, False, 100.2))
        self.assertTrue(self.start.knows_fleet(5, 9, False, 100.2))
        self.assertTrue(self.start.knows_fleet(1, 1, False, 100.2))

    def test_before_the_list_was_read_one_that_hears_nobody_does_not_know(self) -> None:
        self.assertFalse(self.start.knows_fleet(1, 0, False, 100.0))

    def test_later_few_members_are_one_side_of_a_cut(self) -> None:
        self.assertTrue(self.start.knows_fleet(3, 82, False, 100.0 + STARTUP_SECONDS))


class TestDraw(unittest.TestCase):
    def test_gateways_that_know_nothing_spread(self) -> None:
        seen = [UpstreamCredit(item, 0, 0) for item in UPSTREAMS]
        taken = Counter(draw_upstream(seen, random.Random(n))[0].id for n in range(2000))
        self.assertEqual(20, len(taken))
        self.assertLess(max(taken.values()), 1.5 * 2000 / 20)

    def test_one_that_has_not_answered_gets_no_second(self) -> None:
        seen = [UpstreamCredit(item, 1, 0) for item in UPSTREAMS[1:]] + [
            UpstreamCredit(UPSTREAMS[0], 0, 0)
        ]
        for number in range(50):
            self.assertEqual([UPSTREAMS[0]], draw_upstream(seen, random.Random(number)))

    def test_credit_grows_with_answers(self) -> None:
        seen = [UpstreamCredit(UPSTREAMS[0], 3, 3), UpstreamCredit(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[0]], draw_upstream(seen, random.Random(1)))

    def test_nobody_is_refused_for_want_of_credit(self) -> None:
        seen = [UpstreamCredit(UPSTREAMS[0], 2, 0), UpstreamCredit(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[1]], draw_upstream(seen, random.Random(1)))
        self.assertEqual([], draw_upstream([], random.Random(1)))


class TestPatience(unittest.TestCase):
    def test_no_client_has_left_by_then(self) -> None:
        for left in (0.3, 1.0, 2.7, 15.0):
            self.assertLess(ready_wait_seconds(left), left / 3.0)
            self.assertLessEqual(ready_wait_seconds(left), MAX_READY_WAIT_SECONDS)

    def test_those_turned_away_come_back_at_different_times(self) -> None:
        rng = random.Random(1)
        times = sorted(ready_retry_after_seconds(rng.random()) for _ in range(100))
        self.assertGreater(times[80] - times[20], 0.3)
