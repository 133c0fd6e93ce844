"""Processing of one request: chooses an upstream, sends the request, and retries if allowed."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import finite_or_none
from lotushill.links.origin_messages import StreamOrigin
from lotushill.requests.answer_state import CutBy
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.continuation import Continuation
from lotushill.requests.event_stream import EventSplitter
from lotushill.requests.replacement_search import ReplacementSearch
from lotushill.requests.stream_version import StreamVersion
from lotushill.requests.stream_version import stream_lifetime
from lotushill.requests.tracked_attempt import AttemptTracker
from lotushill.requests.upstream_search import UpstreamSearch
from lotushill.scheduling.placement import Placement
from lotushill.versions.stream_key import stream_key

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.attempt_end import Successor
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.upstream_gate import Permit
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request

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
        self.stream_version = version = StreamVersion(request.need.version, self._note_begun)
        self._search = UpstreamSearch(components, request, version)
        self._continuation = Continuation(
            components, request, self._splitter, version, self._attempt, self._has_repeat_left
        )
        self._tracker = AttemptTracker(components, request, answer, self._splitter, version)
        self._replacements = ReplacementSearch(
            components,
            request,
            answer,
            self._splitter,
            self._search,
            self._continuation,
            self._tracker,
        )
        self.outcome = "open"

    @property
    def runs(self) -> int:
        """Return the number of attempts that may have run the request."""
        return self._tracker.runs

    @property
    def upstream(self) -> str:
        """Return the id of the upstream of the latest attempt."""
        return self._tracker.upstream

    @property
    def first_ms(self) -> float:
        """Return the milliseconds to the first event in the last attempt, negative without one."""
        return self._tracker.first_ms

    def note_ended(self) -> None:
        """Record that the request has ended; called once."""
        if self.stream_version.has_begun:
            self._components.stream_origins.note_ended(self.stream_version.value)

    async def run(self) -> None:
        """Try upstreams until the request is answered or given up."""
        request = self._request
        self._components.budgets.note_request(request.service.name, self._clock())
        successor: Successor | None = None
        while True:
            if successor is not None:
                choice = successor.choice
                end = await successor.relay(self._replacements)
            else:
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
                permit = await self._components.gate.admit(
                    choice.upstream, request.need, request.ends
                )
                if permit is None:
                    await self._defer(placement)
                    continue
                end = await self._attempt(placement, permit)
            check = self._check_upstream(choice.upstream, end)
            if end.successor is None:
                end = await self._continue_run(choice, end, check)
            if end.kind is EndKind.WHOLE:
                self.outcome = "whole"
                self._components.quarantine.record_completion(request)
                if not self.stream_version.has_begun:
                    self._components.quarantine.record_begun(request)
                return None
            successor = end.successor
            if successor is None and not await self._may_retry(end, check):
                return await self._give_up(end.detail, end)
            self._search.exclude(choice.upstream.id)
            self._splitter.drop_partial()

    def cut_by(self) -> CutBy:
        """Return why a truncated answer ends, if the client and the process have not ended it."""
        if self.outcome.startswith("fault:"):
            return CutBy.GATEWAY_FAULT
        if self.outcome == "timed-out" and self._tracker.is_running():
            return CutBy.DEADLINE
        return self._tracker.interruption

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
        end = await self._continue_moved(end, check)
        if choice.backup is None or end.successor is not None:
            return end
        if not await self._may_continue(end, check):
            return end
        end = await self._continuation.continue_from_backup(choice.backup, end)
        return await self._continue_moved(end, None)

    async def _continue_moved(
        self, end: AttemptEnd, check: asyncio.Task[None] | None
    ) -> AttemptEnd:
        """Continue a run for as long as moves leave memory to continue from."""
        while end.handover is not None:
            may_continue = functools.partial(self._may_continue, end, check)
            end = await self._continuation.continue_from_handover(end.handover, end, may_continue)
        return end

    def _has_repeat_left(self) -> bool:
        """Return whether the request may be repeated, and a retry is left for it."""
        route, service = self._request.route, self._request.service.name
        has_attempt = route.repeatable and self.runs < route.max_attempts
        return has_attempt and self._components.budgets.has_left(service, self._clock())

    async def _defer(self, placement: Placement) -> None:
        """Exclude an upstream for which there is no permit at present from the search."""
        upstream = placement.choice.upstream
        rate = self._components.limits.stated.rate(upstream.id)
        self._note(
            "placement.put_off", upstream=upstream.id, why="no permit", limit=finite_or_none(rate)
        )
        if placement.scheduler:
            self._components.shared_load.give_up(placement.placed.request)
        await self._search.defer(upstream.id)

    async def _attempt(self, placement: Placement, permit: Permit) -> AttemptEnd:
        return await self._tracker.begin(placement, permit).run(self._replacements)

    async def _may_retry(self, end: AttemptEnd, check: asyncio.Task[None] | None) -> bool:
        now = self._clock()
        service = self._request.service.name
        if self.runs and not self._request.route.repeatable:
            # The end may be that of an attempt to continue the run, which must not start anew.
            return False
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

    def _note_begun(self, version: str) -> None:
        """Tell the fleet where a stream begins, as its client may take it up at any gateway.

        A stream that is taken up says nothing of its prompt, which was read before.
        """
        request, origins = self._request, self._components.stream_origins
        if not request.demand.last_event_id:
            self._components.quarantine.record_begun(request)
        origins.note_begun(version)
        if request.route.resumable:
            first_request = request.demand.resumed_request_id or request.demand.request_id
            lifetime = stream_lifetime(request.route)
            key = stream_key(first_request)
            origins.tell(StreamOrigin(key, request.service.name, version, lifetime))

    def _note(self, event: str, **fields: object) -> None:
        self._components.log.note(event, request=self._request.demand.request_id, **fields)
