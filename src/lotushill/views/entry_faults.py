"""Objects of the store that could not be parsed; each fault is logged once, until it changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.event_log import EventLog

_MAX_LINES_PER_REVISION = 20
"""Maximum log lines per revision; one more line states how many faults were left out."""


class EntryFaults:
    """Holds and logs the current faults of the objects of one kind, by object name."""

    def __init__(self, kind: str, log: EventLog) -> None:
        self._kind = kind
        self._log = log
        self.current: Mapping[str, str] = {}
        self.total_count = 0
        """Number of faults found so far; a fault that persists is counted once."""

    def replace(self, faults: Mapping[str, str], revision: int) -> None:
        """Replace all faults by those of a revision, and log the new ones."""
        new_faults = {name: why for name, why in faults.items() if self.current.get(name) != why}
        self.current = dict(faults)
        self.total_count += len(new_faults)
        for name, why in list(new_faults.items())[:_MAX_LINES_PER_REVISION]:
            self._log.note(
                "entry.ignored", kind=self._kind, object=name, error=why, revision=revision
            )
        if len(new_faults) > _MAX_LINES_PER_REVISION:
            self._log.note(
                "entry.ignored", kind=self._kind, more=len(new_faults) - _MAX_LINES_PER_REVISION
            )
