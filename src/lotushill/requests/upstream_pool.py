"""Connections to upstreams, kept for reuse while they rest."""

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

CONNECT_SECONDS = 0.35
"""Opening takes a few milliseconds; what takes so long is cut off or overrun."""
_MOST_IDLE = 32


class UpstreamPool:
    """Opens connections when none rests, and uses the one that rested shortest first."""

    def __init__(
        self,
        answer_request_id: Callable[[Headers], str],
        most_idle: Callable[[Upstream], int] = lambda _: _MOST_IDLE,
        clock: Callable[[], float] = clocks.now,
    ) -> None:
        """Make an empty pool; `most_idle` bounds the connections that rest at an upstream."""
        self._answered_id = answer_request_id
        self._most_idle = most_idle
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0
        """Connections opened so far."""

    async def acquire(self, upstream: Upstream) -> UpstreamConnection:
        """Return a connection that carries nothing; raise NotSentError if none can be had."""
        kept = self._idle.get(upstream.id, [])
        while kept:
            connection = kept.pop()
            if (
                connection.is_open
                and self._clock() - connection.idle_since < connection.idle_seconds
            ):
                return connection
            connection.close()
        return await self._open(upstream)

    def release(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was whole, or end it."""
        kept = self._idle.setdefault(upstream.id, [])
        if not connection.is_reusable or len(kept) >= min(_MOST_IDLE, self._most_idle(upstream)):
            connection.close()
            return
        connection.mark_idle(self._clock())
        kept.append(connection)

    def close_idle(self) -> None:
        """Close all connections that rest."""
        for kept in self._idle.values():
            for connection in kept:
                connection.close()
        self._idle.clear()

    def close_expired(self, known: set[str]) -> None:
        """Close connections that rested too long or lead to upstreams that are gone."""
        now = self._clock()
        for upstream_id, kept in list(self._idle.items()):
            for connection in list(kept):
                fresh = now - connection.idle_since < connection.idle_seconds
                if upstream_id in known and connection.is_open and fresh:
                    continue
                connection.close()
                kept.remove(connection)
            if not kept:
                del self._idle[upstream_id]

    async def has_ended(self, upstream: Upstream) -> bool | None:
        """Return whether nothing listens at an upstream's address any more, None if unknown."""
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
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._answered_id), host, port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(repr(error)) from error
        return connection
