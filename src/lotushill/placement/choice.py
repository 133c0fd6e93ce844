"""What placement answers: where a request goes, or why it goes nowhere."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.fetch import Fetch
    from lotushill.routing.upstream import Upstream


@dataclass(frozen=True)
class MovedMemory:
    """A run's memory that was moved, as its engines name it."""

    source: str
    """Address (IP:PORT) of the upstream that the run was stopped at."""
    handle: str


@dataclass(frozen=True)
class Choice:
    """Where a request goes, with the figures that decided it; times are seconds."""

    upstream: Upstream
    cost: float
    first_event_seconds: float
    """Predicted time to the first event, or to the whole of a plain answer."""
    prefill_tokens: int
    """Prompt tokens that the upstream has to read for it."""
    total_prefill_tokens: int
    """Prompt tokens that are read until its first event, those of others included."""
    answer_seconds: float
    """Predicted time until the answer is whole."""
    wait_seconds: float = 0.0
    """Predicted time until its own prompt is begun."""
    interference_cost: float = 0.0
    """What it costs the streams that run beside it."""
    typical_request_cost: float = 0.0
    """On a route of long prompts, what a usual request would lose there and make others lose."""
    reread_tokens: int = 0
    """Shared prompt tokens that are read again."""
    running: int = 0
    """Requests that run there already, of all gateways."""
    is_full: bool = False
    """Whether all slots there are taken by requests as urgent."""
    fetch: Fetch | None = None
    """Prompt parts that the upstream is to take from another one first."""
    backup: Upstream | None = None
    """Where a copy of the run's memory is kept while it grows."""
    returned: bool = False
    """Whether its caller was refused and came back as it was told."""
    resumes_from_copy: bool = False
    """Whether the upstream holds a copy of the run's memory, and goes on from it."""
    moved: MovedMemory | None = None
    """Where the memory was moved there, or kept there when the run was stopped."""


class Refusal(Enum):
    """Why a request goes nowhere."""

    NO_UPSTREAM = "no upstream"
    OVERLOAD = "overload"
    """It would wait longer than the longest prompts may, and is one of them."""
    RESTING = "all rest"
    """All upstreams that could serve it have asked this gateway for rest."""
    LIMITED = "all limited"
    """For some upstreams that could serve it there is no permit, and the others rest."""
    TEAM_LIMIT = "limit of its team"
    """Its team has sent as many as the settings tree lets it."""
    ISOLATED = "isolated"
    """Upstreams end under its group, which runs at one of them, one request at a time."""
    RETURNED = "returned"
    """It came back as it was told, and room for it is about to come."""
    EARLY = "before its time"
    """Its caller was told to come later, and others are refused meanwhile."""
    SHARE = "over its share"
    """Its team has had its share of the service, and others wait for room."""
    NO_ROOM = "no room in time"
    """No upstream would begin it before its client gives up."""


@dataclass(frozen=True)
class NoChoice:
    """No upstream is to serve the request now, with the figures that decided it."""

    refusal: Refusal
    retry_after: float
    """Seconds."""
    wait_seconds: float = 0.0
    """Predicted seconds until its prompt is begun, where a usual one would lose least."""
    first_event_seconds: float = 0.0
    """Predicted seconds to its first event at the soonest upstream."""
    usual_prompt: float = 0.0
    """Prompt tokens that are usual on its route."""
    longest_prompt: float = 0.0
    """The same of the route of its service with the longest prompts."""
    standing: float = 0.0
    """What its team has had, times the mean of the others; told where that is the reason."""
    final: bool = False
    """Whether waiting for room would be in vain."""
