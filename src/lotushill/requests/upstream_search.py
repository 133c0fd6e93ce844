"""The search for an upstream of one request: asked until there is one or waiting is of no use."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.availability.wait_policy import cooldown_wait
from lotushill.availability.wait_policy import limited_retry_after_seconds
from lotushill.availability.wait_policy import returned_request_wait
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.scheduling.placement import Placement

if TYPE_CHECKING:
    from lotushill.requests.parts import GatewayParts
    from lotushill.scheduling.request import Request

_WAIT_SHARE = 0.2
"""Of its target, how long a request waits here before it is refused as not run."""
_POLL_SECONDS = 0.03
_LEAST_SECONDS = 0.05
"""With less time left than this no upstream is tried."""
_ISOLATED_RETRY_SECONDS = 0.5
"""What runs where a group is kept apart takes about as long."""


class UpstreamSearch:
    """Finds where one request goes next."""

    def __init__(self, parts: GatewayParts, request: Request) -> None:
        self._parts = parts
        self._request = request
        self._clock = parts.clock
        self._gives_up = min(
            request.arrived + _WAIT_SHARE * request.route.target, request.ends - _LEAST_SECONDS
        )
        self._excluded: set[str] = set()
        self._put_off: set[str] = set()
        self._asked = False
        """Whether an upstream was looked for before."""
        self._within_limit = False
        """Whether the limit of its team has let it in; it counts once, however often it is sent."""

    def exclude(self, upstream_id: str) -> None:
        """Look at an upstream no more: it had the request, or did not take it."""
        self._excluded.add(upstream_id)

    def defer(self, upstream_id: str) -> None:
        """Look at an upstream no more for as long as there is no permit for it."""
        self._put_off.add(upstream_id)

    async def find(self) -> Placement | NoChoice:
        """Return an upstream, or why there is none for as long as the request may wait."""
        while True:
            found = await self._look()
            if isinstance(found, Placement):
                return found
            pause = self._pause(found)
            if pause is None:
                if found.refusal in (Refusal.LIMITED, Refusal.TEAM_LIMIT):
                    found = replace(
                        found, retry_after=limited_retry_after_seconds(found.retry_after)
                    )
                self._note_refusal(found)
                return found
            await anyio.sleep(pause)

    async def _look(self) -> Placement | NoChoice:
        """Look for an upstream once."""
        request, ward = self._request, self._parts.isolation_policy
        wait = ward.retry_delay(request)
        if wait > 0:
            return NoChoice(Refusal.ISOLATED, wait)
        wait = await self._limit_wait()
        if wait > 0:
            return NoChoice(Refusal.TEAM_LIMIT, wait)
        barred = ward.excluded_upstreams(request) | self._excluded | self._without_permit()
        found = await self._parts.placer.place(request, barred, self._asked)
        self._asked = True
        if isinstance(found, Placement) and not ward.admits(request, found.choice):
            self._parts.shared_load.give_up(found.placed.request)
            return NoChoice(Refusal.ISOLATED, _ISOLATED_RETRY_SECONDS)
        return found

    async def _limit_wait(self) -> float:
        """Return for how long the limit of the team keeps the request back, 0 once it is let in."""
        limit = self._request.route.limit
        if limit is None or self._within_limit:
            return 0.0
        wait = await self._parts.team_limits.request_permit(limit, self._request.need.tier)
        self._within_limit = wait <= 0.0
        return wait

    def _without_permit(self) -> set[str]:
        """Return what was put off and still is, whether or not those who choose know of it."""
        route, denials = self._request.need.route, self._parts.limits.denials
        now = self._clock()
        return {name for name in self._put_off if denials.is_barred(name, route, now)}

    def _pause(self, found: NoChoice) -> float | None:
        """Return after how many seconds to look again, None to refuse now."""
        request, now = self._request, self._clock()
        if found.refusal in (Refusal.RESTING, Refusal.LIMITED, Refusal.TEAM_LIMIT):
            pause = cooldown_wait(found.retry_after, now - request.arrived, request.need)
            return pause if pause is not None and now + pause < request.ends else None
        if found.refusal is Refusal.EARLY:
            return None
        if found.refusal is Refusal.RETURNED:
            pause = returned_request_wait(now - request.arrived, request.need)
            return pause if pause is not None and now + pause < request.ends else None
        pause = _POLL_SECONDS * self._parts.rng.uniform(0.7, 1.3)
        if found.final:
            return None
        if found.refusal is Refusal.ISOLATED:
            pause = found.retry_after
        return pause if now + pause <= self._gives_up else None

    def _note_refusal(self, found: NoChoice) -> None:
        request = self._request
        self._parts.metrics.record_refusal(
            request.service.name, request.need.tier, found.refusal.value
        )
        self._parts.log.note(
            "placement.none",
            request=request.demand.request_id,
            reason=found.refusal.value,
            retry_after=found.retry_after,
            route=request.route.name,
            service=request.service.name,
            tier=request.need.tier,
            prompt=request.need.prompt_tokens,
            wait_ms=round(found.wait_seconds * 1000, 1),
            first_ms=round(found.first_event_seconds * 1000, 1),
            usual_prompt=round(found.usual_prompt),
            longest_prompt=round(found.longest_prompt),
            team=request.team,
            share=request.need.share,
            standing=round(found.standing, 2),
            waited_ms=round((self._clock() - request.arrived) * 1000, 1),
        )
