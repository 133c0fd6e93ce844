"""The settings tree, followed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.contracts.names import SETTINGS_KIND
from lotushill.contracts.settings_view import SettingsView
from lotushill.following.followed_objects import FollowedObjects

if TYPE_CHECKING:
    from lotushill.event_log import EventLog


class FollowedSettings(FollowedObjects):
    """All objects of the tree; one that cannot be read keeps its last good state."""

    def __init__(self, log: EventLog) -> None:
        self.view = SettingsView()
        super().__init__(SETTINGS_KIND, self.view)
        self._log = log

    def report_change(self, source: str) -> None:
        """Tell of another tree, and of what in it cannot be read."""
        revision, count = self.view.revision, len(self.view.objects)
        self._log.note("settings.in_force", revision=revision, objects=count, source=source)
        for name, error in self.view.faults.items():
            self._log.note("settings.rejected", object=name, error=str(error), revision=revision)
