"""Objects of the store that could not be read: each is told of once, until it changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.event_log import EventLog

_MOST_LINES = 20
"""Of one reading; how many more there are is told in one line."""


class EntryFaults:
    """What is wrong with objects of one kind, by name."""

    def __init__(self, kind: str, log: EventLog) -> None:
        self._kind = kind
        self._log = log
        self.current: Mapping[str, str] = {}
        self.total_count = 0
        """Faults that were found so far, one that stands counted once."""

    def replace(self, faults: Mapping[str, str], revision: int) -> None:
        """Take all faults as of a revision."""
        news = {name: why for name, why in faults.items() if self.current.get(name) != why}
        self.current = dict(faults)
        self.total_count += len(news)
        for name, why in list(news.items())[:_MOST_LINES]:
            self._log.note(
                "entry.ignored", kind=self._kind, object=name, error=why, revision=revision
            )
        if len(news) > _MOST_LINES:
            self._log.note("entry.ignored", kind=self._kind, more=len(news) - _MOST_LINES)
