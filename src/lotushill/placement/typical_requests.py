"""Typical sizes of the requests of each route, with which single requests are compared."""

from __future__ import annotations

from collections import defaultdict

from lotushill.placement.messages import route_number

_WEIGHT = 0.02
"""Weight of one request in the moving average: about the last 50 count."""
_CONSTANT_FRACTION = 0.3
_MAX_REQUEST_WEIGHT = 4.0


class _Average:
    """Mean of the first values, then a moving average."""

    def __init__(self) -> None:
        self.value = 0.0
        self._count = 0

    def note(self, value: float) -> None:
        """Record one value."""
        self._count += 1
        self.value += max(_WEIGHT, 1.0 / self._count) * (value - self.value)


class TypicalRequests:
    """Averages by service and route."""

    def __init__(self) -> None:
        self._sizes: defaultdict[str, _Average] = defaultdict(_Average)
        self._prompts: defaultdict[str, defaultdict[int, _Average]] = defaultdict(
            lambda: defaultdict(_Average)
        )
        self._prefills: defaultdict[str, defaultdict[int, _Average]] = defaultdict(
            lambda: defaultdict(_Average)
        )

    def note_size(self, route: str, size: float) -> None:
        """Record the size of one request."""
        self._sizes[route].note(size)

    def note_prompt(
        self, service: str, route: int, prompt_tokens: int, prefill_tokens: int
    ) -> None:
        """Record the prompt tokens of one request, and those of them that had to be processed.

        `route` is the number of its route.
        """
        self._prompts[service][route].note(prompt_tokens)
        self._prefills[service][route].note(prefill_tokens)

    def weight(self, route: str, size: float) -> float:
        """Return the weight of a request relative to a typical one of its route."""
        typical = self._sizes[route].value
        if typical <= 0:
            return 1.0
        return min(
            _MAX_REQUEST_WEIGHT, _CONSTANT_FRACTION + (1.0 - _CONSTANT_FRACTION) * size / typical
        )

    def prefill_tokens(self, service: str, route: str) -> float:
        """Return the typical prefill tokens of a route's requests, 0 before the first request."""
        return self._prefills[service][route_number(route)].value

    def prompt_tokens(self, service: str, route: str) -> float:
        """Return the typical prompt tokens of a route, 0 before the first request."""
        return self._prompts[service][route_number(route)].value

    def longest_prompt_tokens(self, service: str) -> float:
        """Return the typical prompt tokens of the service's route with the longest prompts."""
        return max((item.value for item in self._prompts[service].values()), default=0.0)
