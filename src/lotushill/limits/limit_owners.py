"""Determines the gateway that owns the limit of an upstream, and the fraction it may hand out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase
from lotushill.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members
    from lotushill.membership.schedulers import Schedulers
    from lotushill.routing.upstream import Upstream


class LimitOwners:
    """Limit owners: one scheduler per upstream, computed in the same way by all live members.

    Schedulers know which requests run, and so which ones should come first.

    Members with different views may choose two owners at the same time. Together these do not
    exceed the limit for long: each hands out the fraction that its live gateways are of all known
    ones, and both sides of a network partition together have no more than all.
    """

    def __init__(
        self, membership: Members, schedulers: Schedulers, registered: Callable[[], int]
    ) -> None:
        """Create it; `registered` returns how many gateways the store lists, 0 if unknown."""
        self._membership = membership
        self._schedulers = schedulers
        self._registered = registered

    @property
    def own_name(self) -> str:
        """Name of this gateway."""
        return self._membership.own.name

    def owner_of(self, upstream: Upstream) -> MemberState:
        """Return the owner for an upstream.

        It is in the same hall if possible, so that both become unreachable together.
        """
        name = owner(upstream.id, self.candidates(upstream))
        member = self._membership.find(name) if name is not None else None
        return member if member is not None else self._membership.own

    def candidates(self, upstream: Upstream) -> Sequence[str]:
        """Return the names of the gateways of which one is the owner for an upstream."""
        halls = self._schedulers.names_by_hall()
        in_hall = halls.get(upstream.hall)
        return in_hall or [name for hall in halls.values() for name in hall]

    def is_own(self, upstream: Upstream) -> bool:
        """Return whether this gateway is the owner for an upstream."""
        return self.owner_of(upstream).name == self.own_name

    def find(self, name: str) -> MemberState | None:
        """Return a gateway by its name, None if it is not known."""
        return self._membership.own if name == self.own_name else self._membership.find(name)

    def is_in_hall(self, upstream: Upstream) -> bool:
        """Return whether this gateway is in the hall of an upstream."""
        return upstream.hall == self._membership.own.hall

    def usable_fraction(self) -> float:
        """Return the fraction of a limit that the gateways alive in this one's view may use."""
        live = len(self._membership.live())
        staying = [item for item in self._membership.all() if item.phase is not MemberPhase.LEAVING]
        return live / max(1, live, len(staying), self._registered())
