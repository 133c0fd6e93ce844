"""Until when a request is held, and whether a slot still helps it. Pure.

Holding a request that is not served in the end costs its caller the time. So a long one is held
only while it can be in time: late, it would also keep its slot from one that came after it. A short
one takes little, and is served late in place of not at all, for as long as its client waits.
Neither is refused while larger, less urgent ones begin.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.placement.fleet import Fleet
    from lotushill.waiting.entry import QueueEntry

_LONG_SHARE = 0.7
"""Of its target, how long a long request is held at most: what is placed later is mostly late, as
more urgent prompts that come meanwhile are read before it, and its caller waits in vain."""


class WaitLimits:
    """Reckons with the pace of the engines as the model knows it."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def on_time_until(self, entry: QueueEntry) -> float:
        """Return until when a request can be placed so that its first event is in time."""
        need, pace = entry.need, self._fleet.pace(entry.need.service)
        reading = self._fleet.shedding.usual.reading(need.service, need.route)
        tokens = min(float(need.prompt_tokens), reading or need.prompt_tokens)
        return entry.arrived_at + need.target - tokens / pace.read_rate

    def is_overdue(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is held no longer."""
        if now >= entry.held_until:
            return True
        return now >= self._long_until(entry) and self._goes_when_late(entry, now)

    def is_worth_waiting(self, entry: QueueEntry, likely: float, now: float) -> bool:
        """Return whether a wait that is likely so long ends while the request is held."""
        if self.is_overdue(entry, now):
            return False
        until = entry.held_until
        if self._fleet.shedding.is_long(entry.need):
            until = min(until, self._long_until(entry))
        return now + likely <= until or self._fleet.shedding.must_serve(entry.need, now)

    def is_too_late(self, entry: QueueEntry, choice: Choice, now: float) -> bool:
        """Return whether a slot that is free now is worth more to one that came later."""
        first = now + choice.first_event_seconds
        if first > entry.patience_ends:
            return True
        late = first > entry.arrived_at + entry.need.target
        return late and self._goes_when_late(entry, now)

    def _long_until(self, entry: QueueEntry) -> float:
        """Return until when a long request is held."""
        longest = entry.arrived_at + _LONG_SHARE * entry.need.target
        return min(longest, self.on_time_until(entry))

    def _goes_when_late(self, entry: QueueEntry, now: float) -> bool:
        shedding = self._fleet.shedding
        return shedding.is_long(entry.need) and not shedding.must_serve(entry.need, now)
