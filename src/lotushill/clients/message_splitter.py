"""Finds where a request ends, so that not more than one is parsed at a time.

A parser goes on to the end of the bytes that it is given. Thousands of short requests that arrive
together would each be kept as objects of some kilobytes until their turn. Performs no I/O.
"""

from __future__ import annotations

_EMPTY_LINE = b"\r\n\r\n"
_TAIL_BYTES = len(_EMPTY_LINE) - 1


class MessageSplitter:
    """Splits received bytes into pieces, of which none goes on after the end of a request.

    Heads, trailers and bodies in chunks end with an empty line, so a piece ends there.
    """

    def __init__(self) -> None:
        self._body_left: int | None = None
        """Bytes of a body with a length that have not arrived, None elsewhere."""
        self._tail = b""
        """Last bytes of the piece before, with which an empty line may begin."""

    def begin_body(self, length: int | None) -> None:
        """Begin a body, after its head; `length` is in bytes, None for a body in chunks."""
        self._body_left = length
        self._tail = b""

    def end_message(self) -> None:
        """Begin the next request."""
        self._body_left = None
        self._tail = b""

    def piece_end(self, data: bytes, start: int) -> int:
        """Return where the piece that begins at `start` ends, which is to be parsed next."""
        if self._body_left is not None:
            size = min(len(data) - start, self._body_left)
            self._body_left -= size
            return start + size
        end = self._end_of_empty_line(data, start)
        if end is None:
            self._tail = (self._tail + data[max(start, len(data) - _TAIL_BYTES) :])[-_TAIL_BYTES:]
            return len(data)
        self._tail = b""
        return end

    def _end_of_empty_line(self, data: bytes, start: int) -> int | None:
        if self._tail:
            joined = self._tail + data[start : start + _TAIL_BYTES]
            found = joined.find(_EMPTY_LINE)
            if found >= 0:
                return start + found + len(_EMPTY_LINE) - len(self._tail)
        found = data.find(_EMPTY_LINE, start)
        return found + len(_EMPTY_LINE) if found >= 0 else None
