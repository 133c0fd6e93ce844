"""Learns which requests end upstreams, and tells the other gateways."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import anyio

from lotushill.links.quarantine_messages import ClearedNews
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import SuspectNews
from lotushill.links.quarantine_messages import SuspectState
from lotushill.quarantine.failure_watch import FailureWatch
from lotushill.quarantine.failure_watch import InterruptedRequest
from lotushill.quarantine.failure_watch import Listing
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

_ENDS_TO_STOP = 2
"""Upstreams that ended under a request, after which one arrival of it is not sent on again."""
_MOST_IN_DATAGRAM = 8
_MOST_PATH = 120
_MOST_UPSTREAMS = 4
"""Told with a suspect; more than hold it need not be known elsewhere."""


class QuarantineGossip:
    """Stands between the request path, the peers and the quarantine."""

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
        """Ask `has_ended` of upstreams that cut a request; `tell` sends to all other gateways."""
        self._name = name
        self._quarantine = quarantine
        self._groups = groups
        self._upstreams = upstreams
        self._has_ended = has_failed
        self._tell = broadcast
        self._log = log
        self._clock = clock
        self._plan = UpdateSchedule(rng)
        self._watch = FailureWatch()
        self._checks: dict[str, asyncio.Task[bool | None]] = {}
        """Questions under way, by upstream."""
        self._notes: set[asyncio.Task[None]] = set()
        self._wake = anyio.Event()
        self.upstream_failures = 0
        """Ends of upstreams under requests of this gateway, once for each request."""
        self.held_count = 0
        """Requests that were kept from upstreams."""

    # The request path

    def is_held(self, request: Request) -> bool:
        """Return whether a request is to reach no upstream."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_held(request.identity, self._clock())

    def may_retry(self, request: Request) -> bool:
        """Return whether an arrival that was cut may go to a further upstream."""
        if self._groups.is_isolated(request.groups):
            return False
        if self._quarantine.is_empty:
            return True
        if self._quarantine.failure_count(request.identity) >= _ENDS_TO_STOP:
            return False
        return not self._quarantine.is_held(request.identity, self._clock())

    def record_held(self, request: Request) -> None:
        """Note that a request was kept from upstreams."""
        self.held_count += 1
        self._log.note(
            "quarantine.kept_back",
            request=request.demand.request_id,
            identity=request.identity.hex(),
            team=request.team,
        )

    def record_completion(self, request: Request) -> None:
        """Note a whole answer."""
        self._groups.record_completion(request.groups)
        if self._quarantine.record_completion(request.identity, self._clock()):
            self._plan.schedule_cleared(request.identity)
            self._wake.set()

    def record_interruption(
        self, request: Request, upstream: Upstream, answer_started: bool
    ) -> asyncio.Task[None]:
        """Find out whether a request that lost its connection ended its upstream.

        `begun` says that some of its answer had come.
        """
        path = request.target.partition(b"?")[0].decode("latin-1")[:_MOST_PATH]
        groups = () if answer_started else request.groups
        cut = InterruptedRequest(request.identity, request.team, path, upstream.id, groups)
        task = asyncio.create_task(self._check(cut, upstream))
        self._notes.add(task)
        task.add_done_callback(self._notes.discard)
        return task

    async def _check(self, cut: InterruptedRequest, upstream: Upstream) -> None:
        if self._listing(upstream.id) is not Listing.SERVING:
            # It was leaving, and ended as planned.
            return
        check = self._checks.get(upstream.id)
        if check is None:
            check = asyncio.create_task(self._has_ended(upstream))
            self._checks[upstream.id] = check
            check.add_done_callback(lambda _: self._checks.pop(upstream.id, None))
        if await check:
            self._note_end(cut)
        else:
            self._watch.add(cut, self._clock())

    def _listing(self, upstream_id: str) -> Listing:
        found = self._upstreams.find(upstream_id)
        if found is None:
            return Listing.GONE
        return Listing.LEAVING if found.draining else Listing.SERVING

    def _note_end(self, cut: InterruptedRequest) -> None:
        now = self._clock()
        if cut.groups:
            self._groups.record_upstream_failure(cut.groups, cut.upstream)
            self._wake.set()
        if not self._quarantine.record_upstream_failure(
            cut.identity, cut.team, cut.path, cut.upstream, now
        ):
            return
        self.upstream_failures += 1
        self._log.note(
            "quarantine.end",
            identity=cut.identity.hex(),
            team=cut.team,
            path=cut.path,
            upstream=cut.upstream,
            ends=self._quarantine.failure_count(cut.identity),
            held=self._quarantine.is_held(cut.identity, now),
        )
        self._plan.schedule_failure(cut.identity, now)
        self._tell_proof(cut.identity, now)
        self._wake.set()

    def _tell_proof(self, identity: bytes, now: float) -> None:
        if self._quarantine.has_completed(identity, now):
            self._plan.schedule_known_good(identity, now)

    # Peers

    def receive(self, news: SuspectNews | ClearedNews | GroupNews) -> None:
        """Take what another gateway knows."""
        now = self._clock()
        if isinstance(news, GroupNews):
            self._groups.receive(news)
            self._wake.set()
            return
        if isinstance(news, SuspectNews):
            for state in news.suspects:
                self._take(state, now)
            return
        for identity in news.since:
            self._quarantine.clear(identity)
            self._plan.cancel(identity)
        for identity in news.before:
            self._quarantine.mark_known_good(identity, now)
            self._plan.cancel_known_good(identity)

    def _take(self, state: SuspectState, now: float) -> None:
        was_held = self._quarantine.is_held(state.identity, now)
        if not self._quarantine.merge_peer_state(state, now):
            return
        if self._quarantine.is_held(state.identity, now) and not was_held:
            self._log.note(
                "quarantine.held",
                identity=state.identity.hex(),
                team=state.team,
                path=state.path,
                upstreams=list(state.upstreams),
            )
        self._tell_proof(state.identity, now)
        self._wake.set()

    def replace_stored(self, holds: dict[bytes, StoredHold]) -> None:
        """Take what the store has."""
        for identity in self._quarantine.replace_stored(holds):
            self._log.note("quarantine.released", identity=identity.hex())

    # What is due

    def process_pending(self) -> None:
        """Find upstreams that are gone since, and go on telling what the store has not got."""
        now = self._clock()
        self._quarantine.expire(now)
        self._groups.expire()
        for cut in self._watch.pop_failed(self._listing, now):
            self._note_end(cut)
        for identity in self._quarantine.unstored():
            self._plan.schedule_held_repeat(identity, now)
            self._wake.set()

    async def run(self) -> None:
        """Tell what is due, for ever; nothing is woken up for while nothing is."""
        while True:
            wait = self.next_due() - self._clock()
            if wait > 0:
                with anyio.move_on_after(wait if wait < math.inf else None):
                    await self._wake.wait()
            self._wake = anyio.Event()
            self.send_due()

    def next_due(self) -> float:
        """Return when something is to be told."""
        return min(self._plan.next_due(), self._groups.next_due())

    def send_due(self) -> None:
        """Send what is due."""
        due = self._plan.pop_due(self._clock())
        states = [state for item in due.suspects if (state := self._state(item)) is not None]
        for start in range(0, len(states), _MOST_IN_DATAGRAM):
            group = tuple(states[start : start + _MOST_IN_DATAGRAM])
            self._tell(SuspectNews(self._name, group))
        if due.cleared_since or due.cleared_before:
            self._tell(ClearedNews(self._name, due.cleared_since, due.cleared_before))
        self._groups.send_due()

    def _state(self, identity: bytes) -> SuspectState | None:
        suspect = self._quarantine.find(identity)
        if suspect is None or not suspect.failed_upstreams:
            return None
        upstreams = tuple(suspect.failed_upstreams)[-_MOST_UPSTREAMS:]
        return SuspectState(identity, suspect.team, suspect.path, upstreams)
