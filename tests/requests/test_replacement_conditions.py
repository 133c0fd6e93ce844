from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.availability.replacement_conditions import ReplacementConditions
from lotushill.availability.replacement_conditions import replacement_obstacle

_MET = ReplacementConditions(
    repeatable=True,
    has_memory_elsewhere=False,
    can_continue=True,
    runs=1,
    max_attempts=2,
    fails_upstreams=False,
    refusals=0,
)


class TestReplacementConditions(unittest.TestCase):
    def test_nothing_prevents_a_replacement_if_all_conditions_are_met(self) -> None:
        self.assertEqual("", replacement_obstacle(_MET))

    def test_each_condition_alone_prevents_a_replacement(self) -> None:
        for changed in (
            replace(_MET, repeatable=False),
            replace(_MET, can_continue=False),
            replace(_MET, runs=2),
            replace(_MET, fails_upstreams=True),
            replace(_MET, refusals=3),
        ):
            with self.subTest(conditions=changed):
                self.assertNotEqual("", replacement_obstacle(changed))

    def test_the_same_run_continues_at_its_backup_whatever_its_route_allows(self) -> None:
        conditions = replace(_MET, repeatable=False, has_memory_elsewhere=True, max_attempts=1)
        self.assertEqual("", replacement_obstacle(conditions))
