"""Counts the slots of one brittle upstream for all gateways. Pure, with the clock passed in.

Load case: an overloaded upstream frees a slot, and several schedulers give it away within the ten
milliseconds in which none knows of the others. The upstream rejects all but one, and falls over at
a few rejections in a second. So one gateway counts.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from lotushill.links.slot_messages import SlotEnd

_TRY_SECONDS = 0.15
"""Time without a rejection after which a try counts as accepted, also if its gateway is busy."""
_SEND_SECONDS = 0.05
"""Time in which a rejection is usually reported: a connection and two round trips."""
_REJECTION_WINDOW_SECONDS = 1.0
"""Time in which an upstream counts its rejections."""
_BUDGET_FRACTION = 0.5
"""Part of the rejections that an upstream bears that all owners together may cause."""
_MIN_MAX_REJECTIONS = 0.2
"""Number from which the budget is computed for upstreams that bear fewer rejections: tries are then
rare, but a slot of which nothing is known does not stay idle for ever."""
_CAUTIOUS_SECONDS = 3.0
"""Time after a rejection, or after another owner may have granted permits, in which all permits
count as tries."""
_CUT_SECONDS = 0.3
"""Time for which an attempt that was broken off may still occupy its slot."""
_EXPIRY_MARGIN_SECONDS = 1.0
"""Time after the latest end of a request at which its permit expires. The permit of a gateway that
is not lost is given back before."""
_ENDED_RETENTION_SECONDS = 10.0
"""Time for which the numbers of ended permits are kept: datagrams that repeat them may be late."""


@dataclass(frozen=True)
class Room:
    """The room of an upstream, as its owner knows it at some moment."""

    slots: int
    max_rejections: float
    """Rejections per second that the upstream bears."""
    fraction: float
    """Fraction of all known gateways that the owner receives heartbeats of."""
    unreported: int = 0
    """Number of runs in the load model, if that has to be counted as well."""

    @property
    def budget(self) -> float:
        """Return the rejections per second that this owner may cause."""
        bearable = max(self.max_rejections, _MIN_MAX_REJECTIONS)
        return _BUDGET_FRACTION * bearable * self.fraction


@dataclass
class _Lease:
    holder: str
    until: float


@dataclass(frozen=True)
class _Try:
    granted_at: float
    is_doubtful: bool
    """Whether the slot may be occupied by a run that nobody has reported."""


class SlotLedger:
    """The permits for the slots of one upstream.

    `doubt` is the number of slots that may be occupied by runs that no gateway reports. Such slots
    are only tried, so that rejections stay within the budget of this owner.
    """

    def __init__(self, doubt: float, patience: float, now: float) -> None:
        """Create a ledger without permits.

        If its owner may cause less than one rejection a second, doubtful slots are tried after
        `patience`, from 0 to 1, of the time in which it may cause one. Owners that do not hear each
        other draw it, so that they do not all try at once.
        """
        self.created_at = now
        self._doubt = doubt
        self._patience = patience
        self._cautious_until = float("-inf")
        self._leases: dict[int, _Lease] = {}
        self._tries: dict[int, _Try] = {}
        self._granted_at: dict[int, float] = {}
        """Times of the latest permits, by number."""
        self._ended: dict[int, float] = {}
        """Times at which permits were given back, by number."""
        self._rejected_at: deque[float] = deque()

    @property
    def held(self) -> int:
        """Number of permits in use, some of which may have expired since the last request."""
        return len(self._leases)

    @property
    def doubt(self) -> int:
        """Number of slots that may be occupied by runs that are not reported."""
        return math.ceil(self._doubt)

    def request(self, number: int, holder: str, until: float, room: Room, now: float) -> bool:
        """Return whether a gateway may use a slot until some time; count the permit if so.

        A repeated request gets the same permit.
        """
        self._expire(now)
        if number in self._ended:
            return False
        if number in self._leases:
            return True
        self._doubt = min(self._doubt, float(room.slots))
        if len(self._leases) >= room.slots:
            return False
        is_doubtful = max(len(self._leases) + self.doubt, room.unreported) >= room.slots
        if is_doubtful and now < self._tries_from(room):
            return False
        is_try = is_doubtful or self._is_cautious(now)
        if not self._may_send(room, now) or (is_try and not self._may_try(room, now)):
            return False
        self._leases[number] = _Lease(holder, until)
        self._granted_at[number] = now
        if is_try:
            self._tries[number] = _Try(now, is_doubtful)
        return True

    def adopt(self, number: int, holder: str, until: float) -> None:
        """Count an attempt that its gateway reports, whoever granted it."""
        if number in self._ended or number in self._leases:
            return
        self._leases[number] = _Lease(holder, until)
        self._doubt = max(0.0, self._doubt - 1.0)

    def end(self, number: int, how: SlotEnd, now: float) -> None:
        """Give a permit back, whether it is known or not; repetitions have no effect."""
        if number in self._ended:
            return
        self._ended[number] = now
        lease, tried = self._leases.pop(number, None), self._tries.pop(number, None)
        self._granted_at.pop(number, None)
        is_doubtful = tried is not None and tried.is_doubtful
        if how is SlotEnd.REJECTED:
            self._rejected_at.append(now)
            self._doubt += not is_doubtful
        elif how is SlotEnd.SERVED and is_doubtful:
            self._doubt = max(0.0, self._doubt - 1.0)
        elif how is SlotEnd.CUT and lease is not None:
            until = now + _CUT_SECONDS - _EXPIRY_MARGIN_SECONDS
            self._leases[number] = _Lease(lease.holder, min(lease.until, until))

    def drop_holder(self, holder: str) -> None:
        """Drop the permits of a gateway that is gone; its runs may still occupy the slots."""
        for number in [item for item, lease in self._leases.items() if lease.holder == holder]:
            del self._leases[number]
            self._tries.pop(number, None)
            self._doubt += 1.0

    def distrust(self, slots: int, now: float) -> None:
        """Count all slots as doubtful that are not held, as another owner may have granted them."""
        self._doubt = float(slots)
        self._cautious_until = now + _CAUTIOUS_SECONDS

    def _tries_from(self, room: Room) -> float:
        """Return the time from which doubtful slots are tried."""
        return self.created_at + (self._patience / room.budget if room.budget < 1.0 else 0.0)

    def _is_cautious(self, now: float) -> bool:
        is_rejected = self._rejected_at and now - self._rejected_at[-1] < _CAUTIOUS_SECONDS
        return bool(is_rejected) or now < self._cautious_until

    def _may_send(self, room: Room, now: float) -> bool:
        """Return whether the upstream would bear it if it rejected all that is on its way there.

        This holds however wrong the count of its slots is.
        """
        rejected = sum(now - at < _REJECTION_WINDOW_SECONDS for at in self._rejected_at)
        bearable = max(1.0, room.max_rejections * room.fraction)
        return len(self._granted_at) + rejected + 1 <= bearable

    def _may_try(self, room: Room, now: float) -> bool:
        """Return whether one more rejection would stay within the budget of this owner."""
        budget = room.budget
        window = max(_REJECTION_WINDOW_SECONDS, 1.0 / budget)
        rejected = sum(now - at < window for at in self._rejected_at)
        return len(self._tries) + rejected + 1 <= max(1.0, budget)

    def _expire(self, now: float) -> None:
        latest = now - _EXPIRY_MARGIN_SECONDS
        for number in [item for item, lease in self._leases.items() if lease.until <= latest]:
            del self._leases[number]
        for number, at in list(self._granted_at.items()):
            if now - at < _SEND_SECONDS:
                break
            del self._granted_at[number]
        for number, tried in list(self._tries.items()):
            if number not in self._leases:
                del self._tries[number]
            elif now - tried.granted_at >= _TRY_SECONDS:
                del self._tries[number]
                self._doubt = max(0.0, self._doubt - tried.is_doubtful)
        for number, at in list(self._ended.items()):
            if now - at < _ENDED_RETENTION_SECONDS:
                break
            del self._ended[number]
        while self._rejected_at and now - self._rejected_at[0] > _ENDED_RETENTION_SECONDS:
            self._rejected_at.popleft()
