"""Whose turn a freed slot is. Pure.

The load that it answers: engines are full, requests wait at up to eight schedulers, and all of them
see each slot come free at the same moment. If each sent its head of line, an engine would get eight
requests for one slot; if one scheduler had a slot to itself, it would stay empty while that one has
nothing for it.

Each slot of an engine goes to those that wait in an order that all of them share, the most urgent
first; one that stays free passes on to the next of them after the time that news take.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache

from lotushill.rendezvous import ranked

TURN_SECONDS = 0.04
"""Until others have heard that a slot was taken: a batch, two ways, and some leeway."""
QUEUE_REPORT_INTERVAL_SECONDS = 0.05
"""Between two tellings of one scheduler of how many wait."""
_FRESH_SECONDS = 0.2
"""What was told longer ago is no longer true: three tellings may be lost."""
_RANKS_KEPT = 4096


@dataclass
class _Told:
    """What one scheduler told of those that wait for a service there."""

    tiers: dict[int, int]
    at: float


class RemoteQueues:
    """What other schedulers hold in line, as they tell."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._told: dict[str, dict[str, _Told]] = {}

    def set_counts(self, sender: str, service: str, tiers: dict[int, int], now: float) -> None:
        """Take in how many of each tier wait at another scheduler."""
        self._told.setdefault(service, {})[sender] = _Told(tiers, now)

    def drop(self, sender: str) -> None:
        """Forget a gateway that is gone."""
        for told in self._told.values():
            told.pop(sender, None)

    def has_waiting(self, service: str, now: float) -> bool:
        """Return whether requests wait at others."""
        return any(told.tiers for told in self._fresh(service, now).values())

    def rank_for_slot(self, service: str, tier: int, upstream: str, now: float) -> tuple[int, int]:
        """Return the own place for a slot of an upstream, and among how many.

        Whoever holds more urgent ones goes before, whoever has less urgent ones alone has no part.
        """
        before: list[str] = []
        equal = [self._own]
        for sender, told in self._fresh(service, now).items():
            most_urgent = min(told.tiers, default=None)
            if most_urgent is None or most_urgent > tier:
                continue
            (before if most_urgent < tier else equal).append(sender)
        place = _ranks(upstream, tuple(sorted(equal))).index(self._own)
        return len(before) + place, len(before) + len(equal)

    def _fresh(self, service: str, now: float) -> dict[str, _Told]:
        told = self._told.get(service, {})
        return {name: item for name, item in told.items() if now - item.at <= _FRESH_SECONDS}


class SlotTurns:
    """Which free slots of each engine are this gateway's to fill."""

    def __init__(self, rivals: RemoteQueues) -> None:
        self._rivals = rivals
        self._free_since: dict[str, float] = {}
        self._looked_at: dict[str, float] = {}
        self._taken: dict[str, list[float]] = {}

    def note_free_slots(self, upstream: str, free: int, now: float) -> None:
        """Note how many slots are free at an engine.

        One that was not looked at for a while may have been full or away, and counts as just freed.
        """
        looked_at = self._looked_at.get(upstream, -math.inf)
        self._looked_at[upstream] = now
        if free <= 0:
            self._free_since.pop(upstream, None)
        elif now - looked_at > TURN_SECONDS or upstream not in self._free_since:
            self._free_since[upstream] = now

    def note_taken(self, upstream: str, now: float) -> None:
        """Note that a slot was filled from here."""
        self._taken.setdefault(upstream, []).append(now)

    def may_take(self, service: str, tier: int, upstream: str, free: int, now: float) -> bool:
        """Return whether one more of the free slots of an engine is to be filled from here."""
        if free <= 0:
            return False
        place, count = self._rivals.rank_for_slot(service, tier, upstream, now)
        if count == 1:
            return True
        taken = self._recent(upstream, now)
        free_for = now - self._free_since.get(upstream, now)
        passed = math.floor(free_for / TURN_SECONDS)
        turns = [(place - slot) % count for slot in range(free + taken)]
        own = turns.count(0)
        # One more at a time: all would fill what none of them has wanted so far.
        passed_on = any(0 < turn <= passed for turn in turns)
        return own + passed_on > taken

    def _recent(self, upstream: str, now: float) -> int:
        times = self._taken.get(upstream)
        if not times:
            return 0
        fresh = [at for at in times if now - at <= TURN_SECONDS]
        if fresh:
            self._taken[upstream] = fresh
        else:
            del self._taken[upstream]
        return len(fresh)

    def forget(self, known: set[str]) -> None:
        """Drop engines that are no longer there."""
        for held in (self._free_since, self._looked_at, self._taken):
            for upstream in [item for item in held if item not in known]:
                del held[upstream]


@lru_cache(maxsize=_RANKS_KEPT)
def _ranks(upstream: str, schedulers: tuple[str, ...]) -> tuple[str, ...]:
    return ranked(upstream, schedulers, len(schedulers))
