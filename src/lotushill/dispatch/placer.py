"""Decides who runs where: strict tiers, then the progress lane, then preemption."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from lotushill.dispatch.demand import Demand
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.placement import Choice
from lotushill.dispatch.placement import Contention
from lotushill.dispatch.placement import choose
from lotushill.dispatch.placement import has_room
from lotushill.dispatch.progress_lane import ProgressLane
from lotushill.dispatch.waiting_room import Waiting

if TYPE_CHECKING:
    from lotushill.dispatch.estimates import Estimates
    from lotushill.dispatch.ledger import Ledger
    from lotushill.dispatch.options import CellOptions
    from lotushill.dispatch.upstream_state import Running
    from lotushill.dispatch.upstream_state import UpstreamState

_TRUST_SECONDS = 5.0
"""A class without a start for so long is started whatever is estimated of its run."""


class Placer:
    """Places what waits in a cell; hopeless requests are handed back to be refused."""

    def __init__(
        self, cell: str, options: CellOptions, ledger: Ledger, estimates: Estimates
    ) -> None:
        self._cell = cell
        self._options = options
        self._ledger = ledger
        self._estimates = estimates
        self._lane = ProgressLane(options.lane_share)
        self._demand = Demand()
        self._slots = 0
        self._stopped: set[str] = set()
        """Requests that were preempted and have not asked again."""

    def place(self, now: float, with_lane: bool) -> tuple[list[Decision], list[Waiting]]:
        """Return grants and preemptions, and the requests that are past hope."""
        decisions: list[Decision] = []
        hopeless: list[Waiting] = []
        self._slots = self._ledger.slots()
        usable = [item for item in self._ledger.upstreams.values() if item.usable(now)]
        for tier in self._ledger.waiting.tiers():
            decisions.extend(self._place_tier(tier, usable, hopeless, now))
        if with_lane:
            decisions.extend(self._place_lane(usable, hopeless, now))
        # Last of all: only for those who found room nowhere is anybody stopped.
        for tier in self._ledger.waiting.tiers():
            decisions.extend(self._preempt_for(tier, usable, now))
        return decisions, hopeless

    def note_demand(self, now: float) -> None:
        """Take a reading of what the tiers ask for; call it every so often."""
        self._demand.note(self._ledger.asked(), now)

    def start(self, waiting: Waiting, upstream: UpstreamState, in_lane: bool, now: float) -> None:
        """Take a start on the books."""
        self._ledger.start(waiting, upstream, in_lane, now)
        self._lane.note_start(waiting.class_key, now)

    def lower_can_yield(self, tier: int) -> bool:
        """Return whether a lower tier holds room that a request of `tier` could still get."""
        if self._options.contention is Contention.QUEUE:
            return False
        return any(
            self._yields(upstream, tier) and upstream.least_done_below(tier) is not None
            for upstream in self._ledger.upstreams.values()
        )

    def forgive(self, request: str) -> bool:
        """Return whether a request was preempted, and forget it: its next ask is no retry."""
        if request not in self._stopped:
            return False
        self._stopped.discard(request)
        return True

    # Tiers

    def _place_tier(
        self, tier: int, usable: list[UpstreamState], hopeless: list[Waiting], now: float
    ) -> list[Decision]:
        decisions: list[Decision] = []
        open_ones = [item for item in usable if self._room(item, tier) and item.usable(now)]
        while open_ones:
            found = self._next(tier, open_ones, hopeless, now)
            if found is None:
                return decisions
            waiting, choice = found
            decisions.append(self._grant(waiting, choice, False, now))
            chosen = choice.upstream
            if not (self._room(chosen, tier) and chosen.usable(now)):
                open_ones.remove(chosen)
        return decisions

    def _next(
        self, tier: int, open_ones: list[UpstreamState], hopeless: list[Waiting], now: float
    ) -> tuple[Waiting, Choice] | None:
        """Return the next request of a tier that may start, and where."""
        while True:
            found = self._first(tier, open_ones, now)
            if not isinstance(found, Waiting):
                return found
            self._ledger.waiting.remove(found.ask.request)
            hopeless.append(found)

    def _first(
        self, tier: int, open_ones: list[UpstreamState], now: float
    ) -> tuple[Waiting, Choice] | Waiting | None:
        """Return the first that may start with its place, or the first that is past hope."""
        for waiting in self._ledger.waiting.heads(tier):
            if not self._allowed(waiting, now):
                continue
            if self._too_late(waiting, now):
                return waiting
            if not self.can_finish(waiting, now):
                continue
            choice = self._choose(waiting.ask, open_ones, now)
            if choice is not None:
                return waiting, choice
        return None

    def _allowed(self, waiting: Waiting, now: float) -> bool:
        ready = self._ledger.limits.ready_at(waiting.class_key, waiting.ask, now)
        return ready <= now

    def _too_late(self, waiting: Waiting, now: float) -> bool:
        """Return whether most answers of the class would no longer be whole in time."""
        if self._lane.idle_for(waiting.class_key, now) >= _TRUST_SECONDS:
            # An estimate that lets nothing start would never be put right.
            return False
        time_left = waiting.since + waiting.ask.time_left - now
        return time_left < self._estimates.most_seconds(waiting.ask)

    def can_finish(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request would likely be whole in time beside the higher tiers.

        What the higher tiers leave over, as they have been asking of late, is shared by the
        lower ones that run. Work that would be paused until its deadline is better not begun.
        """
        ask = waiting.ask
        if ask.tier == 0:
            return True
        left_over = self._slots - self._demand.level(ask.tier)
        running = self._ledger.running_from(ask.tier)
        if running + 1 <= left_over:
            return True
        run = self._estimates.mean_seconds(ask)
        if not run:
            return True
        time_left = waiting.since + ask.time_left - now
        allowed = left_over * self._options.finish_share * time_left / run
        return running + 1 <= allowed

    # The lane

    def _place_lane(
        self, usable: list[UpstreamState], hopeless: list[Waiting], now: float
    ) -> list[Decision]:
        decisions: list[Decision] = []
        room = self._lane.slots(self._slots) - sum(item.lane() for item in usable)
        if room <= 0:
            return decisions
        for tier, key in self._lane.order(self._ledger.waiting.classes(), now):
            free = [item for item in usable if not item.lane() and item.usable(now)]
            if len(decisions) >= room or not free:
                return decisions
            waiting = self._ledger.waiting.head(tier, key)
            if waiting is None or not self._allowed(waiting, now):
                continue
            if self._too_late(waiting, now):
                self._ledger.waiting.remove(waiting.ask.request)
                hopeless.append(waiting)
                continue
            choice = self._choose(waiting.ask, free, now)
            if choice is not None:
                decisions.append(self._grant(waiting, choice, True, now))
        return decisions

    # Preemption

    def _preempt_for(self, tier: int, usable: list[UpstreamState], now: float) -> list[Decision]:
        if not self.lower_can_yield(tier):
            return []
        decisions: list[Decision] = []
        pending = sum(item.preempted for item in self._ledger.running.values())
        for waiting in islice(self._ledger.waiting.heads(tier), pending, None):
            if not self._allowed(waiting, now) or not self.can_finish(waiting, now):
                continue
            victim = self._victim(tier, usable)
            if victim is None:
                return decisions
            victim.preempted = True
            request = victim.waiting.ask.request
            self._stopped.add(request)
            decisions.append(Preemption(request, victim.attempt, victim.upstream))
        return decisions

    def _victim(self, tier: int, usable: list[UpstreamState]) -> Running | None:
        victims = [item.least_done_below(tier) for item in usable if self._yields(item, tier)]
        found = [item for item in victims if item is not None]
        return max(found, key=lambda item: (item.tier, item.started), default=None)

    def _yields(self, upstream: UpstreamState, tier: int) -> bool:
        """Return whether stopping a lower one there, and nothing less, makes room for `tier`."""
        if self._room(upstream, tier):
            return False
        higher = upstream.count(tier)
        return higher < upstream.cap.slots and higher < upstream.total()

    # Grants

    def _room(self, upstream: UpstreamState, tier: int) -> bool:
        return has_room(upstream, tier, self._options.contention)

    def _choose(self, ask: Ask, open_ones: list[UpstreamState], now: float) -> Choice | None:
        if not ask.excluded:
            fresh = open_ones
        else:
            fresh = [item for item in open_ones if item.name not in ask.excluded]
            if not fresh and self._elsewhere(ask, now):
                return None
        gap = self._estimates.gap
        return choose(ask, fresh or open_ones, gap, self._options.tokens_per_load)

    def _elsewhere(self, ask: Ask, now: float) -> bool:
        """Return whether an upstream on which the request did not fail may come free."""
        upstreams = self._ledger.upstreams.values()
        return any(item.name not in ask.excluded and item.usable(now) for item in upstreams)

    def _grant(self, waiting: Waiting, choice: Choice, in_lane: bool, now: float) -> Grant:
        ask = waiting.ask
        self._ledger.waiting.remove(ask.request)
        self.start(waiting, choice.upstream, in_lane, now)
        left = len(self._ledger.waiting)
        return Grant(
            request=ask.request,
            attempt=ask.attempt,
            cell=self._cell,
            upstream=choice.upstream.name,
            address=choice.upstream.address,
            # The lane has the engine's highest priority: it must finish as well as start.
            tier=0 if in_lane else ask.tier,
            waited=now - waiting.since,
            why=f"{choice.why()} lane={str(in_lane).lower()} waiting={left}",
        )
