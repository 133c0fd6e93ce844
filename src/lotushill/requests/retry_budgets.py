"""The retry budgets of all services, as one gateway's part of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.process.settings import RetrySettings


class RetryBudgets:
    """A budget a service, divided by the number of gateways."""

    def __init__(
        self,
        settings: RetrySettings,
        gateways: Callable[[], int],
        started: float = float("-inf"),
    ) -> None:
        """Share with `gateways` (0 while their number is not known) since the process `started`."""
        self._started = started
        self._settings = settings
        self._gateways = gateways
        self._budgets: dict[str, RetryBudget] = {}

    def change(self, settings: RetrySettings) -> None:
        """Use other settings from now on; what was counted so far stays."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_bounds(settings.ratio, settings.slack, settings.window_seconds)

    def note_request(self, service: str, now: float) -> None:
        """Note a client's request for a service."""
        self._of(service).note_request(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat if there is one left."""
        return self._of(service).try_spend(self._gateways(), now)

    def _of(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            settings = self._settings
            found = RetryBudget(
                settings.ratio, settings.slack, settings.window_seconds, self._started
            )
            self._budgets[service] = found
        return found
