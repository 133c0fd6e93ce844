"""How many engines of one service every hall is to have. Pure, with the clock passed in.

The load that it answers: requests come in bursts of two to three times their usual rate that last
about as long as two starts of an engine, and all reclaimable engines of a hall may go at once. What
is ordered when a burst is seen comes when half of it is over, so that the room has to stand before.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.duties.duty_record import StandingOrders

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.routing.service import ScalingProfile

_FULL_SHARE = 0.6
"""Of an engine's slots, up to which streams keep their pace beside the reading of prompts."""
_HEADROOM = 2.0
"""Times the requests in progress of late that there is room for: most of a burst comes before the
engines that are ordered for it."""
_PEAK_SECONDS = 20.0
"""The demand of so long counts; less is given back only after it, since engines that come and go
read the shared parts of prompts again."""
_ORDINARY_SHARE = 0.2
"""Of the engines of a hall that are not reclaimable, so that a hall that loses all others, or is
cut off meanwhile, goes on serving its most urgent requests."""
_LEAST_ORDINARY = 2
_SHORT_SHARE = 0.7
"""Of the engines that are needed; with fewer, and no reclaimable ones anywhere, ordinary ones are
ordered."""
_DRY_SECONDS = 3.0
"""After a refused order of reclaimable engines others are ordered in their place for so long."""


@dataclass(frozen=True)
class HallEngines:
    """Engines that a hall has now."""

    serving: int
    """Those that are not leaving, of both kinds."""
    ordered: StandingOrders | None
    """What was ordered last, None where nothing was: all are ordinary then."""


class EngineSizing:
    """Follows the demand for one service and says what to order."""

    def __init__(self, base: int, started: float) -> None:
        """Begin at some moment with the number of engines that stand, or were ordered, then."""
        self._base = base
        self._started = started
        self._demand: deque[tuple[float, int]] = deque()
        self._dry: dict[str, float] = {}
        """Halls where no reclaimable engine was to be had, until when that is believed."""

    def note_demand(self, running: int, now: float) -> None:
        """Note how many requests are in progress in the whole fleet."""
        while self._demand and self._demand[-1][1] <= running:
            self._demand.pop()
        self._demand.append((now, running))
        while now - self._demand[0][0] > _PEAK_SECONDS:
            self._demand.popleft()

    def note_dry(self, hall: str, now: float) -> None:
        """Note that a hall has no reclaimable engines to give."""
        self._dry[hall] = now + _DRY_SECONDS

    @property
    def peak(self) -> int:
        """Return the most requests that were in progress of late."""
        return self._demand[0][1] if self._demand else 0

    def wanted(self, slots: int, now: float) -> int:
        """Return how many engines the fleet needs."""
        needed = math.ceil(_HEADROOM * self.peak / (_FULL_SHARE * slots))
        if now - self._started < _PEAK_SECONDS or not self.peak:
            # Nothing is known yet of what the day needs: as many as whoever set it up chose.
            return max(needed, self._base)
        return needed

    def orders(
        self, scaling: ScalingProfile, slots: int, halls: Mapping[str, HallEngines], now: float
    ) -> dict[str, StandingOrders]:
        """Return the engines to have in each hall."""
        wanted = self.wanted(slots, now)
        dry = {hall for hall in halls if self._dry.get(hall, now) > now}
        usual = math.ceil(wanted / max(1, len(halls)))
        if scaling.reclaimable_price is None:
            engines = min(scaling.most, max(scaling.least, usual))
            return {hall: StandingOrders(engines, 0) for hall in halls}
        share = max(scaling.least, _LEAST_ORDINARY, round(_ORDINARY_SHARE * usual))
        if len(dry) == len(halls) and self._is_short(wanted, halls):
            share = usual
        each = math.ceil(wanted / max(1, len(halls) - len(dry)))
        found = {}
        for hall, now_there in halls.items():
            ordinary = min(scaling.most, share)
            total = min(scaling.most, max(ordinary, usual if hall in dry else each))
            kept = self._kept(now_there, ordinary, total)
            found[hall] = StandingOrders(kept, total - ordinary)
        return found

    def _is_short(self, wanted: int, halls: Mapping[str, HallEngines]) -> bool:
        return sum(hall.serving for hall in halls.values()) < _SHORT_SHARE * wanted

    def _kept(self, engines: HallEngines, ordinary: int, total: int) -> int:
        """Return the ordinary engines to keep: more go back only as others stand in their place."""
        held = engines.ordered.ordinary if engines.ordered else engines.serving
        if held <= ordinary or not self.peak:
            return ordinary
        return max(ordinary, min(held, held - (engines.serving - total)))
