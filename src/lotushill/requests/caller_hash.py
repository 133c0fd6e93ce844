"""Hash by which every gateway recognizes a request that a client sends again."""

from __future__ import annotations

import xxhash


def caller_hash(team: str, target: bytes, body: bytes) -> int:
    """Return a number that is the same each time a client sends the same request; never 0."""
    digest = xxhash.xxh64()
    for part in (team.encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.intdigest() or 1
