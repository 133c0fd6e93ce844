"""Detects that nothing arrives from any upstream while requests wait. Pure."""

from __future__ import annotations

_SUSPICIOUS_SECONDS = 0.2
"""Time without a byte from any upstream, while requests wait, after which a connection is tried."""
_MIN_CHECK_INTERVAL_SECONDS = 1.0
"""Least interval between two such trials, since upstreams may also just be slow."""
_MAX_LAG_SECONDS = 0.15
"""Interval between two calls above which this process counts as having been blocked."""


class SilenceWatch:
    """Decides when the path to the upstreams is to be checked; called some times a second."""

    def __init__(self) -> None:
        self._called_at = float("-inf")
        self._unblocked_at = float("-inf")
        self._next_check_at = float("-inf")

    def is_check_due(self, received_at: float, waiting_since: float | None, now: float) -> bool:
        """Return whether to check the path now; a returned check counts as made.

        `received_at` is when the last byte of any upstream arrived, `waiting_since` when the
        request was sent that has waited longest, None if none waits.
        """
        if now - self._called_at > _MAX_LAG_SECONDS:
            # Bytes that arrived in the meantime may not have been read yet.
            self._unblocked_at = now
        self._called_at = now
        if waiting_since is None or now < self._next_check_at:
            return False
        if now - max(received_at, waiting_since, self._unblocked_at) < _SUSPICIOUS_SECONDS:
            return False
        self._next_check_at = now + _MIN_CHECK_INTERVAL_SECONDS
        return True
