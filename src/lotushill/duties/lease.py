"""State machine of the lease on the duties, as one gateway sees it; the time is an argument.

Ownership is an object of the platform's store that is changed only at its revision. The holder
rewrites it well within the lease. Another gateway takes it over once it has observed no change for
a whole lease, or at once if the holder handed over. The revision of the write that acquired it is
the fencing token, which increases with every change of holder and with every new process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.duties.duty_record import DutyRecord

_ACT_SHARE = 0.5
"""Fraction of the lease, from the last confirmed write on, in which the holder may start calls.

It applies if the platform does not check tokens. The other half is reserved for slow calls.
"""
_LATER_LEASES = 0.7
"""Leases that other candidates wait in addition to the first ones.

The first candidates have the counts of gateways that were lost since.
"""
_REST_LEASES = 2.0
"""Leases for which a gateway that lost or handed over the duties does not acquire them again.

With less, two gateways could act alternately within one lease.
"""


@dataclass(frozen=True)
class LeaseOptions:
    """Settings of the lease."""

    seconds: float
    """Seconds without a change after which other gateways take over from the holder."""
    fenced: bool
    """Whether the platform rejects calls with an outdated token."""


class Lease:
    """The ownership of the duties as known to one process of one gateway."""

    def __init__(self, name: str, life: int, options: LeaseOptions, now: float) -> None:
        """Track the ownership for process `life` of the gateway `name`."""
        self.name = name
        self.life = life
        self._options = options
        self._seen_revision: int | None = None
        self._seen_at = now
        self._rests_until = now + options.seconds
        self._confirmed_at = float("-inf")
        self.token: int | None = None
        """The fencing token while this process holds the duties, otherwise None."""
        self.since = now
        """Time at which this process last acquired or lost the duties."""

    @property
    def held(self) -> bool:
        """Return whether this process holds the duties, as far as it knows."""
        return self.token is not None

    def observe(self, revision: int | None, now: float) -> None:
        """Record the revision at which the object was read, or None if it does not exist."""
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now

    def may_take(self, record: DutyRecord | None, now: float, first: bool = True) -> bool:
        """Return whether the duties may be taken from the holder in the last object read.

        Gateways that are not among the first candidates wait some time longer than these.
        """
        if self.held or now < self._rests_until:
            return False
        if record is None or not record.holder or record.holder == self.name:
            return True
        patience = 0.0 if first else _LATER_LEASES * self._options.seconds
        return now - self._seen_at >= self._options.seconds + patience

    def take(self, token: int, sent_at: float) -> None:
        """Acquire the duties through a confirmed write that was sent at `sent_at`."""
        self.token = token
        self._confirmed_at = sent_at
        self.since = sent_at

    def renew(self, sent_at: float) -> None:
        """Renew the lease through another confirmed write that was sent at `sent_at`."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def may_act(self, now: float) -> bool:
        """Return whether a call to the platform may be started now.

        If the platform checks tokens, it rejects the calls of a former holder, so an outage of the
        store need not stop the calls of the present one.
        """
        if not self.held:
            return False
        fresh = now - self._confirmed_at < _ACT_SHARE * self._options.seconds
        return fresh or self._options.fenced

    def confirmed_lately(self, now: float) -> bool:
        """Return whether the store has confirmed the ownership within the last lease."""
        return now - self._confirmed_at < self._options.seconds

    def lose(self, now: float) -> None:
        """Give up this token permanently, and do not acquire the duties again for some time."""
        self.token = None
        self.since = now
        self._rests_until = now + _REST_LEASES * self._options.seconds
