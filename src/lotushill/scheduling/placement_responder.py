"""Scheduler side of the placement protocol: places requests for gateways without a fleet model."""

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
from lotushill.routing.urgency import DEFAULT_TEAM_RANK
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

_STORED_ANSWER_SECONDS = 1.0
"""Time for which an answer to a queued request is stored: the datagram may be lost, and the gateway
then queries again."""


class PlacementResponder:
    """Answers placement queries from the fleet model; pure, with the clock passed in."""

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
        """Answer as the gateway `name`; `is_ready` returns whether the model is filled.

        Requests without a free slot are queued with `queue_runner`; `send` sends their later
        answers to the gateways that asked.
        """
        self._name = name
        self._fleet = fleet
        self._shared_load = shared_load
        self._service_named = service_named
        self._upstreams_of = upstreams_of
        self._is_ready = is_ready
        self._limits = limits
        self._queue_runner = queue_runner
        self._send = send
        self._stored_answers: dict[int, tuple[PlacementAnswer, float]] = {}
        """Answers to queued requests and the times at which they were given, by query number."""

    def answer(self, ask: PlacementAsk, now: float) -> PlacementAnswer:
        """Choose an upstream, add the request to the model, and notify the other schedulers."""
        service = self._service_named(ask.service)
        if service is None or not self._is_ready():
            return PlacementAnswer(self._name, ask.request, refusal=UNREADY)
        if ask.leaves:
            if self._queue_runner is not None:
                self._queue_runner.drop(ask.request)
            return PlacementAnswer(self._name, ask.request, refusal=HELD)
        stored = self._stored_answers.get(ask.request)
        if stored is not None:
            return stored[0]
        need = _need_from_ask(ask)
        is_queued = (
            self._queue_runner is not None
            and self._queue_runner.queue.requests.find(ask.request) is not None
        )
        if not (ask.again or is_queued):
            self._fleet.note_arrival(need, now)
        decision = self._decide(ask, need, service, now)
        if isinstance(decision, Queued):
            return PlacementAnswer(
                self._name, ask.request, refusal=HELD, retry_after=decision.renew_seconds
            )
        return self._final_answer(ask, need, service, decision, now)

    def _decide(
        self, ask: PlacementAsk, need: Need, service: Service, now: float
    ) -> Choice | NoChoice | Queued:
        upstreams, excluded = self._upstreams_of(service.name), frozenset(ask.excluded)
        if self._queue_runner is None or not ask.waits:
            return self._fleet.choose(need, service, upstreams, excluded, now)
        entry = QueueEntry(ask.request, need, ask.sender, now - need.waited, now, excluded)

        def answer_later(entry: QueueEntry, decision: Choice | NoChoice, now: float) -> None:
            answer = self._final_answer(ask, entry.need_at(now), service, decision, now)
            self._store(answer, now)
            self._send(answer, ask.sender)

        return self._queue_runner.place(entry, service, upstreams, answer_later)

    def _store(self, answer: PlacementAnswer, now: float) -> None:
        for number in [
            item
            for item, (_, at) in self._stored_answers.items()
            if now - at > _STORED_ANSWER_SECONDS
        ]:
            del self._stored_answers[number]
        self._stored_answers[answer.request] = (answer, now)

    def _final_answer(
        self,
        ask: PlacementAsk,
        need: Need,
        service: Service,
        decision: Choice | NoChoice,
        now: float,
    ) -> PlacementAnswer:
        """Return the answer, after adding a placed request to the model."""
        if isinstance(decision, NoChoice):
            return self._refusal_answer(ask, decision)
        self._fleet.note_choice_used(need, now)
        upstreams = self._upstreams_of(service.name)
        if ask.copied:
            targets = [item for item in upstreams if self._limits.rate(item.id) == NO_LIMIT]
            backup = self._fleet.backup(need, service, decision, targets, now)
            decision = replace(decision, backup=backup)
        memory = self._fleet.load(decision.upstream.id).reserved_tokens
        has_engine = service.engine is not None
        self._shared_load.start_for(
            ask.sender, placed_message(ask.request, need, decision, has_engine), service
        )
        return self._placement_answer(ask, decision, memory)

    def _refusal_answer(self, ask: PlacementAsk, decision: NoChoice) -> PlacementAnswer:
        return PlacementAnswer(
            self._name,
            ask.request,
            refusal=decision.refusal.value,
            retry_after=decision.retry_after,
            wait=decision.wait_seconds,
            first=decision.first_event_seconds,
            usual_prompt=decision.usual_prompt,
            longest_prompt=decision.longest_prompt,
            standing=decision.standing,
            final=decision.final,
        )

    def _placement_answer(self, ask: PlacementAsk, choice: Choice, memory: int) -> PlacementAnswer:
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


def _need_from_ask(ask: PlacementAsk) -> Need:
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
        team_rank=ask.team_place - 1 if ask.team_place else DEFAULT_TEAM_RANK,
        share=ask.share,
        waited=ask.waited,
        caller=ask.caller,
        version=ask.version,
    )
