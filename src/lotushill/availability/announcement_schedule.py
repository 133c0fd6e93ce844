"""When a gateway tells the others which of many facts that all are to know. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.newest_first import NewestFirst
from lotushill.availability.trickle import TrickleTimer

if TYPE_CHECKING:
    import random
    from collections.abc import Collection


class AnnouncementSchedule:
    """Tells what is new first, and is silent where others tell the same."""

    def __init__(self, rng: random.Random) -> None:
        self._timer = TrickleTimer(rng)
        self._order = NewestFirst(rng)

    def note(self, name: str, now: float) -> None:
        """Note that something of a name is new here."""
        self._order.note(name, now)
        self._timer.reset(now)

    def note_received(
        self, told: Collection[str], complete: bool, differs: bool, now: float
    ) -> None:
        """Note what another gateway told, all that it knows or a part of it.

        `differs` says that it lacks something, or believes something else.
        """
        if differs:
            self._timer.reset(now)
        elif complete or self._order.covers_newest(told):
            self._timer.note_consistent()

    def due_names(self, names: Collection[str], now: float) -> list[str]:
        """Return of which of all names to tell now, none while nothing is due."""
        if not names:
            self._timer.stop()
            return []
        if not self._timer.running:
            self._timer.reset(now)
        return self._order.choose(names) if self._timer.is_due(now) else []
