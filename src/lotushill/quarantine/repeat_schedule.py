"""When news are told once more, since datagrams are lost. Pure."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

_REPEAT_SECONDS = (0.0, 0.15, 0.5, 1.2)
"""After the event. With one datagram in ten lost, one gateway in 10,000 misses all of them."""


class RepeatSchedule(Generic[Item]):
    """Items that are told some times each."""

    def __init__(self) -> None:
        self._times: dict[Item, list[float]] = {}
        """The further times at which each one is told."""

    def __contains__(self, item: Item) -> bool:
        return item in self._times

    def next_due(self) -> float:
        """Return when something is due, infinity for never."""
        return min((times[0] for times in self._times.values()), default=math.inf)

    def schedule_repeats(self, item: Item, now: float) -> None:
        """Tell of an item, now and some times more."""
        self._times[item] = [now + after for after in _REPEAT_SECONDS]

    def schedule_once(self, item: Item, when: float) -> None:
        """Tell of an item once."""
        self._times[item] = [when]

    def cancel(self, item: Item) -> None:
        """Tell of an item no more."""
        self._times.pop(item, None)

    def pop_due(self, now: float) -> list[Item]:
        """Return what is due, which is told by then."""
        due = [item for item, times in self._times.items() if times[0] <= now]
        for item in due:
            left = [at for at in self._times[item] if at > now]
            if left:
                self._times[item] = left
            else:
                del self._times[item]
        return due
