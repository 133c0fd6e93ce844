"""Bounds the connections of clients, so that descriptors are left for everything else.

The target load is a crowd that opens connections and keeps them. Upstreams, peers, the store and
new callers need descriptors as well. Once all that clients may have are in use, the connection that
has been without a request for longest makes room: closing it breaks no request. Performs no I/O.
"""

from __future__ import annotations

from typing import Protocol

_CLIENT_FRACTION = 0.5
"""Fraction of the descriptors of the process that connections of clients may use."""


def max_connections(descriptors: int) -> int:
    """Return how many connections clients may have in a process with some descriptors."""
    return max(1, int(descriptors * _CLIENT_FRACTION))


class IdleConnection(Protocol):
    """A connection that can be closed while no request is on it."""

    def close_idle(self) -> None:
        """Close the connection."""


class ConnectionLimit:
    """The open connections of clients, and which of them are without a request."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closed_count = 0
        """Number of connections without a request that were closed for new ones."""
        self._open: set[IdleConnection] = set()
        self._idle: dict[IdleConnection, None] = {}
        """Connections without a request, the one without for longest first."""

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def add(self, connection: IdleConnection) -> None:
        """Add a new connection, which is busy until `mark_idle`."""
        self._open.add(connection)

    def make_room(self) -> bool:
        """Close idle connections until a new one fits; return whether it does."""
        while len(self._open) >= self.limit:
            longest_idle = next(iter(self._idle), None)
            if longest_idle is None:
                return False
            self.closed_count += 1
            self.remove(longest_idle)
            longest_idle.close_idle()
        return True

    def mark_idle(self, connection: IdleConnection) -> None:
        """Record that a connection carries no request from now on."""
        if connection in self._open:
            self._idle.pop(connection, None)
            self._idle[connection] = None

    def mark_busy(self, connection: IdleConnection) -> None:
        """Record that a request begins on a connection."""
        self._idle.pop(connection, None)

    def remove(self, connection: IdleConnection) -> None:
        """Remove a connection that has ended or is closed now."""
        self._idle.pop(connection, None)
        self._open.discard(connection)
