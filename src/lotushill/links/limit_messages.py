"""What gateways tell and ask each other of limits that upstreams name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LimitState:
    """What an upstream last said of its limit, as far as one gateway knows."""

    upstream: str
    rate: float
    """Requests a second from all gateways together, infinity where it names none any more."""
    asked_age: float
    """Seconds since the request was sent to whose answer it said so."""
    heard_age: float
    """Seconds since that answer came."""


@dataclass(frozen=True)
class LimitNews:
    """Limits that upstreams named in answers, and ends of such limits."""

    sender: str
    limits: tuple[LimitState, ...]
    complete: bool
    """Whether these are all that the sender knows of."""


@dataclass(frozen=True)
class PermitAsk:
    """Asks the gateway that counts for an upstream with a limit to let one request through."""

    sender: str
    number: int
    """Of the ask, at its sender."""
    limit: LimitState
    tier: int
    """0 is the most urgent."""
    route: str
    prompt_tokens: int


@dataclass(frozen=True)
class PermitAnswer:
    """Lets a request through or not."""

    number: int
    """Of the ask."""
    granted: bool
    again_in: float
    """Seconds until a request like it may be asked for again, where it was not granted."""
    rank: int
    """Where it comes among all that ask, 0 for the first."""
