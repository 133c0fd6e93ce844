"""Pool of connections to upstreams, which are kept for reuse while idle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill import clock as clocks
from lotushill.links.address import split_address
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.requests.upstream_connection import Headers
    from lotushill.routing.upstream import Upstream

CONNECT_TIMEOUT_SECONDS = 0.35
"""Timeout for opening a connection.

Opening takes a few milliseconds; if it takes longer than this, the upstream is unreachable or
overloaded.
"""
_MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections kept to one upstream."""


class UpstreamPool:
    """Reuses the most recently used idle connection, or opens one if none is idle."""

    def __init__(
        self,
        answer_request_id: Callable[[Headers], str],
        max_idle: Callable[[Upstream], int] = lambda _: _MAX_IDLE_CONNECTIONS,
        clock: Callable[[], float] = clocks.now,
    ) -> None:
        """Create an empty pool; `max_idle` returns the limit of idle connections to an upstream."""
        self._answer_request_id = answer_request_id
        self._max_idle = max_idle
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0
        """Number of connections that the pool tried to open so far."""

    async def acquire(self, upstream: Upstream) -> UpstreamConnection:
        """Return a connection without a request; raise NotSentError if none can be opened."""
        idle = self._idle.get(upstream.id, [])
        while idle:
            connection = idle.pop()
            if (
                connection.is_open
                and self._clock() - connection.idle_since < connection.idle_seconds
            ):
                return connection
            connection.close()
        return await self._open(upstream)

    def release(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse if its answer was complete and there is room, or close it."""
        idle = self._idle.setdefault(upstream.id, [])
        if not connection.is_reusable or len(idle) >= min(
            _MAX_IDLE_CONNECTIONS, self._max_idle(upstream)
        ):
            connection.close()
            return
        connection.mark_idle(self._clock())
        idle.append(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def close_unused_since(self, upstream: Upstream, at: float) -> None:
        """Close the connections to an upstream that have been idle since before a time.

        If a request that was sent at that time has no answer, the connections that were open then
        may be dead.
        """
        idle = self._idle.get(upstream.id, [])
        for connection in [item for item in idle if item.idle_since <= at]:
            connection.close()
            idle.remove(connection)

    def close_expired(self, known: set[str]) -> None:
        """Close connections that were idle too long or whose upstreams are not in `known`."""
        now = self._clock()
        for upstream_id, idle in list(self._idle.items()):
            for connection in list(idle):
                is_fresh = now - connection.idle_since < connection.idle_seconds
                if upstream_id in known and connection.is_open and is_fresh:
                    continue
                connection.close()
                idle.remove(connection)
            if not idle:
                del self._idle[upstream_id]

    async def has_ended(self, upstream: Upstream) -> bool | None:
        """Return whether an upstream's address refuses connections, None if that is unknown."""
        try:
            connection = await self._open(upstream)
        except NotSentError as error:
            return True if isinstance(error.__cause__, ConnectionRefusedError) else None
        connection.close()
        return False

    async def _open(self, upstream: Upstream) -> UpstreamConnection:
        host, port = split_address(upstream.address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._answer_request_id), host, port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(repr(error)) from error
        return connection
