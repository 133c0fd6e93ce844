"""The runs of this gateway that may be moved, and the handovers that are under way.

The gateway that holds a stream alone decides whether its run is moved, and once at a time.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.moves.move_links import MoveLinks
from lotushill.moves.move_plan import Move
from lotushill.moves.move_plan import copy_seconds
from lotushill.moves.move_plan import plan_move
from lotushill.moves.move_plan import sort_by_urgency
from lotushill.moves.notices import Notices
from lotushill.moves.stalls import StallThresholds
from lotushill.requests.handover import NO_ANSWER
from lotushill.requests.handover import Handover
from lotushill.requests.handover import Phase
from lotushill.scheduling.placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from lotushill.event_log import EventLog
    from lotushill.peering.quarantine_gossip import QuarantineGossip
    from lotushill.placement.choice import Choice
    from lotushill.placement.messages import Placed
    from lotushill.process.metrics import Metrics
    from lotushill.requests.engine_memory_client import EngineMemoryClient
    from lotushill.requests.isolation_policy import IsolationPolicy
    from lotushill.requests.movable_run import MovableRun
    from lotushill.requests.retry_budgets import RetryBudgets
    from lotushill.scheduling.placer import Placer
    from lotushill.scheduling.request import Request
    from lotushill.scheduling.shared_load import SharedLoad
    from lotushill.views.upstream_view import UpstreamView

_LOOK_SECONDS = 0.25
"""Between two looks at the runs of upstreams that stay."""
_LAG_SECONDS = 0.3
"""Between two looks, beyond which this process was held up."""
_ARRIVED_SECONDS = 0.3
"""After a handover: by then the run itself is counted in at its target."""
_MOST_TARGETS = 2
"""Targets that are tried in one handover."""


class Mover:
    """Decides which runs are moved, and makes the calls beside their streams."""

    def __init__(
        self,
        memory: EngineMemoryClient,
        placer: Placer,
        shared_load: SharedLoad,
        upstreams: UpstreamView,
        ward: IsolationPolicy,
        quarantine: QuarantineGossip,
        budgets: RetryBudgets,
        rate: Callable[[str], float],
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Move with `memory`; `rate` tells what an upstream takes from all gateways."""
        self._memory = memory
        self._placer = placer
        self._shared_load = shared_load
        self._upstreams = upstreams
        self._ward = ward
        self._quarantine = quarantine
        self._budgets = budgets
        self._rate = rate
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._runs: dict[str, dict[str, MovableRun]] = {}
        """By upstream and by the key of the request."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._links = MoveLinks()
        self._looked = float("-inf")
        self._ticked = float("-inf")
        self._sound_at = float("-inf")
        """Until then no stream is taken to stand still, since this process did."""
        self.notices = Notices()
        self.stalls = StallThresholds()
        """Pauses between the events of streams."""
        self.first_event_waits = StallThresholds()
        """From the head of an answer to its first event."""

    # For those who hold streams

    def add_run(self, run: MovableRun) -> None:
        """Take in a run whose first event has come."""
        self._runs.setdefault(run.upstream.id, {})[run.request.key] = run

    def remove_run(self, run: MovableRun) -> None:
        """Forget a run whose stream has ended."""
        runs = self._runs.get(run.upstream.id, {})
        runs.pop(run.request.key, None)
        if not runs:
            self._runs.pop(run.upstream.id, None)

    def release_handover(self, handover: Handover) -> None:
        """Let go of a handover that nobody goes on from, and free what it holds."""
        if handover.abandon():
            self._spawn(handover.free())

    def status(self) -> dict[str, object]:
        """Return what is moved now, as plain data."""
        now = self._clock()
        left = {name: self.notices.seconds_left(name, now) for name in self._runs}
        return {
            "under_way": self.handovers_in_progress,
            "leaving": {name: round(s, 2) for name, s in left.items() if s is not None},
            "long_pause_ms": self.stalls.long_pauses_ms(),
        }

    @property
    def handovers_in_progress(self) -> int:
        """Return how many handovers are under way."""
        return len(self._tasks)

    def close(self) -> None:
        """End all calls."""
        for task in self._tasks:
            task.cancel()

    def forget(self, known: set[str]) -> None:
        """Drop what is held of lives that no view knows any longer."""
        self.notices.forget(known)
        self._memory.forget({item.address for item in self._upstreams.all()})

    # Decisions

    def start_due_handovers(self) -> None:
        """Start the handovers that are worth making now."""
        now = self._clock()
        if now - self._ticked > _LAG_SECONDS:
            # What has come meanwhile has yet to be read.
            self._sound_at = now + _LAG_SECONDS
        self._ticked = now
        if not self._runs:
            return
        everywhere = now - self._looked >= _LOOK_SECONDS
        if everywhere:
            self._looked = now
        planned: dict[str, tuple[MovableRun, Move]] = {}
        for upstream_id, runs in self._runs.items():
            left = self._leaves_in(upstream_id, now)
            if (left is None and not everywhere) or self._links.is_full(upstream_id):
                continue
            for key, run in runs.items():
                move = self._plan(run, left, now)
                if move is not None:
                    planned[key] = (run, move)
        for key, move in sort_by_urgency((key, move) for key, (_, move) in planned.items()):
            self._start(planned[key][0], move, now)

    def _leaves_in(self, upstream_id: str, now: float) -> float | None:
        """Return in how many seconds an upstream ends, None if it stays."""
        known = self._upstreams.find(upstream_id)
        if known is None or known.draining:
            self.notices.note(upstream_id, known.leaves_seconds if known else None, now)
        return self.notices.seconds_left(upstream_id, now)

    def _plan(self, run: MovableRun, leaves_in: float | None, now: float) -> Move | None:
        engine = run.request.service.engine
        if engine is None or not run.may_move(now):
            return None
        service = run.request.service.name
        patience = self.stalls.threshold(service, run.request.need.target_gap)
        stalled = now >= self._sound_at and run.is_stalled(now, patience)
        usual = self.stalls.usual_pause(service)
        move = plan_move(run.state(now, usual, leaves_in, stalled), engine)
        if move is None or not self._quarantine.may_retry(run.request):
            return None
        return move

    def _start(self, run: MovableRun, move: Move, now: float) -> None:
        engine = run.request.service.engine
        assert engine is not None
        seconds = copy_seconds(run.tokens, engine, near=False)
        if not self._links.try_reserve(run.upstream.id, seconds, move.time_limit):
            return
        run.begin_handover()
        self._spawn(self._move(run, move, seconds))

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # One handover

    async def _move(self, run: MovableRun, move: Move, seconds: float) -> None:
        began = self._clock()
        why = "no target"
        try:
            tried = {run.upstream.id}
            for _ in range(_MOST_TARGETS):
                if run.ended or self._clock() - began >= move.time_limit:
                    break
                placed = await self._target(run.request, frozenset(tried))
                if placed is None:
                    break
                tried.add(placed.upstream)
                handover = await self._hand_over(run, placed, seconds)
                if handover is None:
                    break
                why = handover.reason or handover.phase.value
                if handover.phase is not Phase.GIVEN_UP or why.startswith(NO_ANSWER):
                    break
        finally:
            run.end_handover(self._clock())
            self._links.release(run.upstream.id, seconds)
            self._note(run, move, why, began)

    async def _hand_over(self, run: MovableRun, placed: Placed, seconds: float) -> Handover | None:
        """Make the calls, with room at the target counted in until the run is counted there."""
        target = self._upstreams.find(placed.upstream)
        release = functools.partial(self._shared_load.end, placed.request)
        if target is None or run.ended:
            release()
            return None
        service = run.request.service.name
        handover = run.handover = Handover(
            self._memory,
            run.request.demand.request_id,
            run.upstream,
            target,
            seconds,
            lambda: not run.ended and self._budgets.spend(service, self._clock()),
            run.close_stream,
            run.event_count,
        )
        try:
            await handover.run()
        finally:
            asyncio.get_running_loop().call_later(_ARRIVED_SECONDS, release)
        return handover

    async def _target(self, request: Request, tried: frozenset[str]) -> Placed | None:
        """Count in a run at an upstream with room that stays; None without one.

        One that names a limit has no permit for what is not a request of a client.
        """
        known = self._upstreams.of(request.service.name)
        limited = {item.id for item in known if self._rate(item.id) != NO_LIMIT}
        excluded = tried | limited | self._ward.excluded_upstreams(request)
        found = await self._placer.place(request, excluded, again=True, waits=False)
        if not isinstance(found, Placement):
            return None
        told = bool(found.scheduler)
        placed = (
            found.placed
            if told
            else self._placer.continuation_placement(request, found.choice).placed
        )
        self._shared_load.start(placed, request.service, told)
        if self._fits(request, found.choice):
            return placed
        self._shared_load.end(placed.request)
        return None

    def _fits(self, request: Request, choice: Choice) -> bool:
        engine = request.service.engine
        room = engine is not None and choice.running < engine.slots and not choice.is_full
        return room and self._ward.admits(request, choice)

    def _note(self, run: MovableRun, move: Move, why: str, began: float) -> None:
        self._metrics.record_handover(move.cause.value, why.partition(":")[0])
        self._log.note(
            "run.moved" if why == Phase.STOPPED.value else "run.not_moved",
            request=run.request.demand.request_id,
            cause=move.cause.value,
            upstream=run.upstream.id,
            target=run.handover.target.id if run.handover else "",
            why=why,
            worth=round(move.worth, 3),
            tokens=run.tokens,
            ms=round((self._clock() - began) * 1000, 1),
        )
