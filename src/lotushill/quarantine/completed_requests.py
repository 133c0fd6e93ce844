"""Identities of requests that completed recently, bounded in number and age."""

from __future__ import annotations

from collections import OrderedDict

_MOST = 8192
"""Limit of the identities that are stored.

At 33 requests per second, which is the share of one of 360 gateways in 12,000 per second, this
covers four minutes and takes 1 MB.
"""
_SECONDS = 600.0


class CompletedRequests:
    """Stores the identities of requests that completed; the time is an argument."""

    def __init__(self) -> None:
        self._seen: OrderedDict[bytes, float] = OrderedDict()

    def note(self, identity: bytes, now: float) -> None:
        """Store the identity of a request that completed."""
        self._seen[identity] = now
        self._seen.move_to_end(identity)
        if len(self._seen) > _MOST:
            self._seen.popitem(last=False)

    def knows(self, identity: bytes, now: float) -> bool:
        """Return whether the request completed recently."""
        seen = self._seen.get(identity)
        return seen is not None and now - seen < _SECONDS
