"""What the waiting room asks of the shares of teams and of those who return."""

from __future__ import annotations

from typing import Protocol


class Standing(Protocol):
    """Tells what teams have had of late beside their shares."""

    def standing(self, service: str, team: str, share: float, now: float) -> float:
        """Return it for one team; whoever has less goes first."""


class Returning(Protocol):
    """Tells who comes back as it was told to."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return whether a caller goes before newcomers."""


class EqualShares:
    """All teams stand alike."""

    def standing(self, service: str, team: str, share: float, now: float) -> float:
        """Return the same for all."""
        del service, team, share, now
        return 0.0


class NobodyReturns:
    """All are newcomers."""

    def is_due(self, caller: int, now: float) -> bool:
        """Return False for everybody."""
        del caller, now
        return False
