"""Tests the suspects of one gateway: evidence of peers and the store, and their bounds."""

from __future__ import annotations

import unittest
from typing import Any

from lotushill.links.quarantine_messages import SuspectState
from lotushill.quarantine.quarantine import Quarantine
from lotushill.quarantine.stored_hold import StoredHold
from lotushill.quarantine.stored_hold import read_hold

ONE = b"1" * 16
TWO = b"2" * 16
HOLD = StoredHold("team", "/p", ("a", "b", "c"), 1.7e9)


class TestQuarantine(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def end(self, identity: bytes, *upstreams: str, team: str = "team") -> None:
        for upstream in upstreams:
            self.quarantine.note_end(identity, team, "/p", upstream, 5.0)

    def test_ends_seen_here_and_told_by_peers_count_together(self) -> None:
        self.end(ONE, "a")
        self.assertTrue(self.quarantine.take(SuspectState(ONE, "team", "/p", ("a", "b", "c")), 5.0))
        self.assertTrue(self.quarantine.holds(ONE, 5.0))
        self.assertFalse(self.quarantine.holds(TWO, 5.0))

    def test_what_is_held_in_the_store_is_held_here_until_it_is_released_there(self) -> None:
        self.quarantine.take_stored({ONE: HOLD})
        self.assertTrue(self.quarantine.holds(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.take_stored({}))
        self.assertFalse(self.quarantine.holds(ONE, 5.0))

    def test_a_release_counts_also_where_the_ends_are_known(self) -> None:
        self.end(ONE, "a", "b", "c")
        self.quarantine.take_stored({ONE: HOLD})
        self.quarantine.take_stored({})
        self.assertFalse(self.quarantine.holds(ONE, 5.0))
        self.end(ONE, "a", "b", "c", "d", "e")
        self.assertFalse(self.quarantine.holds(ONE, 5.0))
        self.end(ONE, "f")
        self.assertTrue(self.quarantine.holds(ONE, 5.0))

    def test_a_view_from_before_the_hold_releases_nothing(self) -> None:
        self.end(ONE, "a", "b", "c")
        self.quarantine.take_stored({TWO: HOLD})
        self.assertTrue(self.quarantine.holds(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.unstored())

    def test_what_was_answered_whole_is_not_held_and_leaves_the_store(self) -> None:
        self.end(ONE, "a", "b")
        self.quarantine.take_stored({ONE: HOLD})
        self.quarantine.clear(ONE)
        self.assertFalse(self.quarantine.holds(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.stored_in_vain())

    def test_one_that_was_answered_whole_here_before_is_proven_from_its_first_end(self) -> None:
        self.quarantine.note_whole(ONE, 1.0)
        self.end(ONE, "a", "b", "c", "d")
        self.assertFalse(self.quarantine.holds(ONE, 5.0))

    def test_one_team_cannot_push_the_suspects_of_another_out(self) -> None:
        self.end(ONE, "a", "b", "c", team="other")
        for number in range(5000):
            self.end(number.to_bytes(16, "big"), "a", "b", "c", team="many")
        self.assertTrue(self.quarantine.holds(ONE, 5.0))
        self.assertLess(len(self.quarantine), 300)

    def test_a_held_one_outlasts_those_that_are_only_suspected(self) -> None:
        self.end(ONE, "a", "b", "c")
        for number in range(1000):
            self.end(number.to_bytes(16, "big"), "a")
        self.assertTrue(self.quarantine.holds(ONE, 5.0))

    def test_one_that_was_cleared_is_forgotten_after_a_while_and_others_are_not(self) -> None:
        self.end(ONE, "a")
        self.end(TWO, "a")
        self.quarantine.clear(ONE)
        self.quarantine.expire(20.0)
        self.assertEqual(2, len(self.quarantine))
        self.quarantine.expire(36.0)
        self.assertIsNone(self.quarantine.find(ONE))
        self.assertEqual(1, self.quarantine.ends_under(TWO))

    def test_one_that_was_cleared_is_not_held_again_while_it_is_still_in_the_store(self) -> None:
        self.end(ONE, "a", "b", "c")
        self.quarantine.take_stored({ONE: HOLD})
        self.quarantine.clear(ONE)
        self.quarantine.expire(1000.0)
        self.assertFalse(self.quarantine.holds(ONE, 1000.0))

    def test_one_that_had_a_term_is_remembered_with_it(self) -> None:
        self.quarantine.note_whole(ONE, 1.0)
        for at, upstream in enumerate("abc"):
            self.quarantine.note_end(ONE, "team", "/p", upstream, 5.0 + at)
        self.assertTrue(self.quarantine.holds(ONE, 8.0))
        self.quarantine.expire(1000.0)
        self.assertIsNotNone(self.quarantine.find(ONE))

    def test_nothing_has_to_be_worked_out_while_nothing_is_suspected(self) -> None:
        self.assertTrue(self.quarantine.empty)
        self.end(ONE, "a")
        self.assertFalse(self.quarantine.empty)


class TestStoredHold(unittest.TestCase):
    def test_it_is_read_as_it_was_written(self) -> None:
        self.assertEqual((ONE, HOLD), read_hold(ONE.hex(), HOLD.spec()))

    def test_a_spoilt_spec_still_holds_and_another_name_holds_nothing(self) -> None:
        specs: tuple[Any, ...] = (None, 5, [], {"team": 5, "upstreams": [1], "since": float("inf")})
        for spec in specs:
            found = read_hold(ONE.hex(), spec)
            self.assertEqual(ONE, found and found[0])
        for name in ("", "here", "00", "zz" * 16):
            self.assertIsNone(read_hold(name, HOLD.spec()))
