"""A budget that keeps retries a small share of fresh work."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries earned by each fresh start."""
RETRY_RESERVE = 32.0
"""Most retries that can be saved up, and what a new cell starts with, unless it says more."""


class RetryBudget:
    """Fresh starts earn a fraction of a retry; each retry spends a whole one."""

    def __init__(self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._saved = reserve

    def earn(self) -> None:
        """Count one fresh start."""
        self._saved = min(self._reserve, self._saved + self._share)

    def spend(self) -> bool:
        """Take one retry; False if none is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
