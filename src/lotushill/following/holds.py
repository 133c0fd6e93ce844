"""Follows the held requests.

Gateways send each other upstream failures directly and at once; the store is for holds that must
persist, and for releases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.following.followed_objects import FollowedObjects
from lotushill.quarantine.hold_view import HoldView
from lotushill.quarantine.stored_hold import KIND
from lotushill.views.entry_faults import EntryFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog


class FollowedHolds(FollowedObjects):
    """Keeps the view of all holds in the store."""

    def __init__(self, log: EventLog, on_change: Callable[[], None]) -> None:
        """Call `on_change` when the set of holds changes."""
        self.view = HoldView()
        super().__init__(KIND, self.view)
        self.faults = EntryFaults(KIND, log)
        self._log = log
        self._on_change = on_change

    def report_change(self, source: str) -> None:
        """Log the change and the objects that are not valid holds, then call back."""
        revision, count = self.view.revision, len(self.view.objects)
        self.faults.replace(self.view.faults, revision)
        self._log.note("holds.in_force", revision=revision, objects=count, source=source)
        self._on_change()
