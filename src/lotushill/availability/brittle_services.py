"""Services whose upstreams fall over if they have to reject too many requests. Pure.

All gateways together make an upstream reject, so that each must not send one more than there is
room for, by the load of all. Only the slots count as room: brittle upstreams may let nobody wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.routing.upstream import Upstream

_GONE_UPSTREAM_SECONDS = 10.0
"""Time for which the statement of an upstream that is in no view any more counts for its service:
upstreams that fell over are back within it, as new incarnations that have not answered yet."""


class BrittleServices:
    """Rejections per second that the upstreams of brittle services bear."""

    def __init__(self) -> None:
        self._max_rejections: dict[str, float] = {}
        self._services: dict[str, str] = {}
        """Service of each upstream that stated a number, also after it is gone."""

    def update(
        self, stated: StatedLimits, find: Callable[[str], Upstream | None], now: float
    ) -> None:
        """Recompute which services are brittle from the newest statements of their upstreams.

        `find` returns the upstream with an id, None if it is in no view.
        """
        if stated.empty:
            if self._max_rejections:
                self._max_rejections, self._services = {}, {}
            return
        lowest: dict[str, float] = {}
        services: dict[str, str] = {}
        for upstream_id, report in stated.reports().items():
            upstream = find(upstream_id)
            service = upstream.service if upstream else self._services.get(upstream_id)
            if service is None:
                continue
            services[upstream_id] = service
            is_old = upstream is None and now - report.received_at > _GONE_UPSTREAM_SECONDS
            if report.rate < NO_LIMIT and not is_old:
                lowest[service] = min(report.rate, lowest.get(service, NO_LIMIT))
        self._max_rejections, self._services = lowest, services

    def is_brittle(self, service: str) -> bool:
        """Return whether upstreams of a service must not be sent more than they have slots."""
        return service in self._max_rejections

    def max_rejections(self, service: str) -> float | None:
        """Return how many rejections per second each upstream bears, None if nothing is stated."""
        return self._max_rejections.get(service)

    def services(self) -> frozenset[str]:
        """Return the brittle services."""
        return frozenset(self._max_rejections)
