"""Tests cooldowns in virtual time: none is violated, none outlasts its reason, and not all end
together."""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.cooldowns import Cooldowns

PROBE_SECONDS = 0.1


class TestCooldowns(unittest.TestCase):
    def test_an_upstream_is_barred_until_the_end_of_its_cooldown(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 3.0, 10.0)
        self.assertEqual(frozenset(("a",)), cooldowns.barred(12.9))
        self.assertFalse(cooldowns.is_barred("b", 12.9))
        self.assertFalse(cooldowns.is_barred("a", 13.0))

    def test_a_shorter_cooldown_does_not_shorten_an_earlier_one(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 3.0, 10.0)
        cooldowns.note_requested("a", 0.2, 10.1)
        self.assertTrue(cooldowns.is_barred("a", 12.9))

    def test_an_answer_to_a_request_in_flight_does_not_end_the_cooldown(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 3.0, 10.0)
        cooldowns.note_accepted("a", 11.0)
        self.assertTrue(cooldowns.is_barred("a", 12.9))

    def test_after_a_cooldown_one_probe_is_sent_and_the_others_after_its_answer(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 1.0, 10.0)
        cooldowns.note_sent("a", 12.0)
        self.assertTrue(cooldowns.is_barred("a", 12.01))
        cooldowns.note_accepted("a", 12.02)
        self.assertFalse(cooldowns.is_barred("a", 12.02))

    def test_an_upstream_that_rejects_the_probe_gets_no_second_request(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 1.0, 10.0)
        cooldowns.note_sent("a", 12.0)
        cooldowns.note_requested("a", 2.0, 12.01)
        self.assertTrue(cooldowns.is_barred("a", 13.9))

    def test_a_probe_that_is_not_rejected_at_once_counts_as_accepted(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 1.0, 10.0)
        cooldowns.note_sent("a", 12.0)
        self.assertFalse(cooldowns.is_barred("a", 12.0 + PROBE_SECONDS))
        cooldowns.note_sent("a", 12.2)
        self.assertEqual(frozenset(), cooldowns.barred(12.21))

    def test_the_first_end_is_returned_in_seconds(self) -> None:
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 3.0, 10.0)
        cooldowns.note_requested("b", 1.0, 10.0)
        self.assertAlmostEqual(0.9, cooldowns.seconds_to_first_end(["a", "b"], 10.1), delta=0.01)
        self.assertEqual(0.0, cooldowns.seconds_to_first_end(["c"], 10.1))

    def test_the_cooldown_of_an_unknown_upstream_is_kept_until_its_end(self) -> None:
        """An entry that cannot be read for a second must not remove the cooldown of its engine."""
        cooldowns = Cooldowns()
        cooldowns.note_requested("a", 3.0, 10.0)
        cooldowns.retain_only({"b"}, 11.0)
        self.assertTrue(cooldowns.is_barred("a", 11.1))
        cooldowns.retain_only({"b"}, 13.1)
        self.assertEqual(0, len(cooldowns._cooldowns))

    @given(st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.2, 30.0)), min_size=1, max_size=12))
    def test_overlapping_cooldowns_are_all_observed_and_end_with_the_last(
        self, requests: list[tuple[float, float]]
    ) -> None:
        cooldowns = Cooldowns()
        requests.sort()
        last = 0.0
        for at, seconds in requests:
            cooldowns.note_requested("a", seconds, at)
            last = max(last, at + seconds)
            self.assertTrue(cooldowns.is_barred("a", max(at, last - 0.001)))
        self.assertFalse(cooldowns.is_barred("a", last))


class TestGateways(unittest.TestCase):
    """An upstream rejects all requests for ten seconds, each with a cooldown of two seconds."""

    def test_no_gateway_sends_more_than_one_request_per_cooldown(self) -> None:
        for gateways in (9, 81, 360):
            sent = [self.send_times(random.Random(number)) for number in range(gateways)]
            for times in sent:
                gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
                self.assertGreaterEqual(min(gaps), 2.0)
            # One request per cooldown; without cooldowns each gateway would send 40 a second.
            self.assertLessEqual(sum(len(times) for times in sent), gateways * 5)

    def send_times(self, rng: random.Random) -> list[float]:
        cooldowns = Cooldowns()
        sent = []
        now = rng.uniform(0.0, 0.025)
        while now < 10.0:
            if not cooldowns.is_barred("a", now):
                cooldowns.note_sent("a", now)
                sent.append(now)
                cooldowns.note_requested("a", 2.0, now + 0.002)
            now += 0.025
        return sent
