"""Schedule of the updates on suspects and cleared requests to the other gateways."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.quarantine.repeat_plan import RepeatPlan

if TYPE_CHECKING:
    import random

_HELD_REPEAT_SECONDS = 2.0
"""Interval in seconds at which a hold that is not in the store is sent again.

Gateways that join receive it this way.
"""
PROOF_SECONDS = 0.2
"""Range in seconds of the random delay before a known good request is reported.

If several gateways know the request as good, the first report within this time stands for all.
"""


@dataclass(frozen=True)
class DueNews:
    """The identities that are due to be sent."""

    suspects: tuple[bytes, ...]
    cleared_since: tuple[bytes, ...]
    cleared_before: tuple[bytes, ...]


class NewsPlan:
    """Schedules updates without side effects; the time is an argument."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: RepeatPlan[bytes] = RepeatPlan()
        self._cleared: set[bytes] = set()
        self._proofs: dict[bytes, float] = {}

    def next_due(self) -> float:
        """Return the time at which the next update is due, or infinity if there is none."""
        if self._cleared:
            return -math.inf
        return min([self._suspects.next_due(), *self._proofs.values()])

    def tell(self, identity: bytes, now: float) -> None:
        """Schedule the update on an upstream failure for now and for several repetitions."""
        self._suspects.tell(identity, now)

    def go_on(self, identity: bytes, now: float) -> None:
        """Schedule another update on a request that is held and not in the store."""
        if identity not in self._suspects:
            self._suspects.tell_at(identity, now + _HELD_REPEAT_SECONDS)

    def clear(self, identity: bytes) -> None:
        """Schedule the update that a request completed after its failures; cancel all others."""
        self._suspects.forget(identity)
        self._proofs.pop(identity, None)
        self._cleared.add(identity)

    def prove(self, identity: bytes, now: float) -> None:
        """Schedule the update that a request is known good, unless a peer sends it first."""
        if identity not in self._proofs:
            self._proofs[identity] = now + self._rng.uniform(0.0, PROOF_SECONDS)

    def heard(self, identity: bytes) -> None:
        """Cancel the update that a request is known good, since a peer has sent it."""
        self._proofs.pop(identity, None)

    def forget(self, identity: bytes) -> None:
        """Cancel all updates against a request that a peer has cleared."""
        self._suspects.forget(identity)
        self._proofs.pop(identity, None)

    def take(self, now: float) -> DueNews:
        """Return the updates that are due, and remove them from the schedule."""
        suspects = self._suspects.take(now)
        proofs = [item for item, at in self._proofs.items() if at <= now]
        for identity in proofs:
            del self._proofs[identity]
        cleared, self._cleared = self._cleared, set()
        return DueNews(tuple(suspects), tuple(cleared), tuple(proofs))
