"""Selection of runs to move to other upstreams, and the handovers in progress.

Only the gateway that relays a stream decides whether its run is moved, and makes one handover of a
run at a time.
"""

from __future__ import annotations

import asyncio
import functools
import math
from typing import TYPE_CHECKING

from lotushill.availability.retry_budget import NO_RETRY_LEFT
from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.moves.move_links import MoveLinks
from lotushill.moves.move_plan import Move
from lotushill.moves.move_plan import copy_seconds
from lotushill.moves.move_plan import plan_move
from lotushill.moves.move_plan import sort_by_urgency
from lotushill.moves.notices import Notices
from lotushill.moves.stalls import StallThresholds
from lotushill.moves.stop_conditions import RETRIES_PER_STOP
from lotushill.moves.stop_conditions import StopConditions
from lotushill.moves.stop_conditions import stop_obstacle
from lotushill.requests.handover import NO_ANSWER
from lotushill.requests.handover import Handover
from lotushill.requests.handover import Phase
from lotushill.requests.stream_version import StreamVersion
from lotushill.scheduling.placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from lotushill.availability.retry_budget import ReservedRetries
    from lotushill.event_log import EventLog
    from lotushill.moves.move_plan import Cause
    from lotushill.peering.quarantine_gossip import QuarantineGossip
    from lotushill.placement.choice import Choice
    from lotushill.placement.fleet import Fleet
    from lotushill.placement.messages import Placed
    from lotushill.process.metrics import Metrics
    from lotushill.requests.engine_memory_client import EngineMemoryClient
    from lotushill.requests.isolation_policy import IsolationPolicy
    from lotushill.requests.movable_run import MovableRun
    from lotushill.requests.retry_budgets import RetryBudgets
    from lotushill.requests.upstream_gate import UpstreamGate
    from lotushill.requests.upstream_pool import UpstreamPool
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placer import Placer
    from lotushill.scheduling.request import Request
    from lotushill.scheduling.shared_load import SharedLoad
    from lotushill.views.upstream_view import UpstreamView

_CHECK_INTERVAL_SECONDS = 0.25
"""Interval of checks of runs at upstreams that are not leaving."""
_MAX_LAG_SECONDS = 0.3
"""Time between two checks above which this process counts as having been blocked."""
_RELEASE_DELAY_SECONDS = 0.3
"""Time after a handover by which the run itself is counted in the load of its target."""
_MAX_TARGETS = 2
"""Maximum number of targets that are tried for one move."""


