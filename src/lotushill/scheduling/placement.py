"""Where a request goes, as a gateway's own model or a scheduler decided it."""

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
    """What is told of it."""
    memory: int = 0
    """Tokens that the upstream's running requests may hold in the end."""
    scheduler: str = ""
    """Who decided, empty for this gateway."""
    alone: bool = False
    """Whether this gateway decided since no scheduler answered, by what it runs itself."""
    drawn: bool = False
    """Whether it was drawn, since this gateway has started and knows nothing of what runs."""
