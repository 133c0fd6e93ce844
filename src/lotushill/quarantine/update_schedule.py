"""When what is known for and against requests is told to the other gateways."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.quarantine.repeat_schedule import RepeatSchedule

if TYPE_CHECKING:
    import random

_HELD_REPEAT_SECONDS = 2.0
"""Between two tellings of what is held and not in the store, so that joiners hear of it."""
KNOWN_GOOD_JITTER_SECONDS = 0.2
"""Of gateways that all know a request as sound, the first to speak within it speaks for all."""


@dataclass(frozen=True)
class DueUpdates:
    """The identities that are to be told now."""

    suspects: tuple[bytes, ...]
    cleared_since: tuple[bytes, ...]
    cleared_before: tuple[bytes, ...]


class UpdateSchedule:
    """Keeps what is due; pure, with the time passed in."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: RepeatSchedule[bytes] = RepeatSchedule()
        self._cleared: set[bytes] = set()
        self._proofs: dict[bytes, float] = {}

    def next_due(self) -> float:
        """Return when something is due, infinity for never."""
        if self._cleared:
            return -math.inf
        return min([self._suspects.next_due(), *self._proofs.values()])

    def schedule_failure(self, identity: bytes, now: float) -> None:
        """Tell of an end under a request, now and some times more."""
        self._suspects.schedule_repeats(identity, now)

    def schedule_held_repeat(self, identity: bytes, now: float) -> None:
        """Go on telling of a request that is held and not in the store."""
        if identity not in self._suspects:
            self._suspects.schedule_once(identity, now + _HELD_REPEAT_SECONDS)

    def schedule_cleared(self, identity: bytes) -> None:
        """Tell that a request was answered whole since, and no more against it."""
        self._suspects.cancel(identity)
        self._proofs.pop(identity, None)
        self._cleared.add(identity)

    def schedule_known_good(self, identity: bytes, now: float) -> None:
        """Tell that a request was answered whole before, unless another one does first."""
        if identity not in self._proofs:
            self._proofs[identity] = now + self._rng.uniform(0.0, KNOWN_GOOD_JITTER_SECONDS)

    def cancel_known_good(self, identity: bytes) -> None:
        """Note that another one has told the proof."""
        self._proofs.pop(identity, None)

    def cancel(self, identity: bytes) -> None:
        """Tell no more against a request that another one has cleared."""
        self._suspects.cancel(identity)
        self._proofs.pop(identity, None)

    def pop_due(self, now: float) -> DueUpdates:
        """Return what is due, which is told by then."""
        suspects = self._suspects.pop_due(now)
        proofs = [item for item, at in self._proofs.items() if at <= now]
        for identity in proofs:
            del self._proofs[identity]
        cleared, self._cleared = self._cleared, set()
        return DueUpdates(tuple(suspects), tuple(cleared), tuple(proofs))
