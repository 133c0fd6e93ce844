"""Finds the upstream of a request, by the own model of a scheduler or by querying one."""

from __future__ import annotations

import asyncio
import functools
import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

import xxhash

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.links.messages import PlacementAsk
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fetch import Fetch
from lotushill.placement.fleet import NO_UPSTREAM_RETRY_AFTER_SECONDS
from lotushill.placement.placed_message import placed_message
from lotushill.routing.route import RouteKind
from lotushill.scheduling.placement import Placement
from lotushill.starting.draw import UpstreamCredit
from lotushill.starting.draw import draw_upstream
from lotushill.waiting.entry import Queued
from lotushill.waiting.entry import QueueEntry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.limits.barred_upstreams import BarredUpstreams
    from lotushill.links.messages import PlacementAnswer
    from lotushill.membership.schedulers import Schedulers
    from lotushill.placement.fleet import Fleet
    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placement_client import PlacementClient
    from lotushill.scheduling.queue_runner import QueueRunner
    from lotushill.scheduling.request import Request
    from lotushill.scheduling.shared_load import SharedLoad
    from lotushill.views.upstream_view import UpstreamView

_SAMPLE_FRACTION = 0.25
"""Fraction of the upstreams, drawn at random for each request, among which a gateway chooses that
receives no answer from schedulers: by their own few requests alone, all gateways would choose the
same upstream."""
_MIN_SAMPLE = 3
_MAX_UNKNOWN_UPSTREAMS = 2
"""Number of further queries after answers with an upstream that is not in this gateway's view;
after them the request is refused with a Retry-After time."""
_UNKNOWN_RETRY_AFTER_SECONDS = 0.2
"""Retry-After time in seconds, within which this gateway is notified of an upstream that is already
in a scheduler's view."""


