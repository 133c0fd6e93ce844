"""Failures of the settings tree."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.contracts.merge import MergeConflict


@dataclass(frozen=True)
class Fault:
    """One thing wrong in a settings document: where, what stands there, and why it is wrong."""

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason} (found {self.value})"


class SettingsError(Exception):
    """A settings document that cannot be taken; `faults` names every value at fault."""

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        self.source = source
        self.faults = faults
        super().__init__(f"{source}: " + "; ".join(str(fault) for fault in faults))


class UnknownPathError(Exception):
    """An edit names a path that the tree does not have."""

    def __init__(self, path: str) -> None:
        self.path = path
        super().__init__(f"no such path: {path}")


class MergeConflictError(Exception):
    """A change that cannot be made on top of what another edit left."""

    def __init__(self, clashes: tuple[MergeConflict, ...]) -> None:
        self.conflicts = clashes
        super().__init__("; ".join(str(clash) for clash in clashes))


class EditConflictError(Exception):
    """Another edit changed the same values; both sides are shown."""

    def __init__(self, name: str, revision: int, clashes: tuple[MergeConflict, ...]) -> None:
        self.name = name
        self.revision = revision
        self.conflicts = clashes
        shown = "; ".join(str(clash) for clash in clashes)
        super().__init__(f"{name} is at revision {revision}: {shown}")


class EditRetriesExhaustedError(Exception):
    """Other edits came first each time that this one was tried."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: edits race without an end")


class UnknownOutcomeError(Exception):
    """A write without an answer, which is not to be seen but may still be done."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: no answer to the write; it may be done yet, look again")
