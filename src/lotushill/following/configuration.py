"""Follows the platform's configuration."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from lotushill.following.followed import FROM_PEER
from lotushill.following.followed import FROM_STORE
from lotushill.following.followed import FollowedKind
from lotushill.platform import names
from lotushill.platform.configuration import parse_table
from lotushill.routing.exceptions import InvalidTableError
from lotushill.views.configuration_view import ConfigurationView
from lotushill.views.watcher import WatchedKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList

_WATCH_INTERVAL_SECONDS = 0.05


class FollowedConfiguration(FollowedKind):
    """Keeps the newest valid configuration in force."""

    def __init__(
        self, log: EventLog, on_change: Callable[[], None], may_start: Callable[[], bool]
    ) -> None:
        """Call `on_change` after each change; read the store once `may_start` returns True."""
        self.view = ConfigurationView()
        self._log = log
        self._on_change = on_change
        self._may_start = may_start
        self._text = ""
        self._rejected_revision = -1
        """Revision of the last configuration that could not be parsed."""

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in force."""
        return self.view.revision

    def watched_kind(self) -> WatchedKind:
        """Return how the watcher follows the configuration at the store."""
        return WatchedKind(
            names.CONFIGURATION_KIND,
            self._on_list,
            self._on_changes,
            lambda: self.revision,
            _WATCH_INTERVAL_SECONDS,
            may_start=self._may_start,
        )

    def to_json(self) -> str:
        """Return the configuration in force as JSON."""
        return self._text

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Put a peer's configuration in force if it is newer."""
        self._apply(value, revision, FROM_PEER)

    def _on_list(self, listed: ObjectList) -> None:
        for item in listed.objects:
            if item.name == names.CONFIGURATION_NAME:
                self._apply(item.spec, item.revision, FROM_STORE)

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        del revision
        for change in changes:
            if change.object.name == names.CONFIGURATION_NAME and not change.gone:
                self._apply(change.object.spec, change.object.revision, FROM_STORE)

    def _apply(self, spec: Any, revision: int, source: str) -> None:
        if revision <= max(self.revision, self._rejected_revision):
            return
        try:
            table = parse_table(spec)
        except InvalidTableError as error:
            self._rejected_revision = revision
            self._log.note("configuration.rejected", revision=revision, error=str(error))
            return
        if self.view.replace(table, revision):
            self._text = json.dumps(spec)
            self._log.note(
                "configuration.in_force", revision=revision, version=table.version, source=source
            )
            self._on_change()
