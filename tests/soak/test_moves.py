"""Runs are moved under faults of their moves, and no gateway gives up a sound run.

Guards against gateways that stop a run, or close its stream, before its continuation is certain:
an engine that refused to stop a run lost it, and so did one refusal, failure or reset of the first
request with its handle.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.soak.configuration import MovesOptions
from tests.soak.light_loop import run_light
from tests.soak.soak import Soak

if TYPE_CHECKING:
    from tests.soak.result import Result

_SEED = 5
_SECONDS = 22.0
_MIN_STOPPED_RUNS = 10


class TestMoves(unittest.TestCase):
    def assert_sound(self, result: Result) -> None:
        """Assert that nothing is wrong, and that runs were stopped, continued and disturbed."""
        self.assertEqual(([], []), (result.faults, result.errors), result.traces)
        moves = result.moves
        self.assertGreater(moves.stopped, _MIN_STOPPED_RUNS)
        self.assertGreater(moves.continued + moves.returned, _MIN_STOPPED_RUNS)
        self.assertGreater(moves.whole, moves.stopped)
        self.assertGreater(moves.faults.total(), 0)

    def test_no_sound_run_is_given_up_while_engines_leave_and_calls_fail(self) -> None:
        mild = MovesOptions(late_stops=False, patient=True)
        self.assert_sound(run_light(Soak(_SEED, _SECONDS, moves=mild).run()))
