"""Limits stated by engines hold for all gateways together.

Guards against gateways that ignore the limit in an answer and place requests as before. Four
gateways, each of which had passed the limit on to clients, then sent 14 and 21 requests in 4 s to
two of eight engines with a limit of one per second, where 11 are allowed; nine gateways with nine
engines sent 12 to 15 on a working day. Only the engine knows its capacity, and it rejects nothing.
"""

from __future__ import annotations

import unittest

from tests.soak.light_loop import run_light
from tests.soak.plan import Action
from tests.soak.plan import Step
from tests.soak.soak import Soak

_SEED = 1
_SECONDS = 14.0
_STATED_AT_SECONDS = 1.0


class TestLimits(unittest.TestCase):
    def test_all_gateways_together_keep_to_the_limits_of_two_engines(self) -> None:
        plan = [
            Step(_STATED_AT_SECONDS, Action.LIMIT_ENGINE, engine, 0.0, rate=1.0)
            for engine in (0, 1)
        ]
        result = run_light(Soak(_SEED, _SECONDS, plan=plan).run())
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertEqual(result.served[1], result.served[0])
