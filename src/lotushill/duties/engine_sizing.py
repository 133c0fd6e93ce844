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
from lotushill.duties.reclaimable_engines import EngineCounts
from lotushill.duties.reclaimable_engines import ReclaimableEngines

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.routing.service import ScalingProfile

_MAX_UTILIZATION = 0.6
"""Fraction of an engine's slots up to which streams keep their pace while prompts are read."""
_HEADROOM_FACTOR = 2.0
"""Ratio of the capacity to the recent peak of requests in progress.

Most of a burst arrives before the engines that are ordered for it.
"""
_PEAK_WINDOW_SECONDS = 30.0
"""Seconds over which the peak of the demand is taken.

Bursts recur, and engines that were returned between two of them start too late and have no shared
prompt prefix in their cache.
"""
_TAKEOVER_SECONDS = 10.0
"""Seconds after a change of holder for which the orders of the former holder remain in force."""
_INITIAL_HEADROOM_FACTOR = 1.6
"""Ratio of the ordered to the initial engines while the demand is unknown.

It applies if reclaimable engines are available, so that a burst within the first seconds finds
capacity.
"""
_ORDINARY_FRACTION = 0.15
"""Fraction of the initial engines that are kept as ordinary ones, which cannot be taken away.

A hall that loses all other engines, or is cut off in the meantime, continues to serve its most
urgent requests.
"""
_MIN_ORDINARY = 2
_MIN_RETURNED = 2
_RETURNED_FRACTION = 0.25
"""Fraction of a hall's engine limit that is returned in one step.

It applies to ordinary engines once all ordered engines serve.
"""
_SHORT_FRACTION = 0.7
"""Fraction of the required engines below which ordinary engines are ordered.

It applies if no hall has reclaimable engines available.
"""
_SHORTAGE_SECONDS = 4.0
"""Seconds for which other engines are ordered after an order of reclaimable ones was refused.

This lasts until after the next attempt to order reclaimable engines.
"""
_PROBE_ENGINES = 1
"""Number of reclaimable engines ordered during a shortage, to detect when it ends."""


