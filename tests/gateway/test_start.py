"""Libraries that a gateway imports until it serves.

All hosts may restart at once with little processor time. With Pydantic (models of the settings
tree), the Prometheus library and the YAML library imported, a start took 0.42 s of processor time;
without them 0.27 s; a bare interpreter with an event loop and a socket 0.08 s (best of twelve,
alternating).
"""

from __future__ import annotations

import subprocess
import sys
import unittest

LAZY_LIBRARIES = ("pydantic", "pydantic_core", "prometheus_client", "ruamel", "numpy", "matplotlib")
"""Libraries that are imported on first use only."""
_PROGRAM = """
import sys
from lotushill.console.gateway import main
from lotushill.console import program
from lotushill.process.settings_file import check_settings
from lotushill.gateway.gateway import Gateway

address = "127.0.0.1:0"
Gateway(
    check_settings(
        dict(name="g", hall="h", region="r", clients=address, readiness=address,
             peers=address, store="127.0.0.1:1"),
        "test",
    ),
    lambda: None,
)
print(" ".join(sorted({name.partition(".")[0] for name in sys.modules})))
"""


class TestStart(unittest.TestCase):
    def test_libraries_that_serving_does_not_need_are_not_imported(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", _PROGRAM], capture_output=True, text=True, check=True
        )
        loaded = set(done.stdout.split())
        self.assertIn("lotushill", loaded)
        self.assertEqual(set(), loaded & set(LAZY_LIBRARIES))
