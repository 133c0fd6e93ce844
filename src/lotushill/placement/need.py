"""Properties of a request that placement needs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.routing.urgency import DEFAULT_TEAM_RANK

if TYPE_CHECKING:
    from lotushill.routing.demand import PromptPart
    from lotushill.routing.upstream import Upstream


_OUTPUT_WORTH = 10.0
"""Number of prompt tokens that are as much work as one answer token."""


@dataclass(frozen=True)
class Need:
    """One request to place; times are in seconds, lengths in tokens."""

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
    """Expected length of the answer."""
    parts: tuple[PromptPart, ...]
    """Parts of the prompt; the last one is specific to this request, the others may be shared."""
    tier: int = 0
    """Tier; 0 is the most urgent."""
    team: str = ""
    """Team of the request, empty if requests need no key."""
    team_rank: int = DEFAULT_TEAM_RANK
    """Rank of its team within the tier; 0 goes first."""
    share: float = 1.0
    """Weight of its team's share of the service, relative to other teams of the tier."""
    waited: float = 0.0
    """Seconds since it arrived at its gateway."""
    caller: int = 0
    """Number that identifies the caller, the same when its client sends the request again; 0 if
    unknown."""
    version: str = ""
    """Software version at which its stream began; empty if any upstream may serve it."""

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream has the required version."""
        return not self.version or upstream.version == self.version

    @property
    def size(self) -> float:
        """Return the amount of work of the request, in prompt tokens."""
        return self.prompt_tokens + _OUTPUT_WORTH * self.output_tokens

    @property
    def first_event_timeout(self) -> float:
        """Return how long a client waits for the first sign of an answer."""
        return min(self.time_left, self.event_timeout) if self.stream else self.time_left

    @property
    def event_timeout(self) -> float:
        """Return how long a client of a stream waits for its next event."""
        return max(2.0, 4 * self.target, 8 * self.target_gap)
