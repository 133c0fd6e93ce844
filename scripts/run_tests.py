"""Runs the tests and prints one summary line with their counts at the end.

Tests listed in KNOWN-RED.txt are run and their failures are printed, but do not fail the run.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

from nose2.main import PluggableTestProgram
from tally import Tally

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> frozenset[str]:
    """Return the names of the tests that are known to fail, from KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    names = (line.split(maxsplit=1)[0].rstrip(",") for line in lines if line.strip())
    return frozenset(name for name in names if not name.startswith("#"))


def main() -> int:
    """Run the tests under tests/; return 1 if any failed or none passed."""
    arguments = ["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT), *sys.argv[1:]]
    PluggableTestProgram(argv=arguments, exit=False, module=None, plugins=["tally"])
    red = known_red()
    for name in sorted(Tally.failed & red):
        print(f"known red: {name}")
    for name in sorted(Tally.failed - red):
        print(f"failed: {name}")
    passed = len(Tally.passed - Tally.failed)
    failed = len(Tally.failed - red)
    skipped = f", {len(Tally.skipped)} skipped" if Tally.skipped else ""
    print(f"{passed} passed, {failed} failed{skipped}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    unittest.TestCase.maxDiff = None
    sys.exit(main())
