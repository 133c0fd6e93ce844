"""Continues an interrupted run at another upstream that holds a copy of its memory.

This is the same run, so it may continue even if the request must not run twice. An upstream that
does not have the memory runs nothing, and the answer stays truncated.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.slot_messages import SlotEnd
from lotushill.placement.choice import Choice
from lotushill.placement.choice import MovedMemory
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.continuation_tries import ContinuationTries

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.handover import Handover
    from lotushill.requests.handover import RunMemory
    from lotushill.requests.stream_version import StreamVersion
    from lotushill.requests.upstream_gate import Permit
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placement import Placement
    from lotushill.scheduling.request import Request

    SendAttempt = Callable[[Placement, Permit], Awaitable[AttemptEnd]]

_PREDICTED_CONTINUE_SECONDS = 0.1
"""Predicted time until a run continues from its copy: a new connection and a few engine steps."""
_MAX_FAILURE_RATE = 0.05
"""Failure rate from which a backup is not used; any failure in the last seconds exceeds it."""
_NOT_SENT = (EndKind.NOT_SENT, EndKind.BARRED)
_OTHER_INCARNATION = "421"
"""Status by which an upstream states that it is not the incarnation that held the memory."""
_NOTICE_MARGIN_SECONDS = 0.15
"""Time before the end of an upstream's notice from which it is not sent a run any more."""
_MAX_WAIT_IF_REPEATABLE_SECONDS = 0.6
"""Longest wait for the memory of a run that can be repeated without it; long enough to ask the
source after the connection to the target was lost."""
_MAX_BACKUP_REFUSALS = 4
"""Number of refusals from which a backup counts as having no copy."""


