"""Who may be refused while upstreams have more to do than is in time. Pure.

Every gateway decides alone, but by what all gateways tell of the requests that they send: what one
gateway sends itself is too little to tell the routes of a service apart.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.recent_starts import RecentStarts
from lotushill.placement.usual_request import UsualRequests
from lotushill.returns.promise import Requester
from lotushill.returns.promises import ReturnPromises

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.choice import Choice
    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need

_LONG_SHARE = 0.5
"""Of the usual prompt of the longest route, from which another route counts as long too."""
_TIMES_LARGER = 2.0
"""Users hold a refusal against less urgent requests of over twice its size."""
_LONG_WAIT = 0.5
"""Of its target, how long a long request may wait until its prompt is read.

Held against the upstream that is best for a usual request of the route, so that large and small
ones are refused alike.
"""
_SPREAD_STEPS = 1024
"""Into so many parts returns are spread by the number of their caller."""


class Shedding:
    """Refuses the least urgent and longest first."""

    def __init__(self) -> None:
        self.usual = UsualRequests()
        self.starts = RecentStarts()
        self.returns = ReturnPromises()

    def note(self, placed: Placed, service: str, now: float) -> None:
        """Learn from a request that any gateway has sent to an upstream."""
        self.usual.note_prompt(service, placed.route, placed.prompt, placed.prefill_tokens)
        self.starts.note(service, placed.tier, placed.prompt, now - placed.age)
        self.returns.start_rate.note(service, placed.tier, now - placed.age)

    def is_long(self, need: Need) -> bool:
        """Return whether a request's route has the longest prompts of its service.

        Under overload these are refused first: each leaves room for many short ones. The route
        decides and not the request, so that the large ones of a route are served as often as the
        small ones. Before any gateway has sent one of the route, the request stands for it.
        """
        return self.is_long_route(need.service, need.route, need.prompt_tokens)

    def is_long_route(self, service: str, route: str, prompt_tokens: int) -> bool:
        """Return the same of a request with so long a prompt."""
        usual = self.usual.prompt(service, route) or prompt_tokens
        return 0.0 < _LONG_SHARE * self.usual.longest_prompt(service) < usual

    def must_serve(self, need: Need, now: float) -> bool:
        """Return whether a refusal would put a request behind less urgent, larger ones.

        While such ones begin anywhere in the fleet they have to be refused before it.
        """
        usual = self.usual.prompt(need.service, need.route) or need.prompt_tokens
        size = min(float(need.prompt_tokens), usual)
        return self.starts.largest_less_urgent(need.service, need.tier, now) > _TIMES_LARGER * size

    def refuse(self, need: Need, choices: Sequence[Choice], now: float) -> NoChoice | None:
        """Return why a request is refused that could go to one of `choices`, None if it is not."""
        open_ones = [choice for choice in choices if not choice.is_full]
        wait = min(
            open_ones or choices, key=lambda choice: choice.typical_request_cost
        ).wait_seconds
        first = min(choice.first_event_seconds for choice in choices)
        late = not open_ones or wait > _LONG_WAIT * need.target
        overload = self.is_long(need) and late
        no_room = first > need.first_event_timeout
        if self.must_serve(need, now):
            return None
        early = self.returns.seconds_early(_asker(need, now), now)
        if early:
            return self._refused(need, Refusal.EARLY, early, wait, first)
        if not (overload or no_room):
            return None
        if not no_room and self.returns.is_due(need.caller, now):
            return None
        return self._told(need, Refusal.OVERLOAD if overload else Refusal.NO_ROOM, wait, first, now)

    def refuse_for_others(self, need: Need, refusal: Refusal, now: float) -> NoChoice:
        """Return the refusal of a long request for which no slot is left beside others."""
        return self._told(need, refusal, 0.0, 0.0, now)

    def refuse_for_teams(self, need: Need, choices: Sequence[Choice], now: float) -> NoChoice:
        """Return the refusal of a request whose team has had its share while others want room."""
        wait = min(choice.wait_seconds for choice in choices)
        first = min(choice.first_event_seconds for choice in choices)
        return self._told(need, Refusal.SHARE, wait, first, now)

    def _told(
        self,
        need: Need,
        refusal: Refusal,
        wait: float,
        first: float,
        now: float,
        final: bool = False,
    ) -> NoChoice:
        """Return the refusal of a request, with when it is to come back."""
        early = self.returns.seconds_early(_asker(need, now), now)
        if early:
            return self._refused(need, Refusal.EARLY, early, wait, first)
        if self.returns.has_place(need.caller, now):
            refusal = Refusal.RETURNED
        return self._refused(need, refusal, self._retry_after(need, now, final), wait, first)

    def _retry_after(self, need: Need, now: float, final: bool) -> float:
        spread = need.caller % _SPREAD_STEPS / _SPREAD_STEPS
        return self.returns.retry_after(_asker(need, now), spread, now, final)

    def refuse_early(self, need: Need, now: float) -> NoChoice | None:
        """Return the refusal of one that comes sooner than it was told, None for all others."""
        seconds = self.returns.seconds_early(_asker(need, now), now)
        if not seconds or self.must_serve(need, now):
            return None
        return replace(self._refused(need, Refusal.EARLY, seconds, 0.0, 0.0), final=True)

    def refuse_finally(self, need: Need, refusal: Refusal, wait: float, now: float) -> NoChoice:
        """Return the final refusal of a request that waits no longer, or would in vain."""
        return replace(self._told(need, refusal, wait, wait, now, final=True), final=True)

    def refuse_without_room(self, need: Need) -> NoChoice:
        """Return the refusal of a request for which no upstream has a slot now."""
        return self._refused(need, Refusal.NO_ROOM, 0.0, 0.0, 0.0)

    def _refused(
        self, need: Need, refusal: Refusal, retry_after: float, wait: float, first: float
    ) -> NoChoice:
        return NoChoice(
            refusal,
            retry_after,
            wait,
            first,
            self.usual.prompt(need.service, need.route),
            self.usual.longest_prompt(need.service),
        )


def _asker(need: Need, now: float) -> Requester:
    # Plain requests of many callers are the same to the byte.
    caller = need.caller if need.stream else 0
    return Requester(caller, need.service, need.tier, now - need.waited, need.time_left)
