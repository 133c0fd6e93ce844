"""Counts of the requests of one gateway, for the holder of the duties."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from lotushill.links.messages import ServiceDemand
from lotushill.links.messages import TeamCount
from lotushill.links.messages import WorkPage

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from lotushill.duties.true_time import TrueTime

_WINDOWS_KEPT = 16
"""Number of windows that are kept because a holder may still request them."""
_MAX_COUNTS_PER_PAGE = 40
"""Limit of the counts in one datagram."""


class RequestCounter:
    """Counts requests started at an upstream by team and window, and requests in progress."""

    def __init__(
        self, name: str, window_seconds: float, time: TrueTime, clock: Callable[[], float]
    ) -> None:
        """Count for the gateway `name`; a window lasts `window_seconds` of true time."""
        self._name = name
        self._window_seconds = window_seconds
        self._time = time
        self._clock = clock
        self._started = clock()
        self._windows: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._running: Counter[str] = Counter()

    def window(self) -> int:
        """Return the number of the window that is open now."""
        return int(self._time.now() // self._window_seconds)

    def record_start(self, team: str) -> None:
        """Count a request that starts at an upstream now."""
        if not team:
            return
        window = self.window()
        if window not in self._windows:
            self._discard_old(window)
        self._windows[window][team] += 1

    def increment_running(self, service: str) -> None:
        """Increment the number of requests in progress for a service."""
        self._running[service] += 1

    def decrement_running(self, service: str) -> None:
        """Decrement the number of requests in progress for a service."""
        self._running[service] -= 1

    def pages(self, since: int) -> Iterator[WorkPage]:
        """Yield the counts of the windows from `since` on, in pages that fit a datagram.

        Counts only increase, so pages may be lost, duplicated or reordered.
        """
        counts = [
            TeamCount(window, team, count)
            for window, teams in self._windows.items()
            if window >= since
            for team, count in teams.items()
        ]
        demand = tuple(
            ServiceDemand(service, running) for service, running in self._running.items()
        )
        for start in range(0, max(1, len(counts)), _MAX_COUNTS_PER_PAGE):
            yield WorkPage(
                self._name,
                age=self._clock() - self._started,
                wall=self._time.wall(),
                counts=tuple(counts[start : start + _MAX_COUNTS_PER_PAGE]),
                demand=demand if start == 0 else (),
            )

    def _discard_old(self, newest: int) -> None:
        for window in [item for item in self._windows if item <= newest - _WINDOWS_KEPT]:
            del self._windows[window]
