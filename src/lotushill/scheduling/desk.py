"""Places requests for gateways that hold no model: the scheduler's end of one short exchange."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.links.messages import UNREADY
from lotushill.links.messages import PlacementAnswer
from lotushill.placement.choice import NoChoice
from lotushill.placement.need import Need
from lotushill.placement.placed import placed
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.links.messages import PlacementAsk
    from lotushill.placement.choice import Choice
    from lotushill.placement.fleet import Fleet
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.shared_load import SharedLoad


class PlacementDesk:
    """Answers asks from the model of all upstreams; pure, with the clock passed in."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        shared_load: SharedLoad,
        service_named: Callable[[str], Service | None],
        upstreams_of: Callable[[str], list[Upstream]],
        is_ready: Callable[[], bool],
        limits: StatedLimits,
    ) -> None:
        """Answer for the gateway `name`; `is_ready` tells whether the model is filled."""
        self._name = name
        self._fleet = fleet
        self._shared_load = shared_load
        self._service_named = service_named
        self._upstreams_of = upstreams_of
        self._is_ready = is_ready
        self._limits = limits

    def answer(self, ask: PlacementAsk, now: float) -> PlacementAnswer:
        """Choose an upstream, count the request in, and tell the other schedulers."""
        service = self._service_named(ask.service)
        if service is None or not self._is_ready():
            return PlacementAnswer(self._name, ask.request, refusal=UNREADY)
        need = _need(ask)
        if not ask.again:
            self._fleet.note_arrival(need, now)
        upstreams = self._upstreams_of(service.name)
        found = self._fleet.choose(need, service, upstreams, frozenset(ask.excluded), now)
        if isinstance(found, NoChoice):
            return self._refused(ask, found)
        if ask.copied:
            targets = [item for item in upstreams if self._limits.rate(item.id) == NO_LIMIT]
            backup = self._fleet.backup(need, service, found, targets, now)
            found = replace(found, backup=backup)
        memory = self._fleet.load(found.upstream.id).memory
        engine = service.engine is not None
        self._shared_load.start_for(ask.sender, placed(ask.request, need, found, engine), service)
        return self._chosen(ask, found, memory)

    def _refused(self, ask: PlacementAsk, found: NoChoice) -> PlacementAnswer:
        return PlacementAnswer(
            self._name,
            ask.request,
            refusal=found.refusal.value,
            retry_after=found.retry_after,
            wait=found.wait,
            first=found.first,
            usual_prompt=found.usual_prompt,
            longest_prompt=found.longest_prompt,
            standing=found.standing,
        )

    def _chosen(self, ask: PlacementAsk, choice: Choice, memory: int) -> PlacementAnswer:
        fetch = choice.fetch
        return PlacementAnswer(
            self._name,
            ask.request,
            upstream=choice.upstream.id,
            cost=choice.cost,
            first=choice.first,
            seconds=choice.seconds,
            wait=choice.wait,
            harm=choice.harm,
            reading=choice.reading,
            ahead=choice.ahead,
            again=choice.again,
            running=choice.running,
            memory=memory,
            fetch_from=fetch.source.id if fetch else "",
            fetch_tokens=fetch.tokens if fetch else 0,
            fetch_seconds=fetch.seconds if fetch else 0.0,
            backup=choice.backup.id if choice.backup else "",
        )


def _need(ask: PlacementAsk) -> Need:
    return Need(
        service=ask.service,
        route=ask.route,
        target=ask.target,
        gap=ask.gap,
        time_left=ask.time_left,
        stream=ask.stream,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        parts=tuple(PromptPart(*part) for part in zip(ask.part_ids, ask.part_tokens)),
        tier=ask.tier,
        team=ask.team,
        share=ask.share,
        waited=ask.waited,
        caller=ask.caller,
    )
