"""When what is known for and against requests is told to the other gateways."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.quarantine.repeat_plan import RepeatPlan

if TYPE_CHECKING:
    import random

_HELD_REPEAT_SECONDS = 2.0
"""Between two tellings of what is held and not in the store, so that joiners hear of it."""
PROOF_SECONDS = 0.2
"""Of gateways that all know a request as sound, the first to speak within it speaks for all."""


@dataclass(frozen=True)
class DueNews:
    """The identities that are to be told now."""

    suspects: tuple[bytes, ...]
    cleared_since: tuple[bytes, ...]
    cleared_before: tuple[bytes, ...]


class NewsPlan:
    """Keeps what is due; pure, with the time passed in."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: RepeatPlan[bytes] = RepeatPlan()
        self._cleared: set[bytes] = set()
        self._proofs: dict[bytes, float] = {}

    def next_due(self) -> float:
        """Return when something is due, infinity for never."""
        if self._cleared:
            return -math.inf
        return min([self._suspects.next_due(), *self._proofs.values()])

    def tell(self, identity: bytes, now: float) -> None:
        """Tell of an end under a request, now and some times more."""
        self._suspects.tell(identity, now)

    def go_on(self, identity: bytes, now: float) -> None:
        """Go on telling of a request that is held and not in the store."""
        if identity not in self._suspects:
            self._suspects.tell_at(identity, now + _HELD_REPEAT_SECONDS)

    def clear(self, identity: bytes) -> None:
        """Tell that a request was answered whole since, and no more against it."""
        self._suspects.forget(identity)
        self._proofs.pop(identity, None)
        self._cleared.add(identity)

    def prove(self, identity: bytes, now: float) -> None:
        """Tell that a request was answered whole before, unless another one does first."""
        if identity not in self._proofs:
            self._proofs[identity] = now + self._rng.uniform(0.0, PROOF_SECONDS)

    def heard(self, identity: bytes) -> None:
        """Note that another one has told the proof."""
        self._proofs.pop(identity, None)

    def forget(self, identity: bytes) -> None:
        """Tell no more against a request that another one has cleared."""
        self._suspects.forget(identity)
        self._proofs.pop(identity, None)

    def take(self, now: float) -> DueNews:
        """Return what is due, which is told by then."""
        suspects = self._suspects.take(now)
        proofs = [item for item, at in self._proofs.items() if at <= now]
        for identity in proofs:
            del self._proofs[identity]
        cleared, self._cleared = self._cleared, set()
        return DueNews(tuple(suspects), tuple(cleared), tuple(proofs))
