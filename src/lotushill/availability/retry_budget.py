"""A gateway's part of the fleet's budget for sending a request once more."""

from __future__ import annotations

from collections import deque

_RATIO_SHARE = 0.8
_SLACK_SHARE = 0.8
"""What of the budget is used: the rest is for counts that differ at the edges of a window."""


class RetryBudget:
    """Counts requests and repeats of one service in a sliding window."""

    def __init__(
        self, ratio: float, slack: float, window: float, started: float = float("-inf")
    ) -> None:
        """Count from when the process `started`."""
        self._started = started
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.set_bounds(ratio, slack, window)

    def set_bounds(self, ratio: float, slack: float, window: float) -> None:
        """Use other bounds from now on; `window` is in seconds."""
        self._ratio = ratio * _RATIO_SHARE
        self._slack = slack * _SLACK_SHARE
        self._window = window

    def note_request(self, now: float) -> None:
        """Note a client's request."""
        self._requests.append(now)

    def try_spend(self, gateways: int, now: float) -> bool:
        """Take one repeat, if this gateway's part of the budget has one left.

        `gateways` is how many share the budget, 0 while that is not known.
        """
        self._forget(self._requests, now)
        self._forget(self._repeats, now)
        allowed = self._ratio * len(self._requests) + self._slack_part(gateways, now)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _slack_part(self, gateways: int, now: float) -> float:
        """Return what is allowed beyond the share of the own requests.

        Nothing while the fleet's size is not known, and nothing in the first window of a process:
        its host may have spent its part just before it was started again, and others count a new
        one in only after some seconds. So all parts together never exceed the budget.
        """
        if not gateways or now - self._started < self._window:
            return 0.0
        return self._slack / gateways

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window:
            times.popleft()
