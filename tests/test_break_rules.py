"""What `scripts/break_rules.py` breaks stands in the code, so that each proof can be shown."""

from __future__ import annotations

import unittest
from pathlib import Path

from break_rules import BREAKS

SOURCE = Path(__file__).parents[1] / "src" / "lotushill"


class TestBreaks(unittest.TestCase):
    def test_each_names_code_that_is_there(self) -> None:
        gone = [
            item.rule
            for item in BREAKS
            if item.code not in (SOURCE / item.file).read_text(encoding="utf-8")
        ]
        self.assertEqual([], gone)
