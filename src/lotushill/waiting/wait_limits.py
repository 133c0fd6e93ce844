"""Decides until when a request stays queued and whether a free slot is still of use to it. Pure.

Queueing a request that is not served in the end costs its caller the time. So a long request stays
queued only while it can be on time: served late, it would also take a slot from a request that came
after it. A short request takes little capacity and is served late rather than not at all, for as
long as its client waits. Neither is refused while larger, less urgent requests begin.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.placement.fleet import Fleet
    from lotushill.waiting.entry import QueueEntry

_LONG_REQUEST_FRACTION = 0.7
"""Fraction of its target for which a long request stays queued at most. Requests placed later are
mostly late, as the engine processes more urgent prompts that arrive meanwhile before theirs, and
their callers would wait for nothing."""


class WaitLimits:
    """Computes time limits of queued requests from the engine pace in the fleet model."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def on_time_until(self, entry: QueueEntry) -> float:
        """Return until when a request can be placed so that its first event is on time."""
        need, pace = entry.need, self._fleet.pace(entry.need.service)
        typical_tokens = self._fleet.shedding.typical_requests.prefill_tokens(
            need.service, need.route
        )
        tokens = min(float(need.prompt_tokens), typical_tokens or need.prompt_tokens)
        return entry.arrived_at + need.target - tokens / pace.prefill_rate

    def is_overdue(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request must leave the queue without an upstream."""
        if now >= entry.queued_until:
            return True
        return now >= self._long_queued_until(entry) and self._is_dropped_when_late(entry, now)

    def is_worth_waiting(self, entry: QueueEntry, expected_wait: float, now: float) -> bool:
        """Return whether `expected_wait` ends while the request may still be queued."""
        if self.is_overdue(entry, now):
            return False
        until = entry.queued_until
        if self._fleet.shedding.is_long(entry.need):
            until = min(until, self._long_queued_until(entry))
        return now + expected_wait <= until or self._fleet.shedding.must_serve(entry.need, now)

    def is_too_late(self, entry: QueueEntry, choice: Choice, now: float) -> bool:
        """Return whether a free slot is better left to a request that arrived later."""
        first_event_at = now + choice.first_event_seconds
        if first_event_at > entry.client_timeout_at:
            return True
        late = first_event_at > entry.arrived_at + entry.need.target
        return late and self._is_dropped_when_late(entry, now)

    def _long_queued_until(self, entry: QueueEntry) -> float:
        """Return until when a long request stays queued."""
        longest = entry.arrived_at + _LONG_REQUEST_FRACTION * entry.need.target
        return min(longest, self.on_time_until(entry))

    def _is_dropped_when_late(self, entry: QueueEntry, now: float) -> bool:
        shedding = self._fleet.shedding
        return shedding.is_long(entry.need) and not shedding.must_serve(entry.need, now)
