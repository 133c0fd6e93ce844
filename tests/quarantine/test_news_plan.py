"""Tests when updates on suspects are due."""

from __future__ import annotations

import math
import random
import unittest

from lotushill.quarantine.news_plan import DueNews
from lotushill.quarantine.news_plan import NewsPlan

ONE = b"1" * 16


class TestNewsPlan(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = NewsPlan(random.Random(1))

    def told(self, until: float) -> int:
        """Return the number of updates on the suspect that are due until a given time."""
        count = 0
        while self.plan.next_due() <= until:
            count += len(self.plan.take(max(0.0, self.plan.next_due())).suspects)
        return count

    def test_failure_is_sent_several_times_within_two_seconds_only(self) -> None:
        self.plan.tell(ONE, 0.0)
        self.assertEqual(4, self.told(2.0))
        self.assertEqual(math.inf, self.plan.next_due())

    def test_completion_is_sent_at_once_and_cancels_failure_updates(self) -> None:
        self.plan.tell(ONE, 0.0)
        self.plan.clear(ONE)
        self.assertEqual(DueNews((), (ONE,), ()), self.plan.take(0.0))
        self.assertEqual(0, self.told(2.0))

    def test_known_good_update_is_sent_unless_a_peer_sends_it_first(self) -> None:
        self.plan.prove(ONE, 0.0)
        self.plan.heard(ONE)
        self.assertEqual(math.inf, self.plan.next_due())
        self.plan.prove(ONE, 0.0)
        self.assertEqual((ONE,), self.plan.take(0.2).cleared_before)

    def test_hold_that_is_not_in_the_store_is_sent_again(self) -> None:
        for now in (0.0, 0.5, 1.0, 1.9):
            self.plan.go_on(ONE, now)
        self.assertEqual(1, self.told(2.0))
