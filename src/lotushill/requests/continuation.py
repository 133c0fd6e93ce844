"""Goes on with a run elsewhere, from the copy of its memory there.

It is the same run, so that it may go on also where a request must not run twice. Without its memory
an upstream runs nothing, and the run has ended as it was cut.
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
    from lotushill.requests.handover import Handover
    from lotushill.requests.handover import RunMemory
    from lotushill.requests.parts import GatewayParts
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placement import Placement
    from lotushill.scheduling.request import Request

    Try = Callable[[Placement, Permit], Awaitable[AttemptEnd]]

_CONTINUE_SECONDS = 0.1
"""Predicted until a run goes on from its copy: a connection and a few steps."""
_SOUND_RATE = 0.05
"""A run goes on at no upstream with more failures: above it any of the last seconds shows."""
_NOT_TAKEN = (EndKind.NOT_SENT, EndKind.BARRED, EndKind.REJECTED)
"""The memory has not been used: it can be where it was before."""


class Continuation:
    """Sends one request on to upstreams that hold the memory of its run."""

    def __init__(
        self, parts: GatewayParts, request: Request, splitter: EventSplitter, attempt: Try
    ) -> None:
        """Go on after the events of `splitter`; `attempt` sends the request to an upstream."""
        self._parts = parts
        self._request = request
        self._splitter = splitter
        self._attempt = attempt
        self._clock = parts.clock

    # From a copy that grew with the run

    async def continue_from_backup(self, backup: Upstream, cut: AttemptEnd) -> AttemptEnd:
        """Go on at the upstream to which the run's memory was copied as it grew."""
        if not self._may_go_on_at(backup):
            return cut
        permit = await self._parts.gate.admit(backup, self._request.need)
        if permit is None or not self._spend():
            return cut
        end = await self._go_on(self._choice(backup), permit)
        return end if end.kind is EndKind.WHOLE else cut

    def _may_go_on_at(self, backup: Upstream) -> bool:
        """Return whether the copy can be trusted to be there, and its upstream to say if not.

        Before the first event nothing was copied, and an upstream that loses answers may run what
        it is sent without looking for the copy.
        """
        service = self._request.service.name
        known = any(item.id == backup.id for item in self._parts.upstreams.of(service))
        failures = self._parts.fleet.load(backup.id).failures
        sound = failures.rate(self._clock()) < _SOUND_RATE
        wanted = self._parts.gate.accepts_requests(backup.id)
        return known and sound and wanted and self._splitter.event_count > 0

    # From a handover

    async def continue_from_handover(self, handover: Handover, cut: AttemptEnd) -> AttemptEnd:
        """Go on where a move has brought the run's memory, or where it was kept.

        Return the end of the run there, which may have been moved once more, or that it was cut.
        """
        used = False
        try:
            paid = handover.retry_spent
            for held in await handover.wait_for_memory():
                if not paid and not self._spend():
                    break
                paid = False
                end = await self._go_on_from(held)
                used = end.kind not in _NOT_TAKEN
                if used:
                    return self._after(end, cut)
        finally:
            if used:
                handover.note_used()
            else:
                self._parts.mover.release_handover(handover)
        return self._after(None, cut)

    async def _go_on_from(self, held: RunMemory) -> AttemptEnd:
        permit = Permit(held.upstream.id, returns_to_source=held.upstream.id == held.source.id)
        choice = self._choice(held.upstream)
        moved = MovedMemory(held.source.address, held.handle)
        return await self._go_on(replace(choice, moved=moved), permit)

    def _after(self, end: AttemptEnd | None, cut: AttemptEnd) -> AttemptEnd:
        """Return how the run has ended: as it was cut, where it did not go on."""
        goes_on = end is not None and (end.kind is EndKind.WHOLE or end.handover is not None)
        if end is not None and goes_on:
            self._parts.metrics.record_moved_run("went on")
            return end
        self._parts.metrics.record_moved_run("cut")
        return replace(cut, kind=EndKind.BROKEN, handover=None)

    # Both

    async def _go_on(self, choice: Choice, permit: Permit) -> AttemptEnd:
        self._splitter.drop_partial()
        return await self._attempt(
            self._parts.placer.continuation_placement(self._request, choice), permit
        )

    def _choice(self, upstream: Upstream) -> Choice:
        seconds = self._parts.fleet.pace(self._request.service.name).stream_seconds
        return Choice(upstream, 0.0, _CONTINUE_SECONDS, 0, 0, seconds, resumes_from_copy=True)

    def _spend(self) -> bool:
        return self._parts.budgets.spend(self._request.service.name, self._clock())
