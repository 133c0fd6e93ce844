from __future__ import annotations

import unittest

from lotushill.duties.call_health import CallHealth
from lotushill.platform.duty_api import CallEnd


class TestCallHealth(unittest.TestCase):
    def test_single_unanswered_call_does_not_count(self) -> None:
        health = CallHealth()
        health.note(CallEnd.UNANSWERED, 0.0)
        self.assertFalse(health.silent(60.0))

    def test_several_unanswered_calls_count_until_one_is_answered(self) -> None:
        health = CallHealth()
        for began in (0.0, 2.0, 3.5):
            health.note(CallEnd.UNANSWERED, began)
        self.assertFalse(health.silent(3.9))
        self.assertTrue(health.silent(5.0))
        health.note(CallEnd.REFUSED, 5.0)
        self.assertFalse(health.silent(60.0))
