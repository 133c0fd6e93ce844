"""Short soak runs; `scripts/soak.py` makes long runs with many seeds."""

from __future__ import annotations

import unittest

from tests.soak.soak import Soak

_SEED = 1
_SECONDS = 25.0


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken_through_faults_that_overlap(self) -> None:
        result = await Soak(_SEED, _SECONDS, words=False).run()
        self.assertEqual([], result.faults)
        self.assertEqual([], result.errors)
        self.assertGreater(result.served[0], 0)
        self.assertGreater(result.common_served[0], 0)

    async def test_nor_where_engines_shed_and_leave_and_bodies_differ(self) -> None:
        result = await Soak(_SEED, _SECONDS).run()
        self.assertEqual([], result.faults)
        self.assertEqual([], result.errors)
        self.assertGreater(result.rests, 0)
        self.assertGreater(result.leavings, 0)

    async def test_nor_where_engines_name_limits_that_change_and_end(self) -> None:
        result = await Soak(_SEED, _SECONDS, limits=True).run()
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(len(result.limited_runs), 0)
        self.assertGreater(result.served[0], 0)
