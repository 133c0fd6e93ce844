"""What the requests of each route usually are, so that one request can be held against it."""

from __future__ import annotations

from collections import defaultdict

from lotushill.placement.messages import route_number

_WEIGHT = 0.02
_FLAT_SHARE = 0.3
_MOST = 4.0


class _Average:
    """A moving average that starts at its first value."""

    def __init__(self) -> None:
        self.value = 0.0

    def note(self, value: float) -> None:
        """Note one value."""
        self.value = value if not self.value else self.value + _WEIGHT * (value - self.value)


class UsualRequests:
    """Moving averages by service and route."""

    def __init__(self) -> None:
        self._sizes: defaultdict[str, _Average] = defaultdict(_Average)
        self._readings: defaultdict[str, defaultdict[int, _Average]] = defaultdict(
            lambda: defaultdict(_Average)
        )

    def note_size(self, route: str, size: float) -> None:
        """Note the size of one request."""
        self._sizes[route].note(size)

    def note_reading(self, service: str, route: int, tokens: int) -> None:
        """Note the prompt tokens that an upstream had to read for one request.

        `route` is the number of its route.
        """
        self._readings[service][route].note(tokens)

    def weight(self, route: str, size: float) -> float:
        """Return what a request counts for beside a usual one of its route."""
        usual = self._sizes[route].value
        if usual <= 0:
            return 1.0
        return min(_MOST, _FLAT_SHARE + (1.0 - _FLAT_SHARE) * size / usual)

    def reading(self, service: str, route: str) -> float:
        """Return the tokens usually read for a request of a route."""
        return self._readings[service][route_number(route)].value

    def longest(self, service: str) -> float:
        """Return the tokens usually read on the service's route with the longest prompts."""
        return max((item.value for item in self._readings[service].values()), default=0.0)
