"""Client connections: uvicorn's HTTP protocol with bounds on what a client sends and takes.

One request is parsed at a time. What arrives behind it waits as bytes, and reading pauses. All that
is held for a client counts towards a budget that the connections share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lotushill import clock as clocks
from lotushill.clients.bounds import MAX_WAITING_FOR_MEMORY
from lotushill.clients.bounds import Bound
from lotushill.clients.bounds import ClientBounds
from lotushill.clients.bounds import client_memory_bytes
from lotushill.clients.bounds import piece_memory_bytes
from lotushill.clients.memory_budget import SMALL_BYTES
from lotushill.clients.message_splitter import MessageSplitter
from lotushill.links.http_server import SOCKET_BUFFER_BYTES
from lotushill.links.parse_progress import ParseProgress
from lotushill.links.unread_time import unread_seconds
from lotushill.requests import plain_answers
from lotushill.routing.limits import ClientLimits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lotushill.clients.memory_budget import HeldMemory

TARGET = "lotushill.target"
"""Key under which a scope holds the request target in bytes, as the client sent it."""
CONNECTION = "lotushill.connection"
"""Key under which a scope holds its client connection."""
CONNECTION_BYTES = 8 * 1024
"""Memory for an open connection without a request."""
REQUEST_BYTES = 8 * 1024
"""Memory for a request besides its head and body: its scope, its task and what they refer to."""
_MAX_REQUEST_LINE_BYTES = 8 * 1024
"""Bytes of a head beyond those of its headers."""
_MAX_EMPTY_LINE_BYTES = 64 * 1024
"""Bytes of empty lines before a request."""
_BODY_STEP_BYTES = 256 * 1024
"""Memory that is held at a time for a body whose length is not known."""
_MEMORY_WAIT_SECONDS = 0.5
"""Time for which a body waits for memory: half of the second after which clients give up a gateway
that does not read their request, so that they have time for another one."""
_MEMORY_POLL_SECONDS = 0.05
_DEFAULT_MEMORY_MB = 300.0
_DEFAULT_DESCRIPTORS = 4096


class _ClientFlow(FlowControl):
    """Flow control whose reading stays paused while there is no memory for what would be read."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold_reading(self) -> None:
        """Pause reading until `release_reading`."""
        self._is_held = True
        self.pause_reading()

    def release_reading(self) -> None:
        """Read on."""
        self._is_held = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read on unless reading is held."""
        if not self._is_held:
            super().resume_reading()


class _AnswerTransport:
    """The transport as an answer sees it: it closes only once the request has been read."""

    def __init__(self, connection: ClientProtocol) -> None:
        self._connection = connection

    def write(self, data: bytes) -> None:
        self._connection.transport.write(data)

    def is_closing(self) -> bool:
        return self._connection.transport.is_closing()

    def close(self) -> None:
        self._connection.close_after_request()


class ClientProtocol(HttpToolsProtocol):
    """Connection of one client."""

    flow: _ClientFlow

    def __init__(
        self,
        *arguments: Any,
        limits: Callable[[], ClientLimits] = ClientLimits,
        admits: Callable[[float], bool] = lambda unread_seconds: True,
        bounds: ClientBounds | None = None,
        **options: Any,
    ) -> None:
        """Create the protocol of one connection; `limits` returns the limits in force.

        `admits` returns whether a connection is read whose first bytes have waited for some
        seconds; another one is closed before anything is read from it. `bounds` are those of all
        connections of the listener; without them the connection has bounds of its own.
        """
        super().__init__(*arguments, **options)
        self.on_lost: Callable[[], None] | None = None
        """Callback for the end of the connection, None if there is none."""
        self.is_lost = False
        """Whether the connection has ended."""
        self.is_refused = False
        """Whether the request must be refused, as there is no memory for the rest of its body."""
        self.stated_body_bytes = 0
        """Length of the body that the head of the request states, 0 for one in chunks."""
        self._limits = limits
        self._admits = admits
        self._bounds = bounds or _own_bounds()
        self.memory: HeldMemory = self._bounds.memory.open(self._shed)
        """Memory that is held for this client."""
        self._timer: asyncio.TimerHandle | None = None
        """Timeout of what the client does now: being idle, sending a head, ending a body."""
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0
        """Bytes of answers that the client had not taken when the timeout began."""
        self._splitter = MessageSplitter()
        self._progress = ParseProgress()
        self._is_in_head = False
        self._is_in_body = False
        self._head_bytes = 0
        self._empty_line_bytes = 0
        self._body_memory = 0
        """Bytes held for parts of the body that have not arrived."""
        self._memory_wait_ends = 0.0
        self._ahead = b""
        """Bytes that the client sent before it had the answer to its request."""
        self._ahead_start = 0
        """Position of the first of these bytes that is not parsed."""
        self._ahead_memory = 0
        """Bytes held for them, and for those that wait in the socket."""
        self._drops_ahead = False
        self._dropped_bytes = 0
        """Bytes of a body that is not needed, or of a connection that ends."""
        self._closes_after_request = False
        self._is_ending = False
        """Whether the last bytes to the client were written, and what it sends is dropped."""

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout, which closes a connection on which nothing is sent.

        A connection that has waited too long is reset, so that its client tries another gateway.
        """
        super().connection_made(transport)  # type: ignore[arg-type]
        self.flow = _ClientFlow(self.transport)
        if not self._admits(unread_seconds(transport.get_extra_info("socket"))):
            self.transport.abort()
            return
        connections = self._bounds.connections
        has_room = connections.make_room() or self._bounds.memory.shed_one()
        if not has_room or not self.memory.hold(CONNECTION_BYTES):
            self._bounds.note(Bound.CONNECTION)
            self.transport.abort()
            return
        connections.add(self)
        self._become_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timeouts, release the memory and call `on_lost`."""
        self._stop_timer()
        self._stop_unread_timer()
        self._bounds.connections.remove(self)
        self._stop_waiting_for_memory()
        self.memory.close()
        self._ahead = b""
        self.is_lost = True
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def close_idle(self) -> None:
        """Close the connection, on which there is no request, for a new one."""
        self._bounds.note(Bound.IDLE_CONNECTION)
        self.transport.abort()

    def close_after_request(self) -> None:
        """Close the connection once the rest of the request has arrived, which is dropped.

        Closing a connection with bytes that were not read resets it, and a reset takes the answer
        from a client that has not read it.
        """
        if self._is_in_body:
            self._closes_after_request = True
        else:
            self._close()

    def _close(self) -> None:
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self._start_unread_timer()
            self._release_request()
            self.memory.set_sheddable(self._bounds.clock())

    def _become_idle(self) -> None:
        self._bounds.connections.mark_idle(self)
        self._set_timer(self._limits().idle_seconds, self.transport.close)

    # Received bytes.

    def data_received(self, data: bytes) -> None:
        """Parse received bytes up to the end of a request; keep the others until it is answered."""
        if self._is_ending:
            self._drop(len(data))
        elif self._ahead:
            self._keep_ahead(self._ahead[self._ahead_start :] + data, 0)
        else:
            self._parse(data, 0)

    def _parse(self, data: bytes, position: int) -> None:
        """Parse received bytes from a position on."""
        while position < len(data) and not self._is_ending and not self.transport.is_closing():
            if not self._is_in_head and not self._is_in_body:
                if self._is_answering():
                    self._keep_ahead(data, position)
                    return
                position = self._skip_empty_lines(data, position)
                if position == len(data):
                    return
            end = self._splitter.piece_end(data, position)
            self._parse_piece(data if end - position == len(data) else data[position:end])
            position = end

    def _parse_piece(self, piece: bytes) -> None:
        """Parse a piece of a request after which no other one begins."""
        was_in_body = self._is_in_body
        if not was_in_body and not self._hold_head(piece):
            return
        super().data_received(piece)
        if was_in_body and self._progress.note_parsed(len(piece)):
            self._bounds.note(Bound.FRAMING)
            self._end(plain_answers.TOO_LARGE_HEAD)
        elif self._is_in_body and self._is_answered():
            self._drop(len(piece))

    def _skip_empty_lines(self, data: bytes, position: int) -> int:
        """Return the position behind empty lines; they start and stop no timeout."""
        if data[position : position + 1] in (b"\r", b"\n"):
            rest = data[position:]
            count = len(rest) - len(rest.lstrip(b"\r\n"))
            position += count
            self._empty_line_bytes += count
        if self._empty_line_bytes > _MAX_EMPTY_LINE_BYTES:
            self._bounds.note(Bound.EMPTY_LINES)
            self.transport.abort()
            return len(data)
        return position

    def _hold_head(self, piece: bytes) -> bool:
        """Hold the memory for a piece of a head; end the connection if that is not possible."""
        self._head_bytes += len(piece)
        if self._head_bytes > self._limits().header_bytes + _MAX_REQUEST_LINE_BYTES:
            self._bounds.note(Bound.HEAD)
            self._end(plain_answers.TOO_LARGE_HEAD)
            return False
        request_bytes = 0 if self._is_in_head else REQUEST_BYTES
        if not self.memory.hold(request_bytes + piece_memory_bytes(piece)):
            self._bounds.note(Bound.MEMORY)
            self._end(plain_answers.NO_MEMORY)
            return False
        return True

    def _keep_ahead(self, data: bytes, start: int) -> None:
        """Keep bytes that arrived before the answer to the request before them was written."""
        if self._drops_ahead:
            return
        self.flow.hold_reading()
        size = SOCKET_BUFFER_BYTES + len(data)
        self.memory.release(self._ahead_memory)
        self._ahead_memory = 0
        if not self.memory.hold(size):
            self._bounds.note(Bound.SENT_AHEAD)
            self._drop_ahead()
            return
        self._ahead_memory = size
        self._ahead = data
        self._ahead_start = start

    def _drop_ahead(self) -> None:
        """Drop what was sent ahead; close the connection after the answer that is due.

        A client that sent requests ahead sees by the end of the connection that they were not read.
        """
        self._ahead = b""
        self._drops_ahead = True
        self._closes_after_request = True
        self.cycle.keep_alive = False

    def _drop(self, size: int) -> None:
        """Count bytes that are not needed; close a connection on which they do not end."""
        self._dropped_bytes += size
        if self._dropped_bytes > self._limits().body_bytes + _MAX_REQUEST_LINE_BYTES:
            self._bounds.note(Bound.BODY_AFTER_ANSWER)
            self.transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start the timeout within which the head of the request has to be complete."""
        super().on_message_begin()
        self._is_in_head = True
        self._empty_line_bytes = 0
        self._bounds.connections.mark_busy(self)
        self.memory.set_sheddable(self._bounds.clock())
        self._set_timer(self._limits().header_seconds, self._end_slow_head)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which the parser reports as headers, do not belong to it."""
        if self._is_in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Add the raw target and the connection to the scope, and begin the body."""
        self._stop_timer()
        self._is_in_head = False
        self._is_in_body = True
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[TARGET] = bytes(self.url)
        scope[CONNECTION] = self
        super().on_headers_complete()
        self.cycle.transport = _AnswerTransport(self)  # type: ignore[assignment]
        self._begin_body(dict(self.headers))

    def _begin_body(self, headers: dict[bytes, bytes]) -> None:
        """Hold memory for a long body before it is read."""
        self._progress.note_progress()
        is_chunked = b"transfer-encoding" in headers
        length = 0 if is_chunked else int(headers.get(b"content-length", b"0"))
        self.stated_body_bytes = length
        self._splitter.begin_body(None if is_chunked else length)
        if SMALL_BYTES < length <= self._limits().body_bytes:
            self._hold_body(length)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body, unless the request is answered or refused already."""
        self._progress.note_progress()
        if self.is_refused or self._is_answered():
            return
        self._body_memory -= len(body)
        super().on_body(body)
        if self._body_memory < 0:
            missing = -self._body_memory
            self._hold_body(missing if missing <= SMALL_BYTES else missing + _BODY_STEP_BYTES)

    def on_message_complete(self) -> None:
        """End the request; the next one may begin once this one is answered."""
        self._is_in_body = False
        self._head_bytes = 0
        self._splitter.end_message()
        if self._memory_wait_ends:
            # The rest has arrived meanwhile: a request that is complete is not refused any more.
            self._stop_timer()
            self._stop_waiting_for_memory()
            self.memory.hold_unchecked(max(0, -self._body_memory))
            self.flow.release_reading()
        is_unread = self._unread_timer is not None
        self.memory.set_sheddable(self._bounds.clock() if is_unread else None)
        super().on_message_complete()
        if self.parser.should_upgrade():
            # The parser does not read what follows as HTTP.
            self._drop_ahead()
        if self._is_answered():
            self._end_exchange()

    # Memory for bodies.

    def _hold_body(self, size: int) -> None:
        """Hold memory for a part of the body; pause reading for a while if there is none."""
        if self.memory.hold(size):
            self._body_memory += size
        elif not self._memory_wait_ends:
            if self._bounds.waiting_for_memory >= MAX_WAITING_FOR_MEMORY:
                self._refuse(Bound.MEMORY)
                return
            self._bounds.waiting_for_memory += 1
            self._memory_wait_ends = self._bounds.clock() + _MEMORY_WAIT_SECONDS
            self.memory.hold_unchecked(SOCKET_BUFFER_BYTES)
            self.flow.hold_reading()
            self._set_timer(_MEMORY_POLL_SECONDS, lambda: self._retry_hold_body(size))

    def _retry_hold_body(self, size: int) -> None:
        if self.memory.hold(size):
            self._body_memory += size
            self._stop_waiting_for_memory()
            self.memory.release(SOCKET_BUFFER_BYTES)
            self.flow.release_reading()
        elif self._bounds.clock() >= self._memory_wait_ends:
            self._refuse(Bound.MEMORY)
        else:
            self._set_timer(_MEMORY_POLL_SECONDS, lambda: self._retry_hold_body(size))

    def _stop_waiting_for_memory(self) -> None:
        if self._memory_wait_ends:
            self._memory_wait_ends = 0.0
            self._bounds.waiting_for_memory -= 1

    def _refuse(self, bound: Bound) -> None:
        """Have the request refused, whose body is not complete, and drop the rest of the body."""
        self._bounds.note(bound)
        self.is_refused = True
        self._stop_timer()
        self._stop_waiting_for_memory()
        self.cycle.body.clear()
        self.cycle.message_event.set()
        self._body_memory = 0
        self.memory.set_sheddable(None)
        self.memory.release_above(CONNECTION_BYTES + REQUEST_BYTES)
        self.flow.release_reading()

    def _shed(self) -> None:
        """Give up what the client sends, or an answer that it does not take, for other clients."""
        if self._is_in_head:
            self._bounds.note(Bound.SHED)
            self._end(plain_answers.NO_MEMORY)
        elif self._is_in_body and not self._is_answered():
            self._refuse(Bound.SHED)
        else:
            self._bounds.note(Bound.SHED)
            self.memory.release_above(0)
            self.transport.abort()

    # Answers.

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _is_answered(self) -> bool:
        return self.cycle is not None and bool(self.cycle.response_complete)

    def on_response_complete(self) -> None:
        """Go on with what the client sent ahead, or wait for its next request."""
        self.server_state.total_requests += 1
        if self.transport.is_closing() or self._is_ending:
            return
        if self._is_in_body:
            self._release_request()
            self._stop_waiting_for_memory()
            self.flow.release_reading()
            self._bounds.connections.mark_idle(self)
            self._set_timer(self._limits().header_seconds, self._end_slow_body)
            return
        self._end_exchange()

    def _end_exchange(self) -> None:
        """Begin the next request after one that was read and answered."""
        self._stop_timer()
        self._release_request()
        self._ahead_memory = 0
        self._dropped_bytes = 0
        self.is_refused = False
        self._body_memory = 0
        if self._closes_after_request:
            self._close()
            return
        data, self._ahead = self._ahead, b""
        if data:
            self._parse(data, self._ahead_start)
        if not self._ahead and not self._is_ending and not self.transport.is_closing():
            self.flow.release_reading()
            if not self._is_in_head and not self._is_in_body and not self._is_answering():
                self._become_idle()

    def _release_request(self) -> None:
        """Release the memory for a request and its answer, but not that for what was not taken."""
        unread = self._unread_bytes + SOCKET_BUFFER_BYTES if self._unread_timer is not None else 0
        self.memory.release_above(CONNECTION_BYTES + unread)

    def pause_writing(self) -> None:
        """Count the answers that the client has not taken, and limit the time to take them."""
        super().pause_writing()
        self._start_unread_timer()
        self.memory.hold_unchecked(self._unread_bytes + SOCKET_BUFFER_BYTES)
        if not self._is_in_head and not self._is_in_body:
            self.memory.set_sheddable(self._bounds.clock())

    def resume_writing(self) -> None:
        """Release the memory for answers that were taken."""
        super().resume_writing()
        self.memory.release(self._unread_bytes + SOCKET_BUFFER_BYTES)
        self._stop_unread_timer()
        if not self._is_in_head and not self._is_in_body:
            self.memory.set_sheddable(None)

    def _start_unread_timer(self) -> None:
        self._stop_unread_timer()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._unread_timer = self.loop.call_later(
            self._limits().idle_seconds, self._end_unread_answer, self._unread_bytes
        )

    def _end_unread_answer(self, unread_before: int) -> None:
        unread = self.transport.get_write_buffer_size()
        if unread >= unread_before:
            self._bounds.note(Bound.UNREAD)
            self.transport.abort()
            return
        self._unread_timer = self.loop.call_later(
            self._limits().idle_seconds, self._end_unread_answer, unread
        )

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        self._unread_bytes = 0

    # The end of a connection.

    def send_400_response(self, msg: str) -> None:
        """End a connection whose bytes are not HTTP."""
        del msg
        self._end(plain_answers.INVALID)

    def _end_slow_head(self) -> None:
        self._end(plain_answers.TIMED_OUT)

    def _end_slow_body(self) -> None:
        self._bounds.note(Bound.BODY_AFTER_ANSWER)
        self.transport.close()

    def _end(self, answer: bytes) -> None:
        """End the connection with an answer, unless the request on it has one already.

        What else the client sends is dropped for a while, so that it can read the answer.
        """
        if self.transport.is_closing() or self._is_ending:
            return
        self._is_ending = True
        if self._is_in_body and self.cycle.response_started:
            self.transport.abort()
            return
        if self._is_answering():
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._stop_waiting_for_memory()
        self.memory.set_sheddable(None)
        self.memory.release_above(CONNECTION_BYTES)
        self.headers = []
        self.transport.write(answer)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.release_reading()
        self._bounds.connections.mark_idle(self)
        self._set_timer(self._limits().header_seconds, self.transport.abort)

    def _set_timer(self, seconds: float, callback: Callable[[], object]) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _own_bounds() -> ClientBounds:
    return ClientBounds(client_memory_bytes(_DEFAULT_MEMORY_MB), _DEFAULT_DESCRIPTORS, clocks.now)
