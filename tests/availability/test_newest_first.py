from __future__ import annotations

import random
import unittest

from lotushill.availability.newest_first import NewestFirst


class TestNewestFirst(unittest.TestCase):
    def setUp(self) -> None:
        self.order = NewestFirst(random.Random(1))
        self.names = [f"e{number}" for number in range(100)]
        for number, name in enumerate(self.names):
            self.order.note(name, float(number))

    def test_what_became_known_last_is_always_among_them(self) -> None:
        self.order.note("e5", 200.0)
        chosen = [self.order.choose(self.names) for _ in range(10)]
        self.assertEqual([["e5", "e99", "e98"]] * 10, [names[:3] for names in chosen])
        self.assertEqual({16}, {len(names) for names in chosen})

    def test_all_others_come_some_time(self) -> None:
        seen = {name for _ in range(200) for name in self.order.choose(self.names)}
        self.assertEqual(set(self.names), seen)

    def test_who_tells_of_the_newest_has_told_what_matters(self) -> None:
        newest = self.names[-8:]
        self.assertTrue(self.order.covers_newest(newest))
        self.assertFalse(self.order.covers_newest(newest[1:] + self.names[:8]))

    def test_few_are_told_whole_and_what_is_gone_is_not(self) -> None:
        self.assertEqual(["e2", "e1"], self.order.choose(["e1", "e2"]))
        self.assertEqual(["e1"], self.order.choose(["e1"]))
