"""Places requests for gateways that hold no model: the scheduler's end of one short exchange."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.links.messages import HELD
from lotushill.links.messages import UNREADY
from lotushill.links.messages import PlacementAnswer
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.need import Need
from lotushill.placement.placed_message import placed_message
from lotushill.routing.demand import PromptPart
from lotushill.waiting.entry import Queued
from lotushill.waiting.entry import QueueEntry

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.links.messages import PlacementAsk
    from lotushill.placement.fleet import Fleet
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.queue_runner import QueueRunner
    from lotushill.scheduling.shared_load import SharedLoad

_KEPT_SECONDS = 1.0
"""How long an answer is kept that came after waiting: it may be lost, and is asked for again."""


class PlacementResponder:
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
        queue_runner: QueueRunner | None = None,
        send: Callable[[PlacementAnswer, str], None] = lambda *_: None,
    ) -> None:
        """Answer for the gateway `name`; `is_ready` tells whether the model is filled.

        What finds no room waits with `keeper`; `send` sends its later answer to a gateway.
        """
        self._name = name
        self._fleet = fleet
        self._shared_load = shared_load
        self._service_named = service_named
        self._upstreams_of = upstreams_of
        self._is_ready = is_ready
        self._limits = limits
        self._keeper = queue_runner
        self._send = send
        self._kept: dict[int, tuple[PlacementAnswer, float]] = {}
        """Answers that came after waiting, by the number of the ask, and when."""

    def answer(self, ask: PlacementAsk, now: float) -> PlacementAnswer:
        """Choose an upstream, count the request in, and tell the other schedulers."""
        service = self._service_named(ask.service)
        if service is None or not self._is_ready():
            return PlacementAnswer(self._name, ask.request, refusal=UNREADY)
        if ask.leaves:
            if self._keeper is not None:
                self._keeper.drop(ask.request)
            return PlacementAnswer(self._name, ask.request, refusal=HELD)
        kept = self._kept.get(ask.request)
        if kept is not None:
            return kept[0]
        need = _need(ask)
        waits = (
            self._keeper is not None and self._keeper.queue.requests.find(ask.request) is not None
        )
        if not (ask.again or waits):
            self._fleet.note_arrival(need, now)
        found = self._find(ask, need, service, now)
        if isinstance(found, Queued):
            return PlacementAnswer(
                self._name, ask.request, refusal=HELD, retry_after=found.renew_seconds
            )
        return self._answer(ask, need, service, found, now)

    def _find(
        self, ask: PlacementAsk, need: Need, service: Service, now: float
    ) -> Choice | NoChoice | Queued:
        upstreams, excluded = self._upstreams_of(service.name), frozenset(ask.excluded)
        if self._keeper is None or not ask.waits:
            return self._fleet.choose(need, service, upstreams, excluded, now)
        entry = QueueEntry(ask.request, need, ask.sender, now - need.waited, now, excluded)

        def answer_later(entry: QueueEntry, found: Choice | NoChoice, now: float) -> None:
            answer = self._answer(ask, entry.need_at(now), service, found, now)
            self._keep(answer, now)
            self._send(answer, ask.sender)

        return self._keeper.place(entry, service, upstreams, answer_later)

    def _keep(self, answer: PlacementAnswer, now: float) -> None:
        for number in [item for item, (_, at) in self._kept.items() if now - at > _KEPT_SECONDS]:
            del self._kept[number]
        self._kept[answer.request] = (answer, now)

    def _answer(
        self,
        ask: PlacementAsk,
        need: Need,
        service: Service,
        found: Choice | NoChoice,
        now: float,
    ) -> PlacementAnswer:
        """Return the answer, with a request that goes somewhere counted in."""
        if isinstance(found, NoChoice):
            return self._refused(ask, found)
        self._fleet.note_choice_used(need, now)
        upstreams = self._upstreams_of(service.name)
        if ask.copied:
            targets = [item for item in upstreams if self._limits.rate(item.id) == NO_LIMIT]
            backup = self._fleet.backup(need, service, found, targets, now)
            found = replace(found, backup=backup)
        memory = self._fleet.load(found.upstream.id).reserved_tokens
        engine = service.engine is not None
        self._shared_load.start_for(
            ask.sender, placed_message(ask.request, need, found, engine), service
        )
        return self._chosen(ask, found, memory)

    def _refused(self, ask: PlacementAsk, found: NoChoice) -> PlacementAnswer:
        return PlacementAnswer(
            self._name,
            ask.request,
            refusal=found.refusal.value,
            retry_after=found.retry_after,
            wait=found.wait_seconds,
            first=found.first_event_seconds,
            usual_prompt=found.usual_prompt,
            longest_prompt=found.longest_prompt,
            standing=found.standing,
            final=found.final,
        )

    def _chosen(self, ask: PlacementAsk, choice: Choice, memory: int) -> PlacementAnswer:
        fetch = choice.fetch
        return PlacementAnswer(
            self._name,
            ask.request,
            upstream=choice.upstream.id,
            cost=choice.cost,
            first=choice.first_event_seconds,
            seconds=choice.answer_seconds,
            wait=choice.wait_seconds,
            harm=choice.interference_cost,
            reading=choice.prefill_tokens,
            ahead=choice.total_prefill_tokens,
            again=choice.reread_tokens,
            running=choice.running,
            memory=memory,
            fetch_from=fetch.source.id if fetch else "",
            fetch_tokens=fetch.tokens if fetch else 0,
            fetch_seconds=fetch.seconds if fetch else 0.0,
            backup=choice.backup.id if choice.backup else "",
            returned=choice.returned,
        )


def _need(ask: PlacementAsk) -> Need:
    return Need(
        service=ask.service,
        route=ask.route,
        target=ask.target,
        target_gap=ask.gap,
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
