"""A route: which requests it takes, what they may cost, and which services answer them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.rate_limit import RateLimit
    from lotushill.routing.urgency import Urgency


class RouteKind(Enum):
    """What a request on a route is, and so how often it may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """One of the services of a route, with its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route; times are seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: float
    """The longest that a request is held."""
    target: float
    """The time to the answer, or to a stream's first event, that earns full credit."""
    target_gap: float
    """The longest pause between events of a stream that is still in time; 0 for none."""
    urgency: Urgency
    max_attempts: int
    """Most upstreams that may run one request."""
    public: bool
    """Whether a request needs no API key."""
    resumable: bool
    """Whether a stream may be continued on another upstream."""
    may_repeat: bool = True
    """False where the settings tree forbids what the kind of the route allows."""
    share: float = 1.0
    """Weight of the team's part of the service, beside other teams of the tier."""
    limit: RateLimit | None = None
    """What the whole fleet takes of the team, None for any number of requests."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.may_repeat and (self.kind is RouteKind.IDEMPOTENT or self.resumable)

    def service_for(self, point: float) -> str:
        """Return the service for a point in [0, 1): each gets its share of all points."""
        total = sum(item.weight for item in self.services)
        left = point * total
        for item in self.services:
            left -= item.weight
            if left < 0:
                return item.service
        return self.services[-1].service
