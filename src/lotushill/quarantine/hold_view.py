"""The requests that are held, as of a revision of the store; a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from lotushill.quarantine.stored_hold import read_hold

if TYPE_CHECKING:
    from lotushill.quarantine.stored_hold import StoredHold


class HoldView:
    """All holds by identity; a newer revision replaces an older one and never the reverse."""

    def __init__(self) -> None:
        self.revision = -1
        """The store's revision that the view stands at; below 0 while nothing is known."""
        self.objects: dict[str, Any] = {}
        """The specs of all objects by name, as the store has them."""
        self.holds: dict[bytes, StoredHold] = {}
        self.faults: dict[str, str] = {}
        """What is wrong with objects that say nothing, by name."""

    def replace(self, objects: dict[str, Any], revision: int) -> bool:
        """Take all objects of a newer revision; return whether the view is another now."""
        if revision <= self.revision:
            return False
        changed = objects != self.objects
        self.revision = revision
        if changed:
            self._read(objects)
        return changed

    def _read(self, objects: dict[str, Any]) -> None:
        self.objects = objects
        found = {name: read_hold(name, spec) for name, spec in objects.items()}
        self.holds = dict(item for item in found.values() if item is not None)
        self.faults = {name: "is no hold" for name, item in found.items() if item is None}
