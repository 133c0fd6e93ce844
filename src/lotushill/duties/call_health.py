"""Tracks whether the platform answers the holder of the duties; the time is an argument."""

from __future__ import annotations

from lotushill.platform.duty_api import CallOutcome

_FAILING_SECONDS = 4.0
_MAX_UNANSWERED = 3
"""Number of unanswered calls after which the holder hands over.

`_FAILING_SECONDS` must have passed as well. Another gateway may reach the platform. Single calls
remain unanswered while the platform carries out orders late.
"""


class CallHealth:
    """Counts the unanswered calls since the last answered one."""

    def __init__(self) -> None:
        self._failing_since: float | None = None
        self._unanswered = 0

    def reset(self) -> None:
        """Reset the count of unanswered calls."""
        self._failing_since = None
        self._unanswered = 0

    def record(self, result: CallOutcome, started_at: float) -> None:
        """Record the result of a call that started at `started_at`."""
        if result in (CallOutcome.DONE, CallOutcome.REFUSED):
            self.reset()
            return
        self._unanswered += 1
        if self._failing_since is None:
            self._failing_since = started_at

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the platform appears to be unreachable from this gateway."""
        is_failing = (
            self._failing_since is not None and now - self._failing_since > _FAILING_SECONDS
        )
        return is_failing and self._unanswered >= _MAX_UNANSWERED
