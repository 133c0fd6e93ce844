"""Processing of one request: chooses an upstream, sends the request, and retries if allowed."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import finite_or_none
from lotushill.requests.answer_state import CutBy
from lotushill.requests.attempt import Attempt
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.attempt_reporter import AttemptReporter
from lotushill.requests.continuation import Continuation
from lotushill.requests.event_stream import EventSplitter
from lotushill.requests.upstream_search import UpstreamSearch
from lotushill.scheduling.placement import Placement

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.upstream_gate import Permit
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request

_NOT_RUN = (EndKind.NOT_SENT, EndKind.BARRED, EndKind.REJECTED)
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
_MAX_UNSENT_ATTEMPTS = 4
"""Number of unsent attempts at which a request is given up."""
_MAX_REJECTIONS = 3
"""Number of rejections at which a request is given up."""
_RETRY_AFTER_SECONDS = 0.5
_HELD_RETRY_AFTER_SECONDS = 30.0
"""Retry-After of quarantined requests, which would be refused again if they came back sooner."""
_FAILURE_CHECK_TIMEOUT_SECONDS = 0.05
"""Longest wait for the check whether the upstream of an interrupted request has failed.

The request is sent on only after that. An address at which nothing listens any more refuses
connections within a round trip.
"""


class Exchange:
    """Sends one request to upstreams until the client has an answer."""

    def __init__(
        self, components: GatewayComponents, request: Request, answer: ClientAnswer
    ) -> None:
        self._components = components
        self._request = request
        self._answer = answer
        self._splitter = EventSplitter()
        self._clock = components.clock
        self._retry_after_seconds = _RETRY_AFTER_SECONDS
        self._unsent_count = 0
        self._rejection_count = 0
        self._search = UpstreamSearch(components, request)
        self._continuation = Continuation(
            components, request, self._splitter, self._attempt, self._has_repeat_left
        )
        self._start_counted = False
        """Whether the request was counted as started."""
        self._interruption = CutBy.UPSTREAM
        """Why the latest run that had brought an event was interrupted."""
        self._interrupted_at_event = -1
        """Number of events at which it was interrupted, -1 if none was."""
        self._last_event_at = 0.0
        """When the last event before that interruption arrived, 0 if there was none."""
        self.runs = 0
        """Number of attempts that may have run the request; a continued run counts once."""
        self.outcome = "open"
        self.upstream = ""
        self.first_ms = 0.0
        """Milliseconds from sending to first event in the last attempt; negative if none came."""

    async def run(self) -> None:
        """Try upstreams until the request is answered or given up."""
        request = self._request
        self._components.budgets.note_request(request.service.name, self._clock())
        while True:
            if self._components.quarantine.is_held(request):
                return await self._refuse_held()
            await self._components.suspension.wait_until_settled()
            placement = await self._search.find()
            if not isinstance(placement, Placement):
                self._retry_after_seconds = placement.retry_after
                return await self._give_up("no upstream", None)
            if self._clock() >= request.ends:
                return await self.time_out()
            choice = placement.choice
            permit = await self._components.gate.admit(choice.upstream, request.need)
            if permit is None:
                self._defer(placement)
                continue
            end = await self._attempt(placement, permit)
            check = self._check_upstream(choice.upstream, end)
            end = await self._continue_run(choice, end, check)
            if end.kind is EndKind.WHOLE:
                self.outcome = "whole"
                self._components.quarantine.record_completion(request)
                return None
            if not await self._may_retry(end, check):
                return await self._give_up(end.detail, end)
            self._search.exclude(choice.upstream.id)
            self._splitter.drop_partial()

    def cut_by(self) -> CutBy:
        """Return why a truncated answer ends, if the client and the process have not ended it."""
        if self.outcome.startswith("fault:"):
            return CutBy.GATEWAY_FAULT
        is_running = self._splitter.event_count > self._interrupted_at_event
        if self.outcome == "timed-out" and is_running:
            return CutBy.DEADLINE
        return self._interruption

    async def time_out(self) -> None:
        """Answer a request whose deadline has passed."""
        self.outcome = "timed-out"
        if self.runs:
            await self._answer.send_own_answer(_TIMED_OUT)
        else:
            await self._answer.send_own_answer(_UNAVAILABLE, _RETRY_AFTER_SECONDS)

    async def _refuse_held(self) -> None:
        """Refuse a quarantined request, during which upstreams failed, without sending it on."""
        request = self._request
        self._components.quarantine.record_held(request)
        self._components.metrics.record_refusal(
            request.service.name, request.need.tier, "quarantined"
        )
        self._retry_after_seconds = _HELD_RETRY_AFTER_SECONDS
        await self._give_up("quarantined", None)

    def _check_upstream(self, upstream: Upstream, end: AttemptEnd) -> asyncio.Task[None] | None:
        """Start a check whether the upstream itself failed, if its connection was lost."""
        if not end.connection_lost:
            return None
        begun = end.answer_started or self._splitter.event_count > 0
        return self._components.quarantine.record_interruption(self._request, upstream, begun)

    async def _may_continue(self, end: AttemptEnd, check: asyncio.Task[None] | None) -> bool:
        """Return whether an interrupted request may be sent to another upstream.

        A request that made this upstream fail would make the next one fail as well.
        """
        if end.kind is not EndKind.BROKEN:
            return False
        if check is not None:
            await asyncio.wait((check,), timeout=_FAILURE_CHECK_TIMEOUT_SECONDS)
        return self._components.quarantine.may_retry(self._request)

    async def _continue_run(
        self, choice: Choice, end: AttemptEnd, check: asyncio.Task[None] | None
    ) -> AttemptEnd:
        """Continue a moved or interrupted run from a copy of its memory."""
        while end.handover is not None:
            may_continue = functools.partial(self._may_continue, end, check)
            end = await self._continuation.continue_from_handover(end.handover, end, may_continue)
        if choice.backup is not None and await self._may_continue(end, check):
            end = await self._continuation.continue_from_backup(choice.backup, end)
        return end

    def _has_repeat_left(self) -> bool:
        """Return whether the request may be repeated, and a retry is left for it."""
        route, service = self._request.route, self._request.service.name
        has_attempt = route.repeatable and self.runs < route.max_attempts
        return has_attempt and self._components.budgets.has_left(service, self._clock())

    def _defer(self, placement: Placement) -> None:
        """Exclude an upstream for which there is no permit at present from the search."""
        upstream = placement.choice.upstream
        self._search.defer(upstream.id)
        rate = self._components.limits.stated.rate(upstream.id)
        self._note(
            "placement.put_off", upstream=upstream.id, why="no permit", limit=finite_or_none(rate)
        )
        if placement.scheduler:
            self._components.shared_load.give_up(placement.placed.request)

    async def _attempt(self, placement: Placement, permit: Permit) -> AttemptEnd:
        choice, attempt_number = placement.choice, placement.placed.request
        self.upstream = choice.upstream.id
        self._note_choice(placement)
        self._components.shared_load.start(
            placement.placed, self._request.service, announced=bool(placement.scheduler)
        )
        if not choice.resumes_from_copy:
            self.runs += 1
        reporter = AttemptReporter(self._components.shared_load, attempt_number, self._note_started)
        attempt = Attempt(
            self._components, self._request, choice, self._answer, self._splitter, reporter, permit
        )
        kind = None
        try:
            end = await attempt.run()
            kind = end.kind
        except Exception:
            # A fault of the gateway counts against the upstream at which it occurs. Otherwise that
            # upstream, failing at once and always idle, would attract all requests.
            kind = EndKind.BROKEN
            raise
        finally:
            run_seconds = self._clock() - attempt.sent_at if attempt.sent_at else 0.0
            reporter.report_end(kind, run_seconds)
            self.first_ms = round((attempt.first_event_at - attempt.sent_at) * 1000, 1)
        self._components.metrics.record_attempt(
            self._request.service.name, self._request.need.tier, end.kind.value
        )
        if end.kind in _NOT_RUN and not choice.resumes_from_copy:
            self.runs -= 1
        if self._last_event_at and attempt.first_event_at:
            self._note_resumed(choice, attempt.first_event_at - self._last_event_at)
        if end.answer_started:
            self._interruption = end.cut_by
            self._interrupted_at_event = self._splitter.event_count
            self._last_event_at = end.last_event_at
        if end.kind is not EndKind.WHOLE:
            self._note(
                "attempt.ended",
                upstream=self.upstream,
                kind=end.kind.value,
                why=end.detail,
                identity=self._identity(end),
                rest=end.statement.cooldown,
                leaving=end.statement.leaving,
                unreadable=end.statement.unreadable_cooldown,
                limit=finite_or_none(end.statement.limit),
                closed_here=end.handover is not None and end.handover.closed_by_gateway,
                after_stop=end.handover.events_after_stop() if end.handover is not None else 0,
            )
        return end

    def _note_resumed(self, choice: Choice, pause_seconds: float) -> None:
        """Log how long the stream of an interrupted run paused until the next event."""
        place = "backup" if choice.resumes_from_copy else "new run"
        if choice.moved is not None:
            place = "source" if choice.returned_to_source else "target"
        self._note(
            "run.resumed",
            upstream=choice.upstream.id,
            place=place,
            pause_ms=round(pause_seconds * 1000, 1),
            target_gap_ms=round(self._request.need.target_gap * 1000, 1),
        )

    def _identity(self, end: AttemptEnd) -> str:
        """Return the identity by which a broken request is recognized when it arrives again.

        Return an empty text for attempts that ended otherwise.
        """
        return self._request.identity.hex() if end.kind is EndKind.BROKEN else ""

    def _note_started(self) -> None:
        if not self._start_counted:
            self._start_counted = True
            self._components.work.record_start(self._request.team)

    def _note_choice(self, placement: Placement) -> None:
        choice = placement.choice
        self._note(
            "placement.chosen",
            upstream=choice.upstream.id,
            service=self._request.service.name,
            cost=round(choice.cost, 4),
            first_ms=round(choice.first_event_seconds * 1000, 1),
            wait_ms=round(choice.wait_seconds * 1000, 1),
            waited_ms=round((self._clock() - self._request.arrived) * 1000, 1),
            harm=round(choice.interference_cost, 3),
            prompt=self._request.need.prompt_tokens,
            reading=choice.prefill_tokens,
            again=choice.reread_tokens,
            fetch=choice.fetch.source.id if choice.fetch else "",
            fetched=choice.fetch.tokens if choice.fetch else 0,
            backup=choice.backup.id if choice.backup else "",
            continues=choice.resumes_from_copy,
            returned=choice.returned,
            tier=self._request.need.tier,
            team_rank=self._request.route.urgency.team_rank,
            ahead=choice.total_prefill_tokens,
            running=choice.running,
            memory=placement.memory,
            scheduler=placement.scheduler,
            alone=placement.alone,
            drawn=placement.drawn,
            pause_bound_ms=self._pause_bound_ms(),
            run=self.runs,
            view=self._components.upstreams.revision,
        )

    def _pause_bound_ms(self) -> float | None:
        """Return the most by which a prefill extends a pause, in ms; None if unknown."""
        pauses = self._components.fleet.pace(self._request.service.name).pauses
        return round(pauses.bound * 1000, 1) if pauses.bound_known else None

    async def _may_retry(self, end: AttemptEnd, check: asyncio.Task[None] | None) -> bool:
        now = self._clock()
        service = self._request.service.name
        if end.kind is EndKind.BARRED:
            return True
        if end.kind is EndKind.NOT_SENT:
            self._unsent_count += 1
            return self._unsent_count < _MAX_UNSENT_ATTEMPTS
        if end.kind is EndKind.REJECTED:
            self._rejection_count += 1
            return self._rejection_count < _MAX_REJECTIONS and self._components.budgets.try_spend(
                service, now
            )
        route = self._request.route
        if not route.repeatable or self.runs >= route.max_attempts:
            return False
        if self._answer.started and not self._splitter.event_count:
            return False
        if end.kind is EndKind.BROKEN and not await self._may_continue(end, check):
            return False
        return self._components.budgets.try_spend(service, self._clock())

    async def _give_up(self, why: str, end: AttemptEnd | None) -> None:
        self.outcome = f"given-up:{why}"
        if self._answer.started:
            # The connection closes before the end of the answer, so the client sees that it is
            # truncated.
            return
        if end is not None and end.kind is EndKind.FAILED and end.head is not None:
            self.outcome = f"failed:{end.detail}"
            await self._answer.start(end.head.status, end.head.headers_for(end.body))
            await self._answer.finish(end.body)
        elif self.runs:
            await self._answer.send_own_answer(_BAD_GATEWAY)
        else:
            await self._answer.send_own_answer(_UNAVAILABLE, self._retry_after_seconds)

    def _note(self, event: str, **fields: object) -> None:
        self._components.log.note(event, request=self._request.demand.request_id, **fields)
