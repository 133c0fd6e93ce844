"""Client connections: uvicorn's HTTP protocol extended by disconnect callbacks and timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lotushill.links.parse_progress import ParseProgress
from lotushill.links.unread_time import unread_seconds
from lotushill.routing.limits import ClientLimits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

TARGET = "lotushill.target"
"""Key under which a scope holds the request target in bytes, as the client sent it."""
CONNECTION = "lotushill.connection"
"""Key under which a scope holds its client connection."""
_TOO_LONG_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_REQUEST_TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class ClientProtocol(HttpToolsProtocol):
    """Notifies the request path of a lost client, and limits idle time and time to send a head."""

    def __init__(
        self,
        *arguments: Any,
        limits: Callable[[], ClientLimits] = ClientLimits,
        admits: Callable[[float], bool] = lambda unread_seconds: True,
        **options: Any,
    ) -> None:
        """Create the protocol of one connection; `limits` returns the limits in force.

        `admits` returns whether a connection is read whose first bytes have waited for some
        seconds; another one is closed before anything is read from it.
        """
        super().__init__(*arguments, **options)
        self.on_lost: Callable[[], None] | None = None
        """Callback for the end of the connection, None if there is none."""
        self.is_lost = False
        """Whether the connection has ended."""
        self._limits = limits
        self._admits = admits
        self._timer: asyncio.TimerHandle | None = None
        self._progress = ParseProgress()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if a head does not end."""
        super().data_received(data)
        if self._progress.note_parsed(len(data)):
            self._close_with(_TOO_LONG_ANSWER)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._progress.note_progress()
        super().on_body(body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout, which closes a connection on which nothing is sent.

        A connection that has waited too long is reset, so that its client tries another gateway.
        """
        super().connection_made(transport)  # type: ignore[arg-type]
        if not self._admits(unread_seconds(transport.get_extra_info("socket"))):
            self.transport.abort()
            return
        self._set_timer(self._limits().idle_seconds, self.transport.close)

    def on_message_begin(self) -> None:
        """Start the timeout within which the head of the request has to be complete."""
        super().on_message_begin()
        self._set_timer(self._limits().header_seconds, self._close_slow_connection)

    def on_headers_complete(self) -> None:
        """Add the raw target and the connection to the scope."""
        self._stop_timer()
        self._progress.note_progress()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[TARGET] = bytes(self.url)
        scope[CONNECTION] = self
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timeout and call `on_lost`."""
        self._stop_timer()
        self.is_lost = True
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def _close_slow_connection(self) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            # The answer to the previous request is still being sent and has to be finished first.
            self._set_timer(self._limits().header_seconds, self._close_slow_connection)
            return
        self._close_with(_REQUEST_TIMEOUT_ANSWER)

    def _close_with(self, answer: bytes) -> None:
        """End the connection with an answer, or at once if another answer is being sent."""
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.abort()
            return
        self.transport.write(answer)
        self.transport.close()

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
