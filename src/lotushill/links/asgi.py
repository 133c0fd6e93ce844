"""The few ASGI steps that the servers here share."""

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
    """A request body longer than allowed."""


class BodyTimeoutError(Exception):
    """A request body that did not arrive in time."""


class ClientDisconnectedError(Exception):
    """The other end closed the connection before its request was whole."""


async def read_body(receive: Receive, limit: int, timeout_seconds: float) -> bytes:
    """Return the whole body; raise when it is too large, too slow or cut off."""
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
    """Send a whole response."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    await send(start)
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: Any, headers: Headers = ()) -> None:
    """Send a value as JSON."""
    await send_response(send, status, [JSON_TYPE, *headers], json.dumps(value).encode())
