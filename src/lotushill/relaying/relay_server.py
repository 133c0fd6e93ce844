"""Opens connections to upstreams for other gateways, and passes the bytes on."""

from __future__ import annotations

import socket
from collections import Counter
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from lotushill.links.address import split_address
from lotushill.links.exceptions import LinkError
from lotushill.links.keepalive import close_when_peer_is_gone
from lotushill.links.relay_frames import END_FRAME
from lotushill.links.relay_frames import data_frame
from lotushill.links.relay_messages import RelayAnswer
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.relay_messages import RelayOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteStream
    from anyio.abc import SocketStream

    from lotushill.links.channel import Channel

_CONNECT_TIMEOUT_SECONDS = 0.2
"""Timeout for opening a connection for another gateway, which tries a third one meanwhile."""
_MAX_RELAYED = 800
"""Maximum number of relayed connections, each of which takes two of the process's descriptors."""
_READ_BYTES = 65_536
_BUSY_SECONDS = 1.0
"""Time after the last bytes for which a relayed connection counts as used."""


class RelayServer:
    """Relayed connections of other gateways through this one."""

    def __init__(
        self, is_upstream_address: Callable[[str], bool], reaches_upstreams: Callable[[], bool]
    ) -> None:
        """Connect to addresses for which `is_upstream_address` holds, and only directly.

        `reaches_upstreams` returns whether this gateway reaches upstreams itself.
        """
        self._is_upstream_address = is_upstream_address
        self._reaches_upstreams = reaches_upstreams
        self.accepts_connections = True
        """False once this gateway stops."""
        self._passed_at: dict[ByteStream, float] = {}
        """When bytes were last passed on, for each relayed connection."""
        self.answers: Counter[RelayOutcome] = Counter()
        """Number of answers so far, by outcome."""

    @property
    def open_count(self) -> int:
        """Return the number of relayed connections."""
        return len(self._passed_at)

    def busy_count(self) -> int:
        """Return the number of relayed connections that have passed on bytes just now."""
        now = anyio.current_time()
        return sum(now - at < _BUSY_SECONDS for at in self._passed_at.values())

    async def serve(self, request: RelayOpen, channel: Channel, stream: ByteStream) -> None:
        """Open the requested connection and join it with `stream` until one side ends.

        `stream` is that of `channel`, on which the request came.
        """
        upstream, outcome = await self._connect(request.address)
        self.answers[outcome] += 1
        try:
            await channel.send(RelayAnswer(outcome))
        except LinkError:
            # The other gateway has used a faster way.
            if upstream is not None:
                await upstream.aclose()
            return
        if upstream is None:
            return
        async with upstream:
            sock = _open_socket(stream)
            if sock is not None:
                close_when_peer_is_gone(sock)
            self._note_passed(stream)
            try:
                await self._join(stream, upstream)
            finally:
                del self._passed_at[stream]

    def _note_passed(self, gateway: ByteStream) -> None:
        self._passed_at[gateway] = anyio.current_time()

    async def _connect(self, address: str) -> tuple[SocketStream | None, RelayOutcome]:
        if not self._is_upstream_address(address):
            return None, RelayOutcome.UNKNOWN
        is_full = self.open_count >= _MAX_RELAYED
        if not self.accepts_connections or is_full or not self._reaches_upstreams():
            return None, RelayOutcome.UNAVAILABLE
        host, port = split_address(address)
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                upstream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            return None, RelayOutcome.REFUSED if is_refused else RelayOutcome.UNREACHABLE
        sock = _open_socket(upstream)
        if sock is None:
            await upstream.aclose()
            return None, RelayOutcome.UNREACHABLE
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        close_when_peer_is_gone(sock)
        return upstream, RelayOutcome.OPEN

    async def _join(self, gateway: ByteStream, upstream: SocketStream) -> None:
        """Pass on bytes in both directions until one side ends."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._pass_requests, gateway, upstream, group.cancel_scope)
            group.start_soon(self._pass_answers, upstream, gateway, group.cancel_scope)

    async def _pass_requests(
        self, gateway: ByteStream, upstream: SocketStream, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                await upstream.send(await gateway.receive(_READ_BYTES))
                self._note_passed(gateway)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A gateway ends the connection only to give up the request.
            scope.cancel()

    async def _pass_answers(
        self, upstream: SocketStream, gateway: ByteStream, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                try:
                    data = await upstream.receive(_READ_BYTES)
                except anyio.EndOfStream:
                    await gateway.send(END_FRAME)
                    break
                await gateway.send(data_frame(data))
                self._note_passed(gateway)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Without the end frame, the other gateway takes the answer for truncated.
            pass
        scope.cancel()


def _open_socket(stream: ByteStream) -> socket.socket | None:
    """Return the socket of a stream, None if its connection has been closed already."""
    try:
        sock: socket.socket = stream.extra(SocketAttribute.raw_socket)
    except (AttributeError, OSError):
        # `anyio` reads all attributes of the socket, which is gone from a closed transport.
        return None
    return sock
