"""Client for HTTP/1.1 calls with JSON requests and answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import anyio
import httpcore

from lotushill import clock as clocks
from lotushill.links.answer_timeout import AnswerTimeout
from lotushill.links.exceptions import NoAnswerError
from lotushill.links.exceptions import SilentConnectionError
from lotushill.links.tolerant_json import parse_json

if TYPE_CHECKING:
    from collections.abc import Iterable

    Header = tuple[str, str]

_WRITE_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer, a bound for servers whose answers do not end."""
_MAX_TRANSFER_SECONDS = 10.0
"""Time that a call may take beyond the timeout for its first bytes."""


@dataclass(frozen=True)
class JsonAnswer:
    """Status and body of an answer."""

    status: int
    content: bytes

    def read(self) -> Any:
        """Return the parsed JSON body, {} if it is empty; raise NoAnswerError if it is not JSON.

        Bytes that are not valid UTF-8 corrupt only the value that contains them.
        """
        if not self.content:
            return {}
        try:
            return parse_json(self.content.decode("utf-8", "replace"))
        except ValueError as error:
            raise NoAnswerError(repr(error)) from error


class _Pool:
    """Connections that were opened since the last renewal, and the calls that use them."""

    def __init__(self, max_connections: int, keepalive_seconds: float) -> None:
        self._connections = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=keepalive_seconds
        )
        self._calls = 0
        self._is_retired = False

    async def request(
        self, method: str, url: str, headers: list[tuple[bytes, bytes]], body: bytes, timeout: Any
    ) -> JsonAnswer:
        """Make one call and return its complete answer; raise NoAnswerError if it is too long."""
        self._calls += 1
        try:
            async with self._connections.stream(
                method, url, headers=headers, content=body, extensions={"timeout": timeout}
            ) as response:
                return JsonAnswer(response.status, await _read_content(response))
        finally:
            self._calls -= 1
            await self._close_if_unused()

    async def retire(self) -> None:
        """Close the connections as soon as no call uses them."""
        self._is_retired = True
        await self._close_if_unused()

    async def _close_if_unused(self) -> None:
        if self._is_retired and not self._calls:
            with anyio.CancelScope(shield=True):
                await self._connections.aclose()


async def _read_content(response: httpcore.Response) -> bytes:
    content = bytearray()
    async for piece in response.aiter_stream():
        content += piece
        if len(content) > MAX_ANSWER_BYTES:
            raise NoAnswerError(f"body of the answer is longer than {MAX_ANSWER_BYTES} bytes")
    return bytes(content)


class JsonClient:
    """Client of the server at `address` (IP:PORT) that keeps a small pool of connections open."""

    def __init__(
        self, address: str, max_connections: int, keepalive_seconds: float, connect_seconds: float
    ) -> None:
        self._host = address
        self._connect_seconds = connect_seconds
        self._max_connections = max_connections
        self._keepalive_seconds = keepalive_seconds
        self._pool = _Pool(max_connections, keepalive_seconds)
        self._answer_timeout = AnswerTimeout()
        self.calls = 0
        """Number of calls made so far."""

    async def renew_connections(self) -> None:
        """Send all further calls on new connections; calls in progress keep theirs."""
        former, self._pool = self._pool, _Pool(self._max_connections, self._keepalive_seconds)
        await former.retire()

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        timeout_seconds: float = 2.0,
        headers: Iterable[Header] = (),
        wait_seconds: float | None = None,
    ) -> JsonAnswer:
        """Make one call and return its answer; raise NoAnswerError if none arrives in time.

        With `wait_seconds`, for which the call asks the server to wait, the time allowed beyond it
        follows from how fast the server answers such calls.
        """
        self.calls += 1
        if wait_seconds is not None:
            timeout_seconds = wait_seconds + self._answer_timeout.seconds
        sent_headers = [("host", self._host), *headers]
        body = b""
        if content is not None:
            body = json.dumps(content).encode()
            sent_headers += [
                ("content-type", "application/json"),
                ("content-length", str(len(body))),
            ]
        timeout = {
            "connect": self._connect_seconds,
            "read": timeout_seconds,
            "write": _WRITE_TIMEOUT_SECONDS,
            "pool": _WRITE_TIMEOUT_SECONDS,
        }
        pool, sent_at = self._pool, clocks.now()
        try:
            with anyio.fail_after(timeout_seconds + _MAX_TRANSFER_SECONDS):
                answer = await pool.request(
                    method,
                    f"http://{self._host}{path}",
                    [(name.encode(), value.encode()) for name, value in sent_headers],
                    body,
                    timeout,
                )
        except (httpcore.ReadTimeout, httpcore.WriteTimeout, TimeoutError) as error:
            if wait_seconds is not None:
                self._answer_timeout.note_timeout()
            if pool is self._pool:
                # The other connections that were open may be as dead as this one.
                await self.renew_connections()
            raise SilentConnectionError(repr(error)) from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise NoAnswerError(repr(error)) from error
        if wait_seconds is not None:
            self._answer_timeout.note_answer(max(0.0, clocks.now() - sent_at - wait_seconds))
        return answer
