"""The lasting paces of the upstreams of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.engine_pace import ServiceEnginePaces

if TYPE_CHECKING:
    from collections.abc import Collection

    from lotushill.placement.engine_pace import EnginePace
    from lotushill.placement.engine_pace import LongTermPace


class FleetPaces:
    """Paces by service."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceEnginePaces] = {}

    def for_service(self, service: str) -> ServiceEnginePaces:
        """Return the paces of a service's upstreams."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceEnginePaces()
        return found

    def known_paces(self) -> list[LongTermPace]:
        """Return the lasting paces of all upstreams of which something is known."""
        return [item for paces in self._services.values() for item in paces.known_paces()]

    def deviating_paces(self) -> list[LongTermPace]:
        """Return the upstreams that are known to differ from their like."""
        return [item for paces in self._services.values() for item in paces.deviating_paces()]

    def adopt_reported(self, told: LongTermPace, service: str, pace: EnginePace) -> None:
        """Take what another scheduler has found, where nothing is known here."""
        self.for_service(service).adopt_reported(told, pace)

    def take_changes(self) -> list[LongTermPace]:
        """Return the lasting paces that changed since this was asked before."""
        return [item for paces in self._services.values() for item in paces.take_changes()]

    def retain(self, upstreams: Collection[str]) -> None:
        """Count out all upstreams but some."""
        for paces in self._services.values():
            paces.retain(upstreams)