class Placer:
    """Chooses the upstreams of this gateway's requests."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        shared_load: SharedLoad,
        upstreams: UpstreamView,
        rng: random.Random,
        clock: Callable[[], float],
        barred: BarredUpstreams,
        limits: StatedLimits,
        schedulers: Schedulers | None = None,
        client: PlacementClient | None = None,
        has_fleet_model: Callable[[], bool] = lambda: True,
        queue_runner: QueueRunner | None = None,
    ) -> None:
        """Place requests of the gateway `name`; without schedulers, always by the own model.

        Requests for which the own model finds no free slot are queued with `queue_runner`.

        `barred` holds the upstreams to which this gateway must not send requests now; other
        gateways do not have this information. `limits` holds those that accept few requests.
        `has_fleet_model` returns False from the start of this gateway until it has received the
        running requests of others.
        """
        self._name = name
        self._fleet = fleet
        self._shared_load = shared_load
        self._upstreams = upstreams
        self._rng = rng
        self._clock = clock
        self._barred = barred
        self._limits = limits
        self._schedulers = schedulers
        self._client = client
        self._has_fleet_model = has_fleet_model
        self._queue_runner = queue_runner
        self._salt = rng.getrandbits(64)
        self._numbers = itertools.count()

    def new_attempt_number(self) -> int:
        """Return an attempt number that hardly ever collides with that of any gateway."""
        return xxhash.xxh64_intdigest(f"{self._name}/{self._salt}/{next(self._numbers)}")

    def has_full_model(self) -> bool:
        """Return whether this gateway receives the load updates of all others."""
        return self._schedulers is None or self._schedulers.is_scheduler()

    async def place(
        self, request: Request, excluded: frozenset[str], again: bool, waits: bool = True
    ) -> Placement | NoChoice:
        """Return the placement of a request; `again` is true if it was queried before.

        If `waits` is true, the request is queued while there is no free slot.
        """
        barred = self._barred.names(request.need.route, self._clock())
        if barred:
            if self._are_all_barred(request, excluded | barred):
                return self._refuse_barred(request, barred)
            excluded |= barred
        if self._client is None or self.has_full_model():
            if not again:
                self._note_arrival(request.need)
            candidates = self._candidates(request)
            if self._schedulers is not None and not self._has_fleet_model():
                return self._place_drawn(request, excluded)
            if self._queue_runner is None or not waits:
                return self._by_own_model(request, excluded, candidates)
            outcome = await self._place_queued(self._queue_runner, request, excluded, candidates)
            if outcome is not None or self._client is None:
                return outcome or NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
        return await self._by_scheduler(self._client, request, excluded, again, waits)

    async def _by_scheduler(
        self,
        client: PlacementClient,
        request: Request,
        excluded: frozenset[str],
        again: bool,
        waits: bool,
    ) -> Placement | NoChoice:
        unknown: set[str] = set()
        for _ in range(_MAX_UNKNOWN_UPSTREAMS + 1):
            make_ask = functools.partial(self._make_ask, request, excluded | unknown, again, waits)
            answer = await client.ask(make_ask)
            if answer is None:
                return self._place_alone(request, excluded)
            if not answer.upstream:
                return _refusal_from_answer(answer)
            placement = self._from_answer(request, answer)
            if placement is not None:
                return placement
            # The upstream has left, or this gateway has not been notified of it yet.
            self._shared_load.give_up(answer.request)
            unknown.add(answer.upstream)
        return NoChoice(Refusal.NO_UPSTREAM, _UNKNOWN_RETRY_AFTER_SECONDS)

    def _are_all_barred(self, request: Request, barred: frozenset[str]) -> bool:
        candidates = self._candidates(request)
        return bool(candidates) and all(item.id in barred for item in candidates)

    def _candidates(self, request: Request) -> list[Upstream]:
        """Return the upstreams of the service that have the version of the request's stream."""
        known = self._upstreams.of(request.service.name)
        if not request.need.version:
            return known
        return [item for item in known if request.need.accepts(item)]

    def _refuse_barred(self, request: Request, barred: frozenset[str]) -> NoChoice:
        """Refuse until the first upstream may be sent a request, or for lack of any upstream."""
        known = [item.id for item in self._candidates(request)]
        barred_ids = [name for name in known if name in barred]
        if not barred_ids:
            return NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
        now, route = self._clock(), request.need.route
        limited = self._barred.any_limited(barred_ids, route, now)
        refusal = Refusal.LIMITED if limited else Refusal.RESTING
        return NoChoice(refusal, self._barred.seconds_to_first_end(barred_ids, route, now))

    def _note_arrival(self, need: Need) -> None:
        self._fleet.note_arrival(need, self._clock())

    def _by_own_model(
        self, request: Request, excluded: frozenset[str], candidates: list[Upstream]
    ) -> Placement | NoChoice:
        now = self._clock()
        service = request.service
        need = replace(
            request.need, waited=now - request.arrived, time_left=max(0.0, request.ends - now)
        )
        decision = self._fleet.choose(need, service, candidates, excluded, now)
        if isinstance(decision, NoChoice):
            return decision
        return self._own_placement(request, decision, candidates)

    async def _place_queued(
        self,
        queue_runner: QueueRunner,
        request: Request,
        excluded: frozenset[str],
        candidates: list[Upstream],
    ) -> Placement | NoChoice | None:
        """Return the placement of a request by the own model, after queueing it if necessary.

        Return None if this gateway has lost the scheduler role meanwhile and queries schedulers.
        """
        key = self.new_attempt_number()
        try:
            while True:
                decision = await self._wait_for_answer(
                    queue_runner, request, excluded, candidates, key
                )
                if isinstance(decision, NoChoice):
                    return decision
                if isinstance(decision, Choice):
                    return self._own_placement(request, decision, candidates)
                if self._client is not None and not self.has_full_model():
                    return None
                candidates = self._candidates(request)
                excluded |= self._barred.names(request.need.route, self._clock())
        finally:
            queue_runner.drop(key)

    async def _wait_for_answer(
        self,
        queue_runner: QueueRunner,
        request: Request,
        excluded: frozenset[str],
        candidates: list[Upstream],
        key: int,
    ) -> Choice | NoChoice | Queued:
        """Return the answer given before the entry must be renewed, `Queued` if there is none."""
        answer_future: asyncio.Future[Choice | NoChoice] = (
            asyncio.get_running_loop().create_future()
        )

        def answer(entry: QueueEntry, decision: Choice | NoChoice, now: float) -> None:
            del entry, now
            if not answer_future.done():
                answer_future.set_result(decision)

        now = self._clock()
        need = replace(
            request.need,
            time_left=max(0.0, request.ends - now),
            waited=now - request.arrived,
        )
        entry = QueueEntry(key, need, "", request.arrived, now, excluded)
        decision = queue_runner.place(entry, request.service, candidates, answer)
        if not isinstance(decision, Queued):
            return decision
        done, _ = await asyncio.wait((answer_future,), timeout=decision.renew_seconds)
        return answer_future.result() if done else decision

    def _own_placement(
        self, request: Request, chosen: Choice, candidates: list[Upstream]
    ) -> Placement:
        now, service = self._clock(), request.service
        self._fleet.note_choice_used(request.need, now)
        if _may_be_copied(request):
            targets = [item for item in candidates if self._limits.rate(item.id) == NO_LIMIT]
            backup = self._fleet.backup(request.need, service, chosen, targets, now)
            chosen = replace(chosen, backup=backup)
        memory = self._fleet.load(chosen.upstream.id).reserved_tokens
        return Placement(
            chosen, self._placed_message(self.new_attempt_number(), request, chosen), memory
        )

    def _place_drawn(self, request: Request, excluded: frozenset[str]) -> Placement | NoChoice:
        """Place a request while the running requests of other gateways are unknown."""
        now = self._clock()
        loads = {
            item: self._fleet.load(item.id)
            for item in self._candidates(request)
            if item.id not in excluded
        }
        reachable = {
            item: load for item, load in loads.items() if not load.is_unreachable(now)
        } or loads
        credits = [
            UpstreamCredit(item, load.unanswered, load.answered) for item, load in reachable.items()
        ]
        outcome = self._by_own_model(request, excluded, draw_upstream(credits, self._rng))
        return replace(outcome, drawn=True) if isinstance(outcome, Placement) else outcome

    def _place_alone(self, request: Request, excluded: frozenset[str]) -> Placement | NoChoice:
        if not self._has_fleet_model():
            return self._place_drawn(request, excluded)
        outcome = self._by_own_model(request, excluded, self._sample(request, excluded))
        return replace(outcome, alone=True) if isinstance(outcome, Placement) else outcome

    def _sample(self, request: Request, excluded: frozenset[str]) -> list[Upstream]:
        eligible = [item for item in self._candidates(request) if item.id not in excluded]
        count = max(_MIN_SAMPLE, round(_SAMPLE_FRACTION * len(eligible)))
        return self._rng.sample(eligible, min(count, len(eligible)))

    def _placed_message(self, number: int, request: Request, choice: Choice) -> Placed:
        return placed_message(number, request.need, choice, request.service.engine is not None)

    def continuation_placement(self, request: Request, choice: Choice) -> Placement:
        """Return the placement of a run that continues at an upstream chosen before."""
        return Placement(choice, self._placed_message(self.new_attempt_number(), request, choice))

    def _make_ask(
        self, request: Request, excluded: frozenset[str], again: bool, waits: bool
    ) -> PlacementAsk:
        need = request.need
        return PlacementAsk(
            sender=self._name,
            request=self.new_attempt_number(),
            service=need.service,
            route=need.route,
            target=need.target,
            gap=need.target_gap,
            time_left=max(0.0, request.ends - self._clock()),
            stream=need.stream,
            copied=_may_be_copied(request),
            again=again,
            prompt_tokens=need.prompt_tokens,
            output_tokens=need.output_tokens,
            part_ids=tuple(part.id for part in need.parts),
            part_tokens=tuple(part.tokens for part in need.parts),
            tier=need.tier,
            excluded=(*excluded, *self._unreachable(request, excluded)),
            team=need.team,
            team_place=need.team_rank + 1,
            share=need.share,
            waited=self._clock() - request.arrived,
            caller=need.caller,
            waits=waits,
            version=need.version,
        )

    def _unreachable(self, request: Request, excluded: frozenset[str]) -> list[str]:
        """Return the ids of upstreams that this gateway cannot reach now, even if others can."""
        now = self._clock()
        return [
            item.id
            for item in self._upstreams.of(request.service.name)
            if item.id not in excluded and self._fleet.load(item.id).is_unreachable(now)
        ]

    def _from_answer(self, request: Request, answer: PlacementAnswer) -> Placement | None:
        upstream = self._candidate(request, answer.upstream)
        if upstream is None or not request.need.accepts(upstream):
            # A scheduler of a build without software versions chooses among all upstreams.
            return None
        choice = Choice(
            upstream,
            answer.cost,
            answer.first,
            answer.reading,
            answer.ahead,
            answer.seconds,
            wait_seconds=answer.wait,
            interference_cost=answer.harm,
            reread_tokens=answer.again,
            running=answer.running,
            returned=answer.returned,
            fetch=self._fetch(answer, upstream),
            backup=self._backup(request, answer, upstream),
        )
        message = self._placed_message(answer.request, request, choice)
        return Placement(choice, message, answer.memory, answer.sender)

    def _candidate(self, request: Request, upstream_id: str) -> Upstream | None:
        known = self._upstreams.of(request.service.name)
        return next((item for item in known if item.id == upstream_id), None)

    def _backup(
        self, request: Request, answer: PlacementAnswer, upstream: Upstream
    ) -> Upstream | None:
        backup = self._candidate(request, answer.backup)
        return backup if backup is not None and backup.version == upstream.version else None

    def _fetch(self, answer: PlacementAnswer, target: Upstream) -> Fetch | None:
        source = self._upstreams.find(answer.fetch_from)
        if source is None or source.version != target.version:
            return None
        return Fetch(source, answer.fetch_tokens, answer.fetch_seconds)


def _may_be_copied(request: Request) -> bool:
    """Return whether a backup copy of a run may be kept: only for runs that cannot be repeated."""
    return request.route.kind is RouteKind.STREAM and not request.route.repeatable


def _refusal_from_answer(answer: PlacementAnswer) -> NoChoice:
    try:
        refusal = Refusal(answer.refusal)
    except ValueError:
        # A scheduler of a later version may send reasons that this version does not define.
        refusal = Refusal.NO_UPSTREAM
    return NoChoice(
        refusal,
        answer.retry_after,
        answer.wait,
        answer.first,
        answer.usual_prompt,
        answer.longest_prompt,
        answer.standing,
        answer.final,
    )
