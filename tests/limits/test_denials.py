"""Tests that no permit is requested again too soon after a denial."""

from __future__ import annotations

import unittest

from lotushill.limits.denials import Denials


class TestDenials(unittest.TestCase):
    def setUp(self) -> None:
        self.denials = Denials()

    def test_a_denied_route_waits_and_so_do_later_ranks(self) -> None:
        self.denials.note_denied("e1", "letters", 1, 12.0)
        self.denials.note_denied("e2", "queries", 0, 11.0)
        self.assertEqual({"e1", "e2"}, self.denials.barred("letters", 10.0))
        self.assertEqual({"e2"}, self.denials.barred("queries", 10.0))
        self.assertEqual(frozenset(), self.denials.barred("letters", 12.0))
        self.assertEqual(2.0, self.denials.seconds_left("e1", "letters", 10.0))

    def test_a_route_of_unknown_rank_may_ask(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 12.0)
        self.assertFalse(self.denials.is_barred("e1", "new", 10.0))

    def test_only_one_permit_request_per_upstream_is_pending(self) -> None:
        self.denials.note_pending("e1", 10.2)
        self.assertTrue(self.denials.is_barred("e1", "any", 10.1))
        self.denials.note_answered("e1")
        self.assertFalse(self.denials.is_barred("e1", "any", 10.1))

    def test_a_changed_limit_clears_the_denials(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 99.0)
        self.denials.clear("e1")
        self.assertFalse(self.denials.is_barred("e1", "letters", 10.0))

    def test_expired_denials_are_dropped(self) -> None:
        self.denials.note_denied("e1", "letters", 0, 12.0)
        self.denials.note_denied("gone", "letters", 0, 99.0)
        self.denials.retain_only({"e1"}, 11.0)
        self.assertEqual({"e1"}, self.denials.barred("letters", 11.0))
        self.denials.retain_only({"e1"}, 13.0)
        self.assertEqual(frozenset(), self.denials.barred("letters", 0.0))
