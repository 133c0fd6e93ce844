"""Which runs are moved: those that lose more where they are than the move costs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.moves.move_links import MoveLinks
from lotushill.moves.move_plan import Cause
from lotushill.moves.move_plan import Move
from lotushill.moves.move_plan import copy_seconds
from lotushill.moves.move_plan import outlast_probability
from lotushill.moves.move_plan import plan_move
from lotushill.moves.move_plan import sort_by_urgency
from lotushill.moves.notices import DEFAULT_NOTICE_SECONDS
from lotushill.moves.notices import Notices
from tests.moves.reclaim import ENGINE
from tests.moves.reclaim import NOTICE
from tests.moves.reclaim import RUN
from tests.moves.reclaim import Way
from tests.moves.reclaim import play


class TestMovePlan(unittest.TestCase):
    def test_a_run_that_outlasts_its_upstream_is_moved(self) -> None:
        move = plan_move(RUN, ENGINE)
        assert move is not None
        self.assertEqual(Cause.LEAVING, move.cause)
        self.assertEqual(NOTICE, move.time_limit)

    def test_one_that_ends_long_before_stays(self) -> None:
        self.assertIsNone(plan_move(replace(RUN, expected=12, made=8), ENGINE))

    def test_no_move_costs_more_than_it_saves(self) -> None:
        for tokens in (1_000, 10_000, 40_000, 60_000, 150_000):
            for made in (0, 25, 49):
                move = plan_move(replace(RUN, tokens=tokens, made=made), ENGINE)
                if move is not None:
                    rest = max(RUN.expected - made, 0.3 * made, 1) * RUN.pause
                    self.assertGreater(0.9 * outlast_probability(rest, NOTICE), 2e-5 * tokens)
        self.assertIsNone(plan_move(replace(RUN, tokens=60_000), ENGINE))

    def test_a_copy_that_is_not_done_in_time_is_not_begun(self) -> None:
        slow = replace(ENGINE, link_rate=1e8)
        self.assertGreater(copy_seconds(RUN.tokens, slow, near=False), NOTICE)
        self.assertIsNone(plan_move(RUN, slow))

    def test_past_its_notice_nothing_is_begun_since_it_could_not_go_back(self) -> None:
        self.assertIsNone(plan_move(replace(RUN, leaves_in=0.0), ENGINE))

    def test_a_run_of_which_a_copy_grows_is_moved_only_at_a_lower_price(self) -> None:
        copied = replace(RUN, copied=True)
        self.assertIsNotNone(plan_move(copied, ENGINE))
        self.assertIsNone(plan_move(replace(copied, tokens=9_000), ENGINE))
        self.assertIsNotNone(plan_move(replace(RUN, tokens=9_000), ENGINE))

    def test_one_whose_client_waits_no_longer_than_its_upstream_works_stays(self) -> None:
        late = replace(RUN, leaves_in=20.0, time_left=2.0)
        self.assertIsNone(plan_move(late, ENGINE))

    def test_where_memory_cannot_be_moved_nothing_is(self) -> None:
        self.assertIsNone(plan_move(RUN, replace(ENGINE, link_rate=0.0)))

    def test_a_run_that_may_be_repeated_loses_less(self) -> None:
        once, often = plan_move(RUN, ENGINE), plan_move(replace(RUN, repeatable=True), ENGINE)
        assert once is not None
        assert often is not None
        self.assertLess(often.worth, once.worth)

    def test_a_run_that_stands_still_is_moved_from_an_upstream_that_stays(self) -> None:
        stands = replace(RUN, leaves_in=None, stalled=True)
        move = plan_move(stands, ENGINE)
        assert move is not None
        self.assertEqual(Cause.STALLED, move.cause)
        self.assertIsNone(plan_move(replace(stands, stalled=False), ENGINE))

    def test_one_too_slow_to_end_in_time_is_moved_and_a_slow_one_that_does_is_not(self) -> None:
        slow = replace(RUN, leaves_in=None, pause=0.5, gap=0.0)
        move = plan_move(slow, ENGINE)
        assert move is not None
        self.assertEqual(Cause.SLOW, move.cause)
        self.assertIsNone(plan_move(replace(slow, expected=12, made=8), ENGINE))
        little_slower = replace(slow, pause=0.14, time_left=5.0)
        self.assertIsNone(plan_move(little_slower, ENGINE))

    def test_runs_of_upstreams_that_leave_go_first_and_those_worth_most_before_others(self) -> None:
        moves = {
            "slow": Move(Cause.SLOW, 0.9, 5.0),
            "little": Move(Cause.LEAVING, 0.1, 2.0),
            "much": Move(Cause.LEAVING, 0.8, 2.0),
        }
        order = [name for name, _ in sort_by_urgency(moves.items())]
        self.assertEqual(["much", "little", "slow"], order)


class TestReclaim(unittest.TestCase):
    """A hall's upstreams are taken with two seconds of notice; copies go one after another."""

    def test_under_one_in_twenty_is_cut_of_those_that_could_be_moved(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                without = play(Way.NOTHING, ENGINE, seed)
                result = play(Way.MOVES, ENGINE, seed)
                self.assertEqual(without.outlast, without.cut)
                self.assertLess(result.cut, 0.05 * result.outlast)
                self.assertLess(result.loss, 0.2 * without.loss)

    def test_over_a_narrow_link_what_is_moved_is_moved_in_time(self) -> None:
        narrow = replace(ENGINE, link_rate=ENGINE.link_rate / 100)
        result = play(Way.MOVES, narrow, 1)
        without = play(Way.NOTHING, narrow, 1)
        self.assertLess(result.loss, without.loss)
        self.assertLess(0, result.moved)


class TestNotices(unittest.TestCase):
    def test_the_first_word_counts_and_a_named_time_only_shortens_it(self) -> None:
        notices = Notices()
        self.assertIsNone(notices.seconds_left("a", 0.0))
        notices.note("a", None, 10.0)
        notices.note("a", None, 11.0)
        self.assertAlmostEqual(DEFAULT_NOTICE_SECONDS - 1.0, notices.seconds_left("a", 11.0) or 0.0)
        notices.note("a", 0.4, 11.0)
        self.assertAlmostEqual(0.4, notices.seconds_left("a", 11.0) or 0.0)
        notices.note("a", 9.0, 11.1)
        self.assertAlmostEqual(0.3, notices.seconds_left("a", 11.1) or 0.0)
        self.assertEqual(0.0, notices.seconds_left("a", 20.0))

    def test_lives_that_are_gone_are_forgotten(self) -> None:
        notices = Notices()
        notices.note("a", None, 0.0)
        notices.forget({"b"})
        self.assertIsNone(notices.seconds_left("a", 0.0))


class TestMoveLinks(unittest.TestCase):
    def test_what_would_not_be_done_behind_the_others_is_not_begun(self) -> None:
        links = MoveLinks()
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))
        self.assertFalse(links.try_reserve("a", 0.8, 2.0))
        self.assertTrue(links.try_reserve("b", 0.8, 2.0))
        links.release("a", 0.8)
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))

    def test_few_are_under_way_at_one_upstream(self) -> None:
        links = MoveLinks()
        taken = [links.try_reserve("a", 0.001, 2.0) for _ in range(20)]
        self.assertEqual(4, sum(taken))
        self.assertTrue(links.is_full("a"))
