from __future__ import annotations

import unittest

from lotushill.duties.call_health import CallHealth
from lotushill.platform.duty_api import CallOutcome


class TestCallHealth(unittest.TestCase):
    def test_single_unanswered_call_does_not_count(self) -> None:
        health = CallHealth()
        health.record(CallOutcome.UNANSWERED, 0.0)
        self.assertFalse(health.is_unresponsive(60.0))

    def test_several_unanswered_calls_count_until_one_is_answered(self) -> None:
        health = CallHealth()
        for started_at in (0.0, 2.0, 3.5):
            health.record(CallOutcome.UNANSWERED, started_at)
        self.assertFalse(health.is_unresponsive(3.9))
        self.assertTrue(health.is_unresponsive(5.0))
        health.record(CallOutcome.REFUSED, 5.0)
        self.assertFalse(health.is_unresponsive(60.0))
