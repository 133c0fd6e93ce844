"""How often an upstream fails, from outcomes that fade with time."""

from __future__ import annotations

_HALF_LIFE_SECONDS = 4.0
_PRIOR_FAILURES = 0.02
_PRIOR_TOTAL = 1.0
_MOST_TOTAL = 8.0
"""Outcomes that count at most. All gateways tell theirs: without a bound, many streams lost at once
would keep an upstream out for long, and a few that went well would not bring it back."""


class FailureRate:
    """Outcomes with exponential decay, of which the latest few count."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._total = 0.0
        self._at = 0.0

    def note(self, failed: bool, now: float, weight: float = 1.0) -> None:
        """Note one outcome."""
        self._fade(now)
        self._total += weight
        if failed:
            self._failed += weight
        if self._total > _MOST_TOTAL:
            self._failed *= _MOST_TOTAL / self._total
            self._total = _MOST_TOTAL

    def rate(self, now: float) -> float:
        """Return the likely share of failures, in 0 to 1."""
        self._fade(now)
        return (self._failed + _PRIOR_FAILURES) / (self._total + _PRIOR_TOTAL)

    def _fade(self, now: float) -> None:
        if now <= self._at:
            return
        left = 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
        self._failed *= left
        self._total *= left
        self._at = now
