"""A network backend for httpcore that costs little per read.

It stands on asyncio's own protocols, without a cancel scope for every read, and hands the head
of a response to httpcore apart from its body. A chunked body can then be read past httpcore,
through a parser in C, which is what makes relaying a token cheap.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import httpcore
import httptools

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

_END_OF_HEAD = b"\r\n\r\n"
_INTERIM = b"HTTP/1.1 1"
_HIGH_WATER = 256 * 1024
_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class _Receiver(asyncio.Protocol):
    """Collects what comes in and wakes the one reader."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.ended = False
        self.lost: Exception | None = None
        self.transport: asyncio.Transport | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are no subclasses of asyncio's.
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > _HIGH_WATER and self.transport is not None:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        self.ended = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.lost = exc
        self._wake_reader()
        self.resume_writing()

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    async def wait_readable(self, timeout: float | None) -> None:
        """Return when there is something to read, or nothing more will come."""
        if self.buffer or self.ended:
            return
        loop = asyncio.get_running_loop()
        self._reader = loop.create_future()
        timer = loop.call_later(timeout, self._expire) if timeout is not None else None
        try:
            await self._reader
        finally:
            if timer is not None:
                timer.cancel()
            self._reader = None

    async def wait_writable(self) -> None:
        """Return when the connection takes more."""
        if self._full and not self.ended:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer

    def take(self, size: int) -> bytes:
        """Return up to `size` bytes of what has come in."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        if self.transport is not None and not self.transport.is_reading():
            self.transport.resume_reading()
        return data

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _expire(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_exception(httpcore.ReadTimeout("no bytes came in time"))


class DirectStream(httpcore.AsyncNetworkStream):
    """One connection."""

    def __init__(self, receiver: _Receiver) -> None:
        self._receiver = receiver
        self._in_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes; those of a response's head never together with those of its body."""
        receiver = self._receiver
        await receiver.wait_readable(timeout)
        if not receiver.buffer and receiver.lost is not None:
            raise httpcore.ReadError(str(receiver.lost))
        if not self._in_head:
            return receiver.take(max_bytes)
        cut = receiver.buffer.find(_END_OF_HEAD)
        if cut < 0:
            return receiver.take(max_bytes)
        self._in_head = receiver.buffer.startswith(_INTERIM)
        return receiver.take(min(max_bytes, cut + len(_END_OF_HEAD)))

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; what comes back next is the head of a response."""
        receiver = self._receiver
        if receiver.transport is None or receiver.ended:
            raise httpcore.WriteError("the connection is closed")
        self._in_head = True
        receiver.transport.write(buffer)
        await receiver.wait_writable()

    async def aclose(self) -> None:
        """Close the connection at once."""
        if self._receiver.transport is not None:
            self._receiver.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Upstreams are reached by plain HTTP."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Tell the connection pool whether an idle connection has something to say."""
        if info == "is_readable":
            return bool(self._receiver.buffer) or self._receiver.ended
        return None

    async def chunked_body(self, timeout: float) -> AsyncIterator[bytes]:
        """Yield what comes of a chunked body, as much at a time as is there.

        Raises RemoteProtocolError if it ends before its closing chunk.
        """
        body = _ChunkedBody()
        while not body.done:
            await self._receiver.wait_readable(timeout)
            data = self._receiver.take(_HIGH_WATER)
            if not data:
                raise httpcore.RemoteProtocolError("the body ended before its closing chunk")
            part = body.feed(data)
            if part:
                yield part


class _ChunkedBody:
    """Decodes a chunked body with the library's parser."""

    def __init__(self) -> None:
        self.done = False
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    def feed(self, data: bytes) -> bytes:
        """Return the content among some bytes of the body."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        parts, self._parts = self._parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.done = True


class DirectBackend(httpcore.AsyncNetworkBackend):
    """Opens direct streams."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect, or raise ConnectError or ConnectTimeout."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, receiver = await loop.create_connection(_Receiver, host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return DirectStream(receiver)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Upstreams are reached by TCP."""
        raise NotImplementedError

    async def sleep(self, seconds: float) -> None:
        """Wait, between attempts to connect."""
        await asyncio.sleep(seconds)
