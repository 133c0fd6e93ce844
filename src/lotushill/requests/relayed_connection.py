"""A connection to an upstream through another gateway, used like a direct one."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING
from typing import cast

from lotushill.links.address import split_address
from lotushill.links.channel import CHALLENGE_BYTES
from lotushill.links.channel import FRAME_HEADER_BYTES
from lotushill.links.channel import open_frame
from lotushill.links.channel import read_frame_size
from lotushill.links.channel import seal_frame
from lotushill.links.exceptions import LinkError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.keepalive import close_when_peer_is_gone
from lotushill.links.relay_frames import FrameReader
from lotushill.links.relay_frames import FrameTooLongError
from lotushill.links.relay_messages import RelayAnswer
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.relay_messages import RelayOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.seal import Seal
    from lotushill.requests.upstream_connection import UpstreamConnection


class RelayFailedError(Exception):
    """A relay did not open a connection; `outcome` is its answer, None if it gave none."""

    def __init__(self, outcome: RelayOutcome | None) -> None:
        self.outcome = outcome
        super().__init__(f"relay answered {outcome.value if outcome else 'nothing'}")


async def open_relayed(
    relay_address: str, request: RelayOpen, seal: Seal, make_connection: RelayedConnectionFactory
) -> UpstreamConnection:
    """Return a connection opened by the relay at `relay_address`.

    Raise RelayFailedError or OSError if it opens none. The caller limits the time.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(relay_address)
    transport, protocol = await loop.create_connection(
        lambda: _RelayedProtocol(request, seal, make_connection), host, port
    )
    try:
        return await protocol.opened
    except BaseException:
        transport.abort()
        raise


if TYPE_CHECKING:
    RelayedConnectionFactory = Callable[[], UpstreamConnection]


class _RelayedProtocol(asyncio.Protocol):
    """Asks the relay for the connection, and then passes its bytes to an `UpstreamConnection`.

    That one writes to the transport itself, as requests are relayed without frames.
    """

    def __init__(
        self, request: RelayOpen, seal: Seal, make_connection: RelayedConnectionFactory
    ) -> None:
        self._request = request
        self._seal = seal
        self._make_connection = make_connection
        self._challenge = secrets.token_bytes(CHALLENGE_BYTES)
        self._relay_challenge = b""
        self._buffer = b""
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._connection: UpstreamConnection | None = None
        self.opened: asyncio.Future[UpstreamConnection] = asyncio.get_running_loop().create_future()
        """The connection once it is open, or the RelayFailedError."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            close_when_peer_is_gone(sock)
        self._transport.write(self._challenge)

    def data_received(self, data: bytes) -> None:
        """Process the answer of the relay, then the bytes of the upstream."""
        if self._connection is not None:
            self._pass_on(self._connection, data)
            return
        self._buffer += data
        try:
            self._read_answer()
        except LinkError:
            self._fail(None)

    def _read_answer(self) -> None:
        if not self._relay_challenge:
            if len(self._buffer) < CHALLENGE_BYTES:
                return
            self._relay_challenge = self._buffer[:CHALLENGE_BYTES]
            self._buffer = self._buffer[CHALLENGE_BYTES:]
            context = self._relay_challenge + self._challenge
            assert self._transport is not None
            self._transport.write(seal_frame(self._seal, context, 0, self._request))
        if len(self._buffer) < FRAME_HEADER_BYTES:
            return
        end = FRAME_HEADER_BYTES + read_frame_size(self._buffer[:FRAME_HEADER_BYTES])
        if len(self._buffer) < end:
            return
        context = self._challenge + self._relay_challenge
        answer = open_frame(self._seal, context, 0, self._buffer[FRAME_HEADER_BYTES:end])
        if not isinstance(answer, RelayAnswer):
            raise MalformedFrameError(f"expected RelayAnswer, got {type(answer).__name__}")
        if answer.outcome is RelayOutcome.OPEN:
            self._open(self._buffer[end:])
        else:
            self._fail(answer.outcome)

    def _open(self, first_bytes: bytes) -> None:
        if self.opened.done():
            return
        assert self._transport is not None
        self._connection = self._make_connection()
        self._connection.connection_made(self._transport)
        self.opened.set_result(self._connection)
        if first_bytes:
            self._pass_on(self._connection, first_bytes)

    def _pass_on(self, connection: UpstreamConnection, data: bytes) -> None:
        try:
            received = self._reader.feed(data)
        except FrameTooLongError:
            connection.close()
            return
        if received:
            connection.data_received(received)
        if self._reader.has_ended and self._transport is not None:
            connection.eof_received()
            self._transport.close()

    def _fail(self, outcome: RelayOutcome | None) -> None:
        if not self.opened.done():
            self.opened.set_exception(RelayFailedError(outcome))
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Close the connection; without an end frame the answer is truncated."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        if self._connection is not None:
            self._connection.connection_lost(exc)
        else:
            self._fail(None)
