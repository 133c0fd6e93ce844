"""The largest prompts that were begun of late, by all gateways; pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RECENT_STARTS_SECONDS = 5.0
"""Users hold what was refused against what began within five seconds of it."""
_SLICE_SECONDS = 0.5
"""What began within one slice is kept as one, so that memory does not grow with traffic."""


@dataclass
class _Slice:
    """What began in one tier within half a second."""

    start: float
    largest: int


class RecentStarts:
    """Sizes of prompts by service and tier."""

    def __init__(self) -> None:
        self._slices: dict[str, dict[int, deque[_Slice]]] = {}

    def note(self, service: str, tier: int, prompt: int, at: float) -> None:
        """Note a request of a tier that was sent to an upstream with so many prompt tokens."""
        slices = self._slices.setdefault(service, {}).setdefault(tier, deque())
        if slices and at - slices[-1].start < _SLICE_SECONDS:
            slices[-1].largest = max(slices[-1].largest, prompt)
            return
        slices.append(_Slice(at, prompt))
        self._forget(slices, at)

    def largest_less_urgent(self, service: str, tier: int, now: float) -> int:
        """Return the largest prompt of less urgent tiers that began of late, 0 without any."""
        largest = 0
        for other, slices in self._slices.get(service, {}).items():
            if other > tier:
                self._forget(slices, now)
                largest = max([largest, *(item.largest for item in slices)])
        return largest

    def _forget(self, slices: deque[_Slice], now: float) -> None:
        while slices and now - slices[0].start > RECENT_STARTS_SECONDS + _SLICE_SECONDS:
            slices.popleft()
