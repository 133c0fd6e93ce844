"""Places requests or has them wait: the room, the model of all engines and the turns together.

The load that it answers: more comes than engines can begin. What is sent then stands in an engine's
queue, where nobody can reorder it, up to the length at which the engine turns away whatever comes,
the most urgent included. Here each engine is sent what it has a slot for, or will have within a
tenth of a second, and all else waits where it can be reordered, is placed as soon as an engine has
room, or is given up. While engines have room nothing waits, and nothing is decided here. Pure.
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

    Order = tuple[int, bool, bool, float, float]

_SWEEP_SECONDS = 0.03
"""Between two looks for those that wait in vain."""
_MOST_CHOICES = 32
"""Requests for which engines are weighed at one look: some milliseconds of work."""
_WAITING_RESERVE = 0.5
"""Of all slots, kept from long requests that have waited where these run for long."""
_LONG_RUN_SECONDS = 1.0
"""A slot that is taken for less comes back within the time that the most urgent ones wait."""
_FOR_WANT_OF_ROOM = (Refusal.OVERLOAD, Refusal.NO_ROOM, Refusal.SHARE, Refusal.RETURNED)
_NO_ROOM = NoChoice(Refusal.NO_ROOM, 0.0)
_OVERLOAD = NoChoice(Refusal.OVERLOAD, 0.0)
"""When to come back is told with the final answer alone."""


class AdmissionQueue:
    """Decides for one gateway that places requests, its own and those of others."""

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
        self._time = WaitLimits(fleet)
        self._pressure = Pressure()
        self._rates: dict[str, ReleaseRate] = {}
        self._next_sweep: dict[str, float] = {}
        self._shares = shares or EqualShares()
        self._returns = returns or NoReturns()
        self._standings: dict[tuple[str, int, str], float] = {}
        self._standings_at = float("-inf")
        self.held = 0
        """Requests that had to wait so far."""
        self.placed = 0
        """Of these, those that were placed."""
        self.given_up = 0
        """Of these, those that were refused."""

    # Asks

    def place(
        self,
        entry: QueueEntry,
        service: Service,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> Choice | NoChoice | Queued:
        """Return where a request goes, that it waits, or why it does neither."""
        if service.engine is None:
            need = entry.need_at(now)
            return self._fleet.choose(need, service, upstreams, entry.excluded, now)
        if self.requests.find(entry.key) is not None:
            return self._renew(entry, now)
        early = self._fleet.shedding.refuse_early(entry.need_at(now), now)
        if early is not None:
            return early
        found = self._look(entry, service, upstreams, now, new=True)
        if isinstance(found, NoChoice):
            found = self._queued(entry, service, upstreams, now) or found
        if isinstance(found, Choice):
            self._note_placed(entry, found, now)
            return found
        if found.refusal not in _FOR_WANT_OF_ROOM:
            return found
        if not self._time.is_worth_waiting(entry, self._likely_wait(entry, now), now):
            return self._give_up(entry, found, now)
        if not self.requests.add(entry):
            return self._give_up(entry, found, now)
        self.held += 1
        self._fleet.shedding.returns.note_scarce(entry.need.service, entry.need.tier, now)
        return Queued()

    def _queued(
        self, entry: QueueEntry, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Choice | None:
        """Return an engine in whose queue a short request is still in time, None without one.

        Engines let the most urgent in first, some milliseconds sooner than a slot that comes free
        is heard of here.
        """
        need = entry.need_at(now)
        if self._fleet.shedding.is_long(need) or self._stands_behind(entry, now):
            return None
        found = self._fleet.choose(need, service, upstreams, entry.excluded, now)
        if isinstance(found, Choice) and found.first_event_seconds <= need.target - need.waited:
            return found
        return None

    def _renew(self, entry: QueueEntry, now: float) -> Queued | NoChoice:
        """Note that a request is still asked for, and what of it has changed."""
        if not self._time.is_overdue(entry, now) and self.requests.add(entry):
            return Queued()
        self.given_up += 1
        return self._give_up(entry, _NO_ROOM, now)

    def _is_pressed(self, entry: QueueEntry, now: float) -> bool:
        return self._pressure.applies_to(entry.need.service, entry.need.tier, now)

    def _look(
        self,
        entry: QueueEntry,
        service: Service,
        upstreams: Sequence[Upstream],
        now: float,
        new: bool = False,
    ) -> Choice | NoChoice:
        """Choose among the engines that have room; a new one stands behind those that wait."""
        if self._is_pressed(entry, now) and self._fleet.shedding.is_long(entry.need):
            return _OVERLOAD
        need = entry.need_at(now)
        usable = [item for item in upstreams if item.id not in entry.excluded]
        closed = self.engines.closed(service, need.tier, usable, now)
        if usable and len(closed) == len(usable):
            return _NO_ROOM
        if new and self._stands_behind(entry, now):
            return _NO_ROOM
        return self._fleet.choose(need, service, upstreams, entry.excluded, now, closed)

    def _give_up(self, entry: QueueEntry, found: NoChoice, now: float) -> NoChoice:
        """Return the final answer of one that waits no longer, or not at all."""
        self.requests.drop(entry.key)
        wait = max(found.wait_seconds, self._likely_wait(entry, now))
        refused = self._fleet.shedding.refuse_finally(entry.need_at(now), found.refusal, wait, now)
        return replace(refused, standing=found.standing)

    # What waits

    def due(
        self, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[tuple[QueueEntry, Choice | NoChoice]]:
        """Yield what is placed or given up now, in order.

        Whoever is placed has to be counted in before the next one is asked for.
        """
        if not self._any_open(service, upstreams, now):
            yield from self._overdue(service, now)
            return
        entries = sorted(
            self.requests.for_service(service.name), key=lambda entry: self._order(entry, now)
        )
        passed_over: set[tuple[int, str]] = set()
        looks = 0
        for entry in entries:
            kind = (entry.need.tier, entry.need.route)
            if kind in passed_over:
                continue
            looks += 1
            if looks > _MOST_CHOICES:
                break
            found = self._look(entry, service, upstreams, now)
            if isinstance(found, Choice) and self._keeps_more(entry, found, service, upstreams):
                passed_over.add(kind)
            elif isinstance(found, Choice) and not self._time.is_too_late(entry, found, now):
                self.requests.drop(entry.key)
                self.placed += 1
                self._pressure.note(entry, now)
                self._note_placed(entry, found, now)
                yield entry, found
            elif isinstance(found, NoChoice) and not entry.excluded:
                passed_over.add(kind)
        yield from self._overdue(service, now)

    def _keeps_more(
        self, entry: QueueEntry, choice: Choice, service: Service, upstreams: Sequence[Upstream]
    ) -> bool:
        """Return whether more slots than usual are kept from a long request that has waited.

        Those that wait are ready at each moment, and fill what is left up to the reserve, where
        newcomers leave some of it to chance. What they take is gone for as long as they run.
        """
        if service.engine is None or choice.answer_seconds < _LONG_RUN_SECONDS:
            return False
        if not self._fleet.shedding.is_long(entry.need):
            return False
        return self._fleet.only_reserved_left(
            entry.need, service.engine, upstreams, _WAITING_RESERVE
        )

    def _any_open(self, service: Service, upstreams: Sequence[Upstream], now: float) -> bool:
        """Return whether an engine has room for the most urgent that wait."""
        most_urgent = min(self.requests.tiers(service.name), default=None)
        if most_urgent is None:
            return False
        return len(self.engines.closed(service, most_urgent, upstreams, now)) < len(upstreams)

    def _overdue(self, service: Service, now: float) -> Iterator[tuple[QueueEntry, NoChoice]]:
        """Yield those for which waiting on is of no use."""
        if now < self._next_sweep.get(service.name, 0.0):
            return
        self._next_sweep[service.name] = now + _SWEEP_SECONDS
        for entry in self.requests.for_service(service.name):
            if self._time.is_overdue(entry, now):
                self.given_up += 1
                self._pressure.note(entry, now)
                yield entry, self._give_up(entry, _NO_ROOM, now)

    def _note_placed(self, entry: QueueEntry, choice: Choice, now: float) -> None:
        self.engines.note_taken(choice.upstream.id, now)
        self._rates.setdefault(entry.need.service, ReleaseRate()).note(entry.need.tier, now)

    # Order and time

    def _order(self, entry: QueueEntry, now: float) -> Order:
        """Return the place in line: of one tier, those that can still be in time go first."""
        need = entry.need
        standing = self._standing(entry, now)
        place = Precedence(
            need.tier,
            # Of a team over its share nobody goes before newcomers of others.
            newcomer=standing > 0.0 or not self._returns.is_due(need.caller, now),
            standing=standing,
            arrived_at=entry.arrived_at,
        )
        late = now >= self._time.on_time_until(entry) and not self._is_pressed(entry, now)
        return (place.tier, late, place.newcomer, place.standing, place.arrived_at)

    def _standing(self, entry: QueueEntry, now: float) -> float:
        """Return what the team of a request has had, worked out once for a moment."""
        if now != self._standings_at:
            self._standings_at = now
            self._standings = {}
        need = entry.need
        key = (need.service, need.tier, need.team)
        found = self._standings.get(key)
        if found is None:
            found = self._standings[key] = self._shares.excess_standing(need, now)
        return found

    def _stands_behind(self, entry: QueueEntry, now: float) -> bool:
        """Return whether any that waits goes before a new request."""
        others = self.requests.for_service(entry.need.service)
        if not others:
            return False
        own = self._order(entry, now)
        return any(self._order(other, now) < own for other in others)

    def _likely_wait(self, entry: QueueEntry, now: float) -> float:
        """Return how long the line before a request takes.

        Of a line that has just begun the worst is expected for long requests, since they may come
        back in time if they are told at once, and nothing for short ones.
        """
        need = entry.need
        rate = self._rates.setdefault(need.service, ReleaseRate())
        if not rate.is_known(now) and not self._fleet.shedding.is_long(need):
            return 0.0
        tiers = self.requests.tiers(need.service)
        more_urgent = sum(count for tier, count in tiers.items() if tier < need.tier)
        return rate.expected_wait(need.tier, more_urgent, tiers.get(need.tier, 0), now)
