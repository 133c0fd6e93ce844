"""Results of placement: the chosen upstream of a request, or the reason for refusing it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.fetch import Fetch
    from lotushill.routing.upstream import Upstream


@dataclass(frozen=True)
class MovedMemory:
    """Memory of a run that was moved, as its engines identify it."""

    source: str
    """Address (IP:PORT) of the upstream on which the run was stopped."""
    handle: str


@dataclass(frozen=True)
class Choice:
    """The upstream chosen for a request and the predictions behind it; times are in seconds."""

    upstream: Upstream
    cost: float
    first_event_seconds: float
    """Predicted time to the first event, or to the complete answer of a plain service."""
    prefill_tokens: int
    """Prompt tokens that the upstream has to process for this request."""
    total_prefill_tokens: int
    """Prompt tokens processed until the first event, including those of other requests."""
    answer_seconds: float
    """Predicted time until the answer is complete."""
    wait_seconds: float = 0.0
    """Predicted time until processing of the request's own prompt begins."""
    interference_cost: float = 0.0
    """Expected cost to the streams that run on the same upstream."""
    typical_request_cost: float = 0.0
    """Expected cost of a typical request of the route on this upstream, both to itself and to
    others; 0 unless the route has the longest prompts of its service."""
    reread_tokens: int = 0
    """Shared prompt tokens that are processed again."""
    running: int = 0
    """Requests of all gateways that already run on the upstream."""
    is_full: bool = False
    """Whether all slots of the upstream are taken by requests of the same or higher urgency."""
    fetch: Fetch | None = None
    """Prompt parts that the upstream copies from another one first."""
    backup: Upstream | None = None
    """Upstream that holds a growing copy of the run's memory."""
    returned: bool = False
    """Whether the caller was refused before and returned after its Retry-After time."""
    resumes_from_copy: bool = False
    """Whether the upstream holds a copy of the run's memory and resumes from it."""
    moved: MovedMemory | None = None
    """The memory that was moved to the upstream, or that was kept on it when the run was stopped.
    """

    @property
    def returned_to_source(self) -> bool:
        """Return whether the run continues at the upstream that it was to be moved from."""
        return self.moved is not None and self.moved.source == self.upstream.address


class Refusal(Enum):
    """Reason why a request is not placed."""

    NO_UPSTREAM = "no upstream"
    NO_VERSION = "no upstream of its version"
    """No upstream has the software version at which the stream began."""
    OVERLOAD = "overload"
    """The route has the longest prompts of its service, and the request would wait too long."""
    RESTING = "all rest"
    """All upstreams that could serve the request have asked this gateway for a cooldown."""
    LIMITED = "all limited"
    """No permit is available for some of the upstreams that could serve the request, and the others
    are in a cooldown."""
    TEAM_LIMIT = "limit of its team"
    """The team has reached its request limit in the settings tree."""
    ISOLATED = "isolated"
    """Upstreams fail under requests of this group, which is isolated: it runs on one of them, one
    request at a time."""
    RETURNED = "returned"
    """The caller returned after its Retry-After time, and an upstream is expected to have room
    soon."""
    EARLY = "before its time"
    """The caller returned before its Retry-After time, and other requests are being refused."""
    SHARE = "over its share"
    """The team has used its share of the service, and other teams wait for room."""
    NO_ROOM = "no room in time"
    """No upstream would start the request before its client times out."""


@dataclass(frozen=True)
class NoChoice:
    """No upstream can serve the request now; holds the predictions behind the decision."""

    refusal: Refusal
    retry_after: float
    """Seconds after which the caller should return."""
    wait_seconds: float = 0.0
    """Predicted seconds until processing of its prompt begins, on the upstream with the least cost
    for a typical request."""
    first_event_seconds: float = 0.0
    """Shortest predicted time in seconds to the first event over all upstreams."""
    usual_prompt: float = 0.0
    """Typical number of prompt tokens on its route."""
    longest_prompt: float = 0.0
    """Typical number of prompt tokens on the route of its service with the longest prompts."""
    standing: float = 0.0
    """The team's usage as a multiple of the mean of the other teams; set if this is the reason for
    the refusal."""
    final: bool = False
    """Whether waiting for room would be useless."""
