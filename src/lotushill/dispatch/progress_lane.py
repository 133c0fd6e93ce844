"""The room set aside so that every class makes progress.

The lane's slots come on top of the caps that tiers compete for. No tier can claim them, so
what runs in them is never the cause of another's refusal. The class whose last start is
longest ago goes next; with `n` classes waiting, `s` lane slots and no run longer than `r`
seconds, each class starts at least every `n * r / s` seconds, however long a burst lasts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.dispatch.waiting_room import ClassKey

PATIENCE_SECONDS = 1.0
"""A class that started one within this time is not in need of the lane."""


class ProgressLane:
    """Who goes next in the lane, and how many slots it has."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._last_start: dict[ClassKey, float] = {}

    def slots(self, total_slots: int) -> int:
        """Return the lane's slots for a cell: its share, at least one."""
        return max(1, round(self._share * total_slots)) if self._share else 0

    def note_start(self, key: ClassKey, now: float) -> None:
        """Note that a class started a request, in the lane or not."""
        self._last_start[key] = now

    def idle_for(self, key: ClassKey, now: float) -> float:
        """Return the seconds since a class last started a request."""
        return now - self._last_start.setdefault(key, now)

    def order(self, waiting: list[tuple[int, ClassKey]], now: float) -> list[tuple[int, ClassKey]]:
        """Return the waiting classes in need of the lane, the longest without a start first."""
        needy: list[tuple[float, int, ClassKey]] = []
        for tier, key in waiting:
            last = self._last_start.setdefault(key, now)
            if now - last >= PATIENCE_SECONDS:
                needy.append((last, tier, key))
        return [(tier, key) for _, tier, key in sorted(needy)]
