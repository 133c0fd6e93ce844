"""What placement answers: where a request goes, or why it goes nowhere."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.fetch import Fetch
    from lotushill.routing.upstream import Upstream


@dataclass(frozen=True)
class Choice:
    """Where a request goes, with the figures that decided it; times are seconds."""

    upstream: Upstream
    cost: float
    first: float
    """Predicted time to the first event, or to the whole of a plain answer."""
    reading: int
    """Prompt tokens that the upstream has to read for it."""
    ahead: int
    """Prompt tokens that are read until its first event, those of others included."""
    seconds: float
    """Predicted time until the answer is whole."""
    wait: float = 0.0
    """Predicted time until its own prompt is begun."""
    harm: float = 0.0
    """What it costs the streams that run beside it."""
    usual_loss: float = 0.0
    """On a route of long prompts, what a usual request would lose there and make others lose."""
    again: int = 0
    """Shared prompt tokens that are read again."""
    running: int = 0
    """Requests that run there already, of all gateways."""
    fetch: Fetch | None = None
    """Prompt parts that the upstream is to take from another one first."""
    backup: Upstream | None = None
    """Where a copy of the run's memory is kept while it grows."""
    continues: bool = False
    """Whether the upstream holds a copy of the run's memory, and goes on from it."""


@dataclass(frozen=True)
class NoChoice:
    """No upstream can serve the request in the time it has."""

    reason: str
    retry_after: float
    """Seconds."""
