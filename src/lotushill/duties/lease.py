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

_ACT_FRACTION = 0.5
"""Fraction of the lease, from the last confirmed write on, in which the holder may start calls.

It applies if the platform does not check tokens. The other half is reserved for slow calls.
"""
_LATER_CANDIDATE_LEASES = 0.7
"""Leases that other candidates wait in addition to the first ones.

The first candidates have the counts of gateways that were lost since.
"""
_BACKOFF_LEASES = 2.0
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

    def __init__(self, name: str, incarnation: int, options: LeaseOptions, now: float) -> None:
        """Track the ownership for process `incarnation` of the gateway `name`."""
        self.name = name
        self.incarnation = incarnation
        self._options = options
        self._seen_revision: int | None = None
        self._revision_changed_at = now
        self._backoff_until = now + options.seconds
        self._confirmed_at = float("-inf")
        self.token: int | None = None
        """The fencing token while this process holds the duties, otherwise None."""
        self.last_transition_at = now
        """Time at which this process last acquired or lost the duties."""

    @property
    def is_held(self) -> bool:
        """Return whether this process holds the duties and has not detected their loss."""
        return self.token is not None

    def observe(self, revision: int | None, now: float) -> None:
        """Record the revision at which the object was read, or None if it does not exist."""
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._revision_changed_at = now

    def may_acquire(
        self, record: DutyRecord | None, now: float, is_first_candidate: bool = True
    ) -> bool:
        """Return whether the duties may be taken from the holder in the last object read.

        Gateways that are not among the first candidates wait some time longer than these.
        """
        if self.is_held or now < self._backoff_until:
            return False
        if record is None or not record.holder or record.holder == self.name:
            return True
        extra_wait = 0.0 if is_first_candidate else _LATER_CANDIDATE_LEASES * self._options.seconds
        return now - self._revision_changed_at >= self._options.seconds + extra_wait

    def acquire(self, token: int, sent_at: float) -> None:
        """Acquire the duties through a confirmed write that was sent at `sent_at`."""
        self.token = token
        self._confirmed_at = sent_at
        self.last_transition_at = sent_at

    def renew(self, sent_at: float) -> None:
        """Renew the lease through another confirmed write that was sent at `sent_at`."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def may_act(self, now: float) -> bool:
        """Return whether a call to the platform may be started now.

        If the platform checks tokens, it rejects the calls of a former holder, so an outage of the
        store need not stop the calls of the present one.
        """
        if not self.is_held:
            return False
        is_fresh = now - self._confirmed_at < _ACT_FRACTION * self._options.seconds
        return is_fresh or self._options.fenced

    def is_recently_confirmed(self, now: float) -> bool:
        """Return whether the store has confirmed the ownership within the last lease."""
        return now - self._confirmed_at < self._options.seconds

    def lose(self, now: float) -> None:
        """Give up this token permanently, and do not acquire the duties again for some time."""
        self.token = None
        self.last_transition_at = now
        self._backoff_until = now + _BACKOFF_LEASES * self._options.seconds
