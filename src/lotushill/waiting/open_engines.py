"""Finds the engines that this gateway may send one more request now or shortly. Pure."""

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

_LEAD_TIME_SECONDS = 0.1
"""Time within which a slot that will become free already counts as free. Otherwise it would stay
empty until all schedulers have been notified and the next request has reached the engine. An eighth
of the shortest target of a long request."""


class OpenEngines:
    """Finds engines with free slots for this gateway, by the model of all running requests."""

    def __init__(self, fleet: Fleet, remote_queues: RemoteQueues) -> None:
        self._fleet = fleet
        self._remote_queues = remote_queues
        self._turns = SlotTurns(remote_queues)

    def closed_engines(
        self, service: Service, tier: int, upstreams: Sequence[Upstream], now: float
    ) -> frozenset[str]:
        """Return the ids of engines that this gateway must not send requests of a tier now."""
        if service.engine is None:
            return frozenset()
        contested = self._remote_queues.has_waiting(service.name, now)
        ejected = self._fleet.ejections.among([item.id for item in upstreams], now)
        closed = list(ejected)
        for item in upstreams:
            if item.id in ejected:
                continue
            free = _free_slots(self._fleet.load(item.id), tier, service.engine.slots)
            self._turns.note_free_slots(item.id, free, now)
            if free > 0 and contested:
                free *= self._turns.may_take(service.name, tier, item.id, free, now)
            if free <= 0:
                closed.append(item.id)
        return frozenset(closed)

    def note_taken(self, upstream_id: str, now: float) -> None:
        """Note that this gateway placed a request on an engine."""
        self._turns.note_taken(upstream_id, now)

    def retain_only(self, known: set[str]) -> None:
        """Drop the state of engines that are not in `known`."""
        self._turns.retain_only(known)


def _free_slots(load: UpstreamLoad, tier: int, slots: int) -> int:
    """Return how many slots of an engine are free for a tier, now or within the lead time."""
    mean_seconds = load.mean_expected_seconds
    free_soon = math.floor(slots * _LEAD_TIME_SECONDS / mean_seconds) if mean_seconds > 0.0 else 0
    return slots + free_soon - load.count_before(tier)
