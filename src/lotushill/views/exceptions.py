"""Errors of calls to the store and of views."""

from __future__ import annotations


class StoreError(Exception):
    """Base of errors of calls to the store."""


class StoreUnavailableError(StoreError):
    """The store did not answer or answered that it is unavailable; a write may have been done."""


class SilentStoreError(StoreUnavailableError):
    """A call on an open connection was not answered in time; the connection may be dead."""


class HistoryGoneError(StoreError):
    """The store no longer has the history of changes since the requested revision."""


class RevisionConflictError(StoreError):
    """The object exists already, or its revision differs from the expected one."""


class MalformedViewError(Exception):
    """A view received from a peer cannot be parsed."""


class MalformedEntryError(ValueError):
    """A field of an object in the store is invalid, as another writer created or corrupted it."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field} {problem}")
