"""Chooses the upstream with the lowest expected cost for a request, from a model of all upstreams.

The model is updated from this gateway's own requests and from the reports of the other gateways.
Costs are shares of one request's credit. This module reads no clock and performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING

from lotushill.placement.backup import backup_target
from lotushill.placement.backup import is_worth_copying
from lotushill.placement.brittle_services import BrittleServices
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.ejections import Ejections
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
from lotushill.placement.version_reserve import without_reserved
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

_MAX_SOURCE_FAILURE_RATE = 0.2
"""Failure rate above which nothing is copied from an upstream."""
_OTHER_HALL_WEIGHT = 0.3
"""Weight of an outcome reported from another hall, relative to one from the own hall."""
_NOT_SENT_WEIGHT = 0.5
"""Weight of a failure to reach an upstream, relative to a failure of the upstream itself: the
gateway may be what is disconnected."""
_MAX_RANKED = 10_000
_RANKS_CACHE_SIZE = 32
_NO_VERSION_RETRY_AFTER_SECONDS = 2.0
"""Retry-After time if no upstream has the version of a stream: one that crashed is back with its
version within some seconds, if at all."""
NO_UPSTREAM_RETRY_AFTER_SECONDS = 1.0
"""Retry-After time if there is no upstream; one may have been registered by then."""


@dataclass(frozen=True)
class _RunLocation:
    """The upstream and service that run a request."""

    upstream: str
    service: Service


class Fleet:
    """The model of all upstreams."""

    def __init__(
        self,
        hall: str,
        recent_seconds: float = 10.0,
        is_hall_unreachable: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Create a model for a gateway in `hall`.

        Parts used within `recent_seconds` are worth caching; `is_hall_unreachable` returns
        whether a hall seems unreachable.
        """
        self._hall = hall
        self._is_hall_unreachable = is_hall_unreachable
        self.recent = RecentParts(recent_seconds)
        self.shedding = Shedding()
        self.brittle = BrittleServices()
        self.shares = TeamShares()
        self.engine_paces = FleetPaces()
        self.ejections = Ejections()
        self._loads: dict[str, UpstreamLoad] = {}
        self._paces: dict[str, ServicePace] = {}
        self._locations: dict[int, _RunLocation] = {}

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = UpstreamLoad()
        return load

    def pace(self, service: str) -> ServicePace:
        """Return the pace of a service."""
        pace = self._paces.get(service)
        if pace is None:
            pace = self._paces[service] = ServicePace()
        return pace

    def note_arrival(self, need: Need, now: float) -> None:
        """Record the arrival of a request; not called again when its placement is retried."""
        self.shedding.typical_requests.note_size(need.route, need.size)
        self.shares.note_arrival(need, now)

    def adopt_reported_pace(self, reported: LongTermPace, service: str) -> None:
        """Adopt a pace reported by another scheduler if none is known here."""
        self.engine_paces.adopt_reported(reported, service, self.load(reported.upstream).pace)

    def start(self, placed: Placed, service: Service, now: float) -> None:
        """Add a running request of this gateway or another one."""
        engine = service.engine
        load = self.load(placed.upstream)
        load.start(placed, engine.memory_tokens if engine else 0, now)
        if not placed.age:
            self.ejections.note_started(placed.upstream, now)
        self.engine_paces.for_service(service.name).add(placed.upstream, load.pace)
        parts = [PromptPart(*item) for item in zip(placed.part_ids, placed.part_tokens)]
        self.recent.note(parts, now)
        self.shedding.note(placed, service.name, now)
        self.shares.note_start(placed, service, now)
        self._locations[placed.request] = _RunLocation(placed.upstream, service)

    def begin(self, began: Began, now: float) -> None:
        """Record the first event of a request and update the estimates from its time."""
        location = self._locations.get(began.request)
        if location is None:
            return
        load = self._loads[location.upstream]
        load.begin(began.request, now)
        self.ejections.note_success(location.upstream)
        placed = load.running.get(began.request)
        if placed is not None:
            # It may have waited in the engine's queue for longer than starts are stored.
            self.shedding.starts.note(location.service.name, placed.tier, placed.prompt, now)
        if placed is None or not _is_usable_time(began.seconds):
            return
        pace = self.pace(location.service.name)
        learn_first_event(placed, began.seconds, load, pace, location.service, now)
        self.engine_paces.for_service(location.service.name).update_long_term(now)

    def note_paced(self, paced: Paced, now: float) -> None:
        """Update the step pace of an upstream from one of its streams."""
        location = self._locations.get(paced.request)
        if location is None or not _is_usable_time(paced.pause):
            return
        baseline = self.pace(location.service.name).pauses.baseline
        learn_pause(paced.pause, self._loads[location.upstream], baseline, now)
        self.engine_paces.for_service(location.service.name).update_long_term(now)

    def end(self, ended: Ended, now: float, same_hall: bool = True) -> None:
        """Remove a request and update the estimates from its outcome.

        `same_hall` states whether a gateway of the own hall reported it. A failure reported from
        another hall may lie in the path from there, and has less weight here.
        """
        location = self._locations.pop(ended.request, None)
        if location is None:
            return
        load = self._loads[location.upstream]
        load.end(ended.request, now)
        self.shares.note_end(ended.request, now, ended.outcome is not Outcome.NOT_SENT)
        if ended.outcome is Outcome.UNKNOWN:
            return
        weight = 1.0 if same_hall else _OTHER_HALL_WEIGHT
        if ended.outcome is Outcome.NOT_SENT:
            load.failures.note(True, now, _NOT_SENT_WEIGHT * weight)
            return
        load.failures.note(ended.outcome is not Outcome.WHOLE, now, weight)
        if ended.outcome is Outcome.FAILED:
            self.ejections.note_failure(location.upstream, now, weight)
        else:
            self.ejections.note_success(location.upstream)
        has_run = ended.outcome in (Outcome.WHOLE, Outcome.CUT) and _is_usable_time(ended.seconds)
        if has_run and location.service.engine is not None:
            self.pace(location.service.name).note_end(ended.seconds, ended.outcome, now)

    def is_running(self, request: int) -> bool:
        """Return whether a request is recorded as running."""
        return request in self._locations

    def running_request(self, request: int) -> Placed | None:
        """Return a running request, None if it is not recorded."""
        location = self._locations.get(request)
        return self._loads[location.upstream].running.get(request) if location else None

    def evict_unused(self, known: set[str], now: float) -> None:
        """Remove data that is no longer needed.

        That is, idle upstreams that are in no view, and old prompt parts.
        """
        self.recent.evict_old(now)
        self.shares.forget(now)
        for upstream_id, load in list(self._loads.items()):
            if upstream_id not in known and not load.running:
                del self._loads[upstream_id]
        self.engine_paces.retain(self._loads)
        self.ejections.retain_only(set(self._loads))

    def choose(
        self,
        need: Need,
        service: Service,
        upstreams: Iterable[Upstream],
        excluded: frozenset[str],
        now: float,
        closed_engines: frozenset[str] = frozenset(),
    ) -> Choice | NoChoice:
        """Return the upstream with the lowest cost for a request, or the reason why there is none.

        Upstreams in `closed_engines` have no free slot for it now: they get no request, but count
        for the total number of slots.
        """
        self.shares.note_demand(need, now)
        by_id = {item.id: item for item in upstreams}
        ranks = _ranks(need.service, tuple(by_id)) if service.engine else {}
        serving = by_id.values()
        candidates = [item for item in serving if item.id not in excluded]
        if need.version:
            candidates = [item for item in candidates if need.accepts(item)]
        ejected = self.ejections.among([item.id for item in serving if need.accepts(item)], now)
        candidates = [item for item in candidates if item.id not in ejected] or candidates
        reachable = [item for item in candidates if not self.load(item.id).is_unreachable(now)]
        if need.version and not any(need.accepts(item) for item in serving):
            return NoChoice(Refusal.NO_VERSION, _NO_VERSION_RETRY_AFTER_SECONDS, final=True)
        if not candidates:
            return NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
        withheld = self._withheld_slots_refusal(need, service, reachable, now)
        if withheld is not None:
            return self._with_team_usage(
                self.shedding.refuse_for_others(need, withheld, now), need, now
            )
        with_room = [item for item in reachable or candidates if item.id not in closed_engines]
        if service.engine is not None and not need.version:
            with_room = without_reserved(with_room, serving, self._free_slots)
        if self.brittle.is_brittle(need.service):
            with_room = [item for item in with_room if len(self.load(item.id).running) < item.slots]
            if not with_room:
                return self.shedding.refuse_for_others(need, Refusal.NO_ROOM, now)
        if not with_room:
            return self.shedding.refuse_without_room(need)
        weighed = shortlist(need, with_room)
        unreachable_halls = frozenset(
            hall for hall in {item.hall for item in weighed} if self._is_hall_unreachable(hall)
        )
        weigher = self._weigher(need, service, reachable, by_id, unreachable_halls, now)
        choices = [
            weigher.weigh(item, self.load(item.id), ranks.get(item.id, 0.0)) for item in weighed
        ]
        refused = self.shedding.refuse(need, choices, now)
        if refused is not None:
            return refused
        if self._has_to_yield(need, service, choices, now):
            return self._with_team_usage(
                self.shedding.refuse_for_teams(need, choices, now), need, now
            )
        # A request that waits for a slot on an engine keeps it from more urgent ones that arrive
        # later: engines admit these first, but do not take a slot away.
        with_free_slot = [choice for choice in choices if not choice.is_full]
        best = min(with_free_slot or choices, key=lambda choice: choice.cost)
        if best.first_event_seconds > need.first_event_timeout:
            best = min(choices, key=lambda choice: choice.first_event_seconds)
        returned = self.shedding.returns.has_due_promise(need.caller, now)
        return replace(best, returned=True) if returned else best

    def _free_slots(self, upstream: Upstream) -> int:
        return upstream.slots - len(self.load(upstream.id).running)

    def note_choice_used(self, need: Need, now: float) -> None:
        """Record that a choice is used, which uses up the reserved place of its caller."""
        self.shares.note_placed(need, now)
        self.shedding.returns.note_placed(need.caller, now)

    def _withheld_slots_refusal(
        self, need: Need, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Refusal | None:
        """Return why the remaining slots are withheld from a long request, None if they are not.

        They are reserved for more urgent requests, or for teams with less usage. This is checked
        before any upstream is weighed: a waiting long request is tried again about thirty times a
        second, just when schedulers are busiest.
        """
        if service.engine is None or not self.shedding.is_long(need):
            return None
        loads = [self.load(item.id) for item in upstreams]
        slots = len(loads) * service.engine.slots
        used_slots = sum(len(load.running) for load in loads)
        urgent_slots = sum(load.count_more_urgent(need.tier) for load in loads)
        if not only_reserved_left(used_slots + reserved_slots(slots), urgent_slots, slots):
            return None
        if self.shedding.must_serve(need, now):
            return None
        if only_reserved_left(used_slots, urgent_slots, slots):
            return Refusal.OVERLOAD
        return Refusal.SHARE if self.shares.is_over_share(need, now) else None

    def only_reserved_left(
        self,
        need: Need,
        engine: EngineProfile,
        upstreams: Sequence[Upstream],
        max_reserved_fraction: float | None = None,
    ) -> bool:
        """Return whether the free slots do not exceed those reserved for more urgent requests."""
        loads = [self.load(item.id) for item in upstreams]
        used_slots = sum(len(load.running) for load in loads)
        urgent_slots = sum(load.count_more_urgent(need.tier) for load in loads)
        return only_reserved_left(
            used_slots, urgent_slots, len(loads) * engine.slots, max_reserved_fraction
        )

    def _has_to_yield(
        self, need: Need, service: Service, choices: Sequence[Choice], now: float
    ) -> bool:
        """Return whether a request yields the room to teams that have used less of their share."""
        if not has_to_wait(need, choices, service.engine is not None):
            return False
        return self.shares.is_over_share(need, now) and not self.shedding.must_serve(need, now)

    def _with_team_usage(self, refused: NoChoice, need: Need, now: float) -> NoChoice:
        """Return a refusal with the relative usage of the team, if that is its reason."""
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
        """Return the upstream that should hold a copy of a run's memory, None if none should."""
        engine = service.engine
        if engine is None or not engine.can_back_up_memory:
            return None
        if not is_worth_copying(
            need, choice.answer_seconds, self.pace(need.service).interruptions.rate
        ):
            return None
        return backup_target(choice.upstream, need, engine, upstreams, self._loads, now)

    def _weigher(
        self,
        need: Need,
        service: Service,
        sources: Iterable[Upstream],
        by_id: Mapping[str, Upstream],
        unreachable_halls: frozenset[str],
        now: float,
    ) -> PlainWeigher | EngineWeigher:
        location = Location(self._hall, unreachable_halls)
        pace = self.pace(need.service)
        has_deviating = self.engine_paces.for_service(need.service).has_deviating
        if service.engine is None:
            return PlainWeigher(need, pace, location, has_deviating, now)
        chain = tuple(chain_parts(need.parts))
        typical = TypicalRequest(
            self.shedding.typical_requests.prefill_tokens(need.service, need.route)
            or need.prompt_tokens,
            self.shedding.typical_requests.weight(need.route, need.size),
            self.shedding.is_long(need),
        )
        planner = self._planner(chain, service.engine, sources, by_id, unreachable_halls, now)
        return EngineWeigher(
            need,
            service.engine,
            pace,
            typical,
            location,
            chain,
            self.recent,
            planner,
            has_deviating,
            now,
        )

    def _planner(
        self,
        chain: Chain,
        engine: EngineProfile,
        sources: Iterable[Upstream],
        by_id: Mapping[str, Upstream],
        unreachable_halls: frozenset[str],
        now: float,
    ) -> FetchPlanner | None:
        """Return the planner of copies from healthy upstreams, None if the engines cannot copy."""
        if not engine.link_rate:
            return None
        shared = chain[:-1]
        cached_tokens = {}
        for item in sources:
            load = self.load(item.id)
            if (
                item.hall not in unreachable_halls
                and load.failures.rate(now) < _MAX_SOURCE_FAILURE_RATE
            ):
                cached_tokens[item.id] = load.prefix_cache.matched_chain_tokens(shared)
        return FetchPlanner(engine, cached_tokens, by_id)


def _is_usable_time(seconds: float) -> bool:
    """Return whether a time reported by a gateway is usable as a sample."""
    return 0.0 < seconds < math.inf


@lru_cache(maxsize=_RANKS_CACHE_SIZE)
def _ranks(service: str, upstreams: tuple[str, ...]) -> dict[str, float]:
    """Return the position of each upstream, from 0 to 1, in an order that all gateways share."""
    order = ranked(service, upstreams, _MAX_RANKED)
    last = max(1, len(order) - 1)
    return {upstream: place / last for place, upstream in enumerate(order)}
