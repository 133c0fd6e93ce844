"""Engines named a limit for all gateways together, and got many times as much.

Nothing read what the answers said: requests were placed as before, by four gateways that had each
passed the limit on. At a limit of one a second two engines of eight got 14 and 21 requests in 4 s,
where 11 may be; with nine gateways before nine engines on a working day it was 12 to 15. The
engine alone knows what it bears, and nobody else says it: it turns nothing away.
"""

from __future__ import annotations

import unittest

from tests.soak.plan import Deed
from tests.soak.plan import Step
from tests.soak.soak import Soak

_SEED = 1
_SECONDS = 14.0
_NAMED_AT = 1.0


class TestLimits(unittest.IsolatedAsyncioTestCase):
    async def test_all_gateways_together_keep_to_the_limits_of_two_engines(self) -> None:
        plan = [Step(_NAMED_AT, Deed.LIMIT_ENGINE, engine, 0.0, rate=1.0) for engine in (0, 1)]
        result = await Soak(_SEED, _SECONDS, plan=plan).run()
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertEqual(result.served[1], result.served[0])
