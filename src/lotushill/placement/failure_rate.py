"""Failure rate of an upstream, from outcomes whose weight decays with time."""

from __future__ import annotations

_HALF_LIFE_SECONDS = 4.0
_PRIOR_FAILURES = 0.02
_PRIOR_TOTAL = 1.0
_MAX_TOTAL = 8.0
"""Maximum total weight of outcomes. All gateways report theirs: without a bound, many streams lost
at once would exclude an upstream for long, and a few successes would not bring it back."""


class FailureRate:
    """Outcomes with exponential decay and a bounded total weight."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._total = 0.0
        self._updated_at = 0.0

    def note(self, failed: bool, now: float, weight: float = 1.0) -> None:
        """Record one outcome."""
        self._decay(now)
        self._total += weight
        if failed:
            self._failed += weight
        if self._total > _MAX_TOTAL:
            self._failed *= _MAX_TOTAL / self._total
            self._total = _MAX_TOTAL

    def rate(self, now: float) -> float:
        """Return the expected fraction of failures, 0 to 1."""
        self._decay(now)
        return (self._failed + _PRIOR_FAILURES) / (self._total + _PRIOR_TOTAL)

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        factor = 0.5 ** ((now - self._updated_at) / _HALF_LIFE_SECONDS)
        self._failed *= factor
        self._total *= factor
        self._updated_at = now
