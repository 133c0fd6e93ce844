"""Splits a `text/event-stream` body into events and tracks the position to resume it from."""

from __future__ import annotations

_ID = b"id:"


class EventSplitter:
    """Splits the bytes of a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id = ""
        """Id of the last complete event, as text."""
        self.event_count = 0
        """Number of complete events with an id."""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those of all events that are complete now."""
        buffered = self._buffer + data
        lf_end = buffered.rfind(b"\n\n")
        crlf_end = buffered.rfind(b"\r\n\r\n")
        complete_size = max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
        complete, self._buffer = buffered[:complete_size], buffered[complete_size:]
        if complete:
            self._count_events(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event of a broken run; the next run sends it in full."""
        self._buffer = b""

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def _count_events(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
                self.event_count += 1
