"""Chooses the upstream of a request by what it would cost, from a model of every upstream.

The model is fed by this gateway's own requests and by what the other gateways tell of theirs.
Costs are shares of one request's credit. Nothing here reads a clock or does I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING

from lotushill.placement.backup import backup_target
from lotushill.placement.backup import is_worth_copying
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fetch import FetchPlanner
from lotushill.placement.fleet_paces import FleetPaces
from lotushill.placement.learning import learn_first_event
from lotushill.placement.learning import learn_pause
from lotushill.placement.messages import Outcome
from lotushill.placement.pace import ServicePace
from lotushill.placement.prefix_cache_model import chain_parts
from lotushill.placement.recent_parts import RecentParts
from lotushill.placement.reserve import only_reserved_left
from lotushill.placement.shedding import Shedding
from lotushill.placement.shortlist import shortlist
from lotushill.placement.team_reserve import has_to_wait
from lotushill.placement.team_reserve import reserved_slots
from lotushill.placement.upstream_load import UpstreamLoad
from lotushill.placement.weigher import EngineWeigher
from lotushill.placement.weigher import Location
from lotushill.placement.weigher import PlainWeigher
from lotushill.placement.weigher import TypicalRequest
from lotushill.rendezvous import ranked
from lotushill.routing.demand import PromptPart
from lotushill.shares.shares import TeamShares

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lotushill.placement.engine_pace import LongTermPace
    from lotushill.placement.messages import Began
    from lotushill.placement.messages import Ended
    from lotushill.placement.messages import Paced
    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need
    from lotushill.placement.prefix_cache_model import Chain
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
NO_UPSTREAM_RETRY_AFTER_SECONDS = 1.0
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
        self.shares = TeamShares()
        self.engine_paces = FleetPaces()
        self._loads: dict[str, UpstreamLoad] = {}
        self._paces: dict[str, ServicePace] = {}
        self._where: dict[int, _Where] = {}

    # Feeding the model

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        found = self._loads.get(upstream_id)
        if found is None:
            found = self._loads[upstream_id] = UpstreamLoad()
        return found

    def pace(self, service: str) -> ServicePace:
        """Return the pace of a service."""
        found = self._paces.get(service)
        if found is None:
            found = self._paces[service] = ServicePace()
        return found

    def note_arrival(self, need: Need, now: float) -> None:
        """Learn of a request that has come; not again when it is looked for again."""
        self.shedding.usual.note_size(need.route, need.size)
        self.shares.note_arrival(need, now)

    def adopt_reported_pace(self, told: LongTermPace, service: str) -> None:
        """Take a pace that another scheduler has found, where nothing is known here."""
        self.engine_paces.adopt_reported(told, service, self.load(told.upstream).pace)

    def start(self, placed: Placed, service: Service, now: float) -> None:
        """Count a request in, of this gateway or of another."""
        engine = service.engine
        load = self.load(placed.upstream)
        load.start(placed, engine.memory_tokens if engine else 0, now)
        self.engine_paces.for_service(service.name).add(placed.upstream, load.pace)
        parts = [PromptPart(*item) for item in zip(placed.part_ids, placed.part_tokens)]
        self.recent.note(parts, now)
        self.shedding.note(placed, service.name, now)
        self.shares.note_start(placed, service, now)
        self._where[placed.request] = _Where(placed.upstream, service)

    def begin(self, began: Began, now: float) -> None:
        """Note the first event of a request, and learn from when it came."""
        where = self._where.get(began.request)
        if where is None:
            return
        load = self._loads[where.upstream]
        load.begin(began.request, now)
        placed = load.running.get(began.request)
        if placed is not None:
            # It may have stood in the engine's queue for longer than starts are remembered.
            self.shedding.starts.note(where.service.name, placed.tier, placed.prompt, now)
        if placed is None or not _is_time(began.seconds):
            return
        pace = self.pace(where.service.name)
        learn_first_event(placed, began.seconds, load, pace, where.service, now)
        self.engine_paces.for_service(where.service.name).update_long_term(now)

    def note_paced(self, paced: Paced, now: float) -> None:
        """Learn how fast an upstream steps from one of its streams."""
        where = self._where.get(paced.request)
        if where is None or not _is_time(paced.pause):
            return
        quiet = self.pace(where.service.name).pauses.baseline
        learn_pause(paced.pause, self._loads[where.upstream], quiet, now)
        self.engine_paces.for_service(where.service.name).update_long_term(now)

    def end(self, ended: Ended, now: float, near: bool = True) -> None:
        """Count a request out, and learn from its end; `near` says that the own hall told it.

        What fails for another hall may be its way there, and counts for less here.
        """
        where = self._where.pop(ended.request, None)
        if where is None:
            return
        load = self._loads[where.upstream]
        load.end(ended.request, now)
        self.shares.note_end(ended.request, now, ended.outcome is not Outcome.NOT_SENT)
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

    def is_running(self, request: int) -> bool:
        """Return whether a request is counted in."""
        return request in self._where

    def running_request(self, request: int) -> Placed | None:
        """Return a request that is counted in, None without one."""
        where = self._where.get(request)
        return self._loads[where.upstream].running.get(request) if where else None

    def evict_unused(self, known: set[str], now: float) -> None:
        """Drop what is no longer of use: idle upstreams that no view knows, and old parts."""
        self.recent.evict_old(now)
        self.shares.forget(now)
        for upstream_id, load in list(self._loads.items()):
            if upstream_id not in known and not load.running:
                del self._loads[upstream_id]
        self.engine_paces.retain(self._loads)

    # Choosing

    def choose(
        self,
        need: Need,
        service: Service,
        upstreams: Iterable[Upstream],
        excluded: frozenset[str],
        now: float,
        closed: frozenset[str] = frozenset(),
    ) -> Choice | NoChoice:
        """Return the cheapest upstream that can serve a request, or why there is none.

        What is `closed` has no room now: it gets nothing, but counts for the room of all.
        """
        self.shares.note_demand(need, now)
        known = {item.id: item for item in upstreams}
        ranks = _ranks(need.service, tuple(known)) if service.engine else {}
        candidates = [item for item in known.values() if item.id not in excluded]
        reachable = [item for item in candidates if not self.load(item.id).is_unreachable(now)]
        if not candidates:
            return NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
        kept = self._keeps_slots_from(need, service, reachable, now)
        if kept is not None:
            return self._explained(self.shedding.refuse_for_others(need, kept, now), need, now)
        open_now = [item for item in reachable or candidates if item.id not in closed]
        if not open_now:
            return self.shedding.refuse_without_room(need)
        weighed = shortlist(need, open_now)
        cut = frozenset(hall for hall in {item.hall for item in weighed} if self._is_cut_off(hall))
        weigher = self._weigher(need, service, reachable, known, cut, now)
        choices = [
            weigher.weigh(item, self.load(item.id), ranks.get(item.id, 0.0)) for item in weighed
        ]
        refused = self.shedding.refuse(need, choices, now)
        if refused is not None:
            return refused
        if self._gives_way(need, service, choices, now):
            return self._explained(self.shedding.refuse_for_teams(need, choices, now), need, now)
        # What waits for a slot keeps it from more urgent ones that come later: engines let them in
        # first, but do not take a slot away.
        open_ones = [choice for choice in choices if not choice.is_full]
        best = min(open_ones or choices, key=lambda choice: choice.cost)
        if best.first_event_seconds > need.first_event_timeout:
            best = min(choices, key=lambda choice: choice.first_event_seconds)
        returned = self.shedding.returns.has_place(need.caller, now)
        return replace(best, returned=True) if returned else best

    def note_choice_used(self, need: Need, now: float) -> None:
        """Note that a choice for a request is used, so that its caller's place is."""
        self.shares.note_placed(need, now)
        self.shedding.returns.note_placed(need.caller, now)

    def _keeps_slots_from(
        self, need: Need, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Refusal | None:
        """Return why the slots that are left are kept from a long request, None if they are not.

        They are for more urgent requests, or for teams that have had less. Asked before any
        upstream is weighed: a long request that waits asks again some thirty times a second, just
        when schedulers have the most to do.
        """
        if service.engine is None or not self.shedding.is_long(need):
            return None
        loads = [self.load(item.id) for item in upstreams]
        slots = len(loads) * service.engine.slots
        held = sum(len(load.running) for load in loads)
        urgent = sum(load.count_more_urgent(need.tier) for load in loads)
        if not only_reserved_left(held + reserved_slots(slots), urgent, slots):
            return None
        if self.shedding.must_serve(need, now):
            return None
        if only_reserved_left(held, urgent, slots):
            return Refusal.OVERLOAD
        return Refusal.SHARE if self.shares.is_over_share(need, now) else None

    def only_reserved_left(
        self,
        need: Need,
        engine: EngineProfile,
        upstreams: Sequence[Upstream],
        most: float | None = None,
    ) -> bool:
        """Return whether the free slots are no more than are kept for more urgent requests."""
        loads = [self.load(item.id) for item in upstreams]
        held = sum(len(load.running) for load in loads)
        urgent = sum(load.count_more_urgent(need.tier) for load in loads)
        return only_reserved_left(held, urgent, len(loads) * engine.slots, most)

    def _gives_way(
        self, need: Need, service: Service, choices: Sequence[Choice], now: float
    ) -> bool:
        """Return whether a request leaves the room to teams that have had less of their share."""
        if not has_to_wait(need, choices, service.engine is not None):
            return False
        return self.shares.is_over_share(need, now) and not self.shedding.must_serve(need, now)

    def _explained(self, refused: NoChoice, need: Need, now: float) -> NoChoice:
        """Return a refusal with the standing of the team, where that is its reason."""
        if refused.refusal is not Refusal.SHARE:
            return refused
        return replace(refused, standing=self.shares.relative_standing(need, now))

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
        if engine is None or not engine.can_back_up_memory:
            return None
        if not is_worth_copying(need, choice.answer_seconds, self.pace(need.service).cuts.rate):
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
        place = Location(self._hall, cut)
        pace = self.pace(need.service)
        differing = self.engine_paces.for_service(need.service).has_deviating
        if service.engine is None:
            return PlainWeigher(need, pace, place, differing, now)
        chain = tuple(chain_parts(need.parts))
        usual = TypicalRequest(
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
                kept[item.id] = load.prefix_cache.matched_chain_tokens(shared)
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
