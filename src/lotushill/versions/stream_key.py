"""The key under which gateways keep a stream: the id of its first request, or a digest of it."""

from __future__ import annotations

import hashlib

_MAX_ID_CHARACTERS = 64
"""Longest id that is kept as it is. Clients choose their ids, which may be as long as a head, and
records of tens of thousands of streams are kept and sent to other gateways."""
_DIGEST_BYTES = 16


def stream_key(request_id: str) -> str:
    """Return the key of the stream whose first request has an id, empty for an empty id."""
    if len(request_id) <= _MAX_ID_CHARACTERS:
        return request_id
    text = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
