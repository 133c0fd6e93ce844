"""Attempts of one request, counted in the load, the metrics and the log until they end."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import finite_or_none
from lotushill.links.slot_messages import SlotEnd
from lotushill.platform import request_head
from lotushill.requests.answer_state import CutBy
from lotushill.requests.attempt import Attempt
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.attempt_reporter import AttemptReporter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.attempt_end import Replacements
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.stream_version import StreamVersion
    from lotushill.requests.upstream_gate import Permit
    from lotushill.scheduling.placement import Placement
    from lotushill.scheduling.request import Request

_NOT_RUN = (EndKind.NOT_SENT, EndKind.BARRED, EndKind.REJECTED)
_FULL_STATUSES = ("429", "503")
"""Statuses by which an upstream rejects a request for want of room."""


class AttemptTracker:
    """Begins the attempts of one request, and records how they end."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        answer: ClientAnswer,
        splitter: EventSplitter,
        version: StreamVersion,
    ) -> None:
        """Relay the events of `splitter` to the client with `answer`, all of one `version`."""
        self._components = components
        self._request = request
        self._answer = answer
        self._splitter = splitter
        self._version = version
        self._clock = components.clock
        self._start_counted = False
        """Whether the request was counted as started."""
        self.interruption = CutBy.UPSTREAM
        """Why the latest run that had brought an event was interrupted."""
        self._interrupted_at_event = -1
        """Number of events at which it was interrupted, -1 if none was."""
        self._last_event_at = 0.0
        """When the last event before that interruption arrived, 0 if there was none."""
        self.runs = 0
        """Number of attempts that may have run the request; a continued run counts once."""
        self.upstream = ""
        """Id of the upstream of the latest attempt."""
        self.first_ms = 0.0
        """Milliseconds from sending to first event in the last attempt; negative if none came."""

    def begin(self, placement: Placement, permit: Permit) -> TrackedAttempt:
        """Begin an attempt, which counts as running until it ends or is abandoned."""
        self.upstream = placement.choice.upstream.id
        self._note_choice(placement)
        self._components.shared_load.start(
            placement.placed, self._request.service, announced=bool(placement.scheduler)
        )
        if not placement.choice.resumes_from_copy:
            self.runs += 1
        is_brittle = self._components.fleet.brittle.is_brittle(self._request.service.name)
        reporter = AttemptReporter(
            self._components.shared_load,
            placement.placed,
            self._request.service,
            self._note_started,
            self._components.placer.new_attempt_number if is_brittle else None,
        )
        attempt = Attempt(
            self._components,
            self._request,
            placement.choice,
            self._answer,
            self._splitter,
            self._version,
            reporter,
            permit,
            functools.partial(self._may_repeat, placement.choice),
        )
        return TrackedAttempt(self, placement.choice, attempt, reporter, permit)

    def _may_repeat(self, choice: Choice) -> bool:
        """Return whether the request may be sent to another upstream instead of `choice`."""
        route, service = self._request.route, self._request.service.name
        has_attempt = route.repeatable and self.runs < route.max_attempts
        has_copy = choice.backup is not None and self._splitter.event_count > 0
        return (has_attempt or has_copy) and self._components.budgets.has_left(
            service, self._clock()
        )

    def is_partitioned(self, choice: Choice) -> bool:
        """Return whether the failure of an attempt may lie in the path from this gateway."""
        return self._components.pool.is_partitioned(choice.upstream)

    def release(self, permit: Permit, end: AttemptEnd | None) -> None:
        """Give back the permit of an ended attempt; `end` is None if it was cancelled."""
        self._components.gate.release(permit, _slot_end(end))

    def record_times(self, attempt: Attempt) -> float:
        """Record the time to the first event of an ended attempt; return how long it ran."""
        self.first_ms = round((attempt.first_event_at - attempt.sent_at) * 1000, 1)
        return self._clock() - attempt.sent_at if attempt.sent_at else 0.0

    def record_end(self, choice: Choice, end: AttemptEnd) -> None:
        """Count and log the end of an attempt."""
        self.upstream = choice.upstream.id
        self._components.metrics.record_attempt(
            self._request.service.name, self._request.need.tier, end.kind.value
        )
        if end.kind in _NOT_RUN and not choice.resumes_from_copy:
            self.runs -= 1
        if end.answer_started:
            self.interruption = end.cut_by
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
                max_rejections=end.statement.max_rejections,
                closed_here=end.handover is not None and end.handover.closed_by_gateway,
                after_stop=end.handover.events_after_stop() if end.handover is not None else 0,
                replaced_by=end.successor.choice.upstream.id if end.successor is not None else "",
            )

    def is_running(self) -> bool:
        """Return whether an event has arrived since the latest interruption."""
        return self._splitter.event_count > self._interrupted_at_event

    def record_resumption(self, choice: Choice, attempt: Attempt) -> None:
        """Log how long the stream of an interrupted run paused until the next event."""
        if not self._last_event_at or not attempt.first_event_at:
            return
        place = "backup" if choice.resumes_from_copy else "new run"
        if choice.moved is not None:
            place = "source" if choice.returned_to_source else "target"
        self._note(
            "run.resumed",
            upstream=choice.upstream.id,
            place=place,
            pause_ms=round((attempt.first_event_at - self._last_event_at) * 1000, 1),
            target_gap_ms=round(self._request.need.target_gap * 1000, 1),
        )

    def record_unsent(self, choice: Choice) -> None:
        """Record that an attempt was cancelled before its request was written."""
        if not choice.resumes_from_copy:
            self.runs -= 1

    def record_abandoned(self, choice: Choice, was_sent: bool) -> None:
        """Log that the answer of an attempt is not needed; it may have run if it `was_sent`."""
        self._note("attempt.abandoned", upstream=choice.upstream.id, sent=was_sent)

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
            version=choice.upstream.version,
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
            engine_priority=request_head.engine_priority(self._request.route.urgency),
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

    def _note(self, event: str, **fields: object) -> None:
        self._components.log.note(event, request=self._request.demand.request_id, **fields)


