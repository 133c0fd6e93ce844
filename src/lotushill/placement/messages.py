"""What gateways tell each other of the requests that they run; times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

import xxhash

_ROUTES_KEPT = 1024


@lru_cache(maxsize=_ROUTES_KEPT)
def route_number(name: str) -> int:
    """Return the number that stands for a route, the same at all gateways."""
    return xxhash.xxh32_intdigest(name)


@dataclass(frozen=True)
class Placed:
    """A request was sent to an upstream, or still runs there."""

    request: int
    """Number of the attempt, the same at all gateways and hardly ever that of another."""
    upstream: str
    prefill_tokens: int
    """Prompt tokens that the upstream has to read for it."""
    memory: int
    """Tokens of prompt and answer that it may hold in the end."""
    target_gap: float
    """Longest pause between its events that is in time, 0 for none."""
    seconds: float
    """How long it is expected to run."""
    age: float
    """How long it has run already."""
    part_ids: tuple[int, ...] = ()
    """The parts of its prompt, in order."""
    part_tokens: tuple[int, ...] = ()
    began: bool = False
    """Whether its first event has come, so that its prompt has been read."""
    route: int = 0
    """Number of its route."""
    tier: int = 0
    """0 is the most urgent."""
    prompt: int = 0
    """Tokens of its whole prompt."""
    first_event_seconds: float = 0.0
    """Predicted time to its first event, 0 where that was not predicted."""
    total_prefill_tokens: int = 0
    """Prompt tokens that are read until then, those of others included."""
    team: int = 0
    """Number of its team, 0 for none."""


class Outcome(IntEnum):
    """How an attempt ended."""

    UNKNOWN = 0
    """Nothing is learned of the upstream: the client left, or time ran out."""
    WHOLE = 1
    FAILED = 2
    """The upstream answered with a failure, refused it, or was silent."""
    CUT = 3
    """The stream was broken off after its first event."""
    NOT_SENT = 4
    """The upstream could not be reached."""


@dataclass(frozen=True)
class Began:
    """The first event of a request has come."""

    request: int
    seconds: float = 0.0
    """After it was sent; 0 where that was told before."""


@dataclass(frozen=True)
class Paced:
    """How quickly the events of a stream follow one another."""

    request: int
    pause: float
    """A typical one of its shorter pauses, so that readings beside it hardly count."""


@dataclass(frozen=True)
class Ended:
    """A request no longer runs at its upstream."""

    request: int
    outcome: Outcome = Outcome.UNKNOWN
    seconds: float = 0.0
    """How long it ran."""


@dataclass(frozen=True)
class Load:
    """News of one gateway's requests; with `whole`, `running` names all that it runs."""

    sender: str
    whole: bool
    placed: tuple[Placed, ...] = ()
    began: tuple[Began, ...] = ()
    paced: tuple[Paced, ...] = ()
    ended: tuple[Ended, ...] = ()
    running: tuple[int, ...] = ()

    @property
    def number(self) -> int:
        """Return the number of the request that is told of, 0 where it is a list of all."""
        if self.whole:
            return 0
        for told in (self.placed, self.began, self.paced, self.ended):
            for item in told:
                return item.request
        return 0
