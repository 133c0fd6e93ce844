"""Which engines have room for one more request from here, now or within moments. Pure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lotushill.waiting.slot_turns import SlotTurns

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.fleet import Fleet
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.waiting.slot_turns import RemoteQueues

_SOON_SECONDS = 0.1
"""A slot that comes free within this is filled now, so that it is not empty until all have heard of
it and the next request has come there. An eighth of the shortest target of a long request."""


class OpenEngines:
    """Finds engines with free slots, as the model of all that run tells, that are to be filled."""

    def __init__(self, fleet: Fleet, rivals: RemoteQueues) -> None:
        self._fleet = fleet
        self._rivals = rivals
        self._turns = SlotTurns(rivals)

    def closed(
        self, service: Service, tier: int, upstreams: Sequence[Upstream], now: float
    ) -> frozenset[str]:
        """Return the engines that are to be sent nothing of a tier from here now."""
        if service.engine is None:
            return frozenset()
        contested = self._rivals.has_waiting(service.name, now)
        closed = []
        for item in upstreams:
            free = _free(self._fleet.load(item.id), tier, service.engine.slots)
            self._turns.note_free_slots(item.id, free, now)
            if free > 0 and contested:
                free *= self._turns.may_take(service.name, tier, item.id, free, now)
            if free <= 0:
                closed.append(item.id)
        return frozenset(closed)

    def note_taken(self, upstream_id: str, now: float) -> None:
        """Note that a request was placed from here."""
        self._turns.note_taken(upstream_id, now)

    def forget(self, known: set[str]) -> None:
        """Drop engines that are no longer there."""
        self._turns.forget(known)


def _free(load: UpstreamLoad, tier: int, slots: int) -> int:
    """Return how many slots of an engine are free for a tier, or will be within moments."""
    usual = load.mean_expected_seconds
    soon = math.floor(slots * _SOON_SECONDS / usual) if usual > 0.0 else 0
    return slots + soon - load.count_before(tier)
