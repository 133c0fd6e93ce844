"""Structured log lines on standard output, limited in rate and written without blocking."""

from __future__ import annotations

import json
import os
import select
import time
from typing import TYPE_CHECKING

from lotushill import clock as clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.journal import Journal

_MAX_LINES_PER_SECOND = 200
_MAX_BURST_LINES = 400
_MAX_CALLER_TEXT_CHARACTERS = 256
"""Longest text that a line takes over from a caller."""
_CALLER_FIELDS = frozenset(("request", "resumes", "host", "target", "last_event"))
"""Fields whose texts callers choose; only these are shortened."""
_MAX_FLUSH_SECONDS = 0.5
"""Longest wait for the reader of standard output at the end of the log."""


class EventLog:
    """Writes one JSON object per line; lines above the rate limit are counted and dropped."""

    def __init__(
        self,
        name: str,
        write: Callable[[bytes], None] | None = None,
        clock: Callable[[], float] = clocks.now,
        journal: Journal | None = None,
    ) -> None:
        """Create the log of the gateway `name`; `journal` keeps the last events of requests."""
        self._name = name
        output = _StandardOutput()
        self._write = write or output.write
        self._flush: Callable[[], None] = (lambda: None) if write else output.flush
        self._clock = clock
        self._journal = journal
        self._credit = float(_MAX_BURST_LINES)
        self._credit_updated_at = clock()
        self.left_out = 0
        """Number of lines dropped since the last one that was written."""
        self.total_left_out = 0

    def note(self, event: str, **fields: object) -> None:
        """Write one event with its fields unless the rate limit is exceeded."""
        self._note(event, fields)

    def note_last(self, event: str, **fields: object) -> None:
        """Write the event that ends the log; neither the rate limit nor a full pipe drops it.

        A reader that takes nothing for some time loses the line all the same.
        """
        self._credit += 1.0
        self._flush()
        self._note(event, fields)
        self._flush()

    def _note(self, event: str, fields: dict[str, object]) -> None:
        now = self._clock()
        for name in _CALLER_FIELDS & fields.keys():
            fields[name] = shorten(str(fields[name]))
        line: dict[str, object] = {"t": round(now, 3), "node": self._name, "event": event}
        if self._journal is not None and "request" in fields:
            self._journal.add(str(fields["request"]), {**line, **fields})
        if not self._spend_credit(now):
            self.left_out += 1
            self.total_left_out += 1
            return
        if self.left_out:
            line["left_out"] = self.left_out
            self.left_out = 0
        line |= fields
        self._write(json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n")

    def _spend_credit(self, now: float) -> bool:
        earned = (now - self._credit_updated_at) * _MAX_LINES_PER_SECOND
        self._credit = min(_MAX_BURST_LINES, self._credit + earned)
        self._credit_updated_at = now
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def shorten(text: str) -> str:
    """Return a text of a caller as it stands in the log: the begin of one that is too long."""
    if len(text) <= _MAX_CALLER_TEXT_CHARACTERS:
        return text
    return text[:_MAX_CALLER_TEXT_CHARACTERS] + "..."


class _StandardOutput:
    """Non-blocking standard output; a full pipe drops lines, and the next line counts them."""

    def __init__(self) -> None:
        self._dropped_lines = 0
        self._unwritten = b""
        try:
            os.set_blocking(1, False)
        except OSError:
            pass

    def write(self, line: bytes) -> None:
        if self._unwritten and not self._write_some(self._unwritten):
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            line = line[:-2] + f',"lost":{self._dropped_lines}}}\n'.encode()
        if self._write_some(line):
            self._dropped_lines = 0

    def flush(self) -> None:
        """Wait, for a bounded time, until the pipe has room, and write what is left over."""
        ends = time.monotonic() + _MAX_FLUSH_SECONDS
        while (left := ends - time.monotonic()) > 0:
            try:
                select.select((), (1,), (), left)
            except (OSError, ValueError):
                return
            if not self._unwritten or self._write_some(self._unwritten):
                return

    def _write_some(self, data: bytes) -> bool:
        """Write what the pipe accepts and keep the rest; return whether all data was written."""
        try:
            written = os.write(1, data)
        except (BlockingIOError, BrokenPipeError, OSError):
            if data is not self._unwritten:
                self._dropped_lines += 1
            return False
        self._unwritten = data[written:]
        return not self._unwritten