class Mover:
    """Selects the runs to move, and performs the handovers independently of their streams."""

    def __init__(
        self,
        memory: EngineMemoryClient,
        placer: Placer,
        shared_load: SharedLoad,
        upstreams: UpstreamView,
        isolation_policy: IsolationPolicy,
        quarantine: QuarantineGossip,
        budgets: RetryBudgets,
        gate: UpstreamGate,
        pool: UpstreamPool,
        fleet: Fleet,
        rate_limit: Callable[[str], float],
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Move runs with `memory`; `rate_limit` returns an upstream's limit for all gateways."""
        self._memory = memory
        self._placer = placer
        self._shared_load = shared_load
        self._upstreams = upstreams
        self._isolation_policy = isolation_policy
        self._quarantine = quarantine
        self._budgets = budgets
        self._gate = gate
        self._pool = pool
        self._fleet = fleet
        self._rate_limit = rate_limit
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._runs: dict[str, dict[str, MovableRun]] = {}
        """Runs by id of their upstream and key of their request."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._links = MoveLinks()
        self._all_checked_at = float("-inf")
        self._checked_at = float("-inf")
        self._unblocked_at = float("-inf")
        """Time before which no stream counts as stalled, since this process itself was blocked."""
        self.blocked_seconds = 0.0
        """Time for which this process was blocked so far, in which it read no events."""
        self.continuing: dict[str, Handover] = {}
        """Handovers whose stopped runs are being continued, by the key of their request."""
        self._noted_view: tuple[int, tuple[str, ...]] = (-1, ())
        """Revision and announcements of the view whose leaving upstreams are noted."""
        self.notices = Notices()
        self.stalls = StallThresholds()
        """Statistics of the pauses between the events of streams."""
        self.first_event_waits = StallThresholds()
        """Statistics of the times from the head of an answer to its first event."""

    def add_run(self, run: MovableRun) -> None:
        """Register a run whose first event has arrived."""
        run.blocked_seconds_at_start = self.blocked_seconds
        self._runs.setdefault(run.upstream.id, {})[run.request.key] = run

    def remove_run(self, run: MovableRun) -> None:
        """Unregister a run whose stream has ended."""
        runs = self._runs.get(run.upstream.id, {})
        runs.pop(run.request.key, None)
        if not runs:
            self._runs.pop(run.upstream.id, None)

    def release_handover(self, handover: Handover) -> None:
        """Abandon a handover from which no run is continued, and free the memory it holds."""
        if handover.abandon():
            self._spawn(handover.free())

    def status(self) -> dict[str, object]:
        """Return the state of moves as plain data for the status output."""
        now = self._clock()
        seconds_left = {name: self.notices.seconds_left(name, now) for name in self._runs}
        return {
            "under_way": self.handovers_in_progress,
            "leaving": {name: round(s, 2) for name, s in seconds_left.items() if s is not None},
            "long_pause_ms": self.stalls.long_pauses_ms(),
        }

    @property
    def handovers_in_progress(self) -> int:
        """Return the number of handovers in progress."""
        return len(self._tasks)

    def close(self) -> None:
        """Cancel all handovers in progress."""
        for task in self._tasks:
            task.cancel()

    def retain_only(self, known: set[str]) -> None:
        """Drop the data of upstreams that are not in `known`."""
        self.notices.retain_only(known)
        self._memory.retain_only({item.address for item in self._upstreams.all()})

    def start_due_handovers(self) -> None:
        """Start the handovers that are worthwhile now."""
        now = self._clock()
        if now - self._checked_at > _MAX_LAG_SECONDS:
            # Events that arrived in the meantime have not been read yet.
            self._unblocked_at = now + _MAX_LAG_SECONDS
            if math.isfinite(self._checked_at):
                self.blocked_seconds += now - self._checked_at
        self._checked_at = now
        self._note_leaving(now)
        if not self._runs:
            return
        check_all = now - self._all_checked_at >= _CHECK_INTERVAL_SECONDS
        if check_all:
            self._all_checked_at = now
        planned: dict[str, tuple[MovableRun, Move]] = {}
        for upstream_id, runs in self._runs.items():
            seconds_left = self.seconds_until_shutdown(upstream_id, now)
            if (seconds_left is None and not check_all) or self._links.is_full(upstream_id):
                continue
            for key, run in runs.items():
                move = self._plan(run, seconds_left, now)
                if move is not None:
                    planned[key] = (run, move)
        for key, move in sort_by_urgency((key, move) for key, (_, move) in planned.items()):
            self._start(planned[key][0], move, now)

    def note_continued(self, key: str) -> None:
        """Return the unused retries of a stopped run whose first event has arrived."""
        handover = self.continuing.get(key)
        if handover is not None and handover.retries is not None:
            handover.retries.release()

    def _note_leaving(self, now: float) -> None:
        """Note when upstreams leave as soon as the view states it, with or without runs there."""
        view = (self._upstreams.revision, self._upstreams.announced_leaving)
        if view == self._noted_view:
            return
        self._noted_view = view
        for upstream in self._upstreams.all():
            if upstream.draining:
                self.notices.note(upstream.id, upstream.leaves_seconds, now)

    def seconds_until_shutdown(self, upstream_id: str, now: float) -> float | None:
        """Return the seconds until an upstream shuts down, None if it does not."""
        known = self._upstreams.find(upstream_id)
        if known is None or known.draining:
            self.notices.note(upstream_id, known.leaves_seconds if known else None, now)
        return self.notices.seconds_left(upstream_id, now)

    def _plan(self, run: MovableRun, leaves_in: float | None, now: float) -> Move | None:
        engine = run.request.service.engine
        if engine is None or not run.may_move(now):
            return None
        service = run.request.service.name
        stall_threshold = self.stalls.threshold(service, run.request.need.target_gap)
        stalled = now >= self._unblocked_at and run.is_stalled(now, stall_threshold)
        typical_pause = self.stalls.typical_pause(service)
        state = run.state(now, typical_pause, leaves_in, stalled, self.blocked_seconds)
        move = plan_move(state, engine)
        if move is None or not self._quarantine.may_retry(run.request):
            return None
        return move

    def _start(self, run: MovableRun, move: Move, now: float) -> None:
        engine = run.request.service.engine
        assert engine is not None
        seconds = copy_seconds(run.tokens, engine, same_hall=False)
        if not self._links.try_reserve(run.upstream.id, seconds, move.time_limit):
            return
        run.begin_handover()
        self._spawn(self._move(run, move, seconds))

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.note("move.fault", error=repr(task.exception()))

    async def _move(self, run: MovableRun, move: Move, seconds: float) -> None:
        started_at = self._clock()
        reason = "no target"
        try:
            tried = {run.upstream.id}
            for _ in range(_MAX_TARGETS):
                if run.ended or self._clock() - started_at >= move.time_limit:
                    break
                placed = await self._reserve_target(run, frozenset(tried))
                if placed is None:
                    break
                tried.add(placed.upstream)
                handover = await self._hand_over(run, move.cause, placed, seconds)
                if handover is None:
                    break
                reason = handover.reason or handover.phase.value
                is_given_up = handover.phase is Phase.GIVEN_UP
                if not is_given_up or reason.startswith(NO_ANSWER) or reason == NO_RETRY_LEFT:
                    break
        finally:
            run.end_handover(self._clock())
            self._links.release(run.upstream.id, seconds)
            self._log_move(run, move, reason, started_at)

    async def _hand_over(
        self, run: MovableRun, cause: Cause, placed: Placed, seconds: float
    ) -> Handover | None:
        """Perform a handover; the room reserved at the target is released shortly afterwards.

        By then the run itself is counted there.
        """
        target = self._upstreams.find(placed.upstream)
        release = functools.partial(self._shared_load.end, placed.request)
        if target is None or run.ended:
            release()
            return None
        handover = run.handover = Handover(
            self._memory,
            run.request.demand.request_id,
            run.upstream,
            target,
            seconds,
            functools.partial(self._reserve_retries, run, cause, target),
            run.close_stream,
            run.event_count,
            self._is_reachable,
        )
        try:
            await handover.run()
        finally:
            asyncio.get_running_loop().call_later(_RELEASE_DELAY_SECONDS, release)
        return handover

    def _reserve_retries(
        self, run: MovableRun, cause: Cause, target: Upstream
    ) -> ReservedRetries | str:
        """Reserve the retries for continuing a run, or return why it must not be stopped."""
        now = self._clock()
        obstacle = stop_obstacle(
            StopConditions(
                cause=cause,
                run_ended=run.ended,
                target_accepts=self._gate.accepts_requests(target.id),
                target_failure_rate=self._failure_rate(target.id, now),
                source_accepts=self._gate.accepts_requests(run.upstream.id),
                source_failure_rate=self._failure_rate(run.upstream.id, now),
                source_limited=self._rate_limit(run.upstream.id) != NO_LIMIT,
            )
        )
        if obstacle:
            return obstacle
        service = run.request.service.name
        return self._budgets.try_reserve(service, RETRIES_PER_STOP, now) or NO_RETRY_LEFT

    def _failure_rate(self, upstream_id: str, now: float) -> float:
        return self._fleet.load(upstream_id).failures.rate(now)

    async def _is_reachable(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts a new connection."""
        return await self._pool.has_ended(upstream) is False

    async def _reserve_target(self, run: MovableRun, tried: frozenset[str]) -> Placed | None:
        """Reserve room for a run at an upstream that is not leaving; return None if there is none.

        The run goes on at the software version that began its stream. Upstreams with a limit are
        excluded, as permits are only given for requests of clients.
        """
        request = StreamVersion(run.upstream.version).bind(run.request)
        known = self._upstreams.of(request.service.name)
        limited = {item.id for item in known if self._rate_limit(item.id) != NO_LIMIT}
        excluded = tried | limited | self._isolation_policy.excluded_upstreams(request)
        placement = await self._placer.place(request, excluded, again=True, waits=False)
        if not isinstance(placement, Placement):
            return None
        announced = bool(placement.scheduler)
        placed = (
            placement.placed
            if announced
            else self._placer.continuation_placement(request, placement.choice).placed
        )
        self._shared_load.start(placed, request.service, announced)
        if self._has_room(request, placement.choice):
            return placed
        self._shared_load.end(placed.request)
        return None

    def _has_room(self, request: Request, choice: Choice) -> bool:
        engine = request.service.engine
        has_room = engine is not None and choice.running < engine.slots and not choice.is_full
        return has_room and self._isolation_policy.admits(request, choice)

    def _log_move(self, run: MovableRun, move: Move, reason: str, started_at: float) -> None:
        handover = run.handover
        self._metrics.record_handover(move.cause.value, reason.partition(":")[0])
        self._log.note(
            _move_event(handover),
            request=run.request.demand.request_id,
            cause=move.cause.value,
            upstream=run.upstream.id,
            target=handover.target.id if handover else "",
            why=reason,
            stop=handover.stop_answer if handover else "",
            handle=handover.stop_named_handle if handover else False,
            worth=round(move.worth, 3),
            tokens=run.tokens,
            ms=round((self._clock() - started_at) * 1000, 1),
        )


def _move_event(handover: Handover | None) -> str:
    """Return the log event for the outcome of a move.

    A run that was stopped, or may have been, does not continue undisturbed even if its memory has
    not reached the target.
    """
    if handover is None or not handover.run_stopped:
        return "run.not_moved"
    return "run.stopped" if handover.reason else "run.moved"
