"""Decides which new client connections are closed unread, as another gateway answers them sooner.

The target load is a load balancer that sends nearly all new connections to one gateway for some
seconds, more than it can read. Accepted connections then wait in order of arrival: each request is
read later than the one before, until all are answered after their deadlines. What has waited too
long is closed, which costs little, so that the gateway reads fresh requests for all of its time. A
gateway that is overloaded together with all others thus still serves as many as it can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_UNREAD_SECONDS = 0.25
"""Time after which a connection is closed unread: a quarter of the second that clients wait for a
request to be read, so that they have time for another gateway."""


class UnreadLimit:
    """Limit of the time for which the first bytes of a connection may have waited."""

    def __init__(self, has_peers: Callable[[], bool]) -> None:
        """Close nothing while `has_peers` returns False: there is no other gateway to go to."""
        self._has_peers = has_peers
        self.closed_count = 0
        """Number of connections that were closed unread, since the start."""

    def admits(self, unread_seconds: float) -> bool:
        """Return whether a connection is read whose first bytes have waited for some seconds."""
        if unread_seconds <= MAX_UNREAD_SECONDS or not self._has_peers():
            return True
        self.closed_count += 1
        return False
