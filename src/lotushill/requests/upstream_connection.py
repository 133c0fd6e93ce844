"""One connection to an upstream, on the HTTP parser itself.

A client library hides what the promises to clients stand on: whether a byte of a request was
written, whether an answer that names no length ended cleanly, which request an answer belongs
to, and whether bytes follow a whole answer. So this stands on the parser that `uvicorn` uses.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import cast

import httptools

from lotushill.requests.exceptions import BrokenAnswerError
from lotushill.requests.exceptions import LostConnectionError
from lotushill.requests.exceptions import SilentUpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

Headers = list[tuple[bytes, bytes]]

_HIGH_WATER = 256 * 1024
_UNACKNOWLEDGED_MS = 3000
"""A connection whose data stays unacknowledged for so long is given up by the kernel."""
_BODILESS = frozenset((204, 304))
_DEFAULT_IDLE_SECONDS = 8.0
_IDLE_MARGIN_SECONDS = 0.6
"""An idle connection is closed so much earlier than the upstream says that it closes it."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer, with names in lower case."""

    status: int
    headers: Headers

    def headers_for(self, body: bytes) -> Headers:
        """Return the headers with the length of a body that is at hand whole."""
        kept = [item for item in self.headers if item[0] != b"content-length"]
        return [*kept, (b"content-length", str(len(body)).encode())]


class UpstreamConnection(asyncio.Protocol):
    """Carries one request at a time."""

    def __init__(self, answer_request_id: Callable[[Headers], str]) -> None:
        """Make a protocol; `answered_id` tells which request an answer belongs to."""
        self._answered_id = answer_request_id
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._headers: Headers = []
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._paused = False
        self._request_id = ""
        self._bodiless = False
        self._idle = True
        self._head: AnswerHead | None = None
        self._skipping = False
        self._complete = False
        self._until_end = False
        self._keep_alive = True
        self._error: BrokenAnswerError | None = None
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        """How long the connection may rest before it must not be used again."""
        self.idle_since = 0.0

    # Requests

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry a request."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and self._error is None

    @property
    def is_reusable(self) -> bool:
        """Return whether the answer was whole and nothing stands against another request."""
        written = self._transport is not None and not self._transport.get_write_buffer_size()
        return self.is_open and self._complete and self._keep_alive and written

    def send(self, request_id: str, method: bytes, data: bytes) -> None:
        """Write one request, head and body."""
        assert self._transport is not None
        self._request_id = request_id
        self._bodiless = method == b"HEAD"
        self._idle = False
        self._head = None
        self._complete = False
        self._until_end = False
        self._transport.write(data)

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer to the request that was sent."""
        while self._head is None:
            self._raise_if_broken()
            await self._wait(None)
        return self._head

    async def read(self, timeout_seconds: float | None = None) -> bytes:
        """Return what came of the body, b"" at its end; raise when it is cut off or silent."""
        while not self._chunks:
            if self._complete:
                return b""
            self._raise_if_broken()
            await self._wait(timeout_seconds)
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._buffered = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    def mark_idle(self, now: float) -> None:
        """Note that the connection is idle from now on."""
        self._idle = True
        self.idle_since = now

    def close(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self, patience: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(patience, self._expire) if patience is not None else None
        try:
            await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _expire(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(SilentUpstreamError())

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _raise_if_broken(self) -> None:
        if self._error is not None:
            raise self._error

    def _break(self, reason: str) -> None:
        if self._error is None and not (self._complete and not self._idle):
            self._error = BrokenAnswerError(reason)
        self._keep_alive = False
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that belong to no request end the connection."""
        if self._idle or self._complete:
            self._break("bytes after a whole answer")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                self._break(f"no HTTP: {error!r}")
            else:
                self._keep_alive = False
        if self._buffered > _HIGH_WATER and not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Take the end of what the upstream sends; some answers end in this way."""
        if self._until_end and not self._idle:
            self._complete = True
        self._keep_alive = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        if self._error is None and not self._complete:
            self._error = LostConnectionError(f"connection ended: {exc!r}")
        self._keep_alive = False
        self._wake()

    # The parser

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._complete:
            # A second answer behind a whole one belongs to nobody.
            self._keep_alive = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Judge the head of an answer."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._skipping = self._answered_id(self._headers) != self._request_id
        if self._skipping:
            # A surplus answer to an earlier request: the next one is ours.
            return
        named = dict(self._headers)
        chunked = b"chunked" in named.get(b"transfer-encoding", b"").lower()
        framed = chunked or b"content-length" in named
        self._until_end = not framed and not self._bodiless and status not in _BODILESS
        self._keep_alive = self._parser.should_keep_alive() and not self._until_end
        self._learn_idle(named.get(b"keep-alive", b""))
        self._head = AnswerHead(status, self._headers)
        if self._bodiless:
            self._complete = True
            self._keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        if self._skipping or self._complete:
            return
        self._chunks.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        """End an answer."""
        if self._skipping:
            self._skipping = False
            return
        if self._head is not None:
            self._complete = True

    def _learn_idle(self, value: bytes) -> None:
        for item in value.lower().split(b","):
            name, _, seconds = item.strip().partition(b"=")
            if name == b"timeout" and seconds.isdigit():
                self.idle_seconds = max(0.0, int(seconds) - _IDLE_MARGIN_SECONDS)
