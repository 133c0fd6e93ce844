"""Client for HTTP/1.1 calls with JSON requests and answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import httpcore

from lotushill.links.exceptions import NoAnswerError

if TYPE_CHECKING:
    from collections.abc import Iterable

    Header = tuple[str, str]

_WRITE_TIMEOUT_SECONDS = 1.0


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
            return json.loads(self.content.decode("utf-8", "replace"), strict=False)
        except (ValueError, RecursionError) as error:
            raise NoAnswerError(repr(error)) from error


class JsonClient:
    """Client of the server at `address` (IP:PORT) that keeps a small pool of connections open."""

    def __init__(
        self, address: str, max_connections: int, keepalive_seconds: float, connect_seconds: float
    ) -> None:
        self._host = address
        self._connect_seconds = connect_seconds
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=keepalive_seconds
        )
        self.calls = 0
        """Number of calls made so far."""

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        timeout_seconds: float = 2.0,
        headers: Iterable[Header] = (),
    ) -> JsonAnswer:
        """Make one call and return its answer; raise NoAnswerError if none arrives in time."""
        self.calls += 1
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
        try:
            response = await self._pool.request(
                method,
                f"http://{self._host}{path}",
                headers=[(name.encode(), value.encode()) for name, value in sent_headers],
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise NoAnswerError(repr(error)) from error
        return JsonAnswer(response.status, response.content)
