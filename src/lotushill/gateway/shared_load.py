"""What this gateway runs, told to the others, and what they run, told by them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.messages import Load

if TYPE_CHECKING:
    from collections.abc import Callable

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
        tell: Callable[[Load], None],
    ) -> None:
        """Follow the load of `fleet`; `service_of` finds an upstream's service by its id."""
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._service_of = service_of
        self._tell = tell
        self._own: dict[int, tuple[Placed, float]] = {}
        self._others: dict[str, dict[int, float]] = {}
        self._lists = 0
        self._newcomers = False
        self._list_due = float("-inf")
        self._list_last = float("-inf")
        self._list_before = float("-inf")
        """When the list before the last was told: what started since is told again."""
        self._empty_lists = 0
        self._ends_by: dict[int, float] = {}

    def start(self, placed: Placed, service: Service) -> None:
        """Count in a request of this gateway and tell the others."""
        now = self._clock()
        self._own[placed.request] = (placed, now)
        self._fleet.start(placed, service, now)
        self._fleet.pace(service.name).note_reading(placed.reading)
        self._tell(Load(self._name, False, placed=(placed,)))

    def begin(self, request: int) -> None:
        """Note the first event of a request of this gateway and tell the others."""
        known = self._own.get(request)
        if known is not None:
            self._own[request] = (replace(known[0], began=True), known[1])
            self._fleet.begin(request, self._clock())
            self._tell(Load(self._name, False, began=(request,)))

    def end(self, request: int) -> None:
        """Count out a request of this gateway and tell the others."""
        if self._own.pop(request, None) is not None:
            self._fleet.end(request, self._clock())
            self._tell(Load(self._name, False, ended=(request,)))

    def due_lists(self, gateways: int) -> list[Load]:
        """Return the list that is due now in a fleet of so many gateways, if one is."""
        now = self._clock()
        if now < self._list_due:
            return []
        self._list_due = now + max(_LIST_SECONDS, gateways / _LISTS_A_SECOND)
        return self.whole()

    def tell_everything(self) -> None:
        """Tell all that runs in the next list, since a gateway has come that knows nothing."""
        self._newcomers = True

    def whole(self) -> list[Load]:
        """Return what repairs whatever others have missed: all that this gateway runs.

        The numbers of all its requests end those that others still count; the ones that began
        lately are told again, in case that their start was lost.
        """
        now = self._clock()
        self._lists += 1
        everything = self._newcomers or self._lists % _LISTS_OF_EVERYTHING == 0
        self._newcomers = False
        recent = [
            replace(item, age=now - since, part_ids=(), part_tokens=())
            for item, since in self._own.values()
            if everything or since >= self._list_before
        ]
        self._list_before, self._list_last = self._list_last, now
        began = tuple(number for number, (item, _) in self._own.items() if item.began)
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
        for request in load.began:
            self._fleet.begin(request, now)
        for request in load.ended:
            self._count_out(request, held)
        if load.whole:
            told = set(load.running)
            for request, since in list(held.items()):
                if request not in told and now - since > _YOUNG_SECONDS:
                    self._count_out(request, held)

    def expire(self) -> None:
        """Drop requests whose end was never told, long after they should have ended."""
        now = self._clock()
        for held in self._others.values():
            for request in [item for item in held if self._ends_by[item] < now]:
                self._count_out(request, held)

    def drop_sender(self, name: str) -> None:
        """Drop all requests of a gateway that has gone."""
        held = self._others.pop(name, {})
        for request in list(held):
            self._count_out(request, held)

    def _count_in(self, placed: Placed, held: dict[int, float], now: float) -> None:
        if placed.request in held:
            if placed.began:
                self._fleet.begin(placed.request, now)
            return
        service = self._service_of(placed.upstream)
        if service is None:
            return
        held[placed.request] = now
        self._ends_by[placed.request] = now + 2 * placed.seconds + _SILENT_SECONDS
        self._fleet.start(placed, service, now)
        if not placed.age:
            self._fleet.pace(service.name).note_reading(placed.reading)

    def _count_out(self, request: int, held: dict[int, float]) -> None:
        held.pop(request, None)
        self._ends_by.pop(request, None)
        self._fleet.end(request, self._clock())
