"""One gateway counts what an upstream takes, whoever asks and however often."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.limits.permit_buckets import BUCKET_DEPTH
from lotushill.limits.permit_buckets import PermitBuckets

ASKS = st.lists(st.tuples(st.floats(0.0, 0.7), st.integers(0, 4), st.integers(0, 8)), max_size=200)


class TestPermitDesk(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = PermitBuckets()

    def granted(self, rate: float, rank: int, since: float, until: float, every: float) -> int:
        """Ask every so often; return how many were granted."""
        count, now = 0, since
        while now < until:
            count += self.desk.request_permit("e1", rate, rank, "gw", now).granted
            now += every
        return count

    def test_it_starts_with_nothing_since_another_one_may_have_counted(self) -> None:
        self.assertFalse(self.desk.request_permit("e1", 1.0, 0, "gw", 0.0).granted)
        self.assertTrue(self.desk.request_permit("e1", 1.0, 0, "gw", 1.0).granted)

    def test_with_a_limit_that_is_new_it_starts_with_what_may_be_kept(self) -> None:
        self.desk.add_bucket("e1", 4.0, 0.0)
        self.assertEqual(2, self.granted(4.0, 0, 0.0, 0.2, 0.1))
        self.desk.add_bucket("e2", 0.2, 0.0)
        self.assertFalse(self.desk.request_permit("e2", 0.2, 0, "gw", 0.1).granted)

    def test_a_second_word_of_it_gives_nothing_more(self) -> None:
        self.desk.add_bucket("e1", 4.0, 0.0)
        self.granted(4.0, 0, 0.0, 0.2, 0.1)
        self.desk.add_bucket("e1", 4.0, 0.2)
        self.assertFalse(self.desk.request_permit("e1", 4.0, 0, "gw", 0.2).granted)

    def test_each_rank_alone_gets_nearly_all(self) -> None:
        for rank in (0, 1, 2, 7):
            with self.subTest(rank=rank):
                self.desk = PermitBuckets()
                self.assertGreaterEqual(self.granted(1.0, rank, 0.0, 100.0, 0.1), 97)

    def test_the_first_rank_leaves_little_where_it_asks_often(self) -> None:
        first = later = 0
        for number in range(4000):
            first += self.desk.request_permit("e1", 1.0, 0, "a", number * 0.1).granted
            later += self.desk.request_permit("e1", 1.0, 1, "b", number * 0.1 + 0.05).granted
        self.assertLess(later, 0.05 * first)

    def test_who_is_denied_is_told_when_to_ask_again_by_how_many_ask(self) -> None:
        one = self.desk.request_permit("e1", 2.0, 0, "gw-0", 0.0).again_in
        for number in range(1, 40):
            many = self.desk.request_permit("e1", 2.0, 0, f"gw-{number}", 0.0).again_in
        self.assertEqual(0.5, one)
        self.assertAlmostEqual(40 / (8 * 2.0), many)

    def test_where_this_gateway_hears_nobody_nothing_is_handed_out(self) -> None:
        self.assertEqual(0, self.granted(0.0, 0, 0.0, 10.0, 0.1))

    def test_a_clock_that_goes_back_grants_nothing_more(self) -> None:
        self.granted(1.0, 0, 0.0, 10.0, 0.1)
        self.assertLessEqual(self.granted(1.0, 0, 5.0, 9.0, 0.1), 2)

    @given(ASKS, st.sampled_from((0.2, 1.0, 4.0, 50.0)))
    def test_in_any_time_no_more_than_its_rate_and_the_depth(
        self, asks: list[tuple[float, int, int]], rate: float
    ) -> None:
        desk, now, granted = PermitBuckets(), 0.0, []
        for pause, rank, asker in asks:
            now += pause
            if desk.request_permit("e1", rate, rank, f"gw-{asker}", now).granted:
                granted.append(now)
        for number, since in enumerate(granted):
            for count, until in enumerate(granted[number:], 1):
                self.assertLessEqual(count, rate * (until - since) + BUCKET_DEPTH + 1e-6)
