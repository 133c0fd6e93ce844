"""Measures the rate at which capacity becomes free, by the requests started recently. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW_SECONDS = 2.0
"""Time window of the rate: long enough to include the ends of typical streams, short enough to
follow a loss of upstreams."""
_SLICE_SECONDS = 0.25
"""Length of a slice. The requests started within one slice are stored as one count, so that memory
does not grow with traffic."""


@dataclass
class _Slice:
    start: float
    count: int


class StartRate:
    """Counts started requests by service and tier, at all gateways whose updates are received."""

    def __init__(self) -> None:
        self._slices: dict[tuple[str, int], deque[_Slice]] = {}

    def note(self, service: str, tier: int, at: float) -> None:
        """Note that a request of a tier was sent to an upstream."""
        slices = self._slices.setdefault((service, tier), deque())
        if slices and at - slices[-1].start < _SLICE_SECONDS:
            slices[-1].count += 1
            return
        slices.append(_Slice(at, 1))
        self._drop_old(slices, at)

    def rate(self, service: str, tier: int, now: float) -> float:
        """Return the requests per second of a tier that were started recently."""
        slices = self._slices.get((service, tier))
        if not slices:
            return 0.0
        self._drop_old(slices, now)
        return sum(item.count for item in slices) / WINDOW_SECONDS

    def _drop_old(self, slices: deque[_Slice], now: float) -> None:
        while slices and now - slices[0].start > WINDOW_SECONDS:
            slices.popleft()
