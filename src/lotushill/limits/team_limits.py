"""A gateway's enforcement of the limits that the settings tree sets for teams.

Load case: a team sends many times what its limit allows, at all gateways of the fleet at once. One
scheduler counts for each limit, as for an upstream that states one, and while gateways disagree
about the owner, each one hands out no more than its fraction.
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

_KEY_PREFIX = "limit of "
"""Prefix of the keys of team limits; it is no prefix of an upstream's id, which has no space."""
_WRONG_OWNER_PAUSE_SECONDS = 0.3
"""Seconds until a gateway that takes the wrong one for the limit owner asks again; their views
agree by then."""
_PAUSE_JITTER = (0.8, 1.25)
_CHECK_INTERVAL_SECONDS = 0.03
"""Interval between two checks whether a request is still barred; an answer takes some
milliseconds."""
_MIN_PAUSE_SECONDS = 0.02
_IDLE_TIMEOUT_SECONDS = 600.0
"""Time after which an unused bucket is dropped; it is full again by then."""


class TeamLimits:
    """Admits requests of teams with a limit, or returns when to ask again."""

    def __init__(
        self,
        owners: LimitOwners,
        client: PermitClient,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create it; `client` sends permit requests to the limit owners."""
        self._owners = owners
        self._client = client
        self._rng = rng
        self._clock = clock
        self._denials = Denials()
        self._buckets = PermitBuckets()
        self._last_requested: dict[str, float] = {}
        """Time at which a permit for each limit was last requested here."""
        self.delayed_count = 0
        """Number of requests of this gateway that were not admitted at once, so far."""

    async def request_permit(self, limit: RateLimit, tier: int) -> float:
        """Return 0 if a request is admitted, and count it; else the seconds until it may ask again.

        More urgent requests go first, as far as permits are left.
        """
        key, tier_name, now = limit_key(limit), str(tier), self._clock()
        seconds_left = self._denials.seconds_left(key, tier_name, now)
        if seconds_left > 0.0:
            return min(seconds_left, _CHECK_INTERVAL_SECONDS)
        answer = await self._request_from_owner(limit, key, tier)
        if answer.granted:
            return 0.0
        self.delayed_count += 1
        pause = max(_MIN_PAUSE_SECONDS, answer.again_in * self._rng.uniform(*_PAUSE_JITTER))
        self._denials.note_denied(key, tier_name, answer.rank, self._clock() + pause)
        return min(pause, _CHECK_INTERVAL_SECONDS)

    def is_team_limit(self, ask: PermitAsk) -> bool:
        """Return whether a permit request is for the limit of a team, not of an upstream."""
        return ask.limit.upstream.startswith(_KEY_PREFIX)

    def answer(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a permit request of a gateway that takes this one for the limit owner."""
        key = ask.limit.upstream
        if not self._owners.is_own(_key_as_upstream(key)):
            return PermitAnswer(ask.number, False, _WRONG_OWNER_PAUSE_SECONDS, ask.tier)
        return self._decide(key, ask.limit.rate, ask.tier, ask.sender, ask.number)

    def drop_idle(self) -> None:
        """Drop limits for which no permit was requested for long."""
        now = self._clock()
        for key in [
            item for item, at in self._last_requested.items() if now - at > _IDLE_TIMEOUT_SECONDS
        ]:
            del self._last_requested[key]
        self._buckets.retain_only(set(self._last_requested))
        self._denials.retain_only(set(self._last_requested), now)

    async def _request_from_owner(self, limit: RateLimit, key: str, tier: int) -> PermitAnswer:
        owner = self._owners.owner_of(_key_as_upstream(key))
        self._last_requested[key] = self._clock()
        if owner.name == self._owners.own_name:
            return self._decide(key, limit.rate, tier, owner.name)
        request = PermitRequest(_key_as_upstream(key), str(tier), tier)
        state = LimitState(key, limit.rate, 0.0, 0.0)
        self._denials.note_pending(key, self._clock() + ANSWER_TIMEOUT_SECONDS)
        try:
            return await self._client.ask(state, request, owner.address)
        finally:
            self._denials.note_answered(key)

    def _decide(
        self, key: str, rate: float, tier: int, asker: str, number: int = 0
    ) -> PermitAnswer:
        now = self._clock()
        self._last_requested[key] = now
        own_rate = rate * self._owners.usable_fraction()
        # A new owner starts with few permits: another one may have counted until now.
        self._buckets.add_bucket(key, own_rate, now)
        verdict = self._buckets.request_permit(key, own_rate, tier, asker, now)
        return PermitAnswer(number, verdict.granted, verdict.again_in, tier)


def limit_key(limit: RateLimit) -> str:
    """Return the key under which a limit is counted."""
    return f"{_KEY_PREFIX}{limit.scope}"


def _key_as_upstream(key: str) -> Upstream:
    """Return an upstream in no hall that represents a limit when its owner is determined."""
    return Upstream(key, "", "", "", 0, False)


def limit_as_upstream(limit: RateLimit) -> Upstream:
    """Return an upstream that represents a limit when its owner is determined."""
    return _key_as_upstream(limit_key(limit))
