"""Messages between schedulers about refused callers."""

from __future__ import annotations

from dataclasses import dataclass

from lotushill.returns.promise import PromiseState  # noqa: TC001 - the codec reads the types

MAX_PROMISES_PER_DATAGRAM = 30
"""Maximum promises in one datagram."""


@dataclass(frozen=True)
class ReturnNews:
    """Callers that received a retry time, and callers that have returned."""

    sender: str
    promises: tuple[PromiseState, ...]
