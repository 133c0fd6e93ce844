"""Schedule of repeated updates, which compensates for lost datagrams; without side effects."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

_REPEAT_DELAYS_SECONDS = (0.0, 0.15, 0.5, 1.2)
"""Delays in seconds after the event at which an update is sent.

If one datagram in ten is lost, one gateway in 10,000 misses all four.
"""


class RepeatSchedule(Generic[Item]):
    """Items that are each sent at several times."""

    def __init__(self) -> None:
        self._times: dict[Item, list[float]] = {}
        """The remaining times at which each item is sent."""

    def __contains__(self, item: Item) -> bool:
        return item in self._times

    def next_due(self) -> float:
        """Return the time at which the next item is due, or infinity if there is none."""
        return min((times[0] for times in self._times.values()), default=math.inf)

    def schedule_repeats(self, item: Item, now: float) -> None:
        """Schedule an item for now and for several repetitions."""
        self._times[item] = [now + delay for delay in _REPEAT_DELAYS_SECONDS]

    def schedule_once(self, item: Item, when: float) -> None:
        """Schedule an item once, at a given time."""
        self._times[item] = [when]

    def schedule_at(self, item: Item, times: tuple[float, ...]) -> None:
        """Schedule an item for several times, in ascending order."""
        self._times[item] = list(times)

    def cancel(self, item: Item) -> None:
        """Cancel all remaining sends of an item."""
        self._times.pop(item, None)

    def pop_due(self, now: float) -> list[Item]:
        """Return the items that are due, and remove the times that have passed."""
        due = [item for item, times in self._times.items() if times[0] <= now]
        for item in due:
            remaining = [at for at in self._times[item] if at > now]
            if remaining:
                self._times[item] = remaining
            else:
                del self._times[item]
        return due
