"""Tracks the largest prompts recently started by all gateways. Performs no I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RECENT_STARTS_SECONDS = 5.0
"""Users compare a refused request with what started within five seconds of it."""
_SLICE_SECONDS = 0.5
"""Length of a slice. The starts within one slice are stored as one, so that memory does not grow
with traffic."""


@dataclass
class _Slice:
    """The starts of one tier within half a second."""

    start: float
    largest: int


class RecentStarts:
    """Sizes of started prompts by service and tier."""

    def __init__(self) -> None:
        self._slices: dict[str, dict[int, deque[_Slice]]] = {}

    def note(self, service: str, tier: int, prompt: int, at: float) -> None:
        """Record a request of a tier that was sent to an upstream with `prompt` tokens."""
        slices = self._slices.setdefault(service, {}).setdefault(tier, deque())
        if slices and at - slices[-1].start < _SLICE_SECONDS:
            slices[-1].largest = max(slices[-1].largest, prompt)
            return
        slices.append(_Slice(at, prompt))
        self._evict_old(slices, at)

    def largest_less_urgent(self, service: str, tier: int, now: float) -> int:
        """Return the largest recently started prompt of less urgent tiers, 0 if there is none."""
        largest = 0
        for other, slices in self._slices.get(service, {}).items():
            if other > tier:
                self._evict_old(slices, now)
                largest = max([largest, *(item.largest for item in slices)])
        return largest

    def _evict_old(self, slices: deque[_Slice], now: float) -> None:
        while slices and now - slices[0].start > RECENT_STARTS_SECONDS + _SLICE_SECONDS:
            slices.popleft()
