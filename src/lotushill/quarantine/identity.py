"""What makes two arrivals the same request: the caller, the path and the body."""

from __future__ import annotations

import hashlib

IDENTITY_BYTES = 16


def identity_of(team: str, host: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return what stays the same when a caller sends a request again, under whatever id.

    A cryptographic hash, so that no caller can make a request that is taken for another's.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (team.encode(), host.encode("latin-1", "replace"), method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
