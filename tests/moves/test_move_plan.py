"""Tests which runs are moved: those that would lose more without the move than it costs."""

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
from tests.moves.reclaim import BASE_RUN
from tests.moves.reclaim import ENGINE
from tests.moves.reclaim import NOTICE_SECONDS
from tests.moves.reclaim import Strategy
from tests.moves.reclaim import simulate


class TestMovePlan(unittest.TestCase):
    def test_a_run_that_outlasts_its_upstream_is_moved(self) -> None:
        move = plan_move(BASE_RUN, ENGINE)
        assert move is not None
        self.assertEqual(Cause.LEAVING, move.cause)
        self.assertEqual(NOTICE_SECONDS, move.time_limit)

    def test_a_run_that_ends_long_before_its_upstream_is_not_moved(self) -> None:
        self.assertIsNone(
            plan_move(replace(BASE_RUN, expected_events=12, events_produced=8), ENGINE)
        )

    def test_no_move_costs_more_than_it_saves(self) -> None:
        for tokens in (1_000, 10_000, 40_000, 60_000, 150_000):
            for made in (0, 25, 49):
                move = plan_move(replace(BASE_RUN, tokens=tokens, events_produced=made), ENGINE)
                if move is not None:
                    seconds = (
                        max(BASE_RUN.expected_events - made, 0.3 * made, 1) * BASE_RUN.mean_pause
                    )
                    self.assertGreater(
                        0.9 * outlast_probability(seconds, NOTICE_SECONDS), 2e-5 * tokens
                    )
        self.assertIsNone(plan_move(replace(BASE_RUN, tokens=60_000), ENGINE))

    def test_a_run_that_was_moved_before_is_not_moved_again_for_slowness(self) -> None:
        """Two upstreams that slow down in turn would otherwise exchange the same run repeatedly."""
        slow = replace(BASE_RUN, leaves_in=None, mean_pause=0.5, typical_pause=0.05, time_left=8.0)
        move = plan_move(slow, ENGINE)
        assert move is not None
        self.assertEqual(Cause.SLOW, move.cause)
        self.assertIsNone(plan_move(replace(slow, was_moved=True), ENGINE))
        leaving = plan_move(replace(BASE_RUN, was_moved=True), ENGINE)
        assert leaving is not None
        self.assertEqual(Cause.LEAVING, leaving.cause)

    def test_a_copy_that_would_not_be_done_in_time_is_not_started(self) -> None:
        slow = replace(ENGINE, link_rate=1e8)
        self.assertGreater(copy_seconds(BASE_RUN.tokens, slow, same_hall=False), NOTICE_SECONDS)
        self.assertIsNone(plan_move(BASE_RUN, slow))

    def test_after_the_notice_no_move_is_started_since_the_run_could_not_return(self) -> None:
        self.assertIsNone(plan_move(replace(BASE_RUN, leaves_in=0.0), ENGINE))

    def test_a_run_with_a_backup_copy_is_moved_only_at_a_lower_cost(self) -> None:
        backed_up = replace(BASE_RUN, has_backup=True)
        self.assertIsNotNone(plan_move(backed_up, ENGINE))
        self.assertIsNone(plan_move(replace(backed_up, tokens=9_000), ENGINE))
        self.assertIsNotNone(plan_move(replace(BASE_RUN, tokens=9_000), ENGINE))

    def test_a_run_whose_client_deadline_is_before_the_end_of_its_upstream_is_not_moved(
        self,
    ) -> None:
        late = replace(BASE_RUN, leaves_in=20.0, time_left=2.0)
        self.assertIsNone(plan_move(late, ENGINE))

    def test_without_a_link_between_engines_nothing_is_moved(self) -> None:
        self.assertIsNone(plan_move(BASE_RUN, replace(ENGINE, link_rate=0.0)))

    def test_a_repeatable_run_has_less_to_gain_from_a_move(self) -> None:
        once, often = (
            plan_move(BASE_RUN, ENGINE),
            plan_move(replace(BASE_RUN, repeatable=True), ENGINE),
        )
        assert once is not None
        assert often is not None
        self.assertLess(often.worth, once.worth)

    def test_a_stalled_run_is_moved_from_an_upstream_that_stays(self) -> None:
        stalled = replace(BASE_RUN, leaves_in=None, stalled=True)
        move = plan_move(stalled, ENGINE)
        assert move is not None
        self.assertEqual(Cause.STALLED, move.cause)
        self.assertIsNone(plan_move(replace(stalled, stalled=False), ENGINE))

    def test_a_run_too_slow_to_end_in_time_is_moved_and_a_slow_one_in_time_is_not(self) -> None:
        slow = replace(BASE_RUN, leaves_in=None, mean_pause=0.5, target_gap=0.0)
        move = plan_move(slow, ENGINE)
        assert move is not None
        self.assertEqual(Cause.SLOW, move.cause)
        self.assertIsNone(plan_move(replace(slow, expected_events=12, events_produced=8), ENGINE))
        slightly_slower = replace(slow, mean_pause=0.14, time_left=5.0)
        self.assertIsNone(plan_move(slightly_slower, ENGINE))

    def test_runs_of_leaving_upstreams_go_first_and_those_worth_most_before_others(self) -> None:
        moves = {
            "slow": Move(Cause.SLOW, 0.9, 5.0),
            "little": Move(Cause.LEAVING, 0.1, 2.0),
            "much": Move(Cause.LEAVING, 0.8, 2.0),
        }
        order = [name for name, _ in sort_by_urgency(moves.items())]
        self.assertEqual(["much", "little", "slow"], order)


class TestReclaim(unittest.TestCase):
    """The upstreams of a hall leave with two seconds of notice; copies go one after another."""

    def test_fewer_than_one_in_twenty_movable_runs_are_cut_off(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                without_moves = simulate(Strategy.NONE, ENGINE, seed)
                result = simulate(Strategy.MOVES, ENGINE, seed)
                self.assertEqual(without_moves.outlast, without_moves.cut)
                self.assertLess(result.cut, 0.05 * result.outlast)
                self.assertLess(result.loss, 0.2 * without_moves.loss)

    def test_over_a_slow_link_moves_still_reduce_the_loss(self) -> None:
        slow_link = replace(ENGINE, link_rate=ENGINE.link_rate / 100)
        result = simulate(Strategy.MOVES, slow_link, 1)
        without_moves = simulate(Strategy.NONE, slow_link, 1)
        self.assertLess(result.loss, without_moves.loss)
        self.assertLess(0, result.moved)


class TestNotices(unittest.TestCase):
    def test_the_first_notice_counts_and_a_stated_time_only_shortens_it(self) -> None:
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

    def test_unknown_incarnations_are_dropped(self) -> None:
        notices = Notices()
        notices.note("a", None, 0.0)
        notices.retain_only({"b"})
        self.assertIsNone(notices.seconds_left("a", 0.0))


class TestMoveLinks(unittest.TestCase):
    def test_a_copy_that_would_not_be_done_behind_the_others_is_not_started(self) -> None:
        links = MoveLinks()
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))
        self.assertFalse(links.try_reserve("a", 0.8, 2.0))
        self.assertTrue(links.try_reserve("b", 0.8, 2.0))
        links.release("a", 0.8)
        self.assertTrue(links.try_reserve("a", 0.8, 2.0))

    def test_few_moves_are_in_flight_at_one_upstream(self) -> None:
        links = MoveLinks()
        taken = [links.try_reserve("a", 0.001, 2.0) for _ in range(20)]
        self.assertEqual(4, sum(taken))
        self.assertTrue(links.is_full("a"))
