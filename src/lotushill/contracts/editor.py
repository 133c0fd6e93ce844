"""Conditional edits of the settings tree, safe against races and lost answers."""

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

_TRIES = 5
ABSENT = -1
"""Revision of an object that is not there."""

EditFunction = Callable[[dict[str, Any]], dict[str, Any]]
"""From an object's data to what it should be."""


class Store(Protocol):
    """The calls to the platform's store that an editor makes."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind."""
        ...

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None if there is none."""
        ...

    async def create(self, kind: str, name: str, spec: Any) -> object:
        """Make an object that is not there."""
        ...

    async def replace(self, kind: str, name: str, spec: Any, revision: int | None = None) -> object:
        """Replace an object at a revision."""
        ...


@dataclass(frozen=True)
class StoredDocument:
    """One object of the tree as it stands."""

    name: str
    revision: int
    data: dict[str, Any]


def check_object(name: str, data: Any) -> None:
    """Raise SettingsError if a document is not what its name says."""
    check(Root if name == ROOT_NAME else TeamSettings, data, name)


class Editor:
    """Reads and writes the objects of the tree."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def names(self) -> list[str]:
        """Return the names of all objects."""
        listed = await self._store.list_kind(SETTINGS_KIND)
        return [display_name(item.name) for item in listed.objects]

    async def read(self, name: str) -> StoredDocument | None:
        """Return an object, or None if there is none."""
        stored = await self._store.get(SETTINGS_KIND, stored_name(name))
        if stored is None:
            return None
        if not isinstance(stored.spec, dict):
            fault = Fault("(document)", type(stored.spec).__name__, "is no mapping")
            raise SettingsError(name, (fault,))
        return StoredDocument(name, stored.revision, stored.spec)

    async def apply(self, name: str, wanted: dict[str, Any], base: dict[str, Any] | None) -> int:
        """Bring an object to what is wanted; return its revision.

        With the base that was edited, a race is merged if the edits are disjoint. Without, the
        object must still be as it was when this call first read it.
        """
        check_object(name, wanted)
        first = await self.read(name)
        origin = base if base is not None else (first.data if first else {})

        def change(data: dict[str, Any]) -> dict[str, Any]:
            return wanted if data == origin else _merge(origin, wanted, data)

        return await self.edit(name, change)

    async def edit(self, name: str, change: EditFunction) -> int:
        """Change an object by a function of its data; return its revision.

        The function is called again on whatever a racing edit left, and raises MergeClashError
        if it cannot be applied there.
        """
        for _ in range(_TRIES):
            held = await self.read(name)
            data = held.data if held else {}
            revision = held.revision if held else ABSENT
            try:
                wanted = change(data)
            except MergeConflictError as error:
                raise EditConflictError(name, revision, error.conflicts) from error
            check_object(name, wanted)
            if held is not None and wanted == data:
                return held.revision
            written = await self._write(name, wanted, revision)
            if written is not None:
                return written
        raise EditRetriesExhaustedError(name)

    async def _write(self, name: str, data: dict[str, Any], revision: int) -> int | None:
        """Write at a revision and return the new one, None if another edit came first."""
        lost: StoreUnavailableError | None = None
        try:
            if revision == ABSENT:
                await self._store.create(SETTINGS_KIND, stored_name(name), data)
            else:
                await self._store.replace(SETTINGS_KIND, stored_name(name), data, revision)
        except RevisionConflictError:
            return None
        except StoreUnavailableError as error:
            lost = error
        # The answer of a write says nothing of the new revision, and may have been lost.
        held = await self.read(name)
        if held is not None and held.data == data:
            return held.revision
        if lost is not None and (held.revision if held else ABSENT) == revision:
            # Not there yet, though it may still be on its way: only the operator may decide.
            raise UnknownOutcomeError(name) from lost
        return None


def _merge(base: dict[str, Any], ours: dict[str, Any], theirs: dict[str, Any]) -> dict[str, Any]:
    merged = merge(base, ours, theirs)
    if merged.conflicts:
        raise MergeConflictError(merged.conflicts)
    return dict(merged.data)
