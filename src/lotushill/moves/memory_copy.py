"""Answers of an engine to a request to copy the memory of a run to another engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

_MAX_HANDLE_CHARACTERS = 200
"""Longest handle in characters."""
_RESERVED_CHARACTERS = " /?#%,"


class NoCopyReason(Enum):
    """Reason why no memory was copied."""

    UNKNOWN_RUN = "no such run"
    """The run does not run at that engine: it has ended, or an earlier call has stopped it."""
    BUSY = "a call is under way"
    NO_ROOM = "no room or no way"
    """The target has no room or is unreachable. A run that was stopped is named by its handle."""


@dataclass(frozen=True)
class Copied:
    """The memory was copied to the other engine."""

    handle: str
    events_produced: int
    """Number of events that the run had produced."""


@dataclass(frozen=True)
class NotCopied:
    """The memory was not copied and is still at its engine."""

    reason: NoCopyReason
    handle: str = ""
    """Handle with which a stopped run resumes at its own engine, empty if there is none."""


def is_handle(text: str) -> bool:
    """Return whether a text can serve as a memory handle in a path and in a header."""
    plain = text.isascii() and text.isprintable() and 0 < len(text) <= _MAX_HANDLE_CHARACTERS
    return plain and not any(mark in text for mark in _RESERVED_CHARACTERS)
