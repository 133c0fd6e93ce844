"""How a gateway that becomes a scheduler comes to know what runs: from one other, in one exchange.

Pure, with the clock passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.schedulers import Schedulers

_AGAIN_SECONDS = 0.5
"""A scheduler that was asked and did not answer for so long is passed over for the next one."""
_MOST_PULLS = 3
"""After so many the model fills by what is told from then on."""


class ModelSync:
    """Says when to pull, from whom, and whether the model can be trusted for others."""

    def __init__(self, schedulers: Schedulers) -> None:
        self._schedulers = schedulers
        self._pulls = 0
        self._pulled_at = float("-inf")
        self._filled = False
        self._had_role = False

    def is_ready(self) -> bool:
        """Return whether this gateway may place for others."""
        return self._filled and self._schedulers.is_scheduler()

    def next_source(self, now: float) -> str | None:
        """Return the scheduler to pull the model from now, None if there is no need."""
        if not self._schedulers.is_scheduler():
            self._had_role = self._filled = False
            return None
        if not self._had_role:
            self._had_role = True
            self._pulls = 0
            self._pulled_at = float("-inf")
        others = self._schedulers.query_order(now)
        if self._filled or not others or now - self._pulled_at < _AGAIN_SECONDS:
            return None
        if self._pulls >= _MOST_PULLS:
            self._filled = True
            return None
        self._pulled_at = now
        self._pulls += 1
        return others[(self._pulls - 1) % len(others)].name

    def note_page(self) -> None:
        """Note that a model came."""
        self._filled = True
