"""A gateway's compliance with the limits that upstreams state for all gateways together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.limits.denials import Denials
from lotushill.limits.limit_gossip import LimitGossip
from lotushill.limits.permit_buckets import PermitBuckets
from lotushill.limits.permit_client import ANSWER_TIMEOUT_SECONDS
from lotushill.limits.permit_client import PermitClient
from lotushill.limits.permit_request import PermitRequest
from lotushill.links.limit_messages import PermitAnswer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.event_log import EventLog
    from lotushill.limits.limit_owners import LimitOwners
    from lotushill.limits.permit_rank import PermitRanks
    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.limit_messages import LimitState
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.views.upstream_view import UpstreamView

_WRONG_OWNER_PAUSE_SECONDS = 0.3
"""Seconds until a gateway that takes the wrong one for the limit owner asks again; their views
agree by then."""
_NEW_LIMIT_SECONDS = 1.0
"""Age below which a limit counts as new: all gateways learned of it at about the same time."""
_PAUSE_JITTER = (0.8, 1.25)


class FleetLimits:
    """Limits that upstreams stated, the permits under them, and the current denials."""

    def __init__(
        self,
        upstreams: UpstreamView,
        owners: LimitOwners,
        stated: StatedLimits,
        ranks: PermitRanks,
        send: Callable[[PermitAsk, str], None],
        broadcast: Callable[[LimitNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create it; `send` sends a permit request to an address, `broadcast` gossip to all."""
        self._upstreams = upstreams
        self._owners = owners
        self._ranks = ranks
        self._rng = rng
        self._clock = clock
        self.stated = stated
        self.denials = Denials()
        self.client = PermitClient(owners.own_name, send)
        self.gossip = LimitGossip(
            owners.own_name, self.stated, broadcast, self._handle_change, log, rng, clock
        )
        self._buckets = PermitBuckets()
        self.denied = 0
        """Number of permits denied so far, including those for other gateways."""

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an upstream states a limit."""
        return self.stated.rate(upstream_id) < NO_LIMIT

    async def admit(self, request: PermitRequest) -> bool:
        """Return whether a request may be sent to its upstream now.

        A granted request counts as sent, whether it is or not.
        """
        upstream_id = request.upstream.id
        if not self.is_limited(upstream_id):
            return True
        if self.denials.is_barred(upstream_id, request.route, self._clock()):
            return False
        answer = await self._request_permit(request)
        if not answer.granted:
            until = self._clock() + answer.again_in * self._rng.uniform(*_PAUSE_JITTER)
            self.denials.note_denied(upstream_id, request.route, answer.rank, until)
        return answer.granted

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a permit request of a gateway that takes this one for the limit owner."""
        self.gossip.merge(ask.limit, ask.sender)
        upstream = self._upstreams.find(ask.limit.upstream)
        if upstream is None or not self._owners.is_own(upstream):
            return PermitAnswer(ask.number, False, _WRONG_OWNER_PAUSE_SECONDS, 0)
        request = PermitRequest(upstream, ask.route, ask.tier, ask.prompt_tokens)
        return self._decide(request, ask.sender, ask.number)

    def retain_only(self, known: set[str]) -> None:
        """Drop obsolete state; `known` holds the ids of all known upstreams."""
        now = self._clock()
        self.stated.retain_only(known, now)
        limited = set(self.stated.limited_rates())
        self.denials.retain_only(limited, now)
        self._buckets.retain_only(limited)

    def _handle_change(self, upstream_id: str) -> None:
        """Reset the state of an upstream that stated a first or different limit, or its end."""
        self.denials.clear(upstream_id)
        upstream = self._upstreams.find(upstream_id)
        report, now = self.stated.report(upstream_id), self._clock()
        if (
            report is None
            or report.rate == NO_LIMIT
            or now - report.received_at >= _NEW_LIMIT_SECONDS
        ):
            return
        if upstream is not None and self._owners.is_own(upstream):
            self._buckets.add_bucket(upstream_id, report.rate, now)

    async def _request_permit(self, request: PermitRequest) -> PermitAnswer:
        upstream_id = request.upstream.id
        owner = self._owners.owner_of(request.upstream)
        if owner.name == self._owners.own_name:
            return self._decide(request, owner.name)
        self.denials.note_pending(upstream_id, self._clock() + ANSWER_TIMEOUT_SECONDS)
        try:
            return await self.client.ask(self._limit_state(upstream_id), request, owner.address)
        finally:
            self.denials.note_answered(upstream_id)

    def _limit_state(self, upstream_id: str) -> LimitState:
        report = self.stated.report(upstream_id)
        assert report is not None, "a permit is requested only for an upstream with a limit"
        return self.gossip.state(upstream_id, report)

    def _decide(self, request: PermitRequest, asker: str, number: int = 0) -> PermitAnswer:
        upstream = request.upstream
        if not self.is_limited(upstream.id):
            return PermitAnswer(number, True, 0.0, 0)
        now = self._clock()
        rate = self.stated.rate(upstream.id) * self._owners.usable_fraction()
        rank = self._ranks.rank(
            upstream.service, request.route, request.tier, request.prompt_tokens, now
        )
        verdict = self._buckets.request_permit(upstream.id, rate, rank, asker, now)
        self.denied += not verdict.granted
        return PermitAnswer(number, verdict.granted, verdict.again_in, rank)
