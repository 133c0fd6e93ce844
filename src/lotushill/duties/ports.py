"""What the duties ask of the rest of a gateway, of the store and of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.links.messages import MemberState
    from lotushill.links.messages import WorkPage
    from lotushill.links.messages import WorkPull
    from lotushill.platform.duty_api import CallOutcome
    from lotushill.platform.duty_api import EngineOrder
    from lotushill.platform.duty_api import LeaseCredentials
    from lotushill.routing.service import Service
    from lotushill.views.stored_object import StoredObject
    from lotushill.views.upstream_view import UpstreamView


class Store(Protocol):
    """The calls to the platform's store that a keeper makes."""

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object, None if there is none."""
        ...

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object that is not there."""
        ...

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object at a revision."""
        ...


class Platform(Protocol):
    """The calls that the holder of the duties makes."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], signature: LeaseCredentials
    ) -> CallOutcome:
        """Report the requests of each team that began in a window."""
        ...

    async def order(self, order: EngineOrder, signature: LeaseCredentials) -> CallOutcome:
        """Order engines."""
        ...


@dataclass(frozen=True)
class FleetAccess:
    """What the keeper sees of the fleet."""

    members: Callable[[], Iterable[MemberState]]
    """All live members, this one included."""
    reads_store: Callable[[], bool]
    """Whether the store serves this gateway, so that it may hold the duties."""
    rank: Callable[[], int]
    """Its place among all such gateways, 0 for the first."""
    services: Callable[[], Iterable[Service]]
    upstreams: UpstreamView
    send_pull: Callable[[WorkPull, str], None]
    """Sends a question for counts to an address."""
    request_rate_limit: Callable[[str], float]
    """Requests a second that an upstream takes from all gateways, infinity without a limit."""
    stream_seconds: Callable[[str], float]
    """How long a request of a service runs, as far as this gateway knows."""
    own_pages: Callable[[int], Iterable[WorkPage]]
    """What this gateway counted since a window."""
