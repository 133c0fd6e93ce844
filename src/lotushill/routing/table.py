"""The routing table: the contents of one version of the configuration."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lotushill.routing.exceptions import InvalidTableError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.routing.limits import ClientLimits
    from lotushill.routing.route import Route
    from lotushill.routing.service import Service
    from lotushill.routing.team import Team


class RoutingTable:
    """Immutable lookup of the route, the team and the service of a request."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        teams: Iterable[Team],
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.teams = tuple(teams)
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._add(route)
        self._by_key = {key: team for team in self.teams for key in team.api_keys}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix, or None."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def route(self, name: str) -> Route | None:
        """Return the route with a name."""
        for routes in self._by_host.values():
            for route in routes.values():
                if route.name == name:
                    return route
        return None

    def team_by_name(self, name: str) -> Team | None:
        """Return the team with a name."""
        return next((team for team in self.teams if team.name == name), None)

    def team(self, api_key: str) -> Team | None:
        """Return the team that owns an API key."""
        return self._by_key.get(api_key)

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not public need a key."""
        return bool(self.teams)

    def _add(self, route: Route) -> None:
        if not route.services:
            raise InvalidTableError(f"routes.{route.name}", "the route lists no service")
        for item in route.services:
            if item.service not in self.services:
                raise InvalidTableError(
                    f"routes.{route.name}", f"service {item.service!r} is not defined"
                )
        self._by_host[route.host.lower()][route.path_prefix] = route
