"""Connections between a gateway and scripted upstreams without sockets, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonAnswer
from lotushill.platform import memory_calls
from lotushill.platform import request_head
from lotushill.requests.engine_memory_client import EngineMemoryClient
from lotushill.requests.upstream_connection import UpstreamConnection
from lotushill.requests.upstream_dialer import UpstreamDialer
from lotushill.requests.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.moves.memory_copy import Copied
    from lotushill.moves.memory_copy import NotCopied

LATENCY_SECONDS = 0.001
_FREE_TIMEOUT_SECONDS = 0.5


class _Socket:
    """Stands for the socket of a connection, whose options have no effect."""

    def setsockopt(self, *_: object) -> None:
        """Ignore the option."""


class ClientTransport(asyncio.Transport):
    """The gateway's end of a connection, which delivers to the reader of the upstream."""

    def __init__(self, protocol: asyncio.Protocol, reader: asyncio.StreamReader) -> None:
        super().__init__()
        self.protocol = protocol
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        self._in_flight: deque[Callable[[], None]] = deque()

    def later(self, call: Callable[[], None]) -> None:
        """Call something when it has crossed the network; calls keep their order."""
        self._in_flight.append(call)
        self._loop.call_later(LATENCY_SECONDS, lambda: self._in_flight.popleft()())

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data to the upstream."""
        content = bytes(data)
        self.later(lambda: self._reader.feed_data(content))

    def abort(self) -> None:
        """Close both directions."""
        if not self._is_closed:
            self._is_closed = True
            self.later(self._reader.feed_eof)
            self._loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        """Close both directions."""
        self.abort()

    def end(self, error: Exception | None) -> None:
        """Report the end of the connection to the gateway, once."""
        if not self._is_closed:
            self._is_closed = True
            self._reader.feed_eof()
            self._loop.call_soon(self.protocol.connection_lost, error)

    def deliver(self, data: bytes) -> None:
        """Deliver data of the upstream to the gateway."""
        if not self._is_closed:
            self.protocol.data_received(data)

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self._is_closed

    def get_write_buffer_size(self) -> int:
        """Return 0, as all data is sent at once."""
        return 0

    def pause_reading(self) -> None:
        """Do nothing, as the answers in these tests are small."""

    def resume_reading(self) -> None:
        """Do nothing, as reading is never paused."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket."""
        return _Socket() if name == "socket" else default


class UpstreamWriter:
    """The upstream's end of a connection, used in place of an `asyncio.StreamWriter`."""

    def __init__(self, peer: ClientTransport) -> None:
        self._peer = peer
        self.transport = self

    def write(self, data: bytes) -> None:
        """Send data to the gateway."""
        self._peer.later(lambda: self._peer.deliver(data))

    async def drain(self) -> None:
        """Raise an error if the connection has ended."""
        if self._peer.is_closing():
            raise ConnectionResetError

    def close(self) -> None:
        """End the connection."""
        self._peer.later(self._end)

    def abort(self) -> None:
        """End the connection with a reset."""
        self._peer.later(lambda: self._peer.end(ConnectionResetError()))

    def get_extra_info(self, name: str) -> _Socket:
        """Return the socket."""
        del name
        return _Socket()

    def _end(self) -> None:
        if not self._peer.is_closing():
            self._peer.protocol.eof_received()
        self._peer.end(None)


class Network:
    """Upstreams by their addresses."""

    def __init__(self) -> None:
        self._accept: dict[str, Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]] = {}

    def listen(self, accept: Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]) -> str:
        """Return a new address, connections to which are passed to `accept`."""
        address = f"10.0.0.{len(self._accept) + 1}:1"
        self._accept[address] = accept
        return address

    def close(self, address: str) -> None:
        """Refuse connections to an address from now on."""
        self._accept[address] = _refuse

    async def connect(self, address: str, protocol: asyncio.Protocol) -> ClientTransport:
        """Open a connection; raise ConnectionRefusedError if nothing listens there."""
        await asyncio.sleep(LATENCY_SECONDS)
        reader = asyncio.StreamReader()
        transport = ClientTransport(protocol, reader)
        writer = cast("asyncio.StreamWriter", UpstreamWriter(transport))
        self._accept[address](reader, writer)
        protocol.connection_made(transport)
        return transport


def _refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    del reader, writer
    raise ConnectionRefusedError


class VirtualDialer(UpstreamDialer):
    """Opens connections over a virtual network."""

    def __init__(self, network: Network, clock: Callable[[], float]) -> None:
        super().__init__(request_head.answer_request_id, clock)
        self._network = network

    async def _connect(self, address: str) -> UpstreamConnection:
        connection = UpstreamConnection(request_head.answer_request_id, address)
        await self._network.connect(address, connection)
        return connection


class VirtualPool(UpstreamPool):
    """Pool of connections over a virtual network."""

    def __init__(self, network: Network, clock: Callable[[], float]) -> None:
        dialer = VirtualDialer(network, clock)
        super().__init__(request_head.answer_request_id, clock=clock, dialer=dialer)


class _Call(asyncio.Protocol):
    """Collects the answer to one call, which ends with its connection or its length."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._received = b""

    def data_received(self, data: bytes) -> None:
        """Collect bytes until the answer is complete."""
        self._received += data
        head, found, body = self._received.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or b"0")
        if found and len(body) >= length and not self.answer.done():
            self.answer.set_result(self._received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call if its answer is not complete."""
        if not self.answer.done():
            self.answer.set_exception(NoAnswerError(repr(exc)))


class VirtualMemoryClient(EngineMemoryClient):
    """Calls the memory interface of upstreams over a virtual network."""

    def __init__(self, network: Network) -> None:
        super().__init__()
        self._network = network

    async def copy(
        self, source: str, run: str, target: str, last: bool, timeout_seconds: float
    ) -> Copied | NotCopied:
        """Copy the memory of a run as the client over sockets does."""
        content = memory_calls.move_request_body(run, target, last)
        line = f"POST {memory_calls.MOVE_PATH}"
        answer = await self._call(source, line, json.dumps(content).encode(), timeout_seconds)
        return memory_calls.parse_move_answer(answer)

    async def free(self, source: str, handle: str) -> None:
        """Free the memory held under a handle."""
        try:
            line = f"DELETE {memory_calls.FREE_PATH}{handle}"
            await self._call(source, line, b"", _FREE_TIMEOUT_SECONDS)
        except NoAnswerError:
            return

    async def _call(
        self, address: str, line: str, body: bytes, timeout_seconds: float
    ) -> JsonAnswer:
        call = _Call()
        head = f"{line} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
        transport = None
        try:
            async with asyncio.timeout(timeout_seconds):
                transport = await self._network.connect(address, call)
                transport.write(head.encode() + body)
                received = await call.answer
        except (TimeoutError, ConnectionRefusedError) as error:
            raise NoAnswerError(repr(error)) from error
        finally:
            call.answer.cancel()
            if transport is not None:
                transport.abort()
        answer_head, _, content = received.partition(b"\r\n\r\n")
        return JsonAnswer(int(answer_head.split()[1]), content)
