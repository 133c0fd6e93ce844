"""Short soak runs; `scripts/soak.py` makes long runs with many seeds."""

from __future__ import annotations

import unittest

from tests.soak.light_loop import run_light
from tests.soak.soak import Soak

_SEED = 1
_SECONDS = 25.0


class TestSoak(unittest.TestCase):
    def test_invariants_hold_under_overlapping_faults(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS, engine_signals=False).run())
        self.assertEqual([], result.faults)
        self.assertEqual([], result.errors)
        self.assertGreater(result.served[0], 0)
        self.assertGreater(result.common_served[0], 0)

    def test_invariants_hold_if_engines_reject_and_leave_and_bodies_vary(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS).run())
        self.assertEqual([], result.faults)
        self.assertEqual([], result.errors)
        self.assertGreater(result.cooldowns, 0)
        self.assertGreater(result.leaving_answers, 0)

    def test_invariants_hold_if_engines_state_limits_that_change_and_end(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS, limits=True).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(len(result.limited_runs), 0)
        self.assertGreater(result.served[0], 0)

    def test_views_are_current_after_open_connections_fell_silent(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS, silences=True).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(result.served[0], 0)

    def test_no_broken_stream_looks_complete_if_most_engines_do_not_frame_them(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS, engine_signals=False, breaks=True).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(result.broken_streams, 0)
        self.assertGreater(result.served[0], 0)

    def test_hardly_any_request_with_a_deadly_part_is_sent_after_the_fifth_crash(
        self,
    ) -> None:
        result = run_light(Soak(_SEED, _SECONDS, engine_signals=False, parts=True).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(result.crashed_by_parts, 0)
        served, sent = result.prompts_served
        self.assertGreaterEqual(served, 0.9 * sent)

    def test_no_stream_goes_on_at_another_version_than_the_one_that_began_it(self) -> None:
        result = run_light(Soak(_SEED, _SECONDS, versions=True).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        versions = result.versions
        self.assertGreater(versions.taken_up, 0)
        self.assertGreaterEqual(versions.went_on_fraction, 0.5 * versions.begun_fraction)
