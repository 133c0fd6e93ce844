"""Builds the message about a request that is sent to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number
from lotushill.routing.team import team_number

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.placement.need import Need


def placed_message(request: int, need: Need, choice: Choice, engine: bool) -> Placed:
    """Return the message for other gateways; `engine` states whether a model engine runs it."""
    return Placed(
        request=request,
        upstream=choice.upstream.id,
        prefill_tokens=choice.prefill_tokens,
        memory=need.prompt_tokens + need.output_tokens if engine else 0,
        target_gap=need.target_gap,
        seconds=choice.answer_seconds,
        age=0.0,
        part_ids=tuple(part.id for part in need.parts),
        part_tokens=tuple(part.tokens for part in need.parts),
        route=route_number(need.route),
        tier=need.tier,
        prompt=need.prompt_tokens,
        first_event_seconds=choice.first_event_seconds,
        # Time to the first event after a copy says nothing about the prefill rate.
        total_prefill_tokens=0 if choice.fetch else choice.total_prefill_tokens,
        team=team_number(need.team),
    )
