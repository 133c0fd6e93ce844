"""Finds an upstream that takes over a request whose upstream is silent.

The silent upstream may still answer, so its connection stays open until another upstream has the
request and has not refused it. If anything for that is missing, the answer is awaited, and a
replacement is looked for again later.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from lotushill.availability.replacement_conditions import ReplacementConditions
from lotushill.availability.replacement_conditions import replacement_obstacle
from lotushill.availability.retry_budget import NO_RETRY_LEFT
from lotushill.links.slot_messages import SlotEnd
from lotushill.requests.attempt_end import ReplacedError
from lotushill.requests.exceptions import SilentUpstreamError
from lotushill.requests.exceptions import UpstreamError
from lotushill.requests.tracked_attempt import TrackedAttempt
from lotushill.scheduling.placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from lotushill.availability.retry_budget import ReservedRetries
    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_end import AttemptEnd
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.continuation import Continuation
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.tracked_attempt import AttemptTracker
    from lotushill.requests.upstream_search import UpstreamSearch
    from lotushill.scheduling.request import Request

T = TypeVar("T")

_REFUSAL_SECONDS = 0.05
"""Longest time for which a replacement may still refuse the request before the silent upstream is
given up. Refusals are answered at once. An upstream drops a run 0.3 seconds after the end of its
connection at the latest, and no run may be executed at two upstreams for more than 0.4 seconds."""
_FIRST_PAUSE_SECONDS = 0.1
_MAX_PAUSE_SECONDS = 0.8


class ReplacementSearch:
    """Replaces the silent upstream of one request."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        answer: ClientAnswer,
        splitter: EventSplitter,
        search: UpstreamSearch,
        continuation: Continuation,
        tracker: AttemptTracker,
    ) -> None:
        """Find upstreams with `search`, or the run's backup with `continuation`."""
        self._components = components
        self._request = request
        self._answer = answer
        self._splitter = splitter
        self._search = search
        self._continuation = continuation
        self._tracker = tracker
        self._refusals = 0
        self._acceptance_known: asyncio.Event | None = None
        """Set once a replacement that has the request accepts or refuses it; None if none has."""
        self._logged_obstacle = ""

    async def read_unless_replaced(
        self, read: Coroutine[object, object, T], silent: Choice, may_replace: Callable[[], bool]
    ) -> T:
        """Return what `read` returns; raise ReplacedError once another upstream has the request.

        A replacement is only looked for while `may_replace` returns True. Whatever was reserved for
        one is released if the silent upstream continues first.
        """
        reading = asyncio.create_task(read)
        replacing = asyncio.create_task(self._find(silent, may_replace))
        is_replaced = False
        try:
            await asyncio.wait((reading, replacing), return_when=asyncio.FIRST_COMPLETED)
            error = reading.exception() if reading.done() else SilentUpstreamError("no event")
            if error is not None and self._acceptance_known is not None:
                # The request is sent to a third upstream only if the second one refuses it.
                await self._acceptance_known.wait()
            if replacing.done() and replacing.exception() is not None:
                self._log_fault(replacing.exception())
                return await reading
            if not isinstance(error, UpstreamError) or not replacing.done():
                return reading.result()
            successor = replacing.result()
            is_replaced = True
            raise ReplacedError(error, successor)
        finally:
            reading.cancel()
            replacing.cancel()
            if not is_replaced:
                replacing.add_done_callback(_abandon_result)

    async def _find(self, silent: Choice, may_replace: Callable[[], bool]) -> TrackedAttempt:
        """Return an attempt that replaces the silent one; try again until there is one."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            found = await self._try_replace(silent, may_replace)
            if isinstance(found, TrackedAttempt):
                return found
            self._log_obstacle(silent, found)
            await asyncio.sleep(pause)
            pause = min(_MAX_PAUSE_SECONDS, 2 * pause)

    async def _try_replace(
        self, silent: Choice, may_replace: Callable[[], bool]
    ) -> TrackedAttempt | str:
        """Return an attempt that replaces the silent one, or why there is none now."""
        await self._components.suspension.wait_until_settled()
        obstacle = self._obstacle(silent, may_replace)
        if obstacle:
            return obstacle
        placement = await self._place(silent)
        if not isinstance(placement, Placement):
            return placement
        # The request may have waited for room for seconds, without holding a retry meanwhile.
        obstacle = self._obstacle(silent, may_replace)
        if obstacle:
            self._give_up(placement)
            return obstacle
        return await self._send_to(placement)

    def _obstacle(self, silent: Choice, may_replace: Callable[[], bool]) -> str:
        """Return why the silent upstream must not be replaced now, empty if it may be."""
        if not may_replace():
            return "run was stopped"
        service, now = self._request.service.name, self._components.clock()
        obstacle = replacement_obstacle(self._conditions(silent))
        return obstacle or (
            "" if self._components.budgets.has_left(service, now) else NO_RETRY_LEFT
        )

    def _conditions(self, silent: Choice) -> ReplacementConditions:
        route = self._request.route
        return ReplacementConditions(
            repeatable=route.repeatable,
            has_memory_elsewhere=silent.backup is not None or silent.moved is not None,
            can_continue=not self._answer.started or self._splitter.event_count > 0,
            runs=self._tracker.runs,
            max_attempts=route.max_attempts,
            fails_upstreams=not self._components.quarantine.may_retry(self._request),
            refusals=self._refusals,
        )

    async def _place(self, silent: Choice) -> Placement | str:
        """Return a placement at another upstream with room, or why there is none."""
        if self._request.route.repeatable:
            result = await self._search.find_replacement(silent.upstream.id)
            return result if isinstance(result, Placement) else result.refusal.value
        if silent.moved is not None:
            return self._continuation.source_placement(silent) or "source not usable"
        assert silent.backup is not None
        return self._continuation.backup_placement(silent.backup) or "backup not usable"

    async def _send_to(self, placement: Placement) -> TrackedAttempt | str:
        """Send the request to an upstream with room, if there are a retry and a permit for it."""
        service, upstream = self._request.service.name, placement.choice.upstream
        retries = self._components.budgets.try_reserve(service, 1, self._components.clock())
        if retries is None:
            self._give_up(placement)
            return NO_RETRY_LEFT
        permit = None
        try:
            permit = await self._components.gate.admit(
                upstream, self._request.need, self._request.ends
            )
            if permit is None:
                await self._search.defer(upstream.id)
                return "no permit"
            if placement.choice.moved is not None:
                permit = self._continuation.memory_permit(upstream, permit)
            if not retries.try_spend(self._components.clock()):
                self._components.gate.release(permit, SlotEnd.UNSENT)
                permit = None
                return NO_RETRY_LEFT
            return await self._send(self._tracker.begin(placement, permit), retries)
        finally:
            retries.release()
            if permit is None:
                self._give_up(placement)

    def _give_up(self, placement: Placement) -> None:
        """Give up a placement that is not used."""
        if placement.scheduler:
            self._components.shared_load.give_up(placement.placed.request)

    async def _send(
        self, attempt: TrackedAttempt, retries: ReservedRetries
    ) -> TrackedAttempt | str:
        """Send the request to its new upstream; return the attempt unless it is refused."""
        decision = asyncio.Event()
        try:
            end = await attempt.send()
            if end is not None:
                retries.take_back()
            else:
                self._acceptance_known = decision
                # A handle serves once, so both connections may stay open until a head arrives.
                is_moved = attempt.choice.moved is not None
                if not await attempt.is_refused(None if is_moved else _REFUSAL_SECONDS):
                    return attempt
                self._refusals += 1
                self._decide(decision)
                end = await attempt.relay(None)
                self._check_upstream(attempt.choice, end)
            if attempt.choice.moved is None:
                self._search.exclude(attempt.choice.upstream.id)
            return end.kind.value
        except BaseException:
            attempt.abandon()
            raise
        finally:
            self._decide(decision)

    def _decide(self, decision: asyncio.Event) -> None:
        """Record that the replacement has accepted or refused the request, or was given up."""
        decision.set()
        self._acceptance_known = None

    def _check_upstream(self, choice: Choice, end: AttemptEnd) -> None:
        """Start a check whether the upstream itself failed, if its connection was lost."""
        if end.connection_lost:
            begun = end.answer_started or self._splitter.event_count > 0
            self._components.quarantine.record_interruption(self._request, choice.upstream, begun)

    def _log_fault(self, fault: BaseException | None) -> None:
        """Log an unexpected exception of the search; the silent upstream is read on."""
        self._components.log.note(
            "request.fault", request=self._request.demand.request_id, trace=repr(fault)
        )

    def _log_obstacle(self, silent: Choice, obstacle: str) -> None:
        """Log why a silent upstream is not replaced, once for each reason in turn."""
        if obstacle == self._logged_obstacle:
            return
        self._logged_obstacle = obstacle
        self._components.log.note(
            "attempt.kept",
            request=self._request.demand.request_id,
            upstream=silent.upstream.id,
            why=obstacle,
        )


def _abandon_result(replacing: asyncio.Task[TrackedAttempt]) -> None:
    """Abandon a replacement that was found when it was not needed any more."""
    if not replacing.cancelled() and replacing.exception() is None:
        replacing.result().abandon()
