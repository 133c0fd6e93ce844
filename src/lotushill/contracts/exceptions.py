"""Exceptions of the settings tree."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.contracts.merge import MergeConflict


@dataclass(frozen=True)
class Fault:
    """One invalid value of a settings document: its path, the value and the reason."""

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason} (found {self.value})"


class SettingsError(Exception):
    """A settings document is invalid; `faults` lists every invalid value."""

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        self.source = source
        self.faults = faults
        super().__init__(f"{source}: " + "; ".join(str(fault) for fault in faults))


class UnknownPathError(Exception):
    """An edit names a path that does not exist in the tree."""

    def __init__(self, path: str) -> None:
        self.path = path
        super().__init__(f"path does not exist in the settings: {path}")


class MergeConflictError(Exception):
    """A change cannot be applied to the data that another edit wrote."""

    def __init__(self, conflicts: tuple[MergeConflict, ...]) -> None:
        self.conflicts = conflicts
        super().__init__("; ".join(str(conflict) for conflict in conflicts))


class EditConflictError(Exception):
    """Another edit changed the same values; the message shows both sides."""

    def __init__(self, name: str, revision: int, conflicts: tuple[MergeConflict, ...]) -> None:
        self.name = name
        self.revision = revision
        self.conflicts = conflicts
        shown = "; ".join(str(conflict) for conflict in conflicts)
        super().__init__(f"{name} is at revision {revision}: {shown}")


class EditRetriesExhaustedError(Exception):
    """Another edit was written first at each attempt of this one."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: other edits were written first at every attempt")


class UnknownOutcomeError(Exception):
    """A write was not answered and has had no effect so far, but may still be carried out."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: no answer to the write; it may still take effect, check again")
