"""The values a level of the tree may set, and the whole set that a class ends up with."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from lotushill.contracts.document import Document

Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]


class Target(Document):
    """Latency promised to a class, in seconds; a value not set is inherited."""

    first_token: Seconds | None = None
    between_tokens: Seconds | None = None
    whole: Seconds | None = None


class Limits(Document):
    """Upper bounds over all entries together; a value not set is inherited."""

    rate: Annotated[float, Field(gt=0)] | None = None
    """Requests started a second."""
    concurrency: Annotated[int, Field(gt=0)] | None = None
    """Requests in progress at one time."""
    tokens: Annotated[float, Field(gt=0)] | None = None
    """Tokens a second, prompt and output together."""
    queued: Annotated[int, Field(gt=0)] | None = None
    """Requests waiting at one time in one cell."""


class Policy(Document):
    """What one level of the tree overrides; a value not set is inherited."""

    pool: Name | None = None
    """The pool of upstreams that serves the class."""
    tier: Name | None = None
    """One of the tiers of the root."""
    weight: Annotated[float, Field(gt=0, le=1000)] | None = None
    """Share among the teams of a tier (on a team) or the classes of a team (on a class)."""
    deadline: Seconds | None = None
    """Longest time from arrival to the end of the answer, when the caller names none."""
    refuse_early: bool | None = None
    """Refuse at once when the first-token target cannot be met, in place of waiting."""
    repeatable: bool | None = None
    """Whether a call may run again when nothing says it ran; callers may only narrow it."""
    max_output_tokens: Annotated[int, Field(gt=0, le=1_000_000)] | None = None
    """Output tokens granted to one request."""
    target: Target = Target()
    limits: Limits = Limits()


class Contract(Document):
    """The effective values of one class of one service of one team."""

    team: str
    service: str
    klass: str
    pool: str
    tier: str
    tier_rank: int
    """Place of the tier, 0 being the highest."""
    team_weight: float
    class_weight: float
    deadline: float
    refuse_early: bool
    repeatable: bool
    max_output_tokens: int
    first_token: float | None
    between_tokens: float | None
    whole: float | None
    rate: float | None
    concurrency: int | None
    tokens: float | None
    queued: int
