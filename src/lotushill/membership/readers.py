"""Which gateways read the platform's store; the others hear of changes from them.

In each hall the first one or two by their hashes read. One that the store turns away goes on
trying, and the next in order reads as well. A hall that is cut off from all others has its readers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import StoreContact
from lotushill.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState

READERS_PER_HALL = 2
"""In each of a few halls: one may fail without a gap."""
_MANY_HALLS = 4
"""From so many live halls on one reader each is enough: while that of a hall fails, heartbeats tell
its members within a second what those of the others hold. It halves the calls to the store."""
_FIRST_READERS = 3
"""While nobody of a hall holds a configuration, as when all start at once: the quickest of several
serves the others. With one, all of 18 gateways that had lost power served two seconds later."""
_KEY = "reader"
_ALL = 1_000_000


def readers_per_hall(own: MemberState, members: Iterable[MemberState]) -> int:
    """Return how many members of the own hall read while the store serves them."""
    known = [own, *members]
    if all(item.configuration < 0 for item in known if item.hall == own.hall):
        return _FIRST_READERS
    halls = {item.hall for item in known}
    return 1 if len(halls) >= _MANY_HALLS else READERS_PER_HALL


def readers_ahead(own: MemberState, members: Iterable[MemberState]) -> int:
    """Return how many members of the own hall come first, those that the store serves alone."""
    return sum(member.contact is not StoreContact.AWAY for member in _ahead(own, members))


def is_reader(own: MemberState, members: Iterable[MemberState]) -> bool:
    """Return whether a member reads the store itself, beside the live `members`."""
    return readers_ahead(own, members) < readers_per_hall(own, members)


def is_substitute_reader(own: MemberState, members: Iterable[MemberState]) -> bool:
    """Return whether a member reads only since others are turned away by the store."""
    ahead = len(_ahead(own, members))
    return is_reader(own, members) and ahead >= readers_per_hall(own, members)


def _ahead(own: MemberState, members: Iterable[MemberState]) -> list[MemberState]:
    near = {member.name: member for member in members if member.hall == own.hall}
    near[own.name] = own
    order = ranked(_KEY, near, _ALL)
    return [near[name] for name in order[: order.index(own.name)]]
