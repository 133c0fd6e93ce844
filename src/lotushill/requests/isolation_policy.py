"""Where requests run that may end their upstream: at one of a service, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.choice import Choice
    from lotushill.quarantine.isolation import Isolation
    from lotushill.scheduling.request import Request
    from lotushill.views.upstream_view import UpstreamView

_LEAST_UPSTREAMS = 2
_NOBODY: frozenset[str] = frozenset()


class IsolationPolicy:
    """Keeps groups that are isolated at one upstream of their service, and all others from it.

    Whatever ends there takes nothing with it that is not suspected itself, and since nothing else
    runs beside it, an end shows its cause. All gateways know the same groups and upstreams, and so
    come to the same one without asking.
    """

    def __init__(
        self, isolation: Isolation, upstreams: UpstreamView, clock: Callable[[], float]
    ) -> None:
        self._isolation = isolation
        self._upstreams = upstreams
        self._clock = clock

    def excluded_upstreams(self, request: Request) -> frozenset[str]:
        """Return the upstreams of its service that a request is to be kept from."""
        if self._isolation.is_empty:
            return _NOBODY
        now = self._clock()
        service = request.service.name
        ward = self._ward_of(service)
        if ward is None or service not in self._isolation.isolated_services(now):
            return _NOBODY
        if self._isolation.is_isolated(request.groups, now):
            return frozenset(item.id for item in self._upstreams.of(service)) - {ward}
        return frozenset((ward,))

    def retry_delay(self, request: Request) -> float:
        """Return for how many seconds a request is not to be tried at all."""
        if self._isolation.is_empty:
            return 0.0
        return self._isolation.retry_delay(request.groups, self._clock())

    def admits(self, request: Request, choice: Choice) -> bool:
        """Return whether a request may run beside what runs at its upstream."""
        if self._isolation.is_empty or not choice.running:
            return True
        if self._ward_of(request.service.name) is None:
            return True
        return not self._isolation.is_isolated(request.groups, self._clock())

    def _ward_of(self, service: str) -> str | None:
        """Return the upstream for those kept apart, None where there is no other one."""
        known = [item.id for item in self._upstreams.of(service)]
        return owner(service, known) if len(known) >= _LEAST_UPSTREAMS else None
