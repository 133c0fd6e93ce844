"""Services whose upstreams fall over if they have to reject too many requests. Pure.

All gateways together make an upstream reject, so that each must not send one more than there is
room for, by the load of all. Only the slots count as room: brittle upstreams may let nobody wait.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from lotushill.routing.upstream import Upstream

_GONE_UPSTREAM_SECONDS = 10.0
"""Time for which the statement of an upstream that is in no view any more counts for its service:
upstreams that fell over are back within it, as new incarnations that have not answered yet."""


class RejectionReport(Protocol):
    """What an upstream stated in its newest answer."""

    @property
    def rate(self) -> float:
        """Rejections per second that it bears, infinity if it stated none."""

    @property
    def received_at(self) -> float:
        """When its answer was received."""


class BrittleServices:
    """Rejections per second that the upstreams of brittle services bear."""

    def __init__(self) -> None:
        self._max_rejections: dict[str, float] = {}
        self._services: dict[str, str] = {}
        """Service of each upstream that stated a number, also after it is gone."""

    def update(
        self,
        reports: Mapping[str, RejectionReport],
        find: Callable[[str], Upstream | None],
        now: float,
    ) -> None:
        """Recompute which services are brittle from the newest reports by upstream id.

        `find` returns the upstream with an id, None if it is in no view.
        """
        if not reports:
            if self._max_rejections:
                self._max_rejections, self._services = {}, {}
            return
        lowest: dict[str, float] = {}
        services: dict[str, str] = {}
        for upstream_id, report in reports.items():
            upstream = find(upstream_id)
            service = upstream.service if upstream else self._services.get(upstream_id)
            if service is None:
                continue
            services[upstream_id] = service
            is_old = upstream is None and now - report.received_at > _GONE_UPSTREAM_SECONDS
            if report.rate < math.inf and not is_old:
                lowest[service] = min(report.rate, lowest.get(service, math.inf))
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
