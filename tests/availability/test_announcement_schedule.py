from __future__ import annotations

import random
import unittest

from lotushill.availability.announcement_schedule import AnnouncementSchedule

TURN = 0.1
"""The first interval."""


class TestTelling(unittest.TestCase):
    def setUp(self) -> None:
        self.telling = AnnouncementSchedule(random.Random(1))
        self.now = 0.0

    def told(self, names: list[str], seconds: float = TURN) -> list[list[str]]:
        """Let time pass; return what was told."""
        found = []
        ends = self.now + seconds
        while self.now < ends:
            self.now += 0.01
            found.append(self.telling.due_names(names, self.now))
        return [names for names in found if names]

    def test_nothing_is_told_where_nothing_is_known(self) -> None:
        self.assertEqual([], self.told([], 10.0))

    def test_what_is_new_is_told_within_a_turn(self) -> None:
        self.telling.note("e1", self.now)
        self.assertEqual([["e1"]], self.told(["e1"]))

    def test_who_hears_it_told_twice_is_silent_in_that_turn(self) -> None:
        self.telling.note("e1", self.now)
        self.telling.due_names(["e1"], self.now)
        for _ in range(2):
            self.telling.note_received(["e1"], complete=True, differs=False, now=self.now)
        self.assertEqual([], self.told(["e1"], 0.09))

    def test_a_part_without_what_is_new_here_is_no_reason_to_be_silent(self) -> None:
        self.telling.note("e1", self.now)
        for _ in range(2):
            self.telling.note_received(["e2"], complete=False, differs=False, now=self.now)
        self.assertEqual([["e1", "e2"]], self.told(["e1", "e2"]))

    def test_who_lacks_something_is_told_soon_again(self) -> None:
        self.telling.note("e1", self.now)
        self.told(["e1"], 20.0)
        self.telling.note_received([], complete=True, differs=True, now=self.now)
        self.assertEqual([["e1"]], self.told(["e1"]))
