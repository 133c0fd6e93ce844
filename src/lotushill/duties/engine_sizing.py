"""Computes how many engines of one service each hall needs; the time is an argument.

The target load: requests arrive in bursts of two to three times their usual rate that last about as
long as two starts of an engine, and all reclaimable engines of a hall may be taken away at once.
Engines that are ordered when a burst is detected serve only when half of it is over, so the
capacity must exist before.
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
"""Fraction of an engine's slots up to which streams keep their pace while prompts are read."""
_HEADROOM = 2.0
"""Ratio of the capacity to the recent peak of requests in progress.

Most of a burst arrives before the engines that are ordered for it.
"""
_PEAK_SECONDS = 30.0
"""Seconds over which the peak of the demand is taken.

Bursts recur, and engines that were returned between two of them start too late and have no shared
prompt prefix in their cache.
"""
_TAKEN_OVER_SECONDS = 10.0
"""Seconds after a change of holder for which the orders of the former holder remain in force."""
_UNKNOWN_HEADROOM = 1.6
"""Ratio of the ordered to the initial engines while the demand is unknown.

It applies if reclaimable engines are available, so that a burst within the first seconds finds
capacity.
"""
_ORDINARY_SHARE = 0.15
"""Fraction of the initial engines that are kept as ordinary ones, which cannot be taken away.

A hall that loses all other engines, or is cut off in the meantime, continues to serve its most
urgent requests.
"""
_LEAST_ORDINARY = 2
_LEAST_GIVEN_BACK = 2
_GIVEN_BACK_SHARE = 0.25
"""Fraction of a hall's engine limit that is returned in one step.

It applies to ordinary engines once all ordered engines serve.
"""
_SHORT_SHARE = 0.7
"""Fraction of the required engines below which ordinary engines are ordered.

It applies if no hall has reclaimable engines available.
"""
_DRY_SECONDS = 4.0
"""Seconds for which other engines are ordered after an order of reclaimable ones was refused.

This lasts until after the next attempt to order reclaimable engines.
"""
_PROBE_ENGINES = 1
"""Number of reclaimable engines ordered during a shortage, to detect when it ends."""


def engines_lost(limits: Iterable[float], stream_seconds: float, slots: int) -> float:
    """Return the capacity in engines that is lost because some engines limit their request rate.

    `limits` are the requests per second that each engine accepts, and `stream_seconds` is how long
    a request runs. An engine without a limit loses nothing.
    """
    usual = _FULL_SHARE * slots
    return sum(max(0.0, 1.0 - rate * stream_seconds / usual) for rate in limits)


@dataclass(frozen=True)
class HallEngines:
    """The present engines of a hall."""

    serving: int
    """Number of engines of both kinds that are not leaving."""
    ordered: StandingOrders | None
    """The last order, or None if there is none, in which case all engines are ordinary."""

    @property
    def ordinary(self) -> int:
        """Return the number of ordinary engines that are ordered."""
        return self.ordered.ordinary if self.ordered else self.serving

    @property
    def standing(self) -> int:
        """Return the number of engines of both kinds that are ordered."""
        return self.ordinary + (self.ordered.reclaimable if self.ordered else 0)


class EngineSizing:
    """Tracks the demand for one service and computes the engines to order."""

    def __init__(self, base: int, started: float, ordered: int = 0) -> None:
        """Start at a given time.

        `base` is the number of engines that existed before anything was ordered, and `ordered` the
        number that a former holder of the duties ordered last, or 0 if there was none.
        """
        self.base = base
        self._ordered = ordered
        self._started = started
        self._demand: deque[tuple[float, int]] = deque()
        self._lost = LostEngines()
        self._standing = StandingEngines()
        self._dry: dict[str, float] = {}
        """Halls without available reclaimable engines, with the time until this is assumed."""

    def take_over(self, halls: Mapping[str, HallEngines], now: float) -> None:
        """Count the engines that a former holder ordered as serving until now.

        Those that do not serve may have been lost together with the host that held the duties.
        """
        for hall, engines in halls.items():
            self._lost.note(hall, engines.standing, engines.standing, now)

    def note_demand(self, running: int, now: float) -> None:
        """Record the number of requests in progress in the whole fleet."""
        while self._demand and self._demand[-1][1] <= running:
            self._demand.pop()
        self._demand.append((now, running))
        while now - self._demand[0][0] > _PEAK_SECONDS:
            self._demand.popleft()

    def note_dry(self, hall: str, now: float) -> None:
        """Record that no reclaimable engines are available in a hall."""
        self._dry[hall] = now + _DRY_SECONDS

    def lost(self, hall: str) -> int:
        """Return the number of engines of a hall that served recently and were taken away."""
        return self._lost.count(hall)

    @property
    def peak(self) -> int:
        """Return the recent peak of the requests in progress."""
        return self._demand[0][1] if self._demand else 0

    def wanted(self, slots: int, now: float, cheap: bool = True) -> int:
        """Return the number of engines that the fleet needs.

        `cheap` says whether the service may use reclaimable engines.
        """
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
        """Return the engines to order in each hall, plus those that compensate for rate limits."""
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
        """Return the orders for a hall in which no reclaimable engines are available.

        Reclaimable engines that serve are kept: an order of fewer would return them at once, and
        ordinary ones serve only after a start. Engines that replace reclaimable ones are returned
        once these are available again.
        """
        reclaimable = min(most, max(_PROBE_ENGINES, self._standing.reclaimable(hall)))
        if engines.ordered is not None:
            ordinary = max(ordinary, engines.ordinary)
        return StandingOrders(min(ordinary, most - reclaimable), reclaimable)

    def _replaced(
        self, scaling: ScalingProfile, share: int, dry: Collection[str], cover: int
    ) -> dict[str, int]:
        """Return the ordinary engines to order by hall, in place of those that were taken away.

        Only halls without available reclaimable engines are included, and the `cover` that other
        halls provide is subtracted. The cheapest halls come first.
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
        """Return the ordinary engines to keep; others are returned only once they are replaced."""
        held = engines.ordinary
        if held <= ordinary or not self.peak:
            return ordinary
        if engines.serving < total:
            return held
        given_back = max(_LEAST_GIVEN_BACK, math.ceil(_GIVEN_BACK_SHARE * most))
        return max(ordinary, held - max(given_back, engines.serving - total))
