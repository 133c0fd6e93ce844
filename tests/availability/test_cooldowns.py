"""Rests in virtual time: none is broken, none outlasts its reason, and all do not end together."""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.cooldowns import Cooldowns

TRIAL = 0.1


class TestRests(unittest.TestCase):
    def test_nothing_is_wanted_until_its_end_and_all_after_an_answer(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 3.0, 10.0)
        self.assertEqual(frozenset(("a",)), kept.barred(12.9))
        self.assertFalse(kept.is_barred("b", 12.9))
        self.assertFalse(kept.is_barred("a", 13.0))

    def test_a_shorter_word_takes_nothing_back(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 3.0, 10.0)
        kept.note_requested("a", 0.2, 10.1)
        self.assertTrue(kept.is_barred("a", 12.9))

    def test_an_answer_to_what_was_under_way_takes_nothing_back(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 3.0, 10.0)
        kept.note_accepted("a", 11.0)
        self.assertTrue(kept.is_barred("a", 12.9))

    def test_after_it_one_goes_first_and_the_others_with_its_answer(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 1.0, 10.0)
        kept.note_sent("a", 12.0)
        self.assertTrue(kept.is_barred("a", 12.01))
        kept.note_accepted("a", 12.02)
        self.assertFalse(kept.is_barred("a", 12.02))

    def test_one_that_turns_the_first_away_gets_no_second(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 1.0, 10.0)
        kept.note_sent("a", 12.0)
        kept.note_requested("a", 2.0, 12.01)
        self.assertTrue(kept.is_barred("a", 13.9))

    def test_one_that_does_not_turn_the_first_away_at_once_has_taken_it(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 1.0, 10.0)
        kept.note_sent("a", 12.0)
        self.assertFalse(kept.is_barred("a", 12.0 + TRIAL))
        kept.note_sent("a", 12.2)
        self.assertEqual(frozenset(), kept.barred(12.21))

    def test_the_first_end_is_told_in_seconds(self) -> None:
        kept = Cooldowns()
        kept.note_requested("a", 3.0, 10.0)
        kept.note_requested("b", 1.0, 10.0)
        self.assertAlmostEqual(0.9, kept.seconds_to_first_end(["a", "b"], 10.1), delta=0.01)
        self.assertEqual(0.0, kept.seconds_to_first_end(["c"], 10.1))

    def test_what_no_view_knows_is_kept_until_its_end(self) -> None:
        """An entry that could not be read for a second took the rest of its engine with it."""
        kept = Cooldowns()
        kept.note_requested("a", 3.0, 10.0)
        kept.forget({"b"}, 11.0)
        self.assertTrue(kept.is_barred("a", 11.1))
        kept.forget({"b"}, 13.1)
        self.assertEqual(0, len(kept._rests))

    @given(st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.2, 30.0)), min_size=1, max_size=12))
    def test_however_wishes_overlap_none_is_broken_and_none_kept_long_after(
        self, wishes: list[tuple[float, float]]
    ) -> None:
        kept = Cooldowns()
        wishes.sort()
        last = 0.0
        for at, seconds in wishes:
            kept.note_requested("a", seconds, at)
            last = max(last, at + seconds)
            self.assertTrue(kept.is_barred("a", max(at, last - 0.001)))
        self.assertFalse(kept.is_barred("a", last))


class TestGateways(unittest.TestCase):
    """An upstream that turns away all for ten seconds and asks each time for two of rest."""

    def test_none_sends_more_than_one_into_a_rest_or_at_its_end(self) -> None:
        for gateways in (9, 81, 360):
            sent = [self.sends(random.Random(number)) for number in range(gateways)]
            for times in sent:
                gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
                self.assertGreaterEqual(min(gaps), 2.0)
            # One try a rest, where blind ones would be 40 a second from each gateway.
            self.assertLessEqual(sum(len(times) for times in sent), gateways * 5)

    def sends(self, rng: random.Random) -> list[float]:
        kept = Cooldowns()
        sent = []
        now = rng.uniform(0.0, 0.025)
        while now < 10.0:
            if not kept.is_barred("a", now):
                kept.note_sent("a", now)
                sent.append(now)
                kept.note_requested("a", 2.0, now + 0.002)
            now += 0.025
        return sent
