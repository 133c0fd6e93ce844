"""Search for an upstream for one request, repeated until one is found or waiting is useless."""

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
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.stream_version import StreamVersion
    from lotushill.scheduling.request import Request

_MAX_WAIT_FRACTION = 0.2
"""Fraction of its target latency for which a request waits before it is refused as not run."""
_POLL_INTERVAL_SECONDS = 0.03
"""Average interval between two tries to find an upstream."""
_MIN_TIME_LEFT_SECONDS = 0.05
"""Time left of a request below which no upstream is tried."""
_ISOLATED_RETRY_AFTER_SECONDS = 0.5
"""Retry-After for isolated requests; a run at the upstream for them takes about as long."""


class UpstreamSearch:
    """Finds the next upstream for one request."""

    def __init__(
        self, components: GatewayComponents, request: Request, version: StreamVersion
    ) -> None:
        self._components = components
        self._request = request
        self._version = version
        self._clock = components.clock
        self._gives_up_at = min(
            request.arrived + _MAX_WAIT_FRACTION * request.route.target,
            request.ends - _MIN_TIME_LEFT_SECONDS,
        )
        self._excluded: set[str] = set()
        self._deferred: set[str] = set()
        self._placement_requested = False
        """Whether a placement was requested before."""
        self._within_limit = False
        """Whether the team's limit admitted the request, which counts once for all its attempts."""

    def exclude(self, upstream_id: str) -> None:
        """Exclude an upstream that received the request or did not accept it."""
        self._excluded.add(upstream_id)

    async def defer(self, upstream_id: str) -> None:
        """Exclude an upstream for as long as there is no permit for it.

        Waits a moment if its slots are taken: as a rule those of the others are as well.
        """
        self._deferred.add(upstream_id)
        if self._components.gate.is_denied_slot(upstream_id):
            await anyio.sleep(_POLL_INTERVAL_SECONDS * self._components.rng.uniform(0.7, 1.3))

    async def find(self) -> Placement | NoChoice:
        """Return a placement, or the refusal once the request must not wait any longer."""
        while True:
            result = await self._try_find()
            if isinstance(result, Placement):
                return result
            pause = self._retry_pause(result)
            if pause is None:
                if result.refusal in (Refusal.LIMITED, Refusal.TEAM_LIMIT):
                    result = replace(
                        result, retry_after=limited_retry_after_seconds(result.retry_after)
                    )
                self._log_refusal(result)
                return result
            await anyio.sleep(pause)

    async def find_replacement(self, silent_id: str) -> Placement | NoChoice:
        """Try once to find another upstream than a silent one, with room for the request."""
        result = await self._try_find(frozenset((silent_id,)))
        if not isinstance(result, Placement) or not result.choice.is_full:
            return result
        if result.scheduler:
            self._components.shared_load.give_up(result.placed.request)
        return NoChoice(Refusal.NO_ROOM, 0.0)

    async def _try_find(self, also_excluded: frozenset[str] = frozenset()) -> Placement | NoChoice:
        """Try once to find an upstream."""
        request, policy = self._request, self._components.isolation_policy
        wait = policy.retry_delay(request)
        if wait > 0:
            return NoChoice(Refusal.ISOLATED, wait)
        wait = await self._limit_wait()
        if wait > 0:
            return NoChoice(Refusal.TEAM_LIMIT, wait)
        excluded = policy.excluded_upstreams(request) | self._excluded | self._without_permit()
        excluded |= also_excluded
        result = await self._components.placer.place(
            self._version.bind(request), excluded, self._placement_requested
        )
        self._placement_requested = True
        if isinstance(result, Placement) and not policy.admits(request, result.choice):
            self._components.shared_load.give_up(result.placed.request)
            return NoChoice(Refusal.ISOLATED, _ISOLATED_RETRY_AFTER_SECONDS)
        return result

    async def _limit_wait(self) -> float:
        """Return the seconds for which the team's limit delays the request, 0 once admitted."""
        limit = self._request.route.limit
        if limit is None or self._within_limit:
            return 0.0
        wait = await self._components.team_limits.request_permit(limit, self._request.need.tier)
        self._within_limit = wait <= 0.0
        return wait

    def _without_permit(self) -> set[str]:
        """Return the deferred upstreams that still have no permit.

        Schedulers may not have received the denials yet.
        """
        route, denials = self._request.need.route, self._components.limits.denials
        now = self._clock()
        gate = self._components.gate
        return {
            name
            for name in self._deferred
            if denials.is_barred(name, route, now) or gate.is_denied_slot(name)
        }

    def _retry_pause(self, refused: NoChoice) -> float | None:
        """Return the seconds until the next try, None to refuse the request now."""
        request, now = self._request, self._clock()
        if refused.refusal in (Refusal.RESTING, Refusal.LIMITED, Refusal.TEAM_LIMIT):
            pause = cooldown_wait(refused.retry_after, now - request.arrived, request.need)
            return pause if pause is not None and now + pause < request.ends else None
        if refused.refusal is Refusal.EARLY:
            return None
        if refused.refusal is Refusal.RETURNED:
            pause = returned_request_wait(now - request.arrived, request.need)
            return pause if pause is not None and now + pause < request.ends else None
        pause = _POLL_INTERVAL_SECONDS * self._components.rng.uniform(0.7, 1.3)
        if refused.final:
            return None
        if refused.refusal is Refusal.ISOLATED:
            pause = refused.retry_after
        return pause if now + pause <= self._gives_up_at else None

    def _log_refusal(self, refused: NoChoice) -> None:
        request = self._request
        self._components.metrics.record_refusal(
            request.service.name, request.need.tier, refused.refusal.value
        )
        self._components.log.note(
            "placement.none",
            request=request.demand.request_id,
            reason=refused.refusal.value,
            retry_after=refused.retry_after,
            route=request.route.name,
            service=request.service.name,
            tier=request.need.tier,
            prompt=request.need.prompt_tokens,
            wait_ms=round(refused.wait_seconds * 1000, 1),
            first_ms=round(refused.first_event_seconds * 1000, 1),
            usual_prompt=round(refused.usual_prompt),
            longest_prompt=round(refused.longest_prompt),
            team=request.team,
            share=request.need.share,
            standing=round(refused.standing, 2),
            waited_ms=round((self._clock() - request.arrived) * 1000, 1),
        )