class Continuation:
    """Sends an interrupted request to upstreams that hold the memory of its run."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        splitter: EventSplitter,
        version: StreamVersion,
        attempt: SendAttempt,
        may_repeat: Callable[[], bool],
    ) -> None:
        """Continue after the events of `splitter`, at their `version`.

        `attempt` sends the request to an upstream.

        `may_repeat` returns whether the request may be repeated without its memory.
        """
        self._components = components
        self._request = request
        self._splitter = splitter
        self._version = version
        self._attempt = attempt
        self._may_repeat = may_repeat
        self._clock = components.clock

    async def continue_from_backup(self, backup: Upstream, interrupted: AttemptEnd) -> AttemptEnd:
        """Continue at the upstream to which the run's memory was copied while it ran.

        If it refuses the run for a moment, it is asked a few more times while the client waits. An
        upstream without the copy refuses in the same way.
        """
        if not self._can_continue_at(backup):
            return interrupted
        tries = self._new_tries(interrupted)
        refusals = 0
        while refusals < _MAX_BACKUP_REFUSALS:
            end = await self._try_backup(backup)
            if end is not None:
                self._log_continuation(backup, "backup", end, end.is_continued)
                if end.is_continued:
                    return end
                if not await self._may_ask_again(backup, end):
                    break
                refusals += 1
            pause = tries.next_pause(self._clock())
            if pause is None:
                break
            await asyncio.sleep(pause)
        return interrupted

    async def _try_backup(self, backup: Upstream) -> AttemptEnd | None:
        """Ask the backup to continue the run; return None if it must not be asked now."""
        if not self._components.gate.accepts_requests(backup.id):
            return None
        permit = await self._admit(backup)
        if permit is None:
            return None
        if not self._spend_retry():
            self._components.gate.release(permit, SlotEnd.UNSENT)
            return None
        return await self._continue_run(self._choice(backup), permit)

    async def _admit(self, upstream: Upstream) -> Permit | None:
        return await self._components.gate.admit(upstream, self._request.need, self._request.ends)

    async def _may_ask_again(self, backup: Upstream, end: AttemptEnd) -> bool:
        """Return whether a backup certainly did not run the request and may still have the copy."""
        is_refused = end.kind in (*_NOT_SENT, EndKind.REJECTED)
        return is_refused and not await self._is_gone(backup, end)

    def backup_placement(self, backup: Upstream) -> Placement | None:
        """Return the placement of the run at its backup, None if it must not be sent there."""
        if not self._can_continue_at(backup):
            return None
        return self._components.placer.continuation_placement(self._request, self._choice(backup))

    def source_placement(self, silent: Choice) -> Placement | None:
        """Return the placement of a moved run at its source, None if that must not be asked.

        The source holds the memory of the run until the silent target has used it.
        """
        if silent.moved is None or silent.returned_to_source:
            return None
        sources = [
            item
            for item in self._components.upstreams.all()
            if item.address == silent.moved.source
            and item.service == silent.upstream.service
            and self._version.accepts(item)
        ]
        if not sources or not self._may_return_to(sources[0]):
            return None
        choice = replace(self._choice(sources[0]), moved=silent.moved)
        return self._components.placer.continuation_placement(self._request, choice)

    def _may_return_to(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes a run now whose memory it holds."""
        in_cooldown = self._components.gate.is_in_cooldown(upstream.id)
        return not in_cooldown and self._clock() < self._takes_memory_until(upstream)

    def _takes_memory_until(self, upstream: Upstream) -> float:
        """Return when the notice of an upstream that leaves ends, infinity if it does not leave."""
        now = self._clock()
        seconds_left = self._components.mover.seconds_until_shutdown(upstream.id, now)
        return math.inf if seconds_left is None else now + seconds_left - _NOTICE_MARGIN_SECONDS

    def memory_permit(self, upstream: Upstream, admitted: Permit) -> Permit:
        """Return the permit for a run that was admitted at an upstream that holds its memory."""
        return replace(admitted, takes_memory_until=self._takes_memory_until(upstream))

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
        is_usable = is_healthy and is_accepting and self._version.accepts(backup)
        return is_known and is_usable and self._splitter.event_count > 0

    async def continue_from_handover(
        self,
        handover: Handover,
        interrupted: AttemptEnd,
        may_continue: Callable[[], Awaitable[bool]],
    ) -> AttemptEnd:
        """Continue at the target of a move, or at the source, wherever the run's memory is held.

        `may_continue` returns whether the request may be sent on at all. Return the end of the run
        there, which may have been moved once more, or else the end as broken.
        """
        end = None
        is_used = False
        self._components.mover.continuing[self._request.key] = handover
        try:
            if interrupted.kind is not EndKind.BROKEN or await may_continue():
                end = await self._ask_for_memory(handover, interrupted)
            is_used = end is not None and (end.answer_started or not _is_restarted(end))
        finally:
            self._components.mover.continuing.pop(self._request.key, None)
            if is_used:
                handover.note_used()
            else:
                self._components.mover.release_handover(handover)
        return self._final_end(end, interrupted)

    async def _ask_for_memory(
        self, handover: Handover, interrupted: AttemptEnd
    ) -> AttemptEnd | None:
        """Ask the upstreams that hold the memory, and again those that refuse it for a moment.

        Return the end of the run at one of them, None if none has continued it while its client
        waits. A stream that can be repeated is repeated without its memory instead of waiting long.
        """
        await handover.wait_for_memory()
        started_at = self._clock()
        tries = self._new_tries(interrupted)
        while True:
            end = await self._try_memories(handover, tries)
            if end is not None:
                return end
            now = self._clock()
            waited = now - started_at >= _MAX_WAIT_IF_REPEATABLE_SECONDS
            if (waited and self._may_repeat()) or (
                handover.calls_done and not tries.any_left(handover.memories())
            ):
                return None
            pause = tries.next_pause(now)
            if pause is None:
                return None
            await asyncio.sleep(pause)

    def _new_tries(self, interrupted: AttemptEnd) -> ContinuationTries:
        """Return the tries to continue a run for as long as its client waits for an event."""
        silent_since = interrupted.last_event_at or self._clock()
        return ContinuationTries(
            min(self._request.ends, silent_since + self._request.need.event_timeout)
        )

    async def _try_memories(
        self, handover: Handover, tries: ContinuationTries
    ) -> AttemptEnd | None:
        """Ask each upstream that may accept the run now; return the end if one has continued it."""
        for run_memory in handover.memories():
            holder = run_memory.upstream
            may_ask = tries.may_ask(holder.id, self._clock())
            if not may_ask or not self._takes_run(run_memory, tries):
                continue
            permit = await self._permit(run_memory)
            if permit is None:
                continue
            if not self._spend(handover):
                self._components.gate.release(permit, SlotEnd.UNSENT)
                continue
            events = self._splitter.event_count
            handover.note_continuing()
            end = await self._continue_from(run_memory, permit)
            is_source = holder.id == run_memory.source.id
            has_events = self._splitter.event_count > events
            has_continued = has_events or _has_used_memory(end)
            self._log_continuation(holder, "source" if is_source else "target", end, has_continued)
            if has_continued:
                return end
            if end.kind in _NOT_SENT and handover.retries is not None:
                handover.retries.take_back()
            is_gone = await self._is_gone(holder, end)
            may_have_run = end.kind is EndKind.BROKEN
            tries.note_refusal(holder.id, may_have_run, is_gone, self._clock())
        return None

    def _takes_run(self, run_memory: RunMemory, tries: ContinuationTries) -> bool:
        """Return whether an upstream that holds the memory of a run may be sent the run now.

        One that leaves may, until its notice is over. A cooldown is respected, except that the
        source is asked once whether it takes back a run that it has just stopped.
        """
        holder = run_memory.upstream
        is_source = holder.id == run_memory.source.id
        if is_source and not tries.was_asked(holder.id):
            return self._clock() < self._takes_memory_until(holder)
        return self._may_return_to(holder)

    async def _permit(self, run_memory: RunMemory) -> Permit | None:
        """Return the permit for a run that continues, None if the upstream's limit allows none."""
        upstream = run_memory.upstream
        admitted = await self._admit(upstream)
        return self.memory_permit(upstream, admitted) if admitted is not None else None

    def _spend(self, handover: Handover) -> bool:
        if handover.retries is not None:
            return handover.retries.try_spend(self._clock())
        return self._spend_retry()

    async def _is_gone(self, upstream: Upstream, end: AttemptEnd) -> bool:
        """Return whether an upstream that refused a run has ended, with the memory it held."""
        if end.kind is EndKind.REJECTED:
            return end.detail == _OTHER_INCARNATION
        if end.kind is not EndKind.NOT_SENT and not end.connection_lost:
            return False
        return await self._components.pool.has_ended(upstream) is True

    async def _continue_from(self, run_memory: RunMemory, permit: Permit) -> AttemptEnd:
        choice = self._choice(run_memory.upstream)
        moved = MovedMemory(run_memory.source.address, run_memory.handle)
        return await self._continue_run(replace(choice, moved=moved), permit)

    def _log_continuation(
        self, upstream: Upstream, place: str, end: AttemptEnd, has_continued: bool
    ) -> None:
        self._components.log.note(
            "run.continued" if has_continued else "run.not_continued",
            request=self._request.demand.request_id,
            upstream=upstream.id,
            place=place,
            kind=end.kind.value,
            why=end.detail,
        )

    def _final_end(self, end: AttemptEnd | None, interrupted: AttemptEnd) -> AttemptEnd:
        """Return how the run has ended; as broken if it was not continued."""
        if end is not None and end.is_continued:
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


def _is_restarted(end: AttemptEnd) -> bool:
    """Return whether a run goes on elsewhere without its memory."""
    return end.successor is not None and end.successor.choice.moved is None


def _has_used_memory(end: AttemptEnd) -> bool:
    """Return whether an attempt that brought no event has used the memory it was sent to.

    Otherwise the memory may still be held: a handle serves once, and an upstream that has used it
    states that it did not run the request again.
    """
    return end.kind in (EndKind.WHOLE, EndKind.MOVED) or end.successor is not None
