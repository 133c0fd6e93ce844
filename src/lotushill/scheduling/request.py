"""One client request, checked against the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from lotushill.quarantine.group import groups_of
from lotushill.quarantine.identity import identity_of
from lotushill.quarantine.shared_part import SharedPart

if TYPE_CHECKING:
    from lotushill.placement.need import Need
    from lotushill.platform.upstream_answer import Headers
    from lotushill.quarantine.group import Group
    from lotushill.routing.demand import Demand
    from lotushill.routing.route import Route
    from lotushill.routing.service import Service


@dataclass(frozen=True)
class Request:
    """A request that may be sent to an upstream; times are on the loop's clock."""

    key: str
    """Unique over all gateways."""
    demand: Demand
    method: bytes
    target: bytes
    headers: Headers
    """The client's headers that are forwarded."""
    body: bytes
    route: Route
    """Route with the values that the settings tree puts in force for the team."""
    service: Service
    need: Need
    team: str
    arrived: float
    ends: float
    """When the time limit of the client or the route ends."""

    @cached_property
    def identity(self) -> bytes:
        """Return a hash that stays the same when the caller sends the request again."""
        return identity_of(self.team, self.demand.host, self.method, self.target, self.body)

    @cached_property
    def shared_parts(self) -> tuple[SharedPart, ...]:
        """Return the parts of the prompt that other requests may share: all but the last one."""
        ids = dict.fromkeys(part.id for part in self.need.parts[:-1])
        return tuple(SharedPart(self.demand.model, part_id) for part_id in ids)

    @cached_property
    def groups(self) -> tuple[Group, ...]:
        """Return the quarantine groups that the caller's next request may share with this one."""
        return groups_of(self.service.name, self.team, self.route.name, self.target)
