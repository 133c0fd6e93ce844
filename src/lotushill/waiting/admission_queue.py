"""Admission queue: places requests or queues them, by the fleet model and the slot turns.

Handles overload, where more requests arrive than engines can begin. Without this queue they would
fill the engines' own queues, which cannot be reordered, up to the length at which an engine rejects
every request, the most urgent ones included. With this queue each engine is sent only the requests
for which it has a slot, or will have one within a tenth of a second. All others wait in this queue,
where they can be reordered, and are placed as soon as an engine has a free slot, or refused. While
engines have free slots nothing is queued and the queue makes no decision. Pure.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.precedence import Precedence
from lotushill.waiting.entry import Queued
from lotushill.waiting.open_engines import OpenEngines
from lotushill.waiting.ordering_inputs import EqualShares
from lotushill.waiting.ordering_inputs import NoReturns
from lotushill.waiting.pressure import Pressure
from lotushill.waiting.queued_requests import QueuedRequests
from lotushill.waiting.release_rate import ReleaseRate
from lotushill.waiting.wait_limits import WaitLimits

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from lotushill.placement.fleet import Fleet
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.waiting.entry import QueueEntry
    from lotushill.waiting.ordering_inputs import PromisedReturns
    from lotushill.waiting.ordering_inputs import TeamStandings
    from lotushill.waiting.slot_turns import RemoteQueues

    SortKey = tuple[int, bool, bool, float, int, float]

_SWEEP_INTERVAL_SECONDS = 0.03
"""Interval between two sweeps for entries that can no longer be served."""
_MAX_CHOICES_PER_PASS = 32
"""Maximum number of requests for which engines are weighed in one pass: some milliseconds of
work."""
_QUEUE_RESERVE_FRACTION = 0.5
"""Fraction of slots that long requests from the queue must leave free where they run for long."""
_LONG_RUN_SECONDS = 1.0
"""Run time from which a request counts as long-running. A slot that is occupied for less time is
free again within the time that the most urgent requests wait."""
_CAPACITY_REFUSALS = (Refusal.OVERLOAD, Refusal.NO_ROOM, Refusal.SHARE, Refusal.RETURNED)
_NO_ROOM = NoChoice(Refusal.NO_ROOM, 0.0)
_OVERLOAD = NoChoice(Refusal.OVERLOAD, 0.0)
"""Interim refusals without a Retry-After time, which only the final answer gives."""


class AdmissionQueue:
    """Admission queue of one gateway that places its own requests and those of other gateways."""

    def __init__(
        self,
        fleet: Fleet,
        remote_queues: RemoteQueues,
        shares: TeamStandings | None = None,
        returns: PromisedReturns | None = None,
    ) -> None:
        self._fleet = fleet
        self.remote_queues = remote_queues
        self.engines = OpenEngines(fleet, remote_queues)
        self.requests = QueuedRequests()
        self._wait_limits = WaitLimits(fleet)
        self._pressure = Pressure()
        self._release_rates: dict[str, ReleaseRate] = {}
        self._next_sweep: dict[str, float] = {}
        self._shares = shares or EqualShares()
        self._returns = returns or NoReturns()
        self._standings: dict[tuple[str, int, str], float] = {}
        self._standings_computed_at = float("-inf")
        self.held = 0
        """Number of requests queued since the start."""
        self.placed = 0
        """Number of queued requests that were placed."""
        self.given_up = 0
        """Number of queued requests that were refused."""

    def place(
        self,
        entry: QueueEntry,
        service: Service,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> Choice | NoChoice | Queued:
        """Return a request's upstream, `Queued` if it was queued, or the reason for its refusal."""
        if service.engine is None:
            need = entry.need_at(now)
            return self._fleet.choose(need, service, upstreams, entry.excluded, now)
        if self.requests.find(entry.key) is not None:
            return self._renew(entry, now)
        early = self._fleet.shedding.refuse_early(entry.need_at(now), now)
        if early is not None:
            return early
        decision = self._choose_open_engine(entry, service, upstreams, now, is_new=True)
        if isinstance(decision, NoChoice):
            decision = self._choose_engine_queue(entry, service, upstreams, now) or decision
        if isinstance(decision, Choice):
            self._note_placed(entry, decision, now)
            return decision
        if decision.refusal not in _CAPACITY_REFUSALS:
            return decision
        if not self._wait_limits.is_worth_waiting(entry, self._expected_wait(entry, now), now):
            return self._refuse(entry, decision, now)
        if not self.requests.add(entry):
            return self._refuse(entry, decision, now)
        self.held += 1
        self._fleet.shedding.returns.note_capacity_wait(entry.need.service, entry.need.tier, now)
        return Queued()

    def _choose_engine_queue(
        self, entry: QueueEntry, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Choice | None:
        """Return an engine in whose own queue a short request is on time, None if there is none.

        Engines admit the most urgent request first, some milliseconds before the update on the
        free slot arrives at this gateway.
        """
        need = entry.need_at(now)
        if self._fleet.shedding.is_long(need) or self._has_predecessor(entry, now):
            return None
        decision = self._fleet.choose(need, service, upstreams, entry.excluded, now)
        if (
            isinstance(decision, Choice)
            and decision.first_event_seconds <= need.target - need.waited
        ):
            return decision
        return None

    def _renew(self, entry: QueueEntry, now: float) -> Queued | NoChoice:
        """Renew a queued request with the new values of its need, or refuse it if overdue."""
        if not self._wait_limits.is_overdue(entry, now) and self.requests.add(entry):
            return Queued()
        self.given_up += 1
        return self._refuse(entry, _NO_ROOM, now)

    def _is_under_pressure(self, entry: QueueEntry, now: float) -> bool:
        return self._pressure.applies_to(entry.need.service, entry.need.tier, now)

    def _choose_open_engine(
        self,
        entry: QueueEntry,
        service: Service,
        upstreams: Sequence[Upstream],
        now: float,
        is_new: bool = False,
    ) -> Choice | NoChoice:
        """Choose an engine with a free slot; a new request does not overtake queued ones."""
        if self._is_under_pressure(entry, now) and self._fleet.shedding.is_long(entry.need):
            return _OVERLOAD
        need = entry.need_at(now)
        usable = [
            item for item in upstreams if item.id not in entry.excluded and need.accepts(item)
        ]
        closed = self.engines.closed_engines(service, need.tier, usable, now)
        if usable and len(closed) == len(usable):
            return _NO_ROOM
        if is_new and self._has_predecessor(entry, now):
            return _NO_ROOM
        return self._fleet.choose(need, service, upstreams, entry.excluded, now, closed)

    def _refuse(self, entry: QueueEntry, decision: NoChoice, now: float) -> NoChoice:
        """Remove a request from the queue, if it is in it, and return its final refusal."""
        self.requests.drop(entry.key)
        wait = max(decision.wait_seconds, self._expected_wait(entry, now))
        refused = self._fleet.shedding.refuse_finally(
            entry.need_at(now), decision.refusal, wait, now
        )
        return replace(refused, standing=decision.standing)

    def due(
        self, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[tuple[QueueEntry, Choice | NoChoice]]:
        """Yield the entries that are placed or refused now, in order.

        The caller must add a placed request to the fleet model before it takes the next item.
        """
        if not self._has_open_engine(service, upstreams, now):
            yield from self._refuse_overdue(service, now)
            return
        entries = sorted(
            self.requests.for_service(service.name), key=lambda entry: self._sort_key(entry, now)
        )
        passed_over: set[tuple[int, str, str]] = set()
        choices = 0
        for entry in entries:
            # A stream that finds no room at its version holds up no request that may go elsewhere.
            kind = (entry.need.tier, entry.need.route, entry.need.version)
            if kind in passed_over:
                continue
            choices += 1
            if choices > _MAX_CHOICES_PER_PASS:
                break
            decision = self._choose_open_engine(entry, service, upstreams, now)
            if isinstance(decision, Choice) and self._is_excluded_by_reserve(
                entry, decision, service, upstreams
            ):
                passed_over.add(kind)
            elif isinstance(decision, Choice) and not self._wait_limits.is_too_late(
                entry, decision, now
            ):
                self.requests.drop(entry.key)
                self.placed += 1
                self._pressure.note(entry, now)
                self._note_placed(entry, decision, now)
                yield entry, decision
            elif isinstance(decision, NoChoice) and not entry.excluded:
                passed_over.add(kind)
        yield from self._refuse_overdue(service, now)

    def _is_excluded_by_reserve(
        self, entry: QueueEntry, choice: Choice, service: Service, upstreams: Sequence[Upstream]
    ) -> bool:
        """Return whether the larger slot reserve excludes a long request from the queue.

        Queued requests are ready at any time and fill all slots up to the reserve, where new
        requests leave some free by chance. The slots that they take are gone for as long as they
        run.
        """
        if service.engine is None or choice.answer_seconds < _LONG_RUN_SECONDS:
            return False
        if not self._fleet.shedding.is_long(entry.need):
            return False
        return self._fleet.only_reserved_left(
            entry.need, service.engine, upstreams, _QUEUE_RESERVE_FRACTION
        )

    def _has_open_engine(self, service: Service, upstreams: Sequence[Upstream], now: float) -> bool:
        """Return whether an engine has a free slot for the most urgent tier in the queue."""
        most_urgent = min(self.requests.tiers(service.name), default=None)
        if most_urgent is None:
            return False
        return len(self.engines.closed_engines(service, most_urgent, upstreams, now)) < len(
            upstreams
        )

    def _refuse_overdue(
        self, service: Service, now: float
    ) -> Iterator[tuple[QueueEntry, NoChoice]]:
        """Yield the entries that can no longer be served in time, each with its refusal."""
        if now < self._next_sweep.get(service.name, 0.0):
            return
        self._next_sweep[service.name] = now + _SWEEP_INTERVAL_SECONDS
        for entry in self.requests.for_service(service.name):
            if self._wait_limits.is_overdue(entry, now):
                self.given_up += 1
                self._pressure.note(entry, now)
                yield entry, self._refuse(entry, _NO_ROOM, now)

    def _note_placed(self, entry: QueueEntry, choice: Choice, now: float) -> None:
        self.engines.note_taken(choice.upstream.id, now)
        self._release_rates.setdefault(entry.need.service, ReleaseRate()).note(entry.need.tier, now)

    def _sort_key(self, entry: QueueEntry, now: float) -> SortKey:
        """Return the sort key of an entry; within a tier, those that can be on time go first."""
        need = entry.need
        standing = self._standing(entry, now)
        precedence = Precedence(
            need.tier,
            # Returning requests of a team over its share do not go before new ones of other teams.
            is_new=standing > 0.0 or not self._returns.is_due(need.caller, now),
            standing=standing,
            team_rank=need.team_rank,
            arrived_at=entry.arrived_at,
        )
        late = now >= self._wait_limits.on_time_until(entry) and not self._is_under_pressure(
            entry, now
        )
        return (
            precedence.tier,
            late,
            precedence.is_new,
            precedence.standing,
            precedence.team_rank,
            precedence.arrived_at,
        )

    def _standing(self, entry: QueueEntry, now: float) -> float:
        """Return the excess standing of a request's team, computed once per value of `now`."""
        if now != self._standings_computed_at:
            self._standings_computed_at = now
            self._standings = {}
        need = entry.need
        key = (need.service, need.tier, need.team)
        cached = self._standings.get(key)
        if cached is None:
            cached = self._standings[key] = self._shares.excess_standing(need, now)
        return cached

    def _has_predecessor(self, entry: QueueEntry, now: float) -> bool:
        """Return whether any queued request goes before a new one."""
        others = self.requests.for_service(entry.need.service)
        if not others:
            return False
        own = self._sort_key(entry, now)
        return any(self._sort_key(other, now) < own for other in others)

    def _expected_wait(self, entry: QueueEntry, now: float) -> float:
        """Return the expected time in seconds until the requests before this one are placed.

        While the queue is too new to have a known rate, the worst case is assumed for long
        requests, since they can return in time if they are refused at once, and no wait for short
        ones.
        """
        need = entry.need
        rate = self._release_rates.setdefault(need.service, ReleaseRate())
        if not rate.is_known(now) and not self._fleet.shedding.is_long(need):
            return 0.0
        tiers = self.requests.tiers(need.service)
        more_urgent = sum(count for tier, count in tiers.items() if tier < need.tier)
        return rate.expected_wait(need.tier, more_urgent, tiers.get(need.tier, 0), now)
