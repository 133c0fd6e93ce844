"""Failures of the settings tree."""

from __future__ import annotations

from dataclasses import dataclass


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
