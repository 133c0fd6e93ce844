"""A followed kind whose objects are all kept as stored, and change rarely."""

from __future__ import annotations

import json
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lotushill.following.followed import FROM_PEER
from lotushill.following.followed import FROM_STORE
from lotushill.following.followed import FollowedKind
from lotushill.following.followed import Specs
from lotushill.following.followed import apply_changes
from lotushill.following.followed import specs_by_name
from lotushill.views.watcher import WatchedKind

if TYPE_CHECKING:
    from lotushill.views.stored_object import Change

_WATCH_INTERVAL_SECONDS = 0.5
_MAX_WATCH_SECONDS = 25.0
"""Maximum duration of one watch.

Changes arrive as soon as they are made; only a connection that was lost without notice is detected
later than with shorter watches.
"""


class ObjectsView(Protocol):
    """View that holds all objects of a kind as of a revision."""

    revision: int

    @property
    def objects(self) -> Specs:
        """Return the specs of all objects by name."""
        ...

    def replace(self, objects: Specs, revision: int) -> bool:
        """Replace all objects by those of a newer revision; return whether the view changed."""
        ...


class FollowedObjects(FollowedKind):
    """Keeps the view of one kind up to date."""

    def __init__(self, kind: str, view: ObjectsView) -> None:
        self._kind = kind
        self._objects_view = view

    @property
    def revision(self) -> int:
        """Return the revision of the view."""
        return self._objects_view.revision

    def watched_kind(self) -> WatchedKind:
        """Return how the watcher follows the kind at the store."""
        return WatchedKind(
            self._kind,
            lambda listed: self._apply(specs_by_name(listed), listed.revision, FROM_STORE),
            self._on_changes,
            lambda: self.revision,
            _WATCH_INTERVAL_SECONDS,
            _MAX_WATCH_SECONDS,
        )

    def to_json(self) -> str:
        """Return all objects as JSON."""
        return json.dumps(self._objects_view.objects)

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Replace the view by a peer's if that is newer."""
        self._apply(dict(value), revision, FROM_PEER)

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        self._apply(apply_changes(self._objects_view.objects, changes), revision, FROM_STORE)

    def _apply(self, specs: Specs, revision: int, source: str) -> None:
        if self._objects_view.replace(specs, revision):
            self.report_change(source)

    @abstractmethod
    def report_change(self, source: str) -> None:
        """Log and report a changed view, which came from `source`."""
