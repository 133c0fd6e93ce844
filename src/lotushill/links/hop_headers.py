"""Hop-by-hop headers, which apply to one connection only and are not forwarded."""

from __future__ import annotations

_HOP_BY_HOP_REQUEST_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"proxy-authorization",
    )
)
"""Hop-by-hop request headers, and the length, which is set again for the forwarded request."""
_HOP_BY_HOP_RESPONSE_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"upgrade")
)


def hop_by_hop_headers(connection: bytes) -> frozenset[bytes]:
    """Return the request headers that are not forwarded, with those that `connection` names."""
    named = frozenset(item.strip().lower() for item in connection.split(b",") if item.strip())
    return _HOP_BY_HOP_REQUEST_HEADERS | named


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the response headers that are forwarded to the client."""
    return [item for item in headers if item[0] not in _HOP_BY_HOP_RESPONSE_HEADERS]
