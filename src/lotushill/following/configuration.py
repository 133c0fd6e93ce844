"""The platform's configuration, followed."""

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

_INTERVAL_SECONDS = 0.05


class FollowedConfiguration(FollowedKind):
    """The newest configuration that can be read is in force."""

    def __init__(
        self, log: EventLog, on_change: Callable[[], None], may_start: Callable[[], bool]
    ) -> None:
        """Call `on_change` when another one is in force; read the store once `may_start` says."""
        self.view = ConfigurationView()
        self._log = log
        self._on_change = on_change
        self._may_start = may_start
        self._text = ""
        self._rejected = -1
        """Revision of the last one that could not be read."""

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.view.revision

    def watched_kind(self) -> WatchedKind:
        """Return how it is followed at the store."""
        return WatchedKind(
            names.CONFIGURATION_KIND,
            self._on_list,
            self._on_changes,
            lambda: self.revision,
            _INTERVAL_SECONDS,
            may_start=self._may_start,
        )

    def to_json(self) -> str:
        """Return the configuration in force."""
        return self._text

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Take a peer's."""
        self._take(value, revision, FROM_PEER)

    def _on_list(self, listed: ObjectList) -> None:
        for item in listed.objects:
            if item.name == names.CONFIGURATION_NAME:
                self._take(item.spec, item.revision, FROM_STORE)

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        del revision
        for change in changes:
            if change.object.name == names.CONFIGURATION_NAME and not change.gone:
                self._take(change.object.spec, change.object.revision, FROM_STORE)

    def _take(self, spec: Any, revision: int, source: str) -> None:
        if revision <= max(self.revision, self._rejected):
            return
        try:
            table = parse_table(spec)
        except InvalidTableError as error:
            self._rejected = revision
            self._log.note("configuration.rejected", revision=revision, error=str(error))
            return
        if self.view.replace(table, revision):
            self._text = json.dumps(spec)
            self._log.note(
                "configuration.in_force", revision=revision, version=table.version, source=source
            )
            self._on_change()
