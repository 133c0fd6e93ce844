"""Learns which requests end upstreams, and tells the other gateways."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import anyio

from lotushill.availability.trickle import Trickle
from lotushill.links.messages import ClearedNews
from lotushill.links.messages import GroupEnd
from lotushill.links.messages import GroupNews
from lotushill.links.messages import IsolatedGroup
from lotushill.links.messages import SuspectNews
from lotushill.links.messages import SuspectState
from lotushill.quarantine.end_watch import Cut
from lotushill.quarantine.end_watch import EndWatch
from lotushill.quarantine.end_watch import Listing
from lotushill.quarantine.group import Group
from lotushill.quarantine.news_plan import PROOF_SECONDS
from lotushill.quarantine.news_plan import NewsPlan
from lotushill.quarantine.repeat_plan import RepeatPlan

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from lotushill.event_log import EventLog
    from lotushill.gateway.request import Request
    from lotushill.quarantine.isolation import Isolation
    from lotushill.quarantine.quarantine import Quarantine
    from lotushill.quarantine.stored_hold import StoredHold
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView

    Clock = Callable[[], float]

_ENDS_TO_STOP = 2
"""Upstreams that ended under a request, after which one arrival of it is not sent on again."""
_MOST_IN_DATAGRAM = 8
_MOST_PATH = 120
_MOST_UPSTREAMS = 4
"""Told with a suspect; more than hold it need not be known elsewhere."""


class QuarantineKeeper:
    """Stands between the request path, the peers and the quarantine."""

    def __init__(
        self,
        name: str,
        quarantine: Quarantine,
        isolation: Isolation,
        upstreams: UpstreamView,
        has_ended: Callable[[Upstream], Coroutine[Any, Any, bool | None]],
        tell: Callable[[SuspectNews | ClearedNews | GroupNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        """Ask `has_ended` of upstreams that cut a request; `tell` sends to all other gateways."""
        self._name = name
        self._quarantine = quarantine
        self._isolation = isolation
        self._upstreams = upstreams
        self._has_ended = has_ended
        self._tell = tell
        self._log = log
        self._clock = clock
        self._plan = NewsPlan(rng)
        self._group_plan: RepeatPlan[GroupEnd] = RepeatPlan()
        self._group_proofs: RepeatPlan[Group] = RepeatPlan()
        self._isolated_timer = Trickle(rng)
        self._rng = rng
        self._watch = EndWatch()
        self._checks: dict[str, asyncio.Task[bool | None]] = {}
        """Questions under way, by upstream."""
        self._notes: set[asyncio.Task[None]] = set()
        self._wake = anyio.Event()
        self.upstream_ends = 0
        """Ends of upstreams under requests of this gateway, once for each request."""
        self.held = 0
        """Requests that were kept from upstreams."""

    # The request path

    def holds(self, request: Request) -> bool:
        """Return whether a request is to reach no upstream."""
        if self._quarantine.empty:
            return False
        return self._quarantine.holds(request.identity, self._clock())

    def may_be_sent_on(self, request: Request) -> bool:
        """Return whether an arrival that was cut may go to a further upstream."""
        if self._isolation.isolates(request.groups, self._clock()):
            return False
        if self._quarantine.empty:
            return True
        if self._quarantine.ends_under(request.identity) >= _ENDS_TO_STOP:
            return False
        return not self._quarantine.holds(request.identity, self._clock())

    def note_held(self, request: Request) -> None:
        """Note that a request was kept from upstreams."""
        self.held += 1
        self._log.note(
            "quarantine.kept_back",
            request=request.demand.request_id,
            identity=request.identity.hex(),
            team=request.team,
        )

    def note_whole(self, request: Request) -> None:
        """Note a whole answer."""
        self._isolation.note_whole(request.groups, self._clock())
        if self._quarantine.note_whole(request.identity, self._clock()):
            self._plan.clear(request.identity)
            self._wake.set()

    def note_cut(self, request: Request, upstream: Upstream, begun: bool) -> asyncio.Task[None]:
        """Find out whether a request that lost its connection ended its upstream.

        `begun` says that some of its answer had come.
        """
        path = request.target.partition(b"?")[0].decode("latin-1")[:_MOST_PATH]
        groups = () if begun else request.groups
        cut = Cut(request.identity, request.team, path, upstream.id, groups)
        task = asyncio.create_task(self._check(cut, upstream))
        self._notes.add(task)
        task.add_done_callback(self._notes.discard)
        return task

    async def _check(self, cut: Cut, upstream: Upstream) -> None:
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
            self._watch.note(cut, self._clock())

    def _listing(self, upstream_id: str) -> Listing:
        found = self._upstreams.find(upstream_id)
        if found is None:
            return Listing.GONE
        return Listing.LEAVING if found.draining else Listing.SERVING

    def _note_end(self, cut: Cut) -> None:
        now = self._clock()
        for group in cut.groups:
            self._note_group(group, cut.upstream, now)
        if not self._quarantine.note_end(cut.identity, cut.team, cut.path, cut.upstream, now):
            return
        self.upstream_ends += 1
        self._log.note(
            "quarantine.end",
            identity=cut.identity.hex(),
            team=cut.team,
            path=cut.path,
            upstream=cut.upstream,
            ends=self._quarantine.ends_under(cut.identity),
            held=self._quarantine.holds(cut.identity, now),
        )
        self._plan.tell(cut.identity, now)
        self._tell_proof(cut.identity, now)
        self._wake.set()

    def _note_group(self, group: Group, upstream: str, now: float) -> None:
        whole = self._isolation.whole(group, now)
        end = GroupEnd(group.service, group.label, upstream, whole)
        self._group_plan.tell(end, now)
        self._wake.set()
        self._take_group(end, self._name, now)

    def _hear_group(self, end: GroupEnd, teller: str, now: float) -> None:
        """Take what a peer tells of a group, and tell of whole answers that speak for it."""
        group = Group(end.service, end.label)
        if not end.upstream:
            self._isolation.take_whole(group, teller, end.whole, now)
            return
        self._take_group(end, teller, now)
        if self._isolation.whole(group, now) and group not in self._group_proofs:
            self._group_proofs.tell_at(group, now + self._rng.uniform(0.0, PROOF_SECONDS))
            self._wake.set()

    def _hear_isolated(self, told: tuple[IsolatedGroup, ...], now: float) -> None:
        """Keep apart what a peer keeps apart: one that starts anew saw none of the ends."""
        if not told:
            return
        for item in told:
            group = Group(item.service, item.label)
            if self._isolation.adopt(group, item.left, item.pause, now):
                self._note_isolated(group, "")
        if {Group(item.service, item.label) for item in told} >= set(self._isolation.groups(now)):
            self._isolated_timer.hear()

    def _note_isolated(self, group: Group, upstream: str) -> None:
        self._log.note(
            "quarantine.isolated", service=group.service, group=group.label, upstream=upstream
        )
        self._isolated_timer.reset(self._clock())
        self._wake.set()

    def _take_group(self, end: GroupEnd, teller: str, now: float) -> None:
        group = Group(end.service, end.label)
        if self._isolation.note_end(group, end.upstream, teller, end.whole, now):
            self._note_isolated(group, end.upstream)

    def _tell_proof(self, identity: bytes, now: float) -> None:
        if self._quarantine.knows_whole(identity, now):
            self._plan.prove(identity, now)

    # Peers

    def receive(self, news: SuspectNews | ClearedNews | GroupNews) -> None:
        """Take what another gateway knows."""
        now = self._clock()
        if isinstance(news, GroupNews):
            for end in news.ends:
                self._hear_group(end, news.sender, now)
            self._hear_isolated(news.isolated, now)
            return
        if isinstance(news, SuspectNews):
            for state in news.suspects:
                self._take(state, now)
            return
        for identity in news.since:
            self._quarantine.clear(identity)
            self._plan.forget(identity)
        for identity in news.before:
            self._quarantine.prove(identity, now)
            self._plan.heard(identity)

    def _take(self, state: SuspectState, now: float) -> None:
        was_held = self._quarantine.holds(state.identity, now)
        if not self._quarantine.take(state, now):
            return
        if self._quarantine.holds(state.identity, now) and not was_held:
            self._log.note(
                "quarantine.held",
                identity=state.identity.hex(),
                team=state.team,
                path=state.path,
                upstreams=list(state.upstreams),
            )
        self._tell_proof(state.identity, now)
        self._wake.set()

    def take_stored(self, holds: dict[bytes, StoredHold]) -> None:
        """Take what the store has."""
        for identity in self._quarantine.take_stored(holds):
            self._log.note("quarantine.released", identity=identity.hex())

    # What is due

    def look(self) -> None:
        """Find upstreams that are gone since, and go on telling what the store has not got."""
        now = self._clock()
        self._quarantine.expire(now)
        self._isolation.expire(now)
        for cut in self._watch.take_ended(self._listing, now):
            self._note_end(cut)
        for identity in self._quarantine.unstored():
            self._plan.go_on(identity, now)
            self._wake.set()

    async def run(self) -> None:
        """Tell what is due, for ever; nothing is woken up for while nothing is."""
        while True:
            wait = self.next_due() - self._clock()
            if wait > 0:
                with anyio.move_on_after(wait if wait < math.inf else None):
                    await self._wake.wait()
            self._wake = anyio.Event()
            self.tell_due()

    def next_due(self) -> float:
        """Return when something is to be told."""
        return min(
            self._plan.next_due(),
            self._group_plan.next_due(),
            self._group_proofs.next_due(),
            self._isolated_timer.next_due,
        )

    def tell_due(self) -> None:
        """Send what is due."""
        due = self._plan.take(self._clock())
        states = [state for item in due.suspects if (state := self._state(item)) is not None]
        for start in range(0, len(states), _MOST_IN_DATAGRAM):
            group = tuple(states[start : start + _MOST_IN_DATAGRAM])
            self._tell(SuspectNews(self._name, group))
        if due.cleared_since or due.cleared_before:
            self._tell(ClearedNews(self._name, due.cleared_since, due.cleared_before))
        ends = [*self._group_plan.take(self._clock()), *self._due_group_proofs()]
        for start in range(0, len(ends), _MOST_IN_DATAGRAM):
            self._tell(GroupNews(self._name, tuple(ends[start : start + _MOST_IN_DATAGRAM])))

        self._tell_isolated()

    def _tell_isolated(self) -> None:
        now = self._clock()
        terms = self._isolation.terms(now)
        if not terms:
            self._isolated_timer.stop()
        elif self._isolated_timer.is_due(now):
            told = [
                IsolatedGroup(group.service, group.label, term.left, term.pause)
                for group, term in terms.items()
            ]
            self._tell(GroupNews(self._name, isolated=tuple(told[:_MOST_IN_DATAGRAM])))

    def _due_group_proofs(self) -> list[GroupEnd]:
        """Return whole answers that are due to be told: once enough are known, no more are."""
        now = self._clock()
        due = [
            group
            for group in self._group_proofs.take(now)
            if self._isolation.needs_proof(group, now)
        ]
        for group in due:
            self._isolation.take_whole(group, self._name, self._isolation.whole(group, now), now)
        return [
            GroupEnd(group.service, group.label, "", self._isolation.whole(group, now))
            for group in due
        ]

    def _state(self, identity: bytes) -> SuspectState | None:
        suspect = self._quarantine.find(identity)
        if suspect is None or not suspect.ends:
            return None
        upstreams = tuple(suspect.ends)[-_MOST_UPSTREAMS:]
        return SuspectState(identity, suspect.team, suspect.path, upstreams)
