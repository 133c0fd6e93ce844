"""What entries and a dispatcher tell each other; times are seconds, lengths are tokens."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """Why a request was given up without having been run."""

    QUEUE_FULL = "queue-full"
    """Its class already has as many requests waiting as its contract allows."""
    SHED = "shed"
    """It was evicted from a full cell in favour of its own or a higher tier."""
    TARGET = "target-out-of-reach"
    """Its latency target cannot be met any more."""
    DEADLINE = "deadline"
    """Its deadline passed while it waited."""
    NO_UPSTREAM = "no-upstream"
    """No upstream of the pool can be given work."""
    RETRY_BUDGET = "retry-budget"
    """It failed before, and the cell's budget for retries is spent."""


class EndKind(Enum):
    """How an attempt on an upstream ended, as its entry saw it."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"
    """No byte reached the upstream."""
    REJECTED = "rejected"
    """The upstream refused before running it."""
    BROKEN = "broken"
    """The upstream failed after the request had been sent."""
    PREEMPTED = "preempted"


@dataclass(frozen=True)
class Ask:
    """A request in search of an upstream; `request` and `attempt` together name the ask."""

    request: str
    attempt: int
    entry: str
    cell: str
    team: str
    service: str
    klass: str
    tier: int
    """0 is the highest."""
    team_weight: float
    class_weight: float
    prompt_tokens: int
    output_limit: int
    """Most output tokens that the answer may have."""
    resumed_tokens: int
    """Output tokens that an earlier attempt already gave to the caller."""
    time_left: float
    """Seconds until the deadline, at the moment of asking."""
    target: float
    """Seconds within which the first token is due, 0 for none."""
    refuse_early: bool
    resumable: bool
    """Whether a running attempt may be stopped and taken up on another upstream."""
    rate: float
    """Limits of the class over all entries; 0 for none."""
    concurrency: int
    tokens: float
    queued: int
    prefix: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks, each hash covering all blocks before it."""
    excluded: tuple[str, ...] = ()
    """Upstreams on which earlier attempts failed."""


@dataclass(frozen=True)
class Grant:
    """Leave to run one attempt on one upstream."""

    request: str
    attempt: int
    cell: str
    upstream: str
    address: str
    tier: int
    """Priority for the engine; the tier, but for attempts in the progress lane."""
    waited: float
    why: str
    """The choice in a few key=value words, for the decision log."""


@dataclass(frozen=True)
class Refusal:
    """The request is given up and was not run by this attempt."""

    request: str
    attempt: int
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True)
class Preemption:
    """Order to stop a running attempt, whose request may ask again."""

    request: str
    attempt: int
    upstream: str


@dataclass(frozen=True)
class End:
    """Report of a finished attempt, from the entry that ran it."""

    request: str
    attempt: int
    cell: str
    upstream: str
    kind: EndKind
    output_tokens: int
    first_token: float
    """Seconds from the grant to the first token, 0 if none came."""
    between_tokens: float
    """Mean seconds between later tokens, 0 if fewer than two came."""


@dataclass(frozen=True)
class Cancel:
    """The caller has gone: drop the ask wherever it stands."""

    request: str
    cell: str


Decision = Grant | Refusal | Preemption
