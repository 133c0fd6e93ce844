"""Grants permits for upstreams with a limit to all gateways. Pure, with the clock passed in.

Load case: an overloaded engine accepts one request a second, and hundreds of gateways have one for
it at the same moment. If each gateway spent its own part of the limit, the parts would either add
up to many times as much at once, or lie unused at gateways without requests. So one gateway counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field

BUCKET_DEPTH = 2.0
"""Most permits that accumulate while none is requested."""
_LEVEL_PER_EARLIER_RANK = 0.45
"""Additional permits that have to be in the bucket for each earlier rank that is requested as well:
while an earlier rank is requested often, the level never rises so far."""
_MAX_EARLIER_RANKS = 2
"""Most earlier ranks that count, so that the level needed by the others stays below the depth."""
_ACTIVE_RANK_PERMITS = 2.0
"""Time for which a rank counts as requested after its last request, as a number of permits at the
current rate."""
_REQUESTS_PER_PERMIT = 8.0
"""Requests per permit. With fewer, permits would lie unused while all that want one wait to ask
again."""
_MIN_PAUSE_SECONDS = 0.02
_MAX_PAUSE_SECONDS = 5.0
"""Longest pause in seconds until the next request. A limit of one in many seconds may end in the
meantime, but all gateways are notified of that."""
_NEW_LIMIT_SECONDS = 0.5
"""Time for which a new limit counts as having been in effect with no request sent."""
_ASKER_RETENTION_SECONDS = 2 * _MAX_PAUSE_SECONDS


@dataclass(frozen=True)
class Verdict:
    """Answer to a permit request: whether it is granted, else in how many seconds to ask again."""

    granted: bool
    again_in: float = 0.0


@dataclass
class _Bucket:
    """Token bucket of an upstream, initially empty if another gateway may have counted before."""

    updated_at: float
    level: float = 0.0
    askers: dict[str, float] = field(default_factory=dict)
    """Time of the last request of each gateway."""
    ranks: dict[int, float] = field(default_factory=dict)
    """Time of the last request of each rank."""

    def required_level(self, rank: int, rate: float, now: float) -> float:
        """Return the level of the bucket that a request of a rank needs to get a permit."""
        since = now - _ACTIVE_RANK_PERMITS / rate if rate > 0.0 else -math.inf
        earlier = sum(other < rank and at >= since for other, at in self.ranks.items())
        return 1.0 + _LEVEL_PER_EARLIER_RANK * min(_MAX_EARLIER_RANKS, earlier)


class PermitBuckets:
    """Token buckets of the upstreams whose limits this gateway owns."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def add_bucket(self, upstream_id: str, rate: float, now: float) -> None:
        """Add a bucket for an upstream whose first limit is new, so that no gateway counted before.

        It starts with permits, so that if all engines state limits at once, not all requests of the
        next moments are refused.
        """
        level = min(BUCKET_DEPTH, rate * _NEW_LIMIT_SECONDS)
        self._buckets.setdefault(upstream_id, _Bucket(now, level))

    def request_permit(
        self, upstream_id: str, rate: float, rank: int, asker: str, now: float
    ) -> Verdict:
        """Return whether `asker` may send a request of a rank; `rate` is per second for all."""
        bucket = self._buckets.setdefault(upstream_id, _Bucket(now))
        bucket.level = min(BUCKET_DEPTH, bucket.level + rate * max(0.0, now - bucket.updated_at))
        bucket.updated_at = max(bucket.updated_at, now)
        bucket.askers[asker] = bucket.ranks[rank] = now
        required = bucket.required_level(rank, rate, now)
        if bucket.level >= required:
            bucket.level -= 1.0
            return Verdict(True)
        return Verdict(False, self._pause(bucket, rate, required, now))

    def retain_only(self, limited: set[str]) -> None:
        """Drop the buckets of upstreams that have no limit any more."""
        for upstream_id in self._buckets.keys() - limited:
            del self._buckets[upstream_id]

    def _pause(self, bucket: _Bucket, rate: float, required: float, now: float) -> float:
        """Return when to ask again, so that all askers together ask a few times per permit."""
        for asker, at in list(bucket.askers.items()):
            if now - at > _ASKER_RETENTION_SECONDS:
                del bucket.askers[asker]
        if rate <= 0.0:
            return _MAX_PAUSE_SECONDS
        interval = len(bucket.askers) / (_REQUESTS_PER_PERMIT * rate)
        return min(
            _MAX_PAUSE_SECONDS, max(_MIN_PAUSE_SECONDS, interval, (required - bucket.level) / rate)
        )
