"""Headers that concern one connection only, and do not travel on."""

from __future__ import annotations

_ONE_CONNECTION = frozenset(
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
"""Headers that concern one connection only, and the length, which is told anew."""
_ANSWER_DROPPED = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"upgrade"))


def hop_by_hop_headers(connection: bytes) -> frozenset[bytes]:
    """Return the headers of a request that stay behind, with those that `connection` names."""
    named = frozenset(item.strip().lower() for item in connection.split(b",") if item.strip())
    return _ONE_CONNECTION | named


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that travel on to the client."""
    return [item for item in headers if item[0] not in _ANSWER_DROPPED]
