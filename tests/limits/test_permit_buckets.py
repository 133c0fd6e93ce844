"""Tests that one gateway counts the requests to an upstream, whichever gateways ask how often."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.limits.permit_buckets import BUCKET_DEPTH
from lotushill.limits.permit_buckets import PermitBuckets

ASKS = st.lists(st.tuples(st.floats(0.0, 0.7), st.integers(0, 4), st.integers(0, 8)), max_size=200)


class TestPermitBuckets(unittest.TestCase):
    def setUp(self) -> None:
        self.buckets = PermitBuckets()

    def count_granted(
        self, rate: float, rank: int, since: float, until: float, every: float
    ) -> int:
        """Request permits every `every` seconds; return how many were granted."""
        count, now = 0, since
        while now < until:
            count += self.buckets.request_permit("e1", rate, rank, "gw", now).granted
            now += every
        return count

    def test_a_bucket_starts_empty_since_another_owner_may_have_counted(self) -> None:
        self.assertFalse(self.buckets.request_permit("e1", 1.0, 0, "gw", 0.0).granted)
        self.assertTrue(self.buckets.request_permit("e1", 1.0, 0, "gw", 1.0).granted)

    def test_a_bucket_of_a_new_limit_starts_with_permits(self) -> None:
        self.buckets.add_bucket("e1", 4.0, 0.0)
        self.assertEqual(2, self.count_granted(4.0, 0, 0.0, 0.2, 0.1))
        self.buckets.add_bucket("e2", 0.2, 0.0)
        self.assertFalse(self.buckets.request_permit("e2", 0.2, 0, "gw", 0.1).granted)

    def test_adding_the_bucket_again_grants_nothing_more(self) -> None:
        self.buckets.add_bucket("e1", 4.0, 0.0)
        self.count_granted(4.0, 0, 0.0, 0.2, 0.1)
        self.buckets.add_bucket("e1", 4.0, 0.2)
        self.assertFalse(self.buckets.request_permit("e1", 4.0, 0, "gw", 0.2).granted)

    def test_each_rank_alone_gets_nearly_all_permits(self) -> None:
        for rank in (0, 1, 2, 7):
            with self.subTest(rank=rank):
                self.buckets = PermitBuckets()
                self.assertGreaterEqual(self.count_granted(1.0, rank, 0.0, 100.0, 0.1), 97)

    def test_the_first_rank_leaves_few_permits_if_it_asks_often(self) -> None:
        first = later = 0
        for number in range(4000):
            first += self.buckets.request_permit("e1", 1.0, 0, "a", number * 0.1).granted
            later += self.buckets.request_permit("e1", 1.0, 1, "b", number * 0.1 + 0.05).granted
        self.assertLess(later, 0.05 * first)

    def test_the_pause_after_a_denial_grows_with_the_number_of_askers(self) -> None:
        one = self.buckets.request_permit("e1", 2.0, 0, "gw-0", 0.0).again_in
        for number in range(1, 40):
            many = self.buckets.request_permit("e1", 2.0, 0, f"gw-{number}", 0.0).again_in
        self.assertEqual(0.5, one)
        self.assertAlmostEqual(40 / (8 * 2.0), many)

    def test_at_rate_zero_no_permit_is_granted(self) -> None:
        self.assertEqual(0, self.count_granted(0.0, 0, 0.0, 10.0, 0.1))

    def test_a_clock_that_goes_back_grants_no_additional_permits(self) -> None:
        self.count_granted(1.0, 0, 0.0, 10.0, 0.1)
        self.assertLessEqual(self.count_granted(1.0, 0, 5.0, 9.0, 0.1), 2)

    @given(ASKS, st.sampled_from((0.2, 1.0, 4.0, 50.0)))
    def test_no_period_grants_more_than_the_rate_and_the_bucket_depth(
        self, asks: list[tuple[float, int, int]], rate: float
    ) -> None:
        buckets, now, granted = PermitBuckets(), 0.0, []
        for pause, rank, asker in asks:
            now += pause
            if buckets.request_permit("e1", rate, rank, f"gw-{asker}", now).granted:
                granted.append(now)
        for number, since in enumerate(granted):
            for count, until in enumerate(granted[number:], 1):
                self.assertLessEqual(count, rate * (until - since) + BUCKET_DEPTH + 1e-6)
