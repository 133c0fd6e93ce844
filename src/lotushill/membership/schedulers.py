"""Which gateways hold the model of all upstreams and place requests for the others.

In a small fleet every gateway does. In a large one the few with the highest hashes of each hall do:
hearing of each request of all others would cost a gateway more than its own requests. Every member
works out the same schedulers from the same members; two that disagree cost time, never a promise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members

MAX_SMALL_FLEET_GATEWAYS = 16
"""Gateways up to which everybody schedules: hearing some 100 requests a second is then cheaper than
asking for each of ten that a gateway has itself."""
SCHEDULERS_PER_HALL = 2
"""In each hall: they share its requests, and one goes on should the other fail."""
_SILENT_SECONDS = 0.7
"""A scheduler that did not answer is asked last for so long: by then a lost one is suspected."""
_KEY = "scheduler"


class Schedulers:
    """The schedulers among the live members, worked out when these change."""

    def __init__(self, membership: Members) -> None:
        self._membership = membership
        self._looked_at = -1
        self._halls: dict[str, tuple[str, ...]] = {}
        self._all: tuple[str, ...] = ()
        self._own = True
        self._small = True
        self._silent: dict[str, float] = {}
        """Schedulers that did not answer, by when they are asked again."""

    def is_scheduler(self) -> bool:
        """Return whether this gateway places by itself, for all others or for its hall."""
        self._look()
        return self._own

    def is_small_fleet(self) -> bool:
        """Return whether everybody schedules."""
        self._look()
        return self._small

    def others(self) -> list[MemberState]:
        """Return all schedulers but this gateway."""
        self._look()
        return self._found(name for name in self._all if name != self._membership.own.name)

    def note_silent(self, name: str, now: float) -> None:
        """Note that a scheduler did not answer in time."""
        self._silent[name] = now + _SILENT_SECONDS

    def note_answer(self, name: str) -> None:
        """Note that a scheduler answers."""
        self._silent.pop(name, None)

    def query_order(self, now: float, turn: int = 0) -> list[MemberState]:
        """Return whom this gateway asks: its hall's, then the first of other halls.

        `turn`, the number of a request, spreads them over the schedulers of the hall: one that
        answers all of a burst is late on a weak host. Those that were silent lately come last.
        """
        self._look()
        own = self._membership.own
        near = [name for name in self._halls.get(own.hall, ()) if name != own.name]
        if near:
            first = turn % len(near)
            near = near[first:] + near[:first]
        far = [order[0] for hall, order in self._halls.items() if hall != own.hall and order]
        order = sorted((*near, *far), key=lambda name: self._silent.get(name, now) > now)
        return self._found(order)

    def names_by_hall(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the schedulers of each hall."""
        self._look()
        return self._halls

    def _found(self, names: Iterable[str]) -> list[MemberState]:
        states = (self._membership.find(name) for name in names)
        return [state for state in states if state is not None]

    def _look(self) -> None:
        if self._membership.composition_version == self._looked_at:
            return
        self._looked_at = self._membership.composition_version
        members = self._membership.live()
        self._small = len(members) <= MAX_SMALL_FLEET_GATEWAYS
        count = len(members) if self._small else SCHEDULERS_PER_HALL
        halls: dict[str, list[str]] = {}
        for member in members:
            halls.setdefault(member.hall, []).append(member.name)
        self._halls = {hall: ranked(_KEY, names, count) for hall, names in sorted(halls.items())}
        self._all = tuple(name for names in self._halls.values() for name in names)
        self._own = self._small or self._membership.own.name in self._all
