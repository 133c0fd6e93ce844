"""The life of one request: choose an upstream, run, and again where that is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import finite_or_none
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
    from lotushill.requests.parts import GatewayParts
    from lotushill.requests.upstream_gate import Permit
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request

_RAN_NOTHING = (EndKind.NOT_SENT, EndKind.BARRED, EndKind.REJECTED)
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
_MOST_UNSENT = 4
_MOST_REJECTED = 3
_RETRY_SECONDS = 0.5
_HELD_RETRY_SECONDS = 30.0
"""Coming back sooner does not help a request that is held."""
_CHECK_SECONDS = 0.05
"""A request that was cut waits so long, before it is sent on, to hear whether its upstream ended:
an address that nothing listens at any more refuses within a round trip."""


class Exchange:
    """Brings one request to its answer."""

    def __init__(self, parts: GatewayParts, request: Request, answer: ClientAnswer) -> None:
        self._parts = parts
        self._request = request
        self._answer = answer
        self._splitter = EventSplitter()
        self._clock = parts.clock
        self._retry_after = _RETRY_SECONDS
        self._unsent = 0
        self._rejected = 0
        self._search = UpstreamSearch(parts, request)
        self._continuation = Continuation(parts, request, self._splitter, self._attempt)
        self._counted = False
        """Whether the request was counted as begun."""
        self.runs = 0
        """Upstreams that may have run the request."""
        self.outcome = "open"
        self.upstream = ""
        self.first_ms = 0.0
        """Milliseconds from sending to the first event of the last attempt; below 0 for none."""

    async def run(self) -> None:
        """Try upstreams until there is an answer."""
        request = self._request
        self._parts.budgets.note_request(request.service.name, self._clock())
        while True:
            if self._parts.quarantine.is_held(request):
                return await self._keep_back()
            await self._parts.suspension.wait_until_settled()
            placement = await self._search.find()
            if not isinstance(placement, Placement):
                self._retry_after = placement.retry_after
                return await self._give_up("no upstream", None)
            if self._clock() >= request.ends:
                return await self.time_out()
            choice = placement.choice
            permit = await self._parts.gate.admit(choice.upstream, request.need)
            if permit is None:
                self._put_off(placement)
                continue
            end = await self._attempt(placement, permit)
            check = self._check_upstream(choice.upstream, end)
            end = await self._go_on(choice, end, check)
            if end.kind is EndKind.WHOLE:
                self.outcome = "whole"
                self._parts.quarantine.record_completion(request)
                return None
            if not await self._may_repeat(end, check):
                return await self._give_up(end.detail, end)
            self._search.exclude(choice.upstream.id)
            self._splitter.drop_partial()

    async def time_out(self) -> None:
        """Answer a request whose time is up."""
        self.outcome = "timed-out"
        if self.runs:
            await self._answer.send_own_answer(_TIMED_OUT)
        else:
            await self._answer.send_own_answer(_UNAVAILABLE, _RETRY_SECONDS)

    async def _keep_back(self) -> None:
        """Answer a request under which upstreams end, without sending it to one more."""
        request = self._request
        self._parts.quarantine.record_held(request)
        self._parts.metrics.record_refusal(request.service.name, request.need.tier, "quarantined")
        self._retry_after = _HELD_RETRY_SECONDS
        await self._give_up("quarantined", None)

    # Upstreams

    def _check_upstream(self, upstream: Upstream, end: AttemptEnd) -> asyncio.Task[None] | None:
        """Find out whether the upstream ended under the request, where its connection did."""
        if not end.connection_lost:
            return None
        begun = end.answer_started or self._splitter.event_count > 0
        return self._parts.quarantine.record_interruption(self._request, upstream, begun)

    async def _may_go_on(self, end: AttemptEnd, check: asyncio.Task[None] | None) -> bool:
        """Return whether a cut request may reach a further upstream, as far as is known now.

        One that ended this upstream would end the next one as well.
        """
        if end.kind is not EndKind.BROKEN:
            return False
        if check is not None:
            await asyncio.wait((check,), timeout=_CHECK_SECONDS)
        return self._parts.quarantine.may_retry(self._request)

    async def _go_on(
        self, choice: Choice, end: AttemptEnd, check: asyncio.Task[None] | None
    ) -> AttemptEnd:
        """Go on with a run that was moved, or cut, from a copy of its memory."""
        while end.handover is not None:
            if end.kind is EndKind.BROKEN and not await self._may_go_on(end, check):
                self._parts.mover.release_handover(end.handover)
                return replace(end, handover=None)
            end = await self._continuation.continue_from_handover(end.handover, end)
        if choice.backup is not None and await self._may_go_on(end, check):
            end = await self._continuation.continue_from_backup(choice.backup, end)
        return end

    def _put_off(self, placement: Placement) -> None:
        """Look for another upstream, as there is no permit for this one now."""
        upstream = placement.choice.upstream
        self._search.defer(upstream.id)
        rate = self._parts.limits.stated.rate(upstream.id)
        self._note(
            "placement.put_off", upstream=upstream.id, why="no permit", limit=finite_or_none(rate)
        )
        if placement.scheduler:
            self._parts.shared_load.give_up(placement.placed.request)

    async def _attempt(self, placement: Placement, permit: Permit) -> AttemptEnd:
        choice, number = placement.choice, placement.placed.request
        self.upstream = choice.upstream.id
        self._note_choice(placement)
        self._parts.shared_load.start(
            placement.placed, self._request.service, announced=bool(placement.scheduler)
        )
        self.runs += 1
        news = AttemptReporter(self._parts.shared_load, number, self._note_ran)
        attempt = Attempt(
            self._parts, self._request, choice, self._answer, self._splitter, news, permit
        )
        kind = None
        try:
            end = await attempt.run()
            kind = end.kind
        except Exception:
            # A fault of ours counts against the upstream it shows at: as an idle one that fails
            # at once it would draw all requests.
            kind = EndKind.BROKEN
            raise
        finally:
            ran = self._clock() - attempt.sent_at if attempt.sent_at else 0.0
            news.report_end(kind, ran)
            self.first_ms = round((attempt.first_event_at - attempt.sent_at) * 1000, 1)
        self._parts.metrics.record_attempt(
            self._request.service.name, self._request.need.tier, end.kind.value
        )
        if end.kind in _RAN_NOTHING:
            self.runs -= 1
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
            )
        return end

    def _identity(self, end: AttemptEnd) -> str:
        """Return what tells that another arrival of a cut request is the same, else nothing."""
        return self._request.identity.hex() if end.kind is EndKind.BROKEN else ""

    def _note_ran(self) -> None:
        if not self._counted:
            self._counted = True
            self._parts.work.record_start(self._request.team)

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
            view=self._parts.upstreams.revision,
        )

    def _pause_bound_ms(self) -> float | None:
        """Return by how much a reading lengthens a pause at most, None while not known."""
        pauses = self._parts.fleet.pace(self._request.service.name).pauses
        return round(pauses.bound * 1000, 1) if pauses.bound_known else None

    # Repeats

    async def _may_repeat(self, end: AttemptEnd, check: asyncio.Task[None] | None) -> bool:
        now = self._clock()
        service = self._request.service.name
        if end.kind is EndKind.BARRED:
            return True
        if end.kind is EndKind.NOT_SENT:
            self._unsent += 1
            return self._unsent < _MOST_UNSENT
        if end.kind is EndKind.REJECTED:
            self._rejected += 1
            return self._rejected < _MOST_REJECTED and self._parts.budgets.spend(service, now)
        route = self._request.route
        if not route.repeatable or self.runs >= route.max_attempts:
            return False
        if self._answer.started and not self._splitter.event_count:
            return False
        if end.kind is EndKind.BROKEN and not await self._may_go_on(end, check):
            return False
        return self._parts.budgets.spend(service, self._clock())

    async def _give_up(self, why: str, end: AttemptEnd | None) -> None:
        self.outcome = f"given-up:{why}"
        if self._answer.started:
            # What the client has is visibly cut off: the connection ends without its end.
            return
        if end is not None and end.kind is EndKind.FAILED and end.head is not None:
            self.outcome = f"failed:{end.detail}"
            await self._answer.start(end.head.status, end.head.headers_for(end.body))
            await self._answer.finish(end.body)
        elif self.runs:
            await self._answer.send_own_answer(_BAD_GATEWAY)
        else:
            await self._answer.send_own_answer(_UNAVAILABLE, self._retry_after)

    def _note(self, event: str, **fields: object) -> None:
        self._parts.log.note(event, request=self._request.demand.request_id, **fields)
