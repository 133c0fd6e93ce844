"""The upstream of a request, as a gateway's own model or a scheduler chose it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.placement.messages import Placed


@dataclass(frozen=True)
class Placement:
    """A request that is to be sent to an upstream."""

    choice: Choice
    placed: Placed
    """The record of the request that other gateways receive."""
    memory: int = 0
    """Tokens that the upstream's running requests may occupy at their end."""
    scheduler: str = ""
    """Name of the scheduler that decided, empty for this gateway."""
    alone: bool = False
    """Whether this gateway decided by its own requests alone, since no scheduler answered."""
    drawn: bool = False
    """Whether the upstream was drawn at random: this gateway has just started and has no model."""
