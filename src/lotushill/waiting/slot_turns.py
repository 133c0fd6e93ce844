"""Assigns freed engine slots to schedulers. Pure.

Handles full engines with requests queued at up to eight schedulers, where all schedulers see each
slot become free at the same moment. If each sent the head of its queue, an engine would receive
eight requests for one slot; if a slot belonged to one scheduler only, it would stay empty while
that scheduler has no request for it.

Each slot of an engine is offered to the schedulers with queued requests in an order that all of
them compute alike, the one with the most urgent requests first. A slot that stays free passes on to
the next scheduler after the time that a load update takes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache

from lotushill.rendezvous import ranked

TURN_SECONDS = 0.04
"""Time until other schedulers have been notified that a slot was taken: one batch interval, two
network transits and some margin."""
QUEUE_UPDATE_INTERVAL_SECONDS = 0.05
"""Interval between two queue updates of one scheduler."""
_MAX_UPDATE_AGE_SECONDS = 0.2
"""Age from which a queue update no longer counts: three updates may be lost."""
_MAX_CACHED_RANKINGS = 4096


@dataclass
class _QueueUpdate:
    """Last update of one scheduler on its queue of a service."""

    tiers: dict[int, int]
    received_at: float


class RemoteQueues:
    """Queues of the other schedulers, by their updates."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._updates: dict[str, dict[str, _QueueUpdate]] = {}

    def set_counts(self, sender: str, service: str, tiers: dict[int, int], now: float) -> None:
        """Store how many requests of each tier are queued at another scheduler."""
        self._updates.setdefault(service, {})[sender] = _QueueUpdate(tiers, now)

    def drop(self, sender: str) -> None:
        """Drop the updates of a gateway that has left."""
        for updates in self._updates.values():
            updates.pop(sender, None)

    def has_waiting(self, service: str, now: float) -> bool:
        """Return whether other schedulers have queued requests of a service."""
        return any(update.tiers for update in self._recent_updates(service, now).values())

    def rank_for_slot(self, service: str, tier: int, upstream: str, now: float) -> tuple[int, int]:
        """Return this scheduler's rank for a slot of an upstream, and the number of schedulers.

        Schedulers with more urgent requests rank before; those with only less urgent requests are
        left out.
        """
        more_urgent: list[str] = []
        same_tier = [self._own]
        for sender, update in self._recent_updates(service, now).items():
            most_urgent = min(update.tiers, default=None)
            if most_urgent is None or most_urgent > tier:
                continue
            (more_urgent if most_urgent < tier else same_tier).append(sender)
        rank = _ranking(upstream, tuple(sorted(same_tier))).index(self._own)
        return len(more_urgent) + rank, len(more_urgent) + len(same_tier)

    def _recent_updates(self, service: str, now: float) -> dict[str, _QueueUpdate]:
        updates = self._updates.get(service, {})
        return {
            name: item
            for name, item in updates.items()
            if now - item.received_at <= _MAX_UPDATE_AGE_SECONDS
        }


class SlotTurns:
    """Decides which free slots of each engine this gateway may fill."""

    def __init__(self, remote_queues: RemoteQueues) -> None:
        self._remote_queues = remote_queues
        self._free_since: dict[str, float] = {}
        self._noted_at: dict[str, float] = {}
        self._taken: dict[str, list[float]] = {}

    def note_free_slots(self, upstream: str, free: int, now: float) -> None:
        """Note how many slots of an engine are free.

        If the last note is older than a turn, the engine may have been full or unreachable since,
        and its slots count as just freed.
        """
        noted_at = self._noted_at.get(upstream, -math.inf)
        self._noted_at[upstream] = now
        if free <= 0:
            self._free_since.pop(upstream, None)
        elif now - noted_at > TURN_SECONDS or upstream not in self._free_since:
            self._free_since[upstream] = now

    def note_taken(self, upstream: str, now: float) -> None:
        """Note that this gateway filled a slot."""
        self._taken.setdefault(upstream, []).append(now)

    def may_take(self, service: str, tier: int, upstream: str, free: int, now: float) -> bool:
        """Return whether this gateway may fill one more of the free slots of an engine."""
        if free <= 0:
            return False
        rank, count = self._remote_queues.rank_for_slot(service, tier, upstream, now)
        if count == 1:
            return True
        taken = self._recently_taken(upstream, now)
        free_for = now - self._free_since.get(upstream, now)
        passed_turns = math.floor(free_for / TURN_SECONDS)
        turns = [(rank - slot) % count for slot in range(free + taken)]
        own_turns = turns.count(0)
        # Only one passed-on slot at a time: otherwise all schedulers would fill at once the slots
        # that none of them has wanted so far.
        has_passed_on = any(0 < turn <= passed_turns for turn in turns)
        return own_turns + has_passed_on > taken

    def _recently_taken(self, upstream: str, now: float) -> int:
        times = self._taken.get(upstream)
        if not times:
            return 0
        fresh = [at for at in times if now - at <= TURN_SECONDS]
        if fresh:
            self._taken[upstream] = fresh
        else:
            del self._taken[upstream]
        return len(fresh)

    def retain_only(self, known: set[str]) -> None:
        """Drop the state of engines that are not in `known`."""
        for states in (self._free_since, self._noted_at, self._taken):
            for upstream in [item for item in states if item not in known]:
                del states[upstream]


@lru_cache(maxsize=_MAX_CACHED_RANKINGS)
def _ranking(upstream: str, schedulers: tuple[str, ...]) -> tuple[str, ...]:
    return ranked(upstream, schedulers, len(schedulers))
