"""One gateway's part in keeping to the limits that upstreams name for all gateways together."""

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

_OTHERS_PAUSE = 0.3
"""Until one that takes another gateway for the counting one asks again: by then they agree."""
_NEW_SECONDS = 1.0
"""A limit that was named so lately was heard by all at about the same time."""
_SPREAD = (0.8, 1.25)


class FleetLimits:
    """What upstreams named, who counts for them, and for which there is no permit now."""

    def __init__(
        self,
        upstreams: UpstreamView,
        counting: LimitOwners,
        stated: StatedLimits,
        ranks: PermitRanks,
        send: Callable[[PermitAsk, str], None],
        tell: Callable[[LimitNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Send asks to an address with `send`, and news to all other gateways with `tell`."""
        self._upstreams = upstreams
        self._counting = counting
        self._ranks = ranks
        self._rng = rng
        self._clock = clock
        self.stated = stated
        self.denials = Denials()
        self.client = PermitClient(counting.own_name, send)
        self.gossip = LimitGossip(
            counting.own_name, self.stated, tell, self._note_changed, log, rng, clock
        )
        self._desk = PermitBuckets()
        self.denied = 0
        """Requests that were denied a permit so far, the ones of other gateways included."""

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an upstream names a limit."""
        return self.stated.rate(upstream_id) < NO_LIMIT

    async def admit(self, request: PermitRequest) -> bool:
        """Return whether a request may be sent to its upstream now.

        What may be is counted as sent, whether it is or not.
        """
        upstream_id = request.upstream.id
        if not self.is_limited(upstream_id):
            return True
        if self.denials.is_barred(upstream_id, request.route, self._clock()):
            return False
        answer = await self._ask(request)
        if not answer.granted:
            until = self._clock() + answer.again_in * self._rng.uniform(*_SPREAD)
            self.denials.note_denied(upstream_id, request.route, answer.rank, until)
        return answer.granted

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer another gateway that takes this one for the counting one."""
        self.gossip.merge(ask.limit, ask.sender)
        upstream = self._upstreams.find(ask.limit.upstream)
        if upstream is None or not self._counting.is_own(upstream):
            return PermitAnswer(ask.number, False, _OTHERS_PAUSE, 0)
        request = PermitRequest(upstream, ask.route, ask.tier, ask.prompt_tokens)
        return self._decide(request, ask.sender, ask.number)

    def forget(self, known: set[str]) -> None:
        """Drop what is of no more use, with the ids of all upstreams that are known."""
        now = self._clock()
        self.stated.forget(known, now)
        limited = set(self.stated.limited_rates())
        self.denials.forget(limited, now)
        self._desk.forget(limited)

    def _note_changed(self, upstream_id: str) -> None:
        """Begin anew with an upstream that has named another limit, its first one or its end."""
        self.denials.clear(upstream_id)
        upstream = self._upstreams.find(upstream_id)
        word, now = self.stated.report(upstream_id), self._clock()
        if word is None or word.rate == NO_LIMIT or now - word.received_at >= _NEW_SECONDS:
            return
        if upstream is not None and self._counting.is_own(upstream):
            self._desk.add_bucket(upstream_id, word.rate, now)

    async def _ask(self, request: PermitRequest) -> PermitAnswer:
        upstream_id = request.upstream.id
        counting = self._counting.owner_of(request.upstream)
        if counting.name == self._counting.own_name:
            return self._decide(request, counting.name)
        self.denials.note_pending(upstream_id, self._clock() + ANSWER_TIMEOUT_SECONDS)
        try:
            return await self.client.ask(self._state(upstream_id), request, counting.address)
        finally:
            self.denials.note_answered(upstream_id)

    def _state(self, upstream_id: str) -> LimitState:
        word = self.stated.report(upstream_id)
        assert word is not None, "only for an upstream with a limit is a permit asked for"
        return self.gossip.state(upstream_id, word)

    def _decide(self, request: PermitRequest, asker: str, number: int = 0) -> PermitAnswer:
        upstream = request.upstream
        if not self.is_limited(upstream.id):
            return PermitAnswer(number, True, 0.0, 0)
        now = self._clock()
        rate = self.stated.rate(upstream.id) * self._counting.usable_fraction()
        rank = self._ranks.rank(
            upstream.service, request.route, request.tier, request.prompt_tokens, now
        )
        verdict = self._desk.request_permit(upstream.id, rate, rank, asker, now)
        self.denied += not verdict.granted
        return PermitAnswer(number, verdict.granted, verdict.again_in, rank)
