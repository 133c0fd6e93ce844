"""What clients and engines of the soak test observed; times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

DEADLINE_SECONDS = 3.0
"""Deadline in seconds that requests state, other than those for long streams."""
LONG_DEADLINE_SECONDS = 7.0
"""Deadline of requests for long streams: a stream at an engine that stays slow does not end in this
time, and all others do."""


@dataclass(frozen=True)
class Answer:
    """Answer to one request of a client; status 0 if the connection ended without an answer."""

    attempt: str
    kind: str
    sent_at: float
    status: int
    whole: bool
    is_own: bool
    """Whether signature and body belong to this request."""
    gateway: str = ""
    """Address of the gateway that received the request."""
    ended_at: float = 0.0
    in_order: bool = True
    """Whether the received events of a stream are its first ones, each once; else true."""
    deadline_seconds: float = DEADLINE_SECONDS
    """Deadline that the request stated."""


@dataclass(frozen=True)
class Arrival:
    """Arrival of one request at an engine incarnation."""

    attempt: str
    engine: str
    at: float


@dataclass(frozen=True)
class Cooldown:
    """Cooldown that an engine requested when it rejected a request."""

    attempt: str
    engine: str
    at: float
    seconds: float


@dataclass(frozen=True)
class StatedLimit:
    """Limit that an engine stated in one answer, with the time at which the answer was sent."""

    attempt: str
    engine: str
    at: float
    rate: float
    """Limit in requests per second; infinite if the answer states none."""


@dataclass(frozen=True)
class Absence:
    """Period in which a gateway was killed or frozen."""

    gateway: str
    since: float
    until: float
