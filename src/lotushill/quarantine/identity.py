"""The identity that two arrivals of the same request share: caller, path and body."""

from __future__ import annotations

import hashlib

IDENTITY_BYTES = 16


def identity_of(team: str, host: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return a digest that is the same when a caller repeats a request under any request id.

    The hash is cryptographic so that no caller can craft a request with the identity of a request
    of another caller.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (team.encode(), host.encode("latin-1", "replace"), method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
