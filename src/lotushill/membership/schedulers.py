"""Selects the gateways that keep the model of all upstreams and place requests for the others.

In a small fleet every gateway does. In a large fleet the few with the highest hashes of each hall
do: to receive an update on each request of all others would cost a gateway more than its own
requests. Every member computes the same schedulers from the same members; a disagreement between
two members costs time but breaks no promise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members

MAX_SMALL_FLEET_GATEWAYS = 16
"""Number of gateways up to which every gateway is a scheduler. In such a fleet it is cheaper to
receive updates on some 100 requests per second than to send a query for each of a gateway's own
ten."""
SCHEDULERS_PER_HALL = 2
"""Schedulers per hall: they share its requests, and if one fails the other continues."""
_SILENT_SECONDS = 0.7
"""Time for which a scheduler that did not answer is asked last; by its end a lost scheduler is
suspected."""
_KEY = "scheduler"


class Schedulers:
    """Schedulers among the live members, recomputed when these change."""

    def __init__(self, membership: Members) -> None:
        self._membership = membership
        self._computed_version = -1
        self._names_by_hall: dict[str, tuple[str, ...]] = {}
        self._all: tuple[str, ...] = ()
        self._is_scheduler = True
        self._is_small = True
        self._silent_until: dict[str, float] = {}
        """Time until which each scheduler that did not answer is asked last, by name."""

    def is_scheduler(self) -> bool:
        """Return whether this gateway places requests itself, for all others or for its hall."""
        self._update()
        return self._is_scheduler

    def is_small_fleet(self) -> bool:
        """Return whether the fleet is so small that every gateway is a scheduler."""
        self._update()
        return self._is_small

    def others(self) -> list[MemberState]:
        """Return all schedulers except this gateway."""
        self._update()
        return self._known_states(name for name in self._all if name != self._membership.own.name)

    def note_silent(self, name: str, now: float) -> None:
        """Record that a scheduler did not answer in time."""
        self._silent_until[name] = now + _SILENT_SECONDS

    def note_answer(self, name: str) -> None:
        """Record that a scheduler answered."""
        self._silent_until.pop(name, None)

    def query_order(self, now: float, request_number: int = 0) -> list[MemberState]:
        """Return the schedulers to ask in order: those of this hall, then one of each other hall.

        `request_number` distributes the requests over the schedulers of the hall: a scheduler on a
        weak host that answers a whole burst alone is late. Schedulers that recently did not answer
        come last.
        """
        self._update()
        own = self._membership.own
        same_hall = [name for name in self._names_by_hall.get(own.hall, ()) if name != own.name]
        if same_hall:
            first = request_number % len(same_hall)
            same_hall = same_hall[first:] + same_hall[:first]
        other_halls = [
            order[0] for hall, order in self._names_by_hall.items() if hall != own.hall and order
        ]
        order = sorted(
            (*same_hall, *other_halls), key=lambda name: self._silent_until.get(name, now) > now
        )
        return self._known_states(order)

    def names_by_hall(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the schedulers by hall."""
        self._update()
        return self._names_by_hall

    def _known_states(self, names: Iterable[str]) -> list[MemberState]:
        states = (self._membership.find(name) for name in names)
        return [state for state in states if state is not None]

    def _update(self) -> None:
        if self._membership.composition_version == self._computed_version:
            return
        self._computed_version = self._membership.composition_version
        members = self._membership.live()
        self._is_small = len(members) <= MAX_SMALL_FLEET_GATEWAYS
        count = len(members) if self._is_small else SCHEDULERS_PER_HALL
        halls: dict[str, list[str]] = {}
        for member in members:
            halls.setdefault(member.hall, []).append(member.name)
        self._names_by_hall = {
            hall: ranked(_KEY, names, count) for hall, names in sorted(halls.items())
        }
        self._all = tuple(name for names in self._names_by_hall.values() for name in names)
        self._is_scheduler = self._is_small or self._membership.own.name in self._all
