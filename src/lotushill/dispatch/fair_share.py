"""Weighted fair shares by virtual counters.

Each member of a group has a counter of the tokens charged to it over its weight; the
member with the lowest counter goes next. A member that comes back from idling is lifted to
the lowest counter of the busy ones, so that idling earns no credit.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


class FairShare(Generic[K]):
    """Counters of one group: the teams of a tier, or the classes of a team."""

    def __init__(self) -> None:
        self._charged: dict[K, float] = {}
        self._floor = 0.0

    def enter(self, member: K, busy: Iterable[K]) -> None:
        """Note that `member` has work again, while `busy` already have some."""
        others = [self._charged[other] for other in busy if other in self._charged]
        if others:
            self._floor = max(self._floor, min(others))
        self._charged[member] = max(self._charged.get(member, 0.0), self._floor)

    def charge(self, member: K, tokens: float, weight: float) -> None:
        """Charge tokens to a member; negative tokens correct an earlier charge."""
        self._charged[member] = self._charged.get(member, self._floor) + tokens / weight

    def level(self, member: K) -> float:
        """Return the tokens charged to a member over its weight."""
        return self._charged.get(member, self._floor)
