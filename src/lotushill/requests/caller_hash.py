"""Tells a request that comes again from a new one, at any gateway."""

from __future__ import annotations

import xxhash


def caller_hash(team: str, target: bytes, body: bytes) -> int:
    """Return a number that stays the same when a caller sends its request again; never 0."""
    digest = xxhash.xxh64()
    for part in (team.encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.intdigest() or 1
