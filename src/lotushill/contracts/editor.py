"""Conditional edits of the desired settings, safe against races and lost answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from lotushill.contracts.document import check
from lotushill.contracts.document import parse
from lotushill.contracts.document import write
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.generation import DESIRED_PREFIX
from lotushill.contracts.generation import ROOT_NAME
from lotushill.contracts.generation import TEAM_PREFIX
from lotushill.contracts.merge import Clash
from lotushill.contracts.merge import merge
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team
from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.objectapi.objects import ABSENT

if TYPE_CHECKING:
    from lotushill.objectapi.objects import ObjectApi

_TRIES = 5

Change = Callable[[dict[str, Any]], dict[str, Any]]


@dataclass(frozen=True)
class Held:
    """One desired object as it stands."""

    name: str
    version: int
    data: dict[str, Any]


class ClashError(Exception):
    """A change that cannot be made on top of what another edit left."""

    def __init__(self, clashes: tuple[Clash, ...]) -> None:
        self.clashes = clashes
        super().__init__("; ".join(str(clash) for clash in clashes))


class EditConflictError(Exception):
    """Another edit changed the same values; both sides are shown."""

    def __init__(self, name: str, version: int, clashes: tuple[Clash, ...]) -> None:
        self.name = name
        self.version = version
        self.clashes = clashes
        shown = "; ".join(str(clash) for clash in clashes)
        super().__init__(f"{name} is at version {version}: {shown}")


def name_of(data: Any) -> str:
    """Return the name of the object that a document describes."""
    if isinstance(data, dict) and "team" in data:
        return f"{TEAM_PREFIX}{data['team']}"
    return ROOT_NAME


def check_object(name: str, data: Any) -> None:
    """Raise SettingsError if a document is not what its name says."""
    check(Root if name == ROOT_NAME else Team, data, name)


class Editor:
    """Reads and writes desired objects."""

    def __init__(self, objects: ObjectApi) -> None:
        self._objects = objects

    async def read(self, name: str) -> Held | None:
        """Return an object, or None if there is none."""
        stored = await self._objects.get(DESIRED_PREFIX + name)
        if stored is None:
            return None
        return Held(name, stored.version, _data(stored.value, name))

    async def apply(self, name: str, wanted: dict[str, Any], base: dict[str, Any] | None) -> int:
        """Bring an object to what is wanted; return its version.

        With the base that was edited, a race is merged if the edits are disjoint. Without, the
        object must still be as it was when this call first read it.
        """
        check_object(name, wanted)
        first = await self.read(name)
        origin = base if base is not None else (first.data if first else {})

        def change(data: dict[str, Any]) -> dict[str, Any]:
            return wanted if data == origin else _merge(origin, wanted, data)

        return await self.edit(name, change)

    async def edit(self, name: str, change: Change) -> int:
        """Change an object by a function of its data; return its version.

        The function is called again on whatever a racing edit left, and raises ClashError if
        it cannot be applied there.
        """
        for _ in range(_TRIES):
            held = await self.read(name)
            data = held.data if held else {}
            try:
                wanted = change(data)
            except ClashError as error:
                version = held.version if held else ABSENT
                raise EditConflictError(name, version, error.clashes) from error
            check_object(name, wanted)
            if held is not None and wanted == data:
                return held.version
            try:
                return await self._write(name, wanted, held.version if held else ABSENT)
            except ConflictError:
                continue
        raise UnavailableError(f"{name}: edits race without an end")

    async def _write(self, name: str, data: dict[str, Any], expected: int) -> int:
        key, text = DESIRED_PREFIX + name, write(data)
        try:
            return (await self._objects.put(key, text, expected)).version
        except UnknownEffectError:
            stored = await self._objects.get(key)
            if stored is not None and stored.value == text:
                return stored.version
            if (stored.version if stored else ABSENT) == expected:
                # Not there yet, though it may still be on its way: only the caller may decide.
                raise
            raise ConflictError(key, expected, stored.version if stored else ABSENT) from None


def _merge(base: dict[str, Any], ours: dict[str, Any], theirs: dict[str, Any]) -> dict[str, Any]:
    merged = merge(base, ours, theirs)
    if merged.clashes:
        raise ClashError(merged.clashes)
    return dict(merged.data)


def _data(text: str, name: str) -> dict[str, Any]:
    data = parse(text, name)
    if not isinstance(data, dict):
        raise SettingsError(name, (Fault("(document)", type(data).__name__, "is no mapping"),))
    return data
