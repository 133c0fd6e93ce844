"""Long-term paces of the upstreams of all services."""

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
        paces = self._services.get(service)
        if paces is None:
            paces = self._services[service] = ServiceEnginePaces()
        return paces

    def known_paces(self) -> list[LongTermPace]:
        """Return the long-term paces of all upstreams of which something is known."""
        return [item for paces in self._services.values() for item in paces.known_paces()]

    def deviating_paces(self) -> list[LongTermPace]:
        """Return the long-term paces of the upstreams that differ from others of their service."""
        return [item for paces in self._services.values() for item in paces.deviating_paces()]

    def adopt_reported(self, reported: LongTermPace, service: str, pace: EnginePace) -> None:
        """Adopt a pace reported by another scheduler if none is known here."""
        self.for_service(service).adopt_reported(reported, pace)

    def take_changes(self) -> list[LongTermPace]:
        """Return the long-term paces that changed since the last call."""
        return [item for paces in self._services.values() for item in paces.take_changes()]

    def retain(self, upstreams: Collection[str]) -> None:
        """Remove all upstreams except `upstreams`."""
        for paces in self._services.values():
            paces.retain(upstreams)
