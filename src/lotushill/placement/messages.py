"""What gateways tell each other of the requests that they run; times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Placed:
    """A request was sent to an upstream, or still runs there."""

    request: int
    """Number of the attempt, the same at all gateways and hardly ever that of another."""
    upstream: str
    reading: int
    """Prompt tokens that the upstream has to read for it."""
    memory: int
    """Tokens of prompt and answer that it may hold in the end."""
    gap: float
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


@dataclass(frozen=True)
class Load:
    """News of one gateway's requests; with `whole`, `running` names all that it runs."""

    sender: str
    whole: bool
    placed: tuple[Placed, ...] = ()
    began: tuple[int, ...] = ()
    """Requests whose first event has come."""
    ended: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
