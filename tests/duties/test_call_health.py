from __future__ import annotations

import unittest

from lotushill.duties.call_health import CallHealth
from lotushill.platform.duty_api import CallOutcome


class TestCallHealth(unittest.TestCase):
    def test_single_calls_without_an_answer_say_nothing(self) -> None:
        health = CallHealth()
        health.note(CallOutcome.UNANSWERED, 0.0)
        self.assertFalse(health.silent(60.0))

    def test_several_over_some_seconds_do_and_one_answer_ends_it(self) -> None:
        health = CallHealth()
        for began in (0.0, 2.0, 3.5):
            health.note(CallOutcome.UNANSWERED, began)
        self.assertFalse(health.silent(3.9))
        self.assertTrue(health.silent(5.0))
        health.note(CallOutcome.REFUSED, 5.0)
        self.assertFalse(health.silent(60.0))
