"""ASGI helpers that the HTTP servers of this project share."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import MutableMapping
from typing import Any

import anyio

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

JSON_TYPE = (b"content-type", b"application/json")


class BodyTooLargeError(Exception):
    """The request body is longer than allowed."""


class BodyTimeoutError(Exception):
    """The request body did not arrive within the timeout."""


class ClientDisconnectedError(Exception):
    """The client closed the connection before its request was complete."""


async def read_body(receive: Receive, limit: int, timeout_seconds: float) -> bytes:
    """Return the complete body; raise if it is too large, too slow or truncated."""
    body = bytearray()
    try:
        with anyio.fail_after(timeout_seconds):
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    raise ClientDisconnectedError
                body += event.get("body", b"")
                if len(body) > limit:
                    raise BodyTooLargeError
                if not event.get("more_body", False):
                    return bytes(body)
    except TimeoutError as error:
        raise BodyTimeoutError from error


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a response with its complete body."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    await send(start)
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: Any, headers: Headers = ()) -> None:
    """Send a response with a value as its JSON body."""
    await send_response(send, status, [JSON_TYPE, *headers], json.dumps(value).encode())
