"""Ranks the requests for an upstream that accepts only some per second. Pure.

Load case: half of the engines of a service accept one request a second each, and the others have to
serve the rest. A permit is for one request, whatever its size: granted to those with the longest
prompts, it takes the most work off the others. If these are full as well, or all have limits, that
helps no engine, and the most urgent requests come first.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.placement.fleet import Fleet
    from lotushill.routing.upstream import Upstream

FULL_FRACTION = 0.9
"""Fraction of the slots of upstreams without a limit from which they count as full. Above it, long
requests are better refused than ranked before urgent ones."""


_SCAN_INTERVAL_SECONDS = 0.05
"""Interval between two scans of all upstreams of a service: permits are requested often for each of
hundreds with limits, and the load of all the others changes little meanwhile."""


@dataclass(frozen=True)
class _Scan:
    """Whether upstreams without a limit had free slots at the time of the last scan."""

    has_free_slots: bool
    scanned_at: float


def permit_rank(tier: int, is_long: bool, others_have_free_slots: bool) -> int:
    """Return the rank of a request of a tier, 0 for the first.

    `is_long` states whether its route has the longest prompts of the service, and
    `others_have_free_slots` whether upstreams without a limit have any.
    """
    if others_have_free_slots:
        return 0 if is_long else 1
    return tier


class PermitRanks:
    """Computes ranks from the modelled load of all upstreams."""

    def __init__(
        self,
        fleet: Fleet,
        limits: StatedLimits,
        upstreams_of: Callable[[str], Sequence[Upstream]],
    ) -> None:
        self._fleet = fleet
        self._limits = limits
        self._upstreams_of = upstreams_of
        self._scans: dict[str, _Scan] = {}

    def rank(self, service: str, route: str, tier: int, prompt_tokens: int, now: float) -> int:
        """Return the rank of a request of a service."""
        is_long = self._fleet.shedding.is_long_route(service, route, prompt_tokens)
        scan = self._scans.get(service)
        if scan is None or not 0.0 <= now - scan.scanned_at < _SCAN_INTERVAL_SECONDS:
            scan = self._scans[service] = _Scan(self._have_free_slots(service), now)
        return permit_rank(tier, is_long, scan.has_free_slots)

    def _have_free_slots(self, service: str) -> bool:
        unlimited = [
            item for item in self._upstreams_of(service) if self._limits.rate(item.id) == NO_LIMIT
        ]
        running = sum(len(self._fleet.load(item.id).running) for item in unlimited)
        return running < FULL_FRACTION * sum(item.slots for item in unlimited)
