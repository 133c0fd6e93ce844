"""Fills the fleet model of a gateway that becomes a scheduler, from another one in one exchange.

Pure, with the clock passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.schedulers import Schedulers

_AGAIN_SECONDS = 0.5
"""Time without an answer after which the next scheduler is asked."""
_MOST_PULLS = 3
"""Maximum number of pulls; after them the model fills from the updates received from then on."""


class ModelSync:
    """Decides when and from whom to pull the model, and whether it can be used for others."""

    def __init__(self, schedulers: Schedulers) -> None:
        self._schedulers = schedulers
        self._pulls = 0
        self._pulled_at = float("-inf")
        self._filled = False
        self._had_role = False

    def is_ready(self) -> bool:
        """Return whether this gateway may place requests of other gateways."""
        return self._filled and self._schedulers.schedules()

    def next_source(self, now: float) -> str | None:
        """Return the name of the scheduler to pull the model from now, None if no pull is due."""
        if not self._schedulers.schedules():
            self._had_role = self._filled = False
            return None
        if not self._had_role:
            self._had_role = True
            self._pulls = 0
            self._pulled_at = float("-inf")
        others = self._schedulers.in_order(now)
        if self._filled or not others or now - self._pulled_at < _AGAIN_SECONDS:
            return None
        if self._pulls >= _MOST_PULLS:
            self._filled = True
            return None
        self._pulled_at = now
        self._pulls += 1
        return others[(self._pulls - 1) % len(others)].name

    def note_page(self) -> None:
        """Note that a model was received."""
        self._filled = True
