"""Whether the platform answers the holder of the duties. Pure, with the clock passed in."""

from __future__ import annotations

from lotushill.platform.duty_api import CallOutcome

_FAILING_SECONDS = 4.0
_MOST_UNANSWERED = 3
"""After so many calls and so long without an answer the holder hands over: others may reach the
platform. Single calls go without an answer while orders are carried out late."""


class CallHealth:
    """Counts the calls without an answer since the last one that had one."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._unanswered = 0

    def forget(self) -> None:
        """Begin anew."""
        self._since = None
        self._unanswered = 0

    def note(self, end: CallOutcome, began: float) -> None:
        """Note how a call ended that began at some moment."""
        if end in (CallOutcome.DONE, CallOutcome.REFUSED):
            self.forget()
            return
        self._unanswered += 1
        if self._since is None:
            self._since = began

    def silent(self, now: float) -> bool:
        """Return whether the platform cannot be reached from here, as far as is known."""
        failing = self._since is not None and now - self._since > _FAILING_SECONDS
        return failing and self._unanswered >= _MOST_UNANSWERED
