"""One request that waits for room."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.need import Need

RENEW_INTERVAL_SECONDS = 0.2
"""Between two asks of a gateway for a request that waits: a fifth of the shortest time in which its
client gives up, so that a scheduler that was lost costs little of it."""
EXPIRY_SECONDS = 0.7
"""One that was not renewed for so long has been given up: two renewals may be lost."""
_PATIENCE_SHARE = 0.9
"""Of its client's patience, how long a request is held: in what is left it can still begin beside
others that are let in with it, or be refused so that its client comes back."""


@dataclass(frozen=True)
class QueueEntry:
    """A request in line; times are on the clock of whoever holds it."""

    key: int
    """Number of the ask, the same when it is renewed."""
    need: Need
    gateway: str
    """Gateway that asked, empty for the holder's own requests."""
    arrived_at: float
    """When the request came to its gateway."""
    renewed_at: float
    excluded: frozenset[str] = frozenset()
    """Upstreams that are not to have it."""
    copied: bool = False
    """Whether a copy of its run may be kept."""

    @cached_property
    def patience_ends(self) -> float:
        """Return when its client gives up without a sign of an answer."""
        patience = replace(self.need, time_left=math.inf).first_event_timeout
        return self.arrived_at + min(patience, self.need.waited + self.need.time_left)

    @property
    def held_until(self) -> float:
        """Return until when it is held: its client is still there to hear what became of it."""
        return self.arrived_at + _PATIENCE_SHARE * (self.patience_ends - self.arrived_at)

    def need_at(self, now: float) -> Need:
        """Return what it needs now."""
        waited = now - self.arrived_at
        left = self.need.time_left - (waited - self.need.waited)
        return replace(self.need, waited=waited, time_left=max(0.0, left))


@dataclass(frozen=True)
class Queued:
    """The answer to an ask that waits: it is to be renewed after so many seconds."""

    renew_seconds: float = RENEW_INTERVAL_SECONDS
