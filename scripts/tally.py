"""A nose2 plugin that records the outcome of each test."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin


class Tally(Plugin):  # type: ignore[misc]
    """Collects test ids by outcome."""

    configSection = "tally"  # noqa: N815
    alwaysOn = True  # noqa: N815

    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Record one outcome; an expected failure that passes counts as failed."""
        name = event.test.id().partition(" ")[0]
        if event.outcome == "subtest":
            if event.exc_info:
                self.failed.add(name)
            return
        if event.outcome == "skipped":
            self.skipped.add(name)
        elif event.expected:
            self.passed.add(name)
        else:
            self.failed.add(name)
