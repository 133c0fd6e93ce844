"""A gateway's part of the fleet's retry budget."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

NO_RETRY_LEFT = "no retry left"
"""Reason in the log for what is not done without a retry."""
_USED_RATIO_FRACTION = 0.8
_USED_SLACK_FRACTION = 0.8
"""Fractions of ratio and slack that are used; the remainder covers counts that differ between
gateways at the edges of a window."""


class RetryBudget:
    """Counts requests and retries of one service in a sliding window."""

    def __init__(
        self, ratio: float, slack: float, window: float, started: float = float("-inf")
    ) -> None:
        """Create the budget; `started` is the time at which the process started."""
        self._started = started
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._reserved = 0
        """Retries that may be made at any time, and so count as made now."""
        self.set_bounds(ratio, slack, window)

    def set_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Replace the bounds; `window` is in seconds."""
        self._ratio = ratio * _USED_RATIO_FRACTION
        self._slack = slack * _USED_SLACK_FRACTION
        self._window = window

    @property
    def reserved(self) -> int:
        """Return the number of retries that are reserved now."""
        return self._reserved

    def note_request(self, now: float) -> None:
        """Record a client's request."""
        self._requests.append(now)

    def try_spend(self, gateways: int, now: float) -> bool:
        """Take one retry and return True if this gateway's part of the budget has one left.

        `gateways` is the number of gateways that share the budget, 0 while it is unknown.
        """
        if self._left(gateways, now) < 1:
            return False
        self._retries.append(now)
        return True

    def try_reserve(self, count: int, gateways: int, now: float) -> bool:
        """Reserve `count` retries and return True if that many are left, else reserve none."""
        if self._left(gateways, now) < count:
            return False
        self._reserved += count
        return True

    def try_spend_reserved(self, gateways: int, now: float) -> bool:
        """Take one of the reserved retries and return True.

        Return False if this gateway's part has become too small for it in the meantime.
        """
        if self._left(gateways, now) + self._reserved < 1:
            return False
        self._reserved -= 1
        self._retries.append(now)
        return True

    def take_back(self, spent_at: float) -> None:
        """Reserve a retry again that was spent at a time and not made."""
        if spent_at in self._retries:
            self._retries.remove(spent_at)
        self._reserved += 1

    def has_left(self, gateways: int, now: float) -> bool:
        """Return whether a retry is left."""
        return self._left(gateways, now) >= 1

    def release(self, count: int) -> None:
        """Return reserved retries that are not made."""
        self._reserved -= count

    def _left(self, gateways: int, now: float) -> float:
        self._drop_old(self._requests, now)
        self._drop_old(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._slack_part(gateways, now)
        return allowed - len(self._retries) - self._reserved

    def _slack_part(self, gateways: int, now: float) -> float:
        """Return the retries allowed beyond the ratio of this gateway's own requests.

        It is 0 while the fleet's size is unknown, and in the first window of a process: the
        previous process on its host may have spent its part just before the restart, and other
        gateways count a new one only after some seconds. So all parts together never exceed the
        budget.
        """
        if not gateways or now - self._started < self._window:
            return 0.0
        return self._slack / gateways

    def _drop_old(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window:
            times.popleft()


class ReservedRetries:
    """Retries of one request that no other request can spend; released when no longer needed."""

    def __init__(self, budget: RetryBudget, count: int, gateways: Callable[[], int]) -> None:
        """Hold `count` retries that were reserved from `budget`."""
        self._budget = budget
        self._gateways = gateways
        self._left = count
        self._spent_at = 0.0

    def try_spend(self, now: float) -> bool:
        """Spend a reserved retry, or one of the budget once none is left; return whether it was."""
        self._spent_at = now
        if not self._left:
            return self._budget.try_spend(self._gateways(), now)
        if not self._budget.try_spend_reserved(self._gateways(), now):
            return False
        self._left -= 1
        return True

    def take_back(self) -> None:
        """Reserve the retry spent last again, as it was not made."""
        self._budget.take_back(self._spent_at)
        self._left += 1

    def release(self) -> None:
        """Return the reserved retries that were not spent."""
        self._budget.release(self._left)
        self._left = 0
