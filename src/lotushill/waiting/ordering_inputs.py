"""What the waiting room asks of the shares of teams and of those who return."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from lotushill.placement.need import Need


class TeamStandings(Protocol):
    """Tells what teams have had of late beside their shares."""

    def excess_standing(self, need: Need, now: float) -> float:
        """Return how far the team of a request is over its share, 0 if it is not.

        Whoever is less ahead goes first.
        """


class PromisedReturns(Protocol):
    """Tells who comes back as it was told to."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return whether a caller goes before newcomers."""


class EqualShares:
    """All teams stand alike."""

    def excess_standing(self, need: Need, now: float) -> float:
        """Return the same for all."""
        del need, now
        return 0.0


class NoReturns:
    """All are newcomers."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return False for everybody."""
        del caller, now
        return False
