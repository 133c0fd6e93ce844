"""Common interface of all followed kinds."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList
    from lotushill.views.watcher import WatchedKind

FROM_STORE = "store"
FROM_PEER = "peer"

Specs = dict[str, Any]
"""Specs of all objects of a kind by name, as stored."""


class FollowedKind(ABC):
    """Keeps one kind at the highest revision received from the store or from peers."""

    @property
    @abstractmethod
    def revision(self) -> int:
        """Return the store revision of the view; below 0 before the first data."""

    @abstractmethod
    def watched_kind(self) -> WatchedKind:
        """Return how the watcher follows the kind at the store."""

    @abstractmethod
    def to_json(self) -> str:
        """Return the view as JSON for a peer."""

    @abstractmethod
    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Apply a peer's view if it is newer; raise any exception if it cannot be parsed."""


def specs_by_name(listed: ObjectList) -> Specs:
    """Return the specs of a list of objects by name."""
    return {item.name: item.spec for item in listed.objects}


def apply_changes(specs: Specs, changes: list[Change]) -> Specs:
    """Return a copy of the specs with the changes applied."""
    out = dict(specs)
    for change in changes:
        if change.gone:
            out.pop(change.object.name, None)
        else:
            out[change.object.name] = change.object.spec
    return out
