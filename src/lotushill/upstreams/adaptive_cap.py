"""How many requests an upstream is given at one time, learned from what entries measure."""

from __future__ import annotations

from dataclasses import dataclass

_SLOW_START_SHARE = 0.5
"""Share of the configured slots that a restarted upstream begins with."""
_BACK_OFF = 0.9
"""Factor by which the cap falls when an answer misses its target."""
_HOLD_SECONDS = 0.25
"""Least time between two falls: one slow batch is one event, not many."""


@dataclass
class AdaptiveCap:
    """Additive increase, multiplicative decrease, between one and `ceiling`."""

    start: int
    ceiling: int
    value: float
    fell_at: float = float("-inf")

    @classmethod
    def fresh(cls, start: int, ceiling: int) -> AdaptiveCap:
        """Return the cap of an upstream that is taken into service."""
        return cls(start, ceiling, float(min(start, ceiling)))

    @property
    def slots(self) -> int:
        """Return the cap as a whole number of requests."""
        return max(1, int(self.value))

    def restart(self) -> None:
        """Begin again from below after the upstream came back."""
        self.value = max(1.0, self.start * _SLOW_START_SHARE)

    def observe(self, within_target: bool, was_full: bool, now: float) -> None:
        """Learn from one answer; only a full upstream shows that more would fit."""
        if not within_target:
            self._fall(now)
        elif was_full:
            self.value = min(float(self.ceiling), self.value + 1.0 / max(1.0, self.value))

    def _fall(self, now: float) -> None:
        if now - self.fell_at < _HOLD_SECONDS:
            return
        self.fell_at = now
        self.value = max(1.0, self.value * _BACK_OFF)
