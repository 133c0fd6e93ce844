"""One gateway's part in keeping to the limits that upstreams name for all gateways together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import StatedLimits
from lotushill.limits.denials import Denials
from lotushill.limits.limit_keeper import LimitKeeper
from lotushill.limits.permit_client import ANSWER_SECONDS
from lotushill.limits.permit_client import PermitClient
from lotushill.limits.permit_desk import PermitDesk
from lotushill.limits.permit_desk import Verdict
from lotushill.links.messages import PermitAnswer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.limits.counting import CountingGateways
    from lotushill.links.messages import LimitNews
    from lotushill.links.messages import PermitAsk
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView

_OTHERS_PAUSE = 0.3
"""Until one that takes another gateway for the counting one asks again: by then they agree."""
_SPREAD = (0.8, 1.25)


class FleetLimits:
    """What upstreams named, who counts for them, and for which there is no permit now."""

    def __init__(
        self,
        upstreams: UpstreamView,
        counting: CountingGateways,
        send: Callable[[PermitAsk, str], None],
        tell: Callable[[LimitNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Send asks to an address with `send`, and news to all other gateways with `tell`."""
        self._upstreams = upstreams
        self._counting = counting
        self._rng = rng
        self._clock = clock
        self.stated = StatedLimits()
        self.denials = Denials()
        self.client = PermitClient(counting.own_name, send)
        self.keeper = LimitKeeper(
            counting.own_name, self.stated, tell, self.denials.clear, log, rng, clock
        )
        self._desk = PermitDesk()
        self.denied = 0
        """Requests that were denied a permit so far, the ones of other gateways included."""

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether an upstream names a limit."""
        return self.stated.rate(upstream_id) < NO_LIMIT

    async def admit(self, upstream: Upstream, tier: int) -> bool:
        """Return whether a request of a tier may be sent to an upstream now.

        What may be is counted as sent, whether it is or not.
        """
        if not self.is_limited(upstream.id):
            return True
        if self.denials.bars(upstream.id, tier, self._clock()):
            return False
        verdict = await self._ask(upstream, tier)
        if not verdict.granted:
            again_in = verdict.again_in * self._rng.uniform(*_SPREAD)
            self.denials.note_denied(upstream.id, tier, self._clock() + again_in)
        return verdict.granted

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer another gateway that takes this one for the counting one."""
        self.keeper.take(ask.limit, ask.sender)
        upstream = self._upstreams.find(ask.limit.upstream)
        if upstream is None or not self._counting.is_own(upstream):
            return PermitAnswer(ask.number, False, _OTHERS_PAUSE)
        verdict = self._decide(upstream, ask.tier, ask.sender)
        return PermitAnswer(ask.number, verdict.granted, verdict.again_in)

    def forget(self, known: set[str]) -> None:
        """Drop what is of no more use, with the ids of all upstreams that are known."""
        now = self._clock()
        self.stated.forget(known, now)
        limited = set(self.stated.limited())
        self.denials.forget(limited, now)
        self._desk.forget(limited)

    async def _ask(self, upstream: Upstream, tier: int) -> Verdict:
        counting = self._counting.of(upstream)
        if counting.name == self._counting.own_name:
            return self._decide(upstream, tier, counting.name)
        word = self.stated.words()[upstream.id]
        self.denials.note_asked(upstream.id, self._clock() + ANSWER_SECONDS)
        try:
            state = self.keeper.state(upstream.id, word)
            return await self.client.ask(state, tier, counting.address)
        finally:
            self.denials.note_answered(upstream.id)

    def _decide(self, upstream: Upstream, tier: int, asker: str) -> Verdict:
        if not self.is_limited(upstream.id):
            return Verdict(True)
        rate = self.stated.rate(upstream.id) * self._counting.part()
        verdict = self._desk.ask(upstream.id, rate, tier, asker, self._clock())
        self.denied += not verdict.granted
        return verdict
