"""Ways in which gateways may keep to a limit together; `permits` is the one in force."""

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

WAYS = ("permits", "shares", "few")
TEAM = "team"
"""The way of a team's limit, which no engine names."""
_SHARE_DEPTH = 1.0
_TEAM_PATIENCE = 0.4
"""Seconds that a request waits for the limit of its team."""


class Way(Protocol):
    """One gateway's decisions."""

    limits: FleetLimits
    """Where words are kept and told; asked for permits in one way only."""

    async def admit(self, tier: int) -> bool:
        """Return whether a request may be sent to the upstream now."""

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer another gateway."""


class Permits:
    """One gateway counts, and all ask it."""

    def __init__(self, limits: FleetLimits, upstream: Upstream) -> None:
        self.limits = limits
        self._upstream = upstream

    async def admit(self, tier: int) -> bool:
        """Ask for a permit."""
        return await self.limits.admit(PermitRequest(self._upstream, f"tier-{tier}", tier))

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer as the one that counts, if this gateway is."""
        return self.limits.answer(ask)


class TeamPermits:
    """One gateway counts for the limit of a team, and all ask it."""

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
        self._own = TeamLimits(counting_gateways(members), limits.client, rng, clock)

    async def admit(self, tier: int) -> bool:
        """Ask whether the limit lets one through, for as long as a request waits."""
        ends = self._clock() + _TEAM_PATIENCE
        while True:
            pause = await self._own.request_permit(self._limit, tier)
            if pause <= 0.0:
                return True
            if self._clock() + pause > ends:
                return False
            await asyncio.sleep(pause)

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer as the one that counts, if this gateway is."""
        return self._own.answer(ask)


class Shares:
    """Each gateway spends an equal part of the limit by itself."""

    def __init__(
        self, limits: FleetLimits, upstream: Upstream, members: Members, clock: Callable[[], float]
    ) -> None:
        self.limits = limits
        self._upstream = upstream
        self._members = members
        self._clock = clock
        self._level = _SHARE_DEPTH
        self._at = 0.0

    async def admit(self, tier: int) -> bool:
        """Take one of the own part."""
        rate = self.limits.stated.rate(self._upstream.id)
        return rate == NO_LIMIT or self._take(rate / len(self._members.all()))

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer an ask, which nobody sends."""
        return self.limits.answer(ask)

    def _take(self, rate: float) -> bool:
        now = self._clock()
        self._level = min(_SHARE_DEPTH, self._level + rate * (now - self._at))
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class Few(Shares):
    """Few gateways by hash, about one for each request a second, spend equal parts; others none."""

    async def admit(self, tier: int) -> bool:
        """Take one of the own part, if this gateway has any."""
        rate = self.limits.stated.rate(self._upstream.id)
        if rate == NO_LIMIT:
            return True
        names = [item.name for item in self._members.live()]
        few = ranked(self._upstream.id, names, max(1, min(len(names), round(rate))))
        return self._members.own.name in few and self._take(rate / len(few))


def limits_of(
    members: Members,
    upstream: Upstream,
    send: Callable[[PermitAsk, str], None],
    tell: Callable[[LimitNews], None],
    rng: random.Random,
    clock: Callable[[], float],
) -> FleetLimits:
    """Return what one gateway has of the mechanism in force."""
    view = UpstreamView()
    view.replace([upstream], 1)
    counting = counting_gateways(members)
    log, stated = EventLog(members.own.name, lambda _: None), StatedLimits()
    ranks = PermitRanks(Fleet(members.own.hall), stated, view.of)
    return FleetLimits(view, counting, stated, ranks, send, tell, log, rng, clock)


def counting_gateways(members: Members) -> LimitOwners:
    """Return who counts for whom as one gateway sees it."""
    return LimitOwners(members, Schedulers(members), lambda: 0)


def make_way(
    name: str,
    limits: FleetLimits,
    members: Members,
    upstream: Upstream,
    clock: Callable[[], float],
) -> Way:
    """Return one gateway's decisions in one of `WAYS`."""
    if name == "permits":
        return Permits(limits, upstream)
    kind = {"shares": Shares, "few": Few}[name]
    return kind(limits, upstream, members, clock)
