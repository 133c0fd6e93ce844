"""Follows the settings tree."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.contracts.names import SETTINGS_KIND
from lotushill.contracts.settings_view import SettingsView
from lotushill.following.followed_objects import FollowedObjects

if TYPE_CHECKING:
    from lotushill.event_log import EventLog


class FollowedSettings(FollowedObjects):
    """Keeps the view of the tree; an object that cannot be parsed keeps its last valid state."""

    def __init__(self, log: EventLog) -> None:
        self.view = SettingsView()
        super().__init__(SETTINGS_KIND, self.view)
        self._log = log

    def report_change(self, source: str) -> None:
        """Log the change and the objects of the tree that cannot be parsed."""
        revision, count = self.view.revision, len(self.view.objects)
        self._log.note("settings.in_force", revision=revision, objects=count, source=source)
        for name, error in self.view.faults.items():
            self._log.note("settings.rejected", object=name, error=str(error), revision=revision)
