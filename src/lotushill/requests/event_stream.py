"""Whole events of a `text/event-stream` body, and the place where it goes on."""

from __future__ import annotations

_ID = b"id:"


class EventSplitter:
    """Cuts a stream's bytes into whole events; what is not whole is held back."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""
        """Id of the last whole event, as text."""
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole by now."""
        held = self._rest + data
        end = held.rfind(b"\n\n")
        crlf_end = held.rfind(b"\r\n\r\n")
        cut = max(end + 2 if end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
        whole, self._rest = held[:cut], held[cut:]
        if whole:
            self._note(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget the event that a broken run left unfinished: the next run sends it whole."""
        self._rest = b""

    @property
    def partial(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return self._rest

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
                self.event_count += 1
