from __future__ import annotations

import random
import unittest

from lotushill.availability.announcement_schedule import AnnouncementSchedule

INTERVAL_SECONDS = 0.1
"""First interval of the timer."""


class TestAnnouncementSchedule(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = AnnouncementSchedule(random.Random(1))
        self.now = 0.0

    def announcements(self, names: list[str], seconds: float = INTERVAL_SECONDS) -> list[list[str]]:
        """Advance the clock; return the announcements."""
        announced = []
        ends = self.now + seconds
        while self.now < ends:
            self.now += 0.01
            announced.append(self.schedule.due_names(names, self.now))
        return [names for names in announced if names]

    def test_nothing_is_announced_while_nothing_is_known(self) -> None:
        self.assertEqual([], self.announcements([], 10.0))

    def test_a_new_fact_is_announced_within_an_interval(self) -> None:
        self.schedule.note("e1", self.now)
        self.assertEqual([["e1"]], self.announcements(["e1"]))

    def test_two_consistent_announcements_suppress_the_own_one_in_that_interval(self) -> None:
        self.schedule.note("e1", self.now)
        self.schedule.due_names(["e1"], self.now)
        for _ in range(2):
            self.schedule.note_received(["e1"], complete=True, differs=False, now=self.now)
        self.assertEqual([], self.announcements(["e1"], 0.09))

    def test_a_partial_announcement_without_the_new_fact_suppresses_nothing(self) -> None:
        self.schedule.note("e1", self.now)
        for _ in range(2):
            self.schedule.note_received(["e2"], complete=False, differs=False, now=self.now)
        self.assertEqual([["e1", "e2"]], self.announcements(["e1", "e2"]))

    def test_a_gateway_that_lacks_a_fact_causes_an_early_announcement(self) -> None:
        self.schedule.note("e1", self.now)
        self.announcements(["e1"], 20.0)
        self.schedule.note_received([], complete=True, differs=True, now=self.now)
        self.assertEqual([["e1"]], self.announcements(["e1"]))
