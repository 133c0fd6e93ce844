"""Interfaces from which the admission queue takes team shares and promised returns."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from lotushill.placement.need import Need


class TeamStandings(Protocol):
    """Gives the recent work of teams relative to their shares."""

    def excess_standing(self, need: Need, now: float) -> float:
        """Return how far the team of a request is over its share, 0 if it is not.

        Requests of the team with the lowest value go first.
        """


class PromisedReturns(Protocol):
    """Identifies the callers that return at the time they were promised."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return whether a caller's request goes before new requests."""


class EqualShares:
    """Team shares under which all teams are equal."""

    def excess_standing(self, need: Need, now: float) -> float:
        """Return the same value for all teams."""
        del need, now
        return 0.0


class NoReturns:
    """Promised returns where every request counts as new."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return False for every caller."""
        del caller, now
        return False
