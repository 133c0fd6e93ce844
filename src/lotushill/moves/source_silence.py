"""Decides when a source that does not answer the call to stop a run counts as lost.

A source may answer no calls, or accept no new connections, and complete its streams all the same.
It is lost only if its stream is silent as well.
"""

from __future__ import annotations

import math

_MIN_SILENCE_SECONDS = 0.5
"""Time without an event and without a connection after which a source counts as lost."""
_FIRST_PAUSE_SECONDS = 0.03
_MAX_PAUSE_SECONDS = 0.3


class SourceSilence:
    """Signs of life of a source since it was first asked to stop a run."""

    def __init__(self) -> None:
        self.unanswered = False
        """Whether a call ended without an answer, so that it may still take effect."""
        self._silent_since = math.inf
        self._event_count = -1
        self._pause = _FIRST_PAUSE_SECONDS

    def note_check(self, event_count: int, is_reachable: bool, now: float) -> None:
        """Record the signs of life while a call has no answer.

        `event_count` is the number of events received so far, `is_reachable` whether the source
        accepts new connections.
        """
        if is_reachable:
            self._silent_since = math.inf
        elif event_count != self._event_count or self._silent_since == math.inf:
            self._silent_since = now
        self._event_count = event_count

    def is_lost(self, now: float) -> bool:
        """Return whether the source has given no sign of life for long enough."""
        return now - self._silent_since >= _MIN_SILENCE_SECONDS

    def next_pause(self) -> float:
        """Return the seconds until the next call, which double from call to call."""
        pause, self._pause = self._pause, min(_MAX_PAUSE_SECONDS, 2 * self._pause)
        return pause
