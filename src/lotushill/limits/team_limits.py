"""One gateway's part in keeping to the limits that the settings tree sets for teams.

The load that it answers: a team sends what its limit allows many times over, at all gateways of
the fleet at once. One scheduler counts for each limit, as for an upstream that names one, and
while gateways disagree who that is, each hands out no more than its part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.limits.denials import Denials
from lotushill.limits.permit_buckets import PermitBuckets
from lotushill.limits.permit_client import ANSWER_TIMEOUT_SECONDS
from lotushill.limits.permit_request import PermitRequest
from lotushill.links.limit_messages import LimitState
from lotushill.links.limit_messages import PermitAnswer
from lotushill.routing.upstream import Upstream

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.limits.limit_owners import LimitOwners
    from lotushill.limits.permit_client import PermitClient
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.routing.rate_limit import RateLimit

_PREFIX = "limit of "
"""Of the names under which limits are counted: no upstream's id has a space."""
_OTHERS_PAUSE = 0.3
"""Until one that takes another gateway for the counting one asks again: by then they agree."""
_SPREAD = (0.8, 1.25)
_LOOK_SECONDS = 0.03
"""Between two looks whether what bars a request is over: an answer takes some milliseconds."""
_LEAST_PAUSE = 0.02
_IDLE_SECONDS = 600.0
"""Until a count is dropped; by then it is full again."""


class TeamLimits:
    """Lets requests of teams with a limit through, or tells when to ask again."""

    def __init__(
        self,
        counting: LimitOwners,
        client: PermitClient,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Ask whoever counts with `client`."""
        self._counting = counting
        self._client = client
        self._rng = rng
        self._clock = clock
        self._denials = Denials()
        self._desk = PermitBuckets()
        self._used: dict[str, float] = {}
        """When each limit was last asked for here."""
        self.delayed_count = 0
        """Requests of this gateway that were not let through at once, so far."""

    async def request_permit(self, limit: RateLimit, tier: int) -> float:
        """Return 0 for a request that may go on now, and counts; else seconds until it may ask.

        The more urgent go first, as far as permits are left.
        """
        name, kind, now = limit_key(limit), str(tier), self._clock()
        left = self._denials.seconds_left(name, kind, now)
        if left > 0.0:
            return min(left, _LOOK_SECONDS)
        answer = await self._ask(limit, name, tier)
        if answer.granted:
            return 0.0
        self.delayed_count += 1
        pause = max(_LEAST_PAUSE, answer.again_in * self._rng.uniform(*_SPREAD))
        self._denials.note_denied(name, kind, answer.rank, self._clock() + pause)
        return min(pause, _LOOK_SECONDS)

    def is_team_limit(self, ask: PermitAsk) -> bool:
        """Return whether an ask is for a limit of a team, and not for one of an upstream."""
        return ask.limit.upstream.startswith(_PREFIX)

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer another gateway that takes this one for the counting one."""
        name = ask.limit.upstream
        if not self._counting.is_own(_counted(name)):
            return PermitAnswer(ask.number, False, _OTHERS_PAUSE, ask.tier)
        return self._decide(name, ask.limit.rate, ask.tier, ask.sender, ask.number)

    def forget(self) -> None:
        """Drop limits for which nobody has asked for long."""
        now = self._clock()
        for name in [item for item, at in self._used.items() if now - at > _IDLE_SECONDS]:
            del self._used[name]
        self._desk.forget(set(self._used))
        self._denials.forget(set(self._used), now)

    async def _ask(self, limit: RateLimit, name: str, tier: int) -> PermitAnswer:
        counting = self._counting.owner_of(_counted(name))
        self._used[name] = self._clock()
        if counting.name == self._counting.own_name:
            return self._decide(name, limit.rate, tier, counting.name)
        request = PermitRequest(_counted(name), str(tier), tier)
        state = LimitState(name, limit.rate, 0.0, 0.0)
        self._denials.note_pending(name, self._clock() + ANSWER_TIMEOUT_SECONDS)
        try:
            return await self._client.ask(state, request, counting.address)
        finally:
            self._denials.note_answered(name)

    def _decide(
        self, name: str, rate: float, tier: int, asker: str, number: int = 0
    ) -> PermitAnswer:
        now = self._clock()
        self._used[name] = now
        own_rate = rate * self._counting.usable_fraction()
        # Whoever begins to count hands out little at once: another one may have counted until now.
        self._desk.add_bucket(name, own_rate, now)
        verdict = self._desk.request_permit(name, own_rate, tier, asker, now)
        return PermitAnswer(number, verdict.granted, verdict.again_in, tier)


def limit_key(limit: RateLimit) -> str:
    """Return the name under which a limit is counted."""
    return f"{_PREFIX}{limit.scope}"


def _counted(name: str) -> Upstream:
    """Return what stands for a limit where gateways work out who counts for it: in no hall."""
    return Upstream(name, "", "", "", 0, False)


def limit_as_upstream(limit: RateLimit) -> Upstream:
    """Return what stands for a limit where gateways work out who counts for it."""
    return _counted(limit_key(limit))
