"""Data types of the promise to one refused caller."""

from __future__ import annotations

from dataclasses import dataclass

GRACE_SECONDS = 2.0
"""Time after its due time for which a promise is kept: a client may first try a host that is
down."""


@dataclass(frozen=True)
class Requester:
    """A request that needs an upstream; times are seconds."""

    caller: int
    """Number that stays the same when the request is sent again, 0 if unknown."""
    service: str
    tier: int
    arrived: float
    """When the request arrived at its gateway, on the own clock."""
    time_left: float


@dataclass
class Promise:
    """The Retry-After time given to one caller, on the own clock."""

    service: str
    tier: int
    due_at: float
    refused_at: float
    """When the caller was last refused."""
    prioritized: bool
    """Whether the caller then goes before new requests; if not, it was given only a time."""
    own: bool
    """Whether this gateway has to notify the others."""
    used: bool = False
    send_at: float = 0.0
    times_sent: int = 0

    @property
    def expires_at(self) -> float:
        """Return until when the promise is kept."""
        return self.due_at + GRACE_SECONDS


@dataclass(frozen=True)
class PromiseState:
    """The state of a promise that one gateway sends to others."""

    caller: int
    service: str
    tier: int
    due_in: float
    """Seconds until the promise is due, below 0 if it is due already."""
    first: bool
    used: bool
