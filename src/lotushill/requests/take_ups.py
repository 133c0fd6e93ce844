"""Streams that clients take up with a new request, after the last event that they have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.requests.stream_version import stream_lifetime
from lotushill.routing.route import RouteKind
from lotushill.versions.stream_key import stream_key

if TYPE_CHECKING:
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.routing.demand import Demand
    from lotushill.routing.route import Route
    from lotushill.versions.stream_origins import FoundOrigin


class UnknownOriginError(Exception):
    """Nobody knows at which version a stream began, so that it cannot go on."""


class TakeUps:
    """Finds where the streams began that clients take up."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def find_origin(self, route: Route, demand: Demand) -> FoundOrigin | None:
        """Return where the stream began that a request takes up, None for a new stream.

        Raise UnknownOriginError if nobody knows: what two versions write does not fit together.
        """
        is_taken_up = bool(demand.resumed_request_id or demand.last_event_id)
        if route.kind is not RouteKind.STREAM or not is_taken_up:
            return None
        services = [item.service for item in route.services]
        origin = await self._components.stream_origins.find(
            stream_key(demand.resumed_request_id), services, stream_lifetime(route)
        )
        if origin is None:
            self._note("stream.refused", demand, why="unknown version")
            raise UnknownOriginError
        self._note("stream.resumed", demand, version=origin.version, known_by=origin.known_by.value)
        return origin

    def service_name(self, route: Route, origin: FoundOrigin | None) -> str:
        """Return the service of a request: where its stream began, if that is on the route."""
        if origin is not None and any(item.service == origin.service for item in route.services):
            return origin.service
        return route.service_for(self._components.rng.random())

    def _note(self, event: str, demand: Demand, **fields: object) -> None:
        self._components.log.note(
            event,
            request=demand.request_id,
            resumes=demand.resumed_request_id,
            last_event=demand.last_event_id,
            **fields,
        )
