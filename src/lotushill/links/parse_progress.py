"""Limits the bytes of a connection that lead neither to a head nor to a part of a body.

A parser collects the lines of a head without a bound, so that a peer which never ends its head, its
trailers or one line of them would use up the memory of the process.
"""

from __future__ import annotations

MAX_UNPRODUCTIVE_BYTES = 64 * 1024
"""Longest head, and the longest framing between two parts of a body."""


class ParseProgress:
    """Counts the bytes that were parsed since the last head or part of a body."""

    def __init__(self) -> None:
        self._unproductive_bytes = 0
        self._is_productive = False

    def note_progress(self) -> None:
        """Record that a head or a part of a body is complete; called while bytes are parsed."""
        self._is_productive = True

    def note_parsed(self, size: int) -> bool:
        """Record that received bytes were parsed; return whether too many led to nothing."""
        self._unproductive_bytes = 0 if self._is_productive else self._unproductive_bytes + size
        self._is_productive = False
        return self._unproductive_bytes > MAX_UNPRODUCTIVE_BYTES
