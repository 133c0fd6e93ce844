"""Splits a `text/event-stream` body into events and tracks the position to resume it from."""

from __future__ import annotations

_ID = b"id:"


class EventSplitter:
    """Splits the bytes of a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""
        """Id of the last complete event, as text."""
        self.event_count = 0
        """Number of complete events with an id."""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those of all events that are complete now."""
        held = self._rest + data
        end = held.rfind(b"\n\n")
        crlf_end = held.rfind(b"\r\n\r\n")
        cut = max(end + 2 if end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
        whole, self._rest = held[:cut], held[cut:]
        if whole:
            self._note(whole)
        return whole

    def drop_partial(self) -> None:
        """Discard the incomplete event of a broken run; the next run sends it in full."""
        self._rest = b""

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
                self.event_count += 1
