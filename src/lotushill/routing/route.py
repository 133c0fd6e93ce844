"""Routes: the requests that they match, their limits, and the services that answer them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.rate_limit import RateLimit
    from lotushill.routing.urgency import Urgency


class RouteKind(Enum):
    """Kind of the requests on a route, which determines how often a request may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route; times are in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: float
    """Maximum time that a request may take."""
    target: float
    """Time to the answer, or to a stream's first event, that earns full credit."""
    target_gap: float
    """Longest pause between events of a stream that is still in time; 0 for none."""
    urgency: Urgency
    max_attempts: int
    """Maximum number of upstreams that may run one request."""
    public: bool
    """Whether requests need no API key."""
    resumable: bool
    """Whether a stream may be continued on another upstream."""
    may_repeat: bool = True
    """False if the settings tree forbids repeats that the kind of the route allows."""
    share: float = 1.0
    """Weight of the team's share of the service, relative to other teams of the tier."""
    limit: RateLimit | None = None
    """Rate limit of the team over the whole fleet, None for no limit."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.may_repeat and (self.kind is RouteKind.IDEMPOTENT or self.resumable)

    def service_for(self, point: float) -> str:
        """Return the service for a point in [0, 1).

        Each service covers a part of the range in proportion to its weight.
        """
        total = sum(item.weight for item in self.services)
        left = point * total
        for item in self.services:
            left -= item.weight
            if left < 0:
                return item.service
        return self.services[-1].service
