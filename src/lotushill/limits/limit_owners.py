"""Which gateway counts what an upstream with a limit gets, and which part of it it hands out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase
from lotushill.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members
    from lotushill.membership.schedulers import Schedulers
    from lotushill.routing.upstream import Upstream


class LimitOwners:
    """One scheduler for each upstream, worked out from the live members by all of them alike.

    Schedulers know what runs, and so which requests are to come first.

    Members that disagree may take two for it at the same time. They never add up to more than the
    limit for long: each hands out what the gateways that it hears are of all that are known, and
    both sides of a cut together are no more than all.
    """

    def __init__(
        self, membership: Members, schedulers: Schedulers, registered: Callable[[], int]
    ) -> None:
        """Choose among `schedulers`; `registered` tells how many the store lists, 0 if unknown."""
        self._membership = membership
        self._schedulers = schedulers
        self._registered = registered

    @property
    def own_name(self) -> str:
        """Return the name of this gateway."""
        return self._membership.own.name

    def owner_of(self, upstream: Upstream) -> MemberState:
        """Return who counts for an upstream: one of its hall, which is cut off together with it."""
        halls = self._schedulers.names_by_hall()
        near = halls.get(upstream.hall)
        names = near or [name for hall in halls.values() for name in hall]
        name = owner(upstream.id, names)
        found = self._membership.find(name) if name is not None else None
        return found if found is not None else self._membership.own

    def is_own(self, upstream: Upstream) -> bool:
        """Return whether this gateway counts."""
        return self.owner_of(upstream).name == self.own_name

    def usable_fraction(self) -> float:
        """Return which part of a limit those that this gateway hears may use."""
        heard = len(self._membership.live())
        staying = [item for item in self._membership.all() if item.phase is not MemberPhase.LEAVING]
        return heard / max(1, heard, len(staying), self._registered())
