"""Messages between gateways about the limits that upstreams state, and about permits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LimitState:
    """The latest limit report of an upstream known to one gateway."""

    upstream: str
    rate: float
    """Requests per second from all gateways together; infinity if it no longer states a limit."""
    asked_age: float
    """Seconds since the request was sent whose answer stated the limit."""
    heard_age: float
    """Seconds since that answer arrived."""


@dataclass(frozen=True)
class LimitNews:
    """Limits that upstreams stated in answers, and withdrawals of such limits."""

    sender: str
    limits: tuple[LimitState, ...]
    complete: bool
    """Whether the list contains all limits known to the sender."""
    on_rejections: bool = False
    """Whether they limit the requests per second that are rejected, not those that are sent."""


@dataclass(frozen=True)
class PermitAsk:
    """Asks the limit owner of an upstream for a permit for one request."""

    sender: str
    number: int
    """Number of the ask, unique at its sender."""
    limit: LimitState
    tier: int
    """Tier of the request; 0 is the most urgent."""
    route: str
    prompt_tokens: int


@dataclass(frozen=True)
class PermitAnswer:
    """Grants or denies a permit."""

    number: int
    """Number of the ask that is answered."""
    granted: bool
    again_in: float
    """Seconds until a permit of the same rank may be requested again, if it was denied."""
    rank: int
    """Rank of the request among all that ask for a permit, 0 for the first."""
