"""Failures of the platform."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all failures of the platform."""


class UnavailableError(PlatformError):
    """The platform gave no answer, or refused to work; nothing was changed."""


class UnknownEffectError(PlatformError):
    """A write was sent and its answer lost; it may have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found another version than the one it named."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        self.key = key
        self.expected = expected
        self.found = found
        super().__init__(f"{key}: expected version {expected}, found {found}")
