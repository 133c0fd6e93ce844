"""Tests who is asked, and when, to continue a stopped run from its memory.

A run continues at one upstream at most: one that lost its connection after it had been sent the run
may still work on it, so that another one is asked only once the first would have dropped the run.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.requests.continuation_tries import ContinuationTries
from lotushill.requests.handover import RunMemory
from lotushill.routing.upstream import Upstream

DROP_SECONDS = 0.5
PAUSES = (0.03, 0.06, 0.12, 0.24, 0.4, 0.4)
NOW = 100.0
PATIENCE_SECONDS = 10.0
SOURCE = Upstream("source", "s", "10.0.0.1:1", "z", 8, True)
TARGET = Upstream("target", "s", "10.0.0.2:1", "z", 8, False)
MEMORIES = (RunMemory(TARGET, SOURCE, "h"), RunMemory(SOURCE, SOURCE, "h"))
_REFUSALS = st.lists(
    st.tuples(
        st.sampled_from(["source", "target"]),
        st.sampled_from(["refused", "lost", "gone"]),
        st.floats(0.0, 0.7),
    ),
    max_size=12,
)


def new_tries(patience_seconds: float = PATIENCE_SECONDS) -> ContinuationTries:
    return ContinuationTries(NOW + patience_seconds)


class TestContinuationTries(unittest.TestCase):
    def test_at_first_each_upstream_may_be_asked(self) -> None:
        tries = new_tries()
        for name in ("source", "target"):
            self.assertTrue(tries.may_ask(name, NOW))
            self.assertFalse(tries.was_asked(name))
        self.assertTrue(tries.any_left(MEMORIES))

    def test_without_memory_none_is_left(self) -> None:
        self.assertFalse(new_tries().any_left(()))

    def test_after_a_refusal_both_may_be_asked_at_once(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=False, is_gone=False, now=NOW)
        self.assertTrue(tries.may_ask("source", NOW))
        self.assertTrue(tries.may_ask("target", NOW))
        self.assertEqual((True, False), (tries.was_asked("target"), tries.was_asked("source")))

    def test_after_a_lost_connection_only_the_same_one_may_be_asked_at_once(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=True, is_gone=False, now=NOW)
        self.assertTrue(tries.may_ask("target", NOW))
        self.assertFalse(tries.may_ask("source", NOW))
        self.assertFalse(tries.may_ask("source", NOW + DROP_SECONDS - 0.01))
        self.assertTrue(tries.may_ask("source", NOW + DROP_SECONDS))

    def test_a_refusal_does_not_end_the_wait_after_a_lost_connection(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=True, is_gone=False, now=NOW)
        tries.note_refusal("target", may_have_run=False, is_gone=False, now=NOW + 0.03)
        self.assertFalse(tries.may_ask("source", NOW + 0.03))
        self.assertTrue(tries.may_ask("source", NOW + DROP_SECONDS))

    def test_each_lost_connection_begins_the_wait_anew(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=True, is_gone=False, now=NOW)
        tries.note_refusal("target", may_have_run=True, is_gone=False, now=NOW + 0.3)
        self.assertFalse(tries.may_ask("source", NOW + DROP_SECONDS))
        self.assertTrue(tries.may_ask("source", NOW + 0.3 + DROP_SECONDS))

    def test_one_that_loses_each_connection_leaves_the_next_turn_to_the_other_one(self) -> None:
        """Each loss renews the wait, so the other one would never be asked."""
        tries = new_tries()
        for at in (NOW, NOW + 0.03):
            self.assertTrue(tries.may_ask("target", at))
            tries.note_refusal("target", may_have_run=True, is_gone=False, now=at)
        self.assertFalse(tries.may_ask("target", NOW + 0.03 + DROP_SECONDS))
        self.assertTrue(tries.may_ask("source", NOW + 0.03 + DROP_SECONDS))
        tries.note_refusal("source", may_have_run=False, is_gone=False, now=NOW + 0.6)
        self.assertTrue(tries.may_ask("target", NOW + 0.6))

    def test_one_that_is_gone_is_not_asked_again_and_the_other_one_at_once(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=True, is_gone=True, now=NOW)
        self.assertFalse(tries.may_ask("target", NOW + PATIENCE_SECONDS))
        self.assertTrue(tries.may_ask("source", NOW))
        self.assertTrue(tries.any_left(MEMORIES))

    def test_one_that_is_gone_later_ends_the_wait_for_its_lost_connection(self) -> None:
        tries = new_tries()
        tries.note_refusal("target", may_have_run=True, is_gone=False, now=NOW)
        tries.note_refusal("target", may_have_run=False, is_gone=True, now=NOW + 0.03)
        self.assertTrue(tries.may_ask("source", NOW + 0.03))

    def test_none_is_left_once_all_are_gone(self) -> None:
        tries = new_tries()
        for name in ("source", "target"):
            tries.note_refusal(name, may_have_run=False, is_gone=True, now=NOW)
        self.assertFalse(tries.any_left(MEMORIES))

    def test_pauses_double_up_to_the_longest(self) -> None:
        tries = new_tries()
        pauses = [tries.next_pause(NOW) for _ in PAUSES]
        self.assertEqual(list(PAUSES), pauses)

    def test_past_the_end_of_patience_there_is_no_pause(self) -> None:
        for late in (0.0, 1.0):
            self.assertIsNone(new_tries().next_pause(NOW + PATIENCE_SECONDS + late))

    @given(_REFUSALS)
    def test_no_other_one_is_asked_while_one_may_work_on_the_run(
        self, refusals: list[tuple[str, str, float]]
    ) -> None:
        tries, now = new_tries(), NOW
        may_work_until = {"source": 0.0, "target": 0.0}
        for name, what, pause in refusals:
            now += pause
            other = "source" if name == "target" else "target"
            if not tries.may_ask(name, now):
                continue
            self.assertLessEqual(may_work_until[other], now)
            is_gone = what == "gone"
            tries.note_refusal(name, what == "lost", is_gone, now)
            if what == "lost":
                may_work_until[name] = now + DROP_SECONDS
            elif is_gone:
                may_work_until[name] = 0.0

    @given(st.floats(0.0, 5.0))
    def test_the_pauses_together_use_all_patience(self, patience_seconds: float) -> None:
        """An upstream that may be asked only in the last moments is asked as well."""
        tries, now = new_tries(patience_seconds), NOW
        while (pause := tries.next_pause(now)) is not None:
            self.assertLess(0.0, pause)
            now += pause
            self.assertLessEqual(now, NOW + patience_seconds + 1e-9)
        self.assertAlmostEqual(NOW + patience_seconds, now, delta=PAUSES[0])
