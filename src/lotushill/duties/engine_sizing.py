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
from lotushill.duties.lost_engines import LostEngines
from lotushill.duties.standing_engines import Standing
from lotushill.duties.standing_engines import StandingEngines

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.routing.service import ScalingProfile

_FULL_SHARE = 0.6
"""Of an engine's slots, up to which streams keep their pace beside the reading of prompts."""
_HEADROOM = 2.0
"""Times the requests in progress of late that there is room for: most of a burst comes before the
engines that are ordered for it."""
_PEAK_SECONDS = 30.0
"""The demand of so long counts: bursts come again, and engines that were given back between them
start too late and have read no shared part of a prompt."""
_TAKEN_OVER_SECONDS = 10.0
"""After a change of holder, what the former one ordered stands for so long."""
_UNKNOWN_HEADROOM = 1.6
"""Times the engines that stand at first, while nothing is known of the demand and where engines
that may be taken away are to be had: a burst within the first seconds finds room."""
_ORDINARY_SHARE = 0.15
"""Of the engines that stand at first, those that are kept and may not be taken away: a hall that
loses all others, or is cut off meanwhile, goes on serving its most urgent requests."""
_LEAST_ORDINARY = 2
_LEAST_GIVEN_BACK = 2
_GIVEN_BACK_SHARE = 0.25
"""Of the engines that a hall may have, the ordinary ones that go back at once where all stand."""
_SHORT_SHARE = 0.7
"""Of the engines that are needed; with fewer, and no reclaimable ones anywhere, ordinary ones are
ordered."""
_DRY_SECONDS = 4.0
"""After a refused order of reclaimable engines others are ordered in their place for so long:
until after it was asked for them once more."""
_PROBE_ENGINES = 1
"""Reclaimable engines that are asked for where there were none, to hear when there are again."""


def engines_lost(limits: Iterable[float], stream_seconds: float, slots: int) -> float:
    """Return how many engines' work is not done where some take so many requests a second alone.

    `stream_seconds` is how long a request runs; an engine without a limit has all that it can do.
    """
    usual = _FULL_SHARE * slots
    return sum(max(0.0, 1.0 - rate * stream_seconds / usual) for rate in limits)


@dataclass(frozen=True)
class HallEngines:
    """Engines that a hall has now."""

    serving: int
    """Those that are not leaving, of both kinds."""
    ordered: StandingOrders | None
    """What was ordered last, None where nothing was: all are ordinary then."""

    @property
    def ordinary(self) -> int:
        """Return how many ordinary engines stand ordered."""
        return self.ordered.ordinary if self.ordered else self.serving

    @property
    def standing(self) -> int:
        """Return how many engines of both kinds stand ordered."""
        return self.ordinary + (self.ordered.reclaimable if self.ordered else 0)


