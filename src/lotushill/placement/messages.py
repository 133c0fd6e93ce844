"""Messages between gateways about the requests that they run; times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

import xxhash

_ROUTE_NUMBERS_CACHE_SIZE = 1024


@lru_cache(maxsize=_ROUTE_NUMBERS_CACHE_SIZE)
def route_number(name: str) -> int:
    """Return the number that identifies a route, the same on all gateways."""
    return xxhash.xxh32_intdigest(name)


@dataclass(frozen=True)
class Placed:
    """A request was sent to an upstream, or still runs there."""

    request: int
    """Number of the attempt, the same on all gateways and practically unique."""
    upstream: str
    prefill_tokens: int
    """Prompt tokens that the upstream has to process for this request."""
    memory: int
    """Maximum number of prompt and answer tokens that the request may occupy in the end."""
    target_gap: float
    """Longest pause between its events that is in time, 0 for none."""
    seconds: float
    """Expected duration of the run."""
    age: float
    """Time since the run started."""
    part_ids: tuple[int, ...] = ()
    """Ids of the parts of its prompt, in order."""
    part_tokens: tuple[int, ...] = ()
    began: bool = False
    """Whether its first event has arrived, and its prompt is therefore processed."""
    route: int = 0
    """Number of its route."""
    tier: int = 0
    """Tier; 0 is the most urgent."""
    prompt: int = 0
    """Tokens of the whole prompt."""
    first_event_seconds: float = 0.0
    """Predicted time to its first event, 0 if it was not predicted."""
    total_prefill_tokens: int = 0
    """Prompt tokens processed until the first event, including those of other requests."""
    team: int = 0
    """Number of its team, 0 for none."""


class Outcome(IntEnum):
    """Outcome of an attempt."""

    UNKNOWN = 0
    """Says nothing about the upstream: the client disconnected, or the deadline expired."""
    WHOLE = 1
    FAILED = 2
    """The upstream answered with an error, refused the request, or did not answer."""
    CUT = 3
    """The stream was interrupted after its first event."""
    NOT_SENT = 4
    """The upstream could not be reached."""


@dataclass(frozen=True)
class Began:
    """The first event of a request has arrived."""

    request: int
    seconds: float = 0.0
    """Time since the request was sent; 0 if it was reported before."""


@dataclass(frozen=True)
class Paced:
    """Interval between the events of a stream."""

    request: int
    pause: float
    """A typical one of its shorter pauses, so that concurrent prefill hardly counts."""


@dataclass(frozen=True)
class Ended:
    """A request no longer runs on its upstream."""

    request: int
    outcome: Outcome = Outcome.UNKNOWN
    seconds: float = 0.0
    """Duration of the run."""


@dataclass(frozen=True)
class Load:
    """Load report of one gateway; if `whole` is set, `running` lists all requests that it runs."""

    sender: str
    whole: bool
    placed: tuple[Placed, ...] = ()
    began: tuple[Began, ...] = ()
    paced: tuple[Paced, ...] = ()
    ended: tuple[Ended, ...] = ()
    running: tuple[int, ...] = ()

    @property
    def number(self) -> int:
        """Return the number of the request that the report is about, 0 if it lists all requests."""
        if self.whole:
            return 0
        for updates in (self.placed, self.began, self.paced, self.ended):
            for item in updates:
                return item.request
        return 0
