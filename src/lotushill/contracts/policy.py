"""The values that a level of the settings tree may set."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from lotushill.contracts.document import Document

Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f/]+$")]
Weight = Annotated[float, Field(ge=0.01, le=1000)]
Tier = Annotated[int, Field(ge=0, le=9)]


class Target(Document):
    """Latency promised to a class, in seconds; a value not set is inherited."""

    first: Seconds | None = None
    """To the whole answer, or to the first event of a stream."""
    gap: Seconds | None = None
    """The longest pause between two events of a stream that is in time."""


class Limit(Document):
    """What the whole fleet takes of a team; counted together for all that the level holds."""

    rate: Annotated[float, Field(ge=0.01, le=100_000)] | None = None
    """Requests a second; without one, any number."""


class Policy(Document):
    """What one level of the tree overrides; a value not set is inherited."""

    tier: Tier | None = None
    """Rank of the requests, 0 being the highest."""
    deadline: Seconds | None = None
    """The longest that a request is held; never longer than its client waits."""
    repeatable: bool | None = None
    """`false` forbids to run a request again; `true` never widens what the platform allows."""
    max_attempts: Annotated[int, Field(ge=1, le=16)] | None = None
    """Most upstreams that may run one request; never more than the platform allows."""
    target: Target = Target()
    share: Weight | None = None
    """Weight of the team's part of a service beside other teams of the tier, while room is short;
    1 where nothing is set."""
    limit: Limit = Limit()
