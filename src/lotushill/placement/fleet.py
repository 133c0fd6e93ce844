"""Chooses the upstream of a request by what it would cost, from a model of every upstream.

The model is fed by this gateway's own requests and by what the other gateways tell of theirs.
Costs are shares of one request's credit. Nothing here reads a clock or does I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from lotushill.placement.backup import backup_target
from lotushill.placement.backup import is_worth_copying
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fetch import FetchPlanner
from lotushill.placement.fleet_paces import FleetPaces
from lotushill.placement.kept_parts import chained
from lotushill.placement.learning import learn_first_event
from lotushill.placement.learning import learn_pause
from lotushill.placement.messages import Outcome
from lotushill.placement.pace import Pace
from lotushill.placement.recent_parts import RecentParts
from lotushill.placement.reserve import only_reserved_left
from lotushill.placement.shedding import Shedding
from lotushill.placement.shortlist import shortlist
from lotushill.placement.upstream_load import UpstreamLoad
from lotushill.placement.weigher import EngineWeigher
from lotushill.placement.weigher import Place
from lotushill.placement.weigher import PlainWeigher
from lotushill.placement.weigher import Usual
from lotushill.rendezvous import ranked
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lotushill.placement.engine_pace import LastingPace
    from lotushill.placement.kept_parts import Chain
    from lotushill.placement.messages import Began
    from lotushill.placement.messages import Ended
    from lotushill.placement.messages import Paced
    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need
    from lotushill.routing.service import EngineProfile
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream

_SOUND_RATE = 0.2
"""Nothing is copied from an upstream that fails more often than this."""
_FAR_WEIGHT = 0.3
"""What an outcome of another hall counts beside one of the own hall."""
_NOT_SENT_WEIGHT = 0.5
"""What an upstream that one gateway could not reach counts beside one that failed it: the gateway
may be what is cut off."""
_MOST_RANKED = 10_000
_RANKS_KEPT = 32
NO_UPSTREAM_RETRY = 1.0
"""Seconds after which an upstream may have come."""


@dataclass(frozen=True)
class _Where:
    """Where a request runs."""

    upstream: str
    service: Service


class Fleet:
    """The model of all upstreams."""

    def __init__(
        self,
        hall: str,
        recent_seconds: float = 10.0,
        is_cut_off: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Make a model seen from `hall`.

        Parts used within `recent_seconds` are worth keeping; `is_cut_off` tells whether a hall
        seems out of reach.
        """
        self._hall = hall
        self._is_cut_off = is_cut_off
        self.recent = RecentParts(recent_seconds)
        self.shedding = Shedding()
        self.engine_paces = FleetPaces()
        self._loads: dict[str, UpstreamLoad] = {}
        self._paces: dict[str, Pace] = {}
        self._where: dict[int, _Where] = {}

    # Feeding the model

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        found = self._loads.get(upstream_id)
        if found is None:
            found = self._loads[upstream_id] = UpstreamLoad()
        return found

    def pace(self, service: str) -> Pace:
        """Return the pace of a service."""
        found = self._paces.get(service)
        if found is None:
            found = self._paces[service] = Pace()
        return found

    def presume_pace(self, told: LastingPace, service: str) -> None:
        """Take a pace that another scheduler has found, where nothing is known here."""
        self.engine_paces.presume(told, service, self.load(told.upstream).pace)

    def start(self, placed: Placed, service: Service, now: float) -> None:
        """Count a request in, of this gateway or of another."""
        engine = service.engine
        load = self.load(placed.upstream)
        load.start(placed, engine.memory_tokens if engine else 0, now)
        self.engine_paces.of(service.name).add(placed.upstream, load.pace)
        parts = [PromptPart(*item) for item in zip(placed.part_ids, placed.part_tokens)]
        self.recent.note(parts, now)
        self.shedding.note(placed, service.name, now)
        self._where[placed.request] = _Where(placed.upstream, service)

    def begin(self, began: Began, now: float) -> None:
        """Note the first event of a request, and learn from when it came."""
        where = self._where.get(began.request)
        if where is None:
            return
        load = self._loads[where.upstream]
        load.begin(began.request, now)
        placed = load.running.get(began.request)
        if placed is None or not _is_time(began.seconds):
            return
        pace = self.pace(where.service.name)
        learn_first_event(placed, began.seconds, load, pace, where.service, now)
        self.engine_paces.of(where.service.name).settle(now)

    def note_paced(self, paced: Paced, now: float) -> None:
        """Learn how fast an upstream steps from one of its streams."""
        where = self._where.get(paced.request)
        if where is None or not _is_time(paced.pause):
            return
        quiet = self.pace(where.service.name).pauses.quiet
        learn_pause(paced.pause, self._loads[where.upstream], quiet, now)
        self.engine_paces.of(where.service.name).settle(now)

    def end(self, ended: Ended, now: float, near: bool = True) -> None:
        """Count a request out, and learn from its end; `near` says that the own hall told it.

        What fails for another hall may be its way there, and counts for less here.
        """
        where = self._where.pop(ended.request, None)
        if where is None:
            return
        load = self._loads[where.upstream]
        load.end(ended.request, now)
        if ended.outcome is Outcome.UNKNOWN:
            return
        weight = 1.0 if near else _FAR_WEIGHT
        if ended.outcome is Outcome.NOT_SENT:
            load.failures.note(True, now, _NOT_SENT_WEIGHT * weight)
            return
        load.failures.note(ended.outcome is not Outcome.WHOLE, now, weight)
        ran = ended.outcome in (Outcome.WHOLE, Outcome.CUT) and _is_time(ended.seconds)
        if ran and where.service.engine is not None:
            self.pace(where.service.name).note_end(ended.seconds, ended.outcome, now)

    def knows(self, request: int) -> bool:
        """Return whether a request is counted in."""
        return request in self._where

    def find(self, request: int) -> Placed | None:
        """Return a request that is counted in, None without one."""
        where = self._where.get(request)
        return self._loads[where.upstream].running.get(request) if where else None

    def forget(self, known: set[str], now: float) -> None:
        """Drop what is no longer of use: idle upstreams that no view knows, and old parts."""
        self.recent.forget(now)
        for upstream_id, load in list(self._loads.items()):
            if upstream_id not in known and not load.running:
                del self._loads[upstream_id]
        self.engine_paces.keep(self._loads)

    # Choosing

    def choose(
        self,
        need: Need,
        service: Service,
        upstreams: Iterable[Upstream],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | NoChoice:
        """Return the cheapest upstream that can serve a request, or why there is none."""
        known = {item.id: item for item in upstreams}
        ranks = _ranks(need.service, tuple(known)) if service.engine else {}
        candidates = [item for item in known.values() if item.id not in excluded]
        reachable = [item for item in candidates if not self.load(item.id).away(now)]
        if not candidates:
            return NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY)
        if self._keeps_slots_from(need, service, reachable, now):
            return self.shedding.refuse_for_others(need)
        weighed = shortlist(need, reachable or candidates)
        cut = frozenset(hall for hall in {item.hall for item in weighed} if self._is_cut_off(hall))
        weigher = self._weigher(need, service, reachable, known, cut, now)
        choices = [
            weigher.weigh(item, self.load(item.id), ranks.get(item.id, 0.0)) for item in weighed
        ]
        refused = self.shedding.refuse(need, choices, now)
        if refused is not None:
            return refused
        # What waits for a slot keeps it from more urgent ones that come later: engines let them in
        # first, but do not take a slot away.
        open_ones = [choice for choice in choices if not choice.full]
        best = min(open_ones or choices, key=lambda choice: choice.cost)
        if best.first <= need.patience:
            return best
        return min(choices, key=lambda choice: choice.first)

    def _keeps_slots_from(
        self, need: Need, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> bool:
        """Return whether the slots that are left are kept for more urgent requests.

        Asked before any upstream is weighed: a long request that waits asks again some thirty
        times a second, just when schedulers have the most to do.
        """
        if service.engine is None or not self.shedding.is_long(need):
            return False
        loads = [self.load(item.id) for item in upstreams]
        held = sum(len(load.running) for load in loads)
        urgent = sum(load.more_urgent(need.tier) for load in loads)
        left = only_reserved_left(held, urgent, len(loads) * service.engine.slots)
        return left and not self.shedding.must_serve(need, now)

    def backup(
        self,
        need: Need,
        service: Service,
        choice: Choice,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> Upstream | None:
        """Return where a copy of a run's memory is worth keeping, None if nowhere."""
        engine = service.engine
        if engine is None or not engine.backups:
            return None
        if not is_worth_copying(need, choice.seconds, self.pace(need.service).cuts.rate):
            return None
        return backup_target(choice.upstream, need, engine, upstreams, self._loads, now)

    def _weigher(
        self,
        need: Need,
        service: Service,
        sources: Iterable[Upstream],
        known: Mapping[str, Upstream],
        cut: frozenset[str],
        now: float,
    ) -> PlainWeigher | EngineWeigher:
        place = Place(self._hall, cut)
        pace = self.pace(need.service)
        differing = self.engine_paces.of(need.service).differing
        if service.engine is None:
            return PlainWeigher(need, pace, place, differing, now)
        chain = tuple(chained(need.parts))
        usual = Usual(
            self.shedding.usual.reading(need.service, need.route) or need.prompt_tokens,
            self.shedding.usual.weight(need.route, need.size),
            self.shedding.is_long(need),
        )
        planner = self._planner(chain, service.engine, sources, known, cut, now)
        return EngineWeigher(
            need,
            service.engine,
            pace,
            usual,
            place,
            chain,
            self.recent,
            planner,
            differing,
            now,
        )

    def _planner(
        self,
        chain: Chain,
        engine: EngineProfile,
        sources: Iterable[Upstream],
        known: Mapping[str, Upstream],
        cut: frozenset[str],
        now: float,
    ) -> FetchPlanner | None:
        """Return what can be copied from where, among upstreams that are sound."""
        if not engine.link_rate:
            return None
        shared = chain[:-1]
        kept = {}
        for item in sources:
            load = self.load(item.id)
            if item.hall not in cut and load.failures.rate(now) < _SOUND_RATE:
                kept[item.id] = load.kept.matched_chain(shared)
        return FetchPlanner(engine, kept, known)


def _is_time(seconds: float) -> bool:
    """Return whether something can be learned from a time that a gateway told."""
    return 0.0 < seconds < math.inf


@lru_cache(maxsize=_RANKS_KEPT)
def _ranks(service: str, upstreams: tuple[str, ...]) -> dict[str, float]:
    """Return the place of each upstream, from 0 to 1, in an order that all gateways share."""
    order = ranked(service, upstreams, _MOST_RANKED)
    last = max(1, len(order) - 1)
    return {upstream: place / last for place, upstream in enumerate(order)}
