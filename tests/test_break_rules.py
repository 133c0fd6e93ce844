"""The code that `scripts/break_rules.py` replaces occurs in the sources.

Guards against entries that stay behind when the code they quote changes: their rule could then no
longer be broken, and nothing would show that its tests detect that.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from break_rules import BREAKS

SOURCE = Path(__file__).parents[1] / "src" / "lotushill"


class TestBreaks(unittest.TestCase):
    def test_every_entry_quotes_existing_code(self) -> None:
        missing = [
            item.rule
            for item in BREAKS
            if item.code not in (SOURCE / item.file).read_text(encoding="utf-8")
        ]
        self.assertEqual([], missing)
