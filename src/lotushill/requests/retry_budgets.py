"""One gateway's share of the retry budgets of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.retry_budget import ReservedRetries
from lotushill.availability.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.process.settings import RetrySettings


class RetryBudgets:
    """One retry budget for each service, divided by the number of gateways."""

    def __init__(
        self,
        settings: RetrySettings,
        gateways: Callable[[], int],
        started: float = float("-inf"),
    ) -> None:
        """Share budgets among `gateways()` gateways, 0 while their number is unknown.

        `started` is the time at which the process started.
        """
        self._started = started
        self._settings = settings
        self._gateways = gateways
        self._budgets: dict[str, RetryBudget] = {}

    def change(self, settings: RetrySettings) -> None:
        """Use other settings from now on; requests and retries counted so far are kept."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_bounds(settings.ratio, settings.slack, settings.window_seconds)

    def note_request(self, service: str, now: float) -> None:
        """Record a client's request for a service."""
        self._budget(service).note_request(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry if one is left; return whether it was spent."""
        return self._budget(service).try_spend(self._gateways(), now)

    def has_left(self, service: str, now: float) -> bool:
        """Return whether a retry is left."""
        return self._budget(service).has_left(self._gateways(), now)

    def try_reserve(self, service: str, count: int, now: float) -> ReservedRetries | None:
        """Reserve `count` retries for one request; return None if fewer are left."""
        budget = self._budget(service)
        if not budget.try_reserve(count, self._gateways(), now):
            return None
        return ReservedRetries(budget, count, self._gateways)

    def reserved(self, service: str) -> int:
        """Return the number of retries of a service that are reserved now."""
        return self._budget(service).reserved

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(
                settings.ratio, settings.slack, settings.window_seconds, self._started
            )
            self._budgets[service] = budget
        return budget
