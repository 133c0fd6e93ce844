"""Calls to upstreams over HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import httpcore

from lotushill.links.direct_stream import DirectBackend
from lotushill.links.direct_stream import DirectStream
from lotushill.upstreams.exceptions import BrokenError
from lotushill.upstreams.exceptions import NotSentError
from lotushill.upstreams.exceptions import RejectedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_CONNECT_SECONDS = 1.0
_WRITE_SECONDS = 10.0
_KEEP_ALIVE_SECONDS = 30.0
_NOT_RUN_HEADER = b"lotushill-not-run"
_BUSY = (429, 503)
_SEND_STARTED = "send_request_headers.started"
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)


@dataclass(frozen=True)
class UpstreamRequest:
    """What is sent to an upstream."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    silence: float
    """Longest wait for the next bytes of the answer, in seconds."""


class UpstreamAnswer:
    """An answer that has begun."""

    def __init__(self, response: httpcore.Response, silence: float) -> None:
        self._response = response
        self._silence = silence
        self.status = response.status
        self.headers: list[tuple[bytes, bytes]] = response.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise BrokenError if it does not come whole."""
        stream = self._response.extensions.get("network_stream")
        try:
            if isinstance(stream, DirectStream) and self._is_chunked():
                async for chunk in stream.chunked_body(self._silence):
                    yield chunk
            else:
                async for chunk in self._response.aiter_stream():
                    yield chunk
        except _FAILURES as error:
            raise BrokenError(repr(error), True) from error

    def _is_chunked(self) -> bool:
        return any(
            name.lower() == b"transfer-encoding" and value.strip().lower() == b"chunked"
            for name, value in self.headers
        )


class UpstreamClient:
    """Connections to all upstreams."""

    def __init__(self, max_connections: int = 10_000) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=256,
            keepalive_expiry=_KEEP_ALIVE_SECONDS,
            retries=0,
            network_backend=DirectBackend(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    @asynccontextmanager
    async def send(self, request: UpstreamRequest) -> AsyncIterator[UpstreamAnswer]:
        """Send a request and yield the answer once its head is there.

        Raises NotSentError, RejectedError or BrokenError.
        """
        trace = _SendTrace()
        response = await self._head(request, trace)
        try:
            yield UpstreamAnswer(response, request.silence)
        finally:
            await response.aclose()

    async def _head(self, request: UpstreamRequest, trace: _SendTrace) -> httpcore.Response:
        outgoing = httpcore.Request(
            request.method,
            f"http://{request.address}{request.path}",
            headers=_headers(request),
            content=request.body,
            extensions={"trace": trace, "timeout": _timeouts(request.silence)},
        )
        try:
            response = await self._pool.handle_async_request(outgoing)
        except _FAILURES as error:
            if trace.sending:
                raise BrokenError(repr(error), False) from error
            raise NotSentError(repr(error)) from error
        if response.status in _BUSY and any(
            name.lower() == _NOT_RUN_HEADER for name, _ in response.headers
        ):
            await response.aclose()
            raise RejectedError(f"status {response.status}")
        return response


class _SendTrace:
    """Notes the moment from which bytes may have reached the upstream."""

    def __init__(self) -> None:
        self.sending = False

    async def __call__(self, event: str, info: dict[str, Any]) -> None:
        if event.endswith(_SEND_STARTED):
            self.sending = True


def _headers(request: UpstreamRequest) -> list[tuple[bytes, bytes]]:
    own = [(b"host", request.address.encode())]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        own.append((b"content-length", str(len(request.body)).encode()))
    return own + list(request.headers)


def _timeouts(silence: float) -> dict[str, float]:
    return {
        "connect": _CONNECT_SECONDS,
        "pool": _CONNECT_SECONDS,
        "write": _WRITE_SECONDS,
        "read": silence,
    }
