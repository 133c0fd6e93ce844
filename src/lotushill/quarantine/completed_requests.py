"""Identities of requests that completed recently, bounded in number and age."""

from __future__ import annotations

from collections import OrderedDict

_MAX_REQUESTS = 8192
"""Limit of the identities that are stored.

At 33 requests per second, which is the share of one of 360 gateways in 12,000 per second, this
covers four minutes and takes 1 MB.
"""
_MAX_AGE_SECONDS = 600.0


class CompletedRequests:
    """Stores the identities of requests that completed; the time is an argument."""

    def __init__(self) -> None:
        self._completed_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, identity: bytes, now: float) -> None:
        """Store the identity of a request that completed."""
        self._completed_at[identity] = now
        self._completed_at.move_to_end(identity)
        if len(self._completed_at) > _MAX_REQUESTS:
            self._completed_at.popitem(last=False)

    def has_completed(self, identity: bytes, now: float) -> bool:
        """Return whether the request completed recently."""
        completed_at = self._completed_at.get(identity)
        return completed_at is not None and now - completed_at < _MAX_AGE_SECONDS
