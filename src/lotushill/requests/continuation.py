"""Continues an interrupted run at another upstream that holds a copy of its memory.

This is the same run, so it may continue even if the request must not run twice. An upstream that
does not have the memory runs nothing, and the run ends as it was interrupted.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import Choice
from lotushill.placement.choice import MovedMemory
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.upstream_gate import Permit

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.handover import Handover
    from lotushill.requests.handover import RunMemory
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placement import Placement
    from lotushill.scheduling.request import Request

    SendAttempt = Callable[[Placement, Permit], Awaitable[AttemptEnd]]

_PREDICTED_CONTINUE_SECONDS = 0.1
"""Predicted time until a run continues from its copy: a new connection and a few engine steps."""
_MAX_FAILURE_RATE = 0.05
"""Failure rate from which a backup is not used; any failure in the last seconds exceeds it."""
_MEMORY_UNUSED = (EndKind.NOT_SENT, EndKind.BARRED, EndKind.REJECTED)
"""Ends of attempts that did not use the memory, which can still be where it was before."""


class Continuation:
    """Sends an interrupted request to upstreams that hold the memory of its run."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        splitter: EventSplitter,
        attempt: SendAttempt,
    ) -> None:
        """Continue after the events of `splitter`; `attempt` sends the request to an upstream."""
        self._components = components
        self._request = request
        self._splitter = splitter
        self._attempt = attempt
        self._clock = components.clock

    async def continue_from_backup(self, backup: Upstream, interrupted: AttemptEnd) -> AttemptEnd:
        """Continue at the upstream to which the run's memory was copied while it ran."""
        if not self._can_continue_at(backup):
            return interrupted
        permit = await self._components.gate.admit(backup, self._request.need)
        if permit is None or not self._spend_retry():
            return interrupted
        end = await self._continue_run(self._choice(backup), permit)
        return end if end.kind is EndKind.WHOLE else interrupted

    def _can_continue_at(self, backup: Upstream) -> bool:
        """Return whether the upstream should have the copy, or will report that it has not.

        Before the first event nothing was copied, and an upstream whose answers get lost may run
        the request without looking for the copy.
        """
        service = self._request.service.name
        is_known = any(item.id == backup.id for item in self._components.upstreams.of(service))
        failures = self._components.fleet.load(backup.id).failures
        is_healthy = failures.rate(self._clock()) < _MAX_FAILURE_RATE
        is_accepting = self._components.gate.accepts_requests(backup.id)
        return is_known and is_healthy and is_accepting and self._splitter.event_count > 0

    async def continue_from_handover(
        self, handover: Handover, interrupted: AttemptEnd
    ) -> AttemptEnd:
        """Continue at the target of a move, or at the source, wherever the run's memory is held.

        Return the end of the run there, which may have been moved once more, or else the end as
        broken.
        """
        used = False
        try:
            retry_spent = handover.retry_spent
            for run_memory in await handover.wait_for_memory():
                if not retry_spent and not self._spend_retry():
                    break
                retry_spent = False
                end = await self._continue_from(run_memory)
                used = end.kind not in _MEMORY_UNUSED
                self._log_continuation(run_memory, end)
                if used:
                    return self._final_end(end, interrupted)
        finally:
            if used:
                handover.note_used()
            else:
                self._components.mover.release_handover(handover)
        return self._final_end(None, interrupted)

    async def _continue_from(self, run_memory: RunMemory) -> AttemptEnd:
        permit = Permit(
            run_memory.upstream.id, returns_to_source=run_memory.upstream.id == run_memory.source.id
        )
        choice = self._choice(run_memory.upstream)
        moved = MovedMemory(run_memory.source.address, run_memory.handle)
        return await self._continue_run(replace(choice, moved=moved), permit)

    def _log_continuation(self, run_memory: RunMemory, end: AttemptEnd) -> None:
        returned = run_memory.upstream.id == run_memory.source.id
        self._components.log.note(
            "run.continued" if end.kind is EndKind.WHOLE else "run.not_continued",
            request=self._request.demand.request_id,
            upstream=run_memory.upstream.id,
            place="source" if returned else "target",
            kind=end.kind.value,
            why=end.detail,
        )

    def _final_end(self, end: AttemptEnd | None, interrupted: AttemptEnd) -> AttemptEnd:
        """Return how the run has ended; as broken if it was not continued."""
        is_continued = end is not None and (end.kind is EndKind.WHOLE or end.handover is not None)
        if end is not None and is_continued:
            self._components.metrics.record_moved_run("went on")
            return end
        self._components.metrics.record_moved_run("cut")
        self._components.log.note(
            "run.cut",
            request=self._request.demand.request_id,
            why=end.detail if end is not None else "no memory accepted",
            events=self._splitter.event_count,
        )
        return replace(interrupted, kind=EndKind.BROKEN, handover=None)

    async def _continue_run(self, choice: Choice, permit: Permit) -> AttemptEnd:
        self._splitter.drop_partial()
        return await self._attempt(
            self._components.placer.continuation_placement(self._request, choice), permit
        )

    def _choice(self, upstream: Upstream) -> Choice:
        seconds = self._components.fleet.pace(self._request.service.name).stream_seconds
        return Choice(
            upstream, 0.0, _PREDICTED_CONTINUE_SECONDS, 0, 0, seconds, resumes_from_copy=True
        )

    def _spend_retry(self) -> bool:
        return self._components.budgets.try_spend(self._request.service.name, self._clock())