class EngineSizing:
    """Follows the demand for one service and says what to order."""

    def __init__(self, base: int, started: float, ordered: int = 0) -> None:
        """Begin at some moment.

        `base` is how many engines stood before anything was ordered, and `ordered` how many a
        former holder of the duties ordered last, 0 for none.
        """
        self.base = base
        self._ordered = ordered
        self._started = started
        self._demand: deque[tuple[float, int]] = deque()
        self._lost = LostEngines()
        self._standing = StandingEngines()
        self._dry: dict[str, float] = {}
        """Halls where no reclaimable engine was to be had, until when that is believed."""

    def take_over(self, halls: Mapping[str, HallEngines], now: float) -> None:
        """Take what a former holder ordered for what served until now.

        It may have been lost with the host that held the duties.
        """
        for hall, engines in halls.items():
            self._lost.note(hall, engines.standing, engines.standing, now)

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

    def lost(self, hall: str) -> int:
        """Return how many engines of a hall served of late and were taken away."""
        return self._lost.count(hall)

    @property
    def peak(self) -> int:
        """Return the most requests that were in progress of late."""
        return self._demand[0][1] if self._demand else 0

    def wanted(self, slots: int, now: float, cheap: bool = True) -> int:
        """Return how many engines the fleet needs; `cheap` says that some may be taken away."""
        needed = math.ceil(_HEADROOM * self.peak / (_FULL_SHARE * slots))
        unknown = _TAKEN_OVER_SECONDS if self._ordered else _PEAK_SECONDS
        if now - self._started < unknown or not self.peak:
            # Nothing is known yet of what is needed, but what whoever set it up chose.
            usual = math.ceil(self.base * (_UNKNOWN_HEADROOM if cheap else 1.0))
            return max(needed, self._ordered or usual)
        return needed

    def orders(
        self,
        scaling: ScalingProfile,
        slots: int,
        halls: Mapping[str, HallEngines],
        now: float,
        limited: float = 0.0,
    ) -> dict[str, StandingOrders]:
        """Return the engines to have in each hall, with so many more as limits take away."""
        wanted = self.wanted(slots, now, scaling.reclaimable_price is not None) + math.ceil(limited)
        dry = {hall for hall in halls if self._dry.get(hall, now) > now}
        usual = math.ceil(wanted / max(1, len(halls)))
        if scaling.reclaimable_price is None:
            engines = min(scaling.max_engines, max(scaling.min_engines, usual))
            return {hall: StandingOrders(engines, 0) for hall in halls}
        base = self.base / max(1, len(halls))
        share = max(scaling.min_engines, _LEAST_ORDINARY, round(_ORDINARY_SHARE * base))
        if len(dry) == len(halls) and self._is_short(wanted, halls):
            share = usual
        each = math.ceil(wanted / max(1, len(halls) - len(dry)))
        for hall, now_there in halls.items():
            expected = None if hall in dry else now_there.standing
            self._lost.note(hall, now_there.serving, expected, now)
            standing = Standing(now_there.ordinary, now_there.serving)
            self._standing.note(hall, standing, scaling.boot_seconds, hall in dry, now)
        cover = (len(halls) - len(dry)) * (
            min(scaling.max_engines, each) - min(scaling.max_engines, usual)
        )
        replaced = self._replaced(scaling, share, dry, cover)
        found = {}
        for hall, now_there in halls.items():
            ordinary = min(scaling.max_engines, share + replaced.get(hall, 0))
            if hall in dry:
                found[hall] = self._in_shortage(hall, now_there, ordinary, scaling.max_engines)
                continue
            total = min(scaling.max_engines, max(ordinary, each))
            kept = self._kept(now_there, ordinary, total, scaling.max_engines)
            reclaimable = min(total - ordinary, scaling.max_engines - kept)
            found[hall] = StandingOrders(kept, reclaimable)
        return found

    def _in_shortage(
        self, hall: str, engines: HallEngines, ordinary: int, most: int
    ) -> StandingOrders:
        """Return the orders for a hall where no reclaimable engines are to be had.

        Those that serve are kept: an order of fewer would give them back at once, and ordinary ones
        come only after a start. What stands in the place of others goes back once they are to be
        had again.
        """
        reclaimable = min(most, max(_PROBE_ENGINES, self._standing.reclaimable(hall)))
        if engines.ordered is not None:
            ordinary = max(ordinary, engines.ordinary)
        return StandingOrders(min(ordinary, most - reclaimable), reclaimable)

    def _replaced(
        self, scaling: ScalingProfile, share: int, dry: Collection[str], cover: int
    ) -> dict[str, int]:
        """Return the ordinary engines to order by hall, in place of those that were taken away.

        Only for halls where no others are to be had, less the `cover` that other halls give. The
        cheapest halls come first.
        """
        missing = sum(self._lost.count(hall) for hall in dry) - cover
        room = max(0, scaling.max_engines - share - _PROBE_ENGINES)
        found = {}
        for hall in sorted(dry, key=lambda item: (scaling.price(item), item)):
            if missing <= 0:
                break
            found[hall] = min(room, missing, self._lost.count(hall))
            missing -= found[hall]
        return found

    def _is_short(self, wanted: int, halls: Mapping[str, HallEngines]) -> bool:
        return sum(hall.serving for hall in halls.values()) < _SHORT_SHARE * wanted

    def _kept(self, engines: HallEngines, ordinary: int, total: int, most: int) -> int:
        """Return the ordinary engines to keep: more go back only as others stand in their place."""
        held = engines.ordinary
        if held <= ordinary or not self.peak:
            return ordinary
        if engines.serving < total:
            return held
        given_back = max(_LEAST_GIVEN_BACK, math.ceil(_GIVEN_BACK_SHARE * most))
        return max(ordinary, held - max(given_back, engines.serving - total))
