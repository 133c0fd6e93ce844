"""One connection to an upstream, implemented directly on the HTTP parser.

The guarantees to clients depend on facts that HTTP client libraries hide: whether a byte of a
request was written, whether an answer without a length ended cleanly, which request an answer
belongs to, and whether bytes follow a complete answer. Therefore this module uses the parser that
`uvicorn` uses.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import cast

import httptools

from lotushill.links.parse_progress import ParseProgress
from lotushill.requests.exceptions import BrokenAnswerError
from lotushill.requests.exceptions import InvalidStatusError
from lotushill.requests.exceptions import LostConnectionError
from lotushill.requests.exceptions import PartitionedError
from lotushill.requests.exceptions import SilentUpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

Headers = list[tuple[bytes, bytes]]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer that is relayed as a whole, and longest surplus answer that is skipped."""
_MAX_BUFFERED_BYTES = 256 * 1024
"""Buffered bytes at which reading from the connection is paused."""
_MAX_COPIED_BYTES = 16 * 1024
"""Longest body that is copied behind its head, so that one write sends both."""
_UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""Time without acknowledgement of sent data after which the kernel closes the connection."""
_BODILESS_STATUSES = frozenset((204, 304))
_INTERIM_STATUSES = frozenset((100, 102, 103))
"""Statuses of answers before the final one. 101 ends the use of HTTP, which is never asked for."""
_FINAL_STATUSES = range(200, 600)
_DEFAULT_IDLE_SECONDS = 8.0
_IDLE_MARGIN_SECONDS = 0.6
"""Time by which an idle connection is closed before the upstream is due to close it."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer, with header names in lower case."""

    status: int
    headers: Headers

    def headers_for(self, body: bytes) -> Headers:
        """Return the headers with the length of `body`, which is complete."""
        kept = [item for item in self.headers if item[0] != b"content-length"]
        return [*kept, (b"content-length", str(len(body)).encode())]


