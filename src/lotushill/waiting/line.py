"""Places requests or has them wait: the room, the model of all engines and the turns together.

The load that it answers: more comes than engines can begin. What is sent then stands in an engine's
queue, where nobody can reorder it, up to the length at which the engine turns away whatever comes,
the most urgent included. Here each engine is sent what it has a slot for, or will have within a
tenth of a second, and all else waits where it can be reordered, is placed as soon as an engine has
room, or is given up. While engines have room nothing waits, and nothing is decided here. Pure.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.precedence import Precedence
from lotushill.waiting.entry import Held
from lotushill.waiting.release_rate import ReleaseRate
from lotushill.waiting.room import WaitingRoom
from lotushill.waiting.standing import EqualShares
from lotushill.waiting.standing import NobodyReturns
from lotushill.waiting.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from lotushill.placement.fleet import Fleet
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.waiting.entry import Waiting
    from lotushill.waiting.standing import Returning
    from lotushill.waiting.standing import Standing
    from lotushill.waiting.turns import Rivals

    Order = tuple[int, bool, bool, float, float]

_SOON_SECONDS = 0.1
"""A slot that comes free within this is filled now, so that it is not empty until all have heard of
it and the next request has come there. An eighth of the shortest target of a long request."""
_SWEEP_SECONDS = 0.03
"""Between two looks for those that wait in vain."""
_PRESSED_SECONDS = 0.5
"""So long after a more urgent request had to wait, long ones get nothing: whoever begins keeps its
slot, and between two urgent ones there is always a moment in which none waits."""
_FELT_SHARE = 0.25
"""Of its target, from which a wait is counted: shorter ones come with every full engine."""
_WAITING_RESERVE = 0.5
_LONG_RUN_SECONDS = 1.0
"""A slot that is taken for less comes back within the time that the most urgent ones wait."""
_FOR_WANT_OF_ROOM = (Refusal.OVERLOAD, Refusal.NO_ROOM)
_SHORTEST_RETRY = 0.2
_LONG_RETRY = 1.0
_LONGEST_RETRY = 3.0
"""Seconds; as for requests that are refused without having waited."""


class WaitingLine:
    """Decides for one gateway that places requests, its own and those of others."""

    def __init__(
        self,
        fleet: Fleet,
        rivals: Rivals,
        shares: Standing | None = None,
        returns: Returning | None = None,
    ) -> None:
        self._fleet = fleet
        self.rivals = rivals
        self.turns = Turns(rivals)
        self.room = WaitingRoom()
        self._rates: dict[str, ReleaseRate] = {}
        self._next_sweep: dict[str, float] = {}
        self._pressed: dict[str, dict[int, float]] = {}
        """When a request of a tier last had to wait for long, by service."""
        self._shares = shares or EqualShares()
        self._returns = returns or NobodyReturns()
        self.held = 0
        """Requests that had to wait so far."""
        self.placed = 0
        """Of these, those that were placed."""
        self.given_up = 0
        """Of these, those that were refused."""

    # Asks

    def place(
        self,
        entry: Waiting,
        service: Service,
        upstreams: Sequence[Upstream],
        now: float,
    ) -> Choice | NoChoice | Held:
        """Return where a request goes, that it waits, or why it does neither."""
        if service.engine is None:
            need = entry.need_at(now)
            return self._fleet.choose(need, service, upstreams, entry.excluded, now)
        if self.room.find(entry.key) is not None:
            return self._renew(entry, now)
        found = self._first_look(entry, service, upstreams, now)
        if isinstance(found, Choice):
            self._note_placed(entry, found, now)
            return found
        if found.refusal not in _FOR_WANT_OF_ROOM:
            return found
        if not self._is_worth_waiting(entry, now):
            return self._give_up(entry, found, now)
        if not self.room.add(entry):
            return found
        self.held += 1
        return Held()

    def _renew(self, entry: Waiting, now: float) -> Held | NoChoice:
        """Note that a request is still asked for, and what of it has changed."""
        if now < self._waits_until(entry, now) and self.room.add(entry):
            return Held()
        self.given_up += 1
        return self._give_up(entry, NoChoice(Refusal.NO_ROOM, _SHORTEST_RETRY), now)

    def _first_look(
        self, entry: Waiting, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Choice | NoChoice:
        if self._before(entry, now):
            return NoChoice(Refusal.NO_ROOM, _SHORTEST_RETRY)
        return self._look(entry, service, upstreams, now)

    def _is_pressed(self, entry: Waiting, now: float) -> bool:
        """Return whether more urgent ones had to wait of late."""
        pressed = self._pressed.get(entry.need.service, {})
        return any(
            tier < entry.need.tier and now - at < _PRESSED_SECONDS for tier, at in pressed.items()
        )

    def _note_pressed(self, entry: Waiting, now: float) -> None:
        """Note the end of a wait, if it was one that is felt."""
        if now - entry.since > _FELT_SHARE * entry.need.target:
            self._pressed.setdefault(entry.need.service, {})[entry.need.tier] = now

    def _look(
        self, entry: Waiting, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Choice | NoChoice:
        """Choose among the engines that have room."""
        if self._is_pressed(entry, now) and self._fleet.shedding.is_long(entry.need):
            return NoChoice(Refusal.OVERLOAD, _LONG_RETRY)
        need = entry.need_at(now)
        usable = [item for item in upstreams if item.id not in entry.excluded]
        closed = self._closed(service, need.tier, usable, now)
        if usable and len(closed) == len(usable):
            return NoChoice(Refusal.NO_ROOM, _SHORTEST_RETRY)
        return self._fleet.choose(need, service, upstreams, entry.excluded, now, closed)

    def _give_up(self, entry: Waiting, found: NoChoice, now: float) -> NoChoice:
        """Return the final answer of one that waits no longer, or not at all."""
        self.room.drop(entry.key)
        wait = self._likely_wait(entry, now)
        long = self._fleet.shedding.is_long(entry.need)
        least = _LONG_RETRY if long else _SHORTEST_RETRY
        retry_after = min(_LONGEST_RETRY, max(least, found.retry_after, wait))
        return replace(found, retry_after=retry_after, wait=max(found.wait, wait), final=True)

    # What waits

    def due(
        self, service: Service, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[tuple[Waiting, Choice | NoChoice]]:
        """Yield what is placed or given up now, in order.

        Whoever is placed has to be counted in before the next one is asked for.
        """
        if not self._any_open(service, upstreams, now):
            yield from self._overdue(service, now)
            return
        entries = sorted(self.room.of(service.name), key=lambda entry: self._order(entry, now))
        passed_over: set[tuple[int, str]] = set()
        for entry in entries:
            kind = (entry.need.tier, entry.need.route)
            if kind in passed_over:
                continue
            found = self._look(entry, service, upstreams, now)
            if isinstance(found, Choice) and self._keeps_more(entry, found, service, upstreams):
                passed_over.add(kind)
            elif isinstance(found, Choice) and not self._comes_too_late(entry, found, now):
                self.room.drop(entry.key)
                self.placed += 1
                self._note_pressed(entry, now)
                self._note_placed(entry, found, now)
                yield entry, found
            elif isinstance(found, NoChoice) and not entry.excluded:
                passed_over.add(kind)
        yield from self._overdue(service, now)

    def _keeps_more(
        self, entry: Waiting, choice: Choice, service: Service, upstreams: Sequence[Upstream]
    ) -> bool:
        """Return whether more slots than usual are kept from a long request that has waited.

        Those that wait are ready at each moment, and fill what is left up to the reserve, where
        newcomers leave some of it to chance. What they take is gone for as long as they run.
        """
        if service.engine is None or choice.seconds < _LONG_RUN_SECONDS:
            return False
        if not self._fleet.shedding.is_long(entry.need):
            return False
        return self._fleet.only_reserved_left(
            entry.need, service.engine, upstreams, _WAITING_RESERVE
        )

    def _comes_too_late(self, entry: Waiting, choice: Choice, now: float) -> bool:
        """Return whether a request would gain nothing from the slot that it could have now.

        Its client would be gone, or it is a long one that would be late: the slot is worth more to
        one that came later and can be in time.
        """
        shedding = self._fleet.shedding
        if now + choice.first > entry.patience_ends:
            return True
        late = now + choice.first > entry.since + entry.need.target
        return late and shedding.is_long(entry.need) and not shedding.must_serve(entry.need, now)

    def _any_open(self, service: Service, upstreams: Sequence[Upstream], now: float) -> bool:
        """Return whether an engine has room for the most urgent that wait."""
        most_urgent = min(self.room.tiers(service.name), default=None)
        if most_urgent is None:
            return False
        return len(self._closed(service, most_urgent, upstreams, now)) < len(upstreams)

    def _overdue(self, service: Service, now: float) -> Iterator[tuple[Waiting, NoChoice]]:
        """Yield those for which waiting on is of no use."""
        if now < self._next_sweep.get(service.name, 0.0):
            return
        self._next_sweep[service.name] = now + _SWEEP_SECONDS
        for entry in self.room.of(service.name):
            if now >= self._waits_until(entry, now):
                self.given_up += 1
                self._note_pressed(entry, now)
                refused = NoChoice(Refusal.NO_ROOM, _SHORTEST_RETRY)
                yield entry, self._give_up(entry, refused, now)

    def _note_placed(self, entry: Waiting, choice: Choice, now: float) -> None:
        self.turns.note_taken(choice.upstream.id, now)
        self._rates.setdefault(entry.need.service, ReleaseRate()).note(entry.need.tier, now)

    # Order and time

    def _order(self, entry: Waiting, now: float) -> Order:
        """Return the place in line: of one tier, those that can still be in time go first."""
        need = entry.need
        place = Precedence(
            need.tier,
            newcomer=not self._returns.is_due(need.caller, now),
            standing=self._shares.standing(need.service, need.team, need.share, now),
            since=entry.since,
        )
        late = now >= self._in_time_until(entry) and not self._is_pressed(entry, now)
        return (place.tier, late, place.newcomer, place.standing, place.since)

    def _before(self, entry: Waiting, now: float) -> list[Waiting]:
        """Return all that wait and go before a request."""
        others = self.room.of(entry.need.service)
        if not others:
            return []
        own = self._order(entry, now)
        return [item for item in others if item is not entry and self._order(item, now) < own]

    def _in_time_until(self, entry: Waiting) -> float:
        """Return until when a request can be placed so that its first event is in time."""
        need, pace = entry.need, self._fleet.pace(entry.need.service)
        reading = self._fleet.shedding.usual.reading(need.service, need.route)
        tokens = min(float(need.prompt_tokens), reading or need.prompt_tokens)
        return entry.since + need.target - tokens / pace.read_rate

    def _waits_until(self, entry: Waiting, now: float) -> float:
        """Return until when a request is held.

        A long one that cannot be in time is not: what it would take makes others late. A short one
        is served late in place of not at all, as long as its client waits.
        """
        shedding = self._fleet.shedding
        if shedding.is_long(entry.need) and not shedding.must_serve(entry.need, now):
            return self._in_time_until(entry)
        return entry.patience_ends

    def _is_worth_waiting(self, entry: Waiting, now: float) -> bool:
        """Return whether a request is likely to be placed in the time for which it is held."""
        left = self._waits_until(entry, now) - now
        if left <= 0.0:
            return False
        if self._fleet.shedding.must_serve(entry.need, now):
            return True
        return self._likely_wait(entry, now) <= left

    def _likely_wait(self, entry: Waiting, now: float) -> float:
        """Return how long the line before a request takes."""
        rate = self._rates.setdefault(entry.need.service, ReleaseRate())
        before = self._before(entry, now)
        more_urgent = sum(other.need.tier < entry.need.tier for other in before)
        return rate.wait(entry.need.tier, more_urgent, len(before) - more_urgent, now)

    # Engines

    def _closed(
        self, service: Service, tier: int, upstreams: Sequence[Upstream], now: float
    ) -> frozenset[str]:
        """Return the engines that are to be sent nothing of a tier from here now."""
        assert service.engine is not None
        slots = service.engine.slots
        contested = self.rivals.any(service.name, now)
        closed = []
        for item in upstreams:
            load = self._fleet.load(item.id)
            free = _free(load, tier, slots)
            self.turns.look(item.id, free, now)
            if free > 0 and contested:
                free *= self.turns.may_take(service.name, tier, item.id, free, now)
            if free <= 0:
                closed.append(item.id)
        return frozenset(closed)


def _free(load: UpstreamLoad, tier: int, slots: int) -> int:
    """Return how many slots of an engine are free for a tier, or will be within moments."""
    usual = load.usual_seconds
    soon = math.floor(slots * _SOON_SECONDS / usual) if usual > 0.0 else 0
    return slots + soon - load.before(tier)
