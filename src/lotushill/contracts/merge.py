"""Three-way merge of settings: edits of different values are combined, others conflict."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import Any

_ABSENT = object()


@dataclass(frozen=True)
class MergeConflict:
    """A value that two edits changed differently; None means that it was removed."""

    path: str
    base: Any
    ours: Any
    theirs: Any

    def __str__(self) -> str:
        return f"{self.path}: was {self.base!r}, ours {self.ours!r}, theirs {self.theirs!r}"


@dataclass(frozen=True)
class MergeResult:
    """Result of a merge; for each conflict, the data contains the value of `theirs`."""

    data: Any
    conflicts: tuple[MergeConflict, ...]


def merge(base: Any, ours: Any, theirs: Any) -> MergeResult:
    """Merge two edits of the same base."""
    conflicts: list[MergeConflict] = []
    data = _merge("", base, ours, theirs, conflicts)
    return MergeResult(None if data is _ABSENT else data, tuple(conflicts))


def _merge(path: str, base: Any, ours: Any, theirs: Any, conflicts: list[MergeConflict]) -> Any:
    if ours in (theirs, base):
        return copy.deepcopy(theirs) if theirs is not _ABSENT else _ABSENT
    if theirs == base:
        return copy.deepcopy(ours) if ours is not _ABSENT else _ABSENT
    if isinstance(ours, dict) and isinstance(theirs, dict):
        return _merge_levels(path, base if isinstance(base, dict) else {}, ours, theirs, conflicts)
    conflicts.append(
        MergeConflict(
            path or "(document)",
            _none_if_absent(base),
            _none_if_absent(ours),
            _none_if_absent(theirs),
        )
    )
    return theirs


def _merge_levels(
    path: str,
    base: dict[str, Any],
    ours: dict[str, Any],
    theirs: dict[str, Any],
    conflicts: list[MergeConflict],
) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for key in [*theirs, *(key for key in ours if key not in theirs)]:
        inner_path = f"{path}.{key}" if path else key
        base_value, our_value, their_value = (
            side.get(key, _ABSENT) for side in (base, ours, theirs)
        )
        value = _merge(inner_path, base_value, our_value, their_value, conflicts)
        if value is not _ABSENT:
            merged[key] = value
    return merged


def _none_if_absent(value: Any) -> Any:
    return None if value is _ABSENT else value
