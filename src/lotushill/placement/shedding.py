"""Decides which requests are refused while upstreams are overloaded.

Every gateway decides alone, but from the reports of all gateways about the requests that they send:
the requests of one gateway are too few to compare the routes of a service. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.recent_starts import RecentStarts
from lotushill.placement.typical_requests import TypicalRequests
from lotushill.returns.promise import Requester
from lotushill.returns.promises import ReturnPromises

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.choice import Choice
    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need

_LONG_ROUTE_FRACTION = 0.5
"""Fraction of the typical prompt of the longest route from which another route also counts as long.
"""
_LARGER_FACTOR = 2.0
"""Users compare a refused request with less urgent requests of more than twice its size."""
_MAX_LONG_WAIT_FRACTION = 0.5
"""Fraction of its target that a long request may wait until its prompt is processed.

Evaluated on the upstream that is best for a typical request of the route, so that large and small
requests are refused alike.
"""
_SPREAD_STEPS = 1024
"""Number of steps over which returns are spread by the number of the caller."""


class Shedding:
    """Refuses the least urgent and longest requests first."""

    def __init__(self) -> None:
        self.typical_requests = TypicalRequests()
        self.starts = RecentStarts()
        self.returns = ReturnPromises()

    def note(self, placed: Placed, service: str, now: float) -> None:
        """Record a request that any gateway has sent to an upstream."""
        self.typical_requests.note_prompt(
            service, placed.route, placed.prompt, placed.prefill_tokens
        )
        self.starts.note(service, placed.tier, placed.prompt, now - placed.age)
        self.returns.start_rate.note(service, placed.tier, now - placed.age)

    def is_long(self, need: Need) -> bool:
        """Return whether a request's route has the longest prompts of its service.

        Under overload these are refused first: each refusal leaves room for many short ones. The
        route decides and not the request, so that the large requests of a route are served as often
        as the small ones. Until any gateway has sent a request of the route, the size of this
        request is used.
        """
        return self.is_long_route(need.service, need.route, need.prompt_tokens)

    def is_long_route(self, service: str, route: str, prompt_tokens: int) -> bool:
        """Return whether a route has the longest prompts of its service.

        `prompt_tokens` stands for its typical prompt until any gateway has sent a request of the
        route.
        """
        typical = self.typical_requests.prompt_tokens(service, route) or prompt_tokens
        return (
            0.0
            < _LONG_ROUTE_FRACTION * self.typical_requests.longest_prompt_tokens(service)
            < typical
        )

    def must_serve(self, need: Need, now: float) -> bool:
        """Return whether a refusal would disadvantage a request against less urgent, larger ones.

        While such requests start anywhere in the fleet, they have to be refused before it.
        """
        typical = (
            self.typical_requests.prompt_tokens(need.service, need.route) or need.prompt_tokens
        )
        size = min(float(need.prompt_tokens), typical)
        return self.starts.largest_less_urgent(need.service, need.tier, now) > _LARGER_FACTOR * size

    def refuse(self, need: Need, choices: Sequence[Choice], now: float) -> NoChoice | None:
        """Return the refusal of a request, None if it may go to one of `choices`."""
        with_free_slot = [choice for choice in choices if not choice.is_full]
        wait_seconds = min(
            with_free_slot or choices, key=lambda choice: choice.typical_request_cost
        ).wait_seconds
        first_event_seconds = min(choice.first_event_seconds for choice in choices)
        is_late = not with_free_slot or wait_seconds > _MAX_LONG_WAIT_FRACTION * need.target
        overload = self.is_long(need) and is_late
        no_room = first_event_seconds > need.first_event_timeout
        if self.must_serve(need, now):
            return None
        early_seconds = self.returns.seconds_early(_requester(need, now), now)
        if early_seconds:
            return self._refusal(
                need, Refusal.EARLY, early_seconds, wait_seconds, first_event_seconds
            )
        if not (overload or no_room):
            return None
        if not no_room and self.returns.is_due(need.caller, now):
            return None
        return self._refusal_or_early(
            need,
            Refusal.OVERLOAD if overload else Refusal.NO_ROOM,
            wait_seconds,
            first_event_seconds,
            now,
        )

    def refuse_for_others(self, need: Need, refusal: Refusal, now: float) -> NoChoice:
        """Return the refusal of a request for which there is no slot, or none left for its kind."""
        return self._refusal_or_early(need, refusal, 0.0, 0.0, now)

    def refuse_for_teams(self, need: Need, choices: Sequence[Choice], now: float) -> NoChoice:
        """Return the refusal of a request whose team has used its share while others wait.

        `choices` are the upstreams that were weighed for it.
        """
        wait_seconds = min(choice.wait_seconds for choice in choices)
        first_event_seconds = min(choice.first_event_seconds for choice in choices)
        return self._refusal_or_early(need, Refusal.SHARE, wait_seconds, first_event_seconds, now)

    def _refusal_or_early(
        self,
        need: Need,
        refusal: Refusal,
        wait_seconds: float,
        first_event_seconds: float,
        now: float,
        final: bool = False,
    ) -> NoChoice:
        """Return the refusal of a request, with its Retry-After time."""
        early_seconds = self.returns.seconds_early(_requester(need, now), now)
        if early_seconds:
            return self._refusal(
                need, Refusal.EARLY, early_seconds, wait_seconds, first_event_seconds
            )
        if self.returns.has_due_promise(need.caller, now):
            refusal = Refusal.RETURNED
        return self._refusal(
            need, refusal, self._retry_after(need, now, final), wait_seconds, first_event_seconds
        )

    def _retry_after(self, need: Need, now: float, final: bool) -> float:
        spread = need.caller % _SPREAD_STEPS / _SPREAD_STEPS
        return self.returns.retry_after(_requester(need, now), spread, now, final)

    def refuse_early(self, need: Need, now: float) -> NoChoice | None:
        """Return the refusal of a caller that returned before its Retry-After time, else None."""
        seconds = self.returns.seconds_early(_requester(need, now), now)
        if not seconds or self.must_serve(need, now):
            return None
        return replace(self._refusal(need, Refusal.EARLY, seconds, 0.0, 0.0), final=True)

    def refuse_finally(self, need: Need, refusal: Refusal, wait: float, now: float) -> NoChoice:
        """Return the final refusal of a request that is not queued, or no longer."""
        return replace(
            self._refusal_or_early(need, refusal, wait, wait, now, final=True), final=True
        )

    def refuse_without_room(self, need: Need) -> NoChoice:
        """Return the refusal of a request for which no upstream has a free slot now."""
        return self._refusal(need, Refusal.NO_ROOM, 0.0, 0.0, 0.0)

    def _refusal(
        self,
        need: Need,
        refusal: Refusal,
        retry_after: float,
        wait_seconds: float,
        first_event_seconds: float,
    ) -> NoChoice:
        return NoChoice(
            refusal,
            retry_after,
            wait_seconds,
            first_event_seconds,
            self.typical_requests.prompt_tokens(need.service, need.route),
            self.typical_requests.longest_prompt_tokens(need.service),
        )


def _requester(need: Need, now: float) -> Requester:
    # Plain requests of many callers are byte-identical.
    caller = need.caller if need.stream else 0
    return Requester(caller, need.service, need.tier, now - need.waited, need.time_left)
