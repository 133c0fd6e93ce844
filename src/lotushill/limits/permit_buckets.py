"""Hands out what upstreams with a limit take, for all gateways. Pure, with the clock passed in.

The load that it answers: an engine in need takes one request a second, and hundreds of gateways
have one for it at the same moment. Shares of its limit that each gateway spends by itself either
add up to many times as much at once, or lie unused where nobody asks. So one gateway counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field

BUCKET_DEPTH = 2.0
"""Permits that are kept while nobody asks."""
_RANK_LEVEL = 0.45
"""What has to be left for each rank before that asks as well: those that ask often never let it
rise so far."""
_RANKS = 2
"""So many earlier ranks count at most, so that what the others need is less than the depth."""
_PRESENT_TURNS = 2.0
"""A rank asks for as long as so many permits take after its last ask."""
_ASKS_FOR_ONE = 8.0
"""Asks for each permit. With fewer, permits run out while all who want one wait to ask again."""
_LEAST_PAUSE = 0.02
_LONGEST_PAUSE = 5.0
"""Seconds; a limit of one in many seconds may end meanwhile, but that is told to all."""
_BEFORE_SECONDS = 0.5
"""A limit that is new counts as if it had held for so long, with nothing sent."""
_ASKER_SECONDS = 2 * _LONGEST_PAUSE


@dataclass(frozen=True)
class Verdict:
    """Whether a request may be sent, and if not, after how many seconds to ask again."""

    granted: bool
    again_in: float = 0.0


@dataclass
class _Bucket:
    """A token bucket; empty at first where another gateway may have counted until now."""

    at: float
    level: float = 0.0
    askers: dict[str, float] = field(default_factory=dict)
    """When each gateway last asked."""
    ranks: dict[int, float] = field(default_factory=dict)
    """When a request of each rank was last asked for."""

    def wanted(self, rank: int, rate: float, now: float) -> float:
        """Return how many permits have to be there for a request of a rank to get one."""
        since = now - _PRESENT_TURNS / rate if rate > 0.0 else -math.inf
        before = sum(other < rank and at >= since for other, at in self.ranks.items())
        return 1.0 + _RANK_LEVEL * min(_RANKS, before)


class PermitBuckets:
    """One token bucket for each upstream that this gateway counts."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def add_bucket(self, upstream_id: str, rate: float, now: float) -> None:
        """Count for an upstream that has just named its first limit, and so been counted by nobody.

        Where all engines name limits at once, what comes in the next moments is not all refused.
        """
        level = min(BUCKET_DEPTH, rate * _BEFORE_SECONDS)
        self._buckets.setdefault(upstream_id, _Bucket(now, level))

    def request_permit(
        self, upstream_id: str, rate: float, rank: int, asker: str, now: float
    ) -> Verdict:
        """Return whether `asker` may send a request of a rank, at so many a second for all."""
        bucket = self._buckets.setdefault(upstream_id, _Bucket(now))
        bucket.level = min(BUCKET_DEPTH, bucket.level + rate * max(0.0, now - bucket.at))
        bucket.at = max(bucket.at, now)
        bucket.askers[asker] = bucket.ranks[rank] = now
        wanted = bucket.wanted(rank, rate, now)
        if bucket.level >= wanted:
            bucket.level -= 1.0
            return Verdict(True)
        return Verdict(False, self._pause(bucket, rate, wanted, now))

    def forget(self, limited: set[str]) -> None:
        """Drop the buckets of upstreams without a limit."""
        for upstream_id in self._buckets.keys() - limited:
            del self._buckets[upstream_id]

    def _pause(self, bucket: _Bucket, rate: float, wanted: float, now: float) -> float:
        """Return when to ask again, so that all who ask together do so a few times a permit."""
        for asker, at in list(bucket.askers.items()):
            if now - at > _ASKER_SECONDS:
                del bucket.askers[asker]
        if rate <= 0.0:
            return _LONGEST_PAUSE
        turns = len(bucket.askers) / (_ASKS_FOR_ONE * rate)
        return min(_LONGEST_PAUSE, max(_LEAST_PAUSE, turns, (wanted - bucket.level) / rate))
