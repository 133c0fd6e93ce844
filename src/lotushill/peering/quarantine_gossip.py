"""Detects which requests make upstreams fail, and notifies the other gateways."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import anyio

from lotushill.links.quarantine_messages import ClearedNews
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import SuspectNews
from lotushill.links.quarantine_messages import SuspectState
from lotushill.peering.part_gossip import PartGossip
from lotushill.quarantine.failure_watch import FailureWatch
from lotushill.quarantine.failure_watch import InterruptedRequest
from lotushill.quarantine.failure_watch import Listing
from lotushill.quarantine.suspected_part import SuspectedPart
from lotushill.quarantine.update_schedule import UpdateSchedule

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from lotushill.event_log import EventLog
    from lotushill.peering.group_gossip import GroupGossip
    from lotushill.quarantine.quarantine import Quarantine
    from lotushill.quarantine.stored_hold import StoredHold
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request
    from lotushill.views.upstream_view import UpstreamView

    Clock = Callable[[], float]

_FAILURES_TO_STOP_RETRIES = 2
"""Number of upstream failures during a request from which an arrival of it is not retried."""
_MAX_SUSPECTS_PER_DATAGRAM = 8
_MAX_PATH_LENGTH = 120
_MAX_UPSTREAMS_SENT = 4
"""Maximum number of failed upstreams sent with a suspect, which suffices to hold it."""


class QuarantineGossip:
    """Connects the request path and the other gateways to the quarantine."""

    def __init__(
        self,
        name: str,
        quarantine: Quarantine,
        groups: GroupGossip,
        upstreams: UpstreamView,
        has_failed: Callable[[Upstream], Coroutine[Any, Any, bool | None]],
        broadcast: Callable[[SuspectNews | ClearedNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        """Query `has_failed` on upstreams that interrupted a request.

        `broadcast` sends to all other gateways.
        """
        self._name = name
        self._quarantine = quarantine
        self._groups = groups
        self._upstreams = upstreams
        self._has_failed = has_failed
        self._broadcast = broadcast
        self._log = log
        self._clock = clock
        self._update_schedule = UpdateSchedule(rng)
        self._parts = PartGossip(quarantine, self._update_schedule, log, clock)
        self._failure_watch = FailureWatch()
        self._failure_checks: dict[str, asyncio.Task[bool | None]] = {}
        """Pending queries whether an upstream has failed, by upstream."""
        self._check_tasks: set[asyncio.Task[None]] = set()
        self._new_update = anyio.Event()
        self.upstream_failures = 0
        """Number of upstream failures during requests of this gateway, counted once per request."""
        self.held_count = 0
        """Number of held requests, which were sent to no upstream."""

    def is_held(self, request: Request) -> bool:
        """Return whether a request is held, that is, to be sent to no upstream."""
        if self._quarantine.is_empty:
            return False
        now = self._clock()
        return self._quarantine.is_held(request.identity, now) or any(
            self._quarantine.is_held(part.identity, now) for part in request.shared_parts
        )

    def may_retry(self, request: Request) -> bool:
        """Return whether an interrupted arrival may be sent to a further upstream."""
        if self._groups.is_isolated(request.groups):
            return False
        if self._quarantine.is_empty:
            return True
        if self._quarantine.failure_count(request.identity) >= _FAILURES_TO_STOP_RETRIES:
            return False
        return not self._parts.has_doubtful(request) and not self.is_held(request)

    def record_held(self, request: Request) -> None:
        """Record that a held request was sent to no upstream."""
        self.held_count += 1
        self._log.note(
            "quarantine.kept_back",
            request=request.demand.request_id,
            identity=request.identity.hex(),
            team=request.team,
            parts=self._parts.held_labels(request),
        )

    def record_begun(self, request: Request) -> None:
        """Record the first event of a run that began anew: no part of its prompt is at fault."""
        if self._parts.record_begun(request):
            self._new_update.set()

    def record_completion(self, request: Request) -> None:
        """Record a completed request."""
        self._groups.record_completion(request.groups)
        if self._quarantine.record_completion(request.identity, self._clock()):
            self._update_schedule.schedule_cleared(request.identity)
            self._new_update.set()

    def record_interruption(
        self, request: Request, upstream: Upstream, answer_started: bool
    ) -> asyncio.Task[None]:
        """Start a task that checks whether the upstream of an interrupted request failed.

        `answer_started` states whether a part of the answer had arrived.
        """
        path = request.target.partition(b"?")[0].decode("latin-1")[:_MAX_PATH_LENGTH]
        groups = () if answer_started else request.groups
        interrupted = InterruptedRequest(
            request.identity,
            request.team,
            path,
            upstream.id,
            groups,
            request.shared_parts,
            self._clock(),
        )
        task = asyncio.create_task(self._check_failure(interrupted, upstream))
        self._check_tasks.add(task)
        task.add_done_callback(self._check_tasks.discard)
        return task

    async def _check_failure(self, interrupted: InterruptedRequest, upstream: Upstream) -> None:
        if self._listing(upstream.id) is not Listing.SERVING:
            # The upstream was leaving: a planned shutdown.
            return
        check = self._failure_checks.get(upstream.id)
        if check is None:
            check = asyncio.create_task(self._has_failed(upstream))
            self._failure_checks[upstream.id] = check
            check.add_done_callback(lambda _: self._failure_checks.pop(upstream.id, None))
        if await check:
            self._record_failure(interrupted)
        else:
            self._failure_watch.add(interrupted, self._clock())

    def _listing(self, upstream_id: str) -> Listing:
        listed = self._upstreams.find(upstream_id)
        if listed is None:
            return Listing.GONE
        return Listing.LEAVING if listed.draining else Listing.SERVING

    def _record_failure(self, interrupted: InterruptedRequest) -> None:
        now = self._clock()
        if interrupted.groups:
            self._parts.record_failure(interrupted)
            self._groups.record_upstream_failure(interrupted.groups, interrupted.upstream)
            self._new_update.set()
        if not self._quarantine.record_upstream_failure(
            interrupted.identity, interrupted.team, interrupted.path, interrupted.upstream, now
        ):
            return
        self.upstream_failures += 1
        self._log.note(
            "quarantine.end",
            identity=interrupted.identity.hex(),
            team=interrupted.team,
            path=interrupted.path,
            upstream=interrupted.upstream,
            parts=[f"{part.id:x}" for part in interrupted.shared_parts],
            begun=not interrupted.groups,
            ends=self._quarantine.failure_count(interrupted.identity),
            held=self._quarantine.is_held(interrupted.identity, now),
        )
        self._update_schedule.schedule_failure(interrupted.identity, now)
        self._schedule_known_good(interrupted.identity, now)
        self._new_update.set()

    def _schedule_known_good(self, identity: bytes, now: float) -> None:
        if self._quarantine.has_completed(identity, now):
            self._update_schedule.schedule_known_good(identity, now)

    def receive(self, update: SuspectNews | ClearedNews | GroupNews) -> None:
        """Merge an update from another gateway."""
        now = self._clock()
        if isinstance(update, GroupNews):
            self._groups.receive(update)
            self._new_update.set()
            return
        if isinstance(update, SuspectNews):
            for state in update.suspects:
                self._merge(state, now)
            return
        for identity in update.since:
            self._quarantine.clear(identity)
            self._update_schedule.cancel(identity)
        for identity in update.before:
            self._quarantine.mark_known_good(identity, now)
            self._update_schedule.cancel_known_good(identity)
        for begun in update.begun:
            self._parts.receive_begun(begun)

    def _merge(self, state: SuspectState, now: float) -> None:
        was_held = self._quarantine.is_held(state.identity, now)
        is_new = self._quarantine.merge_peer_state(state, now)
        if state.ages:
            self._parts.schedule_begun(state.identity)
            self._new_update.set()
        if not is_new:
            return
        if self._quarantine.is_held(state.identity, now) and not was_held:
            self._log.note(
                "quarantine.held",
                identity=state.identity.hex(),
                team=state.team,
                path=state.path,
                upstreams=list(state.upstreams),
            )
        self._schedule_known_good(state.identity, now)
        self._new_update.set()

    def replace_stored(self, holds: dict[bytes, StoredHold]) -> None:
        """Replace the known holds of the store by those that it has now."""
        for identity in self._quarantine.replace_stored(holds):
            self._log.note("quarantine.released", identity=identity.hex())

    def process_pending(self) -> None:
        """Detect upstreams that have failed since; repeat the holds that the store lacks."""
        now = self._clock()
        self._quarantine.expire(now)
        self._groups.expire()
        for interrupted in self._failure_watch.pop_failed(self._listing, now):
            self._record_failure(interrupted)
        for identity in self._quarantine.unstored():
            self._update_schedule.schedule_held_repeat(identity, now)
            self._new_update.set()

    async def run(self) -> None:
        """Send updates forever as they become due; while none is due, the task sleeps."""
        while True:
            wait = self.next_due() - self._clock()
            if wait > 0:
                with anyio.move_on_after(wait if wait < math.inf else None):
                    await self._new_update.wait()
            self._new_update = anyio.Event()
            self.send_due()

    def next_due(self) -> float:
        """Return when the next update is due, infinity if none is."""
        return min(
            self._update_schedule.next_due(),
            self._groups.next_due(),
            self._quarantine.parts.next_judgement(),
        )

    def send_due(self) -> None:
        """Judge the parts and send the updates that are due."""
        self._parts.judge()
        due = self._update_schedule.pop_due(self._clock())
        states = [
            state for item in due.suspects if (state := self._suspect_state(item)) is not None
        ]
        for start in range(0, len(states), _MAX_SUSPECTS_PER_DATAGRAM):
            batch = tuple(states[start : start + _MAX_SUSPECTS_PER_DATAGRAM])
            self._broadcast(SuspectNews(self._name, batch))
        begun = self._parts.pop_begun(due.begun)
        if due.cleared_since or due.cleared_before or begun:
            self._broadcast(ClearedNews(self._name, due.cleared_since, due.cleared_before, begun))
        self._groups.send_due()

    def _suspect_state(self, identity: bytes) -> SuspectState | None:
        suspect = self._quarantine.find(identity)
        if suspect is None or not suspect.failed_upstreams:
            return None
        if isinstance(suspect, SuspectedPart):
            return self._parts.state(identity, suspect)
        upstreams = tuple(suspect.failed_upstreams)[-_MAX_UPSTREAMS_SENT:]
        return SuspectState(identity, suspect.team, suspect.path, upstreams)
