"""Entries of the admission queue."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.need import Need

RENEW_INTERVAL_SECONDS = 0.2
"""Interval in which a gateway renews a queued request: a fifth of the shortest time after which a
client gives up, so that the loss of a scheduler uses up little of that time."""
ENTRY_EXPIRY_SECONDS = 0.7
"""Time without a renewal after which an entry expires: two renewals may be lost."""
_CLIENT_TIMEOUT_FRACTION = 0.9
"""Fraction of its client's timeout for which a request stays queued: in the rest it can still
begin together with others that are admitted at the same time, or be refused so that its client
returns."""


@dataclass(frozen=True)
class QueueEntry:
    """A request in the admission queue; times are on the clock of the gateway that queues it."""

    key: int
    """Number of the placement query, the same in all renewals."""
    need: Need
    gateway: str
    """Name of the gateway that sent the query, empty for requests of the queueing gateway
    itself."""
    arrived_at: float
    """When the request arrived at its gateway."""
    renewed_at: float
    excluded: frozenset[str] = frozenset()
    """Ids of upstreams that the request must not be sent to."""
    copied: bool = False
    """Whether a backup copy of its run may be kept."""

    @cached_property
    def client_timeout_at(self) -> float:
        """Return when its client gives up if it has received no part of an answer."""
        timeout = replace(self.need, time_left=math.inf).first_event_timeout
        return self.arrived_at + min(timeout, self.need.waited + self.need.time_left)

    @property
    def queued_until(self) -> float:
        """Return until when the entry stays queued: its client still waits for the outcome then."""
        return self.arrived_at + _CLIENT_TIMEOUT_FRACTION * (
            self.client_timeout_at - self.arrived_at
        )

    def need_at(self, now: float) -> Need:
        """Return the placement need with the time waited and the time left as of `now`."""
        waited = now - self.arrived_at
        left = self.need.time_left - (waited - self.need.waited)
        return replace(self.need, waited=waited, time_left=max(0.0, left))


@dataclass(frozen=True)
class Queued:
    """The answer to a query whose request was queued; it must be renewed after `renew_seconds`."""

    renew_seconds: float = RENEW_INTERVAL_SECONDS
