"""Fills the fleet model of a gateway that becomes a scheduler, from another one in one exchange.

Pure, with the clock passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.schedulers import Schedulers

_PULL_TIMEOUT_SECONDS = 0.5
"""Time without an answer after which the next scheduler is asked."""
_MAX_PULLS = 3
"""Maximum number of pulls; after them the model fills from the updates received from then on."""


class ModelSync:
    """Decides when and from whom to pull the model, and whether it can be used for others."""

    def __init__(self, schedulers: Schedulers) -> None:
        self._schedulers = schedulers
        self._pull_count = 0
        self._pulled_at = float("-inf")
        self._is_filled = False
        self._was_scheduler = False

    def is_ready(self) -> bool:
        """Return whether this gateway may place requests of other gateways."""
        return self._is_filled and self._schedulers.is_scheduler()

    def next_source(self, now: float) -> str | None:
        """Return the name of the scheduler to pull the model from now, None if no pull is due."""
        if not self._schedulers.is_scheduler():
            self._was_scheduler = self._is_filled = False
            return None
        if not self._was_scheduler:
            self._was_scheduler = True
            self._pull_count = 0
            self._pulled_at = float("-inf")
        others = self._schedulers.query_order(now)
        if self._is_filled or not others or now - self._pulled_at < _PULL_TIMEOUT_SECONDS:
            return None
        if self._pull_count >= _MAX_PULLS:
            self._is_filled = True
            return None
        self._pulled_at = now
        self._pull_count += 1
        return others[(self._pull_count - 1) % len(others)].name

    def note_page(self) -> None:
        """Note that a model was received."""
        self._is_filled = True
