"""What an engine answers that was asked to copy the memory of a run to another one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

_MOST_HANDLE = 200
"""Characters; a longer text is no handle."""
_NOT_IN_HANDLES = " /?#%,"


class NoCopyReason(Enum):
    """Why nothing was copied."""

    UNKNOWN_RUN = "no such run"
    """It has ended, or never ran there; nothing was stopped."""
    BUSY = "a call is under way"
    NO_ROOM = "no room or no way"
    """Where the run was to be stopped, it has been."""


@dataclass(frozen=True)
class Copied:
    """The memory is at the other engine."""

    handle: str
    made: int
    """Events that the run had made."""


@dataclass(frozen=True)
class NotCopied:
    """The memory is where it was."""

    reason: NoCopyReason
    handle: str = ""
    """From which a run that was stopped goes on at its own engine."""


def is_handle(text: str) -> bool:
    """Return whether a text can name memory, in a path and in a header."""
    plain = text.isascii() and text.isprintable() and 0 < len(text) <= _MOST_HANDLE
    return plain and not any(mark in text for mark in _NOT_IN_HANDLES)
