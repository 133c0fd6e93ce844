"""How many requests an upstream is given at one time, learned from what entries measure."""

from __future__ import annotations

from dataclasses import dataclass

_SLOW_START_SHARE = 0.5
"""Share of the configured slots that a restarted upstream begins with."""
_BACK_OFF = 0.9
"""Factor by which the cap falls when an answer misses its target."""
_HOLD_SECONDS = 0.25
"""Least time between two falls: one slow batch is one event, not many."""
_DRIFT = 1.001
_PROMPT_FACTOR = 2.0
_PROMPT_MARGIN = 0.01
"""A first token within so many times the best, and seconds more, waited for nobody."""
_LATE_SECONDS = 2.0
"""What counts as late for a class without a target."""


@dataclass
class AdaptiveCap:
    """Additive increase, multiplicative decrease, between one and `ceiling`."""

    start: int
    ceiling: int
    value: float
    fell_at: float = float("-inf")
    best: float = 0.0
    """Least seconds to a first token, drifting up slowly so that old luck is forgotten."""

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

    def observe(self, first_token: float, target: float, may_grow: bool, now: float) -> None:
        """Learn from one answer, by the seconds to its first token.

        Growing takes an answer that began as promptly as the best: one that did not has waited
        inside the upstream, in a queue where nothing can be reordered any more.
        """
        drifted = self.best * _DRIFT if self.best else first_token
        self.best = min(first_token, drifted)
        if first_token > (target or _LATE_SECONDS):
            self._fall(now)
        elif may_grow and first_token <= _PROMPT_FACTOR * self.best + _PROMPT_MARGIN:
            # Below the configured slots it is a slow start, which doubles; above, a careful try.
            step = 1.0 if self.value < self.start else 1.0 / self.value
            self.value = min(float(self.ceiling), self.value + step)

    def _fall(self, now: float) -> None:
        if now - self.fell_at < _HOLD_SECONDS:
            return
        self.fell_at = now
        self.value = max(1.0, self.value * _BACK_OFF)
