"""Pool of connections to upstreams, which are kept for reuse while idle."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from lotushill import clock as clocks
from lotushill.relaying.silence_watch import SilenceWatch
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.upstream_dialer import UpstreamDialer

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.requests.upstream_connection import Headers
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream

_MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections kept to one upstream."""
_MAX_PATHS_CHECKED = 2
"""Number of upstreams that are tried when nothing arrives from any of them."""
_MIN_QUIET_SECONDS = 0.2
"""Time without bytes on a connection from which its request is given up if the upstream cannot be
reached any more."""


class UpstreamPool:
    """Reuses the most recently used idle connection, or opens one if none is idle."""

    def __init__(
        self,
        answer_request_id: Callable[[Headers], str],
        max_idle: Callable[[Upstream], int] = lambda _: _MAX_IDLE_CONNECTIONS,
        clock: Callable[[], float] = clocks.now,
        dialer: UpstreamDialer | None = None,
    ) -> None:
        """Create an empty pool; `max_idle` returns the limit of idle connections to an upstream.

        Without a `dialer`, all connections are direct.
        """
        self.dialer = dialer or UpstreamDialer(answer_request_id, clock)
        self.dialer.on_partitioned = self._give_up_direct
        self.dialer.on_reached = self._close_idle_relayed
        self._max_idle = max_idle
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._in_use: dict[UpstreamConnection, Upstream] = {}
        self._silence_watch = SilenceWatch()
        self._received_at = 0.0
        """When the last bytes of any upstream arrived, on the event loop's clock."""
        self._watched_at = 0.0
        """When the connections were last looked at, on the same clock."""
        self._path_checks: set[asyncio.Task[None]] = set()
        self.on_refused: Callable[[Upstream], None] = lambda _: None
        """Called with an upstream whose address refuses connections."""
        self.opened = 0
        """Number of connections that the pool tried to open so far."""

    async def acquire(self, upstream: Upstream, may_be_cut: bool = True) -> UpstreamConnection:
        """Return a connection without a request; raise NotSentError if none can be opened.

        With `may_be_cut` False, one through another gateway is the last resort.
        """
        connection = self._take_idle(upstream) or await self._open(upstream, may_be_cut)
        self._in_use[connection] = upstream
        return connection

    def _take_idle(self, upstream: Upstream) -> UpstreamConnection | None:
        idle = self._idle.get(upstream.id, [])
        while idle:
            connection = idle.pop()
            if (
                connection.is_open
                and self._clock() - connection.idle_since < connection.idle_seconds
            ):
                return connection
            connection.close()
        return None

    def release(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse if its answer was complete and there is room, or close it."""
        self._received_at = max(self._received_at, connection.received_at)
        self._in_use.pop(connection, None)
        if not connection.is_reusable:
            connection.close()
            return
        self._keep(upstream, connection)

    def _keep(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        idle = self._idle.setdefault(upstream.id, [])
        if len(idle) >= min(_MAX_IDLE_CONNECTIONS, self._max_idle(upstream)):
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

    def is_partitioned(self, upstream: Upstream) -> bool:
        """Return whether an upstream can only be reached through other gateways."""
        return self.dialer.reachability.is_partitioned(upstream.address)

    def watch_paths(self) -> None:
        """Check the way to some upstreams if nothing has arrived from any; called often.

        Partitioned ones are tried again from time to time.
        """
        self.dialer.probe_due()
        waiting: dict[str, tuple[float, Upstream]] = {}
        for connection, upstream in list(self._in_use.items()):
            if not connection.is_waiting:
                del self._in_use[connection]
                continue
            if connection.relay:
                continue
            if connection.received_at > self._watched_at:
                self.dialer.note_heard(upstream.address)
            self._received_at = max(self._received_at, connection.received_at)
            since = min(connection.quiet_since, waiting.get(upstream.id, (math.inf,))[0])
            waiting[upstream.id] = (since, upstream)
        oldest = sorted(waiting.values(), key=lambda item: item[0])
        now = self._watched_at = asyncio.get_running_loop().time()
        waiting_since = oldest[0][0] if oldest else None
        if self._silence_watch.is_check_due(self._received_at, waiting_since, now):
            for _, upstream in oldest[:_MAX_PATHS_CHECKED]:
                task = asyncio.create_task(self._check_path(upstream))
                self._path_checks.add(task)
                task.add_done_callback(self._path_checks.discard)

    async def _check_path(self, upstream: Upstream) -> None:
        self.opened += 1
        connection = await self.dialer.check(upstream.address)
        if connection is not None:
            self._keep(upstream, connection)

    def _give_up_direct(self, address: str) -> None:
        """Close the direct connections to an upstream that seem dead.

        Requests that must not run twice wait on, as it is not known whether they have run.
        """
        for connection, upstream in list(self._in_use.items()):
            if upstream.address != address or connection.relay or not connection.is_waiting:
                continue
            quiet_seconds = asyncio.get_running_loop().time() - connection.quiet_since
            if quiet_seconds >= _MIN_QUIET_SECONDS and connection.may_repeat():
                connection.give_up()
        self._close_idle_where(lambda item: item.address == address and not item.relay)

    def _close_idle_relayed(self) -> None:
        """Close the idle connections through other gateways to upstreams that can be reached."""
        partitioned = self.dialer.reachability.is_partitioned
        self._close_idle_where(lambda item: bool(item.relay) and not partitioned(item.address))

    def _close_idle_where(self, is_obsolete: Callable[[UpstreamConnection], bool]) -> None:
        for idle in self._idle.values():
            for connection in [item for item in idle if is_obsolete(item)]:
                connection.close()
                idle.remove(connection)

    async def _open(self, upstream: Upstream, may_be_cut: bool = True) -> UpstreamConnection:
        self.opened += 1
        try:
            return await self.dialer.open(upstream.address, may_be_cut)
        except NotSentError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.on_refused(upstream)
            raise
