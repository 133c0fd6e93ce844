"""What placement has to know of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.demand import PromptPart


_OUTPUT_WORTH = 10.0
"""A token of an answer counts as so many of a prompt."""


@dataclass(frozen=True)
class Need:
    """One request in search of an upstream; times are seconds, lengths tokens."""

    service: str
    route: str
    target: float
    """Time to the answer, or to the first event of a stream, that is in time."""
    target_gap: float
    """Longest pause between events that is in time, 0 for none."""
    time_left: float
    stream: bool
    prompt_tokens: int
    output_tokens: int
    """Likely length of the answer."""
    parts: tuple[PromptPart, ...]
    """The last one is the request's own; the others may be shared."""
    tier: int = 0
    """0 is the most urgent."""
    team: str = ""
    """Whose request it is, empty where requests need no key."""
    share: float = 1.0
    """Weight of its team's part of the service, beside other teams of the tier."""
    waited: float = 0.0
    """Seconds since it came to its gateway."""
    caller: int = 0
    """Number of what stays the same when its caller sends it again; 0 where that is not known."""

    @property
    def size(self) -> float:
        """Return the work that the request is worth, in prompt tokens."""
        return self.prompt_tokens + _OUTPUT_WORTH * self.output_tokens

    @property
    def first_event_timeout(self) -> float:
        """Return how long a client waits for the first sign of an answer."""
        if not self.stream:
            return self.time_left
        return min(self.time_left, max(2.0, 4 * self.target, 8 * self.target_gap))
