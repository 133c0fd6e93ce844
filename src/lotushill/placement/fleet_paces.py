"""Long-term paces of the upstreams of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.engine_pace import ServicePaces

if TYPE_CHECKING:
    from collections.abc import Collection

    from lotushill.placement.engine_pace import EnginePace
    from lotushill.placement.engine_pace import LastingPace


class FleetPaces:
    """Paces by service."""

    def __init__(self) -> None:
        self._services: dict[str, ServicePaces] = {}

    def of(self, service: str) -> ServicePaces:
        """Return the paces of a service's upstreams."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServicePaces()
        return found

    def known(self) -> list[LastingPace]:
        """Return the long-term paces of all upstreams of which something is known."""
        return [item for paces in self._services.values() for item in paces.known()]

    def lasting(self) -> list[LastingPace]:
        """Return the long-term paces of the upstreams that differ from others of their service."""
        return [item for paces in self._services.values() for item in paces.lasting()]

    def presume(self, told: LastingPace, service: str, pace: EnginePace) -> None:
        """Adopt a pace reported by another scheduler if none is known here."""
        self.of(service).presume(told, pace)

    def take_changes(self) -> list[LastingPace]:
        """Return the long-term paces that changed since the last call."""
        return [item for paces in self._services.values() for item in paces.take_changes()]

    def keep(self, upstreams: Collection[str]) -> None:
        """Remove all upstreams except `upstreams`."""
        for paces in self._services.values():
            paces.keep(upstreams)
