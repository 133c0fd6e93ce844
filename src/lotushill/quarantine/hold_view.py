"""The requests that are held at a revision of the store, as a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from lotushill.quarantine.stored_hold import read_hold

if TYPE_CHECKING:
    from lotushill.quarantine.stored_hold import StoredHold


class HoldView:
    """All holds by identity; a newer revision replaces an older one, never the reverse."""

    def __init__(self) -> None:
        self.revision = -1
        """The store revision that the view reflects; negative before the first update."""
        self.objects: dict[str, Any] = {}
        """The specs of all objects by name, as stored."""
        self.holds: dict[bytes, StoredHold] = {}
        self.faults: dict[str, str] = {}
        """The errors of objects that cannot be read, by name."""

    def replace(self, objects: dict[str, Any], revision: int) -> bool:
        """Replace all objects by those of a newer revision; return whether the view changed."""
        if revision <= self.revision:
            return False
        changed = objects != self.objects
        self.revision = revision
        if changed:
            self._read(objects)
        return changed

    def _read(self, objects: dict[str, Any]) -> None:
        self.objects = objects
        holds_by_name = {name: read_hold(name, spec) for name, spec in objects.items()}
        self.holds = dict(item for item in holds_by_name.values() if item is not None)
        self.faults = {
            name: "is not named by the identity of a request"
            for name, item in holds_by_name.items()
            if item is None
        }
