from __future__ import annotations

import random
import unittest

from lotushill.availability.newest_first import NewestFirst


class TestNewestFirst(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = NewestFirst(random.Random(1))
        self.names = [f"e{number}" for number in range(100)]
        for number, name in enumerate(self.names):
            self.selector.note(name, float(number))

    def test_the_names_that_changed_last_are_always_selected(self) -> None:
        self.selector.note("e5", 200.0)
        chosen = [self.selector.choose(self.names) for _ in range(10)]
        self.assertEqual([["e5", "e99", "e98"]] * 10, [names[:3] for names in chosen])
        self.assertEqual({16}, {len(names) for names in chosen})

    def test_all_other_names_are_selected_eventually(self) -> None:
        seen = {name for _ in range(200) for name in self.selector.choose(self.names)}
        self.assertEqual(set(self.names), seen)

    def test_an_announcement_of_all_newest_names_covers_them(self) -> None:
        newest = self.names[-8:]
        self.assertTrue(self.selector.covers_newest(newest))
        self.assertFalse(self.selector.covers_newest(newest[1:] + self.names[:8]))

    def test_few_names_are_all_selected_and_removed_ones_are_not(self) -> None:
        self.assertEqual(["e2", "e1"], self.selector.choose(["e1", "e2"]))
        self.assertEqual(["e1"], self.selector.choose(["e1"]))
