"""Conditional edits of the settings tree, safe against concurrent edits and lost answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lotushill.contracts.document import check
from lotushill.contracts.exceptions import EditConflictError
from lotushill.contracts.exceptions import EditRetriesExhaustedError
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import MergeConflictError
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.exceptions import UnknownOutcomeError
from lotushill.contracts.merge import merge
from lotushill.contracts.names import ROOT_NAME
from lotushill.contracts.names import SETTINGS_KIND
from lotushill.contracts.names import display_name
from lotushill.contracts.names import stored_name
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import TeamSettings
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError

if TYPE_CHECKING:
    from lotushill.views.stored_object import ObjectList
    from lotushill.views.stored_object import StoredObject

_MAX_WRITE_ATTEMPTS = 5
ABSENT_REVISION = -1
"""Revision of an object that does not exist."""

EditFunction = Callable[[dict[str, Any]], dict[str, Any]]
"""Maps an object's current data to its new data."""


class Store(Protocol):
    """Calls to the platform's store that an editor makes."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind."""
        ...

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None if it does not exist."""
        ...

    async def create(self, kind: str, name: str, spec: Any) -> object:
        """Create an object that does not exist."""
        ...

    async def replace(self, kind: str, name: str, spec: Any, revision: int | None = None) -> object:
        """Replace an object if it is at a revision."""
        ...


@dataclass(frozen=True)
class StoredDocument:
    """One object of the tree at its current revision."""

    name: str
    revision: int
    data: dict[str, Any]


def check_object(name: str, data: Any) -> None:
    """Raise SettingsError if a document is not valid for the object that its name denotes."""
    check(Root if name == ROOT_NAME else TeamSettings, data, name)


class Editor:
    """Reads and writes the objects of the tree."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def names(self) -> list[str]:
        """Return the names of all objects."""
        object_list = await self._store.list_kind(SETTINGS_KIND)
        return [display_name(item.name) for item in object_list.objects]

    async def read(self, name: str) -> StoredDocument | None:
        """Return an object, None if it does not exist."""
        stored = await self._store.get(SETTINGS_KIND, stored_name(name))
        if stored is None:
            return None
        if not isinstance(stored.spec, dict):
            fault = Fault("(document)", type(stored.spec).__name__, "expected a mapping")
            raise SettingsError(name, (fault,))
        return StoredDocument(name, stored.revision, stored.spec)

    async def apply(self, name: str, wanted: dict[str, Any], base: dict[str, Any] | None) -> int:
        """Set an object to the wanted data; return its revision.

        With the base that was edited, a concurrent edit is merged if the two edits are disjoint.
        Without a base, the object must still be as this call first read it.
        """
        check_object(name, wanted)
        initial = await self.read(name)
        origin = base if base is not None else (initial.data if initial else {})

        def change(data: dict[str, Any]) -> dict[str, Any]:
            return wanted if data == origin else _merge(origin, wanted, data)

        return await self.edit(name, change)

    async def edit(self, name: str, change: EditFunction) -> int:
        """Change an object by a function of its data; return its revision.

        The function is called again on the data that a concurrent edit wrote, and raises
        MergeConflictError if it cannot be applied to them.
        """
        for _ in range(_MAX_WRITE_ATTEMPTS):
            current = await self.read(name)
            data = current.data if current else {}
            revision = current.revision if current else ABSENT_REVISION
            try:
                wanted = change(data)
            except MergeConflictError as error:
                raise EditConflictError(name, revision, error.conflicts) from error
            check_object(name, wanted)
            if current is not None and wanted == data:
                return current.revision
            written = await self._write(name, wanted, revision)
            if written is not None:
                return written
        raise EditRetriesExhaustedError(name)

    async def _write(self, name: str, data: dict[str, Any], revision: int) -> int | None:
        """Write at a revision and return the new one, None if another edit was written first."""
        unanswered: StoreUnavailableError | None = None
        try:
            if revision == ABSENT_REVISION:
                await self._store.create(SETTINGS_KIND, stored_name(name), data)
            else:
                await self._store.replace(SETTINGS_KIND, stored_name(name), data, revision)
        except RevisionConflictError:
            return None
        except StoreUnavailableError as error:
            unanswered = error
        # The answer of a write does not contain the new revision, and may have been lost.
        current = await self.read(name)
        if current is not None and current.data == data:
            return current.revision
        if (
            unanswered is not None
            and (current.revision if current else ABSENT_REVISION) == revision
        ):
            # Not written yet, but the call may still be in transit: only the operator may decide.
            raise UnknownOutcomeError(name) from unanswered
        return None


def _merge(base: dict[str, Any], ours: dict[str, Any], theirs: dict[str, Any]) -> dict[str, Any]:
    merged = merge(base, ours, theirs)
    if merged.conflicts:
        raise MergeConflictError(merged.conflicts)
    return dict(merged.data)
