"""Schemes by which gateways can jointly keep to a limit; production uses `permits`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import StatedLimits
from lotushill.event_log import EventLog
from lotushill.limits.fleet_limits import FleetLimits
from lotushill.limits.limit_owners import LimitOwners
from lotushill.limits.permit_rank import PermitRanks
from lotushill.limits.permit_request import PermitRequest
from lotushill.limits.team_limits import TeamLimits
from lotushill.membership.schedulers import Schedulers
from lotushill.placement.fleet import Fleet
from lotushill.rendezvous import ranked
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.limit_messages import PermitAnswer
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.membership.members import Members
    from lotushill.routing.rate_limit import RateLimit
    from lotushill.routing.upstream import Upstream

SCHEMES = ("permits", "shares", "few")
TEAM_SCHEME = "team"
"""Name of the scheme for a team's limit, which is configured and not stated by an engine."""
_BUCKET_DEPTH = 1.0
_MAX_TEAM_WAIT_SECONDS = 0.4
"""Time that a request waits for a permit under the limit of its team."""


class Scheme(Protocol):
    """The admission decisions of one gateway under one scheme."""

    limits: FleetLimits
    """Stores and publishes limit reports; only the scheme `permits` requests permits from it."""

    async def admit(self, tier: int) -> bool:
        """Return whether a request of a tier may be sent to the upstream now."""

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer the permit request of another gateway."""


class Permits:
    """One gateway owns the limit and counts requests; all gateways request permits from it."""

    def __init__(self, limits: FleetLimits, upstream: Upstream) -> None:
        self.limits = limits
        self._upstream = upstream

    async def admit(self, tier: int) -> bool:
        """Request a permit for the upstream."""
        return await self.limits.admit(PermitRequest(self._upstream, f"tier-{tier}", tier))

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a permit request if this gateway is the owner of the limit."""
        return self.limits.answer(ask)


class TeamPermits:
    """One gateway owns the limit of a team; all gateways request permits from it."""

    def __init__(
        self,
        limits: FleetLimits,
        members: Members,
        limit: RateLimit,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.limits = limits
        self._limit = limit
        self._clock = clock
        self._team_limits = TeamLimits(make_limit_owners(members), limits.client, rng, clock)

    async def admit(self, tier: int) -> bool:
        """Request a permit of the team until it is granted or the request stops waiting."""
        deadline = self._clock() + _MAX_TEAM_WAIT_SECONDS
        while True:
            pause = await self._team_limits.request_permit(self._limit, tier)
            if pause <= 0.0:
                return True
            if self._clock() + pause > deadline:
                return False
            await asyncio.sleep(pause)

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a permit request if this gateway is the owner of the limit."""
        return self._team_limits.answer(ask)


class EqualShares:
    """Each gateway uses an equal fraction of the limit, without coordination."""

    def __init__(
        self, limits: FleetLimits, upstream: Upstream, members: Members, clock: Callable[[], float]
    ) -> None:
        self.limits = limits
        self._upstream = upstream
        self._members = members
        self._clock = clock
        self._tokens = _BUCKET_DEPTH
        self._updated_at = 0.0

    async def admit(self, tier: int) -> bool:
        """Take a token from the fraction of the limit that this gateway has."""
        rate = self.limits.stated.rate(self._upstream.id)
        return rate == NO_LIMIT or self._take(rate / len(self._members.all()))

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a permit request; no gateway sends one in this scheme."""
        return self.limits.answer(ask)

    def _take(self, rate: float) -> bool:
        now = self._clock()
        self._tokens = min(_BUCKET_DEPTH, self._tokens + rate * (now - self._updated_at))
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SelectedShares(EqualShares):
    """A few gateways, chosen by hash, use equal fractions of the limit; the others send nothing.

    There is about one such gateway for each request per second of the limit.
    """

    async def admit(self, tier: int) -> bool:
        """Take a token if this gateway is one of those that have a fraction of the limit."""
        rate = self.limits.stated.rate(self._upstream.id)
        if rate == NO_LIMIT:
            return True
        names = [item.name for item in self._members.live()]
        selected = ranked(self._upstream.id, names, max(1, min(len(names), round(rate))))
        return self._members.own.name in selected and self._take(rate / len(selected))


def make_limits(
    members: Members,
    upstream: Upstream,
    send: Callable[[PermitAsk, str], None],
    broadcast: Callable[[LimitNews], None],
    rng: random.Random,
    clock: Callable[[], float],
) -> FleetLimits:
    """Return the limits of one gateway, built from the classes that production uses."""
    view = UpstreamView()
    view.replace([upstream], 1)
    owners = make_limit_owners(members)
    log, stated = EventLog(members.own.name, lambda _: None), StatedLimits()
    ranks = PermitRanks(Fleet(members.own.hall), stated, view.of)
    return FleetLimits(view, owners, stated, ranks, send, broadcast, log, rng, clock)


def make_limit_owners(members: Members) -> LimitOwners:
    """Return the limit owners as one gateway sees them."""
    return LimitOwners(members, Schedulers(members), lambda: 0)


def make_scheme(
    name: str,
    limits: FleetLimits,
    members: Members,
    upstream: Upstream,
    clock: Callable[[], float],
) -> Scheme:
    """Return the decisions of one gateway under one of the schemes in `SCHEMES`."""
    if name == "permits":
        return Permits(limits, upstream)
    scheme_class = {"shares": EqualShares, "few": SelectedShares}[name]
    return scheme_class(limits, upstream, members, clock)
