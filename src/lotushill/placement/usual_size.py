"""The usual size of a route's requests, so that larger ones count for more."""

from __future__ import annotations

_WEIGHT = 0.02
_FLAT_SHARE = 0.3
_MOST = 4.0


class UsualSize:
    """A moving average of sizes by route."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def note(self, route: str, size: float) -> None:
        """Note the size of one request."""
        usual = self._usual.get(route)
        self._usual[route] = size if usual is None else usual + _WEIGHT * (size - usual)

    def weight(self, route: str, size: float) -> float:
        """Return what a request counts for beside a usual one of its route."""
        usual = self._usual.get(route, 0.0)
        if usual <= 0:
            return 1.0
        return min(_MOST, _FLAT_SHARE + (1.0 - _FLAT_SHARE) * size / usual)
