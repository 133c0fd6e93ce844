"""What gateways that place requests tell each other of callers that were refused."""

from __future__ import annotations

from dataclasses import dataclass

from lotushill.returns.promise import PromiseState  # noqa: TC001 - the codec reads the types

MAX_PROMISES_PER_DATAGRAM = 30
"""Told in one datagram."""


@dataclass(frozen=True)
class ReturnNews:
    """Callers that were told when to come back, and such as have come back."""

    sender: str
    promises: tuple[PromiseState, ...]
