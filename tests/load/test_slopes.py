from __future__ import annotations

import json
import unittest

from lotushill.load.slopes import measure
from lotushill.load.slopes import table
from lotushill.load.slopes import to_json


class TestSlopes(unittest.TestCase):
    def test_each_mechanism_is_measured_and_reported(self) -> None:
        slopes = measure(upstream_counts=(2, 3), repeats=3)
        names = [item.name for item in slopes]
        self.assertEqual(len(names), len(set(names)))
        self.assertIn("choose among 3 upstreams", names)
        self.assertTrue(all(item.microseconds >= 0 for item in slopes))
        self.assertEqual(len(slopes) + 2, len(table(slopes).splitlines()))
        self.assertEqual(names, [item["name"] for item in json.loads(to_json(slopes))])
