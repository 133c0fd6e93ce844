"""Times of the latest first events by part of prompts, bounded in number."""

from __future__ import annotations

from collections import OrderedDict

_MAX_PARTS = 8192


class RecentEvents:
    """Stores when a request with each part last had its first event at this gateway."""

    def __init__(self) -> None:
        self._latest: OrderedDict[bytes, float] = OrderedDict()

    def add(self, identity: bytes, now: float) -> None:
        """Store that a request with the part had its first event."""
        self._latest[identity] = now
        self._latest.move_to_end(identity)
        if len(self._latest) > _MAX_PARTS:
            self._latest.popitem(last=False)

    def latest(self, identity: bytes) -> float:
        """Return the time of the latest first event, negative infinity if none is known."""
        return self._latest.get(identity, float("-inf"))
