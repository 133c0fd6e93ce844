"""Tests when one request is held, depending on its failures and completions."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.quarantine.suspect import FAILURES_TO_HOLD
from lotushill.quarantine.suspect import Suspect

FAILED_UPSTREAMS = st.lists(st.sampled_from("abcdefgh"), max_size=20)


def suspect_after(
    upstreams: str, known_good: bool = False, apart: float = 0.0
) -> tuple[Suspect, float]:
    """Return a suspect after failures that are `apart` seconds apart, and the resulting time."""
    suspect = Suspect("team", "/p", known_good=known_good)
    now = 100.0
    for name in upstreams:
        suspect.add_failure(name, now)
        now += apart
    return suspect, now


class TestNeverCompleted(unittest.TestCase):
    def test_request_is_held_indefinitely_after_exactly_three_upstreams(self) -> None:
        self.assertFalse(suspect_after("ab")[0].is_held(100.0))
        self.assertTrue(suspect_after("abc")[0].is_held(1e9))

    def test_repeated_reports_of_one_upstream_count_once(self) -> None:
        self.assertFalse(suspect_after("ababaab")[0].is_held(100.0))

    def test_completion_clears_it_and_late_updates_on_those_failures_do_not_count(self) -> None:
        suspect, now = suspect_after("ab")
        suspect.clear()
        for name in "abc":
            suspect.add_failure(name, now)
        self.assertFalse(suspect.is_held(now))

    def test_released_request_needs_as_many_failures_as_the_first_time(self) -> None:
        suspect, now = suspect_after("abc")
        suspect.release()
        suspect.add_failure("d", now)
        suspect.add_failure("e", now)
        self.assertFalse(suspect.is_held(now))
        suspect.add_failure("f", now)
        self.assertTrue(suspect.is_held_indefinitely)

    @given(FAILED_UPSTREAMS, st.randoms(use_true_random=False))
    def test_the_order_of_received_failures_does_not_matter(self, ends: list[str], rng) -> None:  # type: ignore[no-untyped-def]
        first, _ = suspect_after("".join(ends))
        rng.shuffle(ends)
        second, _ = suspect_after("".join(ends))
        self.assertEqual(first.is_held(0.0), second.is_held(0.0))
        self.assertEqual(len(set(ends)) >= FAILURES_TO_HOLD, first.is_held(0.0))


class TestKnownGood(unittest.TestCase):
    """Tests a common request: it runs at many upstreams, so many may fail during it at once."""

    def test_a_hall_that_loses_power_counts_as_one_failure(self) -> None:
        suspect, now = suspect_after("abcdefgh", known_good=True)
        self.assertFalse(suspect.is_held(now))

    def test_rounds_of_failures_hold_the_request_for_a_term(self) -> None:
        suspect, now = suspect_after("abc", known_good=True, apart=1.0)
        self.assertTrue(suspect.is_held(now))
        self.assertFalse(suspect.is_held_indefinitely)
        self.assertFalse(suspect.is_held(now + 15.0))

    def test_one_failure_after_the_term_holds_for_twice_as_long(self) -> None:
        suspect, now = suspect_after("abc", known_good=True, apart=1.0)
        now += 15.0
        suspect.add_failure("d", now)
        self.assertTrue(suspect.is_held(now + 29.0))
        self.assertFalse(suspect.is_held(now + 30.0))

    def test_completion_ends_the_term(self) -> None:
        suspect, now = suspect_after("abc", known_good=True, apart=1.0)
        suspect.clear()
        self.assertFalse(suspect.is_held(now))
        suspect.add_failure("d", now)
        self.assertFalse(suspect.is_held(now))

    def test_known_good_update_after_the_failures_ends_the_hold(self) -> None:
        suspect, now = suspect_after("abc")
        self.assertTrue(suspect.is_held(now))
        suspect.mark_known_good(now)
        self.assertFalse(suspect.is_held(now))
