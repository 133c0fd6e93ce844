"""Placement of requests that may make upstreams fail: at one of a service, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.choice import Choice
    from lotushill.quarantine.isolation import Isolation
    from lotushill.scheduling.request import Request
    from lotushill.views.upstream_view import UpstreamView

_MIN_UPSTREAMS = 2
_NO_UPSTREAMS: frozenset[str] = frozenset()


class IsolationPolicy:
    """Restricts isolated groups to one upstream of their service, and excludes all others from it.

    If that upstream fails, only requests that are suspected themselves are lost, and since nothing
    runs beside such a request, the cause of the failure is evident. All gateways have the same
    groups and upstreams, so they select the same upstream without communication.
    """

    def __init__(
        self, isolation: Isolation, upstreams: UpstreamView, clock: Callable[[], float]
    ) -> None:
        self._isolation = isolation
        self._upstreams = upstreams
        self._clock = clock

    def excluded_upstreams(self, request: Request) -> frozenset[str]:
        """Return the ids of the upstreams of its service that a request must not use."""
        if self._isolation.is_empty:
            return _NO_UPSTREAMS
        now = self._clock()
        service = request.service.name
        isolated_upstream = self._isolated_upstream(service)
        if isolated_upstream is None or service not in self._isolation.isolated_services(now):
            return _NO_UPSTREAMS
        if self._isolation.is_isolated(request.groups, now):
            return frozenset(item.id for item in self._upstreams.of(service)) - {isolated_upstream}
        return frozenset((isolated_upstream,))

    def retry_delay(self, request: Request) -> float:
        """Return for how many seconds a request must not be sent to any upstream."""
        if self._isolation.is_empty:
            return 0.0
        return self._isolation.retry_delay(request.groups, self._clock())

    def admits(self, request: Request, choice: Choice) -> bool:
        """Return whether a request may run beside the requests running at its upstream."""
        if self._isolation.is_empty or not choice.running:
            return True
        if self._isolated_upstream(request.service.name) is None:
            return True
        return not self._isolation.is_isolated(request.groups, self._clock())

    def _isolated_upstream(self, service: str) -> str | None:
        """Return the upstream for isolated groups, None if the service has no other upstream."""
        upstream_ids = [item.id for item in self._upstreams.of(service)]
        return owner(service, upstream_ids) if len(upstream_ids) >= _MIN_UPSTREAMS else None
