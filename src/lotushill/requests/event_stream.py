"""Splits a `text/event-stream` body into events and tracks the position to resume it from."""

from __future__ import annotations

from lotushill.requests.exceptions import OversizedAnswerError

MAX_EVENT_BYTES = 1024 * 1024
"""Longest event; an upstream that sends more without the end of one is faulty."""
_ID = b"id:"
_BLANK_LINES = (b"\n\n", b"\n\r\n")
"""Ends of an event: the end of its last line, then an empty line."""


class EventSplitter:
    """Splits the bytes of a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id = ""
        """Id of the last complete event, as text."""
        self.event_count = 0
        """Number of complete events with an id."""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those of all events that are complete now.

        Raise OversizedAnswerError if the event that is not complete is too long.
        """
        buffered = self._buffer + data
        complete_size = max(
            buffered.rfind(blank_line) + len(blank_line) if blank_line in buffered else 0
            for blank_line in _BLANK_LINES
        )
        complete, self._buffer = buffered[:complete_size], buffered[complete_size:]
        if complete:
            self._count_events(complete)
        elif len(self._buffer) > MAX_EVENT_BYTES:
            raise OversizedAnswerError("event", MAX_EVENT_BYTES)
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event of a broken run; the next run sends it in full."""
        self._buffer = b""

    @property
    def is_inside_event(self) -> bool:
        """Return whether more than empty lines follows the last complete event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def _count_events(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
                self.event_count += 1
