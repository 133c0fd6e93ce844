"""Schedules which facts a gateway announces to the others, and when. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.newest_first import NewestFirst
from lotushill.availability.trickle import TrickleTimer

if TYPE_CHECKING:
    import random
    from collections.abc import Collection


class AnnouncementSchedule:
    """Announces new facts first, and nothing while other gateways announce the same."""

    def __init__(self, rng: random.Random) -> None:
        self._timer = TrickleTimer(rng)
        self._selector = NewestFirst(rng)

    def note(self, name: str, now: float) -> None:
        """Record that the fact stored under a name changed here."""
        self._selector.note(name, now)
        self._timer.reset(now)

    def note_received(
        self, names: Collection[str], complete: bool, differs: bool, now: float
    ) -> None:
        """Record an announcement of another gateway.

        `names` are those in it, and `complete` states whether these are all that the sender
        holds. `differs` states that the sender lacks a fact, or holds a different one.
        """
        if differs:
            self._timer.reset(now)
        elif complete or self._selector.covers_newest(names):
            self._timer.note_consistent()

    def due_names(self, names: Collection[str], now: float) -> list[str]:
        """Return the names to announce now, an empty list while nothing is due."""
        if not names:
            self._timer.stop()
            return []
        if not self._timer.running:
            self._timer.reset(now)
        return self._selector.choose(names) if self._timer.is_due(now) else []
