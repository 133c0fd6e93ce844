"""What all kinds that are followed have in common."""

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
"""The specs of all objects of a kind, by name, as the store has them."""


class FollowedKind(ABC):
    """One kind at the highest revision that was heard of."""

    @property
    @abstractmethod
    def revision(self) -> int:
        """Return the store's revision that is held; below 0 while nothing is known."""

    @abstractmethod
    def watched_kind(self) -> WatchedKind:
        """Return how it is followed at the store."""

    @abstractmethod
    def to_json(self) -> str:
        """Return what is held as JSON, for a peer."""

    @abstractmethod
    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Take what a peer holds if it is newer; any error says that it cannot be read."""


def specs_by_name(listed: ObjectList) -> Specs:
    """Return the specs of a list."""
    return {item.name: item.spec for item in listed.objects}


def apply_changes(specs: Specs, changes: list[Change]) -> Specs:
    """Return specs with changes made."""
    out = dict(specs)
    for change in changes:
        if change.gone:
            out.pop(change.object.name, None)
        else:
            out[change.object.name] = change.object.spec
    return out
