"""Engines that say that they are brittle are not sent more than they have room for.

The failure: nothing read the statement. Under overload each gateway sent requests to full engines,
which rejected them, and fell over where all gateways together made them reject too many.
"""

from __future__ import annotations

import unittest

from tests.soak.brittle_run import BEARABLE_PER_SECOND
from tests.soak.brittle_run import ENGINE_COUNT
from tests.soak.brittle_run import run_brittle

_OVERLOAD = 2.2
"""Requested rate relative to what the engines bear."""
_SECONDS = 16.0
_MAX_FALLS = 2 + 0.1 * ENGINE_COUNT


class TestBrittle(unittest.IsolatedAsyncioTestCase):
    async def test_overloaded_engines_that_are_brittle_do_not_fall_over(self) -> None:
        result = await run_brittle(_OVERLOAD * BEARABLE_PER_SECOND, _SECONDS)
        self.assertEqual([], result.errors)
        self.assertLessEqual(result.falls, _MAX_FALLS, result)
        self.assertGreater(result.work_fraction, 0.5, result)
