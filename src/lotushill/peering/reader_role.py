"""Decides whether this gateway reads the platform's store or leaves it to others of its hall."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import StoreContact
from lotushill.membership.readers import is_reader
from lotushill.membership.readers import is_substitute_reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.membership import Membership

_DECISION_SECONDS = 0.1
"""Time for which a decision is valid, for all kinds of objects that are watched."""
_DISCOVERY_SECONDS = 0.6
"""Time after its start for which a gateway waits for others that could send it all views."""


class ReaderRole:
    """Decides from the live members; pure, with the clock passed in."""

    def __init__(self, membership: Callable[[], Membership], clock: Callable[[], float]) -> None:
        """Decide by the members of a membership; the start of the gateway is now."""
        self._membership = membership
        self._clock = clock
        self._started = clock()
        self._next_decision = float("-inf")
        self._is_reader = False

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store now."""
        now = self._clock()
        if now >= self._next_decision:
            self._next_decision = now + _DECISION_SECONDS
            self._is_reader = self._decide(now)
        return self._is_reader

    def _decide(self, now: float) -> bool:
        members = self._membership().live()
        if len(members) < 2 and now - self._started < _DISCOVERY_SECONDS:
            return False
        return is_reader(self._membership().own, members)

    def is_substitute_reader(self) -> bool:
        """Return whether it reads only because the store turns others away."""
        return is_substitute_reader(self._membership().own, self._membership().live())

    def has_current_reader(self, configuration: int) -> bool:
        """Return whether another gateway reads the store and has no newer configuration."""
        membership = self._membership()
        return any(
            member.contact is StoreContact.READING and member.configuration <= configuration
            for member in membership.live()
            if member.name != membership.own.name
        )

    def knows_newer(self, configuration: int) -> bool:
        """Return whether another gateway is known to have a newer configuration."""
        return any(item.configuration > configuration for item in self._membership().live())
