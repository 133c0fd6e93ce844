"""What a dispatcher knows of one upstream: its own grants there, exactly, and its health."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.upstreams.health import Health
from lotushill.upstreams.health import Phase
from lotushill.upstreams.prefix_memory import PrefixMemory

if TYPE_CHECKING:
    from lotushill.dispatch.waiting_room import Waiting
    from lotushill.upstreams.adaptive_cap import AdaptiveCap

_PROBE_SECONDS = 1.0
"""A probe that runs for so long without breaking is a good one, however long its answer is."""


@dataclass
class Running:
    """One attempt that was granted and has not ended."""

    waiting: Waiting
    attempt: int
    upstream: str
    started: float
    in_lane: bool
    """Whether it runs in the room set aside for progress."""
    preempted: bool = False
    filled: bool = False
    """Whether it took the last of the cap's slots."""

    @property
    def tier(self) -> int:
        """Return the tier of the request."""
        return self.waiting.ask.tier


@dataclass
class UpstreamState:
    """One upstream of a cell."""

    name: str
    address: str
    hall: str
    cap: AdaptiveCap
    leaving: bool = False
    removed: bool = False
    """Whether it is off the host list, and to be forgotten once nothing runs there."""
    reachable: bool = True
    running: dict[str, Running] = field(default_factory=dict)
    health: Health = field(default_factory=Health)
    prefixes: PrefixMemory = field(default_factory=PrefixMemory)
    _by_tier: dict[int, int] = field(default_factory=dict)
    _lane: int = 0
    _crowded_at: dict[int, float] = field(default_factory=dict)
    """When a tier and those above it last had more than the cap's slots."""

    def usable(self, now: float) -> bool:
        """Return whether the upstream may be given new work at all."""
        self.health.refresh(now)
        if self.health.phase is Phase.PROBING and self._probe_holds(now):
            self.recover()
        if self.leaving or not self.reachable or self.health.phase is Phase.OPEN:
            return False
        return self.health.phase is Phase.SERVING or not self.running

    def recover(self) -> None:
        """Take the upstream back into service after it had been down."""
        self.health.close()
        self.cap.restart()
        self.prefixes.clear()

    def _probe_holds(self, now: float) -> bool:
        """Return whether a probe has run for a while; a dead upstream breaks it at once."""
        return any(now - item.started >= _PROBE_SECONDS for item in self.running.values())

    def start(self, item: Running, now: float) -> None:
        """Take an attempt on the books."""
        self.running[item.waiting.ask.request] = item
        if item.in_lane:
            self._lane += 1
        else:
            self._by_tier[item.tier] = self._by_tier.get(item.tier, 0) + 1
        self._note_crowd(now)

    def finish(self, request: str, now: float) -> None:
        """Take an attempt off the books."""
        self._note_crowd(now)
        item = self.running.pop(request, None)
        if item is None:
            return
        if item.in_lane:
            self._lane -= 1
        else:
            self._by_tier[item.tier] -= 1

    def undisturbed(self, item: Running) -> bool:
        """Return whether an attempt ran all its time without being paused for others.

        Over the cap lower ones are paused; their timing says nothing of the upstream. What runs in
        the lane has the highest priority, like the top tier.
        """
        tier = 0 if item.in_lane else item.tier
        return item.started > self._crowded_at.get(tier, float("-inf"))

    def _note_crowd(self, now: float) -> None:
        """Note for which tiers the cap's slots do not suffice; higher ones do not notice."""
        if self.total() <= self.cap.slots:
            return
        for tier in self._by_tier:
            if self.count(tier) > self.cap.slots:
                self._crowded_at[tier] = now

    def count(self, tier: int) -> int:
        """Return how many of a tier and higher ones run outside the lane."""
        found = 0
        for rank, number in self._by_tier.items():
            if rank <= tier:
                found += number
        return found

    def total(self) -> int:
        """Return how many run outside the lane."""
        return len(self.running) - self._lane

    def lane(self) -> int:
        """Return how many run in the lane."""
        return self._lane

    def least_done_below(self, tier: int) -> Running | None:
        """Return the attempt to stop for a request of `tier`: lowest tier, least time spent."""
        below = [
            item
            for item in self.running.values()
            if item.tier > tier
            and item.waiting.ask.resumable
            and not item.in_lane
            and not item.preempted
        ]
        return max(below, key=lambda item: (item.tier, item.started), default=None)
