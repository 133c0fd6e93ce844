"""Cooldowns: periods for which upstreams asked this gateway to send no requests.

Pure, with the clock passed in.

Load case: an upstream that is full, or protects itself, rejects requests and states for how long it
wants none. Requests that are sent all the same are rejected as well, and each rejection costs the
caller a round trip and the fleet a part of its retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_PROBE_SECONDS = 0.1
"""Time after which a probe request counts as accepted.

After a cooldown one request is sent as a probe. An upstream that still wants none rejects it within
a round trip of some milliseconds; if it has not done so after ten times as long, it accepted it.
"""
_NO_UPSTREAMS: frozenset[str] = frozenset()


@dataclass
class _Cooldown:
    until: float
    probe_at: float | None = None
    """When the first request after the cooldown was sent, None before that."""

    def is_over(self, now: float) -> bool:
        return self.probe_at is not None and now >= self.probe_at + _PROBE_SECONDS

    def is_barring(self, now: float) -> bool:
        return now < self.until or (self.probe_at is not None and not self.is_over(now))

    def ends_at(self) -> float:
        return self.until if self.probe_at is None else self.probe_at + _PROBE_SECONDS


class Cooldowns:
    """Cooldowns by the id of an upstream's incarnation, so that a restart ends them at once."""

    def __init__(self) -> None:
        self._cooldowns: dict[str, _Cooldown] = {}
        self.requested_count = 0
        """Number of cooldowns requested so far."""

    def note_requested(self, upstream_id: str, seconds: float, now: float) -> None:
        """Record that an upstream asked for a cooldown; of several the one that ends last applies.

        Requests that were in flight together are rejected one after the other, and a shorter
        cooldown in a later rejection does not shorten an earlier one.
        """
        self.requested_count += 1
        until = now + seconds
        known = self._cooldowns.get(upstream_id)
        self._cooldowns[upstream_id] = _Cooldown(max(until, known.until if known else until))

    def note_sent(self, upstream_id: str, now: float) -> None:
        """Record that a request is sent; the first one after a cooldown is the probe."""
        cooldown = self._cooldowns.get(upstream_id)
        if cooldown is None:
            return
        if cooldown.is_over(now):
            del self._cooldowns[upstream_id]
        elif cooldown.probe_at is None:
            cooldown.probe_at = now

    def note_accepted(self, upstream_id: str, now: float) -> None:
        """Record an answer without a cooldown; it does not end a cooldown that still lasts."""
        cooldown = self._cooldowns.get(upstream_id)
        if cooldown is not None and now >= cooldown.until:
            del self._cooldowns[upstream_id]

    def is_barred(self, upstream_id: str, now: float) -> bool:
        """Return whether no request may be sent to an upstream now."""
        cooldown = self._cooldowns.get(upstream_id)
        return cooldown is not None and cooldown.is_barring(now)

    def barred(self, now: float) -> frozenset[str]:
        """Return all upstreams to which no request may be sent now."""
        if not self._cooldowns:
            return _NO_UPSTREAMS
        return frozenset(name for name, item in self._cooldowns.items() if item.is_barring(now))

    def seconds_to_first_end(self, upstream_ids: Iterable[str], now: float) -> float:
        """Return the seconds until the first of some upstreams in cooldown accepts requests."""
        ends = [self._cooldowns[name].ends_at() for name in upstream_ids if name in self._cooldowns]
        return max(0.0, min(ends, default=now) - now)

    def retain_only(self, known: set[str], now: float) -> None:
        """Drop the cooldowns of upstreams that are in no view, once they have ended.

        An entry that expires or cannot be read for a while may reappear within the cooldown.
        """
        for upstream_id in self._cooldowns.keys() - known:
            if now >= self._cooldowns[upstream_id].until:
                del self._cooldowns[upstream_id]
