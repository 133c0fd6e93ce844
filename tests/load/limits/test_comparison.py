from __future__ import annotations

import unittest

from lotushill.load.limits.comparison import compare
from lotushill.load.limits.comparison import table
from lotushill.load.limits.schemes import SCHEMES


class TestComparison(unittest.TestCase):
    def test_each_scheme_has_a_line(self) -> None:
        rows = compare([3], [4.0], processes=1)
        self.assertEqual(list(SCHEMES), [row.play.scheme for row in rows])
        lines = table(rows).splitlines()
        self.assertEqual(3, len(lines))
        self.assertIn("3 gateways      4 a second  permits  most in 4 s", lines[0])
