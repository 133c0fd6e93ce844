"""Values that a level of the settings tree may set."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from lotushill.contracts.document import Document

Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f/]+$")]
Weight = Annotated[float, Field(ge=0.01, le=1000)]
Tier = Annotated[int, Field(ge=0, le=9)]


class Target(Document):
    """Target latency of a class, in seconds; a value that is not set is inherited."""

    first: Seconds | None = None
    """Latency of the complete answer, or of the first event of a stream."""
    gap: Seconds | None = None
    """Longest pause between two events of a stream that is on time."""


class Limit(Document):
    """Request limit of a team over the whole fleet; all requests below the level count together."""

    rate: Annotated[float, Field(ge=0.01, le=100_000)] | None = None
    """Requests per second; unlimited if not set."""


class Policy(Document):
    """Values that one level of the tree overrides; a value that is not set is inherited."""

    tier: Tier | None = None
    """Tier of the requests, 0 being the most urgent."""
    deadline: Seconds | None = None
    """Longest time in seconds that a request is held; never longer than its client waits."""
    repeatable: bool | None = None
    """`false` forbids retries of a request; `true` never allows more than the platform allows."""
    max_attempts: Annotated[int, Field(ge=1, le=16)] | None = None
    """Maximum number of upstreams that may run one request; never more than the platform allows."""
    target: Target = Target()
    share: Weight | None = None
    """Weight of the team's fair share of a service among the teams of the tier, while capacity is
    short; 1 if not set."""
    limit: Limit = Limit()