class UpstreamConnection(asyncio.Protocol):
    """Connection to an upstream that carries one request at a time."""

    def __init__(
        self, answer_request_id: Callable[[Headers], str], address: str = "", relay: str = ""
    ) -> None:
        """Create the protocol of a connection to an upstream at `address` (IP:PORT).

        `answer_request_id` returns the id of the answered request; `relay` is the name of the
        gateway through which the connection is opened, empty if it is direct.
        """
        self.address = address
        self.relay = relay
        self.may_repeat: Callable[[], bool] = lambda: False
        """Returns whether the request on this connection may be sent to an upstream once more."""
        self.sent_at = 0.0
        """When the request was sent, on the clock of the event loop."""
        self.received_at = 0.0
        """When bytes were last received, on the same clock."""
        self._answer_request_id = answer_request_id
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
        self._skipped_bytes = 0
        """Bytes of the bodies of surplus answers to earlier requests."""
        self._progress = ParseProgress()
        self._complete = False
        self._ends_with_connection = False
        self._keep_alive = True
        self._error: BrokenAnswerError | None = None
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        """Seconds for which the connection may be idle and still be used again."""
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry a request."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and self._error is None

    @property
    def is_reusable(self) -> bool:
        """Return whether the answer was complete and the connection can carry another request."""
        is_written = self._transport is not None and not self._transport.get_write_buffer_size()
        return self.is_open and self._complete and self._keep_alive and is_written

    @property
    def head(self) -> AnswerHead | None:
        """Return the head of the answer, None if it has not arrived."""
        return self._head

    @property
    def is_framed(self) -> bool:
        """Return whether a length or chunks state where the answer ends.

        Otherwise only the end of the connection does, which may also be that of a broken answer.
        """
        return not self._ends_with_connection

    @property
    def quiet_since(self) -> float:
        """Return when bytes were last sent or received, on the clock of the event loop."""
        return max(self.sent_at, self.received_at)

    @property
    def is_waiting(self) -> bool:
        """Return whether a request was written whose answer is not complete."""
        return self.is_open and not self._idle and not self._complete

    def send(self, request_id: str, method: bytes, head: bytes, body: bytes = b"") -> None:
        """Write the head and body of one request."""
        assert self._transport is not None
        self.sent_at = asyncio.get_running_loop().time()
        self._request_id = request_id
        self._skipped_bytes = 0
        self._bodiless = method == b"HEAD"
        self._idle = False
        self._head = None
        self._complete = False
        self._ends_with_connection = False
        if len(body) <= _MAX_COPIED_BYTES:
            self._transport.write(head + body)
        else:
            # A copy would take the memory of the body a second time until all of it is sent.
            self._transport.write(head)
            self._transport.write(body)

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer to the request that was sent."""
        while self._head is None:
            self._raise_if_broken()
            await self._wait(None)
        return self._head

    async def read(self, timeout_seconds: float | None = None) -> bytes:
        """Return received bytes of the body, b"" at its end.

        Raise an UpstreamError if the body is truncated, or if nothing arrives for
        `timeout_seconds`.
        """
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
        """Mark the connection as idle from `now` on."""
        self._idle = True
        self.idle_since = now

    def give_up(self) -> None:
        """Close the connection, and end the wait for its answer with a PartitionedError."""
        if self._error is None:
            self._error = PartitionedError("the upstream cannot be reached any more")
        self.close()
        self._wake()

    def close(self) -> None:
        """Close the connection immediately, without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self, timeout_seconds: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = (
            loop.call_later(timeout_seconds, self._expire) if timeout_seconds is not None else None
        )
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

    def _fail(self, reason: str) -> None:
        if self._error is None and not (self._complete and not self._idle):
            self._error = BrokenAnswerError(reason)
        self._keep_alive = False
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit the time without acknowledgements."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they belong to no request."""
        self.received_at = asyncio.get_running_loop().time()
        if self._idle or self._complete:
            self._fail("unexpected bytes after a complete answer")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                self._fail(f"answer is not valid HTTP: {error!r}")
            else:
                self._keep_alive = False
        if self._progress.note_parsed(len(data)) or self._skipped_bytes > MAX_ANSWER_BYTES:
            self._fail("too many bytes that are neither a head nor a part of the body")
        if (
            self._buffered > _MAX_BUFFERED_BYTES
            and not self._paused
            and self._transport is not None
        ):
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handle the end of the upstream's data, by which answers without a length end."""
        if self._ends_with_connection and not self._idle:
            self._complete = True
        self._keep_alive = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection, as an error if the answer was not complete."""
        if self._error is None and not self._complete:
            self._error = LostConnectionError(f"connection ended: {exc!r}")
        self._keep_alive = False
        self._wake()

    def on_message_begin(self) -> None:
        """Start parsing an answer."""
        if self._complete:
            # A second answer after a complete one belongs to no request.
            self._keep_alive = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header of the answer."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Process the head of an answer and determine how its body ends."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status in _INTERIM_STATUSES:
            return
        if status not in _FINAL_STATUSES:
            # Where such an answer ends is not known, so no byte behind it is the answer either.
            self._error = InvalidStatusError(status)
            raise self._error
        self._progress.note_progress()
        self._skipping = self._answer_request_id(self._headers) != self._request_id
        if self._skipping:
            # This is a surplus answer to an earlier request; the next one answers the current one.
            return
        header_values = dict(self._headers)
        chunked = b"chunked" in header_values.get(b"transfer-encoding", b"").lower()
        has_framing = chunked or b"content-length" in header_values
        self._ends_with_connection = (
            not has_framing and not self._bodiless and status not in _BODILESS_STATUSES
        )
        self._keep_alive = self._parser.should_keep_alive() and not self._ends_with_connection
        self._read_idle_timeout(header_values.get(b"keep-alive", b""))
        self._head = AnswerHead(status, self._headers)
        # Trailers, which the parser reports as headers, do not belong to the head.
        self._headers = []
        if self._bodiless:
            self._complete = True
            self._keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body."""
        self._progress.note_progress()
        if self._skipping:
            self._skipped_bytes += len(body)
            return
        if self._complete:
            return
        self._chunks.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        """Finish the answer, or the surplus answer that is skipped."""
        if self._skipping:
            self._skipping = False
            return
        if self._head is not None:
            self._complete = True

    def _read_idle_timeout(self, value: bytes) -> None:
        for item in value.lower().split(b","):
            name, _, seconds = item.strip().partition(b"=")
            if name == b"timeout" and seconds.isdigit():
                self.idle_seconds = max(0.0, int(seconds) - _IDLE_MARGIN_SECONDS)
