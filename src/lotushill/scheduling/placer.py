"""Finds the upstream of a request: by the own model of a scheduler, else by asking one."""

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

_ALONE_SHARE = 0.25
"""Of the upstreams, drawn for each request, among which a gateway chooses that gets no answer: by
its own few requests alone, all gateways would choose the same one."""
_LEAST_ALONE = 3
_MOST_UNKNOWN = 2
"""Upstreams that a scheduler knows and this gateway does not, before a request waits."""
_UNKNOWN_RETRY = 0.2
"""Seconds until this gateway has heard of an upstream that a scheduler knows already."""


class Placer:
    """Decides where requests of this gateway go."""

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
        knows_fleet: Callable[[], bool] = lambda: True,
        queue_runner: QueueRunner | None = None,
    ) -> None:
        """Place for the gateway `name`; without schedulers, always by the own model.

        What finds no room by the own model waits with `keeper`.

        `barred` tells which upstreams are to be sent nothing by this gateway now, which no other
        one knows, and `limits` which ones are sent few; `knows_fleet` is false while this gateway
        has started and has not been told what runs.
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
        self._knows_fleet = knows_fleet
        self._keeper = queue_runner
        self._salt = rng.getrandbits(64)
        self._numbers = itertools.count()

    def new_attempt_number(self) -> int:
        """Return a number for an attempt that is hardly ever that of another, of any gateway."""
        return xxhash.xxh64_intdigest(f"{self._name}/{self._salt}/{next(self._numbers)}")

    def has_full_model(self) -> bool:
        """Return whether this gateway hears of what all others run."""
        return self._schedulers is None or self._schedulers.is_scheduler()

    async def place(
        self, request: Request, excluded: frozenset[str], again: bool, waits: bool = True
    ) -> Placement | NoChoice:
        """Return where a request is to go; `again` says that it was asked for before.

        One that `waits` does so for room, where there is none now.
        """
        barred = self._barred.names(request.need.route, self._clock())
        if barred:
            if self._none_is_open(request, excluded | barred):
                return self._all_barred(request, barred)
            excluded |= barred
        if self._client is None or self.has_full_model():
            if not again:
                self._note_size(request.need)
            candidates = self._upstreams.of(request.service.name)
            if self._schedulers is not None and not self._knows_fleet():
                return self._drawn(request, excluded)
            if self._keeper is None or not waits:
                return self._by_own_model(request, excluded, candidates)
            found = await self._in_line(self._keeper, request, excluded, candidates)
            if found is not None or self._client is None:
                return found or NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
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
        for _ in range(_MOST_UNKNOWN + 1):
            make = functools.partial(self._ask, request, excluded | unknown, again, waits)
            answer = await client.ask(make)
            if answer is None:
                return self._alone(request, excluded)
            if not answer.upstream:
                return _refused(answer)
            found = self._from_answer(request, answer)
            if found is not None:
                return found
            # It has left, or this gateway has not heard of it yet.
            self._shared_load.give_up(answer.request)
            unknown.add(answer.upstream)
        return NoChoice(Refusal.NO_UPSTREAM, _UNKNOWN_RETRY)

    def _none_is_open(self, request: Request, barred: frozenset[str]) -> bool:
        return all(item.id in barred for item in self._upstreams.of(request.service.name))

    def _all_barred(self, request: Request, barred: frozenset[str]) -> NoChoice:
        """Refuse until the first upstream may be sent a request, or say that there is none."""
        known = [item.id for item in self._upstreams.of(request.service.name)]
        closed = [name for name in known if name in barred]
        if not closed:
            return NoChoice(Refusal.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_SECONDS)
        now, route = self._clock(), request.need.route
        limited = self._barred.any_limited(closed, route, now)
        refusal = Refusal.LIMITED if limited else Refusal.RESTING
        return NoChoice(refusal, self._barred.seconds_to_first_end(closed, route, now))

    def _note_size(self, need: Need) -> None:
        self._fleet.note_arrival(need, self._clock())

    # By the own model

    def _by_own_model(
        self, request: Request, excluded: frozenset[str], candidates: list[Upstream]
    ) -> Placement | NoChoice:
        now = self._clock()
        service = request.service
        need = replace(
            request.need, waited=now - request.arrived, time_left=max(0.0, request.ends - now)
        )
        found = self._fleet.choose(need, service, candidates, excluded, now)
        if isinstance(found, NoChoice):
            return found
        return self._own_placement(request, found, candidates)

    async def _in_line(
        self,
        keeper: QueueRunner,
        request: Request,
        excluded: frozenset[str],
        candidates: list[Upstream],
    ) -> Placement | NoChoice | None:
        """Return where a request goes by the own model, if need be after it has waited.

        None where this gateway has come to ask schedulers meanwhile.
        """
        key = self.new_attempt_number()
        try:
            while True:
                found = await self._ask_line(keeper, request, excluded, candidates, key)
                if isinstance(found, NoChoice):
                    return found
                if isinstance(found, Choice):
                    return self._own_placement(request, found, candidates)
                if self._client is not None and not self.has_full_model():
                    return None
                candidates = self._upstreams.of(request.service.name)
                excluded |= self._barred.names(request.need.route, self._clock())
        finally:
            keeper.drop(key)

    async def _ask_line(
        self,
        keeper: QueueRunner,
        request: Request,
        excluded: frozenset[str],
        candidates: list[Upstream],
        key: int,
    ) -> Choice | NoChoice | Queued:
        """Return the answer that comes before a request is to be asked for again."""
        later: asyncio.Future[Choice | NoChoice] = asyncio.get_running_loop().create_future()

        def answer(entry: QueueEntry, found: Choice | NoChoice, now: float) -> None:
            del entry, now
            if not later.done():
                later.set_result(found)

        now = self._clock()
        need = replace(
            request.need,
            time_left=max(0.0, request.ends - now),
            waited=now - request.arrived,
        )
        entry = QueueEntry(key, need, "", request.arrived, now, excluded)
        found = keeper.place(entry, request.service, candidates, answer)
        if not isinstance(found, Queued):
            return found
        done, _ = await asyncio.wait((later,), timeout=found.renew_seconds)
        return later.result() if done else found

    def _own_placement(
        self, request: Request, found: Choice, candidates: list[Upstream]
    ) -> Placement:
        now, service = self._clock(), request.service
        self._fleet.note_choice_used(request.need, now)
        if _may_be_copied(request):
            targets = [item for item in candidates if self._limits.rate(item.id) == NO_LIMIT]
            backup = self._fleet.backup(request.need, service, found, targets, now)
            found = replace(found, backup=backup)
        memory = self._fleet.load(found.upstream.id).reserved_tokens
        return Placement(found, self._placed(self.new_attempt_number(), request, found), memory)

    def _drawn(self, request: Request, excluded: frozenset[str]) -> Placement | NoChoice:
        """Place a request while nothing is known of what others run."""
        now = self._clock()
        loads = {
            item: self._fleet.load(item.id)
            for item in self._upstreams.of(request.service.name)
            if item.id not in excluded
        }
        reachable = {
            item: load for item, load in loads.items() if not load.is_unreachable(now)
        } or loads
        seen = [
            UpstreamCredit(item, load.unanswered, load.answered) for item, load in reachable.items()
        ]
        found = self._by_own_model(request, excluded, draw_upstream(seen, self._rng))
        return replace(found, drawn=True) if isinstance(found, Placement) else found

    def _alone(self, request: Request, excluded: frozenset[str]) -> Placement | NoChoice:
        if not self._knows_fleet():
            return self._drawn(request, excluded)
        found = self._by_own_model(request, excluded, self._sample(request, excluded))
        return replace(found, alone=True) if isinstance(found, Placement) else found

    def _sample(self, request: Request, excluded: frozenset[str]) -> list[Upstream]:
        fit = [item for item in self._upstreams.of(request.service.name) if item.id not in excluded]
        count = max(_LEAST_ALONE, round(_ALONE_SHARE * len(fit)))
        return self._rng.sample(fit, min(count, len(fit)))

    def _placed(self, number: int, request: Request, choice: Choice) -> Placed:
        return placed_message(number, request.need, choice, request.service.engine is not None)

    def continuation_placement(self, request: Request, choice: Choice) -> Placement:
        """Return the placement of a run that goes on at an upstream that is known."""
        return Placement(choice, self._placed(self.new_attempt_number(), request, choice))

    # By a scheduler

    def _ask(
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
            excluded=(*excluded, *self._out_of_reach(request, excluded)),
            team=need.team,
            share=need.share,
            waited=self._clock() - request.arrived,
            caller=need.caller,
            waits=waits,
        )

    def _out_of_reach(self, request: Request, excluded: frozenset[str]) -> list[str]:
        """Return the upstreams that this gateway could not reach just now, whoever else may."""
        now = self._clock()
        return [
            item.id
            for item in self._upstreams.of(request.service.name)
            if item.id not in excluded and self._fleet.load(item.id).is_unreachable(now)
        ]

    def _from_answer(self, request: Request, answer: PlacementAnswer) -> Placement | None:
        upstream = self._candidate(request, answer.upstream)
        if upstream is None:
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
            fetch=self._fetch(answer),
            backup=self._candidate(request, answer.backup),
        )
        told = self._placed(answer.request, request, choice)
        return Placement(choice, told, answer.memory, answer.sender)

    def _candidate(self, request: Request, upstream_id: str) -> Upstream | None:
        known = self._upstreams.of(request.service.name)
        return next((item for item in known if item.id == upstream_id), None)

    def _fetch(self, answer: PlacementAnswer) -> Fetch | None:
        source = self._upstreams.find(answer.fetch_from)
        if source is None:
            return None
        return Fetch(source, answer.fetch_tokens, answer.fetch_seconds)


def _may_be_copied(request: Request) -> bool:
    """Return whether a copy of a run may be kept: one that could not be repeated."""
    return request.route.kind is RouteKind.STREAM and not request.route.repeatable


def _refused(answer: PlacementAnswer) -> NoChoice:
    try:
        refusal = Refusal(answer.refusal)
    except ValueError:
        # A scheduler of a later version may have reasons that are not known here.
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
