"""Whether an upstream may be given work: a circuit breaker with probes and an outlier measure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

_BREAKS_TO_OPEN = 2
"""Broken answers in a row after which an upstream is given no work for a while."""
_FIRST_PAUSE = 0.5
_LONGEST_PAUSE = 4.0
_SMOOTHING = 0.1
_WORST_SLOWNESS = 8.0


class Phase(Enum):
    """The state of an upstream as its breaker sees it."""

    SERVING = "serving"
    OPEN = "open"
    """Given nothing until its pause ends."""
    PROBING = "probing"
    """Given one request at a time, until one ends well."""


@dataclass
class Health:
    """What the ends of attempts say of one upstream."""

    phase: Phase = Phase.SERVING
    breaks: int = 0
    pause: float = _FIRST_PAUSE
    opened_at: float = 0.0
    gap: float = 0.0
    """Smoothed seconds between tokens, 0 while unknown."""

    def refresh(self, now: float) -> None:
        """Let an open breaker turn to probing once its pause is over."""
        if self.phase is Phase.OPEN and now >= self.opened_at + self.pause:
            self.phase = Phase.PROBING

    def succeed(self, between_tokens: float) -> bool:
        """Note a whole answer; True if this closed the breaker again."""
        recovered = self.phase is not Phase.SERVING
        self.close()
        if between_tokens > 0:
            known = self.gap or between_tokens
            self.gap = known + _SMOOTHING * (between_tokens - known)
        return recovered

    def close(self) -> None:
        """Close the breaker."""
        self.phase = Phase.SERVING
        self.breaks = 0
        self.pause = _FIRST_PAUSE

    def fail(self, certain: bool, now: float) -> bool:
        """Note a broken answer; `certain` means that nobody listens. True if it opened."""
        self.breaks += 1
        if self.phase is Phase.SERVING and not certain and self.breaks < _BREAKS_TO_OPEN:
            return False
        if self.phase is Phase.PROBING:
            self.pause = min(_LONGEST_PAUSE, self.pause * 2)
        opened = self.phase is not Phase.OPEN
        self.phase = Phase.OPEN
        self.opened_at = now
        return opened

    def slowness(self, usual_gap: float) -> float:
        """Return how many times slower than usual the upstream is, at least 1."""
        if not self.gap or not usual_gap:
            return 1.0
        return min(_WORST_SLOWNESS, max(1.0, self.gap / usual_gap))
