"""What was denied is not asked for again too soon."""

from __future__ import annotations

import unittest

from lotushill.limits.denials import Denials


class TestDenials(unittest.TestCase):
    def setUp(self) -> None:
        self.denials = Denials()

    def test_a_route_that_was_denied_waits_and_later_ranks_with_it(self) -> None:
        self.denials.note_denied("e1", "letters", 1, 12.0)
        self.denials.note_denied("e2", "queries", 0, 11.0)
        self.assertEqual({"e1", "e2"}, self.denials.barred("letters", 10.0))
        self.assertEqual({"e2"}, self.denials.barred("queries", 10.0))
        self.assertEqual(frozenset(), self.denials.barred("letters", 12.0))
        self.assertEqual(2.0, self.denials.seconds_left("e1", "letters", 10.0))

    def test_a_route_whose_rank_is_not_known_asks(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 12.0)
        self.assertFalse(self.denials.is_barred("e1", "new", 10.0))

    def test_while_one_asks_the_others_of_the_gateway_do_not(self) -> None:
        self.denials.note_pending("e1", 10.2)
        self.assertTrue(self.denials.is_barred("e1", "any", 10.1))
        self.denials.note_answered("e1")
        self.assertFalse(self.denials.is_barred("e1", "any", 10.1))

    def test_another_limit_takes_it_back(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 99.0)
        self.denials.clear("e1")
        self.assertFalse(self.denials.is_barred("e1", "letters", 10.0))

    def test_what_is_over_is_dropped(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 12.0)
        self.denials.note_denied("gone", "letters", 0, 99.0)
        self.denials.forget({"e1"}, 11.0)
        self.assertEqual({"e1"}, self.denials.barred("letters", 11.0))
        self.denials.forget({"e1"}, 13.0)
        self.assertEqual(frozenset(), self.denials.barred("letters", 0.0))
