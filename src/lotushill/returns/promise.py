"""What is held and told of one caller that was refused."""

from __future__ import annotations

from dataclasses import dataclass

GRACE_SECONDS = 2.0
"""After its time, how long a place is kept: a client may first try a host that is gone."""


@dataclass(frozen=True)
class Requester:
    """A request that looks for room; times are seconds."""

    caller: int
    """Number that stays the same when it is sent again, 0 where that is not known."""
    service: str
    tier: int
    arrived: float
    """When it came to its gateway, on the own clock."""
    time_left: float


@dataclass
class Promise:
    """When one caller was told to come back, on the own clock."""

    service: str
    tier: int
    due_at: float
    refused_at: float
    """When the caller was last refused."""
    prioritized: bool
    """Whether it then goes before newcomers; without, it was told a time and nothing else."""
    own: bool
    """Whether this gateway is to tell the others."""
    used: bool = False
    send_at: float = 0.0
    times_sent: int = 0

    @property
    def ends(self) -> float:
        """Return until when it is kept."""
        return self.due_at + GRACE_SECONDS


@dataclass(frozen=True)
class PromiseState:
    """What one gateway tells others of a promise."""

    caller: int
    service: str
    tier: int
    due_in: float
    """Seconds, below 0 for one whose time has come."""
    first: bool
    used: bool
