"""Whether this gateway reads the platform's store, or leaves that to others of its hall."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import StoreContact
from lotushill.membership.readers import is_reader
from lotushill.membership.readers import is_substitute_reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.membership import Membership

_DECIDED_SECONDS = 0.1
"""A decision holds so long, for all kinds that are followed."""
_FIND_SECONDS = 0.6
"""After its start, a gateway waits so long for others that could tell it everything."""


class ReaderRole:
    """Decides from the members that are heard; pure, with the clock passed in."""

    def __init__(self, membership: Callable[[], Membership], clock: Callable[[], float]) -> None:
        """Follow a membership from now on."""
        self._membership = membership
        self._clock = clock
        self._started = clock()
        self._due = float("-inf")
        self._reads = False

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store now."""
        now = self._clock()
        if now >= self._due:
            self._due = now + _DECIDED_SECONDS
            self._reads = self._decide(now)
        return self._reads

    def _decide(self, now: float) -> bool:
        members = self._membership().live()
        if len(members) < 2 and now - self._started < _FIND_SECONDS:
            return False
        return is_reader(self._membership().own, members)

    def is_substitute_reader(self) -> bool:
        """Return whether it reads only since others are turned away by the store."""
        return is_substitute_reader(self._membership().own, self._membership().live())

    def has_current_reader(self, configuration: int) -> bool:
        """Return whether another one reads the store and has no newer configuration."""
        membership = self._membership()
        return any(
            member.contact is StoreContact.READING and member.configuration <= configuration
            for member in membership.live()
            if member.name != membership.own.name
        )
