"""Builds messages about placed requests for tests of the placement model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.placement.need import Need


def placed(request: int, need: Need, choice: Choice) -> Placed:
    """Return the message of a gateway that has sent a request to the upstream of `choice`."""
    return Placed(
        request,
        choice.upstream.id,
        choice.prefill_tokens,
        need.prompt_tokens + need.output_tokens,
        need.target_gap,
        choice.answer_seconds,
        0.0,
        tuple(part.id for part in need.parts),
        tuple(part.tokens for part in need.parts),
        route=route_number(need.route),
        tier=need.tier,
        prompt=need.prompt_tokens,
    )
