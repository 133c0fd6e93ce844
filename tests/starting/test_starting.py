"""Decisions of a gateway while it does not know the load of its fleet."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from lotushill.membership.schedulers import SMALL_FLEET
from lotushill.routing.upstream import Upstream
from lotushill.starting.draw import Seen
from lotushill.starting.draw import draw
from lotushill.starting.knowledge import START_SECONDS
from lotushill.starting.knowledge import Start
from lotushill.starting.patience import LONGEST_WAIT
from lotushill.starting.patience import ready_retry
from lotushill.starting.patience import ready_wait

UPSTREAMS = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:1", "h0", 16, False) for n in range(20)]


class TestKnowledge(unittest.TestCase):
    def setUp(self) -> None:
        self.start = Start(SMALL_FLEET, 100.0)

    def test_few_reachable_members_of_many_are_not_a_small_fleet(self) -> None:
        self.assertFalse(self.start.knows_fleet(3, 82, False, 100.3))
        self.assertFalse(self.start.knows_fleet(16, 82, True, 100.3))

    def test_scheduler_without_a_model_does_not_know_the_fleet(self) -> None:
        self.assertFalse(self.start.knows_fleet(80, 82, False, 100.5))
        self.assertTrue(self.start.knows_fleet(80, 82, True, 100.5))

    def test_small_fleet_is_known_once_more_than_half_is_reachable(self) -> None:
        self.assertFalse(self.start.knows_fleet(4, 9, False, 100.2))
        self.assertTrue(self.start.knows_fleet(5, 9, False, 100.2))
        self.assertTrue(self.start.knows_fleet(1, 1, False, 100.2))

    def test_isolated_gateway_does_not_know_the_fleet_before_the_list_is_read(self) -> None:
        self.assertFalse(self.start.knows_fleet(1, 0, False, 100.0))

    def test_few_members_after_the_startup_phase_are_one_side_of_a_partition(self) -> None:
        self.assertTrue(self.start.knows_fleet(3, 82, False, 100.0 + START_SECONDS))


class TestDraw(unittest.TestCase):
    def test_gateways_without_knowledge_spread_their_requests(self) -> None:
        seen = [Seen(item, 0, 0) for item in UPSTREAMS]
        taken = Counter(draw(seen, random.Random(n))[0].id for n in range(2000))
        self.assertEqual(20, len(taken))
        self.assertLess(max(taken.values()), 1.5 * 2000 / 20)

    def test_upstream_without_an_answer_gets_no_second_request(self) -> None:
        seen = [Seen(item, 1, 0) for item in UPSTREAMS[1:]] + [Seen(UPSTREAMS[0], 0, 0)]
        for number in range(50):
            self.assertEqual([UPSTREAMS[0]], draw(seen, random.Random(number)))

    def test_credit_grows_with_answers(self) -> None:
        seen = [Seen(UPSTREAMS[0], 3, 3), Seen(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[0]], draw(seen, random.Random(1)))

    def test_no_request_is_refused_for_lack_of_credit(self) -> None:
        seen = [Seen(UPSTREAMS[0], 2, 0), Seen(UPSTREAMS[1], 1, 0)]
        self.assertEqual([UPSTREAMS[1]], draw(seen, random.Random(1)))
        self.assertEqual([], draw([], random.Random(1)))


class TestPatience(unittest.TestCase):
    def test_wait_ends_before_clients_leave(self) -> None:
        for left in (0.3, 1.0, 2.7, 15.0):
            self.assertLess(ready_wait(left), left / 3.0)
            self.assertLessEqual(ready_wait(left), LONGEST_WAIT)

    def test_retry_after_times_are_spread(self) -> None:
        rng = random.Random(1)
        times = sorted(ready_retry(rng.random()) for _ in range(100))
        self.assertGreater(times[80] - times[20], 0.3)
