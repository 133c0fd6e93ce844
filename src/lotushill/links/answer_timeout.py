"""Time without a byte after which a call to a server is given up; pure."""

from __future__ import annotations

_MIN_SECONDS = 0.25
"""Shortest timeout: many times the few milliseconds of a normal answer."""
_MAX_SECONDS = 2.0
_MAX_DOUBLINGS = 3
"""Doublings after which the shortest timeout has become the longest one."""
_LATENCY_FACTOR = 4.0
_LATENCY_DECAY = 0.5
"""Factor by which the remembered latency decreases with each answer, so that a single late one, as
after a suspension of this host, is soon forgotten."""


class AnswerTimeout:
    """Adapts the timeout to the server, so that a slow one is not taken for a silent one."""

    def __init__(self) -> None:
        self._latency = 0.0
        self._timeouts = 0
        """Number of calls that were given up since the last answer."""

    @property
    def seconds(self) -> float:
        """Time for an answer, beyond the time for which the call asks the server to wait."""
        usual = max(_MIN_SECONDS, _LATENCY_FACTOR * self._latency)
        return min(_MAX_SECONDS, usual * 2.0**self._timeouts)

    def note_answer(self, latency: float) -> None:
        """Note in how many seconds a call was answered, without the time that it asked to wait."""
        capped = min(latency, _MAX_SECONDS / _LATENCY_FACTOR)
        self._latency = max(capped, self._latency * _LATENCY_DECAY)
        self._timeouts = 0

    def note_timeout(self) -> None:
        """Double the timeout until the next answer, since the server may be slow."""
        self._timeouts = min(self._timeouts + 1, _MAX_DOUBLINGS)
