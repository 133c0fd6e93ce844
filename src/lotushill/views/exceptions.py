"""Errors of following the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call to the store that did not bring what it was for."""


class StoreUnavailableError(StoreError):
    """No answer, or one that says the store does not serve now; a write may have been done."""


class HistoryGoneError(StoreError):
    """The store no longer knows what changed since a revision."""


class RevisionConflictError(StoreError):
    """The object is there already, or has another revision."""


class MalformedViewError(Exception):
    """A view of a peer that cannot be read."""


class MalformedEntryError(ValueError):
    """An object that another writer made or spoilt: one of its fields is not as it should be."""

    def __init__(self, field: str, why: str) -> None:
        super().__init__(f"{field} {why}")
