"""What this gateway runs, told to the schedulers, and what others run, told by them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Paced

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.placement.engine_pace import LongTermPace
    from lotushill.placement.fleet import Fleet
    from lotushill.placement.messages import Placed
    from lotushill.routing.service import Service

_SILENT_SECONDS = 1.0
"""A request of a gateway that was silent for so long is kept for its expected time only."""
_LIST_SECONDS = 0.5
"""Between two lists of one gateway in a small fleet."""
_LISTS_A_SECOND = 40.0
"""Of all gateways together, so that hearing them costs the same in a large fleet."""
_LISTS_OF_EVERYTHING = 6
"""Every so many lists all starts are told again, for gateways that came later."""
_EMPTY_LISTS = 3
"""One that runs nothing says so so often, and then no more."""
_MOST_PLACED = 16
"""Requests told in one datagram."""
_MOST_NUMBERS = 110
"""Numbers told in one datagram, twice where all have begun."""
_LEAST_AGE = 0.001
"""Seconds; one that is told again has some age, so that its reading is not learned from twice."""
_YOUNG_SECONDS = 0.3
"""A request as young as this may be missing from a list that was on its way."""


class SharedLoad:
    """Keeps the fleet's model in step over all gateways; pure, with the clock passed in."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        clock: Callable[[], float],
        service_of: Callable[[str], Service | None],
        publish: Callable[[Load], None],
        is_same_hall: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Follow the load of `fleet`; `service_of` finds an upstream's service by its id.

        `is_near` tells whether a gateway stands in the own hall.
        """
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._service_of = service_of
        self._tell = publish
        self._is_near = is_same_hall
        self._own: dict[int, tuple[Placed, float]] = {}
        self._others: dict[str, dict[int, float]] = {}
        self._lists = 0
        self._list_due = float("-inf")
        self._list_last = float("-inf")
        self._list_before = float("-inf")
        """When the list before the last was told: what started since is told again."""
        self._empty_lists = 0
        self._ends_by: dict[int, float] = {}

    def start(self, placed: Placed, service: Service, announced: bool = False) -> None:
        """Count in a request of this gateway; tell of it, unless whoever placed it has."""
        if placed.request in self._own:
            return
        now = self._clock()
        self._own[placed.request] = (placed, now)
        self._fleet.start(placed, service, now)
        self._fleet.pace(service.name).note_prefill(placed.prefill_tokens)
        if not announced:
            self._tell(Load(self._name, False, placed=(placed,)))

    def start_for(self, sender: str, placed: Placed, service: Service) -> None:
        """Count in a request that was placed here for another gateway, and tell of it."""
        self._count_in(placed, self._others.setdefault(sender, {}), self._clock(), service)
        self._tell(Load(sender, False, placed=(placed,)))

    def begin(self, request: int, seconds: float) -> None:
        """Note the first event of a request of this gateway, so long after it was sent."""
        known = self._own.get(request)
        if known is not None:
            began = Began(request, seconds)
            self._own[request] = (replace(known[0], began=True), known[1])
            self._fleet.begin(began, self._clock())
            self._tell(Load(self._name, False, began=(began,)))

    def note_paced(self, request: int, pause: float) -> None:
        """Tell a typical pause of a stream of this gateway, whose pauses are all known here."""
        if request in self._own:
            self._tell(Load(self._name, False, paced=(Paced(request, pause),)))

    def end(self, request: int, outcome: Outcome = Outcome.UNKNOWN, seconds: float = 0.0) -> None:
        """Count out a request of this gateway, which ran for so long."""
        if self._own.pop(request, None) is not None:
            ended = Ended(request, outcome, seconds)
            self._fleet.end(ended, self._clock())
            self._tell(Load(self._name, False, ended=(ended,)))

    def give_up(self, request: int) -> None:
        """Tell that a request was placed for this gateway and is not sent."""
        self._tell(Load(self._name, False, ended=(Ended(request),)))

    def due_snapshots(self, gateways: int) -> list[Load]:
        """Return the list that is due now in a fleet of so many gateways, if one is."""
        now = self._clock()
        if now < self._list_due:
            return []
        self._list_due = now + max(_LIST_SECONDS, gateways / _LISTS_A_SECOND)
        return self.snapshot()

    def all_running(self) -> list[Load]:
        """Return all that is held to run, for a gateway that becomes a scheduler."""
        now = self._clock()
        loads = [_started(self._name, [(item, since) for item, since in self._own.values()], now)]
        for sender, held in self._others.items():
            running = [
                (placed, since)
                for request, since in held.items()
                if (placed := self._fleet.running_request(request)) is not None
            ]
            loads.append(_started(sender, running, now))
        return [load for load in loads if load.placed]

    def paces(self) -> list[LongTermPace]:
        """Return what is known of the pace of upstreams, for the same."""
        return self._fleet.engine_paces.known_paces()

    def merge_paces(self, paces: Sequence[LongTermPace]) -> None:
        """Take in what another scheduler has found of upstreams of which nothing is known here."""
        for told in paces:
            service = self._service_of(told.upstream)
            if service is not None:
                self._fleet.adopt_reported_pace(told, service.name)

    def snapshot(self) -> list[Load]:
        """Return what repairs whatever others have missed: all that this gateway runs.

        The numbers of all its requests end those that others still count; the ones that began
        lately are told again, in case that their start was lost.
        """
        now = self._clock()
        self._lists += 1
        everything = self._lists % _LISTS_OF_EVERYTHING == 0
        recent = [
            replace(item, age=now - since, part_ids=(), part_tokens=())
            for item, since in self._own.values()
            if everything or since >= self._list_before
        ]
        self._list_before, self._list_last = self._list_last, now
        began = tuple(Began(number) for number, (item, _) in self._own.items() if item.began)
        loads = [
            Load(self._name, False, placed=tuple(recent[start : start + _MOST_PLACED]))
            for start in range(0, len(recent), _MOST_PLACED)
        ]
        if self._own:
            self._empty_lists = 0
        elif self._empty_lists >= _EMPTY_LISTS:
            return []
        else:
            self._empty_lists += 1
        if len(self._own) <= _MOST_NUMBERS:
            # In parts it would no longer be all, and must not be taken for it.
            loads.append(Load(self._name, True, began=began, running=tuple(self._own)))
        return loads

    def receive(self, load: Load) -> None:
        """Take in what another gateway tells."""
        if load.sender == self._name:
            return
        now = self._clock()
        held = self._others.setdefault(load.sender, {})
        for placed in load.placed:
            self._count_in(placed, held, now)
        for began in load.began:
            self._fleet.begin(began, now)
        for paced in load.paced:
            self._fleet.note_paced(paced, now)
        for ended in load.ended:
            self._count_out(ended, held, self._is_near(load.sender))
        if load.whole:
            told = set(load.running)
            for request, since in list(held.items()):
                if request not in told and now - since > _YOUNG_SECONDS:
                    self._count_out(Ended(request), held)

    def expire(self) -> None:
        """Drop requests whose end was never told, long after they should have ended."""
        now = self._clock()
        for held in self._others.values():
            for request in [item for item in held if self._ends_by[item] < now]:
                self._count_out(Ended(request), held)

    def drop_sender(self, name: str) -> None:
        """Drop all requests of a gateway that has gone."""
        held = self._others.pop(name, {})
        for request in list(held):
            self._count_out(Ended(request), held)

    def _count_in(
        self, placed: Placed, held: dict[int, float], now: float, known: Service | None = None
    ) -> None:
        if placed.request in held:
            if placed.began:
                self._fleet.begin(Began(placed.request), now)
            return
        service = known or self._service_of(placed.upstream)
        if service is None:
            return
        held[placed.request] = now
        self._ends_by[placed.request] = now + 2 * placed.seconds + _SILENT_SECONDS
        self._fleet.start(placed, service, now)
        if not placed.age:
            self._fleet.pace(service.name).note_prefill(placed.prefill_tokens)

    def _count_out(self, ended: Ended, held: dict[int, float], near: bool = True) -> None:
        held.pop(ended.request, None)
        self._ends_by.pop(ended.request, None)
        self._fleet.end(ended, self._clock(), near)


def _started(sender: str, running: list[tuple[Placed, float]], now: float) -> Load:
    """Return news of requests that run since some moments."""
    placed = tuple(replace(item, age=max(_LEAST_AGE, now - since)) for item, since in running)
    return Load(sender, False, placed=placed)
