"""Nearly all new connections go to one gateway, which has too little processor time for them.

It accepts and reads everything, so that each request waits behind all others, and is worked on when
its client's deadline has passed, while idle gateways stand beside it.
"""

from __future__ import annotations

import unittest

from tests.soak.funnel_run import run_funnel
from tests.soak.light_loop import run_light

_MIN_SERVED_RATIO = 0.75
"""Least fraction served while most new connections go to one gateway, relative to before."""


class TestFunnel(unittest.TestCase):
    def test_requests_are_served_while_most_connections_go_to_a_slow_gateway(self) -> None:
        result = run_light(run_funnel())
        self.assertEqual([], result.errors)
        self.assertGreaterEqual(result.served_ratio, _MIN_SERVED_RATIO, result)
