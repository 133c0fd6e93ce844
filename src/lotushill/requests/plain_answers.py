"""Answers to bytes that are no complete request, written without the request path."""

from __future__ import annotations

from lotushill.platform import request_head

_RETRY_AFTER_SECONDS = 0.5
"""Retry-After of a client for whose request there is no memory: others have ended by then, or
another gateway has some."""


def _answer(status: bytes, *headers: tuple[bytes, bytes]) -> bytes:
    """Return the bytes of an answer without a body, after which the connection ends."""
    lines = [b"HTTP/1.1 " + status, b"content-length: 0", b"connection: close"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join((*lines, b"", b""))


INVALID = _answer(b"400 Bad Request")
TIMED_OUT = _answer(b"408 Request Timeout")
TOO_LARGE_HEAD = _answer(b"431 Request Header Fields Too Large")
NO_MEMORY = _answer(
    b"503 Service Unavailable", request_head.retry_after_header(_RETRY_AFTER_SECONDS)
)
