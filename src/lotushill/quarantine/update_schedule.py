"""Schedule of the updates on suspects and cleared requests to the other gateways."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.quarantine.repeat_schedule import RepeatSchedule

if TYPE_CHECKING:
    import random

_HELD_REPEAT_INTERVAL_SECONDS = 2.0
"""Interval in seconds at which a hold that is not in the store is sent again.

Gateways that join receive it this way.
"""
KNOWN_GOOD_JITTER_SECONDS = 0.2
"""Range in seconds of the random delay before a known good request is reported.

If the request is known good at several gateways, the first report replaces those of the others.
"""

_BEGUN_JITTER_SECONDS = 0.1
"""Range in seconds of the random delay before an event of a part is reported.

It is below the time between two rounds of failures, so that a sound part is cleared between them.
"""
_BEGUN_REPEAT_SECONDS = 0.15
"""Delay in seconds after which such a report is sent once more, in case it was lost."""


@dataclass(frozen=True)
class DueUpdates:
    """The identities that are due to be sent."""

    suspects: tuple[bytes, ...]
    cleared_since: tuple[bytes, ...]
    cleared_before: tuple[bytes, ...]
    begun: tuple[bytes, ...] = ()


class UpdateSchedule:
    """Schedules updates without side effects; the time is an argument."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: RepeatSchedule[bytes] = RepeatSchedule()
        self._cleared: set[bytes] = set()
        self._known_good: dict[bytes, float] = {}
        self._begun: RepeatSchedule[bytes] = RepeatSchedule()
        """Parts with an event that other gateways need to know."""

    def next_due(self) -> float:
        """Return the time at which the next update is due, or infinity if there is none."""
        if self._cleared:
            return -math.inf
        return min([self._suspects.next_due(), self._begun.next_due(), *self._known_good.values()])

    def schedule_failure(self, identity: bytes, now: float) -> None:
        """Schedule the update on an upstream failure for now and for several repetitions."""
        self._suspects.schedule_repeats(identity, now)

    def schedule_held_repeat(self, identity: bytes, now: float) -> None:
        """Schedule another update on a request that is held and not in the store."""
        if identity not in self._suspects:
            self._suspects.schedule_once(identity, now + _HELD_REPEAT_INTERVAL_SECONDS)

    def schedule_cleared(self, identity: bytes) -> None:
        """Schedule the update that a request completed after its failures; cancel all others."""
        self._suspects.cancel(identity)
        self._known_good.pop(identity, None)
        self._cleared.add(identity)

    def schedule_known_good(self, identity: bytes, now: float) -> None:
        """Schedule the update that a request is known good, unless a peer sends it first."""
        if identity not in self._known_good:
            self._known_good[identity] = now + self._rng.uniform(0.0, KNOWN_GOOD_JITTER_SECONDS)

    def cancel_known_good(self, identity: bytes) -> None:
        """Cancel the update that a request is known good, since a peer has sent it."""
        self._known_good.pop(identity, None)

    def schedule_begun(self, identity: bytes, now: float) -> None:
        """Schedule the update on an event of a part, unless a peer sends a later one first."""
        if identity not in self._begun:
            first = now + self._rng.uniform(0.0, _BEGUN_JITTER_SECONDS)
            self._begun.schedule_at(identity, (first, first + _BEGUN_REPEAT_SECONDS))

    def cancel_begun(self, identity: bytes) -> None:
        """Cancel the update on an event of a part, since a peer has sent a later one."""
        self._begun.cancel(identity)

    def cancel(self, identity: bytes) -> None:
        """Cancel all updates against a request that a peer has cleared."""
        self._suspects.cancel(identity)
        self._known_good.pop(identity, None)

    def pop_due(self, now: float) -> DueUpdates:
        """Return the updates that are due, and remove them from the schedule."""
        suspects = self._suspects.pop_due(now)
        known_good = [item for item, at in self._known_good.items() if at <= now]
        for identity in known_good:
            del self._known_good[identity]
        cleared, self._cleared = self._cleared, set()
        begun = self._begun.pop_due(now)
        return DueUpdates(tuple(suspects), tuple(cleared), tuple(known_good), tuple(begun))
