"""Which upstreams want no requests from this gateway for a while. Pure, with the clock passed in.

The load that it answers: an upstream that is full, or protects itself, turns requests away and says
for how long it wants none. Sent on all the same, they come back as refusals, each of which costs
the caller a round trip and the fleet a part of its retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_TRIAL_SECONDS = 0.1
"""After a rest one request goes first. Whoever still wants none turns it away within a round trip
of some milliseconds; who has not done so after ten times as long has taken it."""
_NOBODY: frozenset[str] = frozenset()


@dataclass
class _Rest:
    until: float
    trial_at: float | None = None
    """When the first request after the rest was sent."""

    def is_over(self, now: float) -> bool:
        return self.trial_at is not None and now >= self.trial_at + _TRIAL_SECONDS

    def bars(self, now: float) -> bool:
        return now < self.until or (self.trial_at is not None and not self.is_over(now))

    def ends(self) -> float:
        return self.until if self.trial_at is None else self.trial_at + _TRIAL_SECONDS


class Cooldowns:
    """Rests by the id of an upstream's life: a later life is free at once."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}
        self.requested_count = 0
        """Rests that were asked for so far."""

    def note_requested(self, upstream_id: str, seconds: float, now: float) -> None:
        """Note that an upstream wants nothing for so long; of several wishes the longest holds.

        Requests that were under way together are turned away one after the other, and a shorter
        word to a later one takes nothing back of what was asked before.
        """
        self.requested_count += 1
        until = now + seconds
        known = self._rests.get(upstream_id)
        self._rests[upstream_id] = _Rest(max(until, known.until if known else until))

    def note_sent(self, upstream_id: str, now: float) -> None:
        """Note that a request goes out; after a rest the first one tries for those that follow."""
        rest = self._rests.get(upstream_id)
        if rest is None:
            return
        if rest.is_over(now):
            del self._rests[upstream_id]
        elif rest.trial_at is None:
            rest.trial_at = now

    def note_accepted(self, upstream_id: str, now: float) -> None:
        """Note an answer that asks for no rest: what it does not take back is a rest that lasts."""
        rest = self._rests.get(upstream_id)
        if rest is not None and now >= rest.until:
            del self._rests[upstream_id]

    def is_barred(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream is to be sent nothing now."""
        rest = self._rests.get(upstream_id)
        return rest is not None and rest.bars(now)

    def barred(self, now: float) -> frozenset[str]:
        """Return all upstreams that are to be sent nothing now."""
        if not self._rests:
            return _NOBODY
        return frozenset(name for name, rest in self._rests.items() if rest.bars(now))

    def seconds_to_first_end(self, upstream_ids: Iterable[str], now: float) -> float:
        """Return after how many seconds the first of some upstreams that rest takes requests."""
        ends = [self._rests[name].ends() for name in upstream_ids if name in self._rests]
        return max(0.0, min(ends, default=now) - now)

    def forget(self, known: set[str], now: float) -> None:
        """Drop the rests of upstreams that no view knows, once they are over.

        An entry that lapses or cannot be read for a while comes back within the rest.
        """
        for upstream_id in self._rests.keys() - known:
            if now >= self._rests[upstream_id].until:
                del self._rests[upstream_id]
