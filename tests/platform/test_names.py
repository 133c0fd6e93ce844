"""Names of the platform are used in the adapter and the stand-ins only."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "lotushill"
ADAPTER = SOURCE / "platform"
STANDIN = SOURCE / "standin"
PLATFORM_NAMES = re.compile(
    r"Attempt-Id|Target-Instance|Not-Executed|Deadline-Ms|coldRemainingMs|pathPrefix"
    r"|Response-Signature|Prompt-Prefix|Token-Usage|Length-Hint|Request-Priority"
    r"|sinceRev|waitMs|apiKeys|timeoutMs|targetLatencyMs|maxAttempts|kvCapacity",
    re.IGNORECASE,
)


class TestNames(unittest.TestCase):
    def test_no_other_package_contains_platform_names(self) -> None:
        misplaced = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if ADAPTER not in path.parents and STANDIN not in path.parents
            for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], misplaced)

    def test_the_adapter_stays_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in ADAPTER.glob("*.py")
        )
        self.assertLess(lines, 700)