class TrackedAttempt:
    """One attempt at the upstream of `choice`."""

    def __init__(
        self,
        tracker: AttemptTracker,
        choice: Choice,
        attempt: Attempt,
        reporter: AttemptReporter,
        permit: Permit,
    ) -> None:
        """Record the progress and end of `attempt` with `tracker` and `reporter`."""
        self.choice = choice
        self._permit = permit
        self._tracker = tracker
        self._attempt = attempt
        self._reporter = reporter
        self._is_recorded = False
        """Whether the end of the attempt is recorded."""
        self._is_unsent = False
        """Whether it is recorded that the request was not written."""

    async def run(self, replacements: Replacements) -> AttemptEnd:
        """Send the request and relay its answer, unless another upstream replaces this one."""
        end = await self.send()
        return end if end is not None else await self.relay(replacements)

    async def send(self) -> AttemptEnd | None:
        """Write the request; return the end of the attempt if it is not written."""
        try:
            with self._recorded_if_raised():
                end = await self._attempt.send()
        except asyncio.CancelledError:
            self._record_if_unsent()
            raise
        return self._record_end(end) if end is not None else None

    async def is_refused(self, seconds: float | None) -> bool:
        """Return whether the upstream refuses the written request, or fails, within some seconds.

        Return False as soon as it has accepted the request.
        """
        return await self._attempt.is_refused(seconds)

    async def relay(self, replacements: Replacements | None) -> AttemptEnd:
        """Relay the answer; without `replacements`, the attempt ends when its upstream is silent.

        The request has been written.
        """
        with self._recorded_if_raised():
            end = await self._attempt.relay(replacements)
        return self._record_end(end)

    def abandon(self) -> None:
        """Close the connection of an attempt whose answer is not needed."""
        self._attempt.close()
        self._report_end(None, None)
        self._record_if_unsent()
        self._tracker.record_abandoned(self.choice, was_sent=bool(self._attempt.sent_at))

    def _record_if_unsent(self) -> None:
        if not self._attempt.sent_at and not self._is_unsent:
            self._is_unsent = True
            self._tracker.record_unsent(self.choice)

    @contextlib.contextmanager
    def _recorded_if_raised(self) -> Iterator[None]:
        try:
            yield
        except Exception:
            # A fault of the gateway counts against the upstream at which it occurs. Otherwise that
            # upstream, failing at once and always idle, would attract all requests.
            self._report_end(EndKind.BROKEN, None)
            raise
        except BaseException:
            self._report_end(None, None)
            raise

    def _record_end(self, end: AttemptEnd) -> AttemptEnd:
        self._report_end(end.kind, end)
        self._tracker.record_resumption(self.choice, self._attempt)
        self._tracker.record_end(self.choice, end)
        return end

    def _report_end(self, kind: EndKind | None, end: AttemptEnd | None) -> None:
        if self._is_recorded:
            return
        self._is_recorded = True
        self._tracker.release(self._permit, end)
        if kind is EndKind.BROKEN and self._tracker.is_partitioned(self.choice):
            kind = None
        self._reporter.report_end(kind, self._tracker.record_times(self._attempt))


def _slot_end(end: AttemptEnd | None) -> SlotEnd:
    """Return what the end of an attempt means for the slot that it held."""
    if end is None:
        return SlotEnd.CUT
    if end.kind in (EndKind.NOT_SENT, EndKind.BARRED):
        return SlotEnd.UNSENT
    if end.kind in (EndKind.REJECTED, EndKind.FAILED) and end.detail in _FULL_STATUSES:
        return SlotEnd.REJECTED
    return SlotEnd.CUT if end.kind in (EndKind.BROKEN, EndKind.MOVED) else SlotEnd.SERVED
