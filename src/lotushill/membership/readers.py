"""Selects the gateways that read the platform's store; the others receive changes from them.

In each hall the first one or two gateways in hash order read. A gateway that the store turns away
keeps trying, and the next one in order reads as well. A hall in a partition of its own has its own
readers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import StoreContact
from lotushill.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState

READERS_PER_HALL = 2
"""Readers in each hall of a fleet with few halls, so that one may fail without a gap."""
_MIN_HALLS_FOR_ONE_READER = 4
"""Number of live halls from which one reader per hall is enough. While the reader of a hall fails,
heartbeats carry the revisions of the other halls to its members within a second. One reader instead
of two halves the calls to the store."""
_READERS_AT_START = 3
"""Readers per hall while no gateway of the hall has a configuration, as when all start at once. The
fastest of several serves the others. With a single reader, all 18 gateways that had lost power
began to serve two seconds later."""
_KEY = "reader"
_UNLIMITED = 1_000_000


def readers_per_hall(own: MemberState, members: Iterable[MemberState]) -> int:
    """Return the number of readers in the hall of `own` while the store serves them."""
    known = [own, *members]
    if all(item.configuration < 0 for item in known if item.hall == own.hall):
        return _READERS_AT_START
    halls = {item.hall for item in known}
    return 1 if len(halls) >= _MIN_HALLS_FOR_ONE_READER else READERS_PER_HALL


def readers_ahead(own: MemberState, members: Iterable[MemberState]) -> int:
    """Return how many members of its hall precede `own` and are served by the store."""
    return sum(member.contact is not StoreContact.AWAY for member in _preceding(own, members))


def is_reader(own: MemberState, members: Iterable[MemberState]) -> bool:
    """Return whether a member reads the store itself, given the live `members`."""
    return readers_ahead(own, members) < readers_per_hall(own, members)


def is_substitute_reader(own: MemberState, members: Iterable[MemberState]) -> bool:
    """Return whether a member reads only because the store turns others away."""
    preceding = len(_preceding(own, members))
    return is_reader(own, members) and preceding >= readers_per_hall(own, members)


def _preceding(own: MemberState, members: Iterable[MemberState]) -> list[MemberState]:
    hall_members = {member.name: member for member in members if member.hall == own.hall}
    hall_members[own.name] = own
    order = ranked(_KEY, hall_members, _UNLIMITED)
    return [hall_members[name] for name in order[: order.index(own.name)]]
