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

    def record_failures(self, identity: bytes, *upstreams: str, team: str = "team") -> None:
        for upstream in upstreams:
            self.quarantine.record_upstream_failure(identity, team, "/p", upstream, 5.0)

    def test_observed_and_reported_failures_count_together(self) -> None:
        self.record_failures(ONE, "a")
        self.assertTrue(
            self.quarantine.merge_peer_state(SuspectState(ONE, "team", "/p", ("a", "b", "c")), 5.0)
        )
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))
        self.assertFalse(self.quarantine.is_held(TWO, 5.0))

    def test_stored_hold_is_effective_until_released_in_the_store(self) -> None:
        self.quarantine.replace_stored({ONE: HOLD})
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.replace_stored({}))
        self.assertFalse(self.quarantine.is_held(ONE, 5.0))

    def test_a_release_applies_at_gateways_that_know_the_failures(self) -> None:
        self.record_failures(ONE, "a", "b", "c")
        self.quarantine.replace_stored({ONE: HOLD})
        self.quarantine.replace_stored({})
        self.assertFalse(self.quarantine.is_held(ONE, 5.0))
        self.record_failures(ONE, "a", "b", "c", "d", "e")
        self.assertFalse(self.quarantine.is_held(ONE, 5.0))
        self.record_failures(ONE, "f")
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))

    def test_view_older_than_the_hold_releases_nothing(self) -> None:
        self.record_failures(ONE, "a", "b", "c")
        self.quarantine.replace_stored({TWO: HOLD})
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.unstored())

    def test_cleared_request_is_not_held_and_is_to_leave_the_store(self) -> None:
        self.record_failures(ONE, "a", "b")
        self.quarantine.replace_stored({ONE: HOLD})
        self.quarantine.clear(ONE)
        self.assertFalse(self.quarantine.is_held(ONE, 5.0))
        self.assertEqual([ONE], self.quarantine.stored_but_cleared())

    def test_request_that_completed_here_before_its_failures_is_known_good(self) -> None:
        self.quarantine.record_completion(ONE, 1.0)
        self.record_failures(ONE, "a", "b", "c", "d")
        self.assertFalse(self.quarantine.is_held(ONE, 5.0))

    def test_one_team_cannot_evict_the_suspects_of_another(self) -> None:
        self.record_failures(ONE, "a", "b", "c", team="other")
        for number in range(5000):
            self.record_failures(number.to_bytes(16, "big"), "a", "b", "c", team="many")
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))
        self.assertLess(len(self.quarantine), 300)

    def test_held_request_is_evicted_after_mere_suspects(self) -> None:
        self.record_failures(ONE, "a", "b", "c")
        for number in range(1000):
            self.record_failures(number.to_bytes(16, "big"), "a")
        self.assertTrue(self.quarantine.is_held(ONE, 5.0))

    def test_only_cleared_suspects_expire(self) -> None:
        self.record_failures(ONE, "a")
        self.record_failures(TWO, "a")
        self.quarantine.clear(ONE)
        self.quarantine.expire(20.0)
        self.assertEqual(2, len(self.quarantine))
        self.quarantine.expire(36.0)
        self.assertIsNone(self.quarantine.find(ONE))
        self.assertEqual(1, self.quarantine.failure_count(TWO))

    def test_cleared_request_is_not_held_again_while_still_in_the_store(self) -> None:
        self.record_failures(ONE, "a", "b", "c")
        self.quarantine.replace_stored({ONE: HOLD})
        self.quarantine.clear(ONE)
        self.quarantine.expire(1000.0)
        self.assertFalse(self.quarantine.is_held(ONE, 1000.0))

    def test_suspect_that_was_held_for_a_term_does_not_expire(self) -> None:
        self.quarantine.record_completion(ONE, 1.0)
        for at, upstream in enumerate("abc"):
            self.quarantine.record_upstream_failure(ONE, "team", "/p", upstream, 5.0 + at)
        self.assertTrue(self.quarantine.is_held(ONE, 8.0))
        self.quarantine.expire(1000.0)
        self.assertIsNotNone(self.quarantine.find(ONE))

    def test_quarantine_is_empty_until_something_is_suspected(self) -> None:
        self.assertTrue(self.quarantine.is_empty)
        self.record_failures(ONE, "a")
        self.assertFalse(self.quarantine.is_empty)


class TestStoredHold(unittest.TestCase):
    def test_hold_is_read_as_written(self) -> None:
        self.assertEqual((ONE, HOLD), read_hold(ONE.hex(), HOLD.to_spec()))

    def test_corrupt_spec_remains_effective_and_invalid_name_does_not(self) -> None:
        specs: tuple[Any, ...] = (None, 5, [], {"team": 5, "upstreams": [1], "since": float("inf")})
        for spec in specs:
            found = read_hold(ONE.hex(), spec)
            self.assertEqual(ONE, found and found[0])
        for name in ("", "here", "00", "zz" * 16):
            self.assertIsNone(read_hold(name, HOLD.to_spec()))
