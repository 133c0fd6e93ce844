"""Tests when updates on suspects are due."""

from __future__ import annotations

import math
import random
import unittest

from lotushill.quarantine.update_schedule import DueUpdates
from lotushill.quarantine.update_schedule import UpdateSchedule

ONE = b"1" * 16


class TestUpdateSchedule(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = UpdateSchedule(random.Random(1))

    def due_count(self, until: float) -> int:
        """Return the number of updates on the suspect that are due until a given time."""
        count = 0
        while self.schedule.next_due() <= until:
            count += len(self.schedule.pop_due(max(0.0, self.schedule.next_due())).suspects)
        return count

    def test_failure_is_sent_several_times_within_two_seconds_only(self) -> None:
        self.schedule.schedule_failure(ONE, 0.0)
        self.assertEqual(4, self.due_count(2.0))
        self.assertEqual(math.inf, self.schedule.next_due())

    def test_completion_is_sent_at_once_and_cancels_failure_updates(self) -> None:
        self.schedule.schedule_failure(ONE, 0.0)
        self.schedule.schedule_cleared(ONE)
        self.assertEqual(DueUpdates((), (ONE,), ()), self.schedule.pop_due(0.0))
        self.assertEqual(0, self.due_count(2.0))

    def test_known_good_update_is_sent_unless_a_peer_sends_it_first(self) -> None:
        self.schedule.schedule_known_good(ONE, 0.0)
        self.schedule.cancel_known_good(ONE)
        self.assertEqual(math.inf, self.schedule.next_due())
        self.schedule.schedule_known_good(ONE, 0.0)
        self.assertEqual((ONE,), self.schedule.pop_due(0.2).cleared_before)

    def test_hold_that_is_not_in_the_store_is_sent_again(self) -> None:
        for now in (0.0, 0.5, 1.0, 1.9):
            self.schedule.schedule_held_repeat(ONE, now)
        self.assertEqual(1, self.due_count(2.0))