def engines_lost_to_limits(
    rate_limits: Iterable[float], stream_seconds: float, slots: int
) -> float:
    """Return the capacity in engines that is lost because some engines limit their request rate.

    `rate_limits` are the requests per second that each engine accepts, and `stream_seconds` is how
    long a request runs. An engine without a limit loses nothing.
    """
    usual_requests = _MAX_UTILIZATION * slots
    return sum(max(0.0, 1.0 - rate * stream_seconds / usual_requests) for rate in rate_limits)


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
    def total_ordered(self) -> int:
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
        self._lost_engines = LostEngines()
        self._reclaimable_engines = ReclaimableEngines()
        self._shortage_until: dict[str, float] = {}
        """Halls without available reclaimable engines, with the time until this is assumed."""

    def take_over(self, halls: Mapping[str, HallEngines], now: float) -> None:
        """Count the engines that a former holder ordered as serving until now.

        Those that do not serve may have been lost together with the host that held the duties.
        """
        for hall, engines in halls.items():
            self._lost_engines.record(hall, engines.total_ordered, engines.total_ordered, now)

    def record_demand(self, running: int, now: float) -> None:
        """Record the number of requests in progress in the whole fleet."""
        while self._demand and self._demand[-1][1] <= running:
            self._demand.pop()
        self._demand.append((now, running))
        while now - self._demand[0][0] > _PEAK_WINDOW_SECONDS:
            self._demand.popleft()

    def record_shortage(self, hall: str, now: float) -> None:
        """Record that no reclaimable engines are available in a hall."""
        self._shortage_until[hall] = now + _SHORTAGE_SECONDS

    def lost_engines(self, hall: str) -> int:
        """Return the number of engines of a hall that served recently and were taken away."""
        return self._lost_engines.count(hall)

    @property
    def peak(self) -> int:
        """Return the recent peak of the requests in progress."""
        return self._demand[0][1] if self._demand else 0

    def required_engines(self, slots: int, now: float, reclaimable_allowed: bool = True) -> int:
        """Return the number of engines that the fleet needs.

        `reclaimable_allowed` says whether the service may use reclaimable engines.
        """
        needed = math.ceil(_HEADROOM_FACTOR * self.peak / (_MAX_UTILIZATION * slots))
        unknown_seconds = _TAKEOVER_SECONDS if self._ordered else _PEAK_WINDOW_SECONDS
        if now - self._started < unknown_seconds or not self.peak:
            # The demand is not known yet, so the number of engines set up by the operator applies.
            initial = math.ceil(
                self.base * (_INITIAL_HEADROOM_FACTOR if reclaimable_allowed else 1.0)
            )
            return max(needed, self._ordered or initial)
        return needed

    def orders(
        self,
        scaling: ScalingProfile,
        slots: int,
        halls: Mapping[str, HallEngines],
        now: float,
        lost_to_limits: float = 0.0,
    ) -> dict[str, StandingOrders]:
        """Return the engines to order in each hall, plus those that compensate for rate limits."""
        required = self.required_engines(
            slots, now, scaling.reclaimable_price is not None
        ) + math.ceil(lost_to_limits)
        short_halls = {hall for hall in halls if self._shortage_until.get(hall, now) > now}
        per_hall = math.ceil(required / max(1, len(halls)))
        if scaling.reclaimable_price is None:
            engines = min(scaling.max_engines, max(scaling.min_engines, per_hall))
            return {hall: StandingOrders(engines, 0) for hall in halls}
        base_per_hall = self.base / max(1, len(halls))
        ordinary_per_hall = max(
            scaling.min_engines, _MIN_ORDINARY, round(_ORDINARY_FRACTION * base_per_hall)
        )
        if len(short_halls) == len(halls) and self._is_short(required, halls):
            ordinary_per_hall = per_hall
        per_supplied_hall = math.ceil(required / max(1, len(halls) - len(short_halls)))
        for hall, hall_engines in halls.items():
            expected = None if hall in short_halls else hall_engines.total_ordered
            self._lost_engines.record(hall, hall_engines.serving, expected, now)
            counts = EngineCounts(hall_engines.ordinary, hall_engines.serving)
            self._reclaimable_engines.record(
                hall, counts, scaling.boot_seconds, hall in short_halls, now
            )
        cover = (len(halls) - len(short_halls)) * (
            min(scaling.max_engines, per_supplied_hall) - min(scaling.max_engines, per_hall)
        )
        replacements = self._replacements(scaling, ordinary_per_hall, short_halls, cover)
        orders_by_hall = {}
        for hall, hall_engines in halls.items():
            ordinary = min(scaling.max_engines, ordinary_per_hall + replacements.get(hall, 0))
            if hall in short_halls:
                orders_by_hall[hall] = self._shortage_orders(
                    hall, hall_engines, ordinary, scaling.max_engines
                )
                continue
            total = min(scaling.max_engines, max(ordinary, per_supplied_hall))
            kept = self._kept_ordinary(hall_engines, ordinary, total, scaling.max_engines)
            reclaimable = min(total - ordinary, scaling.max_engines - kept)
            orders_by_hall[hall] = StandingOrders(kept, reclaimable)
        return orders_by_hall

    def _shortage_orders(
        self, hall: str, engines: HallEngines, ordinary: int, max_engines: int
    ) -> StandingOrders:
        """Return the orders for a hall in which no reclaimable engines are available.

        Reclaimable engines that serve are kept: an order of fewer would return them at once, and
        ordinary ones serve only after a start. Engines that replace reclaimable ones are returned
        once these are available again.
        """
        reclaimable = min(max_engines, max(_PROBE_ENGINES, self._reclaimable_engines.count(hall)))
        if engines.ordered is not None:
            ordinary = max(ordinary, engines.ordinary)
        return StandingOrders(min(ordinary, max_engines - reclaimable), reclaimable)

    def _replacements(
        self,
        scaling: ScalingProfile,
        ordinary_per_hall: int,
        short_halls: Collection[str],
        cover: int,
    ) -> dict[str, int]:
        """Return the ordinary engines to order by hall, in place of those that were taken away.

        Only halls without available reclaimable engines are included, and the `cover` that other
        halls provide is subtracted. The cheapest halls come first.
        """
        missing = sum(self._lost_engines.count(hall) for hall in short_halls) - cover
        room = max(0, scaling.max_engines - ordinary_per_hall - _PROBE_ENGINES)
        replacements = {}
        for hall in sorted(short_halls, key=lambda item: (scaling.price(item), item)):
            if missing <= 0:
                break
            replacements[hall] = min(room, missing, self._lost_engines.count(hall))
            missing -= replacements[hall]
        return replacements

    def _is_short(self, required: int, halls: Mapping[str, HallEngines]) -> bool:
        return sum(hall.serving for hall in halls.values()) < _SHORT_FRACTION * required

    def _kept_ordinary(
        self, engines: HallEngines, ordinary: int, total: int, max_engines: int
    ) -> int:
        """Return the ordinary engines to keep; others are returned only once they are replaced."""
        current = engines.ordinary
        if current <= ordinary or not self.peak:
            return ordinary
        if engines.serving < total:
            return current
        returned = max(_MIN_RETURNED, math.ceil(_RETURNED_FRACTION * max_engines))
        return max(ordinary, current - max(returned, engines.serving - total))
