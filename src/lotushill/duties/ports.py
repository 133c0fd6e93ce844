"""Interfaces through which the duties use the gateway, the store and the platform."""

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
    """The operations of the platform's store that the duties use."""

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        ...

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object that does not exist yet."""
        ...

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object if it is at the given revision."""
        ...


class Platform(Protocol):
    """The calls to the platform that the holder of the duties makes."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], credentials: LeaseCredentials
    ) -> CallOutcome:
        """Report the requests of each team that began in a window."""
        ...

    async def order(self, order: EngineOrder, credentials: LeaseCredentials) -> CallOutcome:
        """Order engines of one kind in one hall."""
        ...


@dataclass(frozen=True)
class FleetAccess:
    """Access of the duties to the state of the fleet."""

    members: Callable[[], Iterable[MemberState]]
    """Returns all live members, including this gateway."""
    reads_store: Callable[[], bool]
    """Returns whether the store serves this gateway, so that it may hold the duties."""
    rank: Callable[[], int]
    """Returns the rank of this gateway among all that the store serves, 0 for the first."""
    candidates: Callable[[], int]
    """Returns the number of gateways that the store serves, including this one."""
    services: Callable[[], Iterable[Service]]
    upstreams: UpstreamView
    send_pull: Callable[[WorkPull, str], None]
    """Sends a request for counts to an address."""
    request_rate_limit: Callable[[str], float]
    """Returns the requests per second that an upstream accepts from all gateways together.

    Infinity means no limit.
    """
    stream_seconds: Callable[[str], float]
    """Returns the seconds for which a request of a service runs, as known to this gateway."""
    own_pages: Callable[[int], Iterable[WorkPage]]
    """Returns the counts of this gateway from a window on."""
