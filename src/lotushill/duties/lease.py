"""Who holds the duties, as one gateway sees it. A pure state machine with the clock passed in.

Ownership is an object of the platform's store that is changed only at its revision. The holder
writes it again well within the lease; another one takes it over once it has seen no change for a
whole lease, or at once where the holder handed over. The revision of the write that took it is the
fencing token: it rises with every change of holder and with every new process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.duties.duty_record import DutyRecord

_ACT_SHARE = 0.5
"""Of the lease after the last confirmed write, in which the holder starts acts where the platform
does not check tokens. The other half is for calls that take their time."""
_LATER_LEASES = 0.7
"""Left to the first candidates, who know what gateways counted that are lost since."""
_REST_LEASES = 2.0
"""One that lost the duties, or gave them up, stays out for so many leases: with less, two gateways
could act in turns within one lease."""


@dataclass(frozen=True)
class LeaseOptions:
    """Settings of the lease."""

    seconds: float
    """How long others wait for a holder that is not heard."""
    fenced: bool
    """Whether the platform refuses calls with an older token."""


class Lease:
    """What one process of one gateway knows of the ownership."""

    def __init__(self, name: str, life: int, options: LeaseOptions, now: float) -> None:
        """Follow the ownership as process `life` of the gateway `name`."""
        self.name = name
        self.life = life
        self._options = options
        self._seen_revision: int | None = None
        self._seen_at = now
        self._rests_until = now + options.seconds
        self._confirmed_at = float("-inf")
        self.token: int | None = None
        """The fencing token while this process holds the duties."""
        self.since = now
        """When it took or lost them last."""

    @property
    def held(self) -> bool:
        """Return whether this process holds the duties, as far as it knows."""
        return self.token is not None

    def observe(self, revision: int | None, now: float) -> None:
        """Note the revision at which the object was seen, None where there is none."""
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now

    def may_take(self, record: DutyRecord | None, now: float, first: bool = True) -> bool:
        """Return whether the duties may be taken from whom the last seen object names.

        Those that are not among the first candidates leave these some time to do it.
        """
        if self.held or now < self._rests_until:
            return False
        if record is None or not record.holder or record.holder == self.name:
            return True
        patience = 0.0 if first else _LATER_LEASES * self._options.seconds
        return now - self._seen_at >= self._options.seconds + patience

    def take(self, token: int, sent_at: float) -> None:
        """Hold the duties from a write on that was sent at some moment and is confirmed."""
        self.token = token
        self._confirmed_at = sent_at
        self.since = sent_at

    def renew(self, sent_at: float) -> None:
        """Note another confirmed write, sent at some moment."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def may_act(self, now: float) -> bool:
        """Return whether a call to the platform may be started now.

        Where tokens are checked the platform refuses the calls of a former holder, so that an
        outage of the store need not stop the acts of the one in office.
        """
        if not self.held:
            return False
        fresh = now - self._confirmed_at < _ACT_SHARE * self._options.seconds
        return fresh or self._options.fenced

    def confirmed_lately(self, now: float) -> bool:
        """Return whether the store has confirmed the ownership within the last lease."""
        return now - self._confirmed_at < self._options.seconds

    def lose(self, now: float) -> None:
        """Stop for good with this token, and stay out for a while."""
        self.token = None
        self.since = now
        self._rests_until = now + _REST_LEASES * self._options.seconds
