"""A kind whose objects are all held as they are, and change seldom."""

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

_INTERVAL_SECONDS = 0.5
_WATCH_SECONDS = 25.0
"""Changes come as soon as they are made; only a silent cut is noticed later."""


class ObjectsView(Protocol):
    """Holds all objects of a kind as of a revision."""

    revision: int

    @property
    def objects(self) -> Specs:
        """Return the specs of all objects by name."""
        ...

    def replace(self, objects: Specs, revision: int) -> bool:
        """Take all objects of a newer revision; return whether the view is another now."""
        ...


class FollowedObjects(FollowedKind):
    """Follows one kind into a view."""

    def __init__(self, kind: str, view: ObjectsView) -> None:
        self._kind = kind
        self._objects = view

    @property
    def revision(self) -> int:
        """Return the revision that is held."""
        return self._objects.revision

    def watched_kind(self) -> WatchedKind:
        """Return how it is followed at the store."""
        return WatchedKind(
            self._kind,
            lambda listed: self._take(specs_by_name(listed), listed.revision, FROM_STORE),
            self._on_changes,
            lambda: self.revision,
            _INTERVAL_SECONDS,
            _WATCH_SECONDS,
        )

    def to_json(self) -> str:
        """Return all objects."""
        return json.dumps(self._objects.objects)

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Take a peer's."""
        self._take(dict(value), revision, FROM_PEER)

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        self._take(apply_changes(self._objects.objects, changes), revision, FROM_STORE)

    def _take(self, specs: Specs, revision: int, source: str) -> None:
        if self._objects.replace(specs, revision):
            self.report_change(source)

    @abstractmethod
    def report_change(self, source: str) -> None:
        """Tell of another view, which came from `source`."""
