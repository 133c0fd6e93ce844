"""Tracks whether the platform answers the holder of the duties; the time is an argument."""

from __future__ import annotations

from lotushill.platform.duty_api import CallEnd

_FAILING_SECONDS = 4.0
_MOST_UNANSWERED = 3
"""Number of unanswered calls after which the holder hands over.

`_FAILING_SECONDS` must have passed as well. Another gateway may reach the platform. Single calls
remain unanswered while the platform carries out orders late.
"""


class CallHealth:
    """Counts the unanswered calls since the last answered one."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._unanswered = 0

    def forget(self) -> None:
        """Reset the count of unanswered calls."""
        self._since = None
        self._unanswered = 0

    def note(self, end: CallEnd, began: float) -> None:
        """Record the result of a call that started at `began`."""
        if end in (CallEnd.DONE, CallEnd.REFUSED):
            self.forget()
            return
        self._unanswered += 1
        if self._since is None:
            self._since = began

    def silent(self, now: float) -> bool:
        """Return whether the platform appears to be unreachable from this gateway."""
        failing = self._since is not None and now - self._since > _FAILING_SECONDS
        return failing and self._unanswered >= _MOST_UNANSWERED
